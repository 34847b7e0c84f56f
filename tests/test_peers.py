"""Members on the loop: the operator's table, the platform's peers, datagrams on real sockets."""

from __future__ import annotations

import json
import socket
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.config import ConfigError
from reedmount.core.checks import COUNTERS
from reedmount.members.outbox import Output
from reedmount.members.quorum import Standing
from reedmount.operator_file import read_operator
from reedmount.peers.membership import MAX_HELD, Membership
from reedmount.peers.platform import read_peers, settings_of
from reedmount.peers.settings import MembershipSettings
from standins.world import World
from tests.test_config import ROOT

SRV = "[members.srv]\n"
FILE = (ROOT / "deploy" / "members.toml").read_text()


def members(folder: Path, old: str = "", new: str = "") -> MembershipSettings:
    assert old in FILE
    path = folder / "members.toml"
    path.write_text(FILE.replace(old, new, 1))
    found = read_operator(path).members
    assert found is not None
    return found


def test_the_shipped_file_says_the_defaults(tmp_path: Path) -> None:
    kept = members(tmp_path)
    needed = ("name = ", "group = ", "listen = ", "ways_in = ", "roster = ", "roster_version = ")
    head, _, rest = FILE.partition("\n[members]\n")
    table, _, classes = rest.partition("[[class]]")
    bare = [line for line in table.splitlines() if line.startswith(needed)]
    text = "\n".join([head, "[members]", *bare, "[[class]]" + classes])
    (tmp_path / "bare.toml").write_text(text)
    assert read_operator(tmp_path / "bare.toml").members == kept
    assert kept.voter_sets[0].majority == 2 and kept.advertise == kept.listen


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ('name = "n1"', 'name = "a name of more than 24 bytes"', "members"),
        ('name = "n1"', 'name = "n9"', "members.roster: 'n9' is not in it"),
        ('group = "calls"', "", "members.group is missing"),
        ('listen = "127.0.0.1:7946"', 'listen = "peer.example:7946"', "members.listen"),
        ('ways_in = ["127.0.0.1:7947"', 'ways_in = ["127.0.0.1:0"', "members.ways_in"),
        ('roster = ["n1", "n2", "n3"]', 'roster = ["n1", "n1"]', "members.roster: a name stands twice"),
        ("interval_ms = 500", "interval_ms = 5", "members.interval_ms"),
        ("timeout_ms = 150", "timeout_ms = 400", "members.timeout"),
        ("hearsay_s = 8.0", "hearsay_s = 61.0", "members.hearsay_s"),
        ("[[class]]", f'{SRV}name_servers = ["127.0.0.1:53"]\n[[class]]', "members.srv.names is missing"),
        ("[[class]]", f'{SRV}names = ["a"]\nname_servers = ["127.0.0.1:53"]\n[[class]]', "'a' is not of the"),
        ("[[class]]", f'{SRV}names = ["_m._udp.a."]\n[[class]]', "members.srv.name_servers is miss"),
        ("relays = 3", "relays = 3\nrelay = 4", "members.relay is not known"),
        ('zone = ""', 'zone = "a zone with too long a name"', "members"),
        ("# previous_roster", 'previous_version = 2\nprevious_roster = ["n1"] #', "members.previous_version"),
    ],
)
def test_each_fault_of_the_table_is_refused_by_its_key(tmp_path: Path, old: str, new: str, says: str) -> None:
    with pytest.raises(ConfigError, match=says.replace("[", r"\[")):
        members(tmp_path, old, new)


def test_ways_in_may_come_from_names(tmp_path: Path) -> None:
    table = '[members.srv]\nnames = ["_members._udp.Calls.example"]\nname_servers = ["127.0.0.1:53"]\n'
    found = members(tmp_path, "[[class]]", f"{table}[[class]]").srv
    assert found is not None and found.names == (("_members._udp.calls.example.", "udp"),)
    wants = table + "ipv6 = true\n[[class]]"
    with pytest.raises(ConfigError, match="members.srv.ipv6 needs members.listen"):
        members(tmp_path, "[[class]]", wants)


