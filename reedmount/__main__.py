"""Start a border controller: read the configuration, build the loop and the fronts, serve until stopped."""

from __future__ import annotations

import argparse
import gc
import os
import signal
import socket
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from reedmount import interface as i
from reedmount.config import ConfigError, Operator, Platform, read_operator, read_platform
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import Clock
from reedmount.core.lifecycle import Need, Phase
from reedmount.core.switch import Switch
from reedmount.dns.server import UpdateServer, ZonePool
from reedmount.dns.update import Master
from reedmount.dns.zone import ZoneError, load
from reedmount.fronts.admin import DOOR_SOCKETS, Door
from reedmount.fronts.board import Board, Pool
from reedmount.fronts.lanes import CallServers
from reedmount.fronts.platform import Callers
from reedmount.fronts.sip import SipFront, SipServers
from reedmount.fronts.twin import Heirs, ask
from reedmount.net.connection import Address
from reedmount.net.loop import READ, Loop

STILL_COMING = timedelta(milliseconds=1500)  # after SIGTERM, requests come for a while
NEWS_WAIT = timedelta(seconds=2)  # for the board, where another process has served until now
LOOK_AGAIN = timedelta(milliseconds=200)
GC_AFTER = 20_000
OWN_SOCKETS = 16  # for all but callers, call servers and the door
HEIR_SOCKETS = 24  # that a successor holds before it is ready
LANE_SOCKETS = 48  # to call servers; of few descriptors a quarter


