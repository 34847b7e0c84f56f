"""The border controller of an operator's file: the SIP front, and one pool from the sources it names."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import dns.zone

from reedmount import interface as i
from reedmount.config import ConfigError
from reedmount.core.checks import log
from reedmount.core.clock import span
from reedmount.core.switch import Switch
from reedmount.dns.server import UpdateServer
from reedmount.dns.update import Master
from reedmount.dns.zone import ZoneError, load_zone
from reedmount.fronts.admin import View
from reedmount.fronts.board import Board, BoardList
from reedmount.fronts.sip import SipFront
from reedmount.fronts.sip_servers import SipServers
from reedmount.net.connection import Address, format_address
from reedmount.net.loop import Loop
from reedmount.node import Node
from reedmount.operator_file import OperatorConfig
from reedmount.sources.lists import BOARD, FIXED, ZONE, BoardSource, ZoneSource, publish_fixed
from reedmount.sources.pool_host import PoolHost
from reedmount.sources.srv import NAME as SRV
from reedmount.sources.srv import SrvSource

if TYPE_CHECKING:
    from reedmount.peers.membership import Membership
    from reedmount.peers.replication import Replication
    from reedmount.records.call_records import CallRecords
    from reedmount.sources.member_reports import MemberReports
    from reedmount.store.disk import Disk
    from reedmount.store.log import Log
    from reedmount.store.writer import Writer

POOL, MEMBERS, COPIES, RECORDS = "/admin/pool", "/admin/members", "/admin/copies", "/admin/records"
SOURCES = (BOARD, FIXED, ZONE, SRV)  # in this order where they name a server differently


class Sources:
    """All that tells of call servers, as the file has it now."""

    def __init__(self, loop: Loop, switch: Switch, config: OperatorConfig, seed: int) -> None:
        self._loop, self._config = loop, config
        self._rng = random.Random(seed)
        self.host = PoolHost(loop, switch, config.pool, SOURCES)
        self._master: Master | None = None
        self._zone: ZoneSource | None = None
        self._srv: SrvSource | None = None
        self._board: Board | None = None
        self.updates: UpdateServer | None = None
        if config.fixed:
            publish_fixed(self.host, config.fixed)
        if config.zone is not None:
            self._open_zone(config, load_zone(config.zone, config.origin))
        if config.board is not None:
            self._open_board(config.board)
        if config.srv is not None:
            self._open_srv(config)

    def settle(self, config: OperatorConfig) -> None:
        """The file has been read again. All of it is checked by now; the zone's file is read first."""
        records = load_zone(config.zone, config.origin) if config.zone is not None else None
        old, self._config = self._config, config
        if config.pool != old.pool:
            self.host.apply_settings(config.pool)
        if config.fixed:
            publish_fixed(self.host, config.fixed)
        else:
            self.host.drop(FIXED)
        self._settle_zone(config, records)
        if config.board != old.board:
            self._settle_board(config.board)
        if self._srv is None and config.srv is not None:
            self._open_srv(config)
        elif self._srv is not None and config.srv is not None:
            self._srv.apply_settings(config.srv)
        elif self._srv is not None:
            self._srv.close()
            self._srv = None
            for part in list(self.host.pool.sources[SRV].parts):
                self.host.drop(SRV, part)

    # --- the sources ---

    def _open_zone(self, config: OperatorConfig, zone: dns.zone.Zone) -> None:
        self._zone = ZoneSource(
            self.host, zone, config.transports, config.zone if config.write_back else None
        )
        self._zone.start()
        if config.updates is not None and self.updates is None:
            self._master = Master(zone, config.updates.policy, self._zone.changed)
            self.updates = UpdateServer(self._loop, config.updates.listen, self._master)

    def _settle_zone(self, config: OperatorConfig, zone: dns.zone.Zone | None) -> None:
        if zone is None:
            self.host.drop(ZONE)
            self._zone = None
            return
        if self._zone is None:
            self._open_zone(config, zone)
            return
        self._zone.reload(zone, config.transports, config.zone if config.write_back else None)
        if self._master is not None and config.updates is not None:
            self._master.reload(zone, config.updates.policy)

    def _open_board(self, address: Address) -> None:
        listed = BoardList(BoardSource(self.host))
        listed.start(0, [])
        self._board = Board(self._loop, address, listed)

    def _settle_board(self, address: Address | None) -> None:
        if address is None:
            if self._board is not None:
                self._board.close()
                self._board = None
            self.host.drop(BOARD)
        elif self._board is None:
            self._open_board(address)
        else:
            self._board.move(address)

    def _open_srv(self, config: OperatorConfig) -> None:
        if config.srv is not None:
            self._srv = SrvSource(self._loop, self.host, config.srv, self._rng)
            self._srv.start()


