"""End a case with a status of its own, whatever happens in it."""

import signal
import sys
import traceback
from collections.abc import Callable
from types import FrameType

COULD_NOT_RUN = 2


def run_main(main: Callable[[], int]) -> None:
    """Exit with what main returns; an error or SIGTERM is no verdict, but still ends all."""

    def stop(number: int, frame: FrameType | None) -> None:
        sys.exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    try:
        status = main()
    except Exception:  # an error of the case must not read as a broken rule
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)
