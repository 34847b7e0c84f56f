"""SIP messages: reading and writing them, whole and by header."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

LONGEST = 16384
VERSION = "SIP/2.0"
COMPACT = {
    "v": "via", "f": "from", "t": "to", "i": "call-id", "m": "contact", "l": "content-length",
    "c": "content-type", "k": "supported", "s": "subject", "e": "content-encoding",
}  # fmt: skip
REASONS = {
    100: "Trying", 180: "Ringing", 181: "Call Is Being Forwarded", 182: "Queued", 183: "Session Progress",
    200: "OK", 400: "Bad Request", 405: "Method Not Allowed",
    408: "Request Timeout", 420: "Bad Extension", 480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected", 483: "Too Many Hops", 487: "Request Terminated",
    488: "Not Acceptable Here", 500: "Server Internal Error",
    501: "Not Implemented", 503: "Service Unavailable", 505: "Version Not Supported",
    513: "Message Too Large",
}  # fmt: skip
METHODS = ("INVITE", "ACK", "BYE", "CANCEL", "OPTIONS")
TOKEN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")


class SipError(ValueError):
    """A message that cannot be taken; the status tells its sender why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request (``method`` and ``uri``) or a response (``status`` and ``reason``)."""

    method: str = ""
    uri: str = ""
    status: int = 0
    reason: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    index: dict[str, str] | None = None  # of a message that was read: first values by lower-case name

    @property
    def is_request(self) -> bool:
        """Whether it asks something."""
        return bool(self.method)

    def get(self, name: str) -> str | None:
        """The first value of a header, by its long name in any case."""
        wanted = name.lower()
        if self.index is not None:
            return self.index.get(wanted)
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    def all(self, name: str) -> list[str]:
        """All values of a header, in order."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]

    def need(self, name: str) -> str:
        """A header that has to be there."""
        value = self.get(name)
        if not value:
            raise SipError(400, f"{name} is missing")
        return value

    @property
    def call_id(self) -> str:
        """The Call-ID."""
        return self.need("Call-ID")

    @property
    def cseq(self) -> tuple[int, str]:
        """The number and the method in CSeq."""
        number, _, method = self.need("CSeq").partition(" ")
        if not number.isdecimal() or int(number) >= 2**31 or not method.strip():
            raise SipError(400, "CSeq is malformed")
        return int(number), method.strip()

    def encode(self) -> bytes:
        """As it goes on the wire; Content-Length is added here."""
        first = f"{VERSION} {self.status} {self.reason}"
        if self.method:
            first = f"{self.method} {self.uri} {VERSION}"
        lines = [first, *(f"{key}: {value}" for key, value in self.headers)]
        head = "\r\n".join([*lines, f"Content-Length: {len(self.body)}", "", ""])
        return head.encode() + self.body


