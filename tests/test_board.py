"""The notice board client against a board of the test: events, gaps, lost connections and time-outs."""

from __future__ import annotations

import json
import resource
import socket
from datetime import timedelta
from typing import Any

import pytest

from reedmount import interface as i
from reedmount.core.checks import COUNTERS
from reedmount.core.ports import ListedServer
from reedmount.core.switch import Switch
from reedmount.fronts.board import Board, BoardError, BoardList, read_notices
from reedmount.net.ring import Ring
from tests.scenario import HOST, Peer, Stage
from tests.support import SETTINGS


def host(name: str, state: str = "SERVING", born: int = 0) -> dict[str, Any]:
    return {"host": name, "dial": "127.0.0.1:9", "site": "east", "class": "std", "block": 2, "health": state,
            "share": 4, "born_ms": born}  # fmt: skip


def notice(rev: int, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    return {"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": list(hosts)}}


class Recorder:
    """Replaces the core: records the updates of the pool."""

    def __init__(self) -> None:
        self.updates: list[tuple[int, i.ListKind, dict[str, str]]] = []

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        states = {
            entry.server: "up" if entry.serving else "gone" if entry.removed else "drain" for entry in entries
        }
        self.updates.append((version, kind, states))


class BoardStage(Stage):
    """A notice board of the test, and the client that polls it."""

    def __init__(self) -> None:
        super().__init__()
        self.core = Recorder()
        self.pool = BoardList(self.core)
        first = {"rev": 1, "notices": [notice(1, host("a"), host("b"), whole=True)]}
        self.pool.start(*read_notices(first))
        self.server: Peer = self.peer("board", "tcp")
        self.polls: list[str] = []
        self.server.pump = self._pump  # type: ignore[method-assign]
        assert self.server.listener is not None
        self.server.listener.setblocking(False)
        self.board = Board(self.loop, self.server.listener.getsockname(), self.pool)
        self.settle()

    def _pump(self) -> bool:
        assert self.server.listener is not None
        try:
            self.server.sock, _ = self.server.listener.accept()
            self.server.sock.setblocking(False)
            self.server.rings = {self.server.sock: Ring(1)}
        except BlockingIOError:
            pass
        try:
            data = self.server.sock.recv(65536) if self.server.sock else b""
        except BlockingIOError:
            return False
        self.polls += [line.split()[1] for line in data.decode().split("\r\n") if line.startswith("GET ")]
        return bool(data)

    def answer(self, rev: int, *notices: dict[str, Any]) -> None:
        body = json.dumps({"rev": rev, "notices": notices}).encode()
        self.server.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.settle()


def test_each_event_is_applied_once() -> None:
    stage = BoardStage()
    assert stage.polls == ["/board/poll?watch=1&linger=1000"]
    stage.answer(2, notice(1, host("a")), notice(2, host("a", "DRAINING")))
    assert stage.core.updates[1:] == [(2, i.ListKind.CHANGES, {"a": "drain"})]
    assert stage.polls[-1] == "/board/poll?watch=2&linger=1000"
    stage.answer(3, notice(3, host("a", "DELETED"), host("c", born=5)))
    assert stage.core.updates[-1][2] == {"a": "gone", "c": "up"}


def test_after_a_gap_all_events_are_requested_and_servers_not_named_are_removed() -> None:
    stage = BoardStage()
    stage.answer(5, notice(5, host("c")))
    assert stage.polls[-1] == "/board/poll?watch=0&linger=0"
    stage.answer(5, notice(1, host("a"), host("b"), whole=True), notice(3, host("b", "DELETED")),
                 notice(5, host("c")))  # fmt: skip
    assert stage.core.updates[-1] == (5, i.ListKind.CHANGES, {"b": "gone", "a": "up", "c": "up"})


def test_all_events_are_requested_from_a_board_that_restarted() -> None:
    stage = BoardStage()
    stage.answer(0)
    assert stage.polls[-1] == "/board/poll?watch=0&linger=0"


def test_a_lost_connection_is_dialled_again() -> None:
    stage = BoardStage()
    stage.server.close(reset=True)
    stage.wait(timedelta(milliseconds=150))
    assert stage.polls[-1] == "/board/poll?watch=1&linger=1000" and len(stage.polls) == 2


