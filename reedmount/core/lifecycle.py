"""The lifecycle of a border controller: changed by the admin server and signals, read by all other parts."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum

from reedmount.core.clock import Clock
from reedmount.core.shutdown import Shutdown
from reedmount.core.trace import Trace


class Phase(Enum):
    """The phase that a border controller is in."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    ENDING = "ending"


class Need(Enum):
    """A condition for being ready."""

    LISTENING = "listening"
    SERVERS = "the list of call servers"
    LIST_UPDATE = "an update of the list"  # where another process has served until now


class Lifecycle:
    """The current phase; a drain can be undone at any moment, a shutdown cannot."""

    def __init__(self, clock: Clock, trace: Trace | None = None) -> None:
        self._clock, self._trace = clock, trace
        self._needs = {Need.LISTENING, Need.SERVERS}
        self._superseded: datetime | None = None
        self._quiesced: datetime | None = None
        self._ending: Shutdown | None = None
        self._listeners: list[Callable[[], None]] = []
        self._last_phase = self.phase

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener at each change of the phase."""
        self._listeners.append(listener)

    @property
    def phase(self) -> Phase:
        """The current phase."""
        if self._ending is not None:
            return Phase.ENDING
        if self._quiesced is not None or self._superseded is not None:
            return Phase.DRAINING
        return Phase.STARTING if self._needs else Phase.READY

    @property
    def ready(self) -> bool:
        """Whether clients should connect here."""
        return self.phase is Phase.READY

    @property
    def shutdown(self) -> Shutdown | None:
        """The shutdown or else the drain that has begun, if any."""
        if self._ending is not None:
            return self._ending
        since = self._superseded or self._quiesced
        return Shutdown(since) if since is not None else None

    @property
    def superseded(self) -> bool:
        """Whether another process accepts the clients now."""
        return self._superseded is not None

    def require(self, need: Need) -> None:
        """Add a condition for being ready."""
        self._needs.add(need)
        self._notify()

    def satisfy(self, need: Need) -> None:
        """A condition for being ready is met."""
        self._needs.discard(need)
        self._notify()

    def quiesce(self) -> None:
        """Begin a drain; one that is under way continues unchanged."""
        if self._quiesced is None:
            self._quiesced = self._clock.now()
        self._notify()

    def resume(self) -> bool:
        """Undo a drain; False if clients stay away: shutdown has begun, or another process accepts them."""
        self._quiesced = None
        self._notify()
        return self._ending is None and self._superseded is None

    def supersede(self, by_another: bool) -> None:
        """Another process accepts the clients from now on, or (False) it has died."""
        self._superseded = self._clock.now() if by_another else None
        self._notify()

    def end(self, kill_after: timedelta | None = None) -> None:
        """Begin the shutdown; ``kill_after`` is the time until the process may be killed, if known."""
        if self._ending is None:
            now = self._clock.now()
            self._ending = Shutdown(now, now + kill_after if kill_after is not None else None)
        self._notify()

    def _notify(self) -> None:
        before, self._last_phase = self._last_phase, self.phase
        if self._last_phase is not before:
            if self._trace is not None:
                self._trace("lifecycle", phase=self._last_phase.value, before=before.value)
            for listener in self._listeners:
                listener()
