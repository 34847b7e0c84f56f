"""A running border controller: connects the core, its decision module and a front."""

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

QUIET_PERIOD = timedelta(milliseconds=800)  # after SIGTERM, connections and requests still arrive for a while
LIST_UPDATE_TIMEOUT = timedelta(seconds=2)  # for the board's list, after taking over from another process
END_CHECK_INTERVAL = timedelta(milliseconds=200)
END_CHECK_INTERVAL_BEFORE_KILL = timedelta(milliseconds=10)
OWN_SOCKETS = 16  # for all but callers, call servers and the admin interface
SUCCESSOR_SOCKETS = 24  # that a successor uses before it is ready
SERVER_SOCKETS = 48  # for call servers; at most a quarter of all sockets


class Node:
    """The parts of a running border controller: the core, its decision module and one of the two fronts."""

    def __init__(self, loop: Loop, settings: i.Settings, seed: int) -> None:
        self._loop = loop
        self.switch = Switch(loop, settings, seed)
        self._callers: Callers | None = None
        self.admin_server: AdminServer | None = None
        self._lifecycle = self.switch.lifecycle
        self._took_over = self._successors_open = False
        self._reload_config: Callable[[], None] = lambda: None
        self._handover_callbacks: list[Callable[[bool], None]] = []
        self.startup_line = ""
        self.retained: object = None  # keeps objects alive that need no other reference

    @classmethod
    def on_platform(cls, loop: Loop, read: Callable[[], Platform]) -> Node:
        """Build a node with the platform's thin front and its notice board."""
        config = read()
        node = cls(loop, config.settings, config.seed)
        server_sockets = min(SERVER_SOCKETS, config.sockets // 4)
        limits = ConnectionLimits(config.connect_wait, config.idle_wait, config.sockets // 2)
        servers = CallServers(loop, node.switch, limits, server_sockets)
        node.switch.attach(servers)
        pool = BoardList(node.switch)
        inherited = request_listener(config.handover, config.listen) if config.handover is not None else None
        if inherited is not None:
            node._lifecycle.require(Need.LIST_UPDATE)  # the other process received the updates until now
        pool.start(config.known_revision, config.known)
        listener_socket, predecessor = inherited or (None, None)
        callers = node._callers = Callers(
            loop, node.switch, config.listen, max_caller_connections(config), listener_socket, config.sockets
        )
        servers.has_unsent_release = callers.has_unsent_release
        node.on_end(lambda: node._schedule_end(servers))
        if predecessor is not None:
            node._take_over_from(callers, predecessor)
        node.open_admin_server(config.control)
        node.startup_line = f"{config.name} serves at {format_address(callers.address)}"
        on_update = (lambda: node._lifecycle.satisfy(Need.LIST_UPDATE)) if inherited is not None else None
        board = Board(loop, config.board, pool, on_update)
        if config.handover is not None:
            node._wait_for_successor(callers, config.handover)

        def reload_config() -> None:
            nonlocal config
            old, config = config, read().checked_against(config)
            node.update_settings(config.settings)
            limits.connect_wait, limits.idle_wait = config.connect_wait, config.idle_wait
            limits.max_connections = config.sockets // 2
            callers.max_connections, callers.descriptors = max_caller_connections(config), config.sockets
            pool.take(config.known_revision, config.known)
            if config.board != old.board:
                board.move(config.board)
            if (config.listen, config.name, config.control) != (old.listen, old.name, old.control):
                log("listen, control and name take effect at the next start only")

        node._reload_config = reload_config
        return node

    def _take_over_from(self, callers: Callers, predecessor: socket.socket) -> None:
        """Take over the clients of another process once this one is ready, and notify it of that."""
        log("a predecessor has given its listener")
        callers.handover_peer.join(predecessor)

        def ready() -> None:
            if self._lifecycle.ready and not self._took_over:
                self._took_over = True
                callers.listener.start()
                callers.handover_peer.notify("ready")

        self._lifecycle.on_change(ready)
        self._loop.call_later(LIST_UPDATE_TIMEOUT, lambda: self._lifecycle.satisfy(Need.LIST_UPDATE))

    def _wait_for_successor(self, callers: Callers, folder: Path) -> None:
        """Give the listener to a successor that requests it, and the clients once the successor is ready."""

        def joined(successor: socket.socket) -> None:
            callers.reserve = SUCCESSOR_SOCKETS
            callers.join(successor)

        def lost() -> None:
            log("the other process is gone")
            was_superseded = self._lifecycle.superseded and self._lifecycle.phase is not Phase.ENDING
            callers.take_back()
            if was_superseded:
                successors.open()
                self._notify_handover(False)

        def hand_over(_: HandoverMessage) -> None:
            callers.hand_over()
            self._notify_handover(True)

        successors = SuccessorListener(self._loop, folder, callers.listener.sock, joined)
        callers.handover_peer.on("ready", hand_over)
        callers.handover_peer.on_lost = lost

        def when_ready() -> None:
            if self._lifecycle.ready and not self._successors_open:
                self._successors_open = True
                successors.open()

        self._lifecycle.on_change(when_ready)
        when_ready()

    def on_hand_over(self, callback: Callable[[bool], None]) -> None:
        """Call back when another process takes over the clients (True), or dies and returns them (False)."""
        self._handover_callbacks.append(callback)

    def on_end(self, callback: Callable[[], None]) -> None:
        """Call back when the shutdown has begun."""

        def changed() -> None:
            if self._lifecycle.phase is Phase.ENDING:
                callback()

        self._lifecycle.on_change(changed)

    def _schedule_end(self, servers: CallServers) -> None:
        """Schedule final answers and probes: some answers would be due only after the process is killed."""
        shutdown = self._lifecycle.shutdown
        if shutdown is None:
            return
        self._loop.call_at(shutdown.answer_by, self.switch.answer_all_pending)
        if shutdown.probe_at is not None and shutdown.close_at is not None:
            self._loop.call_at(shutdown.probe_at, servers.probe_servers)
            self._loop.call_at(shutdown.close_at, servers.drop_silent_servers)

    def _notify_handover(self, to_another: bool) -> None:
        for callback in self._handover_callbacks:
            callback(to_another)

    def open_admin_server(self, address: Address | None, views: Mapping[str, View] | None = None) -> None:
        """Open the admin interface, if an address is configured."""
        if address is not None:
            self.admin_server = AdminServer(
                self._loop, address, self._lifecycle, lambda: self.switch.call_counts, views
            )
            log(f"the door is at {format_address(self.admin_server.address)}")

    def on_reload(self, reload_config: Callable[[], None]) -> None:
        """Set what SIGHUP does: apply the whole configuration, or raise ConfigError and change nothing."""
        self._reload_config = reload_config

    def update_settings(self, settings: i.Settings) -> None:
        """Apply settings of the decision module, if they differ from the present ones."""
        if settings != self.switch.settings:
            self.switch.apply_settings(settings)

    def reload(self) -> None:
        """Reload the configuration; it is applied as a whole, or one line logs what is wrong with it."""
        try:
            self._reload_config()
        except ConfigError as error:
            COUNTERS.add("reload.refused")
            log(f"configuration kept as it was: {error}")
        else:
            COUNTERS.add("reload.taken")
            log("configuration read again")
            self._loop.trace("reload.taken", classes=len(self.switch.settings.classes))

    def handle_signal(self, number: int) -> None:
        """SIGUSR1 logs the counters, SIGHUP reloads the configuration, others stop the node when done."""
        if number == signal.SIGUSR1:
            log(f"counters: {COUNTERS.text()}")
        elif number == signal.SIGHUP:
            self.reload()
        elif self._lifecycle.phase is not Phase.ENDING:
            log("stopping: answering requests that still arrive")
            self._lifecycle.end(self._kill_after())
            self._loop.call_later(QUIET_PERIOD, self._end_when_done)

    def _kill_after(self) -> timedelta | None:
        """How long after SIGTERM it may be killed; None for SIP, or if another process has the clients."""
        if self._callers is None or self._callers.handed_over:
            return None
        return earliest_kill(max(span(kind.give_up_us) for kind in self.switch.classes.values()))

    def _end_when_done(self) -> None:
        if self._is_done():
            self._loop.stopped = True
        else:
            shutdown = self._lifecycle.shutdown
            killed = shutdown is not None and shutdown.kill_at is not None
            self._loop.call_later(
                END_CHECK_INTERVAL_BEFORE_KILL if killed else END_CHECK_INTERVAL, self._end_when_done
            )

    def _is_done(self) -> bool:
        """Whether nothing is pending, or the deadline has passed."""
        shutdown = self._lifecycle.shutdown
        if shutdown is not None and shutdown.is_past_deadline(self._loop.clock.now()):
            return True
        if self._callers is None:
            return self.switch.is_idle
        if shutdown is None or shutdown.kill_at is None:
            return self.switch.is_idle and self._callers.is_idle
        pending = self.switch.unanswered or not self._callers.all_clients_disconnected
        return not pending and (
            self.switch.is_idle or shutdown.closes_all_connections(self._loop.clock.now())
        )


def max_caller_connections(config: Platform) -> int:
    """The number of sockets for connections of callers."""
    server_sockets = min(SERVER_SOCKETS, config.sockets // 4)
    return (
        config.sockets - OWN_SOCKETS - server_sockets - (ADMIN_SOCKETS if config.control is not None else 0)
    )
