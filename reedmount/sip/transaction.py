"""RFC 3261 transactions (section 17, with RFC 6026's Accepted state), over UDP and TCP alike."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS
from reedmount.core.fault_isolation import run_isolated
from reedmount.net.loop import Loop
from reedmount.sip.message import Message, SipError, first_value, parameter, request, response

COOKIE = "z9hG4bK"
TRIES = 64  # of T1: timers B, F, H, J, L and M


@dataclass(frozen=True, slots=True)
class Timers:
    """The base values from which all timers of RFC 3261 are made."""

    t1: timedelta = timedelta(milliseconds=500)
    t2: timedelta = timedelta(seconds=4)
    t4: timedelta = timedelta(seconds=5)

    @property
    def longest(self) -> timedelta:
        """How long a transaction goes on for at most."""
        return TRIES * self.t1


class Hop(Protocol):
    """A way to the next element: a datagram's address, or a connection."""

    @property
    def reliable(self) -> bool:
        """Whether what is sent arrives, or its end is told."""

    @property
    def ipv6(self) -> bool:
        """Whether it goes over IPv6."""

    def send(self, data: bytes) -> None:
        """Write a message."""


class State(Enum):
    """The states of section 17's machines."""

    TRYING = "trying"  # and Calling
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    TERMINATED = "terminated"


Key = tuple[str, ...]


def top_via(message: Message) -> str:
    """The uppermost Via value; an empty place in the list is no value (RFC 3261, 7.3.1 and 20.42)."""
    top = first_value(message.need("Via"))
    if not top:
        raise SipError(400, "Via is empty")
    return top


def sent_by(via: str) -> str:
    """Where a Via says that the message came from, ``host:port``."""
    return via.partition(";")[0].split()[-1].lower()


def server_key(message: Message) -> Key:
    """What an ACK or a repeat shares with its request (17.2.3), also from clients older than RFC 3261."""
    via, (number, _) = top_via(message), message.cseq
    kind = "INVITE" if message.method == "ACK" else message.method
    branch = parameter(via, "branch") or ""
    if branch.startswith(COOKIE):
        return (branch, sent_by(via), kind)
    tag = parameter(message.need("From"), "tag") or ""
    return (message.uri, message.call_id, tag, str(number), sent_by(via), kind)


def client_key(message: Message) -> Key:
    """What a response shares with its request (17.1.3)."""
    return (parameter(top_via(message), "branch") or "", message.cseq[1])