class Node:
    """The parts of a running border controller: the core, its module and one of the two fronts."""

    def __init__(self, loop: Loop, settings: i.Settings, seed: int) -> None:
        self._loop = loop
        self._switch = Switch(loop, settings, seed)
        self._callers: Callers | None = None
        self._door: Door | None = None
        self._lifecycle = self._switch.lifecycle
        self._took = self._heirs_open = False
        self._reread: Callable[[], None] = lambda: None
        self.where = ""

    @classmethod
    def on_platform(cls, loop: Loop, read: Callable[[], Platform]) -> Node:
        """The platform's thin front and its notice board."""
        config = read()
        made = cls(loop, config.settings, config.seed)
        lanes = min(LANE_SOCKETS, config.sockets // 4)
        servers = CallServers(loop, made._switch, config.connect_wait, lanes)
        made._switch.attach(servers)
        pool = Pool(made._switch)
        found = ask(config.handover, config.listen) if config.handover is not None else None
        if found is not None:
            made._lifecycle.also(Need.NEWS)  # until now another process heard of it
        pool.start(config.known_last, config.known)
        given, predecessor = found or (None, None)
        callers = made._callers = Callers(loop, made._switch, config.listen, room_for_callers(config), given)
        if predecessor is not None:
            made._succeed(callers, predecessor)
        made._open_door(config.control)
        made.where = f"{config.name} serves at {_text(callers.address)}"
        news = (lambda: made._lifecycle.met(Need.NEWS)) if found is not None else None
        board = Board(loop, config.board, pool, news)
        if config.handover is not None:
            made._wait_for_heir(callers, config.handover)

        def reread() -> None:
            nonlocal config
            old, config = config, read().follows(config)
            made._settle(config.settings)
            servers.connect_wait = config.connect_wait
            callers.most = room_for_callers(config)
            pool.take(config.known_last, config.known)
            if config.board != old.board:
                board.move(config.board)
            if (config.listen, config.name, config.control) != (old.listen, old.name, old.control):
                log("listen, control and name are taken at the next start only")

        made._reread = reread
        return made

    @classmethod
    def with_sip(cls, loop: Loop, read: Callable[[], Operator]) -> Node:
        """The SIP front and the zone, as an operator's file sets them up."""
        config = read()
        seed = int.from_bytes(os.urandom(8), "big")
        zone = load(config.zone, config.origin)
        made = cls(loop, config.settings, seed)
        front = SipFront(loop, made._switch, config.sip, seed)
        made._switch.attach(SipServers(front))
        pool = ZonePool(made._switch, zone, config.transports, config.zone if config.write_back else None)
        front.first_choice = pool.first_choice
        pool.start()
        master = Master(zone, config.updates.policy, pool.changed) if config.updates is not None else None
        if config.updates is not None and master is not None:
            UpdateServer(loop, config.updates.listen, master)
        made._open_door(config.control)
        made.where = f"SIP served at {_text(front.endpoint.address)}, zone {zone.origin}"

        def reread() -> None:
            nonlocal config
            fresh = read()
            records = load(fresh.zone, fresh.origin)
            old, config = config, fresh
            made._settle(config.settings)
            front.settings = config.sip
            pool.reload(records, config.transports, config.zone if config.write_back else None)
            if master is not None and config.updates is not None:
                master.reload(records, config.updates.policy)
            places = [(item.sip.listen, item.sip.timers, item.updates and item.updates.listen, item.control)
                      for item in (old, config)]  # fmt: skip
            if places[0] != places[1]:
                log("sip.listen, timers, dns.update.listen and door.control are taken at the next start only")

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

        heirs = Heirs(self._loop, folder, callers.listener.sock, joined)
        callers.twin.on("ready", lambda _: callers.hand_over())
        callers.twin.on_lost = lost

        def when_ready() -> None:
            if self._lifecycle.ready and not self._heirs_open:
                self._heirs_open = True
                heirs.open()

        self._lifecycle.on_change(when_ready)
        when_ready()

    def _open_door(self, address: Address | None) -> None:
        if address is not None:
            self._door = Door(self._loop, address, self._lifecycle, lambda: self._switch.figures)
            log(f"the door is at {_text(self._door.address)}")

    def _settle(self, settings: i.Settings) -> None:
        if settings != self._switch.settings:
            self._switch.settle(settings)

    def reload(self) -> None:
        """Read the configuration again; it is taken whole, or one line says what is wrong with it."""
        try:
            self._reread()
        except (ConfigError, ZoneError) as error:
            COUNTERS.add("reload.refused")
            log(f"configuration kept as it was: {error}")
        else:
            COUNTERS.add("reload.taken")
            log("configuration read again")

    def signalled(self, number: int) -> None:
        """SIGUSR1 prints the counters, SIGHUP reads the configuration; the others end it when all is done."""
        if number == signal.SIGUSR1:
            log(f"counters: {COUNTERS.text()}")
        elif number == signal.SIGHUP:
            self.reload()
        elif self._lifecycle.phase is not Phase.ENDING:
            log("stopping: answering what still comes")
            self._lifecycle.end()
            self._loop.after(STILL_COMING, self._end_when_quiet)

    def _end_when_quiet(self) -> None:
        if self._switch.quiet and (self._callers is None or self._callers.quiet):
            self._loop.stopped = True
        else:
            self._loop.after(LOOK_AGAIN, self._end_when_quiet)


def room_for_callers(config: Platform) -> int:
    """How many connections callers may have."""
    lanes = min(LANE_SOCKETS, config.sockets // 4)
    return config.sockets - OWN_SOCKETS - lanes - (DOOR_SOCKETS if config.control is not None else 0)


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def catch_signals() -> socket.socket:
    """From the first moment on signals are bytes on a socket, and end nothing by themselves."""
    inside, outside = socket.socketpair()
    inside.setblocking(False)
    outside.setblocking(False)
    signal.set_wakeup_fd(outside.detach(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return inside


def hear_signals(loop: Loop, node: Node, inside: socket.socket) -> None:
    """Give the signals that were caught to the node."""
    def ready(_: int) -> None:
        for number in inside.recv(64):
            node.signalled(number)

    loop.watch(inside.fileno(), READ, ready)
    loop.keep = inside


def main() -> int:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(prog="reedmount", description="A border controller for call set-ups.")
    parser.add_argument("--operator", metavar="FILE", type=Path, help="serve SIP as this file says")
    operator: Path | None = parser.parse_args().operator
    signals = catch_signals()
    loop = Loop(Clock())
    try:
        if operator is not None:
            node = Node.with_sip(loop, lambda: read_operator(operator))
        else:
            node = Node.on_platform(loop, lambda: read_platform(os.environ))
    except (ConfigError, ZoneError) as error:
        log(f"reedmount: {error}")
        return 2
    except OSError as error:
        log(f"reedmount: cannot listen: {error}")
        return 1
    hear_signals(loop, node, signals)
    gc.freeze()
    gc.set_threshold(GC_AFTER)  # a collection of everything takes longer than a turn should
    log(node.where)
    loop.run()
    log(f"counters: {COUNTERS.text()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