def serve_sip(loop: Loop, read: Callable[[], OperatorConfig]) -> Node:
    """Build it. Raises ConfigError, which names the key or the zone's line, and OSError of a listener."""
    config = read()
    seed = int.from_bytes(os.urandom(8), "big")
    made = Node(loop, config.settings, seed)
    front = SipFront(loop, made.switch, config.sip, seed)
    made.switch.attach(SipServers(front))
    try:
        sources = Sources(loop, made.switch, config, seed)
    except ZoneError as error:
        raise ConfigError(str(error)) from None
    front.first_choice = sources.host.first_choice
    membership = _open_peers(loop, made, config)
    if membership is not None:
        membership.on_change(lambda _: made.settle(_shared(config.settings, membership)))
    copies = _open_copies(loop, made, front, membership, config)
    hearsay = _open_hearsay(sources.host, membership, config)
    views: dict[str, View] = {POOL: lambda query: sources.host.view(_after(query))}
    if membership is not None:
        views[MEMBERS] = lambda query: {
            **membership.view(query), "shared_among": made.switch.settings.instances,
            "call_servers": None if hearsay is None else hearsay.view(),
        }  # fmt: skip
    if copies is not None:
        held, keeper = copies
        views[COPIES], views[RECORDS] = lambda _: held.view(), keeper.view
    made.open_admin_server(config.control, views)
    made.where = f"SIP served at {format_address(front.endpoint.address)}, call servers from {_named(config)}"
    made.parts = (front, sources, membership, hearsay, copies)

    def reread() -> None:
        nonlocal config
        fresh = read()
        try:
            sources.settle(fresh)
        except ZoneError as error:
            raise ConfigError(str(error)) from None
        old, config = config, fresh
        made.settle(_shared(config.settings, membership))
        front.settings = config.sip
        places = [
            (item.sip.listen, item.sip.listen6, item.sip.timers,
             item.updates and item.updates.listen, item.control)
            for item in (old, config)
        ]  # fmt: skip
        if (old.members, old.replicas) != (config.members, config.replicas):
            log("members and replicas are taken at the next start only")
        if places[0] != places[1]:
            log("sip.listen, timers, dns.update.listen and door.control are taken at the next start only")

    made.on_reload(reread)
    return made


def _open_peers(loop: Loop, node: Node, config: OperatorConfig) -> Membership | None:
    """Be a member of the group, where the file names one; at our end say so: nobody has to find out."""
    if config.members is None:
        return None
    from reedmount.peers.membership import Membership

    membership = Membership(loop, config.members)
    log(f"member {config.members.name} of {config.members.group} at {format_address(membership.address)}")
    node.on_end(membership.leave)
    if config.members.srv is not None:
        from reedmount.peers.seed_discovery import SeedDiscovery

        membership.seed_discovery = SeedDiscovery(
            loop, membership, config.members.srv, random.Random(os.urandom(8))
        )
    return membership


def _open_copies(
    loop: Loop, node: Node, front: SipFront, membership: Membership | None, config: OperatorConfig
) -> tuple[Replication, CallRecords] | None:
    """Hold what is promised of calls for others, and others' for them, where the file says so."""
    if membership is None or config.members is None or config.replicas is None:
        return None
    from reedmount.peers.replication import Replication
    from reedmount.records.call_records import CallRecords
    from reedmount.store.faulty import disk_of
    from reedmount.store.frame import StoreError
    from reedmount.store.log import Log

    members, wanted = config.members, config.replicas
    store: Log | None = None
    make: Callable[[Callable[[int], None], Callable[[bool], None]], Writer] | None = None
    if wanted.folder is not None:
        try:
            disk = disk_of(wanted.folder, wanted.disk_faults)
            store = Log(disk)
            opened = store.open()
        except (OSError, StoreError) as error:
            raise ConfigError(f"replicas.folder: {error}") from None
        log(f"the store has {len(store)} records; gaps {len(opened.gaps)}, torn {opened.torn} bytes")
        make = partial(_writer, loop, store, disk, wanted.sync)
    replication = Replication(
        loop, membership, members.name, members.group, members.listen, wanted.faults, store, make, wanted.wait
    )
    return replication, CallRecords(loop, node.switch, front, replication, members.name, wanted.keep_for)


def _writer(
    loop: Loop, store: Log, disk: Disk, sync: bool,
    durable: Callable[[int], None], trouble: Callable[[bool], None],
) -> Writer:  # fmt: skip
    from reedmount.store.writer import Writer

    return Writer(loop, store, disk, sync, durable, trouble)


def _open_hearsay(
    host: PoolHost, membership: Membership | None, config: OperatorConfig
) -> MemberReports | None:
    """Tell others what our sources say of call servers; be careful with those that others saw leave."""
    if membership is None or config.members is None or not config.members.max_report_hold:
        return None
    from reedmount.sources.member_reports import MemberReports

    cold = span(config.settings.cold_us)
    return MemberReports(host, membership, config.members.name, cold, config.members.max_report_hold)


def _shared(settings: i.Settings, membership: Membership | None) -> i.Settings:
    """Settings that share the call servers among as many as the view has, where it is sure."""
    if membership is None:
        return settings
    from reedmount.members.capacity_sharing import sharing_instances

    return replace(
        settings,
        instances=sharing_instances(settings.instances, membership.alive, membership.quorum_state.has_quorum),
    )


def _named(config: OperatorConfig) -> str:
    """The sources, for the line at the start."""
    parts = []
    if config.board is not None:
        parts.append(f"the list at {format_address(config.board)}")
    if config.fixed:
        parts.append(f"{len(config.fixed)} in the file")
    if config.zone is not None:
        parts.append(f"zone {config.origin or config.zone.name}")
    if config.srv is not None:
        parts.append(", ".join(name for name, _ in config.srv.names))
    return "; ".join(parts)


def _after(query: dict[str, str]) -> int:
    """The page that is asked for; what is no number is the first."""
    text = query.get("after", "0")
    return int(text) if text.isdecimal() and len(text) < 9 else 0
