"""The platform's front, tested with scenarios: clients, call servers and the controller on loopback."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta

import pytest

from reedmount import interface as i
from reedmount.core.checks import COUNTERS
from reedmount.core.ports import ListedServer, Setup
from reedmount.core.switch import Switch
from reedmount.fronts.call_servers import CallServers
from reedmount.fronts.platform import Callers
from reedmount.fronts.server_connection import ConnectionLimits
from reedmount.sip.message import response
from tests.scenario import HOST, Stage, digits
from tests.support import SETTINGS

SETUP = "INVITE c1 x-cos=small x-timer-ms=2000 x-legs=dest:1;width:1;via:-1"
ESTABLISH = f"""
    caller send {SETUP} | hello
    server expect INVITE c1 body=hello x-cos=small x-timer-ms=*
    server send 200 INVITE | there
    server expect ACK c1
    caller expect 200 c1 body=there
    caller send ACK c1
"""
ESTABLISH_OTHER = """
    other send INVITE t x-cos=small x-timer-ms=2000
    server expect INVITE t
    server send 200 INVITE
    server expect ACK t
    other expect 200 t
"""


class Platform(Stage):
    """One controller, two clients and call servers by name; the test sets the list of servers."""

    def __init__(self, *servers: str, connections: int = 8, **changes: object) -> None:
        super().__init__()
        settings = replace(SETTINGS, release_wait_us=200_000, redials_marked=False, **changes)  # type: ignore[arg-type]
        self.switch = Switch(self.loop, settings, 1)
        self.limits = ConnectionLimits(timedelta(milliseconds=500))
        self.call_servers = CallServers(self.loop, self.switch, self.limits, 2 * connections)
        self.switch.attach(self.call_servers)
        self.callers = Callers(self.loop, self.switch, (HOST, 0), 16)
        for name in ("caller", "other"):
            self.peer(name, "thin", self.callers.address)
        self.version = 0
        for name in servers:
            self.peer(name, "thin")
        self.set_servers(*servers)
        self.settle()

    def set_servers(self, *names: str, state: str = "serving", port: int = 0) -> None:
        self.version += 1
        flags = (state == "serving", state == "removed")
        entries = [
            ListedServer(name, (HOST, port or self.peers[name].port), n, *flags, None)
            for n, name in enumerate(names, 1)
        ]
        self.switch.pool_changed(self.version, i.ListKind.CHANGES, entries)
        self.settle()


@pytest.fixture
def stage() -> Iterator[Platform]:
    made = Platform("server")
    yield made
    made.loop.close()


def test_a_call_is_set_up_and_released_by_its_server(stage: Platform) -> None:
    stage.play(
        ESTABLISH
        + """
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect BYE c1 reason=Q.850;cause=16
        caller send 200 BYE
        server send BYE c1 reason=Q.850;cause=16
        server expect 200 c1
        caller expect nothing
    """
    )
    assert stage.switch.is_idle


def test_messages_come_split_and_joined(stage: Platform) -> None:
    """Two set-ups in one segment and a third byte by byte: all three are read."""
    caller = stage.peers["caller"]
    parts = [caller.request("INVITE", name, {"x-cos": "small", "x-timer-ms": "2000"}, b"x\r\n").encode()
             for name in ("a", "b", "c")]  # fmt: skip
    caller.write(parts[0] + parts[1])
    for byte in parts[2]:
        caller.write(bytes([byte]))
        stage.loop.turn(timedelta(0))
    stage.play("""
        server expect INVITE a
        server expect INVITE b
        server send 200 INVITE a
        server expect ACK a
        server expect INVITE c
    """)


def test_a_caller_may_release_its_call_on_another_connection(stage: Platform) -> None:
    stage.play(
        ESTABLISH
        + """
        caller close
        other send BYE c1 reason=Q.850;cause=16
        other expect 200 c1
        server expect BYE c1 reason=*
    """
    )


def test_a_release_waits_for_the_next_connection(stage: Platform) -> None:
    """The caller's only connection was closed: its releases were lost."""
    stage.play(
        ESTABLISH
        + """
        caller close
        wait 100
        server send BYE c1 reason=Q.850;cause=41
        server expect 200 c1
        other send OPTIONS t
        other expect 200 t
        other send INVITE c2 x-cos=small x-timer-ms=2000
        other expect BYE c1 reason=Q.850;cause=41
    """
    )


