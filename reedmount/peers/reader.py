"""The ``[members]`` table of an operator's configuration file."""

from __future__ import annotations

from reedmount import __version__
from reedmount.config import ConfigError
from reedmount.members.quorum import VoterSet
from reedmount.members.settings import Timing
from reedmount.peers.settings import MAX_SEED_ADDRESSES, MAX_VOTERS, MembershipSettings, fingerprint
from reedmount.sources.srv_reader import read_srv
from reedmount.tables import Table, numeric


def read_members(table: Table) -> MembershipSettings:
    """Reads and checks the table. Raises ConfigError naming the key."""
    name = table.get("name", str)
    listen = numeric(table.get("listen", str), f"{table.path}.listen")
    advertise = listen
    if table.has("advertise"):
        advertise = numeric(table.get("advertise", str), f"{table.path}.advertise")
    seed_addresses = table.texts("ways_in", [])
    if len(seed_addresses) > MAX_SEED_ADDRESSES:
        raise ConfigError(
            f"{table.path}.ways_in: {len(seed_addresses)} addresses, {MAX_SEED_ADDRESSES} at most"
        )
    voter_sets = [_voters(table, "roster", "roster_version")]
    if table.has("previous_roster"):
        voter_sets.append(_voters(table, "previous_roster", "previous_version"))
        if voter_sets[1].version >= voter_sets[0].version:
            raise ConfigError(f"{table.path}.previous_version: not below roster_version")
    srv, names = table.table("srv"), None
    if table.has("srv"):
        names = read_srv(srv, None if ":" in listen[0] else f"{table.path}.listen to be one")
    srv.done()
    is_nonvoter = table.get("guest", bool, False)
    if name not in voter_sets[0].names and not is_nonvoter:
        raise ConfigError(f"{table.path}.roster: {name!r} is not in it, and guest is not true")
    defaults = Timing()
    try:
        settings = MembershipSettings(
            name=name,
            group=table.get("group", str),
            listen=listen,
            advertise=advertise,
            seed_addresses=tuple(
                numeric(text, f"{table.path}.ways_in") for text in dict.fromkeys(seed_addresses)
            ),
            voter_sets=tuple(voter_sets),
            zone=table.get("zone", str, ""),
            nonvoters=table.get("guests", bool, True),
            event_address=numeric(table.get("tell", str), f"{table.path}.tell")
            if table.has("tell")
            else None,
            srv=names,
            max_report_hold=table.seconds("hearsay_s", 8.0, 0.0, 60.0),
            build=fingerprint(f"{__version__}{table.get('build', str, '')}"),
            timing=Timing(
                interval=table.span("interval_ms", 500, 20, 60_000),
                timeout=table.span("timeout_ms", 150, 5, 30_000),
                relays=table.amount("relays", int, defaults.relays, 0, 8),
                alpha=table.amount("alpha", float, defaults.alpha, 1.0, 100.0),
                beta=table.amount("beta", float, defaults.beta, 1.0, 100.0),
                times=table.amount("times", int, defaults.times, 1, 32),
                fanout=table.amount("fanout", int, defaults.fanout, 1, 8),
                gossip=table.span("gossip_ms", 100, 5, 60_000),
                forget=table.seconds("forget_s", 600.0, 60.0, 86_400.0),
                dead_every=table.amount("dead_every", int, defaults.dead_every, 1, 100),
                asked_at_last=table.amount("asked_at_last", int, defaults.asked_at_last, 0, 16),
            ),
        )
        settings.own_record(0)
    except ValueError as error:
        raise ConfigError(f"{table.path}: {error}") from None
    return settings


def _voters(table: Table, key: str, version: str) -> VoterSet:
    names = table.texts(key, [])
    if not names:
        raise ConfigError(f"{table.path}.{key} is missing")
    if len(names) > MAX_VOTERS or len(set(names)) < len(names):
        raise ConfigError(f"{table.path}.{key}: a name stands twice, or there are more than {MAX_VOTERS}")
    return VoterSet(table.amount(version, int, 1, 0, 2**31), frozenset(names))
