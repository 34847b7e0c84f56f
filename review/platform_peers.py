"""Stand-ins of the review's cases: callers, call servers, the notice board and the process under test.

They speak the thin protocol of the operators' protocol page on loopback and share one recorder.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
NEVER = float("inf")
SLACK_S = 0.05  # by which each time limit of the rules grows
SOCKETS = 256
PORTS: set[int] = set()  # given out in this run


def free_port() -> int:
    """A port that is free for TCP and UDP, below those that outgoing connections take.

    Each is given out once, from a range of this process, so that runs beside each other do not meet.
    """
    lowest = 20000 + os.getpid() % 100 * 100
    while True:
        port = random.randrange(lowest, lowest + 100)
        if port in PORTS:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
            PORTS.add(port)
            return port


class Recorder:
    """The clock of a run and its record: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()


@dataclass(slots=True)
class Message:
    """A request (``method``) or a response (``status``) of the thin protocol."""

    method: str
    status: int
    headers: dict[str, str]
    body: bytes
    head: str

    @property
    def call(self) -> str:
        """The call that the message names."""
        return self.headers.get("call-id", "")

    @property
    def answers(self) -> str:
        """The method that a response answers."""
        return self.headers.get("cseq", " ").split()[-1]


def encode(first: str, call: str, cseq: str, body: bytes = b"", **extra: str) -> bytes:
    """Encode a message; in the names of further headers, ``_`` stands for ``-``."""
    lines = [first, "Via: SIP/2.0/TCP peer", f"Call-ID: {call}", f"CSeq: {cseq}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in extra.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Stream(asyncio.Protocol):
    """One TCP connection that takes messages apart."""

    def __init__(self, owner: Callers | CallServer) -> None:
        self._owner, self._data = owner, bytearray()
        self.transport: asyncio.Transport | None = None
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and tell the owner."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.open = transport, True
        self._owner.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner that the connection has ended."""
        self.open = False
        self._owner.closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass on the messages that are complete."""
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            head = self._data[:end].decode()
            first, *lines = head.split("\r\n")
            headers = {
                name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
            }
            size = int(headers.get("content-length", "0"))
            if len(self._data) < end + 4 + size:
                return
            body = bytes(self._data[end + 4 : end + 4 + size])
            del self._data[: end + 4 + size]
            words = first.split()
            answer = words[0] == "SIP/2.0"
            self._owner.received(
                self,
                Message("" if answer else words[0], int(words[1]) if answer else 0, headers, body, first),
            )

    def send(self, data: bytes) -> None:
        """Write to the connection if it is open."""
        if self.open and self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection after what was written."""
        if self.transport is not None:
            self.transport.close()


@dataclass(slots=True)
class ServerCall:
    """A call at a call server."""

    name: str
    stream: Stream
    answered_at: float
    ended_at: float = NEVER
    told: bool = False  # whether its release was written to any connection


class CallServer:
    """A call server: it answers each set-up, holds the call and releases it at its end."""

    def __init__(self, recorder: Recorder, name: str, block: int, hold_s: float) -> None:
        self._recorder, self.name, self.block, self.hold_s = recorder, name, block, hold_s
        self.calls: dict[str, ServerCall] = {}
        self.setups: list[tuple[float, str]] = []  # when each arrived
        self.address, self.born_ms = "", 0  # ``born_ms``: of a late start, or 0
        self._streams: list[Stream] = []
        self._unconfirmed: dict[str, ServerCall] = {}  # releases that no border controller has confirmed
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on the port, or on a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Stream(self), HOST, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self._recorder.note(f"{self.name} listens at {self.address}")

    def die(self) -> None:
        """The process dies: it resets its connections and cuts its calls."""
        assert self._server is not None
        self._recorder.note(f"{self.name} dies")
        self._server.close()
        self._server = None
        for call in self.calls.values():
            call.ended_at = min(call.ended_at, self._recorder.now)
        for stream in list(self._streams):
            if stream.transport is not None:
                stream.transport.abort()

    def stop(self) -> None:
        """End the process: its listener and connections close."""
        if self._server is not None:
            self._recorder.note(f"{self.name} stops")
            self._server.close()
            self._server = None
        for stream in list(self._streams):
            stream.close()

    def entry(self, health: str) -> dict[str, Any]:
        """What the notice board says of it."""
        return {"host": self.name, "dial": self.address, "site": "zurich", "class": "std-1core",
                "block": self.block, "health": health, "share": 1, "born_ms": self.born_ms}  # fmt: skip

    def opened(self, stream: Stream) -> None:
        """Send the state of the lines first of all, then the releases that were not heard yet."""
        self._recorder.note(f"{self.name}: a connection opens")
        self._streams.append(stream)
        busy = sum(call.ended_at == NEVER for call in self.calls.values())
        stream.send(encode("NOTIFY sip:state@net SIP/2.0", "0" * 16, "1 NOTIFY",
                           X_Occupancy=f"x0:{400 - busy};x1:400"))  # fmt: skip
        for call in list(self._unconfirmed.values()):
            self._release(stream, call)

    def closed(self, stream: Stream) -> None:
        """Forget the connection; calls that stand are not touched."""
        self._recorder.note(f"{self.name}: a connection has ended")
        if stream in self._streams:
            self._streams.remove(stream)

    def received(self, stream: Stream, message: Message) -> None:
        """Handle a message of a border controller."""
        if message.status:
            if message.answers == "BYE" and self._unconfirmed.pop(message.call, None) is not None:
                self._recorder.note(f"{self.name}: the release of {message.call} is confirmed")
            return
        cseq = message.headers.get("cseq", "1 X")
        match message.method:
            case "INVITE":
                self.setups.append((self._recorder.now, message.call))
                self._recorder.note(f"{self.name}: set-up {message.call}")
                loop = asyncio.get_running_loop()
                loop.call_later(random.uniform(0.01, 0.03), self._answer, stream, message)
            case "BYE":
                call = self.calls.get(message.call)
                self._recorder.note(f"{self.name}: released by the border controller: {message.call}")
                if call is not None and call.ended_at == NEVER:
                    call.ended_at, call.told = self._recorder.now, True
                stream.send(encode("SIP/2.0 200 OK", message.call, cseq))
            case "OPTIONS":
                stream.send(encode("SIP/2.0 200 OK", message.call, cseq))

    def _answer(self, stream: Stream, message: Message) -> None:
        if not stream.open:
            return
        name = message.call
        body = f"{name}\r\nc=IN IP4 {HOST}\r\nm=audio {self.block}0000 RTP/AVP 0\r\n".encode()
        via = message.headers.get("via", "")
        answer = encode("SIP/2.0 200 OK", name, message.headers["cseq"], body)
        stream.send(answer.replace(b"Via: SIP/2.0/TCP peer", f"Via: {via}".encode()))
        self.calls[name] = ServerCall(name, stream, self._recorder.now)
        self._recorder.note(f"{self.name}: answers {name}, it stands")
        asyncio.get_running_loop().call_later(self.hold_s, self._end, name)

    def _end(self, name: str) -> None:
        call = self.calls[name]
        if call.ended_at < NEVER:
            return
        call.ended_at = self._recorder.now
        self._unconfirmed[name] = call
        self._recorder.note(f"{self.name}: {name} has come to its end")
        open_ones = [stream for stream in (call.stream, *self._streams) if stream.open]
        if open_ones:
            self._release(open_ones[0], call)
        else:
            self._recorder.note(f"{self.name}: no connection is open for the release of {name}")

    def _release(self, stream: Stream, call: ServerCall) -> None:
        call.told = True
        self._recorder.note(f"{self.name}: sends the release of {call.name}")
        stream.send(encode(f"BYE sip:{call.name}@net SIP/2.0", call.name, "2 BYE", Reason="Q.850;cause=16"))


@dataclass(slots=True)
class CallerCall:
    """A set-up of a caller and what came of it."""

    name: str
    sent_at: float
    status: int = 0
    answered_at: float = NEVER
    released_at: float = NEVER


class Callers:
    """The callers of one border controller, on one kept connection at a time."""

    def __init__(self, recorder: Recorder, port: int) -> None:
        self._recorder, self._port = recorder, port
        self.calls: dict[str, CallerCall] = {}
        self._stream: Stream | None = None
        self._probe: asyncio.Future[int] | None = None

    async def connect(self) -> bool:
        """Open a connection; False if it does not come up."""
        loop = asyncio.get_running_loop()
        try:
            _, self._stream = await loop.create_connection(lambda: Stream(self), HOST, self._port)
        except OSError:
            return False
        return True

    async def until_ready(self, within_s: float = 15.0) -> None:
        """Test the border controller as the front does until it passes, then keep that connection."""
        due = self._recorder.now + within_s
        while self._recorder.now < due:
            if await self.connect() and self._stream is not None:
                self._probe = asyncio.get_running_loop().create_future()
                self._stream.send(encode("OPTIONS sip:ping@net SIP/2.0", "0" * 16, "1 OPTIONS"))
                try:
                    if await asyncio.wait_for(self._probe, 1.0) == 200:
                        self._recorder.note("callers: the border controller is ready")
                        return
                except TimeoutError:
                    pass
                self._stream.close()
            await asyncio.sleep(0.05)
        raise CannotRun("the border controller was not ready in time")

    async def set_up(self, block: int, wait_ms: int = 3000) -> CallerCall:
        """Send a set-up, on a new connection where the last one has ended."""
        if (self._stream is None or not self._stream.open) and not await self.connect():
            raise CannotRun("no connection to the border controller")
        assert self._stream is not None
        name, number = (f"{random.getrandbits(64):016x}" for _ in range(2))
        call = self.calls[name] = CallerCall(name, self._recorder.now)
        self._recorder.note(f"callers: set-up {name}, first choice {block}")
        body = f"{name}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0\r\n".encode()
        self._stream.send(
            encode(
                f"INVITE sip:{number}@net SIP/2.0",
                name,
                "1 INVITE",
                body,
                X_Cos="quote-call",
                X_Timer_Ms=str(wait_ms),
                X_Legs=f"dest:{block};width:1;via:-1",
            )
        )
        return call

    def opened(self, stream: Stream) -> None:
        """Record a new connection."""
        self._recorder.note("callers: a connection opens")

    def closed(self, stream: Stream) -> None:
        """Record the end of a connection."""
        self._recorder.note("callers: a connection has ended")

    def received(self, stream: Stream, message: Message) -> None:
        """Handle a message of the border controller."""
        call = self.calls.get(message.call)
        if message.method == "BYE":
            self._recorder.note(f"callers: released: {message.call}")
            stream.send(encode("SIP/2.0 200 OK", message.call, message.headers["cseq"]))
            if call is not None:
                call.released_at = min(call.released_at, self._recorder.now)
        elif message.answers == "OPTIONS" and self._probe is not None and not self._probe.done():
            self._probe.set_result(message.status)
        elif message.answers == "INVITE" and message.status >= 200 and call is not None:
            self._recorder.note(f"callers: answer {message.status} to {message.call}")
            call.status, call.answered_at = message.status, self._recorder.now
            stream.send(encode(f"ACK sip:{message.call}@net SIP/2.0", message.call, "1 ACK"))


class Board:
    """The notice board: long polls over HTTP/1.1. While crowded, each poll waits in turn first."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self.notices: list[dict[str, Any]] = []
        self.crowded_s = 0.0  # how long a poll waits before it is looked at
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def publish(self, *hosts: dict[str, Any]) -> float:
        """Publish an event; returns when."""
        number = len(self.notices) + 1
        pool = {"seq": number, "whole": number == 1, "hosts": list(hosts)}
        self.notices.append({"rev": number, "pool": pool})
        states = ", ".join(f"{host['host']} {host['health']}" for host in hosts)
        self._recorder.note(f"board: event {number}: {states}")
        self._changed.set()
        self._changed = asyncio.Event()
        return self._recorder.now

    def events(self, after: int = 0) -> dict[str, Any]:
        """The events after a number, in the form of an answer and of ``known``."""
        return {"rev": len(self.notices), "notices": self.notices[after:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                after, linger = int(query["watch"][0]), int(query["linger"][0]) / 1000
                self._recorder.note(f"board: asked for events after {after}")
                await asyncio.sleep(self.crowded_s)
                until = self._recorder.now + linger
                while len(self.notices) <= after and self._recorder.now < until:
                    try:
                        await asyncio.wait_for(self._changed.wait(), until - self._recorder.now)
                    except TimeoutError:
                        break
                body = json.dumps(self.events(after)).encode()
                if reader.at_eof() or writer.is_closing():
                    self._recorder.note("board: the answer is ready, but its asker has left")
                    return
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                writer.write(head + body)
                self._recorder.note(f"board: answers with event {len(self.notices)} as the last")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the asker has left, or the run is over
        finally:
            writer.close()


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


def settings() -> dict[str, Any]:
    """The settings of a small deployment, as the operators' pages print them."""
    kind = {"late_share": 0.25, "deadline": 9000000, "effect": "read_like", "group": "all",
            "repeat_window": 5000000, "stream": True}  # fmt: skip
    return {
        "balancers": 1, "self_index": 0, "counted_by": "request", "discovery": "pushed", "quantum": 5000,
        "over_share_worth": 0.1, "tenants": [], "tiers": ["central-call-servers"], "weights": "off",
        "workload": "trunks", "zone": "zurich", "localities": ["zurich"], "kinds": ["std-1core"], "stage": 0,
        "classes": [{**kind, "name": "quote-call", "target": 1200000, "worth": 1.0},
                    {**kind, "name": "assist-call", "target": 1500000, "worth": 3.0}],
        "allowed": {"cancel": True, "conn_idle": 600000000, "connect_timeout": 500000, "max_attempts": 4,
                    "cpu_us_per_request": 0.0, "cpu_us_per_s": 300000, "max_retry_after": 2000000,
                    "open_cap": 20000, "peers": False, "probing": False, "retry_after": True,
                    "second_copies": False, "streams_per_conn": 1048576},
        "clients": {"marks_retry": False},
        "report": {"fields": ["free", "size"], "how": "inline"},
        "rules": {"answer_slack": 20000, "cold": 14000000, "drain_grace": 250000, "fall_multiple": 2.5,
                  "must_ask_in": 10000000, "start_capacity": 0.3, "tip_after": 1000000},
        "specifics": {"advice": False, "clear_wait": 200000, "retransmit": 500000, "tells_wait": False,
                      "this_node": -1, "topology": "pools", "peer_load": "inline"},
    }  # fmt: skip


class BorderController:
    """The program under test, started by the ``run`` line of the deploy file."""

    def __init__(self, recorder: Recorder, folder: Path, board: Board) -> None:
        self._recorder, self._folder, self._board = recorder, folder, board
        self.port = free_port()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._command: str = tomllib.load(file)["run"]
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    def start(self) -> None:
        """Start the process with a private, empty folder and the board's events up to now."""
        self._starts += 1
        temporary = Path(tempfile.mkdtemp(dir=self._folder))
        config = {
            "name": "n1", "listen": f"{HOST}:{self.port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "board": self._board.address,
            "known": self._board.events(), "settings": settings(),
        }  # fmt: skip
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        env = {**os.environ, "GW_NAME": "n1", "GW_LISTEN": f"{HOST}:{self.port}", "GW_CONFIG": str(path),
               "TMPDIR": str(temporary)}  # fmt: skip
        with (self._folder / f"n1.{self._starts}.log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", self._command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        self._recorder.note(f"process {self._starts} of the border controller is started: {self._command}")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    async def end(self, kill_after_s: float) -> None:
        """Planned restart: SIGTERM, then SIGKILL no sooner than allowed."""
        assert self._process is not None
        self._recorder.note("the border controller gets SIGTERM")
        self._process.send_signal(signal.SIGTERM)
        due = self._recorder.now + kill_after_s
        while self.running and self._recorder.now < due:
            await asyncio.sleep(0.01)
        self._recorder.note(f"the border controller {'gets SIGKILL' if self.running else 'has ended'}")
        self.kill()

    def kill(self) -> None:
        """End the process by SIGKILL if it still runs."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()

    def copy_logs(self) -> None:
        """Append the logs of all its processes to the record."""
        for number in range(1, self._starts + 1):
            text = (self._folder / f"n1.{number}.log").read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                self._recorder.note(f"log of process {number}: {line}")


@dataclass(slots=True)
class World:
    """All parts of a run."""

    recorder: Recorder
    board: Board
    node: BorderController
    callers: Callers
    servers: list[CallServer] = field(default_factory=list)

    async def add_server(self, name: str, block: int, hold_s: float, port: int = 0) -> CallServer:
        """Start a call server, on the port or on a free one."""
        server = CallServer(self.recorder, name, block, hold_s)
        await server.start(port)
        self.servers.append(server)
        return server


def run_case(record: Path, play: Callable[[World, str], Any], limit_s: float = 110.0) -> int:
    """Run a case; 0: the rule held, 1: it was broken, 2: the case could not run."""
    recorder = Recorder(record)
    trouble = os.environ.get("TROUBLE", "1")
    recorder.note(f"TROUBLE={trouble}")

    async def run(folder: Path) -> list[str]:
        board = Board(recorder)
        await board.start()
        node = BorderController(recorder, folder, board)
        world = World(recorder, board, node, Callers(recorder, node.port))
        try:
            found: list[str] = await asyncio.wait_for(play(world, trouble), limit_s)
            return found
        finally:
            node.kill()
            node.copy_logs()

    with tempfile.TemporaryDirectory(prefix="review-") as name:
        try:
            broken = asyncio.run(run(Path(name)))
        except (CannotRun, OSError, TimeoutError) as error:
            recorder.note(f"could not run: {type(error).__name__} {error}")
            print(f"could not run: {type(error).__name__} {error}")
            return 2
    for line in broken:
        recorder.note(f"BROKEN {line}")
        print(f"broken: {line}")
    recorder.note(f"result: {'broken' if broken else 'held'}")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
