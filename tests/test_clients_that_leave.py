"""Clients that close their connection while messages of theirs are unread, and come again."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from reedmount.core.clock import ZERO
from reedmount.fronts import platform
from reedmount.fronts.client_connection import UNPROVEN_BATCH, RetentionPriority
from reedmount.net import read_scheduler
from reedmount.sip.endpoint import MESSAGES_PER_TURN
from tests.scenario import Peer, Stage
from tests.test_platform import ESTABLISH, Platform
from tests.test_sip import SipStage
from tests.test_upgrade import Pair

THIN_SETUP = {"x-cos": "small", "x-timer-ms": "2000"}


@pytest.fixture(autouse=True)
def one_reader_in_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Time stands still within a turn, so that the budget would never be used."""
    monkeypatch.setattr(read_scheduler, "BUDGET", timedelta(microseconds=-1))


def write_in_one_piece(stage: Stage, peer: Peer, tests: int, *last: tuple[str, str, dict[str, str]]) -> None:
    """Write tests and further requests, and let the loop turn until the first were answered."""
    data = [peer.request("OPTIONS", f"o{number}", {}, b"") for number in range(tests)]
    data += [peer.request(method, name, dict(fields), b"") for method, name, fields in last]
    peer.write(b"".join(message.encode() for message in data))
    while not peer.inbox:
        stage.loop.turn(ZERO)
        peer.pump()


def test_set_ups_that_lie_unread_when_their_client_leaves_are_not_sent() -> None:
    """All that had been read was handled before the close was noticed: set-ups went out 0.3 s after it."""
    stage = Platform("server")
    caller = stage.peers["caller"]
    write_in_one_piece(stage, caller, UNPROVEN_BATCH, ("INVITE", "c1", THIN_SETUP))
    stage.play("caller close\n wait 100\n server expect nothing")
    assert stage.switch.is_idle


def test_the_sip_front_sends_no_set_up_that_lies_unread_when_its_client_leaves() -> None:
    stage = SipStage("server")
    write_in_one_piece(stage, stage.peers["desk"], MESSAGES_PER_TURN, ("INVITE", "c1", {}))
    stage.play("desk close\n wait 100\n server expect nothing")
    assert stage.switch.is_idle and not stage.front.legs_by_name


def test_a_release_that_lies_unread_when_its_client_leaves_is_passed_on() -> None:
    stage = Platform("server")
    stage.play(ESTABLISH + "wait 10")
    other = stage.peers["other"]
    write_in_one_piece(stage, other, UNPROVEN_BATCH, ("BYE", "c1", {}))
    stage.play("other close\n server expect BYE c1")


@pytest.mark.parametrize("kind", ["thin", "sip"])
def test_open_set_ups_are_cancelled_though_their_client_left_much_unread(kind: str) -> None:
    """The close is noticed before the rest is read."""
    stage: Stage
    if kind == "thin":
        stage, client, size = Platform("server"), "caller", UNPROVEN_BATCH
        stage.play("caller send INVITE c1 x-cos=small x-timer-ms=2000\n server expect INVITE c1")
    else:
        stage, client, size = SipStage("server"), "desk", MESSAGES_PER_TURN
        stage.play("desk send INVITE c1\n desk expect 100 c1\n server expect INVITE\n server send 180 INVITE")
        stage.play("desk expect 180 c1")
    peer = stage.peers[client]
    write_in_one_piece(stage, peer, 20 * size)
    peer.close(reset=False)
    for _ in range(2):
        stage.loop.turn(ZERO)
    server = stage.peers["server"]
    server.pump()
    assert [message.method for message in server.inbox] == ["CANCEL"]


def test_connections_have_their_turns_in_order_within_a_budget() -> None:
    """After a batch of one connection the others have their turn."""
    stage = Platform("server")
    for name in ("caller", "other"):
        peer = stage.peers[name]
        tests = [peer.request("OPTIONS", f"{number:x}", {}, b"") for number in range(2 * UNPROVEN_BATCH)]
        peer.write(b"".join(message.encode() for message in tests))
    seen = set()
    while len(stage.peers["other"].inbox) < UNPROVEN_BATCH:
        stage.loop.turn(ZERO)
        for name in ("caller", "other"):
            stage.peers[name].pump()
        seen.add((len(stage.peers["caller"].inbox), len(stage.peers["other"].inbox)))
    assert (2 * UNPROVEN_BATCH, 0) not in seen and (0, 2 * UNPROVEN_BATCH) not in seen
    stage.settle()
    assert len(stage.peers["caller"].inbox) == len(stage.peers["other"].inbox) == 2 * UNPROVEN_BATCH


