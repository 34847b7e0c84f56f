"""The platform's front against bad peers: malformed input, floods, slow clients, resets, limits."""

from __future__ import annotations

import gc
import socket
from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedmount import interface as i
from reedmount.core.checks import COUNTERS, LOGGED_COUNTS, MAX_FULL_LINES, log
from reedmount.net.ring import Ring
from reedmount.sip.framing import next_frame
from tests.scenario import digits
from tests.test_platform import ESTABLISH, SETUP, Platform

GOOD = b"there\r\n"
HEAD = b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\n" % digits("c1").encode()
MALFORMED = {
    "noise": b"\x04\x8c\x9a\xd3\xa2\x05\xffU_k\xa1\r\n\r\n",
    "noise for a description": HEAD + b"Content-Length: 9\r\n\r\n\x04\x8c\x9a\xd3\xa2\x05\xff\r\n",
    "two lengths": HEAD + b"Content-Length: -4\r\nContent-Length: 7\r\n\r\n" + GOOD,
    "a length too short": HEAD + b"Content-Length: 7\r\n\r\n" + GOOD + b"c=IN IP4 10.0.0.1\r\n",
    "three gigabytes": HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"A" * 40000,
    "a line that does not end": HEAD + b"X-Pad: " + b"p" * 40000,
    "a line that cannot be read": HEAD + b"no colon here\r\nContent-Length: 7\r\n\r\n" + GOOD,
    "no SIP": b"SIP/9.9 OK 200\r\n" + HEAD[16:] + b"Content-Length: 7\r\n\r\n" + GOOD,
}


def latest_socket(stage: Platform, name: str = "server") -> socket.socket:
    """The connection on which the server last received a message."""
    sock = stage.peers[name].sock
    assert sock is not None
    return sock


@pytest.mark.parametrize("kind", MALFORMED)
def test_a_malformed_answer_fails_only_its_own_attempt_and_never_reaches_the_caller(kind: str) -> None:
    """All calls of a server shared a connection: corrupt answers were passed on, or cut all these calls."""
    stage = Platform("server")
    stage.play(f"""
        other send INVITE t x-cos=small x-timer-ms=2000
        server expect INVITE t
        caller send {SETUP}
        server expect INVITE c1
    """)
    latest_socket(stage).sendall(MALFORMED[kind])
    stage.play("""
        wait 50
        server expect CLOSED
        caller expect nothing
        server send 200 INVITE t | fine
        server expect ACK t
        other expect 200 t body=fine
        wait 300
        server expect INVITE c1
        server send 200 INVITE c1 | there
        server expect ACK c1
        caller expect 200 c1 body=there
    """)


def test_a_truncated_answer_ends_its_attempt_soon() -> None:
    """Its connection stayed open: the call hung until its caller gave up, and others were sent there."""
    stage = Platform("server")
    stage.play(f"caller send {SETUP}\n server expect INVITE c1")
    latest_socket(stage).sendall(HEAD + b"Content-Length: 70\r\n\r\nthe")
    stage.play("wait 200\n server expect nothing\n wait 100\n server expect CLOSED\n wait 300")
    stage.play("server expect INVITE c1")


def test_a_retired_connection_still_receives_the_releases_of_its_calls() -> None:
    """It was closed 1.5 s after an answer had been overtaken, and a release in transit on it was lost."""
    stage = Platform("server", max_attempts=1)
    stage.play(
        ESTABLISH
        + """
        wait 10
        caller send INVITE c2 x-cos=small x-timer-ms=400
        server expect INVITE c2
        wait 370
        server expect CANCEL c2
        caller expect 503 c2
        wait 4000
        server expect nothing
        server send BYE c1
        server expect 200 c1
        caller expect BYE c1
        wait 1600
        server expect CLOSED
    """
    )


def test_a_reset_connection_is_replaced_by_one_on_which_releases_are_resent() -> None:
    stage = Platform("server")
    stage.play(
        ESTABLISH + "wait 200\n server close reset\n wait 20\n server send BYE c1\n server expect 200 c1"
    )
    stage.play("caller expect BYE c1")


