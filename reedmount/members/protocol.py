"""The membership protocol as a state machine: ``(now, datagram or timer) -> datagrams and changes``. No I/O.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018); docs/design/membership.md
describes the design. The owner passes in datagrams (``datagram_received``), calls ``wake`` at ``due_at`` and
executes the outputs that both return. All times come from the owner's clock; none is compared with another
member's.
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

MIN_CONTACTS = 5  # voters recently received from, or a majority if that is fewer, to have contact
JOIN_FANOUT = 8  # seeds that receive a JOIN at once
MAX_FOUND_SEEDS = 64  # discovered seed addresses, in addition to the configured ones


class Protocol:
    """One member. Owns its view, its suspicions and its probes; a restart loses all of them, and the other
    members send the view again."""

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
        """``voter_sets``: the current one, then previous ones that others may still use. ``seed_addresses``:
        addresses to join through. ``nonvoters``: whether members outside the voter sets are accepted (they
        never count towards a quorum)."""
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
        self._last_received: dict[str, datetime] = {}  # of voters, directly received only; the latest last
        self._joined = self._has_contact = False
        self._quorum_stale = True  # the inputs of the quorum state have changed
        self._periods = 0
        self._gossiping = False
        self._anti_entropy = AntiEntropy(self.view, self._outbox, self._dissemination, self._rng)

    # --- called by the owner ---

    def start(self, now: datetime) -> list[Output]:
        """Join the group and start probing, at a random offset from the other members."""
        self._publish_own(now, self.me)
        self._join(now)
        self._timers.schedule(now + self.timing.interval * self._rng.random(), self._probe_period)
        self._timers.schedule(now + self.timing.interval, self._sweep)
        return self._collect_outputs()

    def datagram_received(self, now: datetime, source: Address, data: bytes) -> list[Output]:
        """Handle a datagram. One that is rejected is only counted (``members.dropped.*``)."""
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
        """Run the timers that are due."""
        self._compensate_stall(now)
        self._timers.run(now)
        return self._collect_outputs()

    def observe(self, now: datetime, observation: Observation) -> list[Output]:
        """Record an observation of a call server that this member just made, and gossip it."""
        self.observation_gossip.observe(now, observation)
        self._schedule_gossip(now)
        return self._collect_outputs()

    def seeds_found(self, now: datetime, found: Iterable[Address]) -> list[Output]:
        """Replace the discovered seed addresses, which are used in addition to the configured ones."""
        self._found_seeds = tuple(
            seed_address for seed_address in dict.fromkeys(found) if seed_address != self.me.address
        )[:MAX_FOUND_SEEDS]
        if not self._has_contact and not self.left:
            self._join(now)
        return self._collect_outputs()

    @property
    def due_at(self) -> datetime | None:
        """When ``wake`` must be called next."""
        return self._timers.next_at

    def leave(self, now: datetime) -> list[Output]:
        """Announce that this member leaves, so that no one has to detect it; it answers nothing more."""
        self.left = True
        self._publish_own(now, replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT))
        self._gossip_to(self.view.present.draw(self._rng, 2 * self.timing.fanout))
        return self._collect_outputs()

    @property
    def alive(self) -> int:
        """The number of members in the view that are alive or suspected, including this one."""
        return len(self.view.present) + 1

    @property
    def pending_updates(self) -> int:
        """The number of member records and call server observations still to be gossiped."""
        return len(self._dissemination) + len(self.observation_gossip)

    @property
    def me(self) -> Record:
        """The record that this member publishes of itself."""
        return self._outbox.me

    def _publish_own(self, now: datetime, me: Record) -> None:
        self._outbox.me = me
        self.view.merge(now, me)
        self._dissemination.put(me)
        self._schedule_gossip(now)

    # --- received messages ---

    def _is_acceptable(self, message: Message, source: Address) -> bool:
        sender = message.sender
        reason = None
        if self.left:
            reason = "left"
        elif sender.name == self.me.name:
            reason = "own_name"  # from a previous process, or a second process that uses our name
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
        # A newcomer gets STATE pages of what all others know: it only gossips updates of members it knew.
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
                pass  # they carry nothing but records
            case _:
                COUNTERS.add("members.kind_unknown")  # from a later, compatible version
                return
        self._anti_entropy.compare_digest(message)

    def _merge(self, now: datetime, record: Record, pass_on: bool = True) -> None:
        """Merge one claim about another member and act on the change."""
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
            self._probe_round.include(name)
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
        """Refute a claim about this member that outranks its own record, by raising the incarnation."""
        if record.rank <= self.me.rank or self.left:
            return
        if not self.view.is_plausible(record):
            COUNTERS.add("members.dropped.jump")
            return
        if record.boot_id == self.me.boot_id and record.state is not State.ALIVE:
            self.health.degrade()
            COUNTERS.add("members.refuted")
        elif record.boot_id != self.me.boot_id and self._joined:
            COUNTERS.add("members.twin")  # records of a previous process would have been seen while joining
        self._publish_own(now, replace(self.me, incarnation=record.incarnation + 1))

    # --- probes ---

    def _probe_period(self, now: datetime) -> None:
        """Probe the next member, at times also a dead one. Runs once per interval, scaled by local health."""
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
        """Expire contacts, observations, records and damping. Runs once per interval, unscaled."""
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
        """Ping again, directly and through relays, the same relays at each retry.

        Under packet loss, each retry more than halves the failed probes; without loss, no retries occur.
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
        # A NACK from a relay shows that our own connectivity works: only missing NACKs count against us.
        self.health.degrade(len(probe.awaited_nacks) if probe.relays else 1)
        known = self.view.get(probe.name)
        if known is None or known.incarnation != probe.incarnation or not known.present:
            return
        self._merge(now, known.with_state(State.SUSPECT, self.me.name))

    def _next_seq(self) -> int:
        self._seq = (self._seq + 1) & UINT32_MAX or FINAL_CHECK_SEQ + 1
        return self._seq

    def _suspicion_expired(self, now: datetime, record: Record) -> None:
        """Declare a member dead whose suspicion timed out and that did not answer the final checks."""
        self._merge(now, record.with_state(State.DEAD))

    def _end_probe(self, probe: Probe) -> None:
        self._probes.pop(probe.seq, None)
        for timer in probe.timers:
            timer.cancel()

    def _relay_probe(self, now: datetime, message: Message) -> None:
        """Probe a member on behalf of another one that got no answer from it."""
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
        """Detect that this process was stalled: it was woken much later than scheduled.

        Without this, a process that resumes after a stop would find every probe unanswered and every
        suspicion expired, and would declare all other members dead.
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
        self._timers.run(now)  # so that the next call does not count the same delay again

    # --- joining, anti-entropy ---

    def _join(self, now: datetime) -> None:
        """Send a JOIN to a random selection of the seeds; repeated until there is contact."""
        known = list(dict.fromkeys(self._seed_addresses + self._found_seeds))
        for seed_address in self._rng.sample(known, min(JOIN_FANOUT, len(known))):
            self._outbox.send_to(Kind.JOIN, seed_address)
        self._update_contact()

    def _update_contact(self) -> None:
        """Check whether enough voters were received from recently; the first time, this member has joined.

        Suspicions take long to expire, and longer with poor local health, which a member that is cut off
        has: until then its view shows a majority that it no longer reaches.
        """
        has_contact = len(self._last_received) >= min(MIN_CONTACTS, self.quorum.current.majority - 1)
        if has_contact != self._has_contact:
            self._has_contact, self._quorum_stale = has_contact, True
            self._joined = self._joined or has_contact

    def _send_state(self, now: datetime, sender: Record) -> None:
        """Send a random part of the view to a newcomer; other members and anti-entropy add the rest."""
        names = self.view.present.draw(self._rng, len(self.view.present), exclude=sender.name)
        known = [record for name in names if (record := self.view.get(name)) is not None]
        self._outbox.send_pages(sender, known)
        observations = self.observation_gossip.all_observations(now)
        for _ in range(MAX_PAGES):
            if observations:
                observations = observations[max(1, self._outbox.send_observations(sender, observations)) :]

    def _receive_observations(self, now: datetime, message: Message) -> None:
        """Accept observations from voters only: a nonvoter must not keep a call server from being used."""
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
