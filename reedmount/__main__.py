"""Start a border controller: read the configuration, build the loop and the fronts, serve until stopped."""

from __future__ import annotations

import argparse
import gc
import os
import signal
import socket
import sys
from pathlib import Path

from reedmount.config import ConfigError, read_platform
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import Clock
from reedmount.net.loop import READ, Loop
from reedmount.node import Node

GC_AFTER = 20_000


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
    loop.retained = inside


def _operated(loop: Loop, path: Path) -> Node:
    """What an operator's file sets up; the platform's memory is spared all that is imported for it."""
    from reedmount.operate import serve_sip
    from reedmount.operator_file import read_operator

    return serve_sip(loop, lambda: read_operator(path))


def _join_peers(loop: Loop, node: Node) -> None:
    """Be a member among the platform's peers, where it names any; without the flag none of it is imported."""
    from reedmount.peers.member_handover import MemberHandover
    from reedmount.peers.platform import read_peers

    settings = read_peers(os.environ)
    if settings is not None:
        node.parts = seat = MemberHandover(loop, settings)
        node.on_hand_over(seat.hand_over)
        node.on_end(seat.leave)


def main(clock: Clock | None = None) -> int:
    """Serve until SIGTERM, by the system's clock unless another is given."""
    parser = argparse.ArgumentParser(prog="reedmount", description="A border controller for call set-ups.")
    parser.add_argument("--operator", metavar="FILE", type=Path, help="serve SIP as this file says")
    parser.add_argument("--members", action="store_true", help="on the platform: be a member among its peers")
    arguments = parser.parse_args()
    operator: Path | None = arguments.operator
    signals = catch_signals()
    loop = Loop(clock or Clock())
    try:
        if operator is not None:
            node = _operated(loop, operator)
        else:
            node = Node.on_platform(loop, lambda: read_platform(os.environ))
            if arguments.members:
                _join_peers(loop, node)
    except ConfigError as error:
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
