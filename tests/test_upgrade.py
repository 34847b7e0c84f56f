"""Upgrades: the listener is handed to a new process, and each forwards messages that are the other's."""

from __future__ import annotations

import json
import os
import signal
import socket
import stat
import time
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount import interface as i
from reedmount.core.checks import COUNTERS
from reedmount.core.lifecycle import Phase
from reedmount.core.ports import ListedServer
from reedmount.core.switch import Switch
from reedmount.fronts.board import Board, BoardList
from reedmount.fronts.call_servers import CallServers
from reedmount.fronts.handover import FILE, SuccessorListener, request_listener
from reedmount.fronts.platform import Callers
from reedmount.fronts.server_connection import ConnectionLimits
from reedmount.net.connection import bind
from tests.scenario import HOST, Stage
from tests.test_board import notice
from tests.test_config import platform
from tests.test_platform import ESTABLISH, SETUP, Platform
from tests.test_start import line, started


class Pair(Platform):
    """An old and a new process on one loop, connected to each other; ``late`` is a client of the new one."""

    def __init__(self) -> None:
        super().__init__("server")
        self.successor = Switch(self.loop, self.switch.settings, 2)
        self.successor.attach(
            CallServers(self.loop, self.successor, ConnectionLimits(timedelta(milliseconds=500)), 16)
        )
        self.new = Callers(self.loop, self.successor, (HOST, 0), 100, bind((HOST, 0)))
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.callers.handover_peer.join(near)
        self.callers.handover_peer.on("ready", lambda _: self.callers.hand_over())
        self.callers.handover_peer.on_lost = self.callers.take_back
        self.new.handover_peer.join(far)
        self.new.listener.start()
        self.peer("late", "thin", self.new.address)
        entry = ListedServer("server", (HOST, self.peers["server"].port), 1, True, False, None)
        self.successor.pool_changed(1, i.ListKind.CHANGES, [entry])

    def ready(self) -> None:
        self.new.handover_peer.notify("ready")
        self.settle()


@pytest.fixture
def stage() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.loop.close()


def test_the_old_process_closes_idle_connections_and_keeps_its_calls(stage: Pair) -> None:
    """It answers open set-ups; releases of its established calls go over connections of the new process."""
    stage.play(ESTABLISH + f"other send {SETUP.replace('c1', 'c2')}\n server expect INVITE c2")
    stage.ready()
    assert stage.switch.lifecycle.phase is Phase.DRAINING and not stage.switch.lifecycle.resume()
    stage.play("""
        wait 100
        caller expect CLOSED
        other expect nothing
        server send 200 INVITE c2 | there
        server expect ACK c2
        other expect 200 c2 body=there
        other send ACK c2
        wait 100
        other expect CLOSED
        server expect nothing
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        late send INVITE c3 x-cos=small x-timer-ms=2000
        late expect BYE c1
        server expect INVITE c3
        server send BYE c2 reason=Q.850;cause=16
        server expect 200 c2
        late expect BYE c2
    """)
    assert stage.switch.is_idle and not stage.successor.is_idle


def test_the_old_process_drains_though_its_shutdown_began_before_the_new_one_was_ready(stage: Pair) -> None:
    """If SIGTERM came before the message, connections stayed open and the old process got their requests."""
    stage.play("caller send OPTIONS t\n caller expect 200 t")
    stage.switch.lifecycle.end()
    stage.ready()
    stage.play("wait 100\n caller expect CLOSED")
    assert stage.callers.is_idle


def test_a_lowered_limit_evicts_connections_at_the_next_accept(stage: Pair) -> None:
    stage.callers.max_connections = 8
    for _ in range(2):
        crowd = [socket.create_connection(stage.callers.address) for _ in range(8)]
        stage.wait(timedelta(milliseconds=600))
        stage.callers.max_connections = 3
    assert len(stage.callers._clients) == 3
    for sock in crowd:
        sock.close()


def test_a_release_and_a_cancel_that_reach_the_wrong_process_are_forwarded(stage: Pair) -> None:
    stage.play(ESTABLISH + f"other send {SETUP.replace('c1', 'c2')}\n server expect INVITE c2")
    stage.ready()
    stage.play("""
        late send BYE c1
        late expect 200 c1
        server expect BYE c1
        late send CANCEL c2
        server expect CANCEL c2
        server expect nothing
    """)
    assert stage.switch.is_idle and stage.successor.is_idle
    COUNTERS.add("twin.out.bye", -COUNTERS["twin.out.bye"])
    stage.play("late send BYE c9\n late expect 200 c9\n server expect BYE c9\n server expect nothing")
    assert COUNTERS["twin.out.bye"] == 1, "a call that neither knows is not forwarded back"


def test_releases_of_the_other_process_s_calls_are_not_limited_like_unknown_ones(stage: Pair) -> None:
    """Beyond 16 in a quarter of a second they were answered 481, and the calls stayed established."""
    for number in range(20):
        stage.play(f"""
            caller send INVITE a{number} x-cos=small x-timer-ms=2000
            server expect INVITE a{number}
            server send 200 INVITE a{number}
            server expect ACK a{number}
            caller expect 200 a{number}
        """)
    for number in range(20):
        stage.play(f"late send BYE a{number}\n late expect 200 a{number}\n server expect BYE a{number}")
    assert stage.switch.is_idle
    for number in range(40):
        stage.play(f"late send BYE b{number}\n late expect 200 b{number}")
    assert len(stage.peers["server"].inbox) == 16


def test_a_server_s_release_that_the_new_process_receives_is_sent_to_the_client_once(stage: Pair) -> None:
    """Servers repeat a release on the next connection that opens: in an upgrade, one of the new process."""
    stage.play(ESTABLISH)
    stage.ready()
    stage.play("wait 100\n caller expect CLOSED\n late send INVITE c3 x-cos=small x-timer-ms=2000")
    stage.play("""
        server expect INVITE c3
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        late expect BYE c1
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        late expect nothing
    """)
    assert stage.switch.is_idle


