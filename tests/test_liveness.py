"""Call servers that fall silent with established calls: callers are released in time without discovery."""

from __future__ import annotations

import socket
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from reedmount.core.checks import COUNTERS
from reedmount.core.liveness import DEAD_AFTER, MIN_PROBED, PROBE_AFTER_SILENCE, PROBE_TIMEOUT, Liveness
from tests.scenario import HOST, Peer, full_backlog
from tests.test_platform import ESTABLISH, ESTABLISH_OTHER, Platform

T0 = datetime(2026, 1, 1, tzinfo=UTC)
REPORT_WITHIN = timedelta(seconds=8)  # of a call's end, if its server could send no release
ENDS = """
    server send BYE c1 reason=Q.850;cause=16
    server expect 200 c1
    caller expect BYE c1 reason=Q.850;cause=16
"""
TWO_MORE_SETUPS = """
    other send INVITE t x-cos=small x-timer-ms=2000
    other send INVITE u x-cos=small x-timer-ms=2000
    server expect INVITE t
    server expect INVITE u
"""
MILLISECOND = timedelta(milliseconds=1)


def test_a_peer_that_sends_is_not_probed_and_never_dead() -> None:
    liveness = Liveness(T0)
    for step in range(1, 100):
        now = T0 + step * PROBE_AFTER_SILENCE * 0.9
        assert not liveness.probe_due(now) and not liveness.is_dead(now) and not liveness.is_suspect(now)
        liveness.record_received(now)


def test_a_silent_peer_is_probed_and_an_answer_clears_the_suspicion() -> None:
    liveness = Liveness(T0)
    now = T0 + PROBE_AFTER_SILENCE
    assert liveness.probe_due(now)
    liveness.record_probe(now)
    assert not liveness.probe_due(now + PROBE_TIMEOUT - MILLISECOND) and liveness.probe_due(
        now + PROBE_TIMEOUT
    )
    assert not liveness.is_suspect(now + PROBE_TIMEOUT - MILLISECOND) and liveness.is_suspect(
        now + PROBE_TIMEOUT
    )
    liveness.record_received(now + PROBE_TIMEOUT)
    assert not liveness.is_suspect(now + 10 * PROBE_TIMEOUT) and not liveness.is_dead(T0 + 10 * DEAD_AFTER)


def test_silence_counts_only_while_probes_are_unanswered() -> None:
    """A process that was stalled itself has received nothing for long, but has sent no probe either."""
    liveness = Liveness(T0)
    late = T0 + 2 * DEAD_AFTER
    assert not liveness.is_dead(late)
    liveness.record_probe(late)
    assert not liveness.is_dead(late + MIN_PROBED - MILLISECOND) and liveness.is_dead(late + MIN_PROBED)


def test_dead_after_leaves_time_to_release_callers() -> None:
    """It is also longer than the partitions that calls have to survive."""
    assert timedelta(seconds=7) < DEAD_AFTER < REPORT_WITHIN - timedelta(milliseconds=500)


def fall_silent(server: Peer) -> None:
    """Let a server accept everything and send nothing."""
    server.answers_probes = False
    server.take = lambda message: None  # type: ignore[method-assign]


def fail_probes_on(server: Peer, silent: socket.socket) -> None:
    """Let one connection of a server be dead and the others work."""
    passes = server.answers_probe
    server.answers_probe = lambda message: server.sock is not silent and passes(message)  # type: ignore[method-assign]


def seconds_until_released(stage: Platform, longest_s: float = 9.0) -> float:
    """Wait until the caller receives the release; how many seconds that took."""
    caller, started_at = stage.peers["caller"], stage.time.seconds
    while not any(message.method == "BYE" for message in caller.inbox):
        assert stage.time.seconds - started_at < longest_s, "the caller received no release"
        stage.wait(timedelta(milliseconds=50))
    return stage.time.seconds - started_at


