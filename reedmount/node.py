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
from reedmount.fronts.admin import DOOR_SOCKETS, Door, View
from reedmount.fronts.board import Board, Pool
from reedmount.fronts.call_servers import CallServers
from reedmount.fronts.handover import Heirs, Word, ask
from reedmount.fronts.platform import Callers
from reedmount.fronts.server_connection import Terms
from reedmount.net.connection import Address, text_of
from reedmount.net.loop import Loop

STILL_COMING = timedelta(milliseconds=800)  # after SIGTERM, connections and requests come for a while
NEWS_WAIT = timedelta(seconds=2)  # for the board, where another process has served until now
LOOK_AGAIN = timedelta(milliseconds=200)
LOOK_BEFORE_KILL = timedelta(milliseconds=10)
OWN_SOCKETS = 16  # for all but callers, call servers and the door
HEIR_SOCKETS = 24  # that a successor holds before it is ready
LANE_SOCKETS = 48  # to call servers; of few descriptors a quarter


class Node:
    """The parts of a running border controller: the core, its module and one of the two fronts."""

    def __init__(self, loop: Loop, settings: i.Settings, seed: int) -> None:
        self._loop = loop
        self.switch = Switch(loop, settings, seed)
        self._callers: Callers | None = None
        self.door: Door | None = None
        self._lifecycle = self.switch.lifecycle
        self._took = self._heirs_open = False
        self._reread: Callable[[], None] = lambda: None
        self._handed: list[Callable[[bool], None]] = []
        self.where = ""
        self.parts: object = None  # what lives as long as it does

    @classmethod
    def on_platform(cls, loop: Loop, read: Callable[[], Platform]) -> Node:
        """The platform's thin front and its notice board."""
        config = read()
        made = cls(loop, config.settings, config.seed)
        lanes = min(LANE_SOCKETS, config.sockets // 4)
        terms = Terms(config.connect_wait, config.idle_wait, config.sockets // 2)
        servers = CallServers(loop, made.switch, terms, lanes)
        made.switch.attach(servers)
        pool = Pool(made.switch)
        found = ask(config.handover, config.listen) if config.handover is not None else None
        if found is not None:
            made._lifecycle.also(Need.NEWS)  # until now another process heard of it
        pool.start(config.known_last, config.known)
        given, predecessor = found or (None, None)
        callers = made._callers = Callers(
            loop, made.switch, config.listen, room_for_callers(config), given, config.sockets
        )
        servers.is_untold = callers.is_untold
        made.on_end(lambda: made._schedule_end(servers))
        if predecessor is not None:
            made._succeed(callers, predecessor)
        made.open_door(config.control)
        made.where = f"{config.name} serves at {text_of(callers.address)}"
        news = (lambda: made._lifecycle.met(Need.NEWS)) if found is not None else None
        board = Board(loop, config.board, pool, news)
        if config.handover is not None:
            made._wait_for_heir(callers, config.handover)

        def reread() -> None:
            nonlocal config
            old, config = config, read().follows(config)
            made.settle(config.settings)
            terms.connect_wait, terms.idle_wait = config.connect_wait, config.idle_wait
            terms.most = config.sockets // 2
            callers.most, callers.descriptors = room_for_callers(config), config.sockets
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
        callers.twin.join(predecessor)

        def ready() -> None:
            if self._lifecycle.ready and not self._took:
                self._took = True
                callers.listener.start()
                callers.twin.tell("ready")

        self._lifecycle.on_change(ready)
        self._loop.after(NEWS_WAIT, lambda: self._lifecycle.met(Need.NEWS))

    def _wait_for_heir(self, callers: Callers, folder: Path) -> None:
        """Give the listener to a successor that asks for it, and the clients once it is ready."""

        def joined(heir: socket.socket) -> None:
            callers.reserve = HEIR_SOCKETS
            callers.twin.join(heir)

        def lost() -> None:
            log("the other process is gone")
            taken = self._lifecycle.superseded and self._lifecycle.phase is not Phase.ENDING
            callers.take_back()
            if taken:
                heirs.open()
                self._hand(False)

        def hand_over(_: Word) -> None:
            callers.hand_over()
            self._hand(True)

        heirs = Heirs(self._loop, folder, callers.listener.sock, joined)
        callers.twin.on("ready", hand_over)
        callers.twin.on_lost = lost

        def when_ready() -> None:
            if self._lifecycle.ready and not self._heirs_open:
                self._heirs_open = True
                heirs.open()

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
        departure = self._lifecycle.departure
        if departure is None:
            return
        self._loop.at(departure.answer_by, self.switch.answer_all)
        if departure.test_at is not None and departure.close_at is not None:
            self._loop.at(departure.test_at, servers.test_holders)
            self._loop.at(departure.close_at, servers.lose_unheard)

    def _hand(self, to_another: bool) -> None:
        for tell in self._handed:
            tell(to_another)

    def open_door(self, address: Address | None, views: Mapping[str, View] | None = None) -> None:
        """Listen for operators, where the configuration says so."""
        if address is not None:
            self.door = Door(self._loop, address, self._lifecycle, lambda: self.switch.figures, views)
            log(f"the door is at {text_of(self.door.address)}")

    def on_reload(self, reread: Callable[[], None]) -> None:
        """What SIGHUP does: it raises ConfigError and leaves all as it was, or takes the whole."""
        self._reread = reread

    def settle(self, settings: i.Settings) -> None:
        """Go by other settings of the module, where they are others."""
        if settings != self.switch.settings:
            self.switch.settle(settings)

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
            self._loop.after(STILL_COMING, self._end_when_done)

    def _kill_after(self) -> timedelta | None:
        """How long after SIGTERM it may be killed; None for SIP, or where another process has clients."""
        if self._callers is None or self._callers.handed_over:
            return None
        return earliest_kill(max(span(kind.give_up_us) for kind in self.switch.classes.values()))

    def _end_when_done(self) -> None:
        if self._done():
            self._loop.stopped = True
        else:
            departure = self._lifecycle.departure
            killed = departure is not None and departure.kill_at is not None
            self._loop.after(LOOK_BEFORE_KILL if killed else LOOK_AGAIN, self._end_when_done)

    def _done(self) -> bool:
        """Whether nothing is left to do, or no time to do it."""
        departure = self._lifecycle.departure
        if departure is not None and departure.over(self._loop.clock.now()):
            return True
        if self._callers is None:
            return self.switch.quiet
        if departure is None or departure.kill_at is None:
            return self.switch.quiet and self._callers.quiet
        left = self.switch.unanswered or not self._callers.gone
        return not left and (self.switch.quiet or departure.closes_all(self._loop.clock.now()))


def room_for_callers(config: Platform) -> int:
    """How many connections callers may have."""
    lanes = min(LANE_SOCKETS, config.sockets // 4)
    return config.sockets - OWN_SOCKETS - lanes - (DOOR_SOCKETS if config.control is not None else 0)
