"""A new call server at the address of one that has gone, with set-ups sent to it under the old name."""

from __future__ import annotations

import socket
from dataclasses import replace
from datetime import datetime, timedelta

import pytest

from reedmount import interface as i
from reedmount.core.ports import ListedServer
from reedmount.fronts.board import BoardList, Notice
from tests.scenario import HOST, digits
from tests.test_platform import ESTABLISH, ESTABLISH_OTHER, Platform


class Replacement(Platform):
    """``c1`` stands at the old process, ``t`` at the new one, which the list has not told yet."""

    def __init__(self) -> None:
        super().__init__("server")
        self.play(ESTABLISH + "wait 1000")
        self.started = self.loop.clock.now()
        self.play("wait 1000\n server close reset\n wait 1000\n" + ESTABLISH_OTHER + "wait 1000")

    def entry(self, name: str, started: datetime | None = None) -> ListedServer:
        return ListedServer(name, (HOST, self.peers["server"].port), 1, True, False, started)

    def tell(self, *entries: ListedServer) -> None:
        self.version += 1
        self.switch.pool_changed(self.version, i.ListKind.CHANGES, list(entries))
        self.settle()

    def told(self) -> list[str]:
        """What the server got, but connections that end."""
        inbox, self.peers["server"].inbox = self.peers["server"].inbox, []
        return [f"{message.method} {message.call_id}" for message in inbox if message.method != "CLOSED"]


def removed(entry: ListedServer) -> ListedServer:
    return replace(entry, serving=False, removed=True)


@pytest.mark.parametrize("order", ["at once", "at once, the removal first", "the new one first"])
def test_calls_at_the_new_process_go_on_when_the_list_removes_the_old_name(order: str) -> None:
    """Their callers were told that they are over, and they stood at the new process with nobody there."""
    stage = Replacement()
    old, new = removed(stage.entry("server")), stage.entry("new", stage.started)
    if order == "the new one first":
        stage.tell(new)
        stage.tell(old)
    else:
        stage.tell(*((old, new) if "removal first" in order else (new, old)))
    stage.play("caller expect BYE c1 reason=Q.850;cause=41\n other expect nothing")
    assert [text.split()[0] for text in stage.told()] == ["BYE"]  # of c1, in case the process still has it
    stage.play("other send BYE t\n other expect 200 t\n server expect BYE t")
    assert stage.switch.is_idle


def test_the_new_process_releases_a_call_that_was_sent_under_the_old_name() -> None:
    stage = Replacement()
    stage.tell(removed(stage.entry("server")), stage.entry("new", stage.started))
    stage.play("caller expect BYE c1")
    stage.told()
    stage.play("server send BYE t reason=Q.850;cause=16\n server expect 200 t\n other expect BYE t")


@pytest.mark.parametrize("successor", [True, False])
def test_calls_are_released_at_both_sides_where_nothing_tells_whose_they_are(successor: bool) -> None:
    """Without the start of the new process, or before the list tells of it."""
    stage = Replacement()
    stage.tell(removed(stage.entry("server")), *([stage.entry("new")] if successor else []))
    stage.play("caller expect BYE c1\n other expect BYE t reason=Q.850;cause=41")
    assert {text.split()[0] for text in stage.told()} == {"BYE"} and stage.switch.is_idle


def test_no_set_up_goes_to_the_address_under_the_old_name_once_the_new_one_is_told() -> None:
    """The module went on choosing the old server, and its set-ups reached the new one."""
    stage = Replacement()
    stage.play("wait 14000")  # until it is not cold any more
    stage.tell(stage.entry("new", stage.started))
    stage.play("caller expect BYE c1")
    stage.told()
    stage.play("other send INVITE u x-cos=small x-timer-ms=2000\n server expect INVITE u")
    (call,) = [call for call in stage.switch._by_number.values() if not call.is_established]
    assert call.server == "new"


def test_a_call_that_the_old_process_answered_after_the_new_one_s_start_is_ended() -> None:
    """Incident 414a86: it was moved to the new process, and its caller never told."""
    stage = Platform("server")
    server = stage.peers["server"]
    stage.play("wait 1000")
    started = stage.loop.clock.now()
    stage.play("wait 100\n" + ESTABLISH + "server close reset\n wait 100\n" + ESTABLISH_OTHER + "wait 700")
    address = (HOST, server.port)
    old = ListedServer("server", address, 1, False, True, None)
    stage.switch.pool_changed(
        9, i.ListKind.CHANGES, [old, ListedServer("new", address, 1, True, False, started)]
    )
    stage.play("caller expect BYE c1 reason=Q.850;cause=41\n other expect nothing\n wait 1000")
    stage.play("other send BYE t\n other expect 200 t")
    assert stage.switch.is_idle