def test_the_platform_s_peers_are_members_by_their_numbers(tmp_path: Path) -> None:
    """Where the settings allow talk; heard from an address in ``peers``, not from ``peer_listen``."""
    peers = [f"10.3.0.{number}:7946" for number in range(1, 200)]
    path = tmp_path / "config.json"

    def read(allowed: bool, **config: object) -> MembershipSettings | None:
        settings = {"allowed": {"peers": allowed}, "self_index": 3, "zone": "zurich"}
        path.write_text(json.dumps({"settings": settings, **config}))
        return read_peers({"GW_CONFIG": str(path)})

    found = read(True, peers=peers, peer_listen="10.0.0.4:7946")
    assert found is not None and read(True) is None
    assert read(False, peers=peers, peer_listen="10.0.0.4:7946") is None
    assert (found.name, found.zone, found.nonvoters) == ("p3", "zurich", False)
    assert (found.listen, found.advertise) == (("10.0.0.4", 7946), ("10.3.0.4", 7946))
    assert found.voter_sets[0].majority == 100
    assert found.seed_addresses[0] == ("10.3.0.5", 7946) and len(found.seed_addresses) == 64
    wrongs: list[tuple[object, object]] = [
        ([], 0), ("all", 0), (peers[:3], 3), ([*peers, peers[0]], 0), (peers, True), (peers, None)
    ]  # fmt: skip
    for wrong, own in wrongs:
        with pytest.raises(ConfigError, match="peers|self_index"):
            settings_of(wrong, ("10.0.0.4", 7946), own)


def test_members_on_real_sockets_find_each_other_show_it_and_say_when_they_go(tmp_path: Path) -> None:
    world = World()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(4)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    *places, listener = [sock.getsockname() for sock in socks]
    for sock in socks[:3]:
        sock.close()
    plain = members(tmp_path)
    told = replace(plain, tell=listener, seed_addresses=tuple(places))
    group = [
        Membership(world.loop, replace(told, name=f"n{number}", listen=place, advertise=place))
        for number, place in enumerate(places, 1)
    ]
    assert world.run_until(lambda: all(peer.alive == 3 for peer in group), timedelta(seconds=5))
    assert {peer.standing for peer in group} == {Standing.MAJORITY}
    shown = group[0].view({})
    assert [line["name"] for line in shown["members"]] == ["n1", "n2", "n3"]  # type: ignore[attr-defined]
    assert group[0].view({"after": "n2"})["more"] is None
    views = [peer.view({})["view"] for peer in group]
    assert len({view["digest"] for view in views if isinstance(view, dict)}) == 1
    line = json.loads(socks[3].recv(65536))
    assert line["event"] in ("member", "standing") and line["n"] == 1

    before = COUNTERS["members.dropped.no_room"]
    group[0]._held.extend([(("127.0.0.1", 1), b"x")] * MAX_HELD)
    socks[3].sendto(b"noise", places[0])
    world.run(timedelta(milliseconds=20))
    assert COUNTERS["members.dropped.no_room"] > before

    plain_heard, faults = group[1].protocol.heard, COUNTERS["members.heard"]

    def bad(*_: object) -> list[Output]:
        group[1].protocol.heard = plain_heard  # type: ignore[method-assign]
        raise RuntimeError("bad")

    group[1].protocol.heard = bad  # type: ignore[method-assign,assignment]
    with pytest.raises(RuntimeError):  # a debug build stops there
        world.run(timedelta(seconds=2))
    world.run(timedelta(seconds=2))
    assert not group[1]._looking and COUNTERS["members.heard"] > faults, "a fault made it deaf"

    group[2].leave()
    assert world.run_until(lambda: group[0].alive == 2, timedelta(seconds=2))
    group[2].close()
    world.run(timedelta(seconds=20))
    assert {peer.standing for peer in group[:2]} == {Standing.MAJORITY}
    for peer in group[:2]:
        peer.close()
    socks[3].close()
