"""The program as a process: both fronts, signals, and configurations with which it does not start."""

from __future__ import annotations

import os
import random
import select
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.scenario import HOST
from tests.test_board import notice
from tests.test_config import ROOT, platform


@contextmanager
def started(*arguments: str, **env: str) -> Iterator[subprocess.Popen[bytes]]:
    command = [sys.executable, "-O", "-m", "reedmount", *arguments]
    # Unbuffered: of two lines that arrive at once, select() would not see the second in a buffer.
    process = subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, **env}, stderr=subprocess.PIPE, bufsize=0
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()


def line(process: subprocess.Popen[bytes]) -> str:
    """The next log line for people; lines of the event log are skipped."""
    assert process.stderr is not None
    while True:
        assert select.select([process.stderr], [], [], 20)[0], "no log line within 20 s"
        output = process.stderr.readline().decode()
        if not output.startswith("t="):
            return output


def test_the_platform_s_front_starts_answers_options_and_ends_on_sigterm(tmp_path: Path) -> None:
    platform(tmp_path)
    env = {"GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": f"{HOST}:0", "GW_NAME": "n1"}
    with started(**env) as process:
        output = line(process)
        assert output.startswith(f"n1 serves at {HOST}:")
        with socket.create_connection((HOST, int(output.rpartition(":")[2]))) as caller:
            caller.sendall(b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\n"
                           b"Content-Length: 0\r\n\r\n")  # fmt: skip
            assert caller.recv(4096).startswith(b"SIP/2.0 200 ")
        process.send_signal(signal.SIGUSR1)
        assert "in.caller.OPTIONS=1" in line(process)
        process.send_signal(signal.SIGTERM)
        assert line(process).startswith("stopping")
        assert "out.test=1" in line(process)
        assert process.wait(20) == 0


def test_requests_that_arrive_after_sigterm_are_answered(tmp_path: Path) -> None:
    """At a planned restart, requests arrive on open connections for a while after the signal."""
    platform(tmp_path, known={"rev": 1, "notices": [notice(1, whole=True)]})
    with started(GW_CONFIG=str(tmp_path / "config.json"), GW_LISTEN=f"{HOST}:0") as process:
        port = int(line(process).rpartition(":")[2])
        with socket.create_connection((HOST, port)) as caller:
            setup = (b"INVITE sip:00000000000000a7@net SIP/2.0\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\n"
                     b"X-Cos: plain\r\nX-Timer-Ms: 1000\r\nContent-Length: 0\r\n\r\n")  # fmt: skip
            caller.sendall(setup % b"00000000000000b1")
            process.send_signal(signal.SIGTERM)
            assert line(process).startswith("stopping")
            caller.sendall(setup % b"00000000000000b2")
            caller.settimeout(10)
            answers = b""
            while answers.count(b"\r\n\r\n") < 2:
                answers += caller.recv(4096)
            assert answers.count(b"SIP/2.0 503 ") == 2 and answers.count(b"X-Pause: ") == 2
        assert process.wait(20) == 0


def test_sighup_changes_the_board_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    """SIGHUP used to end the program, under load and more than once a day."""
    boards = [socket.create_server((HOST, 0)) for _ in range(3)]
    names = [f"{HOST}:{board.getsockname()[1]}" for board in boards]

    def polled_path(board: socket.socket) -> bytes:
        board.settimeout(20)
        connection, _ = board.accept()
        with connection:
            return connection.recv(4096).split(b" ")[1]

    platform(tmp_path, board=names[0])
    path = tmp_path / "config.json"
    with started(GW_CONFIG=str(path), GW_LISTEN=f"{HOST}:0") as process:
        line(process)
        assert polled_path(boards[0]).startswith(b"/board/poll?watch=1&")
        path.write_text(path.read_text().replace('"sockets": 1024', '"sockets": "many"'))
        process.send_signal(signal.SIGHUP)
        assert "limits.sockets" in line(process)
        for number in (1, 2):
            platform(tmp_path, board=names[number])
            process.send_signal(signal.SIGHUP)
            assert polled_path(boards[number]).startswith(b"/board/poll?watch=1&")
            assert line(process) == "configuration read again\n"
        process.send_signal(signal.SIGUSR1)
        assert "reload.refused=1 reload.taken=2" in line(process)
    for board in boards:
        board.close()


