"""Transactions (RFC 3261, section 17, with the Accepted state of RFC 6026) over UDP and TCP."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum
from typing import Protocol

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS
from reedmount.core.fault_isolation import run_isolated
from reedmount.net.loop import Loop
from reedmount.sip.finished_transactions import FinishedTransactions
from reedmount.sip.message import Message, SipError, first_value, parameter, request, response

MAGIC_COOKIE = "z9hG4bK"
TIMEOUT_T1_MULTIPLE = 64  # timers B, F, H, J, L and M are 64 * T1


@dataclass(frozen=True, slots=True)
class Timers:
    """The base values from which all timers of RFC 3261 are derived."""

    t1: timedelta = timedelta(milliseconds=500)
    t2: timedelta = timedelta(seconds=4)
    t4: timedelta = timedelta(seconds=5)

    @property
    def timeout(self) -> timedelta:
        """How long a transaction remains in a state at most: 64 * T1."""
        return TIMEOUT_T1_MULTIPLE * self.t1


class Hop(Protocol):
    """The next hop: a UDP address or a connection."""

    @property
    def reliable(self) -> bool:
        """Whether the transport is reliable: it delivers a message or reports that the connection ended."""

    @property
    def ipv6(self) -> bool:
        """Whether the hop uses IPv6."""

    def send(self, data: bytes) -> None:
        """Send an encoded message."""


class State(Enum):
    """The states of the transaction state machines (section 17)."""

    TRYING = "trying"  # and Calling
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    TERMINATED = "terminated"


TransactionKey = tuple[str, ...]


def top_via(message: Message) -> str:
    """Return the topmost Via value; an empty list item is not a value (RFC 3261, 7.3.1 and 20.42)."""
    top = first_value(message.need("Via"))
    if not top:
        raise SipError(400, "Via is empty")
    return top


def sent_by(via: str) -> str:
    """Return the sent-by part of a Via value, ``host:port``."""
    return via.partition(";")[0].split()[-1].lower()


def server_transaction_key(message: Message) -> TransactionKey:
    """Return the key that matches an ACK or a retransmission to its request (17.2.3), also for clients that
    follow RFC 2543 and send no branch with the magic cookie."""
    via, (number, _) = top_via(message), message.cseq
    kind = "INVITE" if message.method == "ACK" else message.method
    branch = parameter(via, "branch") or ""
    if branch.startswith(MAGIC_COOKIE):
        return (branch, sent_by(via), kind)
    tag = parameter(message.need("From"), "tag") or ""
    return (message.uri, message.call_id, tag, str(number), sent_by(via), kind)


def client_transaction_key(message: Message) -> TransactionKey:
    """Return the key that matches a response to its request (17.1.3)."""
    return (parameter(top_via(message), "branch") or "", message.cseq[1])


class Transaction:
    """Base of client and server transactions: a request, its hop, a state and timers."""

    def __init__(self, layer: TransactionLayer, message: Message, hop: Hop, key: TransactionKey) -> None:
        self.request, self.hop = message, hop
        self.state = State.TRYING
        self._layer, self._key = layer, key
        self._timers: list[Timer] = []

    @property
    def is_invite(self) -> bool:
        """Whether this is an INVITE transaction."""
        return self.request.method == "INVITE"

    def _start_timer(self, span: timedelta, work: Callable[[], None]) -> None:
        self._timers.append(self._layer.loop.call_later(span, work))

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()


class ServerTransaction(Transaction):
    """A server transaction: a received request and the responses to it."""

    _last_response: bytes | None = None

    def respond(self, message: Message) -> None:
        """Send a response; after a final one, further responses are ignored and counted."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            COUNTERS.add("sip.second_answers")
            return
        self._last_response = message.encode()
        if message.status >= 200:
            self.request = Message(method=self.request.method, uri=self.request.uri)  # no longer needed
        self.hop.send(self._last_response)
        COUNTERS.add(f"sip.out.{message.status}")
        timers = self._layer.timers
        if message.status < 200:
            self.state = State.PROCEEDING
        elif self.is_invite and message.status < 300:
            self.state = State.ACCEPTED  # the transaction user retransmits the 2xx until the ACK arrives
            self._start_timer(timers.timeout, self.end)
        else:
            self.state = State.COMPLETED
            if self.is_invite:
                if not self.hop.reliable:
                    self._retransmit_after(timers.t1)  # timer G
                self._start_timer(timers.timeout, self.end)  # timer H
            elif self.hop.reliable:
                self.end()
            else:
                self._start_timer(timers.timeout, self.end)  # timer J
            if self.state is State.COMPLETED:
                self._layer.finished.add(self, len(self._last_response))

    @property
    def source(self) -> Hop:
        """Where the request came from."""
        return self.hop

    def handle_retransmission(self) -> None:
        """Handle a retransmission of the request: send the last response again."""
        COUNTERS.add("sip.in.repeats")
        if self._last_response is not None and self.state not in (State.ACCEPTED, State.TERMINATED):
            self.hop.send(self._last_response)

    def handle_ack(self) -> None:
        """Handle the ACK of a final response other than 2xx."""
        if self.state is State.COMPLETED:
            self._cancel_timers()
            self.state = State.CONFIRMED
            if self.hop.reliable:
                self.end()
            else:
                self._start_timer(self._layer.timers.t4, self.end)  # timer I

    def end(self) -> None:
        """End and forget the transaction."""
        self._cancel_timers()
        self.state = State.TERMINATED
        self._layer.forget_server(self._key, self)

    def _retransmit_after(self, span: timedelta) -> None:
        def retransmit() -> None:
            if self.state is State.COMPLETED and self._last_response is not None:
                self.hop.send(self._last_response)
                self._retransmit_after(min(2 * span, self._layer.timers.t2))

        self._start_timer(span, retransmit)


