"""The program with a skewed wall clock: ``python -O -m standins.faults.skewed SECONDS --operator FILE``."""

from __future__ import annotations

import sys
import time

from reedmount.__main__ import main
from reedmount.core.clock import Clock


def run() -> int:
    """Run the program with its wall clock off by the given seconds."""
    offset = float(sys.argv.pop(1))
    return main(Clock(unix=lambda: time.time() + offset))


if __name__ == "__main__":
    sys.exit(run())
