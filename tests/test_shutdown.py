"""The end of the process, and drains: what is refused, answered and closed before a kill may come."""

from __future__ import annotations

import os
import random
import select
import signal
import socket
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from reedmount.core.checks import COUNTERS
from reedmount.core.lifecycle import Lifecycle, Phase
from reedmount.core.shutdown import Shutdown, earliest_kill
from tests.scenario import HOST, VirtualTime
from tests.test_board import notice
from tests.test_config import changed, platform
from tests.test_platform import SETUP, STANDS, Platform
from tests.test_start import line, started

T0 = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
LONGEST = 1000  # ms, in the settings
KILL_AFTER = earliest_kill(LONGEST * MS)


def test_the_kill_comes_the_longest_deadline_and_a_slack_after_the_signal() -> None:
    assert earliest_kill(1200 * MS) == 1900 * MS
    assert earliest_kill(3000 * MS) == earliest_kill(9000 * MS) == 3700 * MS


@pytest.mark.parametrize("longest", [300, 1000, 1200, 3000, 9000])
def test_the_steps_of_an_end_come_in_their_order_and_before_the_kill(longest: int) -> None:
    kill_at = T0 + earliest_kill(longest * MS)
    shutdown = Shutdown(T0, kill_at)
    assert shutdown.probe_at is not None and shutdown.close_at is not None
    assert T0 < shutdown.probe_at < shutdown.answer_by < shutdown.close_at < kill_at - 100 * MS
    assert not shutdown.is_past_deadline(shutdown.close_at) and shutdown.is_past_deadline(kill_at - 20 * MS)
    assert not shutdown.refuses_setups(T0 + 500 * MS) and shutdown.refuses_setups(shutdown.close_at)


def test_a_drain_has_no_end_of_its_own() -> None:
    shutdown = Shutdown(T0)
    late = T0 + timedelta(hours=1)
    assert shutdown.refuses_setups(late) and shutdown.skips_quiet_period(late)
    assert not shutdown.closes_all_connections(late) and not shutdown.is_past_deadline(late)


def test_the_lifecycle_keeps_the_first_end_and_forgets_a_drain_that_is_undone() -> None:
    time = VirtualTime()
    life = Lifecycle(time.clock)
    life.quiesce()
    assert life.shutdown is not None and life.shutdown.kill_at is None
    life.resume()
    assert life.shutdown is None
    life.end(KILL_AFTER)
    first = life.shutdown
    time.seconds += 1
    life.end(10 * KILL_AFTER)
    assert life.shutdown is first and life.phase is Phase.ENDING


# --- on connections ---


def ending(stage: Platform) -> None:
    stage.switch.lifecycle.end(KILL_AFTER)


def test_at_the_end_set_ups_are_refused_at_once_where_a_call_stands() -> None:
    """They were taken until SIGKILL came, with whatever time their caller had."""
    stage = Platform("server")
    stage.play(STANDS)
    ending(stage)
    stage.play("wait 800")
    sent = COUNTERS["attempts.sent"]
    stage.play(f"caller send {SETUP.replace('c1', 'c2')}\n caller expect 503 c2")
    assert COUNTERS["attempts.sent"] == sent
    stage.play("server send BYE c1 reason=Q.850;cause=16\n server expect 200 c1\n caller expect BYE c1")
    stage.play("wait 300\n caller expect CLOSED")


def test_at_the_end_a_connection_with_a_standing_call_is_closed_before_the_kill() -> None:
    """A set-up that crossed the kill itself was lost; one that crosses a close goes again."""
    stage = Platform("server")
    stage.play(STANDS)
    ending(stage)
    stage.play("wait 1400\n caller expect nothing\n wait 100\n caller expect CLOSED")
    assert not stage.switch.is_idle, "the call itself goes on: the next process hears its release"


def test_a_set_up_that_lies_unread_as_all_is_closed_is_answered_first() -> None:
    stage = Platform("server")
    stage.play(STANDS)
    ending(stage)
    stage.play("wait 1440")
    caller = stage.peers["caller"]
    caller.write(caller.request("INVITE", "c2", {"x-cos": "small", "x-timer-ms": "900"}, b"").encode())
    stage.time.seconds += 0.02
    stage.play("caller expect 503 c2\n wait 50\n caller expect CLOSED")


def test_connections_that_come_as_all_is_closed_are_answered_and_closed() -> None:
    stage = Platform("server")
    ending(stage)
    stage.play(f"wait 1480\n other send {SETUP.replace('c1', 'c3')}\n other expect 503 c3")
    stage.play("wait 20\n other expect CLOSED")