def test_an_unconfirmed_release_is_sent_again_on_another_connection(stage: Platform) -> None:
    """A release was lost on a connection that its client was just closing."""
    stage.play(
        ESTABLISH_OTHER
        + ESTABLISH
        + """
        server send BYE c1 reason=Q.850;cause=16
        caller expect BYE c1
        caller close
        other expect BYE c1
    """
    )


def test_a_release_from_before_a_restart_is_relayed(stage: Platform) -> None:
    stage.play("""
        caller send INVITE t x-cos=small x-timer-ms=2000
        server expect INVITE t
        server send BYE old reason=Q.850;cause=16
        server expect 200 old
        caller expect BYE old reason=Q.850;cause=16
    """)
    assert COUNTERS["released.unknown"]


def test_refusals_map_to_outcomes_and_the_call_is_refused_with_a_pause() -> None:
    stage = Platform("server", max_attempts=1)
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 503 INVITE x-diagnosis=queue_long x-occupancy=x0:12;x1:40;queue:3
        server expect ACK c1
        caller expect 503 c1 x-pause=*
        caller send ACK c1
        caller expect nothing
    """)


def test_a_refusal_has_no_pause_if_the_settings_allow_none() -> None:
    """The pause was sent whatever the settings allowed."""
    stage = Platform("server", max_attempts=1, max_retry_after_us=0)
    stage.play(f"caller send {SETUP}\n server expect INVITE c1\n server send 503 INVITE")
    stage.play("server expect ACK c1\n wait 5")
    refusal = stage.peers["caller"].inbox[0]
    assert refusal.status == 503 and refusal.get("X-Pause") is None


def test_the_final_answer_comes_before_the_caller_gives_up(stage: Platform) -> None:
    """By 40 ms. It was 120 ms as long as processes with many system calls were stalled for that time."""
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        wait 1940
        caller expect nothing
        wait 40
        server expect CANCEL c1
        caller expect 503 c1 x-pause=*
    """)


def test_a_cancelled_set_up_is_cancelled_at_its_server_and_gets_no_answer(stage: Platform) -> None:
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        caller send CANCEL c1
        server expect CANCEL c1
        wait 1900
        caller expect nothing
        server expect nothing
    """)
    assert stage.switch.is_idle


def test_an_answer_that_crosses_the_cancel_is_released(stage: Platform) -> None:
    """The call stayed established at its server although its caller had cancelled it."""
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        caller send CANCEL c1
        server expect CANCEL c1
        server send 200 INVITE
        server expect ACK c1
        server expect BYE c1
        caller expect nothing
    """)


def test_a_cancel_that_crosses_the_answer_releases_the_call_without_an_ack(stage: Platform) -> None:
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 200 INVITE
        server expect ACK c1
        caller expect 200 c1
        caller send CANCEL c1
        server expect nothing
        wait 600
        server expect BYE c1
    """)


def test_after_a_refused_connection_another_server_is_tried_at_once() -> None:
    stage = Platform("server", "second")
    stage.peers["server"].stop()
    stage.play(f"""
        wait 100
        caller send {SETUP}
        second expect INVITE c1
        second send 200 INVITE
        caller expect 200 c1
    """)


def test_an_answer_with_cseq_1_answers_the_second_attempt() -> None:
    """Call servers answer with ``CSeq: 1`` and no Via: each answer to a second attempt was ignored."""
    stage = Platform("server", "second")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 503 INVITE x-diagnosis=queue_long
        second expect INVITE c1
    """)
    stage.peers["second"].write(
        b"SIP/2.0 200 OK\r\nCall-ID: %b\r\nCSeq: 1 INVITE\r\nContent-Length: 7\r\n\r\nthere\r\n"
        % digits("c1").encode()
    )
    stage.play("second expect ACK c1\n caller expect 200 c1 body=there")


