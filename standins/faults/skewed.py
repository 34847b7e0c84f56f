"""The program by a clock that is wrong: ``python -O -m standins.faults.skewed SECONDS --operator FILE``."""

from __future__ import annotations

import sys
import time

from reedmount.__main__ import main
from reedmount.core.clock import Clock


def run() -> int:
    """As the program itself, but for the clock that is given to it."""
    offset = float(sys.argv.pop(1))
    return main(Clock(unix=lambda: time.time() + offset))


if __name__ == "__main__":
    sys.exit(run())
