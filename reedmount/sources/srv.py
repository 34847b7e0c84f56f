"""SRV names as a source: schedules the lookup of each name and passes its results to the pool."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS, log
from reedmount.dns.answers import Answer
from reedmount.dns.query import LookupFailed
from reedmount.dns.reader import Question
from reedmount.dns.resolver import SLICE_INTERVAL, Resolver, ResolverSettings
from reedmount.dns.srv_lookup import LookupResult, RetryPolicy, SrvLookup
from reedmount.net.loop import Loop
from reedmount.pool.claims import Claim

NAME = "srv"
MAX_QUERIES_PER_TURN = 64


@dataclass(frozen=True, slots=True)
class SrvSettings:
    """Settings of the table ``[srv]`` of the operator's file."""

    names: tuple[tuple[str, str], ...]  # SRV name and its transport, the preferred first
    resolver: ResolverSettings
    keep_for: timedelta = timedelta(days=1)  # as stale, beyond the lifetime (RFC 8767, section 5)
    retry: RetryPolicy = field(default_factory=RetryPolicy)
    ipv6: bool = False


class ClaimSink(Protocol):
    """Receives the results of lookups: the pool of call servers, or the discovery of members."""

    @property
    def fallback_description(self) -> str:
        """What is in use while lookups fail, for the operator's log."""

    def full_update(
        self,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> None:
        """Take the complete result of a lookup."""

    def source_failed(self, source: str, reason: str, part: str = "") -> None:
        """Record that a lookup failed."""

    def drop(self, source: str, part: str = "") -> None:
        """Drop a name that is no longer looked up."""


class SrvSource:
    """Looks up each SRV name periodically; each name is a part of the source."""

    def __init__(self, loop: Loop, host: ClaimSink, settings: SrvSettings, rng: random.Random) -> None:
        self._loop, self._host, self.settings, self._rng = loop, host, settings, rng
        self.resolver = Resolver(loop, settings.resolver, rng)
        self._lookups: dict[str, SrvLookup] = {}
        self._timers: dict[str, Timer] = {}
        self._unanswered: set[str] = set()  # names without an answer since a failure

    def start(self) -> None:
        """Start the first lookup of each name."""
        for name, transport in self.settings.names:
            self._add_lookup(name, transport)

    def apply_settings(self, settings: SrvSettings) -> None:
        """Apply changed settings: drop names that were removed and look up new ones."""
        old, self.settings = dict(self.settings.names), settings
        self.resolver.apply_settings(settings.resolver)
        wanted = dict(settings.names)
        for name, transport in old.items():
            if wanted.get(name) != transport:
                self._remove_lookup(name)
        for name, transport in wanted.items():
            lookup = self._lookups.get(name)
            if lookup is None:
                self._add_lookup(name, transport)
            else:
                lookup.limits, lookup.retry = settings.resolver.limits, settings.retry
                lookup.ipv6 = settings.ipv6
                if lookup.due_at is not None:
                    self._schedule(name, timedelta(0))  # look up again with the new settings

    def close(self) -> None:
        """Stop all lookups; claims already passed on stay."""
        for timer in self._timers.values():
            timer.cancel()
        self.resolver.close()

    def _add_lookup(self, name: str, transport: str) -> None:
        settings = self.settings
        self._lookups[name] = SrvLookup(
            name, transport, settings.resolver.limits, settings.retry, settings.ipv6, self._rng
        )
        self._start_round(name)

    def _remove_lookup(self, name: str) -> None:
        del self._lookups[name]
        self._unanswered.discard(name)
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        self._host.drop(NAME, name)

    # --- rounds ---

    def _schedule(self, name: str, span: timedelta) -> None:
        timer = self._timers.get(name)
        if timer is not None:
            timer.cancel()
        self._timers[name] = self._loop.call_later(span, lambda: self._start_round(name))

    def _start_round(self, name: str) -> None:
        lookup = self._lookups[name]
        COUNTERS.add("srv.rounds")
        self.resolver.resolve(lookup.begin(), self._if_current(lookup, self._handle_answer), fresh=True)

    def _if_current(
        self, lookup: SrvLookup, handler: Callable[[SrvLookup, Answer | LookupFailed], None]
    ) -> Callable[[Answer | LookupFailed], None]:
        """Wrap a handler so that it gets an answer only while the lookup is still in use."""

        def deliver(answer: Answer | LookupFailed) -> None:
            if self._lookups.get(lookup.name) is lookup:
                handler(lookup, answer)

        return deliver

    def _handle_answer(self, lookup: SrvLookup, answer: Answer | LookupFailed) -> None:
        now = self._loop.clock.now()
        if isinstance(answer, LookupFailed):
            round_failed = lookup.round_failed(now, answer.why)
            self._host.source_failed(NAME, round_failed.why, lookup.name)
            if lookup.name not in self._unanswered:
                self._unanswered.add(lookup.name)
                log(
                    f"{lookup.name}: {round_failed.why}; going on with {self._host.fallback_description}",
                    "srv.silent",
                )
            self._schedule_next_round(lookup)
            return
        if lookup.name in self._unanswered:
            self._unanswered.discard(lookup.name)
            log(f"{lookup.name}: answered again", "srv.answered_again")
        questions = lookup.record_answer(now, answer)
        if len(questions) < MAX_QUERIES_PER_TURN:
            self._resolve_addresses(lookup, questions, 0)
        else:
            self._loop.call_later(SLICE_INTERVAL, lambda: self._resolve_addresses(lookup, questions, 0))

    def _resolve_addresses(self, lookup: SrvLookup, questions: Sequence[Question], begin: int) -> None:
        """Resolve target addresses, some in each turn, from the cache where possible."""
        if self._lookups.get(lookup.name) is not lookup:
            return
        now = self._loop.clock.now()
        for question in questions[begin : begin + MAX_QUERIES_PER_TURN]:
            cached = self.resolver.cache.get(now, question)
            if cached is not None:
                lookup.record_address(question, cached.answer)
            else:
                self.resolver.resolve(question, self._address_handler(lookup, question))
        if begin + MAX_QUERIES_PER_TURN < len(questions):
            self._loop.call_later(
                SLICE_INTERVAL,
                lambda: self._resolve_addresses(lookup, questions, begin + MAX_QUERIES_PER_TURN),
            )
        self._finish_if_complete(lookup)

    def _address_handler(
        self, lookup: SrvLookup, question: Question
    ) -> Callable[[Answer | LookupFailed], None]:
        def handle_address(lookup: SrvLookup, answer: Answer | LookupFailed) -> None:
            lookup.record_address(question, answer if isinstance(answer, Answer) else None)
            self._finish_if_complete(lookup)

        return self._if_current(lookup, handle_address)

    def _finish_if_complete(self, lookup: SrvLookup) -> None:
        if lookup.complete and not lookup.finishing:
            lookup.finishing = True
            finishing = lookup.finish(self._loop.clock.now())
            if lookup.size < MAX_QUERIES_PER_TURN:
                self._finish(lookup, finishing)
            else:
                self._loop.call_later(SLICE_INTERVAL, lambda: self._finish(lookup, finishing))

    def _finish(self, lookup: SrvLookup, finishing: Generator[None, None, LookupResult]) -> None:
        """Build the result of the lookup, one slice per turn, and pass it on."""
        if self._lookups.get(lookup.name) is not lookup:
            return
        try:
            next(finishing)
        except StopIteration as stop:
            result = stop.value
            self._host.full_update(NAME, result.claims, lookup.name, result.fresh_for, self.settings.keep_for)
            self._schedule_next_round(lookup)
        else:
            self._loop.call_later(SLICE_INTERVAL, lambda: self._finish(lookup, finishing))

    def _schedule_next_round(self, lookup: SrvLookup) -> None:
        if lookup.due_at is not None:
            self._schedule(lookup.name, max(lookup.due_at - self._loop.clock.now(), timedelta(0)))
