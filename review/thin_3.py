"""Stand-ins for the platform's thin protocol: configuration, notice board, call server, caller."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from rig_3 import HOST, Rig, Sip, read_message

Ended = (asyncio.IncompleteReadError, OSError, ValueError)


def settings() -> dict[str, object]:
    """The settings of a small deployment, with the figures of verbund-call-core."""
    kind = {
        "deadline": 9_000_000, "effect": "read_like", "group": "all", "late_share": 0.25,
        "repeat_window": 5_000_000, "stream": True,
    }  # fmt: skip
    return {
        "allowed": {
            "cancel": True, "conn_idle": 600_000_000, "connect_timeout": 500_000, "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 300_000, "max_attempts": 4, "max_retry_after": 2_000_000, "open_cap": 20_000,
            "peers": True, "probing": False, "retry_after": True, "second_copies": False,
            "streams_per_conn": 1_048_576,
        },
        "balancers": 1,
        "classes": [
            {**kind, "name": "quote-call", "target": 1_200_000, "worth": 1.0},
            {**kind, "name": "assist-call", "target": 1_500_000, "worth": 3.0},
        ],
        "clients": {"marks_retry": False},
        "counted_by": "request",
        "discovery": "pushed",
        "kinds": ["std-1core"],
        "localities": ["zurich"],
        "over_share_worth": 0.1,
        "quantum": 5000,
        "report": {"fields": ["free", "size", "hold_back"], "how": "inline"},
        "rules": {
            "answer_slack": 20_000, "cold": 14_000_000, "drain_grace": 250_000, "fall_multiple": 2.5,
            "must_ask_in": 10_000_000, "start_capacity": 0.3, "tip_after": 1_000_000,
        },
        "self_index": 0,
        "specifics": {
            "advice": False, "channels_needed": [1, 1], "clear_wait": 200_000,
            "holding": [9_700_000, 11_600_000], "peer_load": "inline", "pools_by_class": [[0, 1], [0, 1]],
            "retransmit": 500_000, "tells_wait": False, "this_node": -1, "topology": "pools",
        },
        "stage": 0, "tenants": [], "tiers": ["central-call-servers"], "weights": "off", "workload": "trunks",
        "zone": "zurich",
    }  # fmt: skip


def start(rig: Rig, name: str, listen: int, board: Board) -> None:
    """Start a border controller as the platform does."""
    config = {
        "name": name, "listen": f"{HOST}:{listen}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "board": f"{HOST}:{board.port}",
        "known": {"rev": board.rev, "notices": board.notices}, "settings": settings(),
    }  # fmt: skip
    path = rig.tmp / f"{name}.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    rig.start(name, GW_NAME=name, GW_LISTEN=f"{HOST}:{listen}", GW_CONFIG=str(path))


class Board:
    """The notice board; it has one event, the whole list."""

    def __init__(self) -> None:
        self.rev, self.port = 0, 0
        self.notices: list[dict[str, object]] = []

    async def open(self, servers: list[CallServer]) -> None:
        """Listen, and list the call servers."""
        hosts = [
            {
                "host": server.name, "dial": f"{HOST}:{server.port}", "site": "zurich", "class": "std-1core",
                "block": index, "health": "SERVING", "share": 1, "born_ms": 0,
            }
            for index, server in enumerate(servers)
        ]  # fmt: skip
        self.rev, self.notices = 1, [{"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": hosts}}]
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*Ended):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = dict(
                    item.split("=") for item in head.split()[1].decode().partition("?")[2].split("&")
                )
                if int(query["watch"]) >= self.rev:
                    await asyncio.sleep(min(5.0, int(query["linger"]) / 1000))
                later = [item for item in self.notices if item["rev"] > int(query["watch"])]  # type: ignore[operator]
                body = json.dumps({"rev": self.rev, "notices": later}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


@dataclass
class Leg:
    """A set-up at a call server, from its arrival to the end of its call."""

    invite: Sip
    writer: asyncio.StreamWriter
    at: float
    cancelled_at: float = 0.0
    answered_at: float = 0.0
    body: bytes = b""
    ended_at: float = 0.0  # by the call server itself
    released_at: float = 0.0  # by the border controller


class CallServer:
    """A call server; ``take`` decides what becomes of a set-up."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, self.port = rig, name, 0
        self.legs: dict[str, list[Leg]] = {}
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def take(self, leg: Leg) -> None:
        """Answer a set-up and end its call in due time."""
        raise NotImplementedError

    def answer(self, leg: Leg) -> None:
        """Answer a set-up: the call stands."""
        name = leg.invite.get("Call-ID")
        leg.answered_at, leg.body = time.time(), f"v=0 {self.name} {name}\r\n".encode()
        self.rig.note(f"{self.name}: 200 to {name}")
        leg.writer.write(leg.invite.answer(200, [], leg.body).encode())

    def end(self, leg: Leg) -> None:
        """The call has come to its end: release it, on its connection or on any other."""
        if leg.released_at:
            return
        name, leg.ended_at = leg.invite.get("Call-ID"), time.time()
        self.rig.note(f"{self.name}: the call {name} is over, BYE")
        headers = [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", "2 BYE"),
            ("Reason", "Q.850;cause=16"), self._report(),
        ]  # fmt: skip
        writer = leg.writer if leg.writer in self._writers else self._writers[0]
        writer.write(Sip(f"BYE sip:{name}@net SIP/2.0", headers).encode())

    def _report(self) -> tuple[str, str]:
        standing = sum(
            bool(leg.answered_at) and not leg.ended_at and not leg.released_at
            for legs in self.legs.values() for leg in legs
        )  # fmt: skip
        return "X-Occupancy", f"x0:{400 - standing};x1:400;eps:0"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", "0" * 16), ("CSeq", "1 NOTIFY"), self._report()]
        writer.write(Sip("NOTIFY sip:state@net SIP/2.0", headers).encode())
        with contextlib.suppress(*Ended):
            while True:
                self._received(await read_message(reader), writer)
        self._writers.remove(writer)

    def _received(self, message: Sip, writer: asyncio.StreamWriter) -> None:
        name = message.get("Call-ID")
        legs = self.legs.get(name, [])
        if message.status:
            return
        match message.method:
            case "INVITE":
                leg = Leg(message, writer, time.time())
                self.legs.setdefault(name, []).append(leg)
                self._tasks.add(asyncio.ensure_future(self.take(leg)))
            case "CANCEL":
                self.rig.note(f"{self.name}: CANCEL {name}")
                for leg in legs:
                    if leg.writer is writer:
                        leg.cancelled_at = leg.cancelled_at or time.time()
            case "BYE":
                self.rig.note(f"{self.name}: BYE {name} {message.get('Reason')}")
                for leg in legs:
                    leg.released_at = leg.released_at or time.time()
                writer.write(message.answer(200).encode())
            case "OPTIONS":
                writer.write(message.answer(200).encode())
            case _:
                pass


