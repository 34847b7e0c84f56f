"""Dialogs (RFC 3261, section 12)."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedmount.sip.message import Message, SipError, header_values, parameter, request, uri_of

DialogKey = tuple[str, str, str]  # Call-ID, local tag, remote tag


@dataclass(slots=True)
class Dialog:
    """The dialog of one leg of an established call."""

    call_id: str
    local: str  # From or To value with the local tag
    remote: str
    target: str  # remote target: the peer's Contact URI
    route: list[str] = field(default_factory=list)
    local_cseq: int = 1  # CSeq number of our latest request
    remote_cseq: int = -1  # CSeq number of the peer's latest request

    @property
    def key(self) -> DialogKey:
        """The dialog ID."""
        return (self.call_id, parameter(self.local, "tag") or "", parameter(self.remote, "tag") or "")

    def request(self, method: str, via: str, extra: list[tuple[str, str]] | None = None) -> Message:
        """Build a request within the dialog; an ACK has the CSeq number of its INVITE."""
        if method != "ACK":
            self.local_cseq += 1
        headers = [
            ("Via", via), ("Max-Forwards", "70"), ("From", self.local), ("To", self.remote),
            ("Call-ID", self.call_id), ("CSeq", f"{self.local_cseq} {method}"),
            *(("Route", route) for route in self.route), *(extra or []),
        ]  # fmt: skip
        return request(method, self.target, headers)

    def in_order(self, message: Message) -> bool:
        """Whether a request of the peer has a higher CSeq number than all before it (12.2.2)."""
        number = message.cseq[0]
        if number <= self.remote_cseq:
            return False
        self.remote_cseq = number
        return True


@dataclass(frozen=True, slots=True)
class DialogState:
    """A snapshot of a dialog and its transport, from which another instance can release the leg."""

    call_id: str
    local: str
    remote: str
    target: str
    route: tuple[str, ...]
    number: int
    transport: str  # udp or tcp

    @classmethod
    def from_dialog(cls, dialog: Dialog, reliable: bool) -> DialogState:
        """Take the state of a dialog; ``reliable`` tells whether its transport is."""
        return cls(
            dialog.call_id, dialog.local, dialog.remote, dialog.target, tuple(dialog.route),
            dialog.local_cseq, "tcp" if reliable else "udp",
        )  # fmt: skip

    @property
    def dialog(self) -> Dialog:
        """The dialog restored from this state."""
        return Dialog(self.call_id, self.local, self.remote, self.target, list(self.route), self.number)

    @property
    def next_hop(self) -> str:
        """The URI to which requests are sent: that of the first route, or the remote target."""
        return uri_of(self.route[0]) if self.route else self.target


def routes(message: Message) -> list[str]:
    """Return the Record-Route values in order."""
    return [value for text in message.all("Record-Route") for value in header_values(text)]


def uas_dialog(invite: Message, local: str) -> Dialog:
    """Create the UAS's dialog for an INVITE; ``local`` is its To value with our tag."""
    contact = invite.get("Contact")
    if not contact:
        raise SipError(400, "Contact is missing")
    return Dialog(
        call_id=invite.call_id, local=local, remote=invite.need("From"), target=uri_of(contact),
        route=routes(invite), local_cseq=0, remote_cseq=invite.cseq[0],
    )  # fmt: skip


def uac_dialog(invite: Message, answer: Message) -> Dialog:
    """Create the UAC's dialog from an INVITE of ours and its 2xx response."""
    contact = answer.get("Contact")
    return Dialog(
        call_id=invite.call_id, local=invite.need("From"), remote=answer.need("To"),
        target=uri_of(contact) if contact else invite.uri, route=routes(answer)[::-1],
        local_cseq=invite.cseq[0],
    )  # fmt: skip


def dialog_key(message: Message) -> DialogKey:
    """Return the key of the dialog that a request of the peer belongs to; its To has our tag."""
    return (
        message.call_id,
        parameter(message.need("To"), "tag") or "",
        parameter(message.need("From"), "tag") or "",
    )
