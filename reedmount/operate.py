"""Builds the border controller of an operator's file: the SIP front, and one pool fed by its sources."""

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
SOURCE_PRIORITY = (BOARD, FIXED, ZONE, SRV)  # highest first, if they describe a server differently


class Sources:
    """All sources of call servers that the operator's file configures."""

    def __init__(self, loop: Loop, switch: Switch, config: OperatorConfig, seed: int) -> None:
        self._loop, self._config = loop, config
        self._rng = random.Random(seed)
        self.host = PoolHost(loop, switch, config.pool, SOURCE_PRIORITY)
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

    def update_settings(self, config: OperatorConfig) -> None:
        """Apply a reloaded and checked file. The zone file is read first, since it may be invalid."""
        records = load_zone(config.zone, config.origin) if config.zone is not None else None
        old, self._config = self._config, config
        if config.pool != old.pool:
            self.host.apply_settings(config.pool)
        if config.fixed:
            publish_fixed(self.host, config.fixed)
        else:
            self.host.drop(FIXED)
        self._apply_zone(config, records)
        if config.board != old.board:
            self._apply_board(config.board)
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

    def _apply_zone(self, config: OperatorConfig, zone: dns.zone.Zone | None) -> None:
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
        board_list = BoardList(BoardSource(self.host))
        board_list.start(0, [])
        self._board = Board(self._loop, address, board_list)

    def _apply_board(self, address: Address | None) -> None:
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
    """Build the node. Raises ConfigError, which names the key or the zone's line, or a listener's OSError."""
    config = read()
    seed = int.from_bytes(os.urandom(8), "big")
    node = Node(loop, config.settings, seed)
    front = SipFront(loop, node.switch, config.sip, seed)
    node.switch.attach(SipServers(front))
    try:
        sources = Sources(loop, node.switch, config, seed)
    except ZoneError as error:
        raise ConfigError(str(error)) from None
    front.first_choice = sources.host.first_choice
    membership = _open_membership(loop, node, config)
    if membership is not None:
        membership.on_change(lambda _: node.update_settings(_shared_settings(config.settings, membership)))
    replicas = _open_replicas(loop, node, front, membership, config)
    member_reports = _open_member_reports(sources.host, membership, config)
    views: dict[str, View] = {POOL: lambda query: sources.host.view(_page_offset(query))}
    if membership is not None:
        views[MEMBERS] = lambda query: {
            **membership.view(query), "shared_among": node.switch.settings.instances,
            "call_servers": None if member_reports is None else member_reports.view(),
        }  # fmt: skip
    if replicas is not None:
        replication, call_records = replicas
        views[COPIES], views[RECORDS] = lambda _: replication.view(), call_records.view
    node.open_admin_server(config.control, views)
    node.startup_line = (
        f"SIP served at {format_address(front.endpoint.address)}, "
        f"call servers from {_describe_sources(config)}"
    )
    node.retained = (front, sources, membership, member_reports, replicas)

    def reload_config() -> None:
        nonlocal config
        new_config = read()
        try:
            sources.update_settings(new_config)
        except ZoneError as error:
            raise ConfigError(str(error)) from None
        old, config = config, new_config
        node.update_settings(_shared_settings(config.settings, membership))
        front.settings = config.sip
        listeners = [
            (item.sip.listen, item.sip.listen6, item.sip.timers,
             item.updates and item.updates.listen, item.control)
            for item in (old, config)
        ]  # fmt: skip
        if (old.members, old.replicas) != (config.members, config.replicas):
            log("members and replicas take effect at the next start only")
        if listeners[0] != listeners[1]:
            log("sip.listen, timers, dns.update.listen and door.control take effect at the next start only")

    node.on_reload(reload_config)
    return node


def _open_membership(loop: Loop, node: Node, config: OperatorConfig) -> Membership | None:
    """Join the group, if the file names one; the shutdown is announced, so that no member need detect it."""
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


def _open_replicas(
    loop: Loop, node: Node, front: SipFront, membership: Membership | None, config: OperatorConfig
) -> tuple[Replication, CallRecords] | None:
    """Replicate call records among the members, if the file configures it."""
    if membership is None or config.members is None or config.replicas is None:
        return None
    from reedmount.peers.replication import Replication
    from reedmount.records.call_records import CallRecords
    from reedmount.store.faulty import disk_of
    from reedmount.store.frame import StoreError
    from reedmount.store.log import Log

    members, settings = config.members, config.replicas
    store: Log | None = None
    make_writer: Callable[[Callable[[int], None], Callable[[bool], None]], Writer] | None = None
    if settings.folder is not None:
        try:
            disk = disk_of(settings.folder, settings.disk_faults)
            store = Log(disk)
            opened = store.open()
        except (OSError, StoreError) as error:
            raise ConfigError(f"replicas.folder: {error}") from None
        log(f"the store has {len(store)} records; gaps {len(opened.gaps)}, torn {opened.torn} bytes")
        make_writer = partial(_build_writer, loop, store, disk, settings.sync)
    replication = Replication(
        loop,
        membership,
        members.name,
        members.group,
        members.listen,
        settings.faults,
        store,
        make_writer,
        settings.wait,
    )
    return replication, CallRecords(loop, node.switch, front, replication, members.name, settings.keep_for)


def _build_writer(
    loop: Loop, store: Log, disk: Disk, sync: bool,
    on_durable: Callable[[int], None], on_failing_changed: Callable[[bool], None],
) -> Writer:  # fmt: skip
    from reedmount.store.writer import Writer

    return Writer(loop, store, disk, sync, on_durable, on_failing_changed)


def _open_member_reports(
    host: PoolHost, membership: Membership | None, config: OperatorConfig
) -> MemberReports | None:
    """Exchange reports of call servers with the members, and hold back those seen draining or removed."""
    if membership is None or config.members is None or not config.members.max_report_hold:
        return None
    from reedmount.sources.member_reports import MemberReports

    cold = span(config.settings.cold_us)
    return MemberReports(host, membership, config.members.name, cold, config.members.max_report_hold)


def _shared_settings(settings: i.Settings, membership: Membership | None) -> i.Settings:
    """Settings that share the call servers among the live members, as long as there is a quorum."""
    if membership is None:
        return settings
    from reedmount.members.capacity_sharing import sharing_instances

    return replace(
        settings,
        instances=sharing_instances(settings.instances, membership.alive, membership.quorum_state.has_quorum),
    )


def _describe_sources(config: OperatorConfig) -> str:
    """The sources, for the startup line."""
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


def _page_offset(query: dict[str, str]) -> int:
    """The item after which the requested page starts; 0 if it is not a number."""
    text = query.get("after", "0")
    return int(text) if text.isdecimal() and len(text) < 9 else 0
