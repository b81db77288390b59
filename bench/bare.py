"""Serve a fixed response with plain circuits.web, the baseline of bench.front.

python -m bench.bare
"""

from circuits.core.pollers import EPoll
from circuits.web import BaseServer, Controller


class Root(Controller):
    """Return the same body for every request."""

    channel = "/"

    def healthz(self):  # type: ignore[no-untyped-def]  # noqa: D102
        return '{"healthy": true}'


def main() -> None:
    """Listen, print the ready line and serve requests."""
    from circuits.web.dispatchers import Dispatcher

    server = BaseServer(("127.0.0.1", 0), display_banner=False)
    EPoll().register(server)
    Dispatcher().register(server)
    Root().register(server)
    print(f"ready kind=bare address=127.0.0.1:{server.port}", flush=True)
    server.run()


if __name__ == "__main__":
    main()