@pytest.mark.parametrize("accepts", [True, False], ids=["new connections come up", "none comes up"])
def test_the_caller_is_released_though_neither_its_server_nor_discovery_reports_anything(
    accepts: bool,
) -> None:
    """The machine vanished: its connection stays open and silent, and the list does not change."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    fall_silent(server)
    with full_backlog() as (full, _):
        if not accepts:
            stage.set_servers("server", port=full.getsockname()[1])
        waited = seconds_until_released(stage)
    assert timedelta(seconds=7) < timedelta(seconds=waited) < REPORT_WITHIN
    assert stage.switch.is_idle
    stage.play("caller expect BYE c1 reason=Q.850;cause=41")


def test_a_server_with_nothing_to_send_is_probed_and_keeps_its_calls() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH)
    probes = COUNTERS["out.server.OPTIONS"]
    stage.play("wait 9000\n caller expect nothing")
    assert not stage.switch.is_idle and COUNTERS["out.server.OPTIONS"] > probes
    stage.play(ENDS)
    stage.play("wait 2000\n server expect nothing")


def test_a_server_without_calls_is_not_probed() -> None:
    stage = Platform("server")
    probes = COUNTERS["out.server.OPTIONS"]
    stage.play("wait 5000")
    assert COUNTERS["out.server.OPTIONS"] == probes


def test_a_server_that_was_silent_for_six_seconds_keeps_its_calls() -> None:
    """After a partition the server sends what it could not send before."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    fall_silent(server)
    stage.play("wait 6000")
    del server.take
    server.answers_probes = True
    stage.play("wait 4000\n caller expect nothing")
    assert not stage.switch.is_idle


def test_a_server_that_returns_after_its_calls_were_dropped_receives_their_releases() -> None:
    """It still has the calls: they would occupy its lines until they end."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    server.answers_probes = False
    seconds_until_released(stage)
    stage.settle()
    assert "BYE" in [message.method for message in server.inbox]


def test_a_silent_connection_of_a_live_server_is_closed_and_its_calls_go_on() -> None:
    """Its server sends on another connection what it could not send on the dead one."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    dead = next(iter(server.rings))
    fail_probes_on(server, dead)
    stage.play(
        TWO_MORE_SETUPS
        + """
        server send 200 INVITE t
        server send 200 INVITE u
    """
    )
    assert len(server.rings) == 2
    stage.play("wait 4000")
    server.inbox.clear()
    assert not stage.switch.is_idle and COUNTERS["server.lane_silent"]
    stage.play(ENDS)


def test_a_process_that_was_stalled_itself_does_not_count_its_servers_as_dead() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH + "wait 900")
    stage.time.seconds += 30
    stage.play("wait 1000\n caller expect nothing")
    assert not stage.switch.is_idle


def report(free: int) -> str:
    return f"server send NOTIFY state x-occupancy=x0:{free};x1:40"


def test_another_process_at_the_same_address_has_none_of_the_calls() -> None:
    """It took over so quickly that no connection was refused; only the lines in use show the change."""
    stage = Platform("server")
    stage.play(ESTABLISH + "wait 2500\n server close reset\n wait 100")
    assert not stage.switch.is_idle, "a reset cuts no call by itself"
    stage.play(report(40) + "\n wait 300\n caller expect nothing\n wait 1000")
    stage.play("caller expect BYE c1 reason=Q.850;cause=41")
    assert stage.switch.is_idle


def test_calls_end_though_others_fill_the_lines_of_the_process_that_took_over() -> None:
    """Calls of other border controllers made up for the missing ones while discovery was down."""
    stage = Platform("server")
    stage.play(ESTABLISH + "wait 2500\n" + ESTABLISH_OTHER + "wait 500\n server close reset\n wait 100")
    stage.play(report(40) + "\n wait 200\n" + report(20) + "\n wait 1000")
    stage.play("caller expect BYE c1 reason=Q.850;cause=41\n other expect BYE t reason=Q.850;cause=41")
    assert stage.switch.is_idle


