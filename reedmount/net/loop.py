"""The epoll loop: descriptors round the timers and the ready work of a scheduler."""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from reedmount.core.actors import Scheduler
from reedmount.core.background import Background
from reedmount.core.clock import ZERO, Clock

READ, WRITE, GONE = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
LONGEST_WAIT = timedelta(seconds=1)
STRETCH = 32  # pieces of work, until urgent descriptors are looked at again


class Loop(Scheduler):
    """One process, one thread: descriptors, timers, work that is ready, and what may wait for all of them."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.background = Background(self)
        self._epoll = select.epoll()
        self._urgent = select.epoll()  # one epoll within the other: what is ready there comes first
        self._epoll.register(self._urgent.fileno(), READ)
        self._first: set[int] = set()  # the descriptors that are watched there
        self._stretch = 0
        self._handlers: dict[int, Callable[[int], None]] = {}

    def watch(self, fd: int, events: int, handler: Callable[[int], None], urgent: bool = False) -> None:
        """Hear of a descriptor, or change what is heard of it; of an urgent one before all others."""
        epoll = self._urgent if urgent else self._epoll
        if fd in self._handlers:
            epoll.modify(fd, events)
        else:
            epoll.register(fd, events)
        self._handlers[fd] = handler
        if urgent:
            self._first.add(fd)

    def unwatch(self, fd: int) -> None:
        """Hear no more of a descriptor; to be called before it is closed."""
        if self._handlers.pop(fd, None) is not None:
            (self._urgent if fd in self._first else self._epoll).unregister(fd)
            self._first.discard(fd)

    @property
    def watched_count(self) -> int:
        """How many descriptors are heard of: all but a few that the process has open."""
        return len(self._handlers)

    def run(self) -> None:
        """Serve until stopped."""
        while not self.stopped:
            self.turn(LONGEST_WAIT)

    def turn(self, longest: timedelta) -> bool:
        """Wait for something, do it and all that follows from it; whether there was anything."""
        busy = self._drain()
        wait = ZERO if busy or self.background.waiting else longest
        if self._timers:
            wait = max(ZERO, min(wait, self._timers[0].at - self.clock.now()))
        found = self._epoll.poll(wait.total_seconds())
        busy = self._urgent_first() or busy
        for fd, events in found:
            handler = self._handlers.get(fd)  # one closed earlier in this turn is passed over
            if handler is not None:
                self.run_safely(handler, events)
                busy = True
                self._breathe()
        busy = self._run_timers() or busy
        busy = self._drain() or busy
        return self.background.run(busy) or busy

    def close(self) -> None:
        """Let the pollers go."""
        self._epoll.close()
        self._urgent.close()

    def _urgent_first(self) -> bool:
        """Serve the urgent descriptors that are ready, with all that follows from it."""
        found = self._urgent.poll(0) if self._first else []
        for fd, events in found:
            handler = self._handlers.get(fd)
            if handler is not None:
                held, self._ready = self._ready, deque()
                self.run_safely(handler, events)
                while self._ready:
                    self.run_safely(self._ready.popleft())
                self._ready = held
        return bool(found)

    def _breathe(self) -> None:
        """A long turn is interrupted now and then for what is urgent."""
        self._stretch += 1
        if self._stretch >= STRETCH:
            self._stretch = 0
            self._urgent_first()

    def _drain(self) -> bool:
        busy = bool(self._ready)
        while self._ready:
            self.run_safely(self._ready.popleft())
            self._breathe()
        return busy