def test_the_sip_front_starts_from_the_operator_s_file(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "sip.toml").read_text()
    for port in ("5060", "5353"):
        text = text.replace(f"{HOST}:{port}", f"{HOST}:0")
    text = text.replace("# [door]", "[door]").replace("# control = ", "control = ").replace(":8060", ":0")
    (tmp_path / "sip.toml").write_text(text)
    zone = (ROOT / "deploy" / "callservers.zone").read_text()
    (tmp_path / "callservers.zone").write_text(zone)
    with started("--operator", str(tmp_path / "sip.toml")) as process:
        output = line(process)
        assert output.startswith(f"the door is at {HOST}:")
        with socket.create_connection((HOST, int(output.rpartition(":")[2])), 5) as caller:
            caller.sendall(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert caller.recv(4096).startswith(b"HTTP/1.1 200 ")
        assert "SIP served at" in line(process)
        (tmp_path / "sip.toml").write_text(text.replace("t1_ms", "t9_ms"))
        process.send_signal(signal.SIGHUP)
        assert "sip.t9_ms is not known" in line(process)
        (tmp_path / "sip.toml").write_text(text)
        (tmp_path / "callservers.zone").write_text(zone.replace("_sip._udp", "_sip._sctp"))
        process.send_signal(signal.SIGHUP)
        output = line(process) + line(process)
        assert "zone changed: 2 call servers" in output and "read again" in output
    (tmp_path / "callservers.zone").write_text(zone.replace("127.0.0.2", "nowhere"))
    with started("--operator", str(tmp_path / "sip.toml")) as process:
        assert f"{tmp_path / 'callservers.zone'}:9:" in line(process)
        assert process.wait(20) == 2


def test_a_faulty_configuration_is_logged_in_one_line() -> None:
    with started(GW_CONFIG="/nowhere") as process:
        assert line(process).startswith("reedmount: GW_CONFIG: ")
        assert process.wait(20) == 2


@pytest.mark.parametrize("key", ["run", "sim"])
def test_the_modules_and_paths_in_the_deploy_file_exist(key: str) -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    module = deploy[key].rpartition("-m ")[2].replace(".", "/")
    assert (ROOT / f"{module}.py").is_file() or (ROOT / module / "__main__.py").is_file()
    assert all((ROOT / path).exists() for path in [*deploy["node"], *deploy["policy"]])


def test_the_platform_s_process_imports_no_operator_parts_or_their_libraries() -> None:
    """The platform has 32 MB: what operators need is imported only if their file is read."""
    code = "import sys, reedmount.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = done.stdout.split()
    operator_only = ("dns", "scipy", "numpy", "click", "standins", "reedmount.dns", "reedmount.pool",
                     "reedmount.sources", "reedmount.members", "reedmount.peers", "reedmount.store",
                     "reedmount.replicas", "reedmount.records", "msgspec", "crc32c",
                     "reedmount.operate", "reedmount.operator_file", "reedmount.fronts.sip",
                     "reedmount.fronts.sip_servers")  # fmt: skip
    assert not [
        name
        for name in loaded
        if name in operator_only or name.startswith(tuple(f"{item}." for item in operator_only))
    ]
    assert "reedmount.fronts.platform" in loaded


def free_port(*hosts: str) -> int:
    """A port that is free for UDP and TCP at all hosts, below the range of outgoing connections.

    One of these could take a port between this check and its use.
    """
    for port in random.sample(range(20_000, 32_000), 64):
        try:
            for host in hosts:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        return port
    raise AssertionError(f"no free port at {hosts}")


def test_the_shipped_srv_installation_completes_calls_against_the_stand_ins(tmp_path: Path) -> None:
    """As in the README: name server and call servers, the program, callers; at free ports."""
    text = (ROOT / "deploy" / "srv.toml").read_text()
    zone = (ROOT / "deploy" / "srv.zone").read_text()
    names, sip = free_port(HOST), free_port(HOST)
    server = free_port("127.0.0.2", "127.0.0.3")
    text = text.replace("127.0.0.1:5300", f"{HOST}:{names}").replace("127.0.0.1:5060", f"{HOST}:{sip}")
    text = text.replace("5070", str(server)).replace("127.0.0.1:8060", f"{HOST}:0")
    (tmp_path / "srv.toml").write_text(text)
    (tmp_path / "srv.zone").write_text(zone.replace("5070", str(server)).replace("5071", str(server)))
    command = [sys.executable, "-m", "standins"]
    town = subprocess.Popen(
        [*command, "town", str(tmp_path / "srv.zone"), "--listen", f"{HOST}:{names}"],
        cwd=ROOT, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert town.stdout is not None and "name server at" in town.stdout.readline()
        with started("--operator", str(tmp_path / "srv.toml")) as process:
            assert "the door is at" in line(process) and "SIP served at" in line(process)
            done = subprocess.run(
                [*command, "call", f"{HOST}:{sip}", "--rate", "20", "--seconds", "1", "--hold", "0.3"],
                cwd=ROOT, capture_output=True, text=True, timeout=60,
            )  # fmt: skip
        assert done.returncode == 0 and "calls: {'200':" in done.stdout, done.stdout + done.stderr
    finally:
        town.terminate()
        output, _ = town.communicate(timeout=20)
    assert f"udp:127.0.0.3:{server} {{'INVITE':" in output, "a server that only SRV names was called"