def test_a_connection_whose_messages_wait_for_their_turn_is_kept() -> None:
    """It counted as silent or stalled, though complete requests of it had been received."""
    stage = Platform("server")
    write_in_one_piece(stage, stage.peers["caller"], 3 * UNPROVEN_BATCH)
    (client,) = stage.callers._clients
    later = stage.loop.clock.now() + timedelta(minutes=1)
    assert not client.is_expired(later) and client.has_unfinished(later)
    assert client.priority(later)[0] is RetentionPriority.IN_USE
    stage.settle()
    assert client.is_expired(later) and not client.has_unfinished(later)
    assert client.priority(later)[0] is RetentionPriority.IDLE


@pytest.mark.parametrize("close", ["close", "close reset"])
@pytest.mark.parametrize("wait", [0, 50, 1000])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(close: str, wait: int) -> None:
    """It was sent to a call server again, though the first attempt may have run."""
    stage = Platform("server")
    stage.play("caller send INVITE c1 x-cos=small x-timer-ms=2000\n server expect INVITE c1")
    stage.play(f"caller {close}\n server expect CANCEL c1\n wait {wait}")
    stage.play(
        "other send INVITE c1 x-cos=small x-timer-ms=2000\n other expect 503 c1\n server expect nothing"
    )


def test_an_id_that_must_not_run_twice_fails_when_it_comes_again() -> None:
    stage = Platform("server")
    stage.play("caller send INVITE c1 x-cos=once x-timer-ms=2000\n server expect INVITE c1\n caller close")
    stage.play(
        "server expect CANCEL c1\n other send INVITE c1 x-cos=once x-timer-ms=2000\n other expect 500 c1"
    )


def test_an_id_that_never_ran_is_taken_when_it_comes_again() -> None:
    stage = Platform("server")
    stage.set_servers("server", state="draining")
    stage.play("caller send INVITE c1 x-cos=small x-timer-ms=2000\n caller close\n wait 10")
    stage.set_servers("server")
    stage.play("other send INVITE c1 x-cos=small x-timer-ms=2000\n server expect INVITE c1")


def test_the_sip_front_refuses_a_call_that_comes_again_on_another_connection() -> None:
    stage = SipStage("server")
    stage.peer("again", "tcp", stage.front.endpoint.address)
    stage.play(
        "desk send INVITE c1 branch=x\n desk expect 100 c1\n server expect INVITE\n server send 180 INVITE"
    )
    stage.play("desk expect 180 c1\n desk close\n server expect CANCEL\n server send 487 INVITE")
    stage.play("server expect ACK")
    for branch in ("x", "y"):
        stage.play(f"again send INVITE c1 branch={branch}\n again expect 503 c1 retry-after=2")
    stage.play(
        "server expect nothing\n again send INVITE c1 cseq=2\n again expect 100 c1\n server expect INVITE"
    )


@pytest.mark.parametrize(("first", "second"), [("caller", "late"), ("late", "caller")])
def test_an_id_does_not_run_at_both_processes_of_an_upgrade(first: str, second: str) -> None:
    """Each process knew its own ids only: one that came to the other one ran there as well."""
    stage = Pair()
    stage.play("caller send OPTIONS t\n caller expect 200 t\n late send OPTIONS t\n late expect 200 t")
    stage.play(
        f"{first} send INVITE c1 x-cos=small x-timer-ms=2000\n server expect INVITE c1\n {first} close"
    )
    stage.play(f"{second} send INVITE c1 x-cos=small x-timer-ms=2000\n {second} expect 503 c1")
    stage.play("server expect CANCEL c1\n server expect nothing")


def test_a_successor_learns_the_ids_that_were_taken_before_it_started() -> None:
    stage = Pair()
    stage.callers.handover_peer.join(socket.socketpair()[0])
    stage.play("caller send INVITE c1 x-cos=small x-timer-ms=2000\n server expect INVITE c1")
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    stage.new.handover_peer.join(far)
    stage.callers.join(near)
    stage.play("late send INVITE c1 x-cos=small x-timer-ms=2000\n late expect 503 c1\n server expect nothing")


def test_the_ids_of_the_other_process_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform, "MAX_NAMES_ELSEWHERE", 3)
    stage = Pair()
    stage.callers.notify_taken([f"{number:016x}" for number in range(300)])
    stage.settle()
    assert list(stage.new._taken_elsewhere) == [f"{number:016x}" for number in (297, 298, 299)]
