"""A name server with a scripted fault plan, over UDP and TCP at one loopback port.

    server = NameServer()
    server.srv("_sip._tcp.calls.example.", (10, 60, 5070, "zurich"), (10, 40, 5070, "geneva"), ttl=30)
    server.host("zurich", "127.0.0.2")
    server.plan("servfail", times=3)             # the next three answers
    server.plan("slow", seconds=30, only="SRV")  # all answers to SRV queries, until the next plan
    server.pump(now)

The faults are the functions decorated with ``@fault``; ``FAULTS`` has them by name.
"""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import partial
from pathlib import Path

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.zone

ORIGIN = "calls.example."
HOST = "127.0.0.1"
MAX_BIND_RETRIES = 20
MAX_CHAIN = 16


@dataclass(slots=True)
class Query:
    """A query as received."""

    at: datetime
    wire: bytes
    message: dns.message.Message
    over_tcp: bool
    size: int  # maximum size of an answer over UDP

    @property
    def name(self) -> dns.name.Name:
        """The queried name."""
        return self.message.question[0].name

    @property
    def kind(self) -> str:
        """The queried record type."""
        return dns.rdatatype.to_text(self.message.question[0].rdtype)


@dataclass(frozen=True, slots=True)
class Reply:
    """One message to send back."""

    wire: bytes
    delay: timedelta = timedelta(0)
    from_other_socket: bool = False  # send from another socket than the queried one
    close_after: bool = False


