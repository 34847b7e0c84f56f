"""Two processes of an upgrade and one place among the members."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.core.clock import Clock
from reedmount.members.outbox import Stood
from reedmount.members.quorum import Standing
from reedmount.members.view import Change
from reedmount.net.connection import Address, format_address
from reedmount.net.loop import Loop
from reedmount.peers.member_handover import MemberHandover
from reedmount.peers.membership import Membership
from reedmount.peers.platform import settings_of
from standins.world import World
from tests.scenario import HOST
from tests.test_board import notice
from tests.test_config import SETTINGS, platform
from tests.test_start import free_port, line, started


def _places(count: int) -> list[Address]:
    """Addresses of which nobody has one now."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port(HOST))
    return [(HOST, port) for port in ports]


def _lives(seen: list[str]) -> Callable[[Change | Stood], None]:
    """Keep what becomes of the other one, with its life."""

    def hear(change: Change | Stood) -> None:
        if isinstance(change, Change) and change.new is not None:
            text = f"{change.new.state.name.lower()} {change.new.boot_id}"
            if not seen or seen[-1] != text:
                seen.append(text)

    return hear


def _until(loop: Loop, done: Callable[[], bool], longest_s: float = 20) -> bool:
    """Turn it in real time."""
    end = time.monotonic() + longest_s
    while not done() and time.monotonic() < end:
        loop.turn(timedelta(milliseconds=50))
    return done()


def test_two_processes_of_one_member_have_its_address_one_after_the_other() -> None:
    """The second process of an upgrade ended at its start: the first one had the address."""
    world = World()
    places = _places(2)
    old = MemberHandover(world.loop, settings_of(list(map(format_address, places)), places[0], 0))
    watcher = Membership(world.loop, settings_of(list(map(format_address, places)), places[1], 1))
    seen: list[str] = []
    watcher.on_change(_lives(seen))
    assert world.run_until(lambda: bool(seen), timedelta(seconds=5))
    successor = MemberHandover(world.loop, settings_of(list(map(format_address, places)), places[0], 0))
    world.run(timedelta(seconds=1))
    assert old.membership is not None and successor.membership is None, "the first one has the clients still"
    old.hand_over(True)
    assert old.membership is None
    assert world.run_until(lambda: len(seen) == 2, timedelta(seconds=3)), "a new life of the same member"
    world.run(timedelta(seconds=1))  # it has heard the others as well
    successor.leave()
    world.run_until_idle()
    old.hand_over(False)
    old.hand_over(False)
    assert world.run_until(lambda: len(seen) == 4, timedelta(seconds=3)), seen
    kinds = [text.partition(" ")[0] for text in seen]
    assert kinds == ["alive", "alive", "left", "alive"], seen
    assert len({text.partition(" ")[2] for text in seen}) == 3, "a life each"
    assert watcher.alive == 2 and watcher.standing is Standing.MAJORITY
    old.leave()
    watcher.close()


def test_an_address_that_is_none_of_ours_is_said_at_the_start() -> None:
    with pytest.raises(OSError, match="assign"):
        MemberHandover(World().loop, settings_of(["192.0.2.1:7946"], ("192.0.2.1", 7946), 0))


def test_an_upgrade_on_the_platform_is_one_member_with_a_new_life(tmp_path: Path) -> None:
    """With real processes: the second one has the address when it has the clients, not before."""
    loop = Loop(Clock())
    places = _places(2)
    peers = list(map(format_address, places))
    settings = {**SETTINGS, "self_index": 0, "allowed": {"max_attempts": 4, "cancel": True, "peers": True}}
    platform(tmp_path, known={"rev": 1, "notices": [notice(1, whole=True)]}, settings=settings,
             peers=peers, peer_listen=peers[0])  # fmt: skip
    env = {"GW_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    watcher = Membership(loop, settings_of(peers, places[1], 1))
    seen: list[str] = []
    watcher.on_change(_lives(seen))
    with started("--members", **env, GW_LISTEN=f"{HOST}:0") as old:
        while "serves at" not in (said := line(old)):
            pass
        port = said.rpartition(":")[2].strip()
        assert _until(loop, lambda: len(seen) == 1)
        with started("--members", **env, GW_LISTEN=f"{HOST}:{port}") as new:
            # It has the clients 2 s after its start: there is no board to be read before that.
            assert _until(loop, lambda: len(seen) == 2), seen
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            assert not _until(loop, lambda: len(seen) > 2, 4), seen
            assert new.poll() is None
            lives = [text.split() for text in seen]
            assert [state for state, _ in lives] == ["alive", "alive"] and lives[0][1] != lives[1][1]
            new.send_signal(signal.SIGTERM)
            assert _until(loop, lambda: seen[-1].startswith("left")), seen
            assert new.wait(20) == 0
    watcher.close()
