"""A call's record and its dialogs, as they are held and copied. Fields are only ever added at the end."""

from __future__ import annotations

import msgspec

from reedmount.sip.dialog import DialogState


class CallRecord(msgspec.Struct, frozen=True, array_like=True):
    """One call. Times are Unix microseconds, 0 where it did not come to that."""

    name: str
    call_class: str
    number: str
    began_us: int
    answered_us: int = 0
    ended_us: int = 0
    outcome: str = ""  # stands, refused, failed, given up; then how a call that stood came to its end
    attempts: int = 0
    server: str = ""
    finished_by: str = ""  # who completed the record, where that was not its owner
    sides: tuple[DialogState, ...] = ()  # the caller's, the call server's, while it stands
    reference: str = ""  # what its caller calls it: the Call-ID of its INVITE


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(CallRecord)


def encode(held: CallRecord) -> bytes:
    """As it is kept."""
    return _encode(held)


def decode(data: bytes) -> CallRecord:
    """What was kept. Raises ValueError where it is no record."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
