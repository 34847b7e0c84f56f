"""The notice board: what its events say, gaps, losses and silence, against a small one of our own."""

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
    """Stands in for the core: keeps the news of the pool."""

    def __init__(self) -> None:
        self.news: list[tuple[int, i.ListKind, dict[str, str]]] = []

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        states = {
            entry.server: "up" if entry.serving else "gone" if entry.removed else "drain" for entry in entries
        }
        self.news.append((version, kind, states))


class BoardStage(Stage):
    """A board written here, and the actor that polls it."""

    def __init__(self) -> None:
        super().__init__()
        self.core = Recorder()
        self.pool = BoardList(self.core)
        first = {"rev": 1, "notices": [notice(1, host("a"), host("b"), whole=True)]}
        self.pool.start(*read_notices(first))
        self.server: Peer = self.peer("board", "tcp")
        self.asked: list[str] = []
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
        self.asked += [line.split()[1] for line in data.decode().split("\r\n") if line.startswith("GET ")]
        return bool(data)

    def answer(self, rev: int, *notices: dict[str, Any]) -> None:
        body = json.dumps({"rev": rev, "notices": notices}).encode()
        self.server.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.settle()


def test_events_are_followed_and_each_counts_once() -> None:
    stage = BoardStage()
    assert stage.asked == ["/board/poll?watch=1&linger=1000"]
    stage.answer(2, notice(1, host("a")), notice(2, host("a", "DRAINING")))
    assert stage.core.news[1:] == [(2, i.ListKind.CHANGES, {"a": "drain"})]
    assert stage.asked[-1] == "/board/poll?watch=2&linger=1000"
    stage.answer(3, notice(3, host("a", "DELETED"), host("c", born=5)))
    assert stage.core.news[-1][2] == {"a": "gone", "c": "up"}


def test_after_a_gap_all_events_are_asked_for_and_what_they_lack_is_gone() -> None:
    stage = BoardStage()
    stage.answer(5, notice(5, host("c")))
    assert stage.asked[-1] == "/board/poll?watch=0&linger=0"
    stage.answer(5, notice(1, host("a"), host("b"), whole=True), notice(3, host("b", "DELETED")),
                 notice(5, host("c")))  # fmt: skip
    assert stage.core.news[-1] == (5, i.ListKind.CHANGES, {"b": "gone", "a": "up", "c": "up"})


def test_a_board_that_began_anew_is_asked_for_everything() -> None:
    stage = BoardStage()
    stage.answer(0)
    assert stage.asked[-1] == "/board/poll?watch=0&linger=0"


def test_a_lost_board_is_dialled_again() -> None:
    stage = BoardStage()
    stage.server.close(reset=True)
    stage.wait(timedelta(milliseconds=150))
    assert stage.asked[-1] == "/board/poll?watch=1&linger=1000" and len(stage.asked) == 2


def test_a_board_that_moves_is_asked_at_its_new_address_for_what_is_due() -> None:
    """The old address says nothing more: the poll that was open there would hide a drain for seconds."""
    stage = BoardStage()
    stage.answer(2, notice(2, host("b", "DRAINING")))
    assert stage.server.listener is not None
    stage.server.listener.close()
    stage.server.listener = socket.create_server((HOST, 0))
    stage.server.listener.setblocking(False)
    stage.board.move(stage.server.listener.getsockname())
    stage.settle()
    assert stage.asked[-1] == "/board/poll?watch=2&linger=1000"
    stage.answer(3, notice(3, host("a", "DRAINING")))
    assert stage.core.news[-1][2] == {"a": "drain"}


def test_a_silent_board_is_dialled_again() -> None:
    """Its connection stays open when the machine is cut off: drains would go unheard for ever."""
    stage = BoardStage()
    stage.wait(timedelta(milliseconds=1300))
    assert len(stage.asked) == 1
    stage.wait(timedelta(milliseconds=200))
    assert len(stage.asked) == 2
    stage.answer(2, notice(2, host("a", "DRAINING")))
    assert stage.core.news[-1][2] == {"a": "drain"}


def test_a_board_is_asked_again_once_there_is_a_descriptor_for_it() -> None:
    """Idle clients had taken the last one while discovery was down: nobody asked again, for good."""
    stage = BoardStage()
    stage.server.close(reset=True)
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, before[1]))  # no new descriptor; those there go on
    refused = COUNTERS["board.no_socket"]
    try:
        for _ in range(300):
            stage.time.seconds += 0.001
            stage.loop.turn(timedelta(0))
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
    assert 1 <= COUNTERS["board.no_socket"] - refused <= 4, "tried again, and not in every turn"
    stage.wait(timedelta(milliseconds=150))
    assert len(stage.asked) == 2
    stage.answer(2, notice(2, host("a", "DRAINING")))
    assert stage.core.news[-1][2] == {"a": "drain"}


def test_a_list_that_comes_in_pieces_is_taken_and_one_without_an_end_is_not() -> None:
    """A whole list that took longer than the poll and 0.4 s was given up each time, for good."""
    stage = BoardStage()
    body = json.dumps({"rev": 2, "notices": [notice(2, host("a", "DRAINING"))]}).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    stage.wait(timedelta(milliseconds=1000))
    for piece in (answer[:9], answer[9:60], answer[60:90], answer[90:]):
        stage.server.write(piece)
        stage.wait(timedelta(milliseconds=300))
    assert stage.core.news[-1][2] == {"a": "drain"} and len(stage.asked) == 2
    for asked, bytes_sent in ((2, 20), (3, 5)):
        for byte in answer[:bytes_sent]:
            stage.server.write(bytes([byte]))
            stage.wait(timedelta(milliseconds=200))
        assert len(stage.asked) == asked


def test_a_board_that_is_slow_is_waited_for_longer_each_time() -> None:
    """One that answered half a second late was taken for a silent one each time, and drains went unheard."""
    stage = BoardStage()
    stage.wait(timedelta(milliseconds=1450))
    assert len(stage.asked) == 2
    stage.wait(timedelta(milliseconds=1600))
    assert len(stage.asked) == 2
    stage.answer(2, notice(2, host("a", "DRAINING")))
    assert stage.core.news[-1][2] == {"a": "drain"}
    stage.wait(timedelta(milliseconds=1450))
    assert len(stage.asked) == 4, "it answers again, so its next silence is noticed as soon as the first"


def test_an_answer_that_cannot_be_read_changes_nothing() -> None:
    stage = BoardStage()
    stage.answer(2, notice(2, host("a", "ASLEEP")))
    assert len(stage.core.news) == 1
    stage.wait(timedelta(milliseconds=150))
    assert len(stage.asked) == 2


@pytest.mark.parametrize(
    "raw", [None, {}, {"rev": 1}, {"rev": "x", "notices": []}, {"rev": 1, "notices": [{"pool": {}}]}]
)
def test_malformed_news_is_refused(raw: object) -> None:
    with pytest.raises(BoardError):
        read_notices(raw)


def test_known_events_reach_the_module_as_its_saved_list() -> None:
    stage = Stage()
    switch = Switch(stage.loop, SETTINGS, 1)
    told: list[ListedServer] = []

    class Side:
        servers_changed = staticmethod(told.extend)

    switch.attach(Side())  # type: ignore[arg-type]
    known = {"rev": 1, "notices": [notice(1, host("a", born=1500), whole=True)]}
    BoardList(switch).start(*read_notices(known))
    assert [(entry.server, entry.address, entry.number, entry.serving) for entry in told] == [
        ("a", ("127.0.0.1", 9), 2, True)
    ]
    assert told[0].started is not None and told[0].started.timestamp() == 1.5