def test_a_board_that_moves_is_polled_at_its_new_address_from_the_same_event() -> None:
    """The old address may not answer any more: the poll open there would delay a drain by seconds."""
    stage = BoardStage()
    stage.answer(2, notice(2, host("b", "DRAINING")))
    assert stage.server.listener is not None
    stage.server.listener.close()
    stage.server.listener = socket.create_server((HOST, 0))
    stage.server.listener.setblocking(False)
    stage.board.move(stage.server.listener.getsockname())
    stage.settle()
    assert stage.polls[-1] == "/board/poll?watch=2&linger=1000"
    stage.answer(3, notice(3, host("a", "DRAINING")))
    assert stage.core.updates[-1][2] == {"a": "drain"}


def test_a_silent_board_is_dialled_again() -> None:
    """Its connection stays open when the machine is unreachable: drains would never be noticed."""
    stage = BoardStage()
    stage.wait(timedelta(milliseconds=1300))
    assert len(stage.polls) == 1
    stage.wait(timedelta(milliseconds=200))
    assert len(stage.polls) == 2
    stage.answer(2, notice(2, host("a", "DRAINING")))
    assert stage.core.updates[-1][2] == {"a": "drain"}


def test_a_board_is_polled_again_once_a_descriptor_is_free() -> None:
    """Idle clients had taken the last descriptor while the board was down: it was never polled again."""
    stage = BoardStage()
    stage.server.close(reset=True)
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, before[1]))  # no new descriptor; open ones stay usable
    refused = COUNTERS["board.no_socket"]
    try:
        for _ in range(300):
            stage.time.seconds += 0.001
            stage.loop.turn(timedelta(0))
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
    assert 1 <= COUNTERS["board.no_socket"] - refused <= 4, "tried again, and not in every turn"
    stage.wait(timedelta(milliseconds=150))
    assert len(stage.polls) == 2
    stage.answer(2, notice(2, host("a", "DRAINING")))
    assert stage.core.updates[-1][2] == {"a": "drain"}


def test_an_answer_may_arrive_in_pieces_but_not_without_end() -> None:
    """A complete list that took longer than the poll and 0.4 s was aborted every time."""
    stage = BoardStage()
    body = json.dumps({"rev": 2, "notices": [notice(2, host("a", "DRAINING"))]}).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    stage.wait(timedelta(milliseconds=1000))
    for piece in (answer[:9], answer[9:60], answer[60:90], answer[90:]):
        stage.server.write(piece)
        stage.wait(timedelta(milliseconds=300))
    assert stage.core.updates[-1][2] == {"a": "drain"} and len(stage.polls) == 2
    for polls, bytes_sent in ((2, 20), (3, 5)):
        for byte in answer[:bytes_sent]:
            stage.server.write(bytes([byte]))
            stage.wait(timedelta(milliseconds=200))
        assert len(stage.polls) == polls


def test_the_timeout_for_a_slow_board_grows() -> None:
    """A board that answered half a second late timed out every time, and drains were never noticed."""
    stage = BoardStage()
    stage.wait(timedelta(milliseconds=1450))
    assert len(stage.polls) == 2
    stage.wait(timedelta(milliseconds=1600))
    assert len(stage.polls) == 2
    stage.answer(2, notice(2, host("a", "DRAINING")))
    assert stage.core.updates[-1][2] == {"a": "drain"}
    stage.wait(timedelta(milliseconds=1450))
    assert len(stage.polls) == 4, "after an answer the time-out is the initial one again"


def test_a_malformed_answer_changes_nothing() -> None:
    stage = BoardStage()
    stage.answer(2, notice(2, host("a", "ASLEEP")))
    assert len(stage.core.updates) == 1
    stage.wait(timedelta(milliseconds=150))
    assert len(stage.polls) == 2


@pytest.mark.parametrize(
    "raw", [None, {}, {"rev": 1}, {"rev": "x", "notices": []}, {"rev": 1, "notices": [{"pool": {}}]}]
)
def test_malformed_events_are_rejected(raw: object) -> None:
    with pytest.raises(BoardError):
        read_notices(raw)


def test_the_events_in_the_configuration_become_the_saved_list() -> None:
    stage = Stage()
    switch = Switch(stage.loop, SETTINGS, 1)
    received: list[ListedServer] = []

    class Servers:
        servers_changed = staticmethod(received.extend)

    switch.attach(Servers())  # type: ignore[arg-type]
    known = {"rev": 1, "notices": [notice(1, host("a", born=1500), whole=True)]}
    BoardList(switch).start(*read_notices(known))
    assert [(entry.server, entry.address, entry.number, entry.serving) for entry in received] == [
        ("a", ("127.0.0.1", 9), 2, True)
    ]
    assert received[0].started is not None and received[0].started.timestamp() == 1.5
