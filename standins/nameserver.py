"""A name server with a scripted fault plan, over UDP and TCP at one loopback port.

    server = NameServer()
    server.srv("_sip._tcp.calls.example.", (10, 60, 5070, "zurich"), (10, 40, 5070, "geneva"), ttl=30)
    server.host("zurich", "127.0.0.2")
    server.plan("servfail", times=3)             # the next three answers
    server.plan("slow", seconds=30, only="SRV")  # all to SRV questions, until the plan is another
    server.pump(now)

The faults are the functions below with ``@fault`` on them; ``FAULTS`` has their names.
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
PORTS_TRIED = 20
MAX_CHAIN = 16


@dataclass(slots=True)
class Asked:
    """A question as it came."""

    at: datetime
    wire: bytes
    message: dns.message.Message
    over_tcp: bool
    size: int  # that an answer over UDP may have

    @property
    def name(self) -> dns.name.Name:
        """What is asked for."""
        return self.message.question[0].name

    @property
    def kind(self) -> str:
        """The type that is asked for."""
        return dns.rdatatype.to_text(self.message.question[0].rdtype)


@dataclass(frozen=True, slots=True)
class Sent:
    """One thing that goes back."""

    wire: bytes
    after: timedelta = timedelta(0)
    from_elsewhere: bool = False  # by another socket than the one that was asked
    then_close: bool = False


Fault = Callable[["NameServer", Asked, dict[str, float]], list[Sent]]
FAULTS: dict[str, Fault] = {}


def fault(made: Fault) -> Fault:
    """Name a fault for plans."""
    FAULTS[made.__name__.replace("_", "-")] = made
    return made


@dataclass(slots=True)
class Step:
    """A line of the plan."""

    name: str
    left: int | None  # answers; None: until the plan is another
    only: str | None  # the type of question it is for
    words: dict[str, float]


@dataclass(slots=True)
class Stream:
    """A connection that asks."""

    sock: socket.socket
    held: bytearray = field(default_factory=bytearray)


class NameServer:
    """It knows records, has a plan, counts what it was asked and what it did."""

    def __init__(self, address: tuple[str, int] = (HOST, 0), seed: int = 1) -> None:
        self.records: dict[tuple[dns.name.Name, int], dns.rrset.RRset] = {}
        self.negative_ttl = 5
        self.additional = True
        self.counts: Counter[str] = Counter()
        self.asked: list[Asked] = []
        self.dead = False
        self.rng = random.Random(seed)
        self._plan: list[Step] = []
        self._due: list[tuple[datetime, int, Callable[[], None]]] = []
        self._order = 0
        self._streams: list[Stream] = []
        self._bind(address)

    # --- what it knows ---

    def name(self, text: str) -> dns.name.Name:
        """A name; without a dot at its end it is one of ``calls.example.``."""
        return dns.name.from_text(text, dns.name.from_text(ORIGIN))

    def put(self, owner: str, ttl: int, kind: str, *values: str) -> None:
        """Have these records, and no others, at a name."""
        rrset = dns.rrset.from_text(self.name(owner), ttl, "IN", kind, *values)
        self.records[rrset.name, rrset.rdtype] = rrset

    def srv(self, owner: str, *targets: tuple[int, int, int, str], ttl: int = 30) -> None:
        """SRV records: priority, weight, port and target of each."""
        texts = [f"{prio} {weight} {port} {self.name(host)}" for prio, weight, port, host in targets]
        if texts:
            self.put(owner, ttl, "SRV", *texts)
        else:
            self.drop(owner, "SRV")

    def host(self, owner: str, *addresses: str, ttl: int = 30) -> None:
        """A and AAAA records, as the addresses are."""
        for kind, own in (("A", [a for a in addresses if ":" not in a]),
                          ("AAAA", [a for a in addresses if ":" in a])):  # fmt: skip
            if own:
                self.put(owner, ttl, kind, *own)

    def drop(self, owner: str, kind: str) -> None:
        """Have no such records any more."""
        self.records.pop((self.name(owner), dns.rdatatype.from_text(kind)), None)

    def load(self, path: Path, origin: str = ORIGIN) -> None:
        """All records of a zone file."""
        zone = dns.zone.from_file(str(path), origin=origin, relativize=False)
        self.records.clear()
        for owner, rdataset in zone.iterate_rdatasets():
            self.records[owner, rdataset.rdtype] = dns.rrset.from_rdata_list(
                owner, rdataset.ttl, list(rdataset)
            )

    # --- the plan ---

    def plan(self, name: str, times: int | None = None, only: str | None = None, **words: float) -> None:
        """From now on answer like this; ``good`` ends all faults."""
        if name not in FAULTS:
            raise ValueError(f"no fault is called {name!r}; there are {', '.join(FAULTS)}")
        self._plan = [Step(name, times, only, words)]

    def then(self, name: str, times: int | None = None, only: str | None = None, **words: float) -> None:
        """After what is planned, this."""
        before = self._plan
        self.plan(name, times, only, **words)
        self._plan = before + self._plan

    def kill(self) -> None:
        """Nobody listens any more: what is asked meets a closed port."""
        if not self.dead:
            self.dead = True
            for stream in self._streams:
                stream.sock.close()
            self._streams.clear()
            for sock in (self.udp, self.tcp, self.elsewhere):
                sock.close()

    def revive(self) -> None:
        """Listen again at the same port."""
        if self.dead:
            self.dead = False
            self._bind(self.address)

    def refuse_tcp(self) -> None:
        """Datagrams only, as behind many firewalls: a connection is refused."""
        if not self.dead and self.tcp.fileno() >= 0:
            for stream in self._streams:
                stream.sock.close()
            self._streams.clear()
            self.tcp.close()

    # --- answers ---

    def truth(self, asked: Asked) -> dns.message.Message:
        """The whole, good answer."""
        reply = dns.message.make_response(asked.message, recursion_available=True)
        reply.flags |= dns.flags.AA
        name, kind = asked.name, asked.message.question[0].rdtype
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

    def wire(self, asked: Asked, reply: dns.message.Message) -> bytes:
        """As it goes over the net: what is too long for a datagram is cut."""
        most = 65535 if asked.over_tcp else asked.size
        for spare in (False, True):
            if spare:
                reply.additional.clear()
            try:
                return reply.to_wire(max_size=most)
            except dns.exception.TooBig:
                continue
        return truncated(asked)

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

    # --- the net ---

    def _bind(self, address: tuple[str, int]) -> None:
        for left in range(PORTS_TRIED, -1, -1):
            self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            try:
                self.udp.bind(address)
                self.tcp = socket.create_server(self.udp.getsockname())
                break
            except OSError:
                self.udp.close()
                if address[1] or not left:
                    raise
        self.elsewhere = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.elsewhere.bind((address[0], 0))
        for sock in (self.udp, self.tcp):
            sock.setblocking(False)
        self.address: tuple[str, int] = self.udp.getsockname()

    def descriptors(self) -> list[int]:
        """What to wait for."""
        if self.dead:
            return []
        listening = [self.tcp.fileno()] if self.tcp.fileno() >= 0 else []
        return [self.udp.fileno(), *listening, *(stream.sock.fileno() for stream in self._streams)]

    def pump(self, now: datetime) -> bool:
        """Take what has come, send what is due; whether there was anything."""
        busy = False
        while self._due and self._due[0][0] <= now:
            self._due.pop(0)[2]()
            busy = True
        if self.dead:
            return busy
        for wire, source in self._datagrams():
            busy = True
            self._take(now, wire, False, partial(self._send_datagram, to=source))
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
        stream.held += data
        while len(stream.held) >= 2 and len(stream.held) >= 2 + int.from_bytes(stream.held[:2], "big"):
            size = 2 + int.from_bytes(stream.held[:2], "big")
            wire = bytes(stream.held[2:size])
            del stream.held[:size]
            self._take(now, wire, True, partial(self._send_stream, stream=stream))
        return True

    def _take(self, now: datetime, wire: bytes, over_tcp: bool, send: Callable[[Sent], None]) -> None:
        try:
            message = dns.message.from_wire(wire)
        except dns.exception.DNSException:
            self.counts["unreadable"] += 1
            return
        if not message.question:
            return
        size = max(512, message.payload) if message.edns >= 0 else 512
        asked = Asked(now, wire, message, over_tcp, size)
        self.asked.append(asked)
        self.counts["tcp" if over_tcp else "udp"] += 1
        self.counts[asked.kind] += 1
        step = self._step(asked)
        name, words = (step.name, step.words) if step is not None else ("good", {})
        self.counts[f"did {name}"] += 1
        for sent in FAULTS[name](self, asked, words):
            if sent.after:
                self._order += 1
                self._due.append((now + sent.after, self._order, partial(send, sent)))
                self._due.sort(key=lambda due: due[:2])
            else:
                send(sent)

    def _step(self, asked: Asked) -> Step | None:
        for step in self._plan:
            if step.only is not None and step.only != asked.kind:
                continue
            if step.left is not None:
                step.left -= 1
                if step.left <= 0:
                    self._plan.remove(step)
            return step
        return None

    def _send_datagram(self, sent: Sent, to: tuple[str, int]) -> None:
        try:
            (self.elsewhere if sent.from_elsewhere else self.udp).sendto(sent.wire, to)
        except OSError:
            self.counts["not sent"] += 1

    def _send_stream(self, sent: Sent, stream: Stream) -> None:
        try:
            stream.sock.setblocking(True)
            stream.sock.settimeout(2)
            stream.sock.sendall(sent.wire)
            stream.sock.setblocking(False)
        except OSError:
            self.counts["not sent"] += 1
        if sent.then_close:
            self._close(stream)

    def _close(self, stream: Stream) -> None:
        stream.sock.close()
        if stream in self._streams:
            self._streams.remove(stream)


def framed(asked: Asked, wire: bytes) -> bytes:
    """With its length before it, where it goes over TCP (RFC 1035, section 4.2.2)."""
    return len(wire).to_bytes(2, "big") + wire if asked.over_tcp else wire


def truncated(asked: Asked) -> bytes:
    """The bare header and question, with TC."""
    reply = dns.message.make_response(asked.message)
    reply.flags |= dns.flags.TC
    return reply.to_wire()


def _plain(server: NameServer, asked: Asked, rcode: dns.rcode.Rcode) -> list[Sent]:
    reply = dns.message.make_response(asked.message)
    reply.set_rcode(rcode)
    return [Sent(framed(asked, reply.to_wire()))]


def _with_ttl(server: NameServer, asked: Asked, ttl: int) -> list[Sent]:
    reply = server.truth(asked)
    for section in (reply.answer, reply.authority, reply.additional):
        section[:] = [dns.rrset.from_rdata_list(rrset.name, ttl, list(rrset)) for rrset in section]
    return [Sent(framed(asked, server.wire(asked, reply)))]


@fault
def good(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """No fault at all."""
    return [Sent(framed(asked, server.wire(asked, server.truth(asked))))]


@fault
def truncates(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """TC over UDP with some of the records in it; good over TCP."""
    if asked.over_tcp:
        return good(server, asked, words)
    reply = server.truth(asked)
    for rrset in reply.answer[:1]:
        reply.answer = [dns.rrset.from_rdata_list(rrset.name, rrset.ttl, list(rrset)[:1])]
    reply.flags |= dns.flags.TC
    return [Sent(reply.to_wire(max_size=65535)[: max(asked.size, 512)])]


@fault
def truncates_always(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """TC over TCP as well."""
    return [Sent(framed(asked, truncated(asked)))]


@fault
def servfail(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """SERVFAIL."""
    return _plain(server, asked, dns.rcode.SERVFAIL)


@fault
def refused(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """REFUSED."""
    return _plain(server, asked, dns.rcode.REFUSED)


@fault
def no_edns(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """FORMERR, without the question, to whatever has an OPT record; good without one."""
    if asked.message.edns < 0:
        return good(server, asked, words)
    wire = asked.wire[:2] + bytes([0x80, dns.rcode.FORMERR]) + bytes(8)
    return [Sent(framed(asked, wire))]


@fault
def silence(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Nothing, ever."""
    return []