def test_a_drain_refuses_set_ups_on_a_connection_that_a_standing_call_keeps_open() -> None:
    """Its client went on as before, and the connection was never closed."""
    stage = Platform("server")
    stage.play(STANDS)
    stage.switch.lifecycle.quiesce()
    stage.play("wait 700")
    for name in ("c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"):
        stage.play(f"caller send {SETUP.replace('c1', name)}\n caller expect 503 {name}\n wait 300")
    stage.play("server send BYE c1 reason=Q.850;cause=16\n server expect 200 c1\n caller expect BYE c1")
    stage.play("wait 100\n caller expect CLOSED")
    assert stage.switch.is_idle


def test_calls_at_a_silent_server_are_told_before_the_process_ends() -> None:
    """Nobody else knows of them: the server says nothing, and the next process has no record."""
    stage = Platform("server", "second")
    stage.play(STANDS)
    stage.peers["server"].answers = False
    shutdown = Shutdown(stage.loop.clock.now(), stage.loop.clock.now() + KILL_AFTER)
    assert shutdown.probe_at is not None and shutdown.close_at is not None
    stage.loop.call_at(shutdown.probe_at, stage.side.probe_servers)
    stage.loop.call_at(shutdown.close_at, stage.side.drop_silent_servers)
    stage.play("wait 1400\n caller expect nothing\n wait 100\n caller expect BYE c1 reason=Q.850;cause=41")
    assert stage.switch.is_idle


def test_calls_at_a_server_that_answers_stand_on_as_the_process_ends() -> None:
    stage = Platform("server")
    stage.play(STANDS)
    stage.side.probe_servers()
    stage.play("wait 50")
    stage.side.drop_silent_servers()
    stage.play("wait 50\n caller expect nothing")
    assert not stage.switch.is_idle


def test_a_release_that_nobody_can_be_told_of_any_more_is_not_confirmed() -> None:
    """It was, with no client there, and so it never came again to the next process."""
    stage = Platform("server")
    stage.side.has_untold_release = stage.callers.has_untold_release
    stage.play(STANDS + "caller close\n wait 10")
    ending(stage)
    stage.play("server send BYE c1 reason=Q.850;cause=16\n wait 100\n server expect nothing")


def test_a_server_that_was_not_there_at_the_start_is_asked_until_it_is() -> None:
    """It had releases from before the start, and no connection to say them on until a set-up went there."""
    stage = Platform()
    with socket.create_server((HOST, 0)) as place:
        port = place.getsockname()[1]
    stage.peer("server", "thin")
    stage.tell("server", port=port)
    stage.play("wait 1500")
    with socket.create_server((HOST, port)) as late:
        stage.play("wait 1100")
        late.settimeout(1)
        late.accept()[0].close()


# --- the real process ---

INVITE = (b"INVITE sip:00000000000000a7@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\n"
          b"X-Cos: plain\r\nX-Timer-Ms: 900\r\nContent-Length: 0\r\n\r\n")  # fmt: skip


@pytest.mark.parametrize("signals", [1, 3])
def test_requests_that_come_until_the_close_are_all_answered(tmp_path: Path, signals: int) -> None:
    """Clients send on open connections for as long as these are open, whatever the deadlines."""
    nobody = {"rev": 1, "notices": [notice(1, whole=True)]}
    platform(tmp_path, known=nobody, settings=changed(deadline=1_000_000))
    rng = random.Random(5)
    with started(GW_CONFIG=str(tmp_path / "config.json"), GW_LISTEN=f"{HOST}:0") as process:
        port = int(line(process).rpartition(":")[2])
        with socket.create_connection((HOST, port)) as caller:
            for _ in range(signals):
                os.kill(process.pid, signal.SIGTERM)
            sent, heard, closed = 0, b"", False
            while not closed:
                if select.select([caller], [], [], rng.uniform(0, 0.01))[0]:
                    try:
                        data = caller.recv(65536)
                    except ConnectionResetError:
                        data = b""
                    heard, closed = heard + data, not data
                elif sent < 2000:
                    try:
                        caller.sendall(INVITE % sent)
                    except OSError:
                        break
                    sent += 1
            answered = heard.count(b"SIP/2.0 ")
            assert sent > 20 and sent - answered <= 1, "but for the one that crossed the close"
        assert process.wait(20) == 0
