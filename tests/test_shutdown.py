"""Shutdown and drains: set-ups are refused and answered, and connections closed, before a possible kill."""

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
from tests.test_platform import ESTABLISH, SETUP, Platform
from tests.test_start import line, started

T0 = datetime(2026, 1, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
LONGEST = 1000  # ms, in the settings
KILL_AFTER = earliest_kill(LONGEST * MS)


def test_the_earliest_kill_is_the_longest_deadline_and_a_slack_after_the_signal() -> None:
    assert earliest_kill(1200 * MS) == 1900 * MS
    assert earliest_kill(3000 * MS) == earliest_kill(9000 * MS) == 3700 * MS


@pytest.mark.parametrize("longest", [300, 1000, 1200, 3000, 9000])
def test_the_steps_of_a_shutdown_are_in_order_and_before_the_kill(longest: int) -> None:
    kill_at = T0 + earliest_kill(longest * MS)
    shutdown = Shutdown(T0, kill_at)
    assert shutdown.probe_at is not None and shutdown.close_at is not None
    assert T0 < shutdown.probe_at < shutdown.answer_by < shutdown.close_at < kill_at - 100 * MS
    assert not shutdown.is_past_deadline(shutdown.close_at) and shutdown.is_past_deadline(kill_at - 20 * MS)
    assert not shutdown.refuses_setups(T0 + 500 * MS) and shutdown.refuses_setups(shutdown.close_at)


def test_a_drain_has_no_deadline() -> None:
    shutdown = Shutdown(T0)
    late = T0 + timedelta(hours=1)
    assert shutdown.refuses_setups(late) and shutdown.skips_quiet_period(late)
    assert not shutdown.closes_all_connections(late) and not shutdown.is_past_deadline(late)


def test_the_lifecycle_keeps_the_first_shutdown_and_discards_an_undone_drain() -> None:
    time = VirtualTime()
    lifecycle = Lifecycle(time.clock)
    lifecycle.quiesce()
    assert lifecycle.shutdown is not None and lifecycle.shutdown.kill_at is None
    lifecycle.resume()
    assert lifecycle.shutdown is None
    lifecycle.end(KILL_AFTER)
    first = lifecycle.shutdown
    time.seconds += 1
    lifecycle.end(10 * KILL_AFTER)
    assert lifecycle.shutdown is first and lifecycle.phase is Phase.ENDING


# --- connections ---


def begin_shutdown(stage: Platform) -> None:
    stage.switch.lifecycle.end(KILL_AFTER)


def test_during_shutdown_set_ups_are_refused_although_a_call_is_established() -> None:
    """They were accepted until SIGKILL came, however long their callers were ready to wait."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    begin_shutdown(stage)
    stage.play("wait 800")
    sent = COUNTERS["attempts.sent"]
    stage.play(f"caller send {SETUP.replace('c1', 'c2')}\n caller expect 503 c2")
    assert COUNTERS["attempts.sent"] == sent
    stage.play("server send BYE c1 reason=Q.850;cause=16\n server expect 200 c1\n caller expect BYE c1")
    stage.play("wait 300\n caller expect CLOSED")


def test_a_connection_with_an_established_call_is_closed_before_the_kill() -> None:
    """A set-up that crosses the kill is lost; one that crosses a close is sent again."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    begin_shutdown(stage)
    stage.play("wait 1400\n caller expect nothing\n wait 100\n caller expect CLOSED")
    assert not stage.switch.is_idle, "the call stays established: the next process receives its release"


def test_an_unread_set_up_is_answered_before_its_connection_is_closed() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH)
    begin_shutdown(stage)
    stage.play("wait 1440")
    caller = stage.peers["caller"]
    caller.write(caller.request("INVITE", "c2", {"x-cos": "small", "x-timer-ms": "900"}, b"").encode())
    stage.time.seconds += 0.02
    stage.play("caller expect 503 c2\n wait 50\n caller expect CLOSED")


def test_connections_accepted_during_the_final_close_are_answered_and_closed() -> None:
    stage = Platform("server")
    begin_shutdown(stage)
    stage.play(f"wait 1480\n other send {SETUP.replace('c1', 'c3')}\n other expect 503 c3")
    stage.play("wait 20\n other expect CLOSED")


