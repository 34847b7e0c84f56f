"""SRV names as a source: the watches, their questions, and what they hear."""

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
from reedmount.dns.resolver import BETWEEN_SLICES, Resolver, ResolverSettings
from reedmount.dns.srv_lookup import LookupResult, RetryPolicy, SrvLookup
from reedmount.net.loop import Loop
from reedmount.pool.claims import Claim

NAME = "srv"
ASKED_A_TURN = 64


@dataclass(frozen=True, slots=True)
class SrvSettings:
    """What the operator's file says in ``[srv]``."""

    names: tuple[tuple[str, str], ...]  # SRV name and the transport it stands for, the preferred first
    resolver: ResolverSettings
    keep_for: timedelta = timedelta(days=1)  # beyond the lifetime, RFC 8767 section 5
    retry: RetryPolicy = field(default_factory=RetryPolicy)
    ipv6: bool = False


class ClaimSink(Protocol):
    """Who is told what the names say: the pool of call servers, or whoever looks for members."""

    @property
    def fallback_description(self) -> str:
        """What there is while the names cannot be learnt, for a line to the staff."""

    def full_update(
        self,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> None:
        """All that a name says."""

    def source_failed(self, source: str, why: str, part: str = "") -> None:
        """A name could not be learnt."""

    def drop(self, source: str, part: str = "") -> None:
        """A name is not asked for any more."""


class SrvSource:
    """One watch a name; each is a part of the source."""

    def __init__(self, loop: Loop, host: ClaimSink, settings: SrvSettings, rng: random.Random) -> None:
        self._loop, self._host, self.settings, self._rng = loop, host, settings, rng
        self.resolver = Resolver(loop, settings.resolver, rng)
        self._watches: dict[str, SrvLookup] = {}
        self._timers: dict[str, Timer] = {}
        self._silent: set[str] = set()  # names that have failed at the start, or since their last answer

    def start(self) -> None:
        """Ask for the first time."""
        for name, transport in self.settings.names:
            self._open(name, transport)

    def apply_settings(self, settings: SrvSettings) -> None:
        """Go by other settings: names that go are no part any more, new ones are asked for."""
        old, self.settings = dict(self.settings.names), settings
        self.resolver.apply_settings(settings.resolver)
        wanted = dict(settings.names)
        for name, transport in old.items():
            if wanted.get(name) != transport:
                self._close(name)
        for name, transport in wanted.items():
            watch = self._watches.get(name)
            if watch is None:
                self._open(name, transport)
            else:
                watch.limits, watch.retry = settings.resolver.limits, settings.retry
                watch.ipv6 = settings.ipv6
                if watch.due_at is not None:
                    self._set(name, timedelta(0))  # ask again with what holds now

    def close(self) -> None:
        """Ask nothing more; what was said stays."""
        for timer in self._timers.values():
            timer.cancel()
        self.resolver.close()

    def _open(self, name: str, transport: str) -> None:
        settings = self.settings
        self._watches[name] = SrvLookup(
            name, transport, settings.resolver.limits, settings.retry, settings.ipv6, self._rng
        )
        self._ask(name)

    def _close(self, name: str) -> None:
        del self._watches[name]
        self._silent.discard(name)
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        self._host.drop(NAME, name)

    # --- rounds ---

    def _set(self, name: str, span: timedelta) -> None:
        timer = self._timers.get(name)
        if timer is not None:
            timer.cancel()
        self._timers[name] = self._loop.call_later(span, lambda: self._ask(name))

    def _ask(self, name: str) -> None:
        watch = self._watches[name]
        COUNTERS.add("srv.rounds")
        self.resolver.resolve(watch.begin(), self._hearing(watch, self._heard), fresh=True)

    def _hearing(
        self, watch: SrvLookup, hear: Callable[[SrvLookup, Answer | LookupFailed], None]
    ) -> Callable[[Answer | LookupFailed], None]:
        """Hear an answer only as long as the watch is still wanted."""

        def heard(answer: Answer | LookupFailed) -> None:
            if self._watches.get(watch.name) is watch:
                hear(watch, answer)

        return heard

    def _heard(self, watch: SrvLookup, answer: Answer | LookupFailed) -> None:
        now = self._loop.clock.now()
        if isinstance(answer, LookupFailed):
            failed = watch.failed(now, answer.why)
            self._host.source_failed(NAME, failed.why, watch.name)
            if watch.name not in self._silent:
                self._silent.add(watch.name)
                log(
                    f"{watch.name}: {failed.why}; going on with {self._host.fallback_description}",
                    "srv.silent",
                )
            self._again(watch)
            return
        if watch.name in self._silent:
            self._silent.discard(watch.name)
            log(f"{watch.name}: answered again", "srv.answered_again")
        wanted = watch.heard(now, answer)
        if len(wanted) < ASKED_A_TURN:
            self._ask_some(watch, wanted, 0)
        else:
            self._loop.call_later(BETWEEN_SLICES, lambda: self._ask_some(watch, wanted, 0))

    def _ask_some(self, watch: SrvLookup, wanted: Sequence[Question], begin: int) -> None:
        """Ask for addresses, some in each turn; those that are still known come from the cache."""
        if self._watches.get(watch.name) is not watch:
            return
        now = self._loop.clock.now()
        for question in wanted[begin : begin + ASKED_A_TURN]:
            kept = self.resolver.cache.get(now, question)
            if kept is not None:
                watch.address(question, kept.answer)
            else:
                self.resolver.resolve(question, self._address(watch, question))
        if begin + ASKED_A_TURN < len(wanted):
            self._loop.call_later(BETWEEN_SLICES, lambda: self._ask_some(watch, wanted, begin + ASKED_A_TURN))
        self._maybe_end(watch)

    def _address(self, watch: SrvLookup, question: Question) -> Callable[[Answer | LookupFailed], None]:
        def heard(watch: SrvLookup, answer: Answer | LookupFailed) -> None:
            watch.address(question, answer if isinstance(answer, Answer) else None)
            self._maybe_end(watch)

        return self._hearing(watch, heard)

    def _maybe_end(self, watch: SrvLookup) -> None:
        if watch.complete and not watch.ending:
            watch.ending = True
            ending = watch.ends(self._loop.clock.now())
            if watch.size < ASKED_A_TURN:
                self._end(watch, ending)
            else:
                self._loop.call_later(BETWEEN_SLICES, lambda: self._end(watch, ending))

    def _end(self, watch: SrvLookup, ending: Generator[None, None, LookupResult]) -> None:
        """Put together what the name says, a slice in each turn."""
        if self._watches.get(watch.name) is not watch:
            return
        try:
            next(ending)
        except StopIteration as end:
            heard = end.value
            self._host.full_update(NAME, heard.claims, watch.name, heard.fresh_for, self.settings.keep_for)
            self._again(watch)
        else:
            self._loop.call_later(BETWEEN_SLICES, lambda: self._end(watch, ending))

    def _again(self, watch: SrvLookup) -> None:
        if watch.due_at is not None:
            self._set(watch.name, max(watch.due_at - self._loop.clock.now(), timedelta(0)))
