"""The admin server, and the drain that it begins and undoes."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.core.lifecycle import Lifecycle, Need, Phase
from reedmount.core.shutdown import Shutdown
from reedmount.fronts.admin import ADMIN_SOCKETS, MAX_ADMIN_CONNECTIONS, AdminServer
from reedmount.net.loop import READ
from reedmount.node import SERVER_SOCKETS, max_caller_connections
from tests.scenario import HOST
from tests.test_config import platform
from tests.test_platform import ESTABLISH, SETUP, Platform

HEALTH = b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n"


class AdminStage(Platform):
    """The platform's front with an admin server."""

    def __init__(self) -> None:
        super().__init__("server")
        self.admin_server = AdminServer(
            self.loop, (HOST, 0), self.switch.lifecycle, lambda: self.switch.call_counts
        )

    def connect(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(self.admin_server.address)
        sock.sendall(data)
        self.settle()
        return sock

    def request(self, data: bytes) -> tuple[int, bytes]:
        with self.connect(data) as sock:
            sock.settimeout(5)
            answer = b""
            while part := sock.recv(4096):
                answer += part
            self.settle()
        assert b"Connection: close\r\n" in answer
        return int(answer.split(b" ")[1]), answer

    def post(self, what: str) -> int:
        return self.request(f"POST /admin/{what} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())[
            0
        ]


@pytest.fixture
def stage() -> Iterator[AdminStage]:
    made = AdminStage()
    yield made
    made.loop.close()


def test_health_reports_the_state_and_the_number_of_calls(stage: AdminStage) -> None:
    stage.play(ESTABLISH)
    status, answer = stage.request(HEALTH)
    assert status == 200
    assert json.loads(answer.partition(b"\r\n\r\n")[2]) == {"state": "ready", "open": 0, "standing": 1}


@pytest.mark.parametrize(
    ("data", "status", "header"),
    [
        (b"GET /admin/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404, b""),
        (b"POST /admin/health HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405, b"Allow: GET\r\n"),
        (b"GET /admin/quiesce HTTP/1.1\r\nHost: x\r\n\r\n", 405, b"Allow: POST\r\n"),
        (b"GET /admin/health HTTP/1.1\r\n\r\n", 400, b""),
        (b"\x16\x03\x01 what\r\n\r\n", 400, b""),
        (b"GET http://[/admin/health HTTP/1.1\r\nHost: x\r\n\r\n", 400, b""),
        (b"POST /admin/quiesce HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", 400, b""),
    ],
)
def test_invalid_requests_get_the_http_status_for_their_error(
    stage: AdminStage, data: bytes, status: int, header: bytes
) -> None:
    got, answer = stage.request(data)
    assert got == status and header in answer
    assert stage.switch.lifecycle.ready


def test_quiesce_and_resume_may_be_repeated(stage: AdminStage) -> None:
    assert [stage.post("quiesce"), stage.post("quiesce"), stage.request(HEALTH)[0]] == [200, 200, 503]
    assert [stage.post("resume"), stage.post("resume"), stage.request(HEALTH)[0]] == [200, 200, 200]
    stage.switch.lifecycle.end()
    assert [stage.post("resume"), stage.request(HEALTH)[0]] == [409, 503]


def test_silent_connections_do_not_keep_others_from_being_served(stage: AdminStage) -> None:
    """Some clients send nothing for seconds, some stop in a request: other requests are still answered."""
    silent = [stage.connect(b"GET /adm" if n % 2 else b"") for n in range(3 * MAX_ADMIN_CONNECTIONS)]
    assert stage.request(HEALTH)[0] == 200
    assert len(stage.admin_server._connections) <= MAX_ADMIN_CONNECTIONS
    stage.wait(timedelta(seconds=6))
    assert not stage.admin_server._connections
    for sock in silent:
        sock.close()


def test_the_admin_server_is_served_before_other_ready_connections(stage: AdminStage) -> None:
    """At full load its answers came after everything that was ready before."""
    order: list[str] = []
    pairs = [socket.socketpair() for _ in range(100)]

    def busy(near: socket.socket) -> None:
        near.recv(1)
        order.append("call")

    for near, far in pairs:
        stage.loop.watch(near.fileno(), READ, lambda _, near=near: busy(near))  # type: ignore[misc]
        far.send(b"x")
    caller = socket.create_connection(stage.admin_server.address)
    caller.sendall(HEALTH)
    caller.setblocking(False)
    for _ in range(3):
        stage.loop.turn(timedelta(0))
        try:
            if caller.recv(16):
                order.append("admin")
        except BlockingIOError:
            pass
    assert "admin" in order and stage.loop.watched_count > 100
    assert order.index("admin") <= 100, "answered in the turn after its connection was accepted"
    for sock in (caller, *(sock for pair in pairs for sock in pair)):
        sock.close()


def test_a_drain_closes_idle_connections_and_answers_open_set_ups(stage: AdminStage) -> None:
    """Clients keep using a connection for as long as it is open: the drain has to close it."""
    stage.play(ESTABLISH + "other send OPTIONS t\n other expect 200 t")
    stage.peer("late", "thin", stage.callers.address)
    stage.play("late send INVITE c2 x-cos=small x-timer-ms=9000\n server expect INVITE c2")
    assert stage.post("quiesce") == 200
    stage.play(f"""
        other send OPTIONS t
        other expect 503 t
        other send {SETUP.replace("c1", "c3")}
        server expect INVITE c3
        other send CANCEL c3
        server expect CANCEL c3
        wait 700
        other expect CLOSED
        late expect nothing
        caller expect nothing
        server send 200 INVITE c2 | there
        server expect ACK c2
        late expect 200 c2 body=there
        late send ACK c2
        wait 100
        late expect nothing
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect BYE c1
        caller send 200 BYE
        late send BYE c2
        late expect 200 c2
        server expect BYE c2
        wait 100
        caller expect CLOSED
        late expect CLOSED
    """)
    assert stage.switch.is_idle and stage.post("resume") == 200
    stage.play("caller send OPTIONS t\n caller expect 200 t\n wait 2000\n caller expect nothing")


def test_a_drain_closes_a_connection_with_a_stream_of_set_ups(stage: AdminStage) -> None:
    """Late in the drain set-ups are answered in time for its end, and the connection is closed."""
    stage.post("quiesce")
    for number in range(12):
        stage.play(f"caller send INVITE d{number} x-cos=small x-timer-ms=9000\n wait 350")
        if any(message.method == "CLOSED" for message in stage.peers["caller"].inbox):
            break
    else:
        raise AssertionError("the connection is still open")
    assert 9 <= number <= 11
    assert stage.switch.unanswered == 0


def test_resume_undoes_a_drain_before_connections_are_closed(stage: AdminStage) -> None:
    stage.play(ESTABLISH)
    stage.post("quiesce")
    stage.play("wait 300\n caller expect nothing")
    stage.post("resume")
    stage.play("wait 2000\n caller expect nothing")


def test_a_drain_does_not_close_a_connection_with_unread_data(stage: AdminStage) -> None:
    """The close became a reset, and the unread set-up was lost."""
    stage.play("caller send OPTIONS t\n caller expect 200 t")
    client = next(iter(stage.callers._clients))
    stage.wait(timedelta(seconds=1))
    now = stage.loop.clock.now()
    assert client.is_drainable(now, Shutdown(now - timedelta(seconds=3)))
    caller = stage.peers["caller"]
    caller.write(caller.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode())
    assert not client.is_drainable(now, Shutdown(now - timedelta(seconds=3)))


def test_descriptors_are_reserved_for_the_admin_server(tmp_path: Path) -> None:
    """With half the limit, clients and connections to servers took all descriptors."""
    for sockets in (64, 128, 192, 1024):
        limits = {"sockets": sockets}
        without = max_caller_connections(platform(tmp_path, limits=limits))
        with_admin = max_caller_connections(platform(tmp_path, limits=limits, control=f"{HOST}:9800"))
        assert without - with_admin == ADMIN_SOCKETS and with_admin >= sockets // 4
        assert without + min(SERVER_SOCKETS, sockets // 4) < sockets


def test_the_lifecycle_is_ready_once_all_needs_are_met_and_a_shutdown_is_final(stage: AdminStage) -> None:
    lifecycle, phases = Lifecycle(stage.loop.clock), []
    lifecycle.on_change(lambda: phases.append(lifecycle.phase))
    assert lifecycle.phase is Phase.STARTING
    lifecycle.satisfy(Need.LISTENING)
    assert not lifecycle.ready
    lifecycle.satisfy(Need.SERVERS)
    lifecycle.quiesce()
    lifecycle.quiesce()
    assert lifecycle.resume() and lifecycle.ready
    lifecycle.end()
    assert not lifecycle.resume()
    assert phases == [Phase.READY, Phase.DRAINING, Phase.READY, Phase.ENDING]