def test_a_duplicate_answer_leaves_the_call_established() -> None:
    """It was taken for a late answer and released: the call was cut without notice to its caller."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    answer = HEAD + b"Content-Length: 7\r\n\r\n" + GOOD
    latest_socket(stage).sendall(answer + answer.replace(digits("c1").encode(), b"00" * 8))
    stage.play("""
        server expect nothing
        caller expect nothing
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect BYE c1
    """)


def test_a_duplicate_refusal_does_not_end_the_next_attempt() -> None:
    """Call servers return no Via: on one connection the duplicate counted as the next attempt's answer."""
    stage = Platform("server")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 480 INVITE
        server expect ACK c1
        server expect INVITE c1
    """)
    first, second = stage.peers["server"].requests[0], latest_socket(stage)
    other = stage.peers["server"].received_on[id(first)]
    assert other is not second, "the next attempt had a connection of its own"
    other.sendall(HEAD.replace(b"200 OK", b"480 Moot") + b"Content-Length: 0\r\n\r\n")
    stage.play("server expect nothing\n caller expect nothing")


def test_a_connection_reset_when_new_is_dialled_again_for_unsent_set_ups() -> None:
    """A connection that was reset as it came up made the whole server count as unreachable."""
    stage = Platform("server")
    before = COUNTERS["attempts.unreachable"]
    stage.play(f"""
        server close reset
        wait 20
        caller send {SETUP}
        server expect INVITE c1
        server send 200 INVITE
        caller expect 200 c1
    """)
    assert COUNTERS["attempts.unreachable"] == before


@pytest.mark.parametrize(
    "fields",
    [
        "x-cos=small_x x-timer-ms=2000", "x-cos=small", "x-cos=small x-timer-ms=soon",
        "x-cos=small x-timer-ms=-5", "x-cos=small x-timer-ms=0", "x-cos=small x-timer-ms=99999999999999999",
        "x-cos=small x-timer-ms=9001", "x-cos=small x-timer-ms=٣", "x-timer-ms=2000",
        "x-cos=small x-timer-ms=2000 x-legs=dest:nan", "x-cos=small x-timer-ms=2000 x-legs=dest:-3",
        "x-cos=small x-timer-ms=2000 x-legs=dest:1e9", "x-cos=small x-timer-ms=2000 x-legs=width:0",
        "x-cos=small x-timer-ms=2000 x-legs=width:400", "x-cos=small x-timer-ms=2000 x-legs=x",
        "x-cos=small x-timer-ms=2000 uri=sip:x@net", "x-cos=small x-timer-ms=2000 uri=sip:4711@far",
    ],
)  # fmt: skip
def test_a_set_up_with_a_field_out_of_range_is_refused_before_a_server_sees_it(fields: str) -> None:
    """Call servers close the connection that all calls share when they cannot read a message."""
    stage = Platform("server")
    stage.play(f"caller send INVITE c1 {fields} | hello\n caller expect 400 c1\n server expect nothing")
    assert stage.switch.is_idle


@pytest.mark.parametrize(
    "raw",
    [
        b"\xf1\x14k\xee\xce\xa5\r\n\r\n", b"SIP/9.9 OK 200\r\n\r\n",
        b"INVITE sip:x@net SIP/2.0\r\nX: " + b"p" * 20000,
        b"INVITE sip:x@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\nAAAA",
        b"INVITE sip:x@net SIP/2.0\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n",
        b"INVITE sip:x@net SIP/2.0\r\nCall-ID: 1\r\nContent-Length: -4\r\nContent-Length: 0\r\n\r\n",
        b"BYE sip:x@net SIP/2.0\r\nCall-ID: nobody's\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n",
    ],
)  # fmt: skip
def test_unreadable_input_closes_its_connection_and_is_not_passed_on(raw: bytes) -> None:
    stage = Platform("server")
    stage.peers["caller"].write(raw)
    stage.play("caller expect CLOSED\n server expect nothing\n" + ESTABLISH)


def test_idle_connections_are_closed_and_those_with_calls_are_kept() -> None:
    """Hundreds of silent connections were not closed in time and held the descriptors that callers need."""
    stage = Platform("server")
    stage.play(
        ESTABLISH
        + """
        server send BYE c1
        server expect 200 c1
        caller expect BYE c1
        caller send 200 BYE
        other send OPTIONS t
        other expect 200 t
    """
    )
    silent, half, unanswered = (stage.peer(name, "thin", stage.callers.address) for name in ("s", "h", "u"))
    silent.write(b"")
    half.write(b"INVITE sip:0")
    unanswered.write(b"SIP/2.0 200 OK\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
    late = stage.peer("late", "thin", stage.callers.address)
    stage.play("wait 1500\n s expect nothing\n h expect nothing\n u expect nothing")
    stage.play("wait 1350\n s expect CLOSED\n h expect CLOSED\n u expect CLOSED")
    late.write(late.request("INVITE", "c9", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode())
    stage.play("""
        server expect INVITE c9
        server send 200 INVITE c9
        server expect ACK c9
        late expect 200 c9
        wait 2000
        caller expect nothing
        wait 1500
        caller expect CLOSED
        other expect CLOSED
        wait 3000
        late expect nothing
    """)


def test_two_set_ups_with_one_call_id_on_a_connection_are_refused_and_cancelled() -> None:
    """The second was silently ignored, and the first went on for a caller that could not tell them apart."""
    stage = Platform("server")
    stage.play(f"""
        caller send {SETUP} | one
        server expect INVITE c1
        caller send {SETUP} | two
        caller expect 400 c1
        server expect CANCEL c1
        caller expect nothing
    """)


def test_the_call_id_of_an_open_call_is_refused_to_another_caller_and_the_call_goes_on() -> None:
    stage = Platform("server")
    stage.play(f"""
        caller send {SETUP} | one
        server expect INVITE c1
        other send {SETUP} | two
        other expect 400 c1
        server send 200 INVITE c1 | there
        caller expect 200 c1 body=there
        other expect nothing
    """)


def test_a_flood_on_one_connection_leaves_room_for_the_others() -> None:
    """Hundreds of set-ups at once filled the decision module's queue and the servers' processors."""
    stage = Platform("server")
    caller = stage.peers["caller"]
    for number in range(40):
        fields = {"x-cos": "small", "x-timer-ms": "2000"}
        caller.write(caller.request("INVITE", f"f{number}", fields, b"").encode())
    stage.settle()
    assert stage.switch.unanswered == 16 and len(caller.inbox) == 24
    assert all(message.status == 503 for message in caller.inbox)


def test_a_client_that_keeps_sending_malformed_set_ups_is_closed() -> None:
    stage = Platform("server")
    for number in range(8):
        stage.play(f"caller send INVITE c{number} x-cos=none x-timer-ms=2000\n caller expect 400 c{number}")
    stage.play("caller expect CLOSED")


def test_releases_of_unknown_calls_are_passed_on_up_to_a_limit() -> None:
    """A caller that invents call IDs kept every server busy with releases."""
    stage = Platform("server")
    for number in range(30):
        stage.play(f"caller send BYE b{number}\n caller expect {200 if number < 16 else 481} b{number}")
    assert [m.method for m in stage.peers["server"].inbox] == ["BYE"] * 16


def test_a_call_that_fails_at_every_server_bars_none_of_them() -> None:
    """Each was sent four times, and four errors in a row barred a server for all other callers."""
    stage = Platform("server", "second")
    for number in range(6):
        stage.play(f"""
            caller send INVITE c{number} x-cos=small x-timer-ms=2000 x-legs=dest:1
            server expect INVITE c{number}
            server send 500 INVITE
            server expect ACK c{number}
            second expect INVITE c{number}
            second send 500 INVITE
            second expect ACK c{number}
            caller expect 503 c{number}
        """)
    stage.play("caller send INVITE d x-cos=small x-timer-ms=2000 x-legs=dest:1\n server expect INVITE d")


def test_log_lines_caused_by_input_are_rate_limited(capsys: pytest.CaptureFixture[str]) -> None:
    LOGGED_COUNTS.clear()
    for _ in range(1000):
        log("again", kind="again")
    assert len(capsys.readouterr().err.splitlines()) == MAX_FULL_LINES + 6
    for number in range(1000):
        log("new", kind=f"kind {number}")
    assert len(LOGGED_COUNTS) <= 257
    LOGGED_COUNTS.clear()


def test_releases_that_wait_for_a_caller_are_bounded() -> None:
    stage = Platform("server")
    for number in range(5000):
        stage.callers.release(f"{number:016x}", 16, None)
    assert len(stage.callers._waiting) == 4096
    stage.wait(timedelta(milliseconds=10))


def test_an_ended_connection_leaves_no_garbage_cycles() -> None:
    """Each left a cycle of twenty objects and two buffers: memory grew by megabytes between collections."""
    stage = Platform("server")

    def open_and_close(times: int) -> None:
        for _ in range(times):
            stage.play("caller send OPTIONS t\n caller expect 200 t\n caller close")
            stage.settle()

    open_and_close(3)
    gc.collect()
    gc.disable()
    try:
        before = len(gc.get_objects())
        open_and_close(20)
        assert len(gc.get_objects()) - before < 40
    finally:
        gc.enable()


def test_new_settings_apply_to_new_calls_and_an_open_call_keeps_its_own() -> None:
    """Fewer attempts ended an open call; the last calls of a dropped class were refused as malformed."""
    stage = Platform("server")
    small, *others = stage.switch.settings.classes
    once = replace(small, name="once", effect=i.Effect.ONCE)
    stage.play("""
        caller send INVITE c1 x-cos=small x-timer-ms=2000
        server expect INVITE c1
    """)
    stage.switch.apply_settings(replace(stage.switch.settings, classes=(once, *others), max_attempts=1))
    stage.play("""
        other send INVITE c2 x-cos=small x-timer-ms=2000
        server expect INVITE c2
        server send 480 INVITE c1
        server expect ACK c1
        server expect INVITE c1
        server send 480 INVITE c2
        server expect ACK c2
        other expect 503 c2
        other send INVITE c3 x-cos=once x-timer-ms=2000
        server expect INVITE c3
        server send 500 INVITE c3
        server expect ACK c3
        other expect 500 c3
        server send 200 INVITE c1 | there
        server expect ACK c1
        caller expect 200 c1 body=there
        other send INVITE c4 x-cos=small x-timer-ms=2000
        other expect 400 c4
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect BYE c1
    """)
    assert stage.switch.is_idle and not stage.switch._dropped_classes


def test_a_message_received_byte_by_byte_is_framed_without_repeated_copies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each segment had the whole buffer copied and searched again: 114 MB for one set-up."""
    copied = 0
    whole = Ring.peek

    def peek(ring: Ring, most: int | None = None) -> bytes:
        nonlocal copied
        found = whole(ring, most)
        copied += len(found)
        return found

    monkeypatch.setattr(Ring, "peek", peek)
    ring = Ring(1 << 15)
    head = b"INVITE sip:x@net SIP/2.0\r\nCall-ID: 1\r\nX-Pad: " + b"p" * 7000 + b"\r\n"
    message = head + b"CSeq: 1 INVITE\r\nContent-Length: 8000\r\n\r\n" + b"b" * 8000
    for byte in message:
        assert next_frame(ring) is None
        ring.write(bytes([byte]))
    ring.write(b"\r\nBYE")
    frame = next_frame(ring)
    assert frame is not None and len(frame[0]) == len(head) + 36 and frame[1] == b"b" * 8000
    assert next_frame(ring) is None and whole(ring) == b"BYE"
    assert copied < 20 * len(message)


