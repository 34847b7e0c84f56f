"""Calls of the SIP front whose call server's process or connection ends."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta

import pytest

from reedmount import interface as i
from reedmount.core.ports import ListedServer
from reedmount.pool.claims import Claim, ClaimState
from reedmount.pool.pool import Pool
from reedmount.sources.lists import BOARD, BoardSource
from reedmount.sources.pool_host import PoolHost, PoolSettings
from tests.scenario import HOST
from tests.test_sip import SipStage, call


def listed(stage: SipStage, **changes: object) -> ListedServer:
    entry = ListedServer("server", (HOST, stage.peers["server"].port), 1, True, False, None, stage.kind)
    return replace(entry, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize("reset", ["", " reset"])
def test_callers_are_told_when_their_call_server_s_process_dies(reset: str) -> None:
    """Its connection was reset, new ones were refused, and its calls were left standing."""
    stage = SipStage("server", kind="tcp")
    stage.play(call("phone", "server") + f"server close{reset}")
    stage.peers["server"].stop()
    stage.play("wait 200\n phone expect BYE c1 reason=Q.850;cause=41")
    assert stage.switch.is_idle and not stage.front.server_legs


def test_calls_go_on_when_only_their_connection_to_the_call_server_ends() -> None:
    """A reset alone proves nothing: the process may have kept the calls."""
    stage = SipStage("server", kind="tcp")
    stage.play(
        call("phone", "server")
        + """
        server close reset
        wait 1500
        phone expect nothing
        phone send BYE c1
        phone expect 200 c1
        server expect BYE
    """
    )


def test_the_process_is_looked_for_again_until_it_refuses() -> None:
    """A first new connection that is closed as well says nothing about the process."""
    stage = SipStage("server", kind="tcp")
    stage.play(call("phone", "server") + "server close\n wait 150\n server close\n wait 250")
    stage.play("phone expect nothing")
    stage.peers["server"].close(reset=True)
    stage.peers["server"].stop()
    stage.play("wait 1100\n phone expect BYE c1 reason=Q.850;cause=41")


@pytest.mark.parametrize("removed", [True, False])
@pytest.mark.parametrize("kind", ["udp", "tcp"])
def test_callers_are_told_when_a_list_says_that_the_process_has_ended(kind: str, removed: bool) -> None:
    """Over UDP nothing else says so: the callers were never told."""
    stage = SipStage("server", kind=kind)
    stage.play(call("phone", "server") + "wait 10")
    ended = listed(stage, serving=False, removed=removed, ended_before=stage.loop.clock.now())
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [ended])
    stage.play("phone expect BYE c1 reason=Q.850;cause=41\n server expect BYE")
    assert stage.switch.is_idle and not stage.front.server_legs


@pytest.mark.parametrize("kind", ["udp", "tcp"])
def test_a_new_process_at_the_address_has_only_the_calls_sent_to_it(kind: str) -> None:
    """It was taken for the old one: calls of that one were left standing, and their callers not told."""
    stage = SipStage("server", kind=kind)
    stage.play(call("phone", "server", "old") + "wait 1000")
    started = stage.loop.clock.now()
    if kind == "tcp":
        stage.play("wait 100\n server close reset")
    stage.play("wait 1000\n" + call("desk", "server", "new"))
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [listed(stage, started=started, ended_before=started)])
    stage.play("phone expect BYE old reason=Q.850;cause=41\n server expect BYE\n desk expect nothing")
    assert stage.switch.call_counts == {"open": 0, "standing": 1}


def test_a_call_on_a_connection_from_before_the_start_of_a_new_process_is_ended_at_both_sides() -> None:
    """Sent since that start, it was taken for one of the new process and left standing."""
    stage = SipStage("server", kind="tcp")
    stage.play(call("phone", "server", "old") + "wait 1000")
    started = stage.loop.clock.now()
    stage.play("wait 100\n" + call("desk", "server", "late") + "wait 700")
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [listed(stage, started=started, ended_before=started)])
    stage.play("phone expect BYE old reason=Q.850;cause=41\n desk expect BYE late reason=Q.850;cause=41")
    stage.play("server expect BYE\n server expect BYE")
    assert stage.switch.is_idle


def replaced_since(stage: SipStage, client: str, name: str) -> None:
    """A call that was sent since the start of a new process, which the list tells then."""
    stage.play("wait 1000")
    started = stage.loop.clock.now()
    stage.play("wait 100\n" + call(client, "server", name) + "wait 700")
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [listed(stage, started=started, ended_before=started)])


def test_a_call_since_a_new_process_s_start_is_ended_where_that_one_does_not_know_it() -> None:
    """Over UDP it was taken for one of the new process, and left standing."""
    stage = SipStage("server")
    replaced_since(stage, "phone", "c1")
    stage.play("server expect OPTIONS\n server send 481 OPTIONS\n phone expect BYE c1 reason=Q.850;cause=41")
    assert stage.switch.is_idle and not stage.front.server_legs


@pytest.mark.parametrize("status", [200, 501])
@pytest.mark.parametrize("kind", ["udp", "tcp"])
def test_a_call_since_a_new_process_s_start_goes_on_where_that_one_answers_for_it(
    kind: str, status: int
) -> None:
    stage = SipStage("server", kind=kind)
    replaced_since(stage, "phone", "c1")
    stage.play(f"server expect OPTIONS\n server send {status} OPTIONS\n wait 33000\n phone expect nothing")
    stage.play("phone send BYE c1\n phone expect 200 c1\n server expect BYE")


def test_a_call_whose_dialog_is_not_answered_for_is_ended_at_both_sides() -> None:
    stage = SipStage("server")
    replaced_since(stage, "phone", "c1")
    stage.play("server expect OPTIONS\n wait 32100\n phone expect BYE c1 reason=Q.850;cause=41")
    assert "BYE" in {message.method for message in stage.peers["server"].inbox} and stage.switch.is_idle


def test_a_call_whose_connection_is_reset_before_its_dialog_is_answered_for_is_ended() -> None:
    """The old process may have answered it and died as the list told."""
    stage = SipStage("server", kind="tcp")
    replaced_since(stage, "phone", "c1")
    stage.play("server expect OPTIONS\n server close reset\n phone expect BYE c1 reason=Q.850;cause=41")


def test_a_set_up_goes_to_the_new_process_and_not_on_the_old_one_s_silent_connection() -> None:
    """The old machine had vanished: the set-up was sent into the void until its time was up."""
    stage = SipStage("server", kind="tcp")
    stage.play(call("phone", "server") + "phone send BYE c1\n phone expect 200 c1\n server expect BYE")
    stage.play("server send 200 BYE\n wait 1000")
    server = stage.peers["server"]
    (old,) = server.rings
    now = stage.loop.clock.now()
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [listed(stage, started=now, ended_before=now)])
    stage.play("wait 14000")  # until it is not cold any more
    stage.play("phone send INVITE c2\n phone expect 100 c2")
    stage.settle()
    setup = server.requests[-1]
    assert setup.method == "INVITE" and server.received_on[id(setup)] is not old


def test_a_set_up_at_a_process_that_has_ended_is_sent_to_another_server() -> None:
    """Over UDP it was retransmitted to the address until its time was up."""
    stage = SipStage("server", "second", max_attempts=2)
    stage.play("phone send INVITE c1\n phone expect 100 c1")
    stage.settle()
    first = "server" if stage.peers["server"].inbox else "second"
    other = "second" if first == "server" else "server"
    stage.play(f"{first} expect INVITE\n wait 10")
    entry = listed(stage, server=first, address=(HOST, stage.peers[first].port), serving=False, removed=True)
    ended = replace(entry, ended_before=stage.loop.clock.now())
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [ended])
    stage.play(f"wait 300\n {other} expect INVITE\n {first} expect nothing")


def ringing_then_lost(stage: SipStage, close: str = "close reset") -> tuple[str, str]:
    """A call rings at one of two servers, whose connection ends: that server, and the other one."""
    stage.play("phone send INVITE c1\n phone expect 100 c1")
    stage.settle()
    first = "server" if stage.peers["server"].inbox else "second"
    stage.play(f"{first} expect INVITE\n {first} send 180 INVITE\n phone expect 180 c1\n {first} {close}")
    return first, "second" if first == "server" else "server"


@pytest.mark.parametrize("close", ["close", "close reset"])
def test_no_second_attempt_begins_before_the_one_without_a_connection_is_over(close: str) -> None:
    """The call was sent again 0.2 s after the reset, while the first attempt went on: it stood twice."""
    stage = SipStage("server", "second", kind="tcp", max_attempts=2)
    first, other = ringing_then_lost(stage, close)
    stage.play(f"""
        wait 150
        {first} expect CANCEL
        {first} send 200 CANCEL
        wait 600
        {other} expect nothing
        {first} send 487 INVITE
        {first} expect ACK
        wait 300
        {other} expect INVITE
        {first} expect nothing
    """)


def test_an_answer_after_the_connection_was_lost_is_taken() -> None:
    """It came on another connection, was dropped, and its call stood at the server without a caller."""
    stage = SipStage("server", "second", kind="tcp", max_attempts=2)
    first, other = ringing_then_lost(stage)
    stage.play(f"""
        wait 150
        {first} expect CANCEL
        {first} send 200 INVITE | answer
        {first} expect ACK
        phone expect 200 c1 body=answer
        wait 1000
        {other} expect nothing
        phone send BYE c1
        phone expect 200 c1
        {first} expect BYE
    """)


def test_an_attempt_that_the_server_does_not_know_any_more_is_over() -> None:
    stage = SipStage("server", "second", kind="tcp", max_attempts=2)
    first, other = ringing_then_lost(stage)
    stage.play(f"""
        wait 150
        {first} expect CANCEL
        {first} send 481 CANCEL
        wait 300
        {other} expect INVITE
        {first} send 200 INVITE
        {first} expect ACK
        {first} expect BYE
    """)


def test_an_attempt_at_a_process_that_has_ended_is_over() -> None:
    stage = SipStage("server", "second", kind="tcp", max_attempts=2)
    first, other = ringing_then_lost(stage)
    stage.peers[first].stop()
    stage.play(f"wait 400\n {other} expect INVITE\n {other} expect nothing")


def test_the_cancel_is_sent_again_where_its_connection_is_lost_too() -> None:
    stage = SipStage("server", "second", kind="tcp", max_attempts=2)
    first, other = ringing_then_lost(stage)
    stage.play(f"wait 150\n {first} expect CANCEL\n {first} close reset\n wait 250\n {first} expect CANCEL")
    stage.play(f"{first} send 487 INVITE\n {first} expect ACK\n wait 300\n {other} expect INVITE")


def test_a_caller_who_leaves_after_the_connection_was_lost_has_the_attempt_cancelled() -> None:
    """Its CANCEL was written to the lost connection, and the call was set up for nobody."""
    stage = SipStage("server", "second", kind="tcp", max_attempts=2)
    first, other = ringing_then_lost(stage)
    stage.play(f"""
        wait 10
        phone send CANCEL c1
        phone expect 200 c1
        phone expect 487 c1
        wait 150
        {first} expect CANCEL
        {first} send 487 INVITE
        {first} expect ACK
        wait 500
        {other} expect nothing
    """)
    assert stage.switch.is_idle


def test_an_answer_sent_again_after_the_connection_was_lost_is_acknowledged_again() -> None:
    """Its ACK was lost with the connection, and the server ended the call that nobody had acknowledged."""
    stage = SipStage("server", kind="tcp")
    stage.play(call("phone", "server") + "server close reset\n wait 150")
    server = stage.peers["server"]
    server.write(server.answer(200, "INVITE", "", {}, b"answer").encode())
    stage.play("server expect ACK\n phone expect nothing")


def test_an_abandoned_invite_without_a_final_response_is_forgotten() -> None:
    """A cancelled INVITE that had rung was kept for ever where its server never answered it."""
    stage = SipStage("server")
    stage.play("phone send INVITE c1\n phone expect 100 c1\n server expect INVITE\n server send 180 INVITE")
    stage.play("phone expect 180 c1\n phone send CANCEL c1\n wait 33000")
    assert not stage.front.endpoint.transactions._client_transactions


Report = tuple[str, bool, datetime | None]


def board_told(*events: Report | list[Report]) -> list[ListedServer]:
    """What the core gets when the board tells these names, removals and starts of one address.

    A list is one event.
    """
    stage = SipStage()
    host = PoolHost(stage.loop, stage.switch, PoolSettings(), (BOARD,))
    got: list[ListedServer] = []
    stage.switch.pool_changed = lambda version, kind, entries: got.extend(entries)  # type: ignore[method-assign]
    board = BoardSource(host)
    for version, event in enumerate(events):
        stage.wait(timedelta(seconds=1))
        entries = [
            ListedServer(name, (HOST, 5060), 1, not removed, removed, started)
            for name, removed, started in (event if isinstance(event, list) else [event])
        ]
        kind = i.ListKind.CHANGES if version else i.ListKind.SAVED
        board.pool_changed(version, kind, entries)
    return got


def test_the_board_says_when_the_process_at_an_address_has_ended() -> None:
    late = SipStage().loop.clock.now() + timedelta(minutes=1)
    first, removed = board_told(("s-1", False, None), ("s-1", True, None))
    assert first.ended_before is None and removed.removed and removed.ended_before is not None
    _, replaced = board_told(("s-1", False, None), ("s-2", False, late))
    assert replaced.serving and replaced.ended_before == late


def test_calls_at_the_new_process_go_on_when_one_event_removes_the_old_name_and_adds_the_new_one() -> None:
    """They ended with those of the old process, as that one's end was dated by the event."""
    started = SipStage().loop.clock.now() + timedelta(seconds=1)
    entries: list[Report | list[Report]] = [
        ("s-1", False, None),
        [("s-1", True, None), ("s-9", False, started)],
    ]
    first, *later = board_told(*entries)
    assert first.ended_before is None
    assert [entry.ended_before for entry in later] == [started] and later[0].serving


