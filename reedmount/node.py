"""A running border controller: the core, its module, a front, and what joins them."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path

from reedmount import interface as i
from reedmount.config import ConfigError, Platform
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import span
from reedmount.core.lifecycle import Need, Phase
from reedmount.core.shutdown import earliest_kill
from reedmount.core.switch import Switch
from reedmount.fronts.admin import ADMIN_SOCKETS, AdminServer, View
from reedmount.fronts.board import Board, BoardList
from reedmount.fronts.call_servers import CallServers
from reedmount.fronts.handover import HandoverMessage, SuccessorListener, request_listener
from reedmount.fronts.platform import Callers
from reedmount.fronts.server_connection import ConnectionLimits
from reedmount.net.connection import Address, format_address
from reedmount.net.loop import Loop

STILL_COMING = timedelta(milliseconds=800)  # after SIGTERM, connections and requests come for a while
NEWS_WAIT = timedelta(seconds=2)  # for the board, where another process has served until now
LOOK_AGAIN = timedelta(milliseconds=200)
LOOK_BEFORE_KILL = timedelta(milliseconds=10)
OWN_SOCKETS = 16  # for all but callers, call servers and the door
SUCCESSOR_SOCKETS = 24  # that a successor holds before it is ready
SERVER_SOCKETS = 48  # to call servers; of few descriptors a quarter


class Node:
    """The parts of a running border controller: the core, its module and one of the two fronts."""

    def __init__(self, loop: Loop, settings: i.Settings, seed: int) -> None:
        self._loop = loop
        self.switch = Switch(loop, settings, seed)
        self._callers: Callers | None = None
        self.admin_server: AdminServer | None = None
        self._lifecycle = self.switch.lifecycle
        self._took = self._successors_open = False
        self._reread: Callable[[], None] = lambda: None
        self._handed: list[Callable[[bool], None]] = []
        self.where = ""
        self.parts: object = None  # what lives as long as it does

    @classmethod
    def on_platform(cls, loop: Loop, read: Callable[[], Platform]) -> Node:
        """The platform's thin front and its notice board."""
        config = read()
        made = cls(loop, config.settings, config.seed)
        lanes = min(SERVER_SOCKETS, config.sockets // 4)
        limits = ConnectionLimits(config.connect_wait, config.idle_wait, config.sockets // 2)
        servers = CallServers(loop, made.switch, limits, lanes)
        made.switch.attach(servers)
        pool = BoardList(made.switch)
        found = request_listener(config.handover, config.listen) if config.handover is not None else None
        if found is not None:
            made._lifecycle.require(Need.LIST_UPDATE)  # until now another process heard of it
        pool.start(config.known_last, config.known)
        given, predecessor = found or (None, None)
        callers = made._callers = Callers(
            loop, made.switch, config.listen, room_for_callers(config), given, config.sockets
        )
        servers.has_untold_release = callers.has_untold_release
        made.on_end(lambda: made._schedule_end(servers))
        if predecessor is not None:
            made._succeed(callers, predecessor)
        made.open_admin_server(config.control)
        made.where = f"{config.name} serves at {format_address(callers.address)}"
        news = (lambda: made._lifecycle.satisfy(Need.LIST_UPDATE)) if found is not None else None
        board = Board(loop, config.board, pool, news)
        if config.handover is not None:
            made._wait_for_successor(callers, config.handover)

        def reread() -> None:
            nonlocal config
            old, config = config, read().follows(config)
            made.settle(config.settings)
            limits.connect_wait, limits.idle_wait = config.connect_wait, config.idle_wait
            limits.max_connections = config.sockets // 2
            callers.max_connections, callers.descriptors = room_for_callers(config), config.sockets
            pool.take(config.known_last, config.known)
            if config.board != old.board:
                board.move(config.board)
            if (config.listen, config.name, config.control) != (old.listen, old.name, old.control):
                log("listen, control and name are taken at the next start only")

        made._reread = reread
        return made

    def _succeed(self, callers: Callers, predecessor: socket.socket) -> None:
        """Take the clients of another process once this one is ready, and tell it so."""
        log("a predecessor has given its listener")
        callers.handover_peer.join(predecessor)

        def ready() -> None:
            if self._lifecycle.ready and not self._took:
                self._took = True
                callers.listener.start()
                callers.handover_peer.notify("ready")

        self._lifecycle.on_change(ready)
        self._loop.call_later(NEWS_WAIT, lambda: self._lifecycle.satisfy(Need.LIST_UPDATE))

    def _wait_for_successor(self, callers: Callers, folder: Path) -> None:
        """Give the listener to a successor that asks for it, and the clients once it is ready."""

        def joined(successor: socket.socket) -> None:
            callers.reserve = SUCCESSOR_SOCKETS
            callers.handover_peer.join(successor)

        def lost() -> None:
            log("the other process is gone")
            taken = self._lifecycle.superseded and self._lifecycle.phase is not Phase.ENDING
            callers.take_back()
            if taken:
                successors.open()
                self._hand(False)

        def hand_over(_: HandoverMessage) -> None:
            callers.hand_over()
            self._hand(True)

        successors = SuccessorListener(self._loop, folder, callers.listener.sock, joined)
        callers.handover_peer.on("ready", hand_over)
        callers.handover_peer.on_lost = lost

        def when_ready() -> None:
            if self._lifecycle.ready and not self._successors_open:
                self._successors_open = True
                successors.open()

        self._lifecycle.on_change(when_ready)
        when_ready()

    def on_hand_over(self, tell: Callable[[bool], None]) -> None:
        """Hear that another process has the clients from now on, or (False) that it died and we have them."""
        self._handed.append(tell)

    def on_end(self, tell: Callable[[], None]) -> None:
        """Hear that the end has begun."""

        def changed() -> None:
            if self._lifecycle.phase is Phase.ENDING:
                tell()

        self._lifecycle.on_change(changed)

    def _schedule_end(self, servers: CallServers) -> None:
        """What was taken before the end began may be owed an answer later than there is time for."""
        shutdown = self._lifecycle.shutdown
        if shutdown is None:
            return
        self._loop.call_at(shutdown.answer_by, self.switch.answer_all_pending)
        if shutdown.probe_at is not None and shutdown.close_at is not None:
            self._loop.call_at(shutdown.probe_at, servers.probe_servers)
            self._loop.call_at(shutdown.close_at, servers.drop_silent_servers)

    def _hand(self, to_another: bool) -> None:
        for tell in self._handed:
            tell(to_another)

    def open_admin_server(self, address: Address | None, views: Mapping[str, View] | None = None) -> None:
        """Listen for operators, where the configuration says so."""
        if address is not None:
            self.admin_server = AdminServer(
                self._loop, address, self._lifecycle, lambda: self.switch.call_counts, views
            )
            log(f"the door is at {format_address(self.admin_server.address)}")

    def on_reload(self, reread: Callable[[], None]) -> None:
        """What SIGHUP does: it raises ConfigError and leaves all as it was, or takes the whole."""
        self._reread = reread

    def settle(self, settings: i.Settings) -> None:
        """Go by other settings of the module, where they are others."""
        if settings != self.switch.settings:
            self.switch.apply_settings(settings)

    def reload(self) -> None:
        """Read the configuration again; it is taken whole, or one line says what is wrong with it."""
        try:
            self._reread()
        except ConfigError as error:
            COUNTERS.add("reload.refused")
            log(f"configuration kept as it was: {error}")
        else:
            COUNTERS.add("reload.taken")
            log("configuration read again")
            self._loop.trace("reload.taken", classes=len(self.switch.settings.classes))

    def signalled(self, number: int) -> None:
        """SIGUSR1 prints the counters, SIGHUP reads the configuration; the others end it when all is done."""
        if number == signal.SIGUSR1:
            log(f"counters: {COUNTERS.text()}")
        elif number == signal.SIGHUP:
            self.reload()
        elif self._lifecycle.phase is not Phase.ENDING:
            log("stopping: answering what still comes")
            self._lifecycle.end(self._kill_after())
            self._loop.call_later(STILL_COMING, self._end_when_done)

    def _kill_after(self) -> timedelta | None:
        """How long after SIGTERM it may be killed; None for SIP, or where another process has clients."""
        if self._callers is None or self._callers.handed_over:
            return None
        return earliest_kill(max(span(kind.give_up_us) for kind in self.switch.classes.values()))

    def _end_when_done(self) -> None:
        if self._done():
            self._loop.stopped = True
        else:
            shutdown = self._lifecycle.shutdown
            killed = shutdown is not None and shutdown.kill_at is not None
            self._loop.call_later(LOOK_BEFORE_KILL if killed else LOOK_AGAIN, self._end_when_done)

    def _done(self) -> bool:
        """Whether nothing is left to do, or no time to do it."""
        shutdown = self._lifecycle.shutdown
        if shutdown is not None and shutdown.is_past_deadline(self._loop.clock.now()):
            return True
        if self._callers is None:
            return self.switch.is_idle
        if shutdown is None or shutdown.kill_at is None:
            return self.switch.is_idle and self._callers.is_idle
        left = self.switch.unanswered or not self._callers.all_clients_gone
        return not left and (self.switch.is_idle or shutdown.closes_all_connections(self._loop.clock.now()))


def room_for_callers(config: Platform) -> int:
    """How many connections callers may have."""
    lanes = min(SERVER_SOCKETS, config.sockets // 4)
    return config.sockets - OWN_SOCKETS - lanes - (ADMIN_SOCKETS if config.control is not None else 0)
