"""Running suspicions: their timers and confirmations, and final checks before a member is declared dead."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.members.outbox import Outbox
from reedmount.members.record import Record
from reedmount.members.settings import Timing
from reedmount.members.suspicion import Suspicion
from reedmount.members.timer_queue import TimerQueue
from reedmount.members.view import View
from reedmount.members.wire import Kind

FINAL_CHECK_SEQ = 0  # sequence number of final checks; never used for probes


class Suspects:
    """The running suspicions, one per member; each lasts as long as the view has the member as suspected."""

    def __init__(
        self,
        timing: Timing,
        view: View,
        timers: TimerQueue,
        outbox: Outbox,
        on_expired: Callable[[datetime, Record], None],
    ) -> None:
        """``on_expired`` is called with the suspected record when its time is up."""
        self._timing, self._view, self._timers, self._outbox, self._on_expired = (
            timing,
            view,
            timers,
            outbox,
            on_expired,
        )
        self._running: dict[str, Suspicion] = {}

    def begin(self, now: datetime, record: Record) -> None:
        """Start a suspicion of this incarnation of a member."""
        self.clear(record.name)
        members = len(self._view.present) + 1
        COUNTERS.add("members.suspected")
        suspicion = self._running[record.name] = Suspicion(
            now,
            self._timing.min_suspicion(members),
            self._timing.max_suspicion(members),
            self._timing.relays,
            record.by,
            members - 1,
        )
        self._schedule_check(now, record.name, suspicion)

    def confirm(self, now: datetime, record: Record) -> bool:
        """Count a confirmation by another member; returns whether it should be gossiped."""
        suspicion = self._running.get(record.name)
        if suspicion is None or not suspicion.confirm(record.by):
            return False
        self._schedule_check(now, record.name, suspicion)
        return True

    def clear(self, name: str) -> None:
        """End the suspicion of this member."""
        suspicion = self._running.pop(name, None)
        if suspicion is not None and suspicion.timer is not None:
            suspicion.timer.cancel()

    def extend(self, span: timedelta) -> None:
        """Extend all suspicions by the time that this process was stalled."""
        for suspicion in self._running.values():
            suspicion.extend(span)

    def _schedule_check(self, now: datetime, name: str, suspicion: Suspicion) -> None:
        """Schedule the final checks near the end of the suspicion, then the end itself.

        Under heavy loss, the refutation may have been lost on every path to us: a member is declared dead
        only after it was pinged directly and did not answer. An answer carries a greater record, which ends
        the suspicion.
        """
        if suspicion.timer is not None:
            suspicion.timer.cancel()
        check_at = suspicion.ends_at
        if suspicion.final_checks < self._timing.asked_at_last:
            check_at -= self._timing.final_check_span
        suspicion.timer = self._timers.schedule(
            max(now, check_at), lambda now: self._check(now, name, suspicion)
        )

    def _check(self, now: datetime, name: str, suspicion: Suspicion) -> None:
        known = self._view.get(name)
        if self._running.get(name) is not suspicion or known is None:
            return
        if suspicion.final_checks < self._timing.asked_at_last:
            if now >= suspicion.ends_at - self._timing.final_check_span:
                suspicion.final_checks += 1
                COUNTERS.add("members.asked_at_last")
                self._outbox.send(Kind.PING, known, seq=FINAL_CHECK_SEQ, target=name)
                retry_at = now + self._timing.timeout
                suspicion.timer = self._timers.schedule(
                    retry_at, lambda now: self._check(now, name, suspicion)
                )
                return
        elif now >= suspicion.ends_at:
            self._on_expired(now, known)
            return
        self._schedule_check(now, name, suspicion)  # it was extended, or has not ended yet