def test_a_new_name_without_a_start_at_an_address_says_that_the_process_before_it_has_ended() -> None:
    """Nothing ended its calls, and their callers were never told."""
    _, replaced = board_told(("s-1", False, None), ("s-2", False, None), ("s-2", False, None))
    assert replaced.serving and replaced.ended_before is not None


def test_calls_go_on_when_a_name_that_was_replaced_at_an_address_is_listed_again() -> None:
    """Each name was taken for a new process in place of the other, and the calls of both ended."""
    now = SipStage().loop.clock.now()
    for started in (None, now + timedelta(seconds=1)):
        both = [("s-1", False, None), ("s-2", False, started)]
        _, replaced, *later = board_told(*both, both, ("s-1", False, None))
        assert {entry.ended_before for entry in later} <= {replaced.ended_before}


def test_a_server_that_is_only_left_out_of_an_answer_keeps_its_calls() -> None:
    """In SRV and in a zone, a record that is taken out is a drain."""
    now = SipStage().loop.clock.now()
    pool = Pool(now, ("srv",))
    endpoint = (HOST, 5060)
    for claims in ([Claim(endpoint, "s")], []):
        changes = [change for part in pool.full_update(now, "srv", claims) for change in part.changes]
    (removal,) = changes
    assert removal.removed and removal.entry.ended_before is None
    assert Claim(endpoint, "s", ClaimState.GONE).ended is False