class Late(Replacement):
    """The connection on which ``t`` was answered was dialled since the new process's start."""

    def replace(self, answers_probes: bool = True) -> None:
        self.peers["server"].answers_probes = answers_probes
        self.tell(removed(self.entry("server")), self.entry("new", self.started))
        self.play("caller expect BYE c1\n caller send 200 BYE")


def test_a_moved_call_is_ended_where_its_connection_does_not_answer_after_the_replacement() -> None:
    """The old process may have answered it and fallen silent: nothing else would end the call."""
    stage = Late()
    stage.replace(answers_probes=False)
    stage.play("other expect nothing\n wait 700\n other expect BYE t reason=Q.850;cause=41")
    stage.play("wait 100")
    assert "BYE" in {text.split()[0] for text in stage.told()} and stage.switch.is_idle


def test_a_moved_call_is_ended_where_its_connection_is_reset_after_the_replacement() -> None:
    """The old process may have answered it and died as the list told."""
    stage = Late()
    stage.replace(answers_probes=False)
    stage.peers["server"].close(reset=True)
    stage.play("wait 100\n other expect BYE t reason=Q.850;cause=41")
    assert stage.switch.is_idle


def test_a_proven_call_goes_on_though_its_connection_is_reset() -> None:
    stage = Late()
    stage.replace()
    stage.play("wait 100")
    stage.peers["server"].close(reset=True)
    stage.play("wait 1500\n other expect nothing")
    assert stage.switch.call_counts == {"open": 0, "standing": 1}


def test_a_set_up_at_the_new_process_is_cancelled_as_its_calls_are_moved() -> None:
    """Its connection was closed, and with it went the proof of whose the calls are."""
    stage = Late()
    stage.play("caller send INVITE u x-cos=small x-timer-ms=2000\n server expect INVITE u")
    stage.replace()
    assert [text.split()[0] for text in stage.told()].count("CANCEL") == 1
    stage.play("wait 1000\n other expect nothing")
    assert [call.server for call in stage.switch._by_number.values() if call.is_established] == ["new"]


def test_a_call_that_the_old_process_answered_after_the_start_of_its_restart_is_ended() -> None:
    """It was taken for one of the new process, as it was sent after that one's start."""
    stage = Platform("server")
    stage.play("wait 1000")
    started = stage.loop.clock.now()
    stage.play("wait 100\n" + ESTABLISH + "server close reset\n wait 100\n" + ESTABLISH_OTHER + "wait 700")
    server = stage.peers["server"]
    stage.switch.pool_changed(
        9, i.ListKind.CHANGES, [ListedServer("server", (HOST, server.port), 1, True, False, started)]
    )
    stage.play("caller expect BYE c1 reason=Q.850;cause=41\n caller send 200 BYE")
    stage.play("server expect BYE c1\n other expect nothing\n wait 1000\n other expect nothing")
    assert stage.switch.call_counts == {"open": 0, "standing": 1}


def test_a_set_up_goes_to_the_restarted_process_and_not_on_the_old_one_s_silent_connection() -> None:
    """The old machine had vanished: the set-up hung until its time was up."""
    stage = Platform("server")
    stage.play("wait 1000")
    server = stage.peers["server"]
    (old,) = server.rings
    entry = ListedServer("server", (HOST, server.port), 1, True, False, stage.loop.clock.now())
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [entry])
    stage.play("wait 14000\n server expect CLOSED")  # until it is not cold any more
    stage.play("other send INVITE t x-cos=small x-timer-ms=2000\n server expect INVITE t")
    (setup,) = [message for message in server.requests if message.method == "INVITE"]
    assert server.received_on[id(setup)] is not old


def test_a_set_up_at_the_old_process_is_over_once_the_list_tells_of_the_restart() -> None:
    """The old machine had vanished: its set-up was waited for until its time was up."""
    stage = Platform("server")
    stage.play(
        "wait 1000\n other send INVITE t x-cos=small x-timer-ms=2000\n server expect INVITE t\n wait 10"
    )
    entry = ListedServer("server", (HOST, stage.peers["server"].port), 1, True, False, stage.loop.clock.now())
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [entry])
    stage.play("server expect CANCEL t")
    (call,) = stage.switch._by_number.values()
    assert call.attempt_out is None and not call.settled


def test_a_server_that_one_event_removes_and_lists_again_is_used() -> None:
    """It was removed for good, though listed as serving."""
    for started in (True, False):
        stage = Replacement()
        board = BoardList(stage.switch)
        board.start(1, [Notice(1, True, (stage.entry("server"),))])
        again = stage.entry("server", stage.started if started else None)
        board.take(2, [Notice(2, False, (removed(stage.entry("server")), again))])
        stage.play("caller expect BYE c1\n caller send 200 BYE")
        stage.play("wait 1" if started else "other expect BYE t\n other send 200 BYE")
        stage.play("wait 14000")
        stage.told()
        stage.play("other send INVITE u x-cos=small x-timer-ms=2000\n server expect INVITE u")
        stage.loop.close()


