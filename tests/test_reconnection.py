"""Calls from before the start: their servers send the releases on whatever connection is opened from here."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from reedmount.core.checks import COUNTERS
from reedmount.net.connection import Connection
from tests.scenario import HOST, full_backlog
from tests.test_crossings import TWO_SETUPS, replaced_late
from tests.test_platform import SETUP, Platform
from tests.test_sip import SipStage, call

CALLER_IS_BACK = "caller send INVITE c0 x-cos=small x-timer-ms=2000\n wait 2000\n caller expect 503 c0"
SERVER_RELEASES = """
    server send BYE old reason=Q.850;cause=16
    server expect 200 old
    caller expect BYE old reason=Q.850;cause=16
    caller send 200 BYE old
"""
STATES = pytest.mark.parametrize("state", ["serving", "draining"])


def started_beside(state: str) -> Platform:
    """A controller that has started while a server with calls from before was in a state."""
    stage = Platform()
    stage.play(CALLER_IS_BACK)
    stage.peer("server", "thin")
    stage.set_servers("server", state=state)
    return stage


def test_a_server_that_drains_at_the_start_is_dialled_for_its_releases() -> None:
    """Only serving ones were dialled: a drained server's calls ended without word to their callers."""
    started_beside("draining").play(SERVER_RELEASES)


def test_a_server_that_drains_before_its_first_connection_is_dialled_until_it_accepts() -> None:
    """The drain ended the attempts to connect."""
    stage = Platform()
    stage.play(CALLER_IS_BACK)
    server = stage.peer("server", "thin")
    with socket.create_server((HOST, 0)) as closed:
        port = closed.getsockname()[1]
    stage.set_servers("server", port=port)
    stage.set_servers("server", port=port, state="draining")
    stage.play("wait 1000")
    assert not server.rings
    stage.set_servers("server", state="draining")
    stage.play("wait 1100" + SERVER_RELEASES)


@STATES
@pytest.mark.parametrize("how", ["close", "close reset"])
def test_a_server_that_ends_its_only_connection_is_dialled_again(state: str, how: str) -> None:
    """One that drained was not dialled again after it had closed its connection as idle."""
    stage = started_beside(state)
    stage.play(f"wait 150\n server {how}\n wait 50" + SERVER_RELEASES)


@STATES
def test_a_server_is_dialled_until_it_accepts_though_it_was_connected_before(state: str) -> None:
    """The first failure after the first connection was the last attempt."""
    stage = started_beside(state)
    stage.play("wait 150")
    server = stage.peers["server"]
    with full_backlog() as (full, _):
        stage.set_servers("server", state=state, port=full.getsockname()[1])
        stage.play("server close reset\n wait 1300")
        assert not server.rings
    stage.set_servers("server", state=state)
    stage.play("wait 1100" + SERVER_RELEASES)