@dataclass
class Call:
    """A call as its caller sees it."""

    name: str
    sent_at: float
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)
    releases: list[tuple[float, str]] = field(default_factory=list)


class Caller:
    """A caller with one connection for all its calls."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self.calls: dict[str, Call] = {}
        self._writer: asyncio.StreamWriter
        self._task: asyncio.Task[None]

    async def open(self, port: int) -> None:
        """Connect."""
        reader, self._writer = await asyncio.open_connection(HOST, port)
        self._task = asyncio.ensure_future(self._read(reader))

    def call(self, name: str, first_choice: int, wait_ms: int = 9000) -> Call:
        """Send a set-up."""
        call = self.calls[name] = Call(name, time.time())
        headers = [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", "1 INVITE"), ("X-Cos", "quote-call"),
            ("X-Timer-Ms", str(wait_ms)), ("X-Legs", f"dest:{first_choice};width:1;via:-1"),
        ]  # fmt: skip
        self._rig.note(f"caller: INVITE {name}")
        self._writer.write(Sip(f"INVITE sip:{name[::-1]}@net SIP/2.0", headers, b"v=0 caller\r\n").encode())
        return call

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(*Ended):
            while True:
                message = await read_message(reader)
                call = self.calls.get(message.get("Call-ID"))
                if call is None:
                    continue
                if message.status >= 200 and message.method == "INVITE":
                    self._rig.note(f"caller: {message.status} to {call.name}")
                    call.answers.append((time.time(), message.status, message.body))
                    headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call.name), ("CSeq", "1 ACK")]
                    self._writer.write(Sip(f"ACK sip:{call.name[::-1]}@net SIP/2.0", headers).encode())
                elif not message.status and message.method == "BYE":
                    self._rig.note(f"caller: BYE {call.name} {message.get('Reason')}")
                    call.releases.append((time.time(), message.get("Reason")))
                    self._writer.write(message.answer(200).encode())
        self._rig.note("caller: its connection has ended")