def test_the_new_process_uses_the_descriptors_that_the_old_one_leaves(stage: Pair) -> None:
    """The limit of descriptors holds for both processes together."""
    stage.ready()
    stage.wait(timedelta(milliseconds=250))
    assert stage.new.room == 100 - stage.loop.watched_count - 6
    stage.new.handover_peer._dispatch({"what": "held", "count": 1000})
    assert stage.new.room == 8
    stage.new.handover_peer._dispatch({"what": "held"})
    stage.new.handover_peer._dispatch({"what": "a kind of message of another version"})
    assert stage.new.room == 8


def test_the_old_process_accepts_clients_again_when_the_new_one_dies(stage: Pair) -> None:
    stage.ready()
    client = socket.create_connection(stage.callers.address)  # waits at the listener
    client.sendall(b"OPTIONS sip:p@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
    stage.settle()
    assert not stage.callers._clients
    assert stage.new.handover_peer._channel is not None
    stage.new.handover_peer._channel.close()
    stage.settle()
    assert stage.switch.lifecycle.ready and client.recv(12) == b"SIP/2.0 200 "
    client.close()


def test_the_listener_is_passed_with_its_waiting_connections(tmp_path: Path) -> None:
    """When the old process closed a listener of its own, the system reset the connections in its backlog."""
    stage, deep = Stage(), tmp_path / ("deep" * 30)
    deep.mkdir()
    old = bind((HOST, 0), shared=True)
    waiting = [socket.create_connection(old.getsockname()) for _ in range(50)]
    joined: list[socket.socket] = []
    successors = SuccessorListener(stage.loop, deep, old, joined.append)
    successors.open()
    assert stat.S_IMODE((deep / FILE).stat().st_mode) == 0o600
    child = os.fork()
    if not child:
        stage.loop.turn(timedelta(seconds=5))
        os._exit(0)
    found = request_listener(deep, old.getsockname())
    os.waitpid(child, 0)
    old.close()
    assert found is not None
    listener, predecessor = found
    for _ in waiting:
        accepted, _ = listener.accept()
        accepted.sendall(b"x")
        accepted.close()
    assert all(sock.recv(1) == b"x" for sock in waiting)
    for sock in (listener, predecessor, *waiting):
        sock.close()


def test_no_listener_comes_from_a_dead_a_silent_or_a_missing_predecessor(tmp_path: Path) -> None:
    wait = timedelta(milliseconds=50)
    assert request_listener(tmp_path, (HOST, 1), wait) is None
    (tmp_path / FILE).write_text("no socket")
    assert request_listener(tmp_path, (HOST, 1), wait) is None
    (tmp_path / FILE).unlink()
    silent = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    silent.bind(str(tmp_path / FILE))
    silent.listen()
    assert request_listener(tmp_path, (HOST, 1), wait) is None
    silent.close()
    assert request_listener(tmp_path, (HOST, 1), wait) is None, "the file of a dead process"
    stage = Stage()
    successors = SuccessorListener(stage.loop, tmp_path, bind((HOST, 0)), lambda _: None)
    successors.open()
    again = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    again.connect(str(tmp_path / FILE))
    again.close()
    stage.loop.close()


def test_the_new_process_polls_the_board_before_it_is_ready(tmp_path: Path) -> None:
    """The list in the file is as old as the old process: it may name servers removed since."""
    stage = Stage()
    server, updates = socket.create_server((HOST, 0)), []
    Board(stage.loop, server.getsockname(), BoardList(Switch(stage.loop, platform(tmp_path).settings, 1)),
          lambda: updates.append(1))  # fmt: skip
    stage.settle()
    board, _ = server.accept()
    for expected in (False, True):
        stage.settle()
        poll = board.recv(4096)
        assert (b"linger=0 " in poll) is not expected and len(updates) == expected
        body = json.dumps({"rev": 0, "notices": []}).encode()
        board.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    board.close()
    server.close()


def test_an_upgrade_loses_no_request_and_can_be_repeated(tmp_path: Path) -> None:
    """When both processes bound the same address, the second one exited at once."""
    platform(tmp_path, known={"rev": 1, "notices": [notice(1, whole=True)]})
    env = {"GW_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    setup = (b"INVITE sip:00000000000000a7@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\n"
             b"X-Cos: plain\r\nX-Timer-Ms: 3000\r\nContent-Length: 0\r\n\r\n")  # fmt: skip
    count = 0

    def ask_once(address: tuple[str, int]) -> None:
        nonlocal count
        count += 1
        with socket.create_connection(address, 5) as caller:
            caller.settimeout(10)
            caller.sendall(setup % count)
            assert caller.recv(4096).startswith(b"SIP/2.0 503 "), count

    with started(**env, GW_LISTEN=f"{HOST}:0") as old:
        address = (HOST, int(line(old).rpartition(":")[2]))
        ask_once(address)
        with started(**env, GW_LISTEN=f"{HOST}:{address[1]}") as new:
            assert "a successor has been given" in line(old)
            assert "a predecessor has given" in line(new)
            assert line(new).endswith(f":{address[1]}\n")
            until = time.monotonic() + 3  # it waits 2 s for a board that does not exist
            while time.monotonic() < until:
                ask_once(address)
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            assert old.stderr is not None and b"twin.in.ready=1" in old.stderr.read()
            ask_once(address)
            with started(**env, GW_LISTEN=f"{HOST}:{address[1]}") as third:
                while "a predecessor has given" not in line(third):
                    pass
                new.kill()
                ask_once(address)
