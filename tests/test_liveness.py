"""Call servers that fall silent with calls standing: callers are told in time, whatever discovery says."""

from __future__ import annotations

import socket
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from reedmount.core.checks import COUNTERS
from reedmount.core.liveness import DEAD_AFTER, MIN_PROBED, PROBE_AFTER_SILENCE, PROBE_TIMEOUT, Liveness
from tests.scenario import HOST, Peer, crowded
from tests.test_platform import ANOTHER, STANDS, Platform

T0 = datetime(2026, 1, 1, tzinfo=UTC)
TOLD_WITHIN = timedelta(seconds=8)  # of its end, where no release could be sent
ENDS = """
    server send BYE c1 reason=Q.850;cause=16
    server expect 200 c1
    caller expect BYE c1 reason=Q.850;cause=16
"""
TWO_MORE = """
    other send INVITE t x-cos=small x-timer-ms=2000
    other send INVITE u x-cos=small x-timer-ms=2000
    server expect INVITE t
    server expect INVITE u
"""
MOMENT = timedelta(milliseconds=1)


def test_a_peer_with_news_is_not_tested_and_never_dead() -> None:
    liveness = Liveness(T0)
    for step in range(1, 100):
        now = T0 + step * PROBE_AFTER_SILENCE * 0.9
        assert not liveness.probe_due(now) and not liveness.is_dead(now) and not liveness.is_suspect(now)
        liveness.record_received(now)


def test_a_quiet_peer_is_tested_and_an_answer_settles_it() -> None:
    liveness = Liveness(T0)
    now = T0 + PROBE_AFTER_SILENCE
    assert liveness.probe_due(now)
    liveness.record_probe(now)
    assert not liveness.probe_due(now + PROBE_TIMEOUT - MOMENT) and liveness.probe_due(now + PROBE_TIMEOUT)
    assert not liveness.is_suspect(now + PROBE_TIMEOUT - MOMENT) and liveness.is_suspect(now + PROBE_TIMEOUT)
    liveness.record_received(now + PROBE_TIMEOUT)
    assert not liveness.is_suspect(now + 10 * PROBE_TIMEOUT) and not liveness.is_dead(T0 + 10 * DEAD_AFTER)


def test_silence_counts_only_while_tests_go_unanswered() -> None:
    """A process that stood still itself has heard nothing for long, and has asked nothing either."""
    liveness = Liveness(T0)
    late = T0 + 2 * DEAD_AFTER
    assert not liveness.is_dead(late)
    liveness.record_probe(late)
    assert not liveness.is_dead(late + MIN_PROBED - MOMENT) and liveness.is_dead(late + MIN_PROBED)


def test_dead_leaves_room_until_callers_have_to_be_told() -> None:
    """And is longer than the partitions that calls are to outlive."""
    assert timedelta(seconds=7) < DEAD_AFTER < TOLD_WITHIN - timedelta(milliseconds=500)


def fall_silent(server: Peer) -> None:
    """It takes what comes and says nothing."""
    server.answers = False
    server.take = lambda message: None  # type: ignore[method-assign]


def fail_tests_on(server: Peer, silent: socket.socket) -> None:
    """One of its connections is dead, the others are not."""
    passes = server.passes_test
    server.passes_test = lambda message: server.sock is not silent and passes(message)  # type: ignore[method-assign]


def until_told(stage: Platform, longest_s: float = 9.0) -> float:
    """Seconds until the caller hears the release."""
    caller, begun = stage.peers["caller"], stage.time.seconds
    while not any(message.method == "BYE" for message in caller.inbox):
        assert stage.time.seconds - begun < longest_s, "the caller was not told"
        stage.wait(timedelta(milliseconds=50))
    return stage.time.seconds - begun


@pytest.mark.parametrize("accepts", [True, False], ids=["new connections come up", "none comes up"])
def test_the_caller_is_told_though_neither_its_server_nor_discovery_says_a_word(accepts: bool) -> None:
    """The machine vanished: the connection stayed open and silent, and the list did not change."""
    stage = Platform("server")
    stage.play(STANDS)
    server = stage.peers["server"]
    fall_silent(server)
    with crowded() as (full, _):
        if not accepts:
            stage.tell("server", port=full.getsockname()[1])
        took = until_told(stage)
    assert timedelta(seconds=7) < timedelta(seconds=took) < TOLD_WITHIN
    assert stage.switch.is_idle
    stage.play("caller expect BYE c1 reason=Q.850;cause=41")


def test_a_server_with_no_news_is_tested_and_its_calls_stand_on() -> None:
    stage = Platform("server")
    stage.play(STANDS)
    tests = COUNTERS["out.server.OPTIONS"]
    stage.play("wait 9000\n caller expect nothing")
    assert not stage.switch.is_idle and COUNTERS["out.server.OPTIONS"] > tests
    stage.play(ENDS)
    stage.play("wait 2000\n server expect nothing")


def test_a_server_without_calls_is_not_tested() -> None:
    stage = Platform("server")
    tests = COUNTERS["out.server.OPTIONS"]
    stage.play("wait 5000")
    assert COUNTERS["out.server.OPTIONS"] == tests


def test_a_server_that_was_silent_for_six_seconds_keeps_its_calls() -> None:
    """A partition: what it had to say comes once it is over."""
    stage = Platform("server")
    stage.play(STANDS)
    server = stage.peers["server"]
    fall_silent(server)
    stage.play("wait 6000")
    del server.take
    server.answers = True
    stage.play("wait 4000\n caller expect nothing")
    assert not stage.switch.is_idle


