"""Races: closes, cancels, signals and reloads that cross messages in transit.

Each race is forced: the bytes are in the sockets, or a descriptor is missing, before the loop's turn.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import tomllib
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.core.checks import COUNTERS
from reedmount.core.clock import ZERO
from reedmount.core.ports import Setup
from reedmount.core.shutdown import ANSWER_WITHIN
from reedmount.net.connection import Connection, EndReason
from reedmount.net.loop import Loop
from reedmount.sip.message import response
from tests.scenario import HOST, VirtualTime, digits, full_backlog
from tests.test_board import notice
from tests.test_config import ROOT, platform
from tests.test_platform import ESTABLISH, ESTABLISH_OTHER, SETUP, Platform
from tests.test_start import line, started

PLAIN = (b"INVITE sip:00000000000000a7@net SIP/2.0\r\nCall-ID: 00000000000000b1\r\nCSeq: 1 INVITE\r\n"
         b"X-Cos: plain\r\nX-Timer-Ms: 1000\r\nContent-Length: 0\r\n\r\n")  # fmt: skip


TWO_SETUPS = f"""
    caller send {SETUP}
    server expect INVITE c1
    other send {SETUP.replace("c1", "c2")}
    server expect INVITE c2
"""


# --- the client disconnects or cancels ---


def test_a_set_up_whose_client_closed_before_it_was_read_is_not_sent_to_a_server() -> None:
    """Both were in the socket: the set-up was read and sent, and the close was noticed one turn later."""
    stage = Platform("server")
    caller = stage.peers["caller"]
    caller.write(caller.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode())
    caller.close(reset=False)
    sent = COUNTERS["attempts.sent"]
    stage.play("wait 300\n server expect nothing")
    assert COUNTERS["attempts.sent"] == sent and stage.switch.is_idle


@pytest.mark.parametrize("leaves", ["caller close", "caller close reset", "caller send CANCEL c1"])
def test_a_set_up_queued_for_a_connection_is_not_sent_once_its_client_has_left(leaves: str) -> None:
    """The connection is established late: the queued set-up is withdrawn, however the client left."""
    stage = Platform("server")
    stage.play("server close reset")
    stage.peers["server"].stop()  # connections are established only once the backlog below has room
    with full_backlog() as (full, _):
        stage.set_servers("server", port=full.getsockname()[1])
        stage.play(f"wait 20\n caller send {SETUP}\n wait 100")
        assert stage.switch.unanswered == 1
        stage.play(leaves + "\n wait 5")
        assert stage.switch.is_idle
        received = []
        for _ in range(20):
            stage.wait(timedelta(milliseconds=50))
            full.settimeout(0)
            try:
                sock, _ = full.accept()
                sock.settimeout(0.01)
                received.append(sock.recv(4096))
            except (BlockingIOError, TimeoutError):
                continue
        assert b"INVITE" not in b"".join(received)


@pytest.mark.parametrize("leaves", ["caller close", "caller close reset", "caller send CANCEL c1"])
def test_no_further_attempt_begins_after_the_client_has_left(leaves: str) -> None:
    """The next attempt waits for the pause after the first one when the client leaves."""
    stage = Platform("server", "second")
    stage.play(f"caller send {SETUP}\n server expect INVITE c1\n server send 504 INVITE")
    stage.play(f"server expect ACK c1\n wait 150\n {leaves}\n wait 400")
    stage.play("second expect nothing\n server expect nothing")
    assert stage.switch.is_idle


def test_an_answer_that_crosses_the_client_s_close_is_released_at_its_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The call occupied a line without a caller until its server ended it."""
    stage = Platform("server")
    stage.play(f"caller send {SETUP}\n server expect INVITE c1")
    client, original = next(iter(stage.callers._clients)), stage.switch.established

    def close_first(name: str, attempt: int, description: bytes) -> bool:
        client.connection.close(EndReason.RESET)  # noticed after the answer is read and before it is sent on
        return original(name, attempt, description)

    monkeypatch.setattr(stage.switch, "established", close_first)
    stage.play("server send 200 INVITE c1 | there\n server expect ACK c1\n server expect BYE c1")
    assert stage.switch.is_idle