def test_an_answer_to_an_earlier_attempt_does_not_answer_the_current_one() -> None:
    stage = Platform("server")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 480 INVITE
        server expect ACK c1
        server expect INVITE c1
    """)
    first = stage.peers["server"].requests[0]
    stage.peers["server"].write(response(first, 200, body=b"old\r\n").encode())
    stage.play("caller expect nothing\n server expect nothing\n server send 200 INVITE c1 | new")
    stage.play("server expect ACK c1\n caller expect 200 c1 body=new")


def test_a_server_that_closes_each_connection_at_once_is_not_dialled_without_a_pause() -> None:
    """A server at its limit of connections closes new ones at once: the loop did nothing but dial."""
    stage = Platform("server")
    stage.play(ESTABLISH)
    dials = COUNTERS["server.connects"]
    for _ in range(8):
        if stage.peers["server"].sock is not None:
            stage.play("server close")
        stage.play("wait 20")
    assert 1 <= COUNTERS["server.connects"] - dials <= 4


def test_a_reset_is_followed_by_the_pause_and_never_by_two_attempts() -> None:
    stage = Platform("server", "second")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server close reset
        wait 190
        server expect nothing
        second expect nothing
        wait 150
        server expect INVITE c1
        server send 200 INVITE
        caller expect 200 c1
    """)


