"""Count the bytes that the process sends and receives on its sockets."""

from attrs import define


@define
class Traffic:
    """Hold the bytes passed to and from the kernel since the process started."""

    sent: int = 0
    received: int = 0


TRAFFIC = Traffic()
