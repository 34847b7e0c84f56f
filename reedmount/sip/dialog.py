"""RFC 3261 dialogs (section 12): what the two ends of a call know of one another."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedmount.sip.message import Message, SipError, header_values, parameter, request, uri_of

Key = tuple[str, str, str]  # Call-ID, our tag, their tag


@dataclass(slots=True)
class Dialog:
    """One leg of a call that stands."""

    call_id: str
    local: str  # From or To value, with our tag
    remote: str
    target: str  # where requests go: the peer's Contact
    route: list[str] = field(default_factory=list)
    number: int = 1  # CSeq of our latest request
    remote_number: int = -1  # CSeq of theirs

    @property
    def key(self) -> Key:
        """What tells it from all others."""
        return (self.call_id, parameter(self.local, "tag") or "", parameter(self.remote, "tag") or "")

    def request(self, method: str, via: str, extra: list[tuple[str, str]] | None = None) -> Message:
        """A request within the dialog; an ACK has the number of its INVITE."""
        if method != "ACK":
            self.number += 1
        headers = [
            ("Via", via), ("Max-Forwards", "70"), ("From", self.local), ("To", self.remote),
            ("Call-ID", self.call_id), ("CSeq", f"{self.number} {method}"),
            *(("Route", route) for route in self.route), *(extra or []),
        ]  # fmt: skip
        return request(method, self.target, headers)

    def in_order(self, message: Message) -> bool:
        """Whether a request of the peer is newer than those before it (12.2.2)."""
        number = message.cseq[0]
        if number <= self.remote_number:
            return False
        self.remote_number = number
        return True


@dataclass(frozen=True, slots=True)
class DialogState:
    """A leg as somebody else needs it to end it: a dialog as its owner last had it, and the transport."""

    call_id: str
    local: str
    remote: str
    target: str
    route: tuple[str, ...]
    number: int
    transport: str  # udp or tcp

    @classmethod
    def of(cls, dialog: Dialog, reliable: bool) -> DialogState:
        """Of a dialog, and whether its transport is a reliable one."""
        return cls(
            dialog.call_id, dialog.local, dialog.remote, dialog.target, tuple(dialog.route), dialog.number,
            "tcp" if reliable else "udp",
        )  # fmt: skip

    @property
    def dialog(self) -> Dialog:
        """The dialog again."""
        return Dialog(self.call_id, self.local, self.remote, self.target, list(self.route), self.number)

    @property
    def next_hop(self) -> str:
        """The URI at which the peer is reached: that of the first route, or its Contact."""
        return uri_of(self.route[0]) if self.route else self.target


def routes(message: Message) -> list[str]:
    """The Record-Route values, in order."""
    return [value for text in message.all("Record-Route") for value in header_values(text)]


def uas_dialog(invite: Message, local: str) -> Dialog:
    """The dialog of an INVITE that we answer; ``local`` is its To with our tag."""
    contact = invite.get("Contact")
    if not contact:
        raise SipError(400, "Contact is missing")
    return Dialog(
        call_id=invite.call_id, local=local, remote=invite.need("From"), target=uri_of(contact),
        route=routes(invite), number=0, remote_number=invite.cseq[0],
    )  # fmt: skip


def uac_dialog(invite: Message, answer: Message) -> Dialog:
    """The dialog of an INVITE of ours that was answered."""
    contact = answer.get("Contact")
    return Dialog(
        call_id=invite.call_id, local=invite.need("From"), remote=answer.need("To"),
        target=uri_of(contact) if contact else invite.uri, route=routes(answer)[::-1],
        number=invite.cseq[0],
    )  # fmt: skip


def dialog_key(message: Message) -> Key:
    """The dialog that a request of the peer belongs to: our tag stands in its To."""
    return (
        message.call_id,
        parameter(message.need("To"), "tag") or "",
        parameter(message.need("From"), "tag") or "",
    )
