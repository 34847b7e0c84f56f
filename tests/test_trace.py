"""The event log: its lines, its limits, and that a call can be followed by its id."""

from __future__ import annotations

import io
from collections.abc import Callable
from datetime import timedelta

from reedmount.core.trace import BURST, LINES_PER_SECOND, Trace
from tests.scenario import VirtualTime, digits
from tests.test_platform import ESTABLISH, Platform


def make_trace() -> tuple[VirtualTime, Trace, io.StringIO, list[Callable[[], None]]]:
    time, out, later = VirtualTime(), io.StringIO(), list[Callable[[], None]]()
    return time, Trace(time.clock, later.append, out), out, later


def test_the_lines_of_one_turn_are_written_at_once() -> None:
    _, trace, out, later = make_trace()
    trace("call.stands", call="c1", server="s1")
    trace("call.released", call="c1", by="server")
    assert not out.getvalue() and len(later) == 1
    later[0]()
    assert out.getvalue().splitlines() == [
        "t=1800000000.000 event=call.stands call=c1 server=s1",
        "t=1800000000.000 event=call.released call=c1 by=server",
    ]


def test_a_flood_of_one_event_is_limited_and_the_suppressed_lines_counted() -> None:
    time, trace, out, _ = make_trace()
    for number in range(BURST + 50):
        trace("call.refused", call=number)
    trace("call.stands", call="other")
    time.seconds += 1 / LINES_PER_SECOND
    trace("call.refused", call="last")
    trace.flush()
    lines = out.getvalue().splitlines()
    assert len(lines) == BURST + 2, "each event name has its own allowance"
    assert lines[-1].endswith("event=call.refused call=last left_out=50")


def test_a_call_can_be_followed_by_its_id() -> None:
    stage = Platform("server")
    out = io.StringIO()
    stage.loop.trace._out = out
    stage.play(
        ESTABLISH
        + """
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect BYE c1
    """
    )
    stage.wait(timedelta(milliseconds=10))
    logged = [line.partition("event=")[2] for line in out.getvalue().splitlines() if digits("c1") in line]
    assert [line.split()[0] for line in logged] == ["call.stands", "call.released", "release.sent"]
    assert "server=server" in logged[0] and "by=server cause=16" in logged[1]
