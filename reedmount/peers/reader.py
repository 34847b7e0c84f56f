"""The table ``[members]`` of an operator's file."""

from __future__ import annotations

from reedmount import __version__
from reedmount.config import ConfigError
from reedmount.members.quorum import Roster
from reedmount.members.settings import Timing
from reedmount.peers.settings import ROSTER_MOST, WAYS_MOST, PeerSettings, identity
from reedmount.sources.srv_reader import read_srv
from reedmount.tables import Table, numeric


def read_members(table: Table) -> PeerSettings:
    """Read and check it. Raises ConfigError naming the key."""
    name = table.get("name", str)
    listen = numeric(table.get("listen", str), f"{table.path}.listen")
    advertise = listen
    if table.has("advertise"):
        advertise = numeric(table.get("advertise", str), f"{table.path}.advertise")
    ways_in = table.texts("ways_in", [])
    if len(ways_in) > WAYS_MOST:
        raise ConfigError(f"{table.path}.ways_in: {len(ways_in)} addresses, {WAYS_MOST} at most")
    rosters = [_roster(table, "roster", "roster_version")]
    if table.has("previous_roster"):
        rosters.append(_roster(table, "previous_roster", "previous_version"))
        if rosters[1].version >= rosters[0].version:
            raise ConfigError(f"{table.path}.previous_version: not below roster_version")
    srv, names = table.table("srv"), None
    if table.has("srv"):
        names = read_srv(srv, None if ":" in listen[0] else f"{table.path}.listen to be one")
    srv.done()
    guest = table.get("guest", bool, False)
    if name not in rosters[0].names and not guest:
        raise ConfigError(f"{table.path}.roster: {name!r} is not in it, and guest is not true")
    plain = Timing()
    try:
        made = PeerSettings(
            name=name,
            group=table.get("group", str),
            listen=listen,
            advertise=advertise,
            ways_in=tuple(numeric(text, f"{table.path}.ways_in") for text in dict.fromkeys(ways_in)),
            rosters=tuple(rosters),
            zone=table.get("zone", str, ""),
            guests=table.get("guests", bool, True),
            tell=numeric(table.get("tell", str), f"{table.path}.tell") if table.has("tell") else None,
            srv=names,
            hearsay=table.seconds("hearsay_s", 8.0, 0.0, 60.0),
            build=identity(f"{__version__}{table.get('build', str, '')}"),
            timing=Timing(
                interval=table.span("interval_ms", 500, 20, 60_000),
                timeout=table.span("timeout_ms", 150, 5, 30_000),
                relays=table.amount("relays", int, plain.relays, 0, 8),
                alpha=table.amount("alpha", float, plain.alpha, 1.0, 100.0),
                beta=table.amount("beta", float, plain.beta, 1.0, 100.0),
                times=table.amount("times", int, plain.times, 1, 32),
                fanout=table.amount("fanout", int, plain.fanout, 1, 8),
                gossip=table.span("gossip_ms", 100, 5, 60_000),
                forget=table.seconds("forget_s", 600.0, 60.0, 86_400.0),
                dead_every=table.amount("dead_every", int, plain.dead_every, 1, 100),
                asked_at_last=table.amount("asked_at_last", int, plain.asked_at_last, 0, 16),
            ),
        )
        made.me(0)
    except ValueError as error:
        raise ConfigError(f"{table.path}: {error}") from None
    return made


def _roster(table: Table, key: str, version: str) -> Roster:
    names = table.texts(key, [])
    if not names:
        raise ConfigError(f"{table.path}.{key} is missing")
    if len(names) > ROSTER_MOST or len(set(names)) < len(names):
        raise ConfigError(f"{table.path}.{key}: a name stands twice, or there are more than {ROSTER_MOST}")
    return Roster(table.amount(version, int, 1, 0, 2**31), frozenset(names))
