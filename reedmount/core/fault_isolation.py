"""The border round one message: what goes wrong while it is served ends with what it owns.

See docs/design/second-front.md. A broken invariant crosses it: then the core's own state is in doubt.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable

from reedmount.core.checks import COUNTERS, log

STRICT = False  # tests of what should never go wrong set it: a fault then stops them


def run_isolated(kind: str, serve: Callable[[], None], give_up: Callable[[], None] | None = None) -> bool:
    """Serve one message; where that raises, count it, say it a few times, and end what the message owns.

    ``give_up`` answers what is owed and closes; what it raises itself is contained as well. Returns whether
    all went well.
    """
    try:
        serve()
        return True
    except AssertionError:
        raise  # an invariant of a debug build
    except Exception:
        if STRICT:
            raise
        COUNTERS.add("faults")
        COUNTERS.add(f"faults.{kind}")
        log(f"fault in {kind}: {traceback.format_exc()}", f"fault {kind}")
    if give_up is not None:
        run_isolated(f"{kind}.ending", give_up)
    return False