class Transaction:
    """What both sides' machines have: a request, the way it goes, a state and timers."""

    def __init__(self, layer: Layer, message: Message, hop: Hop, key: Key) -> None:
        self.request, self.hop = message, hop
        self.state = State.TRYING
        self._layer, self._key = layer, key
        self._timers: list[Timer] = []

    @property
    def invite(self) -> bool:
        """Whether it is an INVITE's."""
        return self.request.method == "INVITE"

    def _after(self, span: timedelta, work: Callable[[], None]) -> None:
        self._timers.append(self._layer.loop.call_later(span, work))

    def _stop(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()


class ServerTransaction(Transaction):
    """A request that came in, and the answers to it."""

    _last: bytes | None = None

    def respond(self, message: Message) -> None:
        """Send an answer; after a final one only its repeats go out."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            COUNTERS.add("sip.second_answers")
            return
        self._last = message.encode()
        self.hop.send(self._last)
        COUNTERS.add(f"sip.out.{message.status}")
        timers = self._layer.timers
        if message.status < 200:
            self.state = State.PROCEEDING
        elif self.invite and message.status < 300:
            self.state = State.ACCEPTED  # its user repeats the 2xx until the ACK comes
            self._after(timers.longest, self.end)
        else:
            self.state = State.COMPLETED
            if self.invite:
                if not self.hop.reliable:
                    self._repeat_after(timers.t1)  # timer G
                self._after(timers.longest, self.end)  # timer H
            elif self.hop.reliable:
                self.end()
            else:
                self._after(timers.longest, self.end)  # timer J

    def repeated(self) -> None:
        """The request came again: the same answer again, and nothing else."""
        COUNTERS.add("sip.in.repeats")
        if self._last is not None and self.state not in (State.ACCEPTED, State.TERMINATED):
            self.hop.send(self._last)

    def acknowledged(self) -> None:
        """The ACK of a refusal."""
        if self.state is State.COMPLETED:
            self._stop()
            self.state = State.CONFIRMED
            if self.hop.reliable:
                self.end()
            else:
                self._after(self._layer.timers.t4, self.end)  # timer I

    def end(self) -> None:
        """Forget it."""
        self._stop()
        self.state = State.TERMINATED
        self._layer.forget_server(self._key, self)

    def _repeat_after(self, span: timedelta) -> None:
        def again() -> None:
            if self.state is State.COMPLETED and self._last is not None:
                self.hop.send(self._last)
                self._repeat_after(min(2 * span, self._layer.timers.t2))

        self._after(span, again)


Answer = Callable[[Message | None], None]


class ClientTransaction(Transaction):
    """A request that goes out, repeated until it is answered; None tells its user that it never was."""

    def __init__(self, layer: Layer, message: Message, hop: Hop, key: Key, on_answer: Answer) -> None:
        super().__init__(layer, message, hop, key)
        self._on_answer = on_answer
        self._ack: bytes | None = None
        hop.send(message.encode())
        COUNTERS.add(f"sip.out.{message.method}")
        if not hop.reliable:
            self._repeat_after(layer.timers.t1)  # timers A and E
        self._after(layer.timers.longest, self._time_out)  # timers B and F

    def received(self, message: Message) -> None:
        """An answer came."""
        if self.state is State.TERMINATED:
            return
        if message.status < 200:
            if self.state is State.TRYING:
                self.state = State.PROCEEDING
                if self.invite:
                    self._stop()
                self._on_answer(message)
            elif self.state is State.PROCEEDING:
                self._on_answer(message)  # 17.1.1.2: any number of them goes to the user
        elif self.state in (State.TRYING, State.PROCEEDING):
            self._stop()
            self._final(message)
        elif self.state is State.ACCEPTED and message.status < 300:
            self._on_answer(message)  # a repeated 2xx: its user sends the ACK again
        elif self.state is State.COMPLETED and self._ack is not None:
            self.hop.send(self._ack)

    def stop_repeating(self) -> None:
        """Its user has given it up: it is not sent again, but its answers are still heard."""
        if self.state is State.TRYING:
            self._stop()
            self._after(self._layer.timers.longest, self._time_out)

    def abandon(self) -> None:
        """Its answer could not be served: its user hears that there is none."""
        self.end()
        self._on_answer(None)

    def lost(self) -> None:
        """The connection it went out on is gone."""
        if self.state in (State.TRYING, State.PROCEEDING):
            self._time_out()
        else:
            self.end()

    def end(self) -> None:
        """Forget it."""
        self._stop()
        self.state = State.TERMINATED
        self._layer.forget_client(self._key, self)

    def _final(self, message: Message) -> None:
        timers = self._layer.timers
        if self.invite and message.status < 300:
            self.state = State.ACCEPTED
            self._after(timers.longest, self.end)  # timer M
        else:
            self.state = State.COMPLETED
            if self.invite:
                self._ack = self._ack_of(message).encode()
                self.hop.send(self._ack)
            if self.hop.reliable:
                self.end()
            else:
                self._after(timers.longest if self.invite else timers.t4, self.end)  # timers D and K
        self._on_answer(message)

    def _ack_of(self, message: Message) -> Message:
        """The ACK of a refusal has the Via of its INVITE (17.1.1.3)."""
        own = self.request
        headers = [
            ("Via", top_via(own)), ("Max-Forwards", "70"), ("From", own.need("From")),
            ("To", message.need("To")), ("Call-ID", own.call_id), ("CSeq", f"{own.cseq[0]} ACK"),
            *(("Route", route) for route in own.all("Route")),
        ]  # fmt: skip
        return request("ACK", own.uri, headers)

    def _repeat_after(self, span: timedelta) -> None:
        def again() -> None:
            if self.state is State.TRYING or (self.state is State.PROCEEDING and not self.invite):
                self.hop.send(self.request.encode())
                COUNTERS.add("sip.out.repeats")
                t2 = self._layer.timers.t2
                self._repeat_after(2 * span if self.invite else min(2 * span, t2))

        self._after(span, again)

    def _time_out(self) -> None:
        self.end()
        self._on_answer(None)


class TransactionUser(Protocol):
    """What uses the transactions."""

    def requested(self, transaction: ServerTransaction) -> None:
        """A new request."""

    def request_failed(self, transaction: ServerTransaction) -> None:
        """Serving a request has gone wrong: end what it owns, and answer it where that is still owed."""

    def acknowledged(self, message: Message) -> None:
        """The ACK of a 2xx, which belongs to no transaction."""

    def unmatched_response(self, message: Message, hop: Hop) -> None:
        """A response to no transaction known."""


class Layer:
    """All transactions; messages are matched to them here."""

    def __init__(self, loop: Loop, timers: Timers, user: TransactionUser) -> None:
        self.loop, self.timers = loop, timers
        self._user = user
        self._servers: dict[Key, ServerTransaction] = {}
        self._clients: dict[Key, ClientTransaction] = {}
        self._on: dict[Hop, dict[Transaction, None]] = {}  # by connection

    def send(self, message: Message, hop: Hop, on_answer: Answer) -> ClientTransaction:
        """Start a client transaction; its branch has to be new."""
        key = client_key(message)
        transaction = ClientTransaction(self, message, hop, key, on_answer)
        if transaction.state is not State.TERMINATED:
            self._clients[key] = transaction
            self._enter(transaction)
        return transaction

    def received(self, message: Message, hop: Hop) -> None:
        """A message from the network, already checked."""
        if not message.is_request:
            client = self._clients.get(client_key(message))
            if client is None:
                run_isolated("sip.response", lambda: self._user.unmatched_response(message, hop))
            else:
                found = client
                run_isolated("sip.response", lambda: found.received(message), found.abandon)
            return
        key = server_key(message)
        server = self._servers.get(key)
        if message.method == "ACK":
            if server is not None and server.state is not State.ACCEPTED:
                server.acknowledged()
            else:
                run_isolated("sip.ack", lambda: self._user.acknowledged(message))
        elif server is not None:
            server.repeated()
        else:
            fresh = self._servers[key] = ServerTransaction(self, message, hop, key)
            self._enter(fresh)
            run_isolated(
                "sip.request", lambda: self._user.requested(fresh), lambda: self._user.request_failed(fresh)
            )

    def cancelled_by(self, message: Message) -> ServerTransaction | None:
        """The INVITE that a CANCEL names."""
        key = server_key(message)
        return self._servers.get((*key[:-1], "INVITE"))

    def hop_lost(self, hop: Hop) -> list[ServerTransaction]:
        """A connection is gone: its client transactions fail; its server ones are returned."""
        on_it = list(self._on.pop(hop, ()))
        for transaction in on_it:
            if isinstance(transaction, ClientTransaction):
                transaction.lost()
        return [transaction for transaction in on_it if isinstance(transaction, ServerTransaction)]

    def _enter(self, transaction: Transaction) -> None:
        """Find it again by its connection; datagrams have none that could end."""
        if transaction.hop.reliable:
            self._on.setdefault(transaction.hop, {})[transaction] = None

    def _leave(self, transaction: Transaction) -> None:
        on_it = self._on.get(transaction.hop) if transaction.hop.reliable else None
        if on_it is not None:
            on_it.pop(transaction, None)
            if not on_it:
                del self._on[transaction.hop]

    def forget_server(self, key: Key, transaction: ServerTransaction) -> None:
        """It is over."""
        if self._servers.get(key) is transaction:
            del self._servers[key]
            self._leave(transaction)

    def forget_client(self, key: Key, transaction: ClientTransaction) -> None:
        """It is over."""
        if self._clients.get(key) is transaction:
            del self._clients[key]
            self._leave(transaction)


def check(message: Message) -> None:
    """What every message must have (8.1.1); raises what its sender is to be told."""
    for name in ("Via", "From", "To", "Call-ID", "CSeq"):
        message.need(name)
    _, method = message.cseq
    if len(top_via(message).partition(";")[0].split()) != 2:
        raise SipError(400, "Via is malformed")
    if message.is_request and method != message.method:
        raise SipError(400, "CSeq names another method")
    if message.is_request:
        hops = message.get("Max-Forwards")
        if hops is not None and (not hops.isdecimal() or len(hops) > 3):
            raise SipError(400, "Max-Forwards is not a number")


def answer_error(message: Message | None, error: SipError) -> Message | None:
    """The answer to a request that cannot be taken, where it has enough for one; ACK gets none."""
    if message is None or not message.is_request or message.method == "ACK":
        return None
    if not all(message.get(name) for name in ("Via", "From", "To", "Call-ID", "CSeq")):
        return None
    return response(message, error.status, tag="malformed")