ResponseCallback = Callable[[Message | None], None]


class ClientTransaction(Transaction):
    """A client transaction: sends a request and retransmits it until a response arrives.

    The callback is called with each response, or with None if there is no final response. The loss of the
    connection ends the transaction, unless its user handles it: the server's transaction goes on, and its
    responses may come on another connection (18.2.2).
    """

    def __init__(
        self,
        layer: TransactionLayer,
        message: Message,
        hop: Hop,
        key: TransactionKey,
        on_response: ResponseCallback,
        on_connection_lost: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(layer, message, hop, key)
        self._on_response, self._on_connection_lost = on_response, on_connection_lost
        self._encoded_ack: bytes | None = None
        hop.send(message.encode())
        COUNTERS.add(f"sip.out.{message.method}")
        if not hop.reliable:
            self._retransmit_after(layer.timers.t1)  # timers A and E
        self._start_timer(layer.timers.timeout, self._on_timeout)  # timers B and F

    def handle_message(self, message: Message) -> None:
        """Handle a response."""
        if self.state is State.TERMINATED:
            return
        if message.status < 200:
            if self.state is State.TRYING:
                self.state = State.PROCEEDING
                if self.is_invite:
                    self._cancel_timers()
                self._on_response(message)
            elif self.state is State.PROCEEDING:
                self._on_response(message)  # 17.1.1.2: all provisional responses are passed on
        elif self.awaits_final:
            self._cancel_timers()
            self._handle_final(message)
        elif self.state is State.ACCEPTED and message.status < 300:
            self._on_response(message)  # a retransmitted 2xx: the user sends the ACK again
        elif self.state is State.COMPLETED and self._encoded_ack is not None:
            self.hop.send(self._encoded_ack)

    @property
    def awaits_final(self) -> bool:
        """Whether no final response has arrived."""
        return self.state in (State.TRYING, State.PROCEEDING)

    def limit_wait(self) -> None:
        """Stop retransmitting an abandoned request; responses are passed on for 64 * T1 from now (9.1)."""
        if self.awaits_final:
            self._cancel_timers()
            self._start_timer(self._layer.timers.timeout, self._on_timeout)

    def move(self, hop: Hop) -> None:
        """Continue on another hop after the connection was lost."""
        self.hop = hop
        self._layer.add_to_hop(self)

    def abandon(self) -> None:
        """End the transaction after a fault in handling its response; the user gets None."""
        self.end()
        self._on_response(None)

    def connection_lost(self) -> None:
        """Handle the loss of the connection that the request was sent on."""
        if self._on_connection_lost is not None:
            self._on_connection_lost()
        elif self.awaits_final:
            self._on_timeout()
        else:
            self.end()

    def end(self) -> None:
        """End and forget the transaction."""
        self._cancel_timers()
        self.state = State.TERMINATED
        self._layer.forget_client(self._key, self)

    def _handle_final(self, message: Message) -> None:
        timers = self._layer.timers
        self.request = replace(self.request, body=b"")  # it is not sent again
        if self.is_invite and message.status < 300:
            self.state = State.ACCEPTED
            self._start_timer(timers.timeout, self.end)  # timer M
        else:
            self.state = State.COMPLETED
            if self.is_invite:
                self._encoded_ack = self._build_ack(message).encode()
                self.hop.send(self._encoded_ack)
            if self.hop.reliable:
                self.end()
            else:
                self._start_timer(timers.timeout if self.is_invite else timers.t4, self.end)  # timers D and K
        self._on_response(message)

    def _build_ack(self, message: Message) -> Message:
        """Build the ACK of a non-2xx final response; it has the Via of its INVITE (17.1.1.3)."""
        invite = self.request
        headers = [
            ("Via", top_via(invite)), ("Max-Forwards", "70"), ("From", invite.need("From")),
            ("To", message.need("To")), ("Call-ID", invite.call_id), ("CSeq", f"{invite.cseq[0]} ACK"),
            *(("Route", route) for route in invite.all("Route")),
        ]  # fmt: skip
        return request("ACK", invite.uri, headers)

    def _retransmit_after(self, span: timedelta) -> None:
        def retransmit() -> None:
            if self.state is State.TRYING or (self.state is State.PROCEEDING and not self.is_invite):
                self.hop.send(self.request.encode())
                COUNTERS.add("sip.out.repeats")
                t2 = self._layer.timers.t2
                self._retransmit_after(2 * span if self.is_invite else min(2 * span, t2))

        self._start_timer(span, retransmit)

    def _on_timeout(self) -> None:
        self.end()
        self._on_response(None)


class TransactionUser(Protocol):
    """The transaction user (RFC 3261): the layer above the transactions."""

    def handle_request(self, transaction: ServerTransaction) -> None:
        """Handle a new request."""

    def request_failed(self, transaction: ServerTransaction) -> None:
        """Clean up after a fault in handling a request, and send a final response if none was sent."""

    def handle_ack(self, message: Message) -> None:
        """Handle the ACK of a 2xx, which is not part of a transaction."""

    def unmatched_response(self, message: Message, hop: Hop) -> None:
        """Handle a response that matches no transaction."""


class TransactionLayer:
    """Holds all transactions and matches messages to them."""

    def __init__(self, loop: Loop, timers: Timers, user: TransactionUser) -> None:
        self.loop, self.timers = loop, timers
        self._user = user
        self.finished = FinishedTransactions()
        self._server_transactions: dict[TransactionKey, ServerTransaction] = {}
        self._client_transactions: dict[TransactionKey, ClientTransaction] = {}
        self._by_hop: dict[Hop, dict[Transaction, None]] = {}  # transactions by connection

    def send(
        self,
        message: Message,
        hop: Hop,
        on_response: ResponseCallback,
        on_connection_lost: Callable[[], None] | None = None,
    ) -> ClientTransaction:
        """Start a client transaction; its branch must be unique."""
        key = client_transaction_key(message)
        transaction = ClientTransaction(self, message, hop, key, on_response, on_connection_lost)
        if transaction.state is not State.TERMINATED:
            self._client_transactions[key] = transaction
            self.add_to_hop(transaction)
        return transaction

    def handle_message(self, message: Message, hop: Hop) -> None:
        """Handle a message from the network that has passed ``check_headers``."""
        if not message.is_request:
            client = self._client_transactions.get(client_transaction_key(message))
            if client is None:
                run_isolated("sip.response", lambda: self._user.unmatched_response(message, hop))
            else:
                found = client
                run_isolated("sip.response", lambda: found.handle_message(message), found.abandon)
            return
        key = server_transaction_key(message)
        server = self._server_transactions.get(key)
        if message.method == "ACK":
            if server is not None and server.state is not State.ACCEPTED:
                server.handle_ack()
            else:
                run_isolated("sip.ack", lambda: self._user.handle_ack(message))
        elif server is not None:
            server.handle_retransmission()
        else:
            transaction = self._server_transactions[key] = ServerTransaction(self, message, hop, key)
            self.add_to_hop(transaction)
            run_isolated(
                "sip.request",
                lambda: self._user.handle_request(transaction),
                lambda: self._user.request_failed(transaction),
            )

    def find_cancelled_invite(self, message: Message) -> ServerTransaction | None:
        """Return the INVITE transaction that a CANCEL refers to (9.2)."""
        key = server_transaction_key(message)
        return self._server_transactions.get((*key[:-1], "INVITE"))

    def hop_lost(self, hop: Hop) -> list[ServerTransaction]:
        """Handle the loss of a connection: its client transactions fail, its server ones are returned."""
        transactions = list(self._by_hop.pop(hop, ()))
        for transaction in transactions:
            if isinstance(transaction, ClientTransaction):
                transaction.connection_lost()
        return [transaction for transaction in transactions if isinstance(transaction, ServerTransaction)]

    def server_transactions_of(self, hop: Hop) -> list[ServerTransaction]:
        """Return the server transactions of a connection."""
        return [item for item in self._by_hop.get(hop, ()) if isinstance(item, ServerTransaction)]

    def add_to_hop(self, transaction: Transaction) -> None:
        """Index a transaction by its connection; UDP hops cannot be lost."""
        if transaction.hop.reliable:
            self._by_hop.setdefault(transaction.hop, {})[transaction] = None

    def _remove_from_hop(self, transaction: Transaction) -> None:
        transactions = self._by_hop.get(transaction.hop) if transaction.hop.reliable else None
        if transactions is not None:
            transactions.pop(transaction, None)
            if not transactions:
                del self._by_hop[transaction.hop]

    def forget_server(self, key: TransactionKey, transaction: ServerTransaction) -> None:
        """Remove an ended server transaction."""
        self.finished.discard(transaction)
        if self._server_transactions.get(key) is transaction:
            del self._server_transactions[key]
            self._remove_from_hop(transaction)

    def forget_client(self, key: TransactionKey, transaction: ClientTransaction) -> None:
        """Remove an ended client transaction."""
        if self._client_transactions.get(key) is transaction:
            del self._client_transactions[key]
            self._remove_from_hop(transaction)


def check_headers(message: Message) -> None:
    """Check the mandatory headers (8.1.1); raises SipError with the status for the response."""
    if message.fault is not None:
        raise message.fault
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


def error_response(message: Message | None, error: SipError) -> Message | None:
    """Build the response to a rejected request; None for an ACK, or if mandatory headers are missing."""
    if message is None or not message.is_request or message.method == "ACK":
        return None
    if not all(message.get(name) for name in ("Via", "From", "To", "Call-ID", "CSeq")):
        return None
    return response(message, error.status, tag="malformed")