def test_the_next_attempt_waits_for_the_pause_after_a_504() -> None:
    stage = Platform("server", "second")
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        server send 504 INVITE
        server expect ACK c1
        wait 190
        server expect nothing
        second expect nothing
        wait 150
        server expect INVITE c1
    """)


def test_calls_of_a_server_process_that_died_are_released(stage: Platform) -> None:
    """Its connections are reset and new ones refused: its calls were never released."""
    stage.play(ESTABLISH)
    server = stage.peers["server"]
    assert server.listener is not None
    server.listener.close()
    server.listener = None
    stage.play("""
        server close reset
        wait 300
        caller expect BYE c1 reason=Q.850;cause=41
    """)


def test_calls_of_a_server_removed_from_the_list_are_released(stage: Platform) -> None:
    """The connection to a machine that failed stays open and silent."""
    stage.play(ESTABLISH)
    stage.set_servers("server", state="removed")
    stage.play("caller expect BYE c1 reason=Q.850;cause=41")


def test_queued_set_ups_are_not_sent_to_a_draining_server() -> None:
    """Set-ups queued for a connection that was being established were sent after the drain had begun."""
    stage = Platform()
    stage.peer("server", "thin")
    listed = stage.peers["server"]
    assert listed.listener is not None
    entry = ListedServer("server", (HOST, listed.port), 1, True, False, None)
    stage.switch.pool_changed(2, i.ListKind.CHANGES, [entry])
    stage.loop.call_soon(
        lambda: stage.switch.pool_changed(3, i.ListKind.CHANGES, [replace(entry, serving=False)])
    )
    stage.play(f"""
        caller send {SETUP}
        wait 300
        server expect nothing
        caller expect nothing
        wait 1700
        caller expect 503 c1
    """)


def test_an_address_reused_by_a_new_server_gets_its_own_calls(stage: Platform) -> None:
    port = stage.peers["server"].port
    stage.set_servers("server", state="removed")
    stage.peers["fresh"] = stage.peers.pop("server")
    stage.set_servers("fresh", port=port)
    stage.play(f"""
        fresh expect CLOSED
        caller send {SETUP}
        fresh expect INVITE c1
    """)


def test_a_late_answer_of_an_abandoned_attempt_is_released() -> None:
    stage = Platform("server", "second", max_attempts=2)
    stage.play(f"""
        caller send {SETUP}
        server expect INVITE c1
        wait 1980
        server expect CANCEL c1
        caller expect 503 c1
        server send 200 INVITE
        server expect ACK c1
        server expect BYE c1
        caller expect nothing
    """)


def test_a_connection_without_answers_is_not_used_for_further_set_ups() -> None:
    """The connection to a machine that failed and restarted stayed open: set-ups were sent on it for ever."""
    stage = Platform("server", connections=1)

    def setup(name: str) -> None:
        stage.call_servers.send(Setup(digits(name), 0, "server", "small", "47", timedelta(seconds=9), b""))
        stage.settle()

    setup("c1")
    stage.play("server expect INVITE c1")
    old = stage.peers["server"].sock
    stage.wait(timedelta(seconds=2))
    setup("c2")
    assert stage.peers["server"].sock is old
    stage.play("server expect INVITE c2\n wait 1100")
    setup("c3")
    assert stage.peers["server"].sock is not old
    stage.play("server expect INVITE c3")


def test_malformed_input_closes_only_its_own_connection(stage: Platform) -> None:
    stage.peers["caller"].write(b"nonsense\r\n\r\n")
    stage.play("""
        caller expect CLOSED
        other send INVITE c1 x-cos=small x-timer-ms=soon
        other expect 400 c1
        other send INVITE c2 x-cos=unheard x-timer-ms=2000
        other expect 400 c2
        other send OPTIONS t
        other expect 200 t
    """)


def test_probes_fail_once_the_node_is_stopping(stage: Platform) -> None:
    stage.switch.lifecycle.end()
    stage.play("caller send OPTIONS t\n caller expect 503 t" + ESTABLISH)


def test_connections_beyond_the_limit_evict_idle_ones() -> None:
    stage = Platform("server")
    stage.callers.max_connections = 1
    stage.play("""
        caller send OPTIONS t
        caller expect 200 t
        other send OPTIONS t
        other expect 200 t
        caller expect CLOSED
    """)


def test_a_connection_that_only_probed_gets_no_release_and_is_evicted_first() -> None:
    """Clients that probed once and stayed connected evicted those with calls, and got their releases."""
    stage = Platform("server")
    stage.callers.max_connections = 2
    stage.peer("late", "thin", stage.callers.address)
    stage.play(
        ESTABLISH
        + """
        other send OPTIONS t
        other expect 200 t
        late send OPTIONS t
        late expect 200 t
        other expect CLOSED
        server send BYE c1 reason=Q.850;cause=16
        caller expect BYE c1
        caller close
        server expect 200 c1
        wait 50
        late expect nothing
    """
    )


def test_load_reports_of_one_turn_are_one_event_for_the_module() -> None:
    """Each of 28 reports was an event that goes over all held calls: turns of 0.2 s, late answers."""
    stage = Platform("a", "b", "c")
    seen: list[i.Event] = []
    handle = stage.switch._controller.handle

    def record(now: int, event: i.Event) -> list[i.Action]:
        seen.append(event)
        return handle(now, event)

    stage.switch._controller.handle = record  # type: ignore[method-assign]
    for lines in (3.0, 5.0):  # of each server the latest report counts
        for name in "abc":
            stage.switch.load_reported(name, i.LoadReport(free_lines=lines))
    stage.settle()
    latest = i.LoadReport(free_lines=5.0)
    assert seen == [i.LoadReports((("a", latest), ("b", latest), ("c", latest)))]
    stage.switch.load_reported("b", i.LoadReport(free_lines=1.0))
    stage.settle()
    assert seen[1:] == [i.LoadReports((("b", i.LoadReport(free_lines=1.0)),))]
    stage.loop.close()
