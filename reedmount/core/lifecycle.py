"""The one lifecycle of a border controller: door and signals tell it, fronts and the door ask it."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum

from reedmount.core.clock import Clock
from reedmount.core.shutdown import Shutdown
from reedmount.core.trace import Trace


class Phase(Enum):
    """Where in its life a border controller is."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    ENDING = "ending"


class Need(Enum):
    """What must be there before it is ready."""

    LISTENING = "listening"
    SERVERS = "the list of call servers"
    LIST_UPDATE = "news of the list"  # where another process has served until now


class Lifecycle:
    """Starting, ready, draining, ending; a drain can be undone at any moment, an end cannot."""

    def __init__(self, clock: Clock, trace: Trace | None = None) -> None:
        self._clock, self._trace = clock, trace
        self._needs = {Need.LISTENING, Need.SERVERS}
        self._superseded: datetime | None = None
        self._quiesced: datetime | None = None
        self._ending: Shutdown | None = None
        self._told: list[Callable[[], None]] = []
        self._last = self.phase

    def on_change(self, tell: Callable[[], None]) -> None:
        """Hear of each change of the phase."""
        self._told.append(tell)

    @property
    def phase(self) -> Phase:
        """Where it is now."""
        if self._ending is not None:
            return Phase.ENDING
        if self._quiesced is not None or self._superseded is not None:
            return Phase.DRAINING
        return Phase.STARTING if self._needs else Phase.READY

    @property
    def ready(self) -> bool:
        """Whether clients should come here."""
        return self.phase is Phase.READY

    @property
    def shutdown(self) -> Shutdown | None:
        """Its drain or its end, where that has begun."""
        if self._ending is not None:
            return self._ending
        since = self._superseded or self._quiesced
        return Shutdown(since) if since is not None else None

    @property
    def superseded(self) -> bool:
        """Whether another process takes the clients now."""
        return self._superseded is not None

    def require(self, need: Need) -> None:
        """One thing more has to be there."""
        self._needs.add(need)
        self._tell()

    def satisfy(self, need: Need) -> None:
        """One thing more is there."""
        self._needs.discard(need)
        self._tell()

    def quiesce(self) -> None:
        """Drain; a drain that is under way goes on as it is."""
        if self._quiesced is None:
            self._quiesced = self._clock.now()
        self._tell()

    def resume(self) -> bool:
        """Take clients again; False where that cannot be: the end has begun, or another process has them."""
        self._quiesced = None
        self._tell()
        return self._ending is None and self._superseded is None

    def supersede(self, by_another: bool) -> None:
        """Another process takes the clients from now on, or it has died and does no more."""
        self._superseded = self._clock.now() if by_another else None
        self._tell()

    def end(self, kill_after: timedelta | None = None) -> None:
        """The end has begun; the process may be killed so much later, where that is known."""
        if self._ending is None:
            now = self._clock.now()
            self._ending = Shutdown(now, now + kill_after if kill_after is not None else None)
        self._tell()

    def _tell(self) -> None:
        before, self._last = self._last, self.phase
        if self._last is not before:
            if self._trace is not None:
                self._trace("lifecycle", phase=self._last.value, before=before.value)
            for tell in self._told:
                tell()
