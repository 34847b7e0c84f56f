"""Upgrade without downtime: passes the listener to a new process and carries messages between the two."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.net.connection import Address
from reedmount.net.loop import READ, WRITE, Loop

FILE = "reedmount.handover"
MAX_PATH = 100  # bytes; the system accepts 107 in a socket address
MAX_MESSAGE = 4096  # bytes
MAX_QUEUED = 4096  # messages that the other process has not read yet
HELLO_TIMEOUT = timedelta(milliseconds=1500)  # a busy predecessor answers later than an idle one
REPORT_INTERVAL = timedelta(milliseconds=200)  # of the number of descriptors in use
CREDENTIALS = struct.Struct("3i")

HandoverMessage = dict[str, Any]


def _is_own_user(sock: socket.socket) -> bool:
    """Whether the peer is a process of the same user: in a shared folder, others may connect."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return bool(CREDENTIALS.unpack(raw)[1] == os.getuid())


@contextlib.contextmanager
def _socket_path(path: Path) -> Any:
    """The path, through a descriptor of its folder if it is too long for a socket address."""
    if len(os.fsencode(path)) <= MAX_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Channel:
    """Sends and receives messages to and from the other process, in order."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_message: Callable[[HandoverMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        self._loop, self._sock, self._on_end = loop, sock, on_end
        self._actor: Actor[HandoverMessage] = Actor(loop, on_message)
        self._waiting: deque[bytes] = deque()
        self.ended = False
        sock.setblocking(False)
        loop.watch(sock.fileno(), READ, self._ready)

    def send(self, message: HandoverMessage) -> None:
        """Send a message; a peer that has left too many unread counts as lost."""
        if self.ended:
            return
        self._waiting.append(json.dumps(message).encode())
        if len(self._waiting) > MAX_QUEUED:
            self.close()
            return
        self._flush()

    def close(self) -> None:
        """Close the connection to the other process."""
        if not self.ended:
            self.ended = True
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()
            self._on_end()

    def _flush(self) -> None:
        while self._waiting:
            try:
                self._sock.send(self._waiting[0])
            except BlockingIOError:
                break
            except OSError:
                self._loop.call_soon(self.close)
                return
            self._waiting.popleft()
        self._loop.watch(self._sock.fileno(), READ | WRITE if self._waiting else READ, self._ready)

    def _ready(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if self.ended or not events & ~WRITE:
            return
        try:
            data = self._sock.recv(MAX_MESSAGE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        try:
            message = json.loads(data)
        except (ValueError, RecursionError):  # RecursionError: nested too deeply
            message = None
        if isinstance(message, dict):
            self._actor.post(message)


class HandoverPeer:
    """The other process of an upgrade, while there is one; without it nothing is sent."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._channel: Channel | None = None
        self._handlers: dict[str, Callable[[HandoverMessage], None]] = {}
        self.on_lost: Callable[[], None] = lambda: None

    @property
    def connected(self) -> bool:
        """Whether another process is connected to this one."""
        return self._channel is not None

    def on(self, what: str, handler: Callable[[HandoverMessage], None]) -> None:
        """Set the handler of a kind of message; other kinds are ignored: the peer may be another version."""
        self._handlers[what] = handler

    def join(self, sock: socket.socket) -> None:
        """Connect to another process; the connection to an earlier one is closed."""
        if self._channel is not None:
            self._channel.close()
        COUNTERS.add("twin.joined")
        channel = Channel(self._loop, sock, self._dispatch, lambda: self._on_channel_end(channel))
        self._channel = channel

    def notify(self, what: str, **fields: object) -> bool:
        """Send a message to the other process; False if there is none."""
        if self._channel is None:
            return False
        COUNTERS.add(f"twin.out.{what}")
        self._channel.send({"what": what, **fields})
        return self._channel is not None

    def _dispatch(self, message: HandoverMessage) -> None:
        handler = self._handlers.get(str(message.get("what")))
        if handler is None:
            COUNTERS.add("twin.in.unknown")
            return
        COUNTERS.add(f"twin.in.{message['what']}")
        try:
            handler(message)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            log(f"twin: {type(error).__name__} {error}", "twin")

    def _on_channel_end(self, channel: Channel) -> None:
        if self._channel is channel:
            self._channel = None
            COUNTERS.add("twin.lost")
            self.on_lost()


def request_listener(
    folder: Path, address: Address, wait: timedelta = HELLO_TIMEOUT
) -> tuple[socket.socket, socket.socket] | None:
    """Ask a predecessor for its listener; returns it with the connection to that process.

    None without a predecessor, if only the file of a dead one exists, if no answer comes in time, or if the
    listener is bound to another address.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    given: list[int] = []
    try:
        sock.settimeout(wait.total_seconds())
        with _socket_path(folder / FILE) as path:
            sock.connect(path)
        if not _is_own_user(sock):
            raise OSError("the socket belongs to another user")
        data, given, _, _ = socket.recv_fds(sock, MAX_MESSAGE, 4)
        if not data or len(given) != 1:
            raise OSError("no listener was passed")
        listener = socket.socket(fileno=given[0])
        given = []
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if listener.getsockname() != address or not listens:
            listener.close()
            raise OSError("it listens on another address")
    except (FileNotFoundError, ConnectionRefusedError):
        pass
    except OSError as error:
        log(f"no listener from a predecessor: {error}")
    else:
        return listener, sock
    for fd in given:
        os.close(fd)
    sock.close()
    return None


class SuccessorListener:
    """The Unix socket on which a successor asks for the listener."""

    def __init__(
        self, loop: Loop, folder: Path, listener: socket.socket, on_successor: Callable[[socket.socket], None]
    ) -> None:
        self._loop, self._folder, self._listener, self._on_successor = loop, folder, listener, on_successor
        self._sock: socket.socket | None = None

    def open(self) -> None:
        """Wait for a successor from now on; replaces the socket file of any earlier process."""
        self.close()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        temporary = self._folder / f"{FILE}.{os.getpid()}"
        try:
            temporary.unlink(missing_ok=True)
            before = os.umask(0o177)
            try:
                with _socket_path(temporary) as path:
                    sock.bind(path)
            finally:
                os.umask(before)
            sock.listen(4)
            sock.setblocking(False)
            temporary.replace(self._folder / FILE)
        except OSError as error:
            log(f"no successor can be given the listener: {error}")
            sock.close()
            return
        self._sock = sock
        self._loop.watch(sock.fileno(), READ, self._on_connect)

    def close(self) -> None:
        """Stop waiting for a successor; the file stays, and connecting to it is refused."""
        if self._sock is not None:
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _on_connect(self, _: int) -> None:
        if self._sock is None:
            return
        try:
            successor, _peer = self._sock.accept()
        except OSError:
            return
        try:
            if not _is_own_user(successor):
                raise OSError("another user's process asked for the listener")
            hello = json.dumps({"what": "hello"}).encode()
            socket.send_fds(successor, [hello], [self._listener.fileno()])
        except OSError as error:
            log(f"no listener for a successor: {error}")
            successor.close()
            return
        log("a successor has been given the listener")
        self._on_successor(successor)