@STATES
def test_a_server_is_dialled_again_once_a_descriptor_is_free(
    state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a descriptor at the start it was dialled at its next set-up only, or never."""

    def out_of_descriptors(*_: object) -> Connection:
        raise OSError("too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(Connection, "dial", out_of_descriptors)
        stage = started_beside(state)
        stage.play("wait 500")
        assert not stage.peers["server"].rings
    stage.play("wait 1100" + SERVER_RELEASES)


@pytest.mark.parametrize("server_closes", [True, False])
def test_a_retired_connection_is_replaced_if_it_was_the_only_one(
    monkeypatch: pytest.MonkeyPatch, server_closes: bool
) -> None:
    """It was closed, by its server or at last from here, and the server had none until its next set-up."""
    if not server_closes:
        monkeypatch.setattr(Connection, "finish_writing", lambda _: None)
    stage = Platform("server", max_attempts=1)
    server = stage.peers["server"]
    stage.play(f"caller send {SETUP}\n server expect INVITE c1\n wait 2100\n server expect CANCEL c1")
    stage.play("caller expect 503 c1")
    stage.set_servers("server", state="draining")
    retired = set(server.rings)
    stage.play("wait 2000\n other send INVITE c2 x-cos=small x-timer-ms=500")
    stage.play("wait 1200\n other expect 503 c2")
    server.inbox.clear()
    assert server.rings and not retired & set(server.rings)
    stage.play(SERVER_RELEASES.replace("caller", "other"))


def test_a_connection_that_breaks_beside_others_is_replaced_until_one_stays_up() -> None:
    """A release in transit on it is sent again on the next connection that opens, and none did."""
    stage = Platform("server")
    stage.play(
        TWO_SETUPS
        + """
        server send 503 INVITE c1
        server expect ACK c1
        server send 503 INVITE c2
        server expect ACK c2
        wait 150
    """
    )
    server = stage.peers["server"]
    assert len(server.rings) > 1
    replaced_late(stage, next(iter(server.rings)))


def test_a_server_that_closes_each_connection_at_once_is_dialled_less_and_less_often() -> None:
    """The delay grew with failed attempts only, and each accepted connection reset it."""
    stage = started_beside("draining")
    stage.play("wait 150")
    server, before = stage.peers["server"], COUNTERS["server.connects"]
    for _ in range(100):
        if server.rings:
            server.close(reset=False)
        stage.wait(timedelta(milliseconds=50))
    assert COUNTERS["server.connects"] - before <= 9


def test_a_removed_server_is_dialled_no_more() -> None:
    stage = started_beside("draining")
    server = stage.peers["server"]
    with full_backlog() as (full, _):
        stage.set_servers("server", state="draining", port=full.getsockname()[1])
        stage.play("server close reset\n wait 700")
        stage.set_servers("server", state="removed")
        before = COUNTERS["server.connects"]
        stage.play("wait 3000")
    assert COUNTERS["server.connects"] == before and not server.rings


def test_releases_in_transit_as_their_server_is_removed_reach_their_callers() -> None:
    """The connection was closed unread, and the calls were known to nobody else."""
    stage = started_beside("draining")
    server = stage.peers["server"]
    for name in ("old", "older"):
        server.write(server.request("BYE", name, {"reason": "Q.850;cause=41"}, b"").encode())
    stage.set_servers("server", state="removed")
    stage.play("caller expect BYE old reason=Q.850;cause=41\n caller expect BYE older reason=Q.850;cause=41")
    stage.play("wait 1600\n server expect CLOSED")
    assert not server.rings


def test_a_release_is_not_confirmed_before_its_caller_can_be_told() -> None:
    """It was confirmed while it waited for its caller to come back, and lost with the process."""
    stage = Platform("server")
    stage.call_servers.has_unsent_release = stage.callers.has_unsent_release
    stage.play("server send BYE old reason=Q.850;cause=16\n wait 200\n server expect nothing")
    stage.play(f"caller send {SETUP}\n caller expect BYE old reason=Q.850;cause=16\n caller send 200 BYE old")
    stage.play(
        "server expect INVITE c1\n server send 200 INVITE c1\n server expect ACK c1\n caller expect 200 c1"
    )
    stage.play("server send BYE old reason=Q.850;cause=16\n server expect 200 old\n caller expect nothing")


# --- the SIP front: a call server connects to our Contact by itself ---


def draining_with_a_call(how: str) -> SipStage:
    """A controller with a call at a server that drains and whose connection has ended."""
    stage = SipStage("server", kind="tcp")
    stage.play(call("phone", "server"))
    stage.publish_servers("server", serving=False, version=2)
    stage.play(f"server {how}\n wait 300\n server expect nothing")
    return stage


@pytest.mark.parametrize("how", ["close", "close reset"])
def test_a_draining_sip_server_releases_its_call_on_a_connection_of_its_own(how: str) -> None:
    stage = draining_with_a_call(how)
    server = stage.peers["server"]
    server.listener, server.to = None, stage.front.endpoint.address
    stage.play("server send BYE @\n server expect 200\n phone expect BYE c1")


@pytest.mark.parametrize("how", ["close", "close reset"])
def test_a_call_is_released_at_a_draining_sip_server_on_a_new_connection(how: str) -> None:
    stage = draining_with_a_call(how)
    stage.play("phone send BYE c1\n phone expect 200 c1\n server expect BYE")
