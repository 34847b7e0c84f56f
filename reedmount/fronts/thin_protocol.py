"""The platform's thin protocol: writes its messages, and validates each field of what is read."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.core.checks import COUNTERS
from reedmount.core.clock import millis, span
from reedmount.core.ports import NORMAL, Offer
from reedmount.core.switch import NO_REPORT
from reedmount.simhost import WireError, read_report
from reedmount.sip.message import Message, SipError, request

ANSWER_EARLY = timedelta(
    milliseconds=40
)  # before the caller gives up: for transfer and one turn of the event loop
MAX_WIDTH, MAX_PLACE = 64, 9999
ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
PROBE_ID = "0" * 16  # every message names a call by 16 hex digits
URI = re.compile(r"sip:([0-9a-f]{16})@net", re.ASCII)
NUMBER = re.compile(r"-?[0-9]{1,6}(?:\.0{1,6})?", re.ASCII)
FIELD_NAMES = {"x0": "free", "x1": "size", "latency_ms": "recent_ms"}  # the settings accept both names
CAUSES = {
    "no_path": i.Cause.NO_LINE,
    "queue_long": i.Cause.PROCESSOR_FULL,
    "line_taken": i.Cause.NUMBER_BUSY,
}
OUTCOMES = {503: i.Outcome.FULL, 480: i.Outcome.NOT_SENT, 504: i.Outcome.RESET}


def build_bye(name: str, cause: int) -> bytes:
    """A BYE that releases a call."""
    headers = [("Via", "SIP/2.0/TCP reedmount"), ("Call-ID", name), ("CSeq", "2 BYE"),
               ("Reason", f"Q.850;cause={cause}")]  # fmt: skip
    return request("BYE", f"sip:{name}@net", headers).encode()


def build_ack_or_cancel(method: str, uri: str, name: str, via: str = "SIP/2.0/TCP reedmount") -> bytes:
    """A request without further headers: an ACK or a CANCEL."""
    return request(method, uri, [("Via", via), ("Call-ID", name), ("CSeq", f"1 {method}")]).encode()


def build_options_probe() -> bytes:
    """An OPTIONS request that probes the connection."""
    headers = [("Via", "SIP/2.0/TCP reedmount"), ("Call-ID", PROBE_ID), ("CSeq", "1 OPTIONS")]
    return request("OPTIONS", "sip:ping@net", headers).encode()


def release_cause(message: Message) -> int:
    """The cause in the Reason header of a release; without one, that of a normal end."""
    for part in (message.get("Reason") or "").split(";"):
        key, _, value = part.partition("=")
        value = value.strip()
        if key.strip().lower() == "cause" and value.isascii() and value.isdecimal() and len(value) <= 3:
            return int(value)
    return NORMAL


def load_report(message: Message) -> i.LoadReport:
    """The load report in a server's message; a malformed one is counted and ignored."""
    text = message.get("X-Occupancy")
    if not text:
        return NO_REPORT
    pairs = (pair.partition(":") for pair in text.replace(" ", "").split(";") if pair)
    try:
        return read_report(",".join(f"{FIELD_NAMES.get(key, key)}:{value}" for key, _, value in pairs))
    except WireError:
        COUNTERS.add("in.bad_report")
        return NO_REPORT


def is_valid_description(description: bytes) -> bool:
    """Whether a description consists of complete lines of text, as a corrupt or truncated one does not."""
    if not description:
        return True
    return description.endswith(b"\r\n") and description.replace(b"\r\n", b"").isascii() and (
        description.replace(b"\r\n", b"").decode().isprintable()
    )  # fmt: skip


def name_of(message: Message) -> str:
    """The Call-ID; an invalid one would make a call server close the connection that its calls share."""
    name = message.call_id
    if not ID.fullmatch(name):
        raise SipError(400, f"Call-ID is not 16 hex digits: {name[:40]!r}")
    return name


def parse_legs(text: str) -> dict[str, int]:
    """Parse the numbers in X-Legs."""
    legs: dict[str, int] = {}
    for pair in text.split(";"):
        key, _, value = pair.strip().partition(":")
        if not key or not NUMBER.fullmatch(value.strip()):
            raise SipError(400, f"X-Legs: not a number: {pair[:40]!r}")
        legs[key] = int(float(value))
    return legs


def bounded(legs: Mapping[str, int], key: str, default: int, minimum: int, maximum: int) -> int:
    """One of the numbers in X-Legs; a SipError if it is outside its bounds."""
    value = legs.get(key, default)
    if not minimum <= value <= maximum:
        raise SipError(400, f"X-Legs: {key} {value} is not within {minimum} and {maximum}")
    return value


def parse_offer(message: Message, now: datetime, classes: Mapping[str, i.CallClass]) -> Offer:
    """Parse and validate a caller's set-up; a SipError names the field that is invalid."""
    number = URI.fullmatch(message.uri)
    if number is None:
        raise SipError(400, f"the request URI is not sip:NUMBER@net: {message.uri[:40]!r}")
    kind = classes.get(message.need("X-Cos"))
    if kind is None:
        raise SipError(400, f"X-Cos: no such class: {message.need('X-Cos')[:40]!r}")
    timer = message.need("X-Timer-Ms")
    if not timer.isascii() or not timer.isdecimal() or len(timer) > 9 or not int(timer):
        raise SipError(400, f"X-Timer-Ms is not a number of milliseconds: {timer[:40]!r}")
    wait = millis(int(timer))
    if wait > span(kind.give_up_us):
        raise SipError(400, f"X-Timer-Ms exceeds the longest wait of the class: {timer}")
    legs = parse_legs(message.get("X-Legs") or "dest:-1")
    dest = bounded(legs, "dest", -1, -1, MAX_PLACE)
    if dest >= 0 and kind.servers is not None and dest not in kind.servers:
        raise SipError(400, f"X-Legs: a call of the class cannot go to {dest}")
    bounded(legs, "width", 1, 1, MAX_WIDTH)
    bounded(legs, "via", -1, -1, MAX_PLACE)
    if not is_valid_description(message.body):
        raise SipError(400, "the description does not consist of lines of text")
    return Offer(
        name=name_of(message),
        call_class=kind.name,
        number=number[1],
        first_choice=dest if dest >= 0 else None,
        answer_by=now + wait - ANSWER_EARLY,
        description=message.body,
        redialled=message.get("X-Reattempt") not in (None, "", "0"),
        was_cut=bounded(legs, "again", 0, 0, 1) == 1,
        caller_gives_up_at=now + wait,
        size=message.size,
    )