def test_a_call_whose_cancel_crossed_its_answer_is_released_towards_both_sides() -> None:
    """Only the server got a release, although the caller had received the answer."""
    stage = Platform("server")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 200 INVITE c1
        server expect ACK c1
        caller expect 200 c1
        caller send CANCEL c1
        wait 600
        server expect BYE c1
        caller expect BYE c1
        caller send 200 BYE
    """)
    assert stage.switch.is_idle and stage.callers.is_idle


def test_a_connection_with_unread_data_is_not_closed_as_idle() -> None:
    """The close became a reset, and a complete set-up was lost without an answer."""
    stage = Platform("server")
    stage.play("caller send OPTIONS t\n caller expect 200 t")
    client = next(iter(stage.callers._clients))
    stage.time.seconds += 6
    now = stage.loop.clock.now()
    assert client.is_expired(now)
    caller = stage.peers["caller"]
    caller.write(caller.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode())
    assert not client.is_expired(now)


# --- call servers close connections, accept late, or hang ---


def test_a_connection_near_its_server_s_idle_close_is_not_used() -> None:
    """The close crossed the next set-up: it was reset, and the call waited 200 ms or failed."""
    stage = Platform("server")
    stage.limits.idle_wait = timedelta(seconds=2)
    stage.play(ESTABLISH + "wait 1400\n" + ESTABLISH_OTHER)
    server = stage.peers["server"]
    first, second = (
        server.received_on[id(message)] for message in server.requests if message.method == "INVITE"
    )
    assert first is second, "well before that it is used"
    stage.play("""
        wait 1600
        other send INVITE u x-cos=small x-timer-ms=2000
        server expect INVITE u
        server send 200 INVITE u
        server expect ACK u
        other expect 200 u
    """)
    assert server.received_on[id(server.requests[-2])] is not second
    stage.play("wait 1600\n server expect nothing\n caller send BYE c1\n caller expect 200 c1")
    stage.play("server expect BYE c1")


def test_a_release_is_not_sent_on_a_connection_that_its_server_may_be_closing() -> None:
    """It was lost on a connection that the call server was closing: the call stayed established there."""
    stage = Platform("server")
    stage.limits.idle_wait = timedelta(seconds=2)
    stage.play(ESTABLISH + "wait 1600\n caller send BYE c1\n caller expect 200 c1\n server expect BYE c1")
    server = stage.peers["server"]
    assert server.received_on[id(server.requests[-1])] is not server.received_on[id(server.requests[0])]


def test_several_connections_closed_as_idle_are_not_all_opened_again() -> None:
    """Each was dialled again: an idle fleet opened a connection per server, instance and idle time."""
    stage = Platform("server")
    stage.play(f"caller send {SETUP}\n server expect INVITE c1\n other send {SETUP.replace('c1', 'c2')}")
    stage.play("server expect INVITE c2\n server send 503 INVITE c1\n server send 503 INVITE c2\n wait 200")
    before = COUNTERS["server.connects"]
    stage.play("server close\n wait 50")
    assert COUNTERS["server.connects"] - before == 1


def test_connections_to_servers_are_limited_in_total_but_each_server_has_one() -> None:
    stage = Platform("server")
    stage.limits.max_connections = 2
    for name in ("c1", "c2", "c3", "c4"):
        stage.call_servers.send(Setup(digits(name), 0, "server", "small", "47", timedelta(seconds=9), b""))
        stage.play(f"server expect INVITE {name}")
    assert stage.call_servers._peers["server"].connection_count == 2
    stage.peer("second", "thin")
    stage.set_servers("server", "second")
    assert stage.call_servers._peers["second"].connection_count == 1


def test_idle_clients_are_evicted_when_descriptors_are_needed() -> None:
    """Broken connections to servers, and idle clients up to their own limit, left none for the board."""
    stage = Platform("server")
    stage.play("caller send OPTIONS t\n caller expect 200 t\n other send OPTIONS t\n other expect 200 t")
    crowd = [stage.peer(f"p{n}", "thin", stage.callers.address) for n in range(9)]
    for peer in crowd:
        peer.write(peer.request("OPTIONS", "t", {}, b"").encode())
    stage.settle()
    assert len(stage.callers._clients) == 11
    stage.callers.descriptors = stage.loop.watched_count + 14  # unwatched and spare ones
    stage.peer("second", "thin")
    stage.set_servers("server", "second")  # one more connection
    late = stage.peer("late", "thin", stage.callers.address)
    late.write(late.request("OPTIONS", "t", {}, b"").encode())
    stage.settle()
    assert len(stage.callers._clients) == 10


@pytest.mark.parametrize("given_up", [False, True])
def test_a_release_that_overtakes_its_answer_ends_the_call(given_up: bool) -> None:
    """It was ignored, and the call answered later by this server or another: its caller got no release."""
    stage = Platform("server", "second")
    stage.play(f"caller send {SETUP}\n server expect INVITE c1")
    if given_up:
        stage.play("server send 504 INVITE c1\n server expect ACK c1\n wait 100")
    stage.play("""
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect 503 c1
    """)
    if not given_up:
        stage.play("server expect CANCEL c1\n server send 200 INVITE c1 | late\n server expect ACK c1")
        stage.play("server expect BYE c1")
    stage.play("wait 400\n server expect nothing\n second expect nothing\n caller expect nothing")
    assert stage.switch.is_idle


def test_a_release_by_a_server_without_the_call_ends_it_at_its_server_too() -> None:
    """The caller got a release, but the server of the call kept its line until the call's end."""
    stage = Platform("server", "second")
    stage.play(
        ESTABLISH
        + """
        second send BYE c1 reason=Q.850;cause=41
        second expect 200 c1
        caller expect BYE c1 reason=Q.850;cause=41
        server expect BYE c1 reason=Q.850;cause=41
    """
    )
    assert stage.switch.is_idle


