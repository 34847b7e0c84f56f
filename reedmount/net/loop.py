"""The epoll event loop: file descriptors in addition to the scheduler's timers and ready callbacks."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from reedmount.core.actors import Scheduler
from reedmount.core.background import Background
from reedmount.core.clock import ZERO, Clock
from reedmount.net.read_scheduler import ReadScheduler

READ, WRITE, PEER_CLOSED = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
BROKEN = select.EPOLLERR | select.EPOLLHUP  # reported whether watched or not
MAX_POLL_WAIT = timedelta(seconds=1)
URGENT_CHECK_INTERVAL = 32  # callbacks between two checks of the urgent descriptors


class Loop(Scheduler):
    """A single-threaded event loop: file descriptors, timers, ready callbacks and background work."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.background = Background(self)
        self.readers = ReadScheduler(self)
        self._epoll = select.epoll()
        self._urgent = select.epoll()  # nested in the other epoll; its descriptors are served first
        self._epoll.register(self._urgent.fileno(), READ)
        self._urgent_fds: set[int] = set()  # the descriptors registered with it
        self._since_urgent_check = 0
        self._handlers: dict[int, Callable[[int], None]] = {}

    def watch(self, fd: int, events: int, handler: Callable[[int], None], urgent: bool = False) -> None:
        """Watch a descriptor, or change its watched events. Urgent ones are served before all others."""
        epoll = self._urgent if urgent else self._epoll
        if fd in self._handlers:
            epoll.modify(fd, events)
        else:
            epoll.register(fd, events)
        self._handlers[fd] = handler
        if urgent:
            self._urgent_fds.add(fd)

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor; must be called before it is closed."""
        if self._handlers.pop(fd, None) is not None:
            (self._urgent if fd in self._urgent_fds else self._epoll).unregister(fd)
            self._urgent_fds.discard(fd)

    @property
    def watched_count(self) -> int:
        """Number of watched descriptors: all but a few of those that the process has open."""
        return len(self._handlers)

    def run(self) -> None:
        """Run until stopped."""
        while not self.stopped:
            self.turn(MAX_POLL_WAIT)

    def turn(self, max_wait: timedelta) -> bool:
        """Run one iteration: wait for events, at most ``max_wait``, and run their handlers and all callbacks
        that these schedule. Returns whether there was any work."""
        self.readers.begin_turn()
        busy = self._drain()
        wait = ZERO if busy or self.readers.waiting or self.background.waiting else max_wait
        if self._timers:
            wait = max(ZERO, min(wait, self._timers[0].at - self.clock.now()))
        ready = self._epoll.poll(wait.total_seconds())
        busy = self._serve_urgent() or busy
        for fd, events in ready:
            handler = self._handlers.get(fd)  # None if it was closed earlier in this iteration
            if handler is not None:
                self.run_safely(handler, events)
                busy = True
                self._check_urgent()
        busy = self._run_timers() or busy
        busy = self._drain() or busy
        if self.readers.run():
            busy = True
            self._drain()
        return self.background.run(busy) or busy

    def close(self) -> None:
        """Close the epoll descriptors."""
        self._epoll.close()
        self._urgent.close()

    def _serve_urgent(self) -> bool:
        """Handle ready urgent descriptors, with the callbacks they schedule, before other ready callbacks."""
        ready = self._urgent.poll(0) if self._urgent_fds else []
        for fd, events in ready:
            handler = self._handlers.get(fd)
            if handler is not None:
                pending, self._ready = self._ready, deque()
                self.run_safely(handler, events)
                while self._ready:
                    self.run_safely(self._ready.popleft())
                self._ready = pending
        return bool(ready)

    def _check_urgent(self) -> None:
        """Serve urgent descriptors at intervals within a long iteration."""
        self._since_urgent_check += 1
        if self._since_urgent_check >= URGENT_CHECK_INTERVAL:
            self._since_urgent_check = 0
            self._serve_urgent()

    def _drain(self) -> bool:
        busy = bool(self._ready)
        while self._ready:
            self.run_safely(self._ready.popleft())
            self._check_urgent()
        return busy
