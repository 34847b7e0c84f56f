"""Two processes, one border controller: the listener handed over, and what each tells the other meanwhile."""

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
LONGEST_PATH = 100  # the system takes 107 bytes
LONGEST_WORD = 4096
KEPT_WORDS = 4096  # that the other has not read yet
HELLO_TIMEOUT = timedelta(milliseconds=1500)  # a busy predecessor answers later than an idle one
REPORT_INTERVAL = timedelta(milliseconds=200)  # how many descriptors are held
CREDENTIALS = struct.Struct("3i")

HandoverMessage = dict[str, Any]


def _ours(sock: socket.socket) -> bool:
    """Whether the other end is a process of the same user: where the folder is shared, others may call."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return bool(CREDENTIALS.unpack(raw)[1] == os.getuid())


@contextlib.contextmanager
def _short(path: Path) -> Any:
    """The path, by way of its open folder where it is too long for an address."""
    if len(os.fsencode(path)) <= LONGEST_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Channel:
    """Whole words to and from the other process, in order."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_word: Callable[[HandoverMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        self._loop, self._sock, self._on_end = loop, sock, on_end
        self._actor: Actor[HandoverMessage] = Actor(loop, on_word)
        self._waiting: deque[bytes] = deque()
        self.ended = False
        sock.setblocking(False)
        loop.watch(sock.fileno(), READ, self._ready)

    def send(self, word: HandoverMessage) -> None:
        """Tell the other; one that reads nothing for so long is as good as gone."""
        if self.ended:
            return
        self._waiting.append(json.dumps(word).encode())
        if len(self._waiting) > KEPT_WORDS:
            self.close()
            return
        self._flush()

    def close(self) -> None:
        """Part from the other."""
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
            data = self._sock.recv(LONGEST_WORD)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        try:
            word = json.loads(data)
        except (ValueError, RecursionError):  # nested deeper than any reader goes
            word = None
        if isinstance(word, dict):
            self._actor.post(word)


class HandoverPeer:
    """The other process of an upgrade, while there is one. Without it every word is refused."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._channel: Channel | None = None
        self._on: dict[str, Callable[[HandoverMessage], None]] = {}
        self.on_lost: Callable[[], None] = lambda: None

    @property
    def there(self) -> bool:
        """Whether another process is joined to this one."""
        return self._channel is not None

    def on(self, what: str, do: Callable[[HandoverMessage], None]) -> None:
        """Say what is done at a word; others are passed over, as the other may be of another version."""
        self._on[what] = do

    def join(self, sock: socket.socket) -> None:
        """Be joined to another process; an earlier one is left."""
        if self._channel is not None:
            self._channel.close()
        COUNTERS.add("twin.joined")
        channel = Channel(self._loop, sock, self._hear, lambda: self._lost(channel))
        self._channel = channel

    def tell(self, what: str, **about: object) -> bool:
        """Tell the other something; False where there is none."""
        if self._channel is None:
            return False
        COUNTERS.add(f"twin.out.{what}")
        self._channel.send({"what": what, **about})
        return self._channel is not None

    def _hear(self, word: HandoverMessage) -> None:
        do = self._on.get(str(word.get("what")))
        if do is None:
            COUNTERS.add("twin.in.unknown")
            return
        COUNTERS.add(f"twin.in.{word['what']}")
        try:
            do(word)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            log(f"twin: {type(error).__name__} {error}", "twin")

    def _lost(self, channel: Channel) -> None:
        if self._channel is channel:
            self._channel = None
            COUNTERS.add("twin.lost")
            self.on_lost()


def request_listener(
    folder: Path, address: Address, wait: timedelta = HELLO_TIMEOUT
) -> tuple[socket.socket, socket.socket] | None:
    """Ask a predecessor for its listener; it comes with the connection to that process, or there is none.

    Nobody there, a file that a dead one left, no answer in time, or a listener for another address: None.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    given: list[int] = []
    try:
        sock.settimeout(wait.total_seconds())
        with _short(folder / FILE) as path:
            sock.connect(path)
        if not _ours(sock):
            raise OSError("it is another user's")
        data, given, _, _ = socket.recv_fds(sock, LONGEST_WORD, 4)
        if not data or len(given) != 1:
            raise OSError("it gave no listener")
        listener = socket.socket(fileno=given[0])
        given = []
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if listener.getsockname() != address or not listens:
            listener.close()
            raise OSError("it listens at another address")
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
    """Where a successor asks for the listener."""

    def __init__(
        self, loop: Loop, folder: Path, listener: socket.socket, on_successor: Callable[[socket.socket], None]
    ) -> None:
        self._loop, self._folder, self._listener, self._on_successor = loop, folder, listener, on_successor
        self._sock: socket.socket | None = None

    def open(self) -> None:
        """Wait for a successor from now on, in the place of whatever waited there before."""
        self.close()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        fresh = self._folder / f"{FILE}.{os.getpid()}"
        try:
            fresh.unlink(missing_ok=True)
            before = os.umask(0o177)
            try:
                with _short(fresh) as path:
                    sock.bind(path)
            finally:
                os.umask(before)
            sock.listen(4)
            sock.setblocking(False)
            fresh.replace(self._folder / FILE)
        except OSError as error:
            log(f"no successor can be given the listener: {error}")
            sock.close()
            return
        self._sock = sock
        self._loop.watch(sock.fileno(), READ, self._called)

    def close(self) -> None:
        """Wait for no successor; the file stays, and says to whoever calls that nobody is here."""
        if self._sock is not None:
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _called(self, _: int) -> None:
        if self._sock is None:
            return
        try:
            successor, _peer = self._sock.accept()
        except OSError:
            return
        try:
            if not _ours(successor):
                raise OSError("another user's process asked for the listener")
            hello = json.dumps({"what": "hello"}).encode()
            socket.send_fds(successor, [hello], [self._listener.fileno()])
        except OSError as error:
            log(f"no listener for a successor: {error}")
            successor.close()
            return
        log("a successor has been given the listener")
        self._on_successor(successor)
