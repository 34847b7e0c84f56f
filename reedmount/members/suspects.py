"""Whom we suspect: how long, who else does, and that nobody is called dead who was not asked just before."""

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

FINAL_CHECK_SEQ = (
    0  # the number of what is asked of a suspected member before its death, outside of all probes
)


class Suspects:
    """The suspicions that run, one a member; the view's record of it is a suspicion as long as it is here."""

    def __init__(
        self,
        timing: Timing,
        view: View,
        timers: TimerQueue,
        outbox: Outbox,
        on_expired: Callable[[datetime, Record], None],
    ) -> None:
        """``dead`` hears of each whose time is up, with the record that was suspected."""
        self._timing, self._view, self._timers, self._outbox, self._on_expired = (
            timing,
            view,
            timers,
            outbox,
            on_expired,
        )
        self._running: dict[str, Suspicion] = {}

    def begin(self, now: datetime, record: Record) -> None:
        """This member is suspected from now on, of this incarnation."""
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
        """Somebody says the same; whether that is news that others need."""
        suspicion = self._running.get(record.name)
        if suspicion is None or not suspicion.confirm(record.by):
            return False
        self._schedule_check(now, record.name, suspicion)
        return True

    def clear(self, name: str) -> None:
        """It is not suspected any more, or not of that."""
        suspicion = self._running.pop(name, None)
        if suspicion is not None and suspicion.timer is not None:
            suspicion.timer.cancel()

    def extend(self, span: timedelta) -> None:
        """We were away for that long."""
        for suspicion in self._running.values():
            suspicion.extend(span)

    def _schedule_check(self, now: datetime, name: str, suspicion: Suspicion) -> None:
        """Look at it when its end nears: then we ask the member ourselves some times, and wait for its end.

        Its refutation may have been lost on all ways to us, and gossip cannot say everything where much is
        lost: whoever calls another dead has asked it just before, and had no answer. An answer brings a
        greater record, which ends the suspicion.
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
        self._schedule_check(now, name, suspicion)  # it was extended meanwhile, or its end is not there yet