Fault = Callable[["NameServer", Query, dict[str, float]], list[Reply]]
FAULTS: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under its name."""
    FAULTS[function.__name__.replace("_", "-")] = function
    return function


@dataclass(slots=True)
class Step:
    """A step of the fault plan."""

    name: str
    remaining: int | None  # remaining answers; None: until the next plan
    only: str | None  # the record type it applies to
    options: dict[str, float]


@dataclass(slots=True)
class Stream:
    """A TCP connection of a client."""

    sock: socket.socket
    buffer: bytearray = field(default_factory=bytearray)


class NameServer:
    """Serves records according to a fault plan, and counts queries and faults."""

    def __init__(self, address: tuple[str, int] = (HOST, 0), seed: int = 1) -> None:
        self.records: dict[tuple[dns.name.Name, int], dns.rrset.RRset] = {}
        self.negative_ttl = 5
        self.additional = True
        self.counts: Counter[str] = Counter()
        self.queries: list[Query] = []
        self.stopped = False
        self.rng = random.Random(seed)
        self._plan: list[Step] = []
        self._delayed: list[tuple[datetime, int, Callable[[], None]]] = []
        self._sequence = 0
        self._streams: list[Stream] = []
        self._bind(address)

    # --- records ---

    def name(self, text: str) -> dns.name.Name:
        """Return an absolute name; one without a trailing dot is relative to ``calls.example.``."""
        return dns.name.from_text(text, dns.name.from_text(ORIGIN))

    def set_records(self, owner: str, ttl: int, kind: str, *values: str) -> None:
        """Set the records of a name and type, replacing earlier ones."""
        rrset = dns.rrset.from_text(self.name(owner), ttl, "IN", kind, *values)
        self.records[rrset.name, rrset.rdtype] = rrset

    def srv(self, owner: str, *targets: tuple[int, int, int, str], ttl: int = 30) -> None:
        """Set SRV records, each as priority, weight, port and target."""
        texts = [f"{prio} {weight} {port} {self.name(host)}" for prio, weight, port, host in targets]
        if texts:
            self.set_records(owner, ttl, "SRV", *texts)
        else:
            self.remove_records(owner, "SRV")

    def host(self, owner: str, *addresses: str, ttl: int = 30) -> None:
        """Set A and AAAA records, by the family of each address."""
        for kind, records in (("A", [a for a in addresses if ":" not in a]),
                          ("AAAA", [a for a in addresses if ":" in a])):  # fmt: skip
            if records:
                self.set_records(owner, ttl, kind, *records)

    def remove_records(self, owner: str, kind: str) -> None:
        """Remove the records of a name and type."""
        self.records.pop((self.name(owner), dns.rdatatype.from_text(kind)), None)

    def load(self, path: Path, origin: str = ORIGIN) -> None:
        """Replace all records by those of a zone file."""
        zone = dns.zone.from_file(str(path), origin=origin, relativize=False)
        self.records.clear()
        for owner, rdataset in zone.iterate_rdatasets():
            self.records[owner, rdataset.rdtype] = dns.rrset.from_rdata_list(
                owner, rdataset.ttl, list(rdataset)
            )

    # --- fault plan ---

    def plan(self, name: str, times: int | None = None, only: str | None = None, **options: float) -> None:
        """Replace the plan by one fault; ``good`` ends all faults."""
        if name not in FAULTS:
            raise ValueError(f"unknown fault {name!r}, must be one of {', '.join(FAULTS)}")
        self._plan = [Step(name, times, only, options)]

    def plan_next(
        self, name: str, times: int | None = None, only: str | None = None, **options: float
    ) -> None:
        """Append a fault to the plan."""
        before = self._plan
        self.plan(name, times, only, **options)
        self._plan = before + self._plan

    def kill(self) -> None:
        """Close all sockets, so that queries reach a closed port."""
        if not self.stopped:
            self.stopped = True
            for stream in self._streams:
                stream.sock.close()
            self._streams.clear()
            for sock in (self.udp, self.tcp, self.other_udp):
                sock.close()

    def revive(self) -> None:
        """Listen again at the same port."""
        if self.stopped:
            self.stopped = False
            self._bind(self.address)

    def refuse_tcp(self) -> None:
        """Refuse TCP connections, as many firewalls do; datagrams are still answered."""
        if not self.stopped and self.tcp.fileno() >= 0:
            for stream in self._streams:
                stream.sock.close()
            self._streams.clear()
            self.tcp.close()

    # --- answers ---

    def full_answer(self, query: Query) -> dns.message.Message:
        """Return the complete, correct answer."""
        reply = dns.message.make_response(query.message, recursion_available=True)
        reply.flags |= dns.flags.AA
        name, kind = query.name, query.message.question[0].rdtype
        for _ in range(MAX_CHAIN):
            found = self.records.get((name, kind))
            if found is not None:
                reply.answer.append(found)
                break
            alias = self.records.get((name, dns.rdatatype.CNAME))
            if alias is None:
                reply.authority.append(self._soa())
                if not any(owner == name for owner, _ in self.records):
                    reply.set_rcode(dns.rcode.NXDOMAIN)
                break
            reply.answer.append(alias)
            name = alias[0].target
        if kind == dns.rdatatype.SRV and self.additional and reply.answer:
            self._add_addresses(reply)
        return reply

    def encode(self, query: Query, reply: dns.message.Message) -> bytes:
        """Encode a reply; one that is too long for a datagram is truncated."""
        max_size = 65535 if query.over_tcp else query.size
        for drop_additional in (False, True):
            if drop_additional:
                reply.additional.clear()
            try:
                return reply.to_wire(max_size=max_size)
            except dns.exception.TooBig:
                continue
        return truncated(query)

    def _soa(self) -> dns.rrset.RRset:
        ttl = self.negative_ttl
        return dns.rrset.from_text(
            dns.name.from_text(ORIGIN), ttl, "IN", "SOA", f"ns.{ORIGIN} operator.{ORIGIN} 1 60 60 600 {ttl}"
        )

    def _add_addresses(self, reply: dns.message.Message) -> None:
        hosts = dict.fromkeys(record.target for record in reply.answer[-1] if hasattr(record, "target"))
        for target in hosts:
            for kind in (dns.rdatatype.A, dns.rdatatype.AAAA):
                found = self.records.get((target, kind))
                if found is not None:
                    reply.additional.append(found)

    # --- sockets ---

    def _bind(self, address: tuple[str, int]) -> None:
        for retries_left in range(MAX_BIND_RETRIES, -1, -1):
            self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            try:
                self.udp.bind(address)
                self.tcp = socket.create_server(self.udp.getsockname())
                break
            except OSError:
                self.udp.close()
                if address[1] or not retries_left:
                    raise
        self.other_udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.other_udp.bind((address[0], 0))
        for sock in (self.udp, self.tcp):
            sock.setblocking(False)
        self.address: tuple[str, int] = self.udp.getsockname()

    def descriptors(self) -> list[int]:
        """Return the file descriptors to poll for reading."""
        if self.stopped:
            return []
        listening = [self.tcp.fileno()] if self.tcp.fileno() >= 0 else []
        return [self.udp.fileno(), *listening, *(stream.sock.fileno() for stream in self._streams)]

    def pump(self, now: datetime) -> bool:
        """Receive queries and send replies that are due; whether there were any."""
        busy = False
        while self._delayed and self._delayed[0][0] <= now:
            self._delayed.pop(0)[2]()
            busy = True
        if self.stopped:
            return busy
        for wire, source in self._datagrams():
            busy = True
            self._handle_query(now, wire, False, partial(self._send_datagram, to=source))
        self._accept()
        for stream in list(self._streams):
            busy = self._read(now, stream) or busy
        return busy

    def _datagrams(self) -> Iterator[tuple[bytes, tuple[str, int]]]:
        while True:
            try:
                yield self.udp.recvfrom(65535)
            except BlockingIOError:
                return
            except OSError:
                continue

    def _accept(self) -> None:
        while self.tcp.fileno() >= 0:
            try:
                sock, _ = self.tcp.accept()
            except OSError:
                return
            sock.setblocking(False)
            self._streams.append(Stream(sock))

    def _read(self, now: datetime, stream: Stream) -> bool:
        try:
            data = stream.sock.recv(65536)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self._close(stream)
            return True
        stream.buffer += data
        while len(stream.buffer) >= 2 and len(stream.buffer) >= 2 + int.from_bytes(stream.buffer[:2], "big"):
            size = 2 + int.from_bytes(stream.buffer[:2], "big")
            wire = bytes(stream.buffer[2:size])
            del stream.buffer[:size]
            self._handle_query(now, wire, True, partial(self._send_stream, stream=stream))
        return True

    def _handle_query(
        self, now: datetime, wire: bytes, over_tcp: bool, send: Callable[[Reply], None]
    ) -> None:
        try:
            message = dns.message.from_wire(wire)
        except dns.exception.DNSException:
            self.counts["unreadable"] += 1
            return
        if not message.question:
            return
        size = max(512, message.payload) if message.edns >= 0 else 512
        query = Query(now, wire, message, over_tcp, size)
        self.queries.append(query)
        self.counts["tcp" if over_tcp else "udp"] += 1
        self.counts[query.kind] += 1
        step = self._step(query)
        name, options = (step.name, step.options) if step is not None else ("good", {})
        self.counts[f"did {name}"] += 1
        for outgoing in FAULTS[name](self, query, options):
            if outgoing.delay:
                self._sequence += 1
                self._delayed.append((now + outgoing.delay, self._sequence, partial(send, outgoing)))
                self._delayed.sort(key=lambda due: due[:2])
            else:
                send(outgoing)

    def _step(self, query: Query) -> Step | None:
        for step in self._plan:
            if step.only is not None and step.only != query.kind:
                continue
            if step.remaining is not None:
                step.remaining -= 1
                if step.remaining <= 0:
                    self._plan.remove(step)
            return step
        return None

    def _send_datagram(self, outgoing: Reply, to: tuple[str, int]) -> None:
        try:
            (self.other_udp if outgoing.from_other_socket else self.udp).sendto(outgoing.wire, to)
        except OSError:
            self.counts["not sent"] += 1

    def _send_stream(self, outgoing: Reply, stream: Stream) -> None:
        try:
            stream.sock.setblocking(True)
            stream.sock.settimeout(2)
            stream.sock.sendall(outgoing.wire)
            stream.sock.setblocking(False)
        except OSError:
            self.counts["not sent"] += 1
        if outgoing.close_after:
            self._close(stream)

    def _close(self, stream: Stream) -> None:
        stream.sock.close()
        if stream in self._streams:
            self._streams.remove(stream)


def framed(query: Query, wire: bytes) -> bytes:
    """Prefix a message with its length if it goes over TCP (RFC 1035, section 4.2.2)."""
    return len(wire).to_bytes(2, "big") + wire if query.over_tcp else wire


def truncated(query: Query) -> bytes:
    """Return an answer with header and question only, and TC set."""
    reply = dns.message.make_response(query.message)
    reply.flags |= dns.flags.TC
    return reply.to_wire()


def _plain(server: NameServer, query: Query, rcode: dns.rcode.Rcode) -> list[Reply]:
    reply = dns.message.make_response(query.message)
    reply.set_rcode(rcode)
    return [Reply(framed(query, reply.to_wire()))]


def _with_ttl(server: NameServer, query: Query, ttl: int) -> list[Reply]:
    reply = server.full_answer(query)
    for section in (reply.answer, reply.authority, reply.additional):
        section[:] = [dns.rrset.from_rdata_list(rrset.name, ttl, list(rrset)) for rrset in section]
    return [Reply(framed(query, server.encode(query, reply)))]


@fault
def good(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer correctly."""
    return [Reply(framed(query, server.encode(query, server.full_answer(query))))]


