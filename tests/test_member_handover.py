"""Handover of the member address between the two processes of an upgrade."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.core.clock import Clock
from reedmount.members.outbox import QuorumChanged
from reedmount.members.quorum import QuorumState
from reedmount.members.view import Change
from reedmount.net.connection import Address, format_address
from reedmount.net.loop import Loop
from reedmount.peers.member_handover import MemberHandover
from reedmount.peers.membership import Membership
from reedmount.peers.platform import membership_settings
from standins.world import World
from tests.scenario import HOST
from tests.test_board import notice
from tests.test_config import SETTINGS, platform
from tests.test_start import free_port, line, started


def _free_addresses(count: int) -> list[Address]:
    """Addresses whose ports are free."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port(HOST))
    return [(HOST, port) for port in ports]


def _record_states(seen: list[str]) -> Callable[[Change | QuorumChanged], None]:
    """A callback that records each new state and boot id of the other member."""

    def callback(change: Change | QuorumChanged) -> None:
        if isinstance(change, Change) and change.new is not None:
            text = f"{change.new.state.name.lower()} {change.new.boot_id}"
            if not seen or seen[-1] != text:
                seen.append(text)

    return callback


def _until(loop: Loop, condition: Callable[[], bool], timeout_s: float = 20) -> bool:
    """Run the loop in real time until the condition holds."""
    end = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end:
        loop.turn(timedelta(milliseconds=50))
    return condition()


def test_two_processes_of_one_member_use_its_address_in_turn() -> None:
    """Guards against the second process of an upgrade exiting at its start, as the first has the address."""
    world = World()
    addresses = _free_addresses(2)
    old = MemberHandover(
        world.loop, membership_settings(list(map(format_address, addresses)), addresses[0], 0)
    )
    watcher = Membership(
        world.loop, membership_settings(list(map(format_address, addresses)), addresses[1], 1)
    )
    seen: list[str] = []
    watcher.on_change(_record_states(seen))
    assert world.run_until(lambda: bool(seen), timedelta(seconds=5))
    successor = MemberHandover(
        world.loop, membership_settings(list(map(format_address, addresses)), addresses[0], 0)
    )
    world.run(timedelta(seconds=1))
    assert old.membership is not None and successor.membership is None, "the first one still has the clients"
    old.hand_over(True)
    assert old.membership is None
    assert world.run_until(lambda: len(seen) == 2, timedelta(seconds=3)), "the same member with a new boot id"
    world.run(timedelta(seconds=1))  # it has received the others' datagrams as well
    successor.leave()
    world.run_until_idle()
    old.hand_over(False)
    old.hand_over(False)
    assert world.run_until(lambda: len(seen) == 4, timedelta(seconds=3)), seen
    kinds = [text.partition(" ")[0] for text in seen]
    assert kinds == ["alive", "alive", "left", "alive"], seen
    assert len({text.partition(" ")[2] for text in seen}) == 3, "a boot id each"
    assert watcher.alive == 2 and watcher.quorum_state is QuorumState.MAJORITY
    old.leave()
    watcher.close()


def test_address_of_another_host_raises_at_the_start() -> None:
    with pytest.raises(OSError, match="assign"):
        MemberHandover(World().loop, membership_settings(["192.0.2.1:7946"], ("192.0.2.1", 7946), 0))


def test_platform_upgrade_is_the_same_member_with_a_new_boot_id(tmp_path: Path) -> None:
    """With real processes: the second one gets the address when it has the clients, not before."""
    loop = Loop(Clock())
    addresses = _free_addresses(2)
    peers = list(map(format_address, addresses))
    settings = {**SETTINGS, "self_index": 0, "allowed": {"max_attempts": 4, "cancel": True, "peers": True}}
    platform(tmp_path, known={"rev": 1, "notices": [notice(1, whole=True)]}, settings=settings,
             peers=peers, peer_listen=peers[0])  # fmt: skip
    env = {"GW_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    watcher = Membership(loop, membership_settings(peers, addresses[1], 1))
    seen: list[str] = []
    watcher.on_change(_record_states(seen))
    with started("--members", **env, GW_LISTEN=f"{HOST}:0") as old:
        while "serves at" not in (output := line(old)):
            pass
        port = output.rpartition(":")[2].strip()
        assert _until(loop, lambda: len(seen) == 1)
        with started("--members", **env, GW_LISTEN=f"{HOST}:{port}") as new:
            # It has the clients 2 s after its start: no notice board can be read before that.
            assert _until(loop, lambda: len(seen) == 2), seen
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            assert not _until(loop, lambda: len(seen) > 2, 4), seen
            assert new.poll() is None
            states = [text.split() for text in seen]
            assert [state for state, _ in states] == ["alive", "alive"] and states[0][1] != states[1][1]
            new.send_signal(signal.SIGTERM)
            assert _until(loop, lambda: seen[-1].startswith("left")), seen
            assert new.wait(20) == 0
    watcher.close()
