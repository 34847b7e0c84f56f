"""Fault isolation for one message: an exception while handling it ends only what the message owns.

See docs/design/second-front.md. A broken invariant is passed on, since it puts the core's state in doubt.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable

from reedmount.core.checks import COUNTERS, log

STRICT = False  # set by tests that expect no faults: an exception is then raised


def run_isolated(kind: str, serve: Callable[[], None], give_up: Callable[[], None] | None = None) -> bool:
    """Handle one message; on an exception, count it, log the first few and end what the message owns.

    ``give_up`` sends the answers that are due and closes; its own exceptions are isolated as well. Returns
    whether the message was handled without a fault.
    """
    try:
        serve()
        return True
    except AssertionError:
        raise  # a broken invariant in a debug build
    except Exception:
        if STRICT:
            raise
        COUNTERS.add("faults")
        COUNTERS.add(f"faults.{kind}")
        log(f"fault in {kind}: {traceback.format_exc()}", f"fault {kind}")
    if give_up is not None:
        run_isolated(f"{kind}.ending", give_up)
    return False
