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

GC_THRESHOLD = 20_000  # allocations; a full collection takes longer than a turn of the loop should


def catch_signals() -> socket.socket:
    """Deliver signals as bytes on the returned socket, so that none ends the process by default."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.detach(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return receiver


def forward_signals(loop: Loop, node: Node, receiver: socket.socket) -> None:
    """Pass caught signals on to the node."""

    def ready(_: int) -> None:
        for number in receiver.recv(64):
            node.handle_signal(number)

    loop.watch(receiver.fileno(), READ, ready)
    loop.retained = receiver


def _operator_node(loop: Loop, path: Path) -> Node:
    """Build the node of an operator's file; the imports stay here to save memory on the platform."""
    from reedmount.operate import serve_sip
    from reedmount.operator_file import read_operator

    return serve_sip(loop, lambda: read_operator(path))


def _join_group(loop: Loop, node: Node) -> None:
    """Join the group of the platform's peers, if it names any; imported only with --members."""
    from reedmount.peers.member_handover import MemberHandover
    from reedmount.peers.platform import read_peers

    settings = read_peers(os.environ)
    if settings is not None:
        node.retained = member_handover = MemberHandover(loop, settings)
        node.on_hand_over(member_handover.hand_over)
        node.on_end(member_handover.leave)


def main(clock: Clock | None = None) -> int:
    """Serve until SIGTERM, using the system's clock unless another is given."""
    parser = argparse.ArgumentParser(prog="reedmount", description="A border controller for call set-ups.")
    parser.add_argument("--operator", metavar="FILE", type=Path, help="serve SIP as configured in this file")
    parser.add_argument("--members", action="store_true", help="on the platform: join the group of its peers")
    arguments = parser.parse_args()
    operator: Path | None = arguments.operator
    signals = catch_signals()
    loop = Loop(clock or Clock())
    try:
        if operator is not None:
            node = _operator_node(loop, operator)
        else:
            node = Node.on_platform(loop, lambda: read_platform(os.environ))
            if arguments.members:
                _join_group(loop, node)
    except ConfigError as error:
        log(f"reedmount: {error}")
        return 2
    except OSError as error:
        log(f"reedmount: cannot listen: {error}")
        return 1
    forward_signals(loop, node, signals)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    log(node.startup_line)
    loop.run()
    log(f"counters: {COUNTERS.text()}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