def test_an_attempt_answered_after_it_was_given_up_is_released_once_the_call_is_over() -> None:
    """A release names only the call: sent at once, it ended the call established elsewhere without notice."""
    stage = Platform("server", "second")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server close reset
        wait 300
        server expect INVITE c1
        server send 503 INVITE c1
        server expect ACK c1
        second expect INVITE c1
        second send 200 INVITE | there
        second expect ACK c1
        caller expect 200 c1 body=there
        wait 20
    """)
    server = stage.peers["server"]
    server.write(response(server.requests[0], 200, body=b"late\r\n").encode())
    stage.play("""
        server expect ACK c1
        wait 1200
        server expect nothing
        caller expect nothing
        second send BYE c1 reason=Q.850;cause=16
        second expect 200 c1
        caller expect BYE c1
        server expect BYE c1
    """)
    assert stage.switch.is_idle


def replaced_late(stage: Platform, broken: socket.socket) -> socket.socket:
    """Reset a connection of the server while no other comes up; return the one that replaces it."""
    server = stage.peers["server"]
    with full_backlog() as (full, filling):
        stage.set_servers("server", port=full.getsockname()[1])
        broken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        server.drop(broken)
        stage.play("wait 600")  # the next connection is not established by then
        stage.set_servers("server", port=server.port)
        for sock in filling:
            sock.close()
    before = set(server.rings)
    stage.play("wait 1200")
    assert len(set(server.rings) - before) == 1
    return next(iter(set(server.rings) - before))


def test_a_connection_is_dialled_again_for_a_lost_release_though_the_first_retry_fails() -> None:
    """Others were open, so there was no further retry: the server's release never reached the caller."""
    stage = Platform("server")
    stage.play(
        TWO_SETUPS
        + """
        server send 200 INVITE c1 | there
        server expect ACK c1
        server send 200 INVITE c2 | there
        server expect ACK c2
        caller expect 200 c1
        other expect 200 c2
        wait 150
    """
    )
    server = stage.peers["server"]
    server.sock = replaced_late(stage, server.received_on[id(server.requests[0])])
    stage.play("server send BYE c1 reason=Q.850;cause=16\n server expect 200 c1\n caller expect BYE c1")


# --- shutdown ---