@fault
def truncates(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Set TC over UDP with only some of the records; answer correctly over TCP."""
    if query.over_tcp:
        return good(server, query, options)
    reply = server.full_answer(query)
    for rrset in reply.answer[:1]:
        reply.answer = [dns.rrset.from_rdata_list(rrset.name, rrset.ttl, list(rrset)[:1])]
    reply.flags |= dns.flags.TC
    return [Reply(reply.to_wire(max_size=65535)[: max(query.size, 512)])]


@fault
def truncates_always(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Set TC over UDP and TCP."""
    return [Reply(framed(query, truncated(query)))]


@fault
def servfail(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer SERVFAIL."""
    return _plain(server, query, dns.rcode.SERVFAIL)


@fault
def refused(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer REFUSED."""
    return _plain(server, query, dns.rcode.REFUSED)


@fault
def no_edns(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer FORMERR without the question to queries with an OPT record, correctly to others."""
    if query.message.edns < 0:
        return good(server, query, options)
    wire = query.wire[:2] + bytes([0x80, dns.rcode.FORMERR]) + bytes(8)
    return [Reply(framed(query, wire))]


@fault
def silence(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Never answer."""
    return []


@fault
def loses(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Lose a share of the answers over UDP."""
    lost = not query.over_tcp and server.rng.random() < options.get("share", 0.5)
    return [] if lost else good(server, query, options)


@fault
def silent_udp(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Never answer over UDP; answer correctly over TCP."""
    return good(server, query, options) if query.over_tcp else []


@fault
def wrong_id(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer only with a wrong id and without any servers."""
    forged = dns.message.make_response(query.message, recursion_available=True)
    forged.authority.append(server._soa())
    forged.id = query.message.id ^ 0x5A5A
    return [Reply(framed(query, forged.to_wire()))]


@fault
def wrong_question(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer another question with the right id."""
    other = dns.message.make_query("other.example.", query.kind)
    other.id = query.message.id
    forged = dns.message.make_response(other, recursion_available=True)
    forged.authority.append(server._soa())
    return [Reply(framed(query, forged.to_wire()))]


@fault
def wrong_source(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer from a wrong source address and without any servers."""
    if query.over_tcp:
        return []
    forged = dns.message.make_response(query.message, recursion_available=True)
    forged.authority.append(server._soa())
    return [Reply(forged.to_wire(), from_other_socket=True)]


@fault
def forged_first(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Send forgeries of the three kinds, then the correct answer."""
    forgeries = [*wrong_id(server, query, options), *wrong_question(server, query, options)]
    if query.over_tcp:
        return good(server, query, options)
    return [*forgeries, *wrong_source(server, query, options), *good(server, query, options)]


@fault
def garbage(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer random bytes, every second time after a valid header."""
    noise = server.rng.randbytes(server.rng.randrange(1, 400))
    head = query.wire[:2] + b"\x81\x80\x00\x01\xff\xff\x00\x00\x00\x00" + query.wire[12:]
    wire = head + noise if server.counts["did garbage"] % 2 else noise
    return [Reply(framed(query, wire))]


@fault
def half_tcp(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Truncate over UDP; over TCP send half of the answer and close the connection."""
    if not query.over_tcp:
        return [Reply(truncated(query))]
    complete = framed(query, server.full_answer(query).to_wire(max_size=65535))
    return [Reply(complete[: len(complete) // 2], close_after=True)]


@fault
def slow(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer correctly after a delay of ``seconds``."""
    late = timedelta(seconds=options.get("seconds", 30.0))
    return [Reply(outgoing.wire, delay=late) for outgoing in good(server, query, options)]


@fault
def ttl_zero(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer with a TTL of zero, which forbids caching."""
    return _with_ttl(server, query, 0)


@fault
def ttl_68_years(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer with the maximum TTL."""
    return _with_ttl(server, query, 2**31 - 1)


@fault
def cname_loop(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer with two names that are aliases of each other."""
    reply = dns.message.make_response(query.message, recursion_available=True)
    other = dns.name.from_text(f"loop.{ORIGIN}")
    for alias, target in ((query.name, other), (other, query.name)):
        reply.answer.append(dns.rrset.from_text(alias, 30, "IN", "CNAME", target.to_text()))
    return [Reply(framed(query, reply.to_wire()))]


@fault
def cname_endless(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer with an alias of a new name each time."""
    reply = dns.message.make_response(query.message, recursion_available=True)
    server.counts["aliases"] += 1
    target = f"alias-{server.counts['aliases']}.{ORIGIN}"
    reply.answer.append(dns.rrset.from_text(query.name, 30, "IN", "CNAME", target))
    return [Reply(framed(query, reply.to_wire()))]


@fault
def many(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Add ``records`` (default 2,000) targets at hosts without a listener."""
    if query.kind != "SRV":
        return good(server, query, options)
    reply = server.full_answer(query)
    texts = [f"99 1 {port} n.{ORIGIN}" for port in range(1, 1 + int(options.get("records", 2000)))]
    extra = dns.rrset.from_text(query.name, 30, "IN", "SRV", *texts)
    records = [record for rrset in reply.answer for record in rrset]
    reply.answer = [dns.rrset.from_rdata_list(query.name, 30, [*records, *extra])]
    return [Reply(framed(query, server.encode(query, reply)))]


@fault
def lame(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer as a server that does not serve the zone, with a referral."""
    reply = dns.message.make_response(query.message)
    reply.authority.append(dns.rrset.from_text("example.", 60, "IN", "NS", "ns.elsewhere.example."))
    return [Reply(framed(query, reply.to_wire()))]


@fault
def no_such_name_without_soa(server: NameServer, query: Query, options: dict[str, float]) -> list[Reply]:
    """Answer NXDOMAIN without an SOA record."""
    return _plain(server, query, dns.rcode.NXDOMAIN)