@pytest.mark.parametrize("free", [39, 20])
def test_a_server_whose_lines_are_in_use_keeps_its_calls_after_a_reset(free: int) -> None:
    stage = Platform("server")
    stage.play(ESTABLISH + "wait 2500\n server close reset\n wait 100\n" + report(free) + "\n wait 2000")
    assert not stage.switch.is_idle


def test_a_report_proves_nothing_while_no_connection_has_broken() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH + "wait 2500\n" + report(40) + "\n wait 2000")
    assert not stage.switch.is_idle


def test_a_draining_server_that_accepts_no_connection_keeps_the_calls_on_its_open_ones() -> None:
    """Its listener was closed: a refused connection counted as the end of its process, and calls were cut."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    assert server.listener is not None
    with socket.create_server((HOST, 0)) as closed:
        port = closed.getsockname()[1]
    server.listener.close()
    server.listener = None
    server.answers_probe = lambda message: message.method == "OPTIONS"  # type: ignore[method-assign]
    peer = next(iter(stage.call_servers._peers.values()))
    peer._entry = replace(peer._entry, address=(HOST, port))
    for connection in list(peer._connections):
        peer._retire(connection, "a test")
    peer._dial()
    stage.play("wait 1000")
    assert not stage.switch.is_idle
    stage.switch.server_lost("server", "a test")
    assert stage.switch.is_idle


# --- clients that fall silent ---


def test_an_unconfirmed_release_is_also_sent_on_another_connection() -> None:
    """A client's connection was silently dead: the release stayed queued until it ended seconds later."""
    stage = Platform("server")
    stage.play(ESTABLISH_OTHER + ESTABLISH)
    stage.play("""
        server send BYE t reason=Q.850;cause=16
        server expect 200 t
        other expect BYE t
        other send 200 BYE
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect BYE c1
        other expect nothing
        wait 350
        other expect BYE c1 reason=Q.850;cause=16
        other send 200 BYE c1
        caller close
        wait 1000
        other expect nothing
    """)
    assert stage.switch.is_idle and stage.callers.is_idle


def test_where_clients_confirm_no_release_each_is_sent_once() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH_OTHER + ESTABLISH + ENDS)
    stage.play("wait 2000\n other expect nothing\n caller expect nothing")


# --- broken connections ---


def test_calls_of_a_broken_connection_end_when_another_machine_answers_at_the_address() -> None:
    """Their connection had broken before the machine vanished; the new machine at its address answered."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    server.close(reset=True)
    stage.play("wait 300")
    old = next(iter(server.rings))
    fail_probes_on(server, old)
    stage.play(TWO_MORE_SETUPS)
    assert len(server.rings) > 1, "another connection is active, to which c1 is not attached"
    assert timedelta(seconds=seconds_until_released(stage, 9.0)) < REPORT_WITHIN


def test_a_release_on_a_connection_that_breaks_at_once_is_resent() -> None:
    """It was written to a connection that the server closed as soon as it was up."""
    stage = Platform("server")
    stage.play(ESTABLISH + "caller send BYE c1\n caller expect 200 c1")
    stage.play("server expect BYE c1\n server close reset")
    stage.play("wait 300\n server expect BYE c1\n server send 200 BYE c1\n server close reset")
    stage.play("wait 1000\n server expect nothing")


def test_a_client_that_writes_during_the_close_still_reads_its_last_answer() -> None:
    """Data in transit at the close caused a reset, which discarded the last answer."""
    stage = Platform("server")
    stage.play("caller send OPTIONS t\n wait 5")
    client = next(iter(stage.callers._clients))
    client.close("a test", gracefully=True)
    caller = stage.peers["caller"]
    for _ in range(3):
        caller.write(caller.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode())
        stage.loop.turn(timedelta(0))
    stage.play("caller expect 200 t\n caller expect CLOSED")
    watched = stage.loop.watched_count
    stage.play("wait 150")
    assert stage.loop.watched_count <= watched and not stage.callers._clients
