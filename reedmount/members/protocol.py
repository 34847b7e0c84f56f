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
from reedmount.members.anti_entropy import AntiEntropy
from reedmount.members.damping import Damping
from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.health import LocalHealth
from reedmount.members.knowledge import Observation
from reedmount.members.observation_gossip import ObservationGossip
from reedmount.members.outbox import MAX_PAGES, ObservationsReceived, Outbox, Output, QuorumChanged
from reedmount.members.prober import MAX_RELAYED, Probe, ProbeRound, Relayed
from reedmount.members.quorum import QuorumState, QuorumTracker, VoterSet
from reedmount.members.record import UINT32_MAX, Record, State
from reedmount.members.settings import Timing
from reedmount.members.suspects import FINAL_CHECK_SEQ, Suspects
from reedmount.members.timer_queue import TimerQueue
from reedmount.members.view import Change, View
from reedmount.members.wire import Kind, Message, WireError, group_of, read
from reedmount.net.connection import Address

MIN_CONTACTS = 5  # others heard of late, or a majority where that is less: then we are in touch
JOIN_FANOUT = 8  # that are asked at once who is there
MAX_FOUND_SEEDS = 64  # addresses to join by that are kept beside those of the settings


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
        self._voter_names = frozenset[str]().union(*(voters.names for voters in voter_sets))
        self._nonvoters = nonvoters
        self._seed_addresses = tuple(
            seed_address for seed_address in dict.fromkeys(seed_addresses) if seed_address != me.address
        )
        self._found_seeds: tuple[Address, ...] = ()
        self.view = View(me.name, self._voter_names, timing.forget)
        self.quorum = QuorumTracker(me.name, voter_sets)
        self.quorum_state = QuorumState.JOINING
        self.left = False
        self._dissemination: DisseminationQueue[Record] = DisseminationQueue(timing.times)
        self.observation_gossip = ObservationGossip(me.name, timing.times)
        self._outbox = Outbox(
            self.group, replace(me, voters_id=voter_sets[0].id), self.view, self._dissemination
        )
        self._probe_round = ProbeRound(self.view, self._rng)
        self._timers = TimerQueue()
        self._seq = self._rng.randrange(UINT32_MAX)
        self._probes: dict[int, Probe] = {}
        self._relayed: dict[int, Relayed] = {}
        self._suspects = Suspects(timing, self.view, self._timers, self._outbox, self._suspicion_expired)
        self._last_received: dict[str, datetime] = {}  # of the rosters, at first hand, the latest last
        self._joined = self._has_contact = False
        self._quorum_stale = True  # what the standing goes by has changed
        self._periods = 0
        self._gossiping = False
        self._anti_entropy = AntiEntropy(self.view, self._outbox, self._dissemination, self._rng)

    # --- what the owner calls ---

    def start(self, now: datetime) -> list[Output]:
        """Begin: ask who is there, and probe from now on, out of step with the others."""
        self._publish_own(now, self.me)
        self._join(now)
        self._timers.schedule(now + self.timing.interval * self._rng.random(), self._probe_period)
        self._timers.schedule(now + self.timing.interval, self._sweep)
        return self._collect_outputs()

    def datagram_received(self, now: datetime, source: Address, data: bytes) -> list[Output]:
        """A datagram has come. What cannot be taken gets a counter (``members.dropped.*``), nothing else."""
        self._compensate_stall(now)
        try:
            message = read(self.group, data)
        except WireError as fault:
            COUNTERS.add(f"members.dropped.{fault.reason}")
            return self._collect_outputs()
        if self._is_acceptable(message, source):
            COUNTERS.add("members.heard")
            self._handle_message(now, message)
        return self._collect_outputs()

    def wake(self, now: datetime) -> list[Output]:
        """``due_at`` has come."""
        self._compensate_stall(now)
        self._timers.run(now)
        return self._collect_outputs()

    def observe(self, now: datetime, observation: Observation) -> list[Output]:
        """We saw this of a call server ourselves, just now: tell the others."""
        self.observation_gossip.observe(now, observation)
        self._schedule_gossip(now)
        return self._collect_outputs()

    def seeds_found(self, now: datetime, found: Iterable[Address]) -> list[Output]:
        """Addresses to join by, beside those of the settings; they take the place of those found before."""
        self._found_seeds = tuple(
            seed_address for seed_address in dict.fromkeys(found) if seed_address != self.me.address
        )[:MAX_FOUND_SEEDS]
        if not self._has_contact and not self.left:
            self._join(now)
        return self._collect_outputs()

    @property
    def due_at(self) -> datetime | None:
        """When ``wake`` is to be called."""
        return self._timers.next_at

    def leave(self, now: datetime) -> list[Output]:
        """Say that we go, for good: nobody has to find out. What comes after it is answered no more."""
        self.left = True
        self._publish_own(now, replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT))
        self._gossip_to(self.view.present.draw(self._rng, 2 * self.timing.fanout))
        return self._collect_outputs()

    @property
    def alive(self) -> int:
        """How many are alive as we see it, ourselves included; a suspected one may be, and counts."""
        return len(self.view.present) + 1

    @property
    def pending_updates(self) -> int:
        """How much is still to be passed on: records of members and words of call servers."""
        return len(self._dissemination) + len(self.observation_gossip)

    @property
    def me(self) -> Record:
        """What we say of ourselves."""
        return self._outbox.me

    def _publish_own(self, now: datetime, me: Record) -> None:
        self._outbox.me = me
        self.view.merge(now, me)
        self._dissemination.put(me)
        self._schedule_gossip(now)

    # --- what has come ---

    def _is_acceptable(self, message: Message, source: Address) -> bool:
        sender = message.sender
        reason = None
        if self.left:
            reason = "left"
        elif sender.name == self.me.name:
            reason = "own_name"  # of a life before this one, or a second process under our name
        elif sender.address != source:
            reason = "source"
        elif not self._nonvoters and sender.name not in self._voter_names:
            reason = "stranger"
        elif not self.view.is_plausible(sender):
            reason = "jump"
        if reason is not None:
            COUNTERS.add(f"members.dropped.{reason}")
        return reason is None

    def _handle_message(self, now: datetime, message: Message) -> None:
        sender = message.sender
        self._merge(now, sender)
        if sender.present and sender.name in self._voter_names:
            self._last_received.pop(sender.name, None)
            self._last_received[sender.name] = now
            self._update_contact()
        # A page of a table tells a newcomer what all others know: it passes on what was other news to it.
        page = message.kind == Kind.STATE
        for record in message.records:
            if record.name == self.me.name:
                self._handle_own_claim(now, record)
            elif (self._nonvoters or record.name in self._voter_names) and self.view.is_plausible(record):
                self._merge(now, record, pass_on=not page or self.view.get(record.name) is not None)
            else:
                COUNTERS.add("members.records_refused")
        match message.kind:
            case Kind.PING:
                self._outbox.send(Kind.ACK, sender, seq=message.seq, target=self.me.name)
            case Kind.ACK:
                self._handle_ack(message)
            case Kind.RELAY:
                self._relay_probe(now, message)
            case Kind.NACK:
                probe = self._probes.get(message.seq)
                if probe is not None:
                    probe.awaited_nacks.discard(sender.name)
            case Kind.JOIN:
                self._send_state(now, sender)
            case Kind.BUCKETS:
                self._anti_entropy.handle_buckets(message)
            case Kind.OBSERVATIONS:
                self._receive_observations(now, message)
            case Kind.STATE | Kind.GOSSIP:
                pass  # their records were all
            case _:
                COUNTERS.add("members.kind_unknown")  # of a later version that we may read
                return
        self._anti_entropy.compare_digest(message)

    def _merge(self, now: datetime, record: Record, pass_on: bool = True) -> None:
        """Merge one claim about another member, and do what follows from it."""
        known = self.view.get(record.name)
        change = self.view.merge(now, record)
        if change is None:
            same = known is not None and record.rank == known.rank
            if same and self._suspects.confirm(now, record):
                self._dissemination.put(record)
            return
        if pass_on:
            self._dissemination.put(record)
            self._schedule_gossip(now)
        self._member_changed(now, change)

    def _member_changed(self, now: datetime, change: Change) -> None:
        old, new = change.old, change.new
        self._quorum_stale = True
        self._outbox.add(change)
        self.quorum.member_changed(change.name, old, new)
        if new is None:
            self._suspects.clear(change.name)
            return
        name = new.name
        if new.present and (old is None or not old.present):
            self._probe_round.add(name)
        if old is not None and old.state is State.DEAD and new.present:
            COUNTERS.add("members.came_back")
            if self.damping.penalize(now, name):
                COUNTERS.add("members.damped")
                self.quorum.set_damped(name, True, new.state)
        elif old is not None and old.present and new.present and old.boot_id != new.boot_id:
            COUNTERS.add("members.restarted")
        if new.state is State.SUSPECT:
            self._suspects.begin(now, new)
        else:
            self._suspects.clear(name)
        if new.state is State.DEAD:
            COUNTERS.add("members.dead")

    def _handle_own_claim(self, now: datetime, record: Record) -> None:
        """Somebody claims something of us. Where it would win over what we say, we raise our incarnation."""
        if record.rank <= self.me.rank or self.left:
            return
        if not self.view.is_plausible(record):
            COUNTERS.add("members.dropped.jump")
            return
        if record.boot_id == self.me.boot_id and record.state is not State.ALIVE:
            self.health.degrade()
            COUNTERS.add("members.refuted")
        elif record.boot_id != self.me.boot_id and self._joined:
            COUNTERS.add("members.twin")  # a process before us would have been met while we joined
        self._publish_own(now, replace(self.me, incarnation=record.incarnation + 1))

    # --- probes ---

    def _probe_period(self, now: datetime) -> None:
        """Once an interval, longer where we do badly: probe the next, at times one that is dead."""
        self._periods += 1
        self._anti_entropy.begin_period()
        self._timers.schedule(now + self.health.scaled(self.timing.interval), self._probe_period)
        if self.left:
            return
        name = self._probe_round.next()
        if name is not None:
            self._probe(now, name)
        if self._periods % self.timing.dead_every == 0 and len(self.view.dead):
            self._probe(now, self.view.dead.draw(self._rng, 1)[0])

    def _sweep(self, now: datetime) -> None:
        """Once an interval, however we do: whom we heard of late, what is forgotten, who is damped."""
        self._timers.schedule(now + self.timing.interval, self._sweep)
        while (
            self._last_received
            and now - next(iter(self._last_received.values())) > self.timing.contact_window
        ):
            del self._last_received[next(iter(self._last_received))]
        self._update_contact()
        if not self._joined and not self.left:
            self._join(now)
        self.observation_gossip.knowledge.forget(now)
        for change in self.view.expire(now):
            self._member_changed(now, change)
        for released in self.damping.sweep(now):
            self._quorum_stale = True
            known = self.view.get(released)
            self.quorum.set_damped(released, False, None if known is None else known.state)

    def _probe(self, now: datetime, name: str) -> None:
        target = self.view.get(name)
        if target is None:
            return
        probe = Probe(self._next_seq(), name, target.incarnation, not target.present)
        self._probes[probe.seq] = probe
        COUNTERS.add("members.probes")
        self._outbox.send(Kind.PING, target, seq=probe.seq, target=name)
        retry_after, end = (self.health.scaled(span) for span in (self.timing.timeout, self.timing.interval))
        probe.timers = [
            self._timers.schedule(now + attempt * retry_after, lambda now: self._retry_probe(probe))
            for attempt in range(1, self.timing.probe_retries + 1)
        ]
        probe.timers.append(self._timers.schedule(now + end, lambda now: self._probe_failed(now, probe)))

    def _retry_probe(self, probe: Probe) -> None:
        """No answer yet: ask once more, ourselves and by others, the same ones each time.

        Where datagrams get lost, each further time makes failed probes rarer by more than half; where none
        do, there is none.
        """
        target = self.view.get(probe.name)
        if probe.target_dead or target is None:
            return
        self._outbox.send(Kind.PING, target, seq=probe.seq, target=probe.name)
        if not probe.relays:
            names = self.view.present.draw(self._rng, self.timing.relays, exclude=probe.name)
            probe.relays = [name for name in names if self._is_alive(name)]
            probe.awaited_nacks.update(probe.relays)
        for name in probe.relays:
            relay = self.view.get(name)
            if relay is not None:
                COUNTERS.add("members.relays_asked")
                self._outbox.send(Kind.RELAY, relay, seq=probe.seq, target=probe.name, first=(target,))

    def _is_alive(self, name: str) -> bool:
        known = self.view.get(name)
        return known is not None and known.state is State.ALIVE

    def _handle_ack(self, message: Message) -> None:
        probe = self._probes.get(message.seq)
        if probe is not None and probe.name == message.target:
            self._end_probe(probe)
            if not probe.target_dead:
                self.health.improve()
            return
        relayed = self._relayed.get(message.seq)
        if relayed is not None and message.target == message.sender.name:
            relayed.timer.cancel()
            del self._relayed[message.seq]
            requester = self.view.get(relayed.requester)
            if requester is not None:
                found = message.sender
                self._outbox.send(Kind.ACK, requester, seq=relayed.seq, target=found.name, first=(found,))
            return
        COUNTERS.add("members.acks_at_last" if message.seq == FINAL_CHECK_SEQ else "members.acks_late")

    def _probe_failed(self, now: datetime, probe: Probe) -> None:
        self._end_probe(probe)
        if probe.target_dead:
            return
        COUNTERS.add("members.probes_failed")
        # Where relays say that they had no answer either, it is not us who hear nothing.
        self.health.degrade(len(probe.awaited_nacks) if probe.relays else 1)
        known = self.view.get(probe.name)
        if known is None or known.incarnation != probe.incarnation or not known.present:
            return
        self._merge(now, known.as_state(State.SUSPECT, self.me.name))

    def _next_seq(self) -> int:
        self._seq = (self._seq + 1) & UINT32_MAX or FINAL_CHECK_SEQ + 1
        return self._seq

    def _suspicion_expired(self, now: datetime, record: Record) -> None:
        """A suspicion has come to its end, and the member itself has not answered."""
        self._merge(now, record.as_state(State.DEAD))

    def _end_probe(self, probe: Probe) -> None:
        self._probes.pop(probe.seq, None)
        for timer in probe.timers:
            timer.cancel()

    def _relay_probe(self, now: datetime, message: Message) -> None:
        """Probe one for another member, which could not reach it."""
        target = self.view.get(message.target)
        requester = message.sender
        if target is None or len(self._relayed) >= MAX_RELAYED:
            COUNTERS.add("members.relays_refused")
            self._outbox.send(Kind.NACK, requester, seq=message.seq, target=message.target)
            return
        seq = self._next_seq()

        def send_nack(now: datetime) -> None:
            if self._relayed.pop(seq, None) is not None:
                self._outbox.send(Kind.NACK, requester, seq=message.seq, target=message.target)

        due = self._timers.schedule(now + self.timing.nack_after, send_nack)
        self._relayed[seq] = Relayed(requester.name, message.seq, due)
        self._outbox.send(Kind.PING, target, seq=seq, target=target.name)

    def _compensate_stall(self, now: datetime) -> None:
        """Woken much later than we asked to be, we were away: nobody else was.

        Without it a process that was stopped finds, on its way back, every probe unanswered and every
        suspicion at its end, and tells all others that they are dead.
        """
        due = self.due_at
        late_by = now - due if due is not None else timedelta(0)
        if late_by <= self.timing.stall_threshold:
            return
        COUNTERS.add("members.stalls")
        self.health.degrade()
        for probe in list(self._probes.values()):
            self._end_probe(probe)
        self._suspects.extend(late_by)
        self._timers.run(now)  # so that what comes next finds us on time

    # --- joining, repair ---

    def _join(self, now: datetime) -> None:
        """Ask some of the ways in who is there, until enough have answered."""
        known = list(dict.fromkeys(self._seed_addresses + self._found_seeds))
        for seed_address in self._rng.sample(known, min(JOIN_FANOUT, len(known))):
            self._outbox.send_to(Kind.JOIN, seed_address)
        self._update_contact()

    def _update_contact(self) -> None:
        """Whether enough others were heard of late, by ourselves; from the first time on we have joined.

        Suspicions take their time, and the longer the worse we do, as a member that is cut off does: until
        then its table shows a majority that it has lost.
        """
        has_contact = len(self._last_received) >= min(MIN_CONTACTS, self.quorum.current.majority - 1)
        if has_contact != self._has_contact:
            self._has_contact, self._quorum_stale = has_contact, True
            self._joined = self._joined or has_contact

    def _send_state(self, now: datetime, sender: Record) -> None:
        """Some of the table to a newcomer, drawn at random: several are asked, and repair brings the rest."""
        names = self.view.present.draw(self._rng, len(self.view.present), exclude=sender.name)
        known = [record for name in names if (record := self.view.get(name)) is not None]
        self._outbox.send_pages(sender, known)
        observations = self.observation_gossip.all_observations(now)
        for _ in range(MAX_PAGES):
            if observations:
                observations = observations[max(1, self._outbox.send_observations(sender, observations)) :]

    def _receive_observations(self, now: datetime, message: Message) -> None:
        """From members that count alone: a guest's word keeps no call server from being used."""
        if message.sender.name not in self._voter_names:
            COUNTERS.add("members.facts_refused", len(message.observations))
            return
        fresh = self.observation_gossip.receive(
            now, (observation for observation in message.observations if observation.by in self._voter_names)
        )
        if fresh:
            COUNTERS.add("members.facts_news", len(fresh))
            self._outbox.add(ObservationsReceived(fresh))
            self._schedule_gossip(now)

    # --- gossip ---

    def _schedule_gossip(self, now: datetime) -> None:
        if not self._gossiping:
            self._gossiping = True
            self._timers.schedule(now + self.timing.gossip * self._rng.random(), self._gossip)

    def _gossip(self, now: datetime) -> None:
        self._gossiping = False
        if not self.pending_updates:
            return
        names = self.view.present.draw(self._rng, self.timing.fanout)
        if len(self._dissemination):
            self._gossip_to(names)
        self._gossip_observations(now, names)
        self._gossiping = True
        self._timers.schedule(now + self.timing.gossip, self._gossip)

    def _gossip_to(self, names: Iterable[str]) -> None:
        for name in names:
            known = self.view.get(name)
            if known is not None:
                self._outbox.send(Kind.GOSSIP, known)

    def _gossip_observations(self, now: datetime, names: Iterable[str]) -> None:
        for name in names:
            known = self.view.get(name)
            keys, observations = self.observation_gossip.next_observations(now)
            if known is not None and observations:
                sent = self._outbox.send_observations(known, observations)
                self.observation_gossip.sent(keys[:sent], len(self.view.present) + 1)

    def _collect_outputs(self) -> list[Output]:
        if self._quorum_stale:
            self._quorum_stale = False
            quorum_state = self.quorum.quorum_state(self._joined, self._has_contact)
            if quorum_state is not self.quorum_state:
                self._outbox.add(QuorumChanged(self.quorum_state, quorum_state))
                self.quorum_state = quorum_state
        return self._outbox.collect()