def test_during_shutdown_all_open_set_ups_are_answered() -> None:
    """The process was killed before the answer to a set-up that still had nine seconds."""
    stage = Platform("server")
    stage.play("""
        caller send INVITE c1 x-cos=small x-timer-ms=9000
        server expect INVITE c1
        caller send INVITE c2 x-cos=once x-timer-ms=9000
        server expect INVITE c2
    """)
    stage.switch.lifecycle.end()
    stage.loop.call_later(ANSWER_WITHIN, stage.switch.answer_all_pending)
    stage.play("wait 3250\n caller expect nothing\n wait 100\n caller expect 503 c1\n caller expect 500 c2")
    stage.play("server expect CANCEL\n server expect CANCEL\n wait 400\n server expect nothing")
    assert stage.switch.is_idle


def test_a_request_that_is_half_received_at_sigterm_is_answered(tmp_path: Path) -> None:
    """The process exited 1.5 s after the signal, while a request was arriving in pieces."""
    platform(tmp_path, known={"rev": 1, "notices": [notice(1, whole=True)]})
    with started(GW_CONFIG=str(tmp_path / "config.json"), GW_LISTEN=f"{HOST}:0") as process:
        port = int(line(process).rpartition(":")[2])
        with socket.create_connection((HOST, port)) as caller:
            caller.sendall(PLAIN[:20])
            process.send_signal(signal.SIGTERM)
            assert line(process).startswith("stopping")
            caller.settimeout(0.3)
            for byte in PLAIN[20:27]:  # beyond the time in which new requests are expected
                with pytest.raises(TimeoutError):
                    caller.recv(1)
                caller.sendall(bytes([byte]))
            caller.sendall(PLAIN[27:])
            caller.settimeout(10)
            assert caller.recv(4096).startswith(b"SIP/2.0 503 ")
        assert process.wait(20) == 0


def test_shutdown_waits_for_answers_not_yet_written_to_the_socket() -> None:
    """The exit of the process truncated the answers of a client that reads late."""
    stage = Platform("server")
    stage.play("caller send OPTIONS t\n caller expect 200 t")
    client = next(iter(stage.callers._clients))
    stage.switch.lifecycle.end()
    assert stage.callers.is_idle
    while client.connection.idle:
        client.connection.send(b"x" * 65536)
    assert not stage.callers.is_idle
    stage.time.seconds += 4
    assert stage.callers.is_idle, "the wait is limited"


def test_sighup_during_startup_does_not_end_the_process(tmp_path: Path) -> None:
    """It arrived in the first tenth of a second, before the handler was set, and ended the process."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    platform(tmp_path, known={"rev": 1, "notices": [notice(1, whole=True)]})
    env = {"GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": f"{HOST}:0", "PATH": "/usr/bin:/bin"}
    # The shell is ready once it reads its input; the program takes a while longer.
    shell = subprocess.Popen(
        ["/bin/sh", "-c", f"read go; {run}"], cwd=ROOT, env=env, stdin=subprocess.PIPE, stderr=subprocess.PIPE
    )
    assert shell.stdin is not None and shell.stderr is not None
    shell.stdin.write(b"go\n")
    shell.stdin.close()
    while "python" not in os.readlink(f"/proc/{shell.pid}/exe"):
        pass
    shell.send_signal(signal.SIGHUP)
    output = shell.stderr.readline()
    shell.kill()
    shell.wait()
    shell.stderr.close()
    assert b" serves at " in output


def test_a_close_in_the_turn_of_the_last_bytes_is_known_when_these_are_read() -> None:
    """The receiver of the bytes can tell whether their sender is still connected."""
    with socket.create_server((HOST, 0)) as server:
        far = socket.create_connection(server.getsockname())
        near, _ = server.accept()
    finished: list[bool] = []
    loop = Loop(VirtualTime().clock)
    made = Connection(
        loop, near, lambda connection: finished.append(connection.peer_finished), lambda *_: None
    )
    far.sendall(b"one")
    loop.turn(ZERO)
    far.sendall(b"two")
    far.close()
    loop.turn(ZERO)
    assert finished == [False, True]
    made.close()
    loop.close()
