"""A call's record and its dialogs, as stored and replicated. New fields are only ever added at the end."""

from __future__ import annotations

import msgspec

from reedmount.sip.dialog import DialogState


class CallRecord(msgspec.Struct, frozen=True, array_like=True):
    """One call. Times are Unix microseconds, 0 if the call did not get that far."""

    name: str
    call_class: str
    number: str
    began_us: int
    answered_us: int = 0
    ended_us: int = 0
    outcome: str = ""  # stands, refused, failed, given up; for an established call then how it ended
    attempts: int = 0
    server: str = ""
    finished_by: str = ""  # the member that completed the record, if not its owner
    sides: tuple[DialogState, ...] = ()  # towards the caller and the call server, while established
    reference: str = ""  # the caller's identifier: the Call-ID of its INVITE


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(CallRecord)


def encode(record: CallRecord) -> bytes:
    """Serializes a record for storage."""
    return _encode(record)


def decode(data: bytes) -> CallRecord:
    """Parses a stored record. Raises ValueError if the data is not one."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