def request(method: str, uri: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> Message:
    """A request."""
    return Message(method=method, uri=uri, headers=list(headers), body=body)


def response(
    to: Message, status: int, extra: Iterable[tuple[str, str]] = (), body: bytes = b"", tag: str = ""
) -> Message:
    """The response to a request; ``tag`` goes to To where it has none yet."""
    headers = []
    for key, value in to.headers:
        name = key.lower()
        if name == "to" and tag and status > 100 and ";tag=" not in value:
            value = f"{value};tag={tag}"
        if name in ("via", "from", "to", "call-id", "cseq"):
            headers.append((key, value))
    return Message(status=status, reason=REASONS.get(status, "Other"), headers=[*headers, *extra], body=body)


def parse_head(head: bytes) -> Message:
    """Read all up to the empty line; the headers get their long names, folded lines are joined."""
    try:
        text = head.decode()
    except UnicodeDecodeError:
        raise SipError(400, "not UTF-8 text") from None
    lines = text.replace("\r\n", "\n").split("\n")
    message = _start(lines[0])
    index: dict[str, str] = {}
    for line in lines[1:]:
        if not line:
            continue
        if line[0] in " \t":
            if not message.headers:
                raise SipError(400, "a folded line without a header")
            key, value = message.headers[-1]
            message.headers[-1] = (key, f"{value} {line.strip()}".strip())
            if len([name for name, _ in message.headers if name.lower() == key.lower()]) == 1:
                index[key.lower()] = message.headers[-1][1]
            continue
        key, colon, value = line.partition(":")
        names = NAMES.get(key) or _names(key, line, bool(colon))
        value = value.strip()
        message.headers.append((names[0], value))
        if names[1] in SINGLE and names[1] in index:
            raise SipError(400, f"{names[0]} stands twice")
        index.setdefault(names[1], value)
    message.index = index
    return message


NAMES: dict[str, tuple[str, str]] = {}  # header names met so far: as they are written on, and in lower case
MAX_NAMES, LONGEST_NAME = 256, 40
SINGLE = frozenset(("call-id", "cseq", "content-length", "from", "to", "max-forwards"))  # else: which counts?


def _names(text: str, line: str, colon: bool) -> tuple[str, str]:
    key = text.strip()
    if not colon or not key or not TOKEN.issuperset(key):
        raise SipError(400, f"malformed header line: {line[:60]!r}")
    key = COMPACT.get(key.lower(), key)
    found = (key, key.lower())
    if len(NAMES) < MAX_NAMES and len(text) <= LONGEST_NAME:
        NAMES[text] = found
    return found


def _start(line: str) -> Message:
    parts = line.split(" ", 2)
    if len(parts) == 3 and parts[0] == VERSION and len(parts[1]) == 3 and parts[1].isdecimal():
        return Message(status=int(parts[1]), reason=parts[2])
    if len(parts) == 2 and parts[0] == VERSION and len(parts[1]) == 3 and parts[1].isdecimal():
        return Message(status=int(parts[1]))
    if len(parts) == 3 and TOKEN.issuperset(parts[0]) and parts[0] and parts[1]:
        if parts[2] != VERSION:
            raise SipError(505 if parts[2].startswith("SIP/") else 400, f"version {parts[2][:20]!r}")
        return Message(method=parts[0], uri=parts[1])
    raise SipError(400, f"malformed first line: {line[:60]!r}")


def content_length(message: Message) -> int | None:
    """Content-Length, where it is there."""
    text = message.get("Content-Length")
    if text is None:
        return None
    if not text.isdecimal() or len(text) > 9:
        raise SipError(400, f"Content-Length is not a length: {text[:20]!r}")
    return int(text)


def parse_datagram(data: bytes) -> Message:
    """One message in one datagram; what goes beyond Content-Length is not looked at."""
    if len(data) > LONGEST:
        raise SipError(513, "longer than 16 KiB")
    head, blank, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    if not blank:
        raise SipError(400, "no end of the headers")
    message = parse_head(head)
    length = content_length(message)
    if length is not None and length > len(body):
        raise SipError(400, "cut short")
    message.body = body if length is None else body[:length]
    return message


def _places(text: str) -> Iterator[str]:
    """The places of a list, as they stand between the commas outside quotes and angle brackets."""
    depth, quoted, begun = 0, False, 0
    for at, char in enumerate(text):
        if char == '"':
            quoted = not quoted
        elif not quoted and char in "<>":
            depth += 1 if char == "<" else -1
        elif char == "," and not quoted and depth <= 0:
            yield text[begun:at]
            begun = at + 1
    yield text[begun:]


def header_values(text: str) -> list[str]:
    """The values of a header that may hold several; empty places are none (RFC 3261, 7.3.1)."""
    return [value for place in _places(text) if (value := place.strip())]


def first_value(text: str) -> str:
    """The first value of such a header as it stands, without what follows; '' where its place is empty."""
    return next(_places(text)).rstrip() if "," in text else text


def parameter(value: str, name: str) -> str | None:
    """A parameter behind a value's semicolons, outside any angle brackets; '' for one without a value."""
    tail = value.rpartition(">")[2] if "<" in value else value
    for part in tail.split(";")[1:]:
        key, _, text = part.partition("=")
        if key.strip().lower() == name:
            return text.strip()
    return None


def uri_of(value: str) -> str:
    """The address in a From, To or Contact value."""
    if "<" in value:
        return value.partition("<")[2].partition(">")[0]
    return value.partition(";")[0].strip()


def user_of(uri: str) -> str:
    """The user part of a SIP address."""
    if not uri.lower().startswith(("sip:", "sips:")):
        raise SipError(400, f"not a SIP address: {uri[:40]!r}")
    rest = uri.partition(":")[2]
    return rest.partition("@")[0].partition(";")[0] if "@" in rest else ""


def split_place(text: str) -> tuple[str, str]:
    """The host and the port of ``host:port``, either of which may be empty; IPv6 stands in brackets."""
    if text.startswith("["):
        host, _, rest = text[1:].partition("]")
        return host, rest.removeprefix(":")
    host, _, port = text.partition(":")
    return host, port


def host_port(uri: str) -> tuple[str, int]:
    """The host and port of a SIP address; 5060 where it names none."""
    if not uri.lower().startswith("sip:"):
        raise SipError(400, f"not a SIP address: {uri[:40]!r}")
    place = uri.partition(":")[2].rpartition("@")[2].partition(";")[0].partition("?")[0]
    host, port = split_place(place)
    if not host or (port and not (port.isdecimal() and 0 < int(port) < 65536)):
        raise SipError(400, f"no host and port in {uri[:40]!r}")
    return host, int(port or 5060)
