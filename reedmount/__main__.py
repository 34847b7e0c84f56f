"""Start a border controller: read the configuration, build the loop and the fronts, serve until stopped."""

from __future__ import annotations

import os
import signal
import socket
import sys
from datetime import timedelta

from reedmount.config import ConfigError, Platform, read_platform
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import Clock
from reedmount.core.switch import Switch
from reedmount.fronts.board import Board, Pool
from reedmount.fronts.platform import Callers, CallServers
from reedmount.net.loop import READ, Loop

STILL_COMING = timedelta(milliseconds=1500)  # after SIGTERM, requests come for a while
LOOK_AGAIN = timedelta(milliseconds=200)
SPARE_SOCKETS = 64  # for call servers, the board, logs


class Node:
    """The parts of a running border controller."""

    def __init__(self, loop: Loop, config: Platform) -> None:
        self._loop = loop
        self._switch = Switch(loop, config.settings, config.seed)
        self._switch.attach(CallServers(loop, self._switch, config.connect_wait))
        pool = Pool(self._switch)
        pool.start(config.known_last, config.known)
        self._callers = Callers(loop, self._switch, config.listen, config.sockets - SPARE_SOCKETS)
        self._board = Board(loop, config.board, pool)
        self._stopping = False

    def signalled(self, number: int) -> None:
        """SIGUSR1 prints the counters; SIGTERM and SIGINT end it once all is answered and released."""
        if number == signal.SIGUSR1:
            log(f"counters: {COUNTERS.text()}")
        elif not self._stopping:
            log("stopping: answering what still comes")
            self._stopping = self._callers.stopping = True
            self._loop.after(STILL_COMING, self._end_when_quiet)

    def _end_when_quiet(self) -> None:
        if self._switch.quiet and self._callers.quiet:
            self._loop.stopped = True
        else:
            self._loop.after(LOOK_AGAIN, self._end_when_quiet)


def hear_signals(loop: Loop, node: Node) -> None:
    """Signals reach the loop as bytes on a socket."""
    inside, outside = socket.socketpair()
    inside.setblocking(False)
    outside.setblocking(False)
    signal.set_wakeup_fd(outside.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
        signal.signal(number, lambda *_: None)

    def ready(_: int) -> None:
        for number in inside.recv(64):
            node.signalled(number)

    loop.watch(inside.fileno(), READ, ready)
    loop.keep = (inside, outside)


def main() -> int:
    """Serve until SIGTERM."""
    try:
        config = read_platform(os.environ)
    except ConfigError as error:
        log(f"reedmount: {error}")
        return 2
    loop = Loop(Clock())
    try:
        node = Node(loop, config)
    except OSError as error:
        log(f"reedmount: {config.listen[0]}:{config.listen[1]}: {error}")
        return 1
    hear_signals(loop, node)
    log(f"{config.name} serves at {config.listen[0]}:{config.listen[1]}")
    loop.run()
    log(f"counters: {COUNTERS.text()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
