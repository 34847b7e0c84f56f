"""SIP messages: parsing and formatting of messages and header values."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

MAX_MESSAGE_SIZE = 16384  # bytes
MAX_HEADER_LINES = 256  # a message passes 70 hops at most, each with a Via and a Record-Route
MAX_RESPONSE_VIAS = 128  # in the response to a request that is rejected for its number of header lines
RESPONSE_HEADERS = frozenset(("via", "from", "to", "call-id", "cseq"))  # copied from a request
VERSION = "SIP/2.0"
COMPACT_FORMS = {
    "v": "via", "f": "from", "t": "to", "i": "call-id", "m": "contact", "l": "content-length",
    "c": "content-type", "k": "supported", "s": "subject", "e": "content-encoding",
}  # fmt: skip
# Names of RESPONSE_HEADERS as they may be written, and their first letters.
RESPONSE_HEADER_FORMS = RESPONSE_HEADERS | {
    form for form, name in COMPACT_FORMS.items() if name in RESPONSE_HEADERS
}
RESPONSE_INITIALS = frozenset(
    initial for form in RESPONSE_HEADER_FORMS for initial in (form[0], form[0].upper())
)
REASON_PHRASES = {
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
TOKEN_CHARS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.!%*_+`'~")


class SipError(ValueError):
    """A message that is rejected, with the status code for the response to its sender."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
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
    index: dict[str, str] | None = None  # of a parsed message: first values by lower-case name
    head_size: int = 0  # of a parsed message, in bytes
    fault: SipError | None = None  # why a parsed request is rejected; it has only the headers for a response

    @property
    def is_request(self) -> bool:
        """Whether this is a request."""
        return bool(self.method)

    def get(self, name: str) -> str | None:
        """Return the first value of a header, by its long name in any case."""
        wanted = name.lower()
        if self.index is not None:
            return self.index.get(wanted)
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    def all(self, name: str) -> list[str]:
        """Return all values of a header, in order."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]

    def need(self, name: str) -> str:
        """Return the first value of a mandatory header; raises SipError if it is missing or empty."""
        value = self.get(name)
        if not value:
            raise SipError(400, f"{name} is missing")
        return value

    @property
    def size(self) -> int:
        """The size of a parsed message in bytes."""
        return self.head_size + len(self.body)

    def keep(self, names: frozenset[str]) -> None:
        """Drop all headers but these (lower-case names): a message that is kept should be small."""
        self.headers = [(key, value) for key, value in self.headers if key.lower() in names]
        if self.index is not None:
            self.index = {name: value for name, value in self.index.items() if name in names}

    @property
    def call_id(self) -> str:
        """The Call-ID; raises SipError if it is missing."""
        return self.need("Call-ID")

    @property
    def cseq(self) -> tuple[int, str]:
        """The sequence number and the method in CSeq; raises SipError if it is malformed."""
        number, _, method = self.need("CSeq").partition(" ")
        if not number.isdecimal() or int(number) >= 2**31 or not method.strip():
            raise SipError(400, "CSeq is malformed")
        return int(number), method.strip()

    def encode(self) -> bytes:
        """Encode the message for the wire; Content-Length is added here."""
        first = f"{VERSION} {self.status} {self.reason}"
        if self.method:
            first = f"{self.method} {self.uri} {VERSION}"
        lines = [first, *(f"{key}: {value}" for key, value in self.headers)]
        head = "\r\n".join([*lines, f"Content-Length: {len(self.body)}", "", ""])
        return head.encode() + self.body


def request(method: str, uri: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> Message:
    """Build a request."""
    return Message(method=method, uri=uri, headers=list(headers), body=body)


def response(
    to: Message, status: int, extra: Iterable[tuple[str, str]] = (), body: bytes = b"", tag: str = ""
) -> Message:
    """Build the response to a request; ``tag`` is added to To unless it already has one."""
    headers = []
    for key, value in to.headers:
        name = key.lower()
        if name == "to" and tag and status > 100 and ";tag=" not in value:
            value = f"{value};tag={tag}"
        if name in RESPONSE_HEADERS:
            headers.append((key, value))
    return Message(
        status=status, reason=REASON_PHRASES.get(status, "Other"), headers=[*headers, *extra], body=body
    )


def parse_head(head: bytes) -> Message:
    """Parse a message up to the empty line; headers get their long names, folded lines are joined."""
    try:
        text = head.decode()
    except UnicodeDecodeError:
        raise SipError(400, "not UTF-8 text") from None
    text = text.replace("\r\n", "\n")
    start_line, *lines = text.split("\n")
    message = _parse_start_line(start_line)
    index: dict[str, str] = {}
    if len(lines) > MAX_HEADER_LINES:
        message.fault = SipError(400, f"more than {MAX_HEADER_LINES} header lines")
        if not message.is_request:
            raise message.fault
        lines = _response_lines(lines)
    is_folded = message.fault is None and ("\n " in text or "\n\t" in text)
    for line in _unfold(lines) if is_folded else lines:
        if not line:
            continue
        key, colon, value = line.partition(":")
        names = HEADER_NAMES.get(key) or _header_name(key, line, bool(colon))
        value = value.strip()
        message.headers.append((names[0], value))
        if names[1] in SINGLE_VALUE_HEADERS and names[1] in index:
            raise SipError(400, f"{names[0]} stands twice")
        index.setdefault(names[1], value)
    message.index, message.head_size = index, len(head)
    return message


def _response_lines(lines: list[str]) -> list[str]:
    """Return those header lines that a response needs, with ``MAX_RESPONSE_VIAS`` of Via at most."""
    wanted: list[str] = []
    via_count = 0
    for line in lines:
        if line[:1] not in RESPONSE_INITIALS:
            continue
        name = line.partition(":")[0].strip().lower()
        via_count += name in ("via", "v")
        if name in RESPONSE_HEADER_FORMS and (via_count <= MAX_RESPONSE_VIAS or name not in ("via", "v")):
            wanted.append(line)
    return wanted


def _unfold(lines: list[str]) -> list[str]:
    """Join each header line with those that continue it (RFC 3261, 7.3.1), at a cost linear in their size."""
    unfolded: list[list[str]] = []
    for line in lines:
        if not line:
            continue
        if line[0] not in " \t":
            unfolded.append([line.rstrip()])
            continue
        if not unfolded:
            raise SipError(400, "continuation line before the first header")
        text = line.strip()
        if text:
            unfolded[-1].append(text)
    return [" ".join(pieces) for pieces in unfolded]


# Cache by name as received: the long name, and the same in lower case.
HEADER_NAMES: dict[str, tuple[str, str]] = {}
MAX_CACHED_NAMES, MAX_CACHED_NAME_LENGTH = 256, 40
# Headers of which a second value would be ambiguous.
SINGLE_VALUE_HEADERS = frozenset(("call-id", "cseq", "content-length", "from", "to", "max-forwards"))


def _header_name(text: str, line: str, colon: bool) -> tuple[str, str]:
    key = text.strip()
    if not colon or not key or not TOKEN_CHARS.issuperset(key):
        raise SipError(400, f"malformed header line: {line[:60]!r}")
    key = COMPACT_FORMS.get(key.lower(), key)
    found = (key, key.lower())
    if len(HEADER_NAMES) < MAX_CACHED_NAMES and len(text) <= MAX_CACHED_NAME_LENGTH:
        HEADER_NAMES[text] = found
    return found


def _parse_start_line(line: str) -> Message:
    parts = line.split(" ", 2)
    if len(parts) == 3 and parts[0] == VERSION and len(parts[1]) == 3 and parts[1].isdecimal():
        return Message(status=int(parts[1]), reason=parts[2])
    if len(parts) == 2 and parts[0] == VERSION and len(parts[1]) == 3 and parts[1].isdecimal():
        return Message(status=int(parts[1]))
    if len(parts) == 3 and TOKEN_CHARS.issuperset(parts[0]) and parts[0] and parts[1]:
        if parts[2] != VERSION:
            raise SipError(505 if parts[2].startswith("SIP/") else 400, f"version {parts[2][:20]!r}")
        return Message(method=parts[0], uri=parts[1])
    raise SipError(400, f"malformed start line: {line[:60]!r}")


def content_length(message: Message) -> int | None:
    """Return the Content-Length, or None if there is none."""
    text = message.get("Content-Length")
    if text is None:
        return None
    if not text.isdecimal() or len(text) > 9:
        raise SipError(400, f"Content-Length is not a number: {text[:20]!r}")
    return int(text)


def parse_datagram(data: bytes) -> Message:
    """Parse a datagram as one message; bytes beyond its Content-Length are ignored (18.3)."""
    if len(data) > MAX_MESSAGE_SIZE:
        raise SipError(513, "message larger than 16 KiB")
    head, blank, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    if not blank:
        raise SipError(400, "no empty line after the headers")
    message = parse_head(head)
    length = content_length(message)
    if length is not None and length > len(body):
        raise SipError(400, "datagram cut short: the body is shorter than Content-Length")
    message.body = body if length is None else body[:length]
    return message


def _split_list(text: str) -> Iterator[str]:
    """Split a list at the commas outside quotes and angle brackets; the items are not stripped."""
    depth, quoted, start = 0, False, 0
    for at, char in enumerate(text):
        if char == '"':
            quoted = not quoted
        elif not quoted and char in "<>":
            depth += 1 if char == "<" else -1
        elif char == "," and not quoted and depth <= 0:
            yield text[start:at]
            start = at + 1
    yield text[start:]


def header_values(text: str) -> list[str]:
    """Return the values of a header that may have several; empty items are skipped (RFC 3261, 7.3.1)."""
    return [value for item in _split_list(text) if (value := item.strip())]


def first_value(text: str) -> str:
    """Return the text before the first separating comma of such a header; '' if that item is empty."""
    return next(_split_list(text)).rstrip() if "," in text else text


def parameter(value: str, name: str) -> str | None:
    """Return a parameter of a header value, outside angle brackets; '' if it has no value, None if absent."""
    tail = value.rpartition(">")[2] if "<" in value else value
    for part in tail.split(";")[1:]:
        key, _, text = part.partition("=")
        if key.strip().lower() == name:
            return text.strip()
    return None


def uri_of(value: str) -> str:
    """Return the URI in a From, To or Contact value."""
    if "<" in value:
        return value.partition("<")[2].partition(">")[0]
    return value.partition(";")[0].strip()


def user_of(uri: str) -> str:
    """Return the user part of a SIP or SIPS URI; '' if there is none."""
    if not uri.lower().startswith(("sip:", "sips:")):
        raise SipError(400, f"not a SIP URI: {uri[:40]!r}")
    rest = uri.partition(":")[2]
    return rest.partition("@")[0].partition(";")[0] if "@" in rest else ""


def split_host_port(text: str) -> tuple[str, str]:
    """Split ``host:port``, either of which may be empty; an IPv6 address is in brackets."""
    if text.startswith("["):
        host, _, rest = text[1:].partition("]")
        return host, rest.removeprefix(":")
    host, _, port = text.partition(":")
    return host, port


def host_port(uri: str) -> tuple[str, int]:
    """Return the host and port of a SIP URI; the default port is 5060."""
    if not uri.lower().startswith("sip:"):
        raise SipError(400, f"not a SIP URI: {uri[:40]!r}")
    authority = uri.partition(":")[2].rpartition("@")[2].partition(";")[0].partition("?")[0]
    host, port = split_host_port(authority)
    if not host or (port and not (port.isdecimal() and 0 < int(port) < 65536)):
        raise SipError(400, f"no host and port in {uri[:40]!r}")
    return host, int(port or 5060)
