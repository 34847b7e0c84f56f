"""The membership protocol as a state machine: ``(now, datagram or time) -> datagrams and changes``. No I/O.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018): docs/design/membership.md has
what was chosen and why. The owner gives it datagrams (``heard``), calls ``wake`` when ``due_at`` has come and
carries out what both return. All times are the owner's clock; none is ever compared with another member's.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from datetime import datetime, timedelta

from msgspec.structs import replace

from reedmount.core.checks import COUNTERS
from reedmount.members.anti_entropy import Repair
from reedmount.members.damping import Damping
from reedmount.members.dissemination import Spread
from reedmount.members.health import LocalHealth
from reedmount.members.knowledge import Fact
from reedmount.members.observation_gossip import Rumours
from reedmount.members.outbox import PAGES, Outbox, Output, Stood, Told
from reedmount.members.prober import MAX_RELAYED, Probe, Relayed, Round
from reedmount.members.quorum import Count, Standing, VoterSet
from reedmount.members.record import WORD, Record, State
from reedmount.members.settings import Timing
from reedmount.members.suspects import AT_LAST, Suspects
from reedmount.members.timer_queue import Dues
from reedmount.members.view import Change, View
from reedmount.members.wire import Kind, Message, WireError, group_of, read
from reedmount.net.connection import Address

TOUCH_HEARD = 5  # others heard of late, or a majority where that is less: then we are in touch
JOIN_ASKED = 8  # that are asked at once who is there
WAYS_FOUND = 64  # addresses to join by that are kept beside those of the settings


class Protocol:
    """One member. It owns its view, its suspicions and its probes; a restart loses all of them, and the
    others give the view back."""

    def __init__(
        self,
        timing: Timing,
        group: str,
        me: Record,
        voter_sets: tuple[VoterSet, ...],
        seed_addresses: tuple[Address, ...],
        seed: int,
        nonvoters: bool = True,
    ) -> None:
        """``voter_sets``: ours, then those before it that others may still go by. ``seed_addresses``:
        addresses to join by. ``nonvoters``: whether members outside the rosters are taken (they
        never count)."""
        self.timing, self.group = timing, group_of(group)
        self.health = LocalHealth()
        self.damping = Damping()
        self._rng = random.Random(seed)
        self._kept = frozenset[str]().union(*(voters.names for voters in voter_sets))
        self._nonvoters = nonvoters
        self._seed_addresses = tuple(way for way in dict.fromkeys(seed_addresses) if way != me.address)
        self._found_ways: tuple[Address, ...] = ()
        self.view = View(me.name, self._kept, timing.forget)
        self.count = Count(me.name, voter_sets)
        self.standing = Standing.JOINING
        self.left = False
        self._spread: Spread[Record] = Spread(timing.times)
        self.rumours = Rumours(me.name, timing.times)
        self._box = Outbox(self.group, replace(me, voters_id=voter_sets[0].id), self.view, self._spread)
        self._round = Round(self.view, self._rng)
        self._dues = Dues()
        self._seq = self._rng.randrange(WORD)
        self._probes: dict[int, Probe] = {}
        self._relayed: dict[int, Relayed] = {}
        self._suspects = Suspects(timing, self.view, self._dues, self._box, self._called_dead)
        self._heard_at: dict[str, datetime] = {}  # of the rosters, at first hand, the latest last
        self._joined = self._in_touch = False
        self._restand = True  # what the standing goes by has changed
        self._periods = 0
        self._gossiping = False
        self._repair = Repair(self.view, self._box, self._spread, self._rng)

    # --- what the owner calls ---

    def start(self, now: datetime) -> list[Output]:
        """Begin: ask who is there, and probe from now on, out of step with the others."""
        self._say(now, self.me)
        self._join(now)
        self._dues.at(now + self.timing.interval * self._rng.random(), self._period)
        self._dues.at(now + self.timing.interval, self._sweep)
        return self._done()

    def heard(self, now: datetime, source: Address, data: bytes) -> list[Output]:
        """A datagram has come. What cannot be taken gets a counter (``members.dropped.*``), nothing else."""
        self._mind_the_gap(now)
        try:
            message = read(self.group, data)
        except WireError as fault:
            COUNTERS.add(f"members.dropped.{fault.reason}")
            return self._done()
        if self._acceptable(message, source):
            COUNTERS.add("members.heard")
            self._take(now, message)
        return self._done()

    def wake(self, now: datetime) -> list[Output]:
        """``due_at`` has come."""
        self._mind_the_gap(now)
        self._dues.run(now)
        return self._done()

    def saw(self, now: datetime, fact: Fact) -> list[Output]:
        """We saw this of a call server ourselves, just now: tell the others."""
        self.rumours.saw(now, fact)
        self._wake_gossip(now)
        return self._done()

    def ways(self, now: datetime, found: Iterable[Address]) -> list[Output]:
        """Addresses to join by, beside those of the settings; they take the place of those found before."""
        self._found_ways = tuple(way for way in dict.fromkeys(found) if way != self.me.address)[:WAYS_FOUND]
        if not self._in_touch and not self.left:
            self._join(now)
        return self._done()

    @property
    def due_at(self) -> datetime | None:
        """When ``wake`` is to be called."""
        return self._dues.next_at

    def leave(self, now: datetime) -> list[Output]:
        """Say that we go, for good: nobody has to find out. What comes after it is answered no more."""
        self.left = True
        self._say(now, replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT))
        self._gossip_to(self.view.there.draw(self._rng, 2 * self.timing.fanout))
        return self._done()

    @property
    def alive(self) -> int:
        """How many are alive as we see it, ourselves included; a suspected one may be, and counts."""
        return len(self.view.there) + 1

    @property
    def news(self) -> int:
        """How much is still to be passed on: records of members and words of call servers."""
        return len(self._spread) + len(self.rumours)

    @property
    def me(self) -> Record:
        """What we say of ourselves."""
        return self._box.me

    def _say(self, now: datetime, me: Record) -> None:
        self._box.me = me
        self.view.take(now, me)
        self._spread.put(me)
        self._wake_gossip(now)

    # --- what has come ---

    def _acceptable(self, message: Message, source: Address) -> bool:
        sender = message.sender
        reason = None
        if self.left:
            reason = "left"
        elif sender.name == self.me.name:
            reason = "own_name"  # of a life before this one, or a second process under our name
        elif sender.address != source:
            reason = "source"
        elif not self._nonvoters and sender.name not in self._kept:
            reason = "stranger"
        elif not self.view.believable(sender):
            reason = "jump"
        if reason is not None:
            COUNTERS.add(f"members.dropped.{reason}")
        return reason is None

    def _take(self, now: datetime, message: Message) -> None:
        sender = message.sender
        self._learn(now, sender)
        if sender.there and sender.name in self._kept:
            self._heard_at.pop(sender.name, None)
            self._heard_at[sender.name] = now
            self._look_whether_in_touch()
        # A page of a table tells a newcomer what all others know: it passes on what was other news to it.
        page = message.kind == Kind.STATE
        for record in message.records:
            if record.name == self.me.name:
                self._about_me(now, record)
            elif (self._nonvoters or record.name in self._kept) and self.view.believable(record):
                self._learn(now, record, pass_on=not page or self.view.get(record.name) is not None)
            else:
                COUNTERS.add("members.records_refused")
        match message.kind:
            case Kind.PING:
                self._box.send(Kind.ACK, sender, seq=message.seq, target=self.me.name)
            case Kind.ACK:
                self._answered(message)
            case Kind.RELAY:
                self._relay(now, message)
            case Kind.NACK:
                probe = self._probes.get(message.seq)
                if probe is not None:
                    probe.asked.discard(sender.name)
            case Kind.JOIN:
                self._tell_all(now, sender)
            case Kind.BUCKETS:
                self._repair.mend(message)
            case Kind.FACTS:
                self._heard_facts(now, message)
            case Kind.STATE | Kind.GOSSIP:
                pass  # their records were all
            case _:
                COUNTERS.add("members.kind_unknown")  # of a later version that we may read
                return
        self._repair.compare(message)

    def _learn(self, now: datetime, record: Record, pass_on: bool = True) -> None:
        """Merge one claim about another member, and do what follows from it."""
        known = self.view.get(record.name)
        change = self.view.take(now, record)
        if change is None:
            same = known is not None and record.rank == known.rank
            if same and self._suspects.confirmed(now, record):
                self._spread.put(record)
            return
        if pass_on:
            self._spread.put(record)
            self._wake_gossip(now)
        self._changed(now, change)

    def _changed(self, now: datetime, change: Change) -> None:
        old, new = change.old, change.new
        self._restand = True
        self._box.add(change)
        self.count.changed(change.name, old, new)
        if new is None:
            self._suspects.clear(change.name)
            return
        name = new.name
        if new.there and (old is None or not old.there):
            self._round.joined(name)
        if old is not None and old.state is State.DEAD and new.there:
            COUNTERS.add("members.came_back")
            if self.damping.came_back(now, name):
                COUNTERS.add("members.damped")
                self.count.damp(name, True, new.state)
        elif old is not None and old.there and new.there and old.boot_id != new.boot_id:
            COUNTERS.add("members.restarted")
        if new.state is State.SUSPECT:
            self._suspects.begin(now, new)
        else:
            self._suspects.clear(name)
        if new.state is State.DEAD:
            COUNTERS.add("members.dead")

    def _about_me(self, now: datetime, record: Record) -> None:
        """Somebody claims something of us. Where it would win over what we say, we raise our incarnation."""
        if record.rank <= self.me.rank or self.left:
            return
        if not self.view.believable(record):
            COUNTERS.add("members.dropped.jump")
            return
        if record.boot_id == self.me.boot_id and record.state is not State.ALIVE:
            self.health.worse()
            COUNTERS.add("members.refuted")
        elif record.boot_id != self.me.boot_id and self._joined:
            COUNTERS.add("members.twin")  # a process before us would have been met while we joined
        self._say(now, replace(self.me, incarnation=record.incarnation + 1))

    # --- probes ---

    def _period(self, now: datetime) -> None:
        """Once an interval, longer where we do badly: probe the next, at times one that is dead."""
        self._periods += 1
        self._repair.period()
        self._dues.at(now + self.health.scaled(self.timing.interval), self._period)
        if self.left:
            return
        name = self._round.next()
        if name is not None:
            self._probe(now, name)
        if self._periods % self.timing.dead_every == 0 and len(self.view.dead):
            self._probe(now, self.view.dead.draw(self._rng, 1)[0])

    def _sweep(self, now: datetime) -> None:
        """Once an interval, however we do: whom we heard of late, what is forgotten, who is damped."""
        self._dues.at(now + self.timing.interval, self._sweep)
        while self._heard_at and now - next(iter(self._heard_at.values())) > self.timing.touch:
            del self._heard_at[next(iter(self._heard_at))]
        self._look_whether_in_touch()
        if not self._joined and not self.left:
            self._join(now)
        self.rumours.knowledge.forget(now)
        for change in self.view.forgotten(now):
            self._changed(now, change)
        for released in self.damping.sweep(now):
            self._restand = True
            known = self.view.get(released)
            self.count.damp(released, False, None if known is None else known.state)

    def _probe(self, now: datetime, name: str) -> None:
        target = self.view.get(name)
        if target is None:
            return
        probe = Probe(self._next_seq(), name, target.incarnation, not target.there)
        self._probes[probe.seq] = probe
        COUNTERS.add("members.probes")
        self._box.send(Kind.PING, target, seq=probe.seq, target=name)
        late, end = (self.health.scaled(span) for span in (self.timing.timeout, self.timing.interval))
        probe.dues = [
            self._dues.at(now + again * late, lambda now: self._ask_again(probe))
            for again in range(1, self.timing.asked_again + 1)
        ]
        probe.dues.append(self._dues.at(now + end, lambda now: self._unanswered(now, probe)))

    def _ask_again(self, probe: Probe) -> None:
        """No answer yet: ask once more, ourselves and by others, the same ones each time.

        Where datagrams get lost, each further time makes failed probes rarer by more than half; where none
        do, there is none.
        """
        target = self.view.get(probe.name)
        if probe.of_the_dead or target is None:
            return
        self._box.send(Kind.PING, target, seq=probe.seq, target=probe.name)
        if not probe.relays:
            names = self.view.there.draw(self._rng, self.timing.relays, but=probe.name)
            probe.relays = [name for name in names if self._alive(name)]
            probe.asked.update(probe.relays)
        for name in probe.relays:
            relay = self.view.get(name)
            if relay is not None:
                COUNTERS.add("members.relays_asked")
                self._box.send(Kind.RELAY, relay, seq=probe.seq, target=probe.name, first=(target,))

    def _alive(self, name: str) -> bool:
        known = self.view.get(name)
        return known is not None and known.state is State.ALIVE

    def _answered(self, message: Message) -> None:
        probe = self._probes.get(message.seq)
        if probe is not None and probe.name == message.target:
            self._end_probe(probe)
            if not probe.of_the_dead:
                self.health.better()
            return
        relayed = self._relayed.get(message.seq)
        if relayed is not None and message.target == message.sender.name:
            relayed.due.cancel()
            del self._relayed[message.seq]
            asker = self.view.get(relayed.asker)
            if asker is not None:
                found = message.sender
                self._box.send(Kind.ACK, asker, seq=relayed.seq, target=found.name, first=(found,))
            return
        COUNTERS.add("members.acks_at_last" if message.seq == AT_LAST else "members.acks_late")

    def _unanswered(self, now: datetime, probe: Probe) -> None:
        self._end_probe(probe)
        if probe.of_the_dead:
            return
        COUNTERS.add("members.probes_failed")
        # Where relays say that they had no answer either, it is not us who hear nothing.
        self.health.worse(len(probe.asked) if probe.relays else 1)
        known = self.view.get(probe.name)
        if known is None or known.incarnation != probe.incarnation or not known.there:
            return
        self._learn(now, known.as_state(State.SUSPECT, self.me.name))

    def _next_seq(self) -> int:
        self._seq = (self._seq + 1) & WORD or AT_LAST + 1
        return self._seq

    def _called_dead(self, now: datetime, record: Record) -> None:
        """A suspicion has come to its end, and the member itself has not answered."""
        self._learn(now, record.as_state(State.DEAD))

    def _end_probe(self, probe: Probe) -> None:
        self._probes.pop(probe.seq, None)
        for due in probe.dues:
            due.cancel()

    def _relay(self, now: datetime, message: Message) -> None:
        """Probe one for another member, which could not reach it."""
        target = self.view.get(message.target)
        asker = message.sender
        if target is None or len(self._relayed) >= MAX_RELAYED:
            COUNTERS.add("members.relays_refused")
            self._box.send(Kind.NACK, asker, seq=message.seq, target=message.target)
            return
        seq = self._next_seq()

        def over(now: datetime) -> None:
            if self._relayed.pop(seq, None) is not None:
                self._box.send(Kind.NACK, asker, seq=message.seq, target=message.target)

        due = self._dues.at(now + self.timing.nack_after, over)
        self._relayed[seq] = Relayed(asker.name, message.seq, due)
        self._box.send(Kind.PING, target, seq=seq, target=target.name)

    def _mind_the_gap(self, now: datetime) -> None:
        """Woken much later than we asked to be, we were away: nobody else was.

        Without it a process that was stopped finds, on its way back, every probe unanswered and every
        suspicion at its end, and tells all others that they are dead.
        """
        due = self.due_at
        away = now - due if due is not None else timedelta(0)
        if away <= self.timing.stall:
            return
        COUNTERS.add("members.stalls")
        self.health.worse()
        for probe in list(self._probes.values()):
            self._end_probe(probe)
        self._suspects.extend(away)
        self._dues.run(now)  # so that what comes next finds us on time

    # --- joining, repair ---

    def _join(self, now: datetime) -> None:
        """Ask some of the ways in who is there, until enough have answered."""
        known = list(dict.fromkeys(self._seed_addresses + self._found_ways))
        for way in self._rng.sample(known, min(JOIN_ASKED, len(known))):
            self._box.send_to(Kind.JOIN, way)
        self._look_whether_in_touch()

    def _look_whether_in_touch(self) -> None:
        """Whether enough others were heard of late, by ourselves; from the first time on we have joined.

        Suspicions take their time, and the longer the worse we do, as a member that is cut off does: until
        then its table shows a majority that it has lost.
        """
        in_touch = len(self._heard_at) >= min(TOUCH_HEARD, self.count.current.majority - 1)
        if in_touch != self._in_touch:
            self._in_touch, self._restand = in_touch, True
            self._joined = self._joined or in_touch

    def _tell_all(self, now: datetime, sender: Record) -> None:
        """Some of the table to a newcomer, drawn at random: several are asked, and repair brings the rest."""
        names = self.view.there.draw(self._rng, len(self.view.there), but=sender.name)
        known = [record for name in names if (record := self.view.get(name)) is not None]
        self._box.send_pages(sender, known)
        facts = self.rumours.all_facts(now)
        for _ in range(PAGES):
            if facts:
                facts = facts[max(1, self._box.send_facts(sender, facts)) :]

    def _heard_facts(self, now: datetime, message: Message) -> None:
        """From members that count alone: a guest's word keeps no call server from being used."""
        if message.sender.name not in self._kept:
            COUNTERS.add("members.facts_refused", len(message.facts))
            return
        news = self.rumours.told(now, (fact for fact in message.facts if fact.by in self._kept))
        if news:
            COUNTERS.add("members.facts_news", len(news))
            self._box.add(Told(news))
            self._wake_gossip(now)

    # --- gossip ---

    def _wake_gossip(self, now: datetime) -> None:
        if not self._gossiping:
            self._gossiping = True
            self._dues.at(now + self.timing.gossip * self._rng.random(), self._gossip)

    def _gossip(self, now: datetime) -> None:
        self._gossiping = False
        if not self.news:
            return
        names = self.view.there.draw(self._rng, self.timing.fanout)
        if len(self._spread):
            self._gossip_to(names)
        self._tell_facts(now, names)
        self._gossiping = True
        self._dues.at(now + self.timing.gossip, self._gossip)

    def _gossip_to(self, names: Iterable[str]) -> None:
        for name in names:
            known = self.view.get(name)
            if known is not None:
                self._box.send(Kind.GOSSIP, known)

    def _tell_facts(self, now: datetime, names: Iterable[str]) -> None:
        for name in names:
            known = self.view.get(name)
            rumours, facts = self.rumours.next_facts(now)
            if known is not None and facts:
                sent = self._box.send_facts(known, facts)
                self.rumours.sent(rumours[:sent], len(self.view.there) + 1)

    def _done(self) -> list[Output]:
        if self._restand:
            self._restand = False
            standing = self.count.standing(self._joined, self._in_touch)
            if standing is not self.standing:
                self._box.add(Stood(self.standing, standing))
                self.standing = standing
        return self._box.taken()