def test_a_drain_refuses_set_ups_on_a_connection_kept_open_by_an_established_call() -> None:
    """Its client kept sending set-ups, and the connection was never closed."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    stage.switch.lifecycle.quiesce()
    stage.play("wait 700")
    for name in ("c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"):
        stage.play(f"caller send {SETUP.replace('c1', name)}\n caller expect 503 {name}\n wait 300")
    stage.play("server send BYE c1 reason=Q.850;cause=16\n server expect 200 c1\n caller expect BYE c1")
    stage.play("wait 100\n caller expect CLOSED")
    assert stage.switch.is_idle


def test_calls_at_a_silent_server_are_released_before_the_process_exits() -> None:
    """Nothing else would release them: the server is silent, and the next process has no record of them."""
    stage = Platform("server", "second")
    stage.play(ESTABLISH)
    stage.peers["server"].answers_probes = False
    shutdown = Shutdown(stage.loop.clock.now(), stage.loop.clock.now() + KILL_AFTER)
    assert shutdown.probe_at is not None and shutdown.close_at is not None
    stage.loop.call_at(shutdown.probe_at, stage.call_servers.probe_servers)
    stage.loop.call_at(shutdown.close_at, stage.call_servers.drop_silent_servers)
    stage.play("wait 1400\n caller expect nothing\n wait 100\n caller expect BYE c1 reason=Q.850;cause=41")
    assert stage.switch.is_idle


def test_calls_at_a_server_that_answers_stay_established_when_the_process_exits() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH)
    stage.call_servers.probe_servers()
    stage.play("wait 50")
    stage.call_servers.drop_silent_servers()
    stage.play("wait 50\n caller expect nothing")
    assert not stage.switch.is_idle


def test_a_release_that_cannot_be_delivered_any_more_is_not_confirmed() -> None:
    """It was confirmed without a connected client, so its server did not repeat it to the next process."""
    stage = Platform("server")
    stage.call_servers.has_unsent_release = stage.callers.has_unsent_release
    stage.play(ESTABLISH + "caller close\n wait 10")
    begin_shutdown(stage)
    stage.play("server send BYE c1 reason=Q.850;cause=16\n wait 100\n server expect nothing")


def test_a_server_that_was_unreachable_at_the_start_is_dialled_until_it_accepts() -> None:
    """It had releases from before the start, and no connection to send them on until a set-up went there."""
    stage = Platform()
    with socket.create_server((HOST, 0)) as place:
        port = place.getsockname()[1]
    stage.peer("server", "thin")
    stage.set_servers("server", port=port)
    stage.play("wait 1500")
    with socket.create_server((HOST, port)) as late:
        stage.play("wait 1100")
        late.settimeout(1)
        late.accept()[0].close()


# --- the real process ---

INVITE = (b"INVITE sip:00000000000000a7@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\n"
          b"X-Cos: plain\r\nX-Timer-Ms: 900\r\nContent-Length: 0\r\n\r\n")  # fmt: skip


@pytest.mark.parametrize("signals", [1, 3])
def test_all_requests_before_the_close_are_answered(tmp_path: Path, signals: int) -> None:
    """Clients keep sending on a connection for as long as it is open, whatever the deadlines."""
    no_servers = {"rev": 1, "notices": [notice(1, whole=True)]}
    platform(tmp_path, known=no_servers, settings=changed(deadline=1_000_000))
    rng = random.Random(5)
    with started(GW_CONFIG=str(tmp_path / "config.json"), GW_LISTEN=f"{HOST}:0") as process:
        port = int(line(process).rpartition(":")[2])
        with socket.create_connection((HOST, port)) as caller:
            for _ in range(signals):
                os.kill(process.pid, signal.SIGTERM)
            sent, received, closed = 0, b"", False
            while not closed:
                if select.select([caller], [], [], rng.uniform(0, 0.01))[0]:
                    try:
                        data = caller.recv(65536)
                    except ConnectionResetError:
                        data = b""
                    received, closed = received + data, not data
                elif sent < 2000:
                    try:
                        caller.sendall(INVITE % sent)
                    except OSError:
                        break
                    sent += 1
            answered = received.count(b"SIP/2.0 ")
            assert sent > 20 and sent - answered <= 1, "only one may have crossed the close"
        assert process.wait(20) == 0
