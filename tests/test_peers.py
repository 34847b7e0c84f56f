"""Membership: the ``[members]`` table, the platform's peers, datagrams on real sockets."""

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
from reedmount.members.quorum import QuorumState
from reedmount.operator_file import read_operator
from reedmount.peers.membership import MAX_QUEUED, Membership
from reedmount.peers.platform import membership_settings, read_peers
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


def test_shipped_file_has_the_default_settings(tmp_path: Path) -> None:
    shipped = members(tmp_path)
    needed = ("name = ", "group = ", "listen = ", "ways_in = ", "roster = ", "roster_version = ")
    head, _, rest = FILE.partition("\n[members]\n")
    table, _, classes = rest.partition("[[class]]")
    required = [line for line in table.splitlines() if line.startswith(needed)]
    text = "\n".join([head, "[members]", *required, "[[class]]" + classes])
    (tmp_path / "bare.toml").write_text(text)
    assert read_operator(tmp_path / "bare.toml").members == shipped
    assert shipped.voter_sets[0].majority == 2 and shipped.advertise == shipped.listen


@pytest.mark.parametrize(
    ("old", "new", "message"),
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
def test_invalid_settings_are_refused_naming_the_key(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    with pytest.raises(ConfigError, match=message.replace("[", r"\[")):
        members(tmp_path, old, new)


def test_seed_addresses_may_come_from_srv_names(tmp_path: Path) -> None:
    table = '[members.srv]\nnames = ["_members._udp.Calls.example"]\nname_servers = ["127.0.0.1:53"]\n'
    found = members(tmp_path, "[[class]]", f"{table}[[class]]").srv
    assert found is not None and found.names == (("_members._udp.calls.example.", "udp"),)
    ipv6_table = table + "ipv6 = true\n[[class]]"
    with pytest.raises(ConfigError, match="members.srv.ipv6 needs members.listen"):
        members(tmp_path, "[[class]]", ipv6_table)


def test_platform_peers_are_members_named_by_index(tmp_path: Path) -> None:
    """Only if the settings allow it; the advertised address is the one in ``peers``, not ``peer_listen``."""
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
    invalid_peers: list[tuple[object, object]] = [
        ([], 0), ("all", 0), (peers[:3], 3), ([*peers, peers[0]], 0), (peers, True), (peers, None)
    ]  # fmt: skip
    for invalid, index in invalid_peers:
        with pytest.raises(ConfigError, match="peers|self_index"):
            membership_settings(invalid, ("10.0.0.4", 7946), index)


def test_members_on_real_sockets_join_report_and_leave(tmp_path: Path) -> None:
    world = World()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(4)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    *addresses, listener = [sock.getsockname() for sock in socks]
    for sock in socks[:3]:
        sock.close()
    defaults = members(tmp_path)
    configured = replace(defaults, event_address=listener, seed_addresses=tuple(addresses))
    group = [
        Membership(world.loop, replace(configured, name=f"n{number}", listen=address, advertise=address))
        for number, address in enumerate(addresses, 1)
    ]
    assert world.run_until(lambda: all(peer.alive == 3 for peer in group), timedelta(seconds=5))
    assert {peer.quorum_state for peer in group} == {QuorumState.MAJORITY}
    shown = group[0].view({})
    assert [line["name"] for line in shown["members"]] == ["n1", "n2", "n3"]  # type: ignore[attr-defined]
    assert group[0].view({"after": "n2"})["more"] is None
    views = [peer.view({})["view"] for peer in group]
    assert len({view["digest"] for view in views if isinstance(view, dict)}) == 1
    line = json.loads(socks[3].recv(65536))
    assert line["event"] in ("member", "standing") and line["n"] == 1

    before = COUNTERS["members.dropped.no_room"]
    group[0]._received.extend([(("127.0.0.1", 1), b"x")] * MAX_QUEUED)
    socks[3].sendto(b"noise", addresses[0])
    world.run(timedelta(milliseconds=20))
    assert COUNTERS["members.dropped.no_room"] > before

    original_heard, received_before = group[1].protocol.datagram_received, COUNTERS["members.heard"]

    def failing(*_: object) -> list[Output]:
        group[1].protocol.datagram_received = original_heard  # type: ignore[method-assign]
        raise RuntimeError("bad")

    group[1].protocol.datagram_received = failing  # type: ignore[method-assign,assignment]
    with pytest.raises(RuntimeError):  # a debug build raises it
        world.run(timedelta(seconds=2))
    world.run(timedelta(seconds=2))
    assert not group[1]._processing and COUNTERS["members.heard"] > received_before, (
        "an exception stopped the processing of datagrams"
    )

    group[2].leave()
    assert world.run_until(lambda: group[0].alive == 2, timedelta(seconds=2))
    group[2].close()
    world.run(timedelta(seconds=20))
    assert {peer.quorum_state for peer in group[:2]} == {QuorumState.MAJORITY}
    for peer in group[:2]:
        peer.close()
    socks[3].close()