def test_calls_of_a_server_end_when_the_board_gives_it_another_address() -> None:
    """Its connections to the old address stayed in use, and its calls there were left standing."""
    stage = Platform("server")
    moved = stage.peer("moved", "thin")
    stage.play(ESTABLISH)
    board = BoardList(stage.switch)
    entry = ListedServer("server", (HOST, stage.peers["server"].port), 1, True, False, None)
    board.start(1, [Notice(1, True, (entry,))])
    board.take(2, [Notice(2, False, (replace(entry, address=(HOST, moved.port)),))])
    stage.play("caller expect BYE c1 reason=Q.850;cause=41\n server expect BYE c1")
    stage.play("other send INVITE u x-cos=small x-timer-ms=2000\n moved expect INVITE u")


def test_a_new_server_stays_in_use_when_the_old_name_at_its_address_is_listed_again() -> None:
    """Each was taken for the successor of the other, and both were removed."""
    stage = Replacement()
    board = BoardList(stage.switch)
    old = Notice(1, True, (stage.entry("server"),))
    new = Notice(2, False, (stage.entry("new", stage.started),))
    board.start(1, [old])
    board.take(2, [new])
    stage.play("caller expect BYE c1\n caller send 200 BYE\n wait 700")
    board.replace_all(2, [old, new])
    board.take(3, [Notice(3, False, (replace(stage.entry("server"), serving=False),))])
    stage.play("wait 14000\n other expect nothing")
    stage.told()
    stage.play("other send INVITE u x-cos=small x-timer-ms=2000\n server expect INVITE u")


@pytest.mark.parametrize("connection", ["of the old name", "of the new name"])
def test_an_answer_that_crosses_the_replacement_is_released_at_the_new_process(connection: str) -> None:
    """The release was for the old name, which no server had any more: the call stood without a client."""
    stage = Late()
    stage.play("caller send INVITE u x-cos=small x-timer-ms=2000\n server expect INVITE u")
    stage.replace(answers_probes=connection == "of the new name")  # which ends the other one
    stage.play("server send 200 INVITE u\n wait 10\n caller send CANCEL u\n wait 100")
    assert [text for text in stage.told() if text.startswith("BYE")][-1].split()[1] == digits("u")


def test_a_proof_that_waits_to_be_read_after_a_stall_of_this_process_counts() -> None:
    """The time for it had passed, and the calls at the new process were cut."""
    stage = Late()
    entries = [removed(stage.entry("server")), stage.entry("new", stage.started)]
    stage.switch.pool_changed(9, i.ListKind.CHANGES, entries)
    stage.loop.turn(timedelta(0))
    stage.peers["server"].pump()
    stage.time.seconds += 0.7
    stage.play("wait 100\n caller expect BYE c1\n caller send 200 BYE\n other expect nothing")
    assert stage.switch.call_counts["standing"] == 1


def test_calls_that_are_not_proven_yet_end_before_this_process_does() -> None:
    """Nobody would tell their callers any more."""
    stage = Late()
    stage.replace(answers_probes=False)
    stage.call_servers.drop_silent_servers()
    stage.play("other expect BYE t reason=Q.850;cause=41")


def test_a_call_that_no_connection_can_prove_is_released_at_the_new_process() -> None:
    """With no connection up under the old name only its caller was told. Those of the old one need none."""
    stage = Late()
    stage.peers["server"].close(reset=True)
    stage.loop.turn(timedelta(0))
    stage.tell(removed(stage.entry("server")), stage.entry("new", stage.started))
    stage.play("caller expect BYE c1\n other expect BYE t\n wait 10")
    assert stage.told() == [f"BYE {digits('t')}"]


def test_calls_go_on_when_the_new_process_has_no_room_for_another_connection_yet() -> None:
    """It refused the new name's connection as it had those of the old one, and its calls counted as lost."""
    stage = Late()
    server = stage.peers["server"]
    server.answers_probe = lambda message: message.method == "OPTIONS"  # type: ignore[method-assign]
    assert server.listener is not None
    server.listener.close()
    server.listener = None
    stage.tell(removed(stage.entry("server")), stage.entry("new", stage.started))
    stage.play("wait 50")
    server.listener = socket.create_server((HOST, server.port))
    stage.play("caller expect BYE c1\n caller send 200 BYE\n wait 1500\n other expect nothing")
    assert stage.switch.call_counts["standing"] == 1
