"""Whom we suspect: how long, who else does, and that nobody is called dead who was not asked just before."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.members.outbox import Outbox
from reedmount.members.record import Record
from reedmount.members.settings import Timing
from reedmount.members.suspicion import Suspicion
from reedmount.members.timer_queue import Dues
from reedmount.members.view import View
from reedmount.members.wire import Kind

AT_LAST = 0  # the number of what is asked of a suspected member before its death, outside of all probes


class Suspects:
    """The suspicions that run, one a member; the view's record of it is a suspicion as long as it is here."""

    def __init__(
        self, timing: Timing, view: View, dues: Dues, box: Outbox, dead: Callable[[datetime, Record], None]
    ) -> None:
        """``dead`` hears of each whose time is up, with the record that was suspected."""
        self._timing, self._view, self._dues, self._box, self._dead = timing, view, dues, box, dead
        self._running: dict[str, Suspicion] = {}

    def begin(self, now: datetime, record: Record) -> None:
        """This member is suspected from now on, of this incarnation."""
        self.clear(record.name)
        members = len(self._view.there) + 1
        COUNTERS.add("members.suspected")
        suspicion = self._running[record.name] = Suspicion(
            now,
            self._timing.shortest_suspicion(members),
            self._timing.longest_suspicion(members),
            self._timing.relays,
            record.by,
            members - 1,
        )
        self._watch(now, record.name, suspicion)

    def confirmed(self, now: datetime, record: Record) -> bool:
        """Somebody says the same; whether that is news that others need."""
        suspicion = self._running.get(record.name)
        if suspicion is None or not suspicion.confirmed(record.by):
            return False
        self._watch(now, record.name, suspicion)
        return True

    def clear(self, name: str) -> None:
        """It is not suspected any more, or not of that."""
        suspicion = self._running.pop(name, None)
        if suspicion is not None and suspicion.due is not None:
            suspicion.due.cancel()

    def extend(self, span: timedelta) -> None:
        """We were away for that long."""
        for suspicion in self._running.values():
            suspicion.extend(span)

    def _watch(self, now: datetime, name: str, suspicion: Suspicion) -> None:
        """Look at it when its end nears: then we ask the member ourselves some times, and wait for its end.

        Its refutation may have been lost on all ways to us, and gossip cannot say everything where much is
        lost: whoever calls another dead has asked it just before, and had no answer. An answer brings a
        greater record, which ends the suspicion.
        """
        if suspicion.due is not None:
            suspicion.due.cancel()
        begins = suspicion.ends_at
        if suspicion.asked < self._timing.asked_at_last:
            begins -= self._timing.last_asking
        suspicion.due = self._dues.at(max(now, begins), lambda now: self._look(now, name, suspicion))

    def _look(self, now: datetime, name: str, suspicion: Suspicion) -> None:
        known = self._view.get(name)
        if self._running.get(name) is not suspicion or known is None:
            return
        if suspicion.asked < self._timing.asked_at_last:
            if now >= suspicion.ends_at - self._timing.last_asking:
                suspicion.asked += 1
                COUNTERS.add("members.asked_at_last")
                self._box.send(Kind.PING, known, seq=AT_LAST, target=name)
                again = now + self._timing.timeout
                suspicion.due = self._dues.at(again, lambda now: self._look(now, name, suspicion))
                return
        elif now >= suspicion.ends_at:
            self._dead(now, known)
            return
        self._watch(now, name, suspicion)  # it was extended meanwhile, or its end is not there yet