def test_a_server_that_comes_back_after_its_calls_were_counted_as_over_is_told() -> None:
    """It still has them: they would take its lines until they end."""
    stage = Platform("server")
    stage.play(STANDS)
    server = stage.peers["server"]
    server.answers = False
    until_told(stage)
    stage.settle()
    assert "BYE" in [message.method for message in server.inbox]


def test_a_connection_that_is_silent_alone_is_closed_and_its_calls_stand_on() -> None:
    """Its server is heard elsewhere, and says there what it could not say on the dead one."""
    stage = Platform("server")
    stage.play(STANDS)
    server = stage.peers["server"]
    dead = next(iter(server.rings))
    fail_tests_on(server, dead)
    stage.play(
        TWO_MORE
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


def test_a_process_that_stood_still_itself_does_not_count_its_servers_as_dead() -> None:
    stage = Platform("server")
    stage.play(STANDS + "wait 900")
    stage.time.seconds += 30
    stage.play("wait 1000\n caller expect nothing")
    assert not stage.switch.is_idle


def report(free: int) -> str:
    return f"server send NOTIFY state x-occupancy=x0:{free};x1:40"


def test_another_process_at_the_same_address_has_none_of_the_calls() -> None:
    """It took over so quickly that no connection was refused; only the lines in use give it away."""
    stage = Platform("server")
    stage.play(STANDS + "wait 2500\n server close reset\n wait 100")
    assert not stage.switch.is_idle, "a reset cuts no call by itself"
    stage.play(report(40) + "\n wait 300\n caller expect nothing\n wait 1000")
    stage.play("caller expect BYE c1 reason=Q.850;cause=41")
    assert stage.switch.is_idle


@pytest.mark.parametrize("free", [39, 20])
def test_a_server_whose_lines_are_in_use_keeps_its_calls_after_a_reset(free: int) -> None:
    stage = Platform("server")
    stage.play(STANDS + "wait 2500\n server close reset\n wait 100\n" + report(free) + "\n wait 2000")
    assert not stage.switch.is_idle


def test_a_report_proves_nothing_while_no_connection_has_broken() -> None:
    stage = Platform("server")
    stage.play(STANDS + "wait 2500\n" + report(40) + "\n wait 2000")
    assert not stage.switch.is_idle


def test_a_draining_server_that_takes_no_connection_keeps_the_calls_on_those_it_has() -> None:
    """Its listener was closed: a refused connection proved that its process was gone, and calls were cut."""
    stage = Platform("server")
    stage.play(STANDS)
    server = stage.peers["server"]
    assert server.listener is not None
    with socket.create_server((HOST, 0)) as closed:
        port = closed.getsockname()[1]
    server.listener.close()
    server.listener = None
    server.passes_test = lambda message: message.method == "OPTIONS"  # type: ignore[method-assign]
    peer = next(iter(stage.side._peers.values()))
    peer._entry = replace(peer._entry, address=(HOST, port))
    for connection in list(peer._connections):
        peer._retire(connection, "a test")
    peer._dial()
    stage.play("wait 1000")
    assert not stage.switch.is_idle
    stage.switch.server_lost("server", "a test")
    assert stage.switch.is_idle


# --- clients that fall silent ---


def test_a_release_that_is_not_confirmed_goes_another_way_as_well() -> None:
    """A client's connection was silently dead: the release lay there until it ended, seconds later."""
    stage = Platform("server")
    stage.play(ANOTHER + STANDS)
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
    stage.play(ANOTHER + STANDS + ENDS)
    stage.play("wait 2000\n other expect nothing\n caller expect nothing")


# --- what a broken connection leaves behind ---


def test_calls_of_a_broken_connection_end_with_the_others_once_another_machine_answers() -> None:
    """Their connection had broken before the machine vanished; the new one at its address was heard."""
    stage = Platform("server")
    stage.play(STANDS)
    server = stage.peers["server"]
    server.close(reset=True)
    stage.play("wait 300")
    old = next(iter(server.rings))
    fail_tests_on(server, old)
    stage.play(TWO_MORE)
    assert len(server.rings) > 1, "another connection is heard, on which c1 does not hang"
    assert timedelta(seconds=until_told(stage, 9.0)) < TOLD_WITHIN


def test_a_release_on_a_connection_that_breaks_at_once_comes_again() -> None:
    """It was written to a connection that its server closed as soon as it was up."""
    stage = Platform("server")
    stage.play(STANDS + "caller send BYE c1\n caller expect 200 c1")
    stage.play("server expect BYE c1\n server close reset")
    stage.play("wait 300\n server expect BYE c1\n server send 200 BYE c1\n server close reset")
    stage.play("wait 1000\n server expect nothing")


def test_a_client_reads_its_last_answer_though_it_writes_as_its_connection_is_closed() -> None:
    """The close was a reset to whatever was on its way, and took the answer with it."""
    stage = Platform("server")
    stage.play("caller send OPTIONS t\n wait 5")
    link = next(iter(stage.callers._links))
    link.close("a test", softly=True)
    caller = stage.peers["caller"]
    for _ in range(3):
        caller.write(caller.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode())
        stage.loop.turn(timedelta(0))
    stage.play("caller expect 200 t\n caller expect CLOSED")
    watched = stage.loop.watched_count
    stage.play("wait 150")
    assert stage.loop.watched_count <= watched and not stage.callers._links