@given(st.lists(st.binary(max_size=40), max_size=30), st.lists(st.integers(1, 60), min_size=1, max_size=30))
def test_a_ring_finds_bytes_across_its_wrap_around(parts: list[bytes], drops: list[int]) -> None:
    ring, plain = Ring(64), b""
    for part, drop in zip(parts, drops, strict=False):
        if ring.write(part):
            plain += part
        for what in (b"\r\n\r\n", b"\0", plain[2:5]):
            for start in range(len(plain) + 1):
                assert ring.find(what, start) == plain.find(what, start)
        ring.drop(drop)
        plain = plain[drop:]


def test_a_slow_writer_is_kept_while_clients_that_never_finish_are_closed() -> None:
    """It was closed amid its first set-up, by time-out or for room, while silent and stalled ones stayed."""
    stage = Platform("server")
    stage.callers.max_connections = 6
    slow = stage.peer("slow", "thin", stage.callers.address)
    data = slow.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"").encode()
    step = len(data) // 13 + 1
    crowd: list[socket.socket] = []
    for number, at in enumerate(range(0, len(data), step)):
        slow.write(data[at : at + step])
        for _ in range(4):
            crowd.append(socket.create_connection(stage.callers.address))
            if number % 2:
                crowd[-1].sendall(b"INVITE sip:0000")
            stage.wait(timedelta(milliseconds=50))
        if number == 6:
            stage.play("other send OPTIONS t\n other expect 200 t")
    stage.play("server expect INVITE c1\n server send 200 INVITE\n slow expect 200 c1\n slow expect nothing")
    assert len(stage.callers._clients) <= 6
    for sock in crowd:
        sock.close()


