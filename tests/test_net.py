"""Event loop, ring buffers, connections, counters and invariants."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from datetime import timedelta

import pytest

from reedmount.core.actors import Actor
from reedmount.core.checks import Counters, invariant
from reedmount.core.clock import ZERO, Clock, micros, span, whole_millis
from reedmount.net.connection import Connection, EndReason, bind, parse_address
from reedmount.net.loop import Loop
from reedmount.net.ring import Ring
from tests.scenario import HOST, VirtualTime, full_backlog


def test_a_ring_keeps_the_byte_order_across_its_end_and_rejects_data_beyond_its_capacity() -> None:
    ring, written, read = Ring(5000), bytearray(), bytearray()
    for turn in range(200):
        chunk = bytes([turn % 251]) * (turn * 37 % 900)
        if ring.write(chunk):
            written += chunk
        part = ring.peek(turn * 53 % 700)
        ring.drop(len(part))
        read += part
    read += ring.peek()
    assert read == written
    assert not ring.write(b"x" * (ring.room + 1)) and ring.write(b"x" * ring.room)


def test_the_clock_does_not_jump_with_the_system_clock() -> None:
    unix, steady = [1000.0], [5.0]
    clock = Clock(lambda: unix[0], lambda: steady[0])
    unix[0], steady[0] = 9999.0, 7.0
    assert micros(clock.now()) == 1002 * 1_000_000
    assert whole_millis(span(1)) == 1 and whole_millis(span(2000)) == 2


def test_timers_run_in_the_order_of_their_times_and_cancelled_ones_do_not_run() -> None:
    time, called = VirtualTime(), list[str]()
    loop = Loop(time.clock)
    loop.call_later(timedelta(seconds=2), lambda: called.append("late"))
    loop.call_later(timedelta(seconds=1), lambda: called.append("early"))
    loop.call_later(timedelta(seconds=1), lambda: called.append("never")).cancel()
    loop.turn(ZERO)
    assert not called
    time.seconds = 3.0
    loop.turn(ZERO)
    assert called == ["early", "late"]


def test_an_actor_handles_items_in_the_order_of_posting_including_its_own() -> None:
    loop, handled = Loop(VirtualTime().clock), list[int]()

    def handle(item: int) -> None:
        handled.append(item)
        if item < 3:
            actor.post(item + 10)

    actor = Actor(loop, handle)
    for item in range(3):
        actor.post(item)
    loop.turn(ZERO)
    assert handled == [0, 1, 2, 10, 11, 12]


def dial(address: tuple[str, int], timeout: timedelta) -> tuple[Loop, VirtualTime, list[EndReason]]:
    time, ends = VirtualTime(), list[EndReason]()
    loop = Loop(time.clock)
    Connection.dial(loop, address, timeout, lambda _: None, lambda _, reason: ends.append(reason))
    return loop, time, ends


def test_a_refused_connection_and_a_connect_timeout_have_different_end_reasons() -> None:
    with socket.create_server((HOST, 0)) as server:
        closed = server.getsockname()
    loop, _, ends = dial(closed, timedelta(seconds=1))
    for _ in range(5):
        loop.turn(timedelta(milliseconds=20))
    assert ends == [EndReason.REFUSED]
    with full_backlog() as (full, _filling):
        loop, time, ends = dial(full.getsockname(), timedelta(milliseconds=500))
        loop.turn(timedelta(milliseconds=20))
        assert not ends
        time.seconds = 1.0
        loop.turn(ZERO)
        assert ends == [EndReason.NEVER_UP]


def test_a_peer_that_reads_nothing_is_disconnected() -> None:
    left, right = socket.socketpair(socket.AF_UNIX)
    right.close()
    with socket.create_server((HOST, 0)) as server:
        out = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    left.close()
    ends: list[EndReason] = []
    loop = Loop(VirtualTime().clock)
    connection = Connection(loop, out, lambda _: None, lambda _, reason: ends.append(reason))
    for _ in range(2000):
        connection.send(b"x" * 16384)
        loop.turn(ZERO)
        if ends:
            break
    assert ends == [EndReason.STUCK] and connection.ended
    accepted.close()


@pytest.mark.parametrize("text", ["", "host", "host:", ":1", "host:70000", "host:x"])
def test_malformed_addresses_are_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        parse_address(text)


def test_an_invariant_is_asserted_in_debug_builds_and_counted_in_release_builds() -> None:
    assert invariant(True, "holds")
    with pytest.raises(AssertionError, match="broken"):
        invariant(False, "broken")
    code = (
        "from reedmount.core.checks import COUNTERS, invariant\n"
        "from reedmount.core.clock import Clock, ZERO\n"
        "from reedmount.net.loop import Loop\n"
        "invariant(False, 'one')\n"
        "loop = Loop(Clock()); loop.call_soon(lambda: 1 / 0); loop.turn(ZERO)\n"
        "print(COUNTERS.text())"
    )
    done = subprocess.run([sys.executable, "-O", "-c", code], capture_output=True, text=True, env=os.environ)
    assert done.stdout.strip() == "broken.one=1 faults=1"


def test_counters_are_printed_in_the_order_of_their_names() -> None:
    counters = Counters()
    assert counters.text() == "nothing counted"
    counters.add("b")
    counters.add("a", 2)
    assert counters.text() == "a=2 b=1" and counters["none"] == 0


def test_the_backlog_holds_a_burst_of_connections_while_the_loop_is_busy() -> None:
    """With a backlog of 512 the connections beyond it were only retried a second later."""
    listener = bind((HOST, 0))
    clients = []
    for _ in range(600):
        clients.append(socket.create_connection(listener.getsockname(), 0.9))
    for sock in (listener, *clients):
        sock.close()