@fault
def loses(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """A share of the answers over UDP is lost."""
    lost = not asked.over_tcp and server.rng.random() < words.get("share", 0.5)
    return [] if lost else good(server, asked, words)


@fault
def silent_udp(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Nothing over UDP; good over TCP."""
    return good(server, asked, words) if asked.over_tcp else []


@fault
def wrong_id(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Answers under another id that name no servers at all, and none under the right one."""
    forged = dns.message.make_response(asked.message, recursion_available=True)
    forged.authority.append(server._soa())
    forged.id = asked.message.id ^ 0x5A5A
    return [Sent(framed(asked, forged.to_wire()))]


@fault
def wrong_question(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """An answer to another question, under the right id."""
    other = dns.message.make_query("other.example.", asked.kind)
    other.id = asked.message.id
    forged = dns.message.make_response(other, recursion_available=True)
    forged.authority.append(server._soa())
    return [Sent(framed(asked, forged.to_wire()))]


@fault
def wrong_source(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Right in all but where it comes from, and it names no servers."""
    if asked.over_tcp:
        return []
    forged = dns.message.make_response(asked.message, recursion_available=True)
    forged.authority.append(server._soa())
    return [Sent(forged.to_wire(), from_elsewhere=True)]


@fault
def forged_first(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Forgeries of the three kinds, then the good answer."""
    made = [*wrong_id(server, asked, words), *wrong_question(server, asked, words)]
    if asked.over_tcp:
        return good(server, asked, words)
    return [*made, *wrong_source(server, asked, words), *good(server, asked, words)]


@fault
def garbage(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Random bytes; in every second answer behind the right header."""
    noise = server.rng.randbytes(server.rng.randrange(1, 400))
    head = asked.wire[:2] + b"\x81\x80\x00\x01\xff\xff\x00\x00\x00\x00" + asked.wire[12:]
    wire = head + noise if server.counts["did garbage"] % 2 else noise
    return [Sent(framed(asked, wire))]


@fault
def half_tcp(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Truncated over UDP; over TCP half of the answer, and the connection closes."""
    if not asked.over_tcp:
        return [Sent(truncated(asked))]
    whole = framed(asked, server.truth(asked).to_wire(max_size=65535))
    return [Sent(whole[: len(whole) // 2], then_close=True)]


@fault
def slow(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """The answer, ``seconds`` late."""
    late = timedelta(seconds=words.get("seconds", 30.0))
    return [Sent(sent.wire, after=late) for sent in good(server, asked, words)]


@fault
def ttl_zero(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Records that may not be kept at all."""
    return _with_ttl(server, asked, 0)


@fault
def ttl_68_years(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """The longest lifetime that there is."""
    return _with_ttl(server, asked, 2**31 - 1)


@fault
def cname_loop(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Two names that are each other's alias."""
    reply = dns.message.make_response(asked.message, recursion_available=True)
    other = dns.name.from_text(f"loop.{ORIGIN}")
    for one, two in ((asked.name, other), (other, asked.name)):
        reply.answer.append(dns.rrset.from_text(one, 30, "IN", "CNAME", two.to_text()))
    return [Sent(framed(asked, reply.to_wire()))]


@fault
def cname_endless(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """Each name is an alias of one that has not been asked for yet."""
    reply = dns.message.make_response(asked.message, recursion_available=True)
    server.counts["aliases"] += 1
    target = f"alias-{server.counts['aliases']}.{ORIGIN}"
    reply.answer.append(dns.rrset.from_text(asked.name, 30, "IN", "CNAME", target))
    return [Sent(framed(asked, reply.to_wire()))]


@fault
def many(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """``records`` more targets than there are (2,000), at hosts that nobody answers for."""
    if asked.kind != "SRV":
        return good(server, asked, words)
    reply = server.truth(asked)
    texts = [f"99 1 {port} n.{ORIGIN}" for port in range(1, 1 + int(words.get("records", 2000)))]
    extra = dns.rrset.from_text(asked.name, 30, "IN", "SRV", *texts)
    own = [record for rrset in reply.answer for record in rrset]
    reply.answer = [dns.rrset.from_rdata_list(asked.name, 30, [*own, *extra])]
    return [Sent(framed(asked, server.wire(asked, reply)))]


@fault
def lame(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """It does not have the zone and points elsewhere."""
    reply = dns.message.make_response(asked.message)
    reply.authority.append(dns.rrset.from_text("example.", 60, "IN", "NS", "ns.elsewhere.example."))
    return [Sent(framed(asked, reply.to_wire()))]


@fault
def no_such_name_without_soa(server: NameServer, asked: Asked, words: dict[str, float]) -> list[Sent]:
    """NXDOMAIN of a name server that does not say for which zone."""
    return _plain(server, asked, dns.rcode.NXDOMAIN)