def test_connections_in_least_use_are_closed_first_to_make_room() -> None:
    stage = Platform("server")
    stage.callers.max_connections = 6
    names = ("silent", "stalled", "idle", "called", "writing", "used")
    peers = [stage.peer(name, "thin", stage.callers.address) for name in names]
    peers[0].write(b"")
    peers[1].write(b"INVITE s")
    stage.play("idle send OPTIONS t\n idle expect 200 t")
    stage.play("called send INVITE c1 x-cos=small x-timer-ms=2000\n server expect INVITE c1")
    stage.play("called send CANCEL c1\n server expect CANCEL c1")
    stage.play("used send INVITE c2 x-cos=small x-timer-ms=9000\n server expect INVITE c2\n wait 1200")
    peers[4].write(b"INVITE s")
    stage.settle()
    for number in range(4):
        stage.peer(f"new{number}", "thin", stage.callers.address).write(b"INVITE s")
        stage.settle()
    closed = [name for name, peer in zip(names, peers, strict=True) if not peer.rings]
    assert closed == list(names[:4])


def test_a_client_that_disconnects_frees_its_call_and_its_attempt_at_once() -> None:
    stage = Platform("server")
    stage.play(f"caller send {SETUP}\n server expect INVITE c1\n caller close reset")
    stage.play("server expect CANCEL c1")
    assert stage.switch.is_idle and not stage.switch._controller._calls


@pytest.mark.parametrize("counted", ["answered.after_caller", "answered.overdue"])
def test_an_answer_past_our_deadline_is_counted_apart_from_one_past_its_callers(counted: str) -> None:
    """Our deadline is 40 ms before the caller's; both had one counter, and one line in the log."""
    stage = Platform("server", max_attempts=1)
    stage.play(f"caller send {SETUP}\n server expect INVITE c1")
    before = {name: COUNTERS[name] for name in ("answered.after_caller", "answered.overdue")}
    # The process gets no processor meanwhile; the caller waits 2 s.
    stage.time.seconds += 2.02 if counted == "answered.after_caller" else 1.98
    stage.settle()
    stage.play("wait 100\n caller expect 503 c1")
    after = {name: COUNTERS[name] - count for name, count in before.items()}
    assert after == {name: int(name == counted) for name in before}
