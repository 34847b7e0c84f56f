"""The platform's callers: all their connections, who makes room, and what each is told."""

from __future__ import annotations

import heapq
import socket
from datetime import timedelta

from reedmount.core.background import Slices, Urgency
from reedmount.core.checks import COUNTERS
from reedmount.core.lifecycle import Need, Phase
from reedmount.core.switch import Switch
from reedmount.fronts.client_connection import SETTLED, Claim, Link
from reedmount.fronts.handover import REPORT_INTERVAL, HandoverMessage, HandoverPeer
from reedmount.net.connection import Address, Listener, bind
from reedmount.net.loop import Loop

LOOK_EVERY = timedelta(milliseconds=100)  # at connections that say or get nothing
LOOKED_AT = 64  # in a slice of background work
MADE_ROOM = 8  # connections that go at once where they are silent or stalled
LAST_WORD = timedelta(milliseconds=3600)  # after SIGTERM: so long at most a message on its way is waited for
LOOK_AT_END = timedelta(milliseconds=5)  # at connections, once all of them are to be closed
LAST_ACCEPT = timedelta(milliseconds=120)  # a set-up that crossed a close comes again on a new connection
KEPT_RELEASES = 4096
CONFIRMED_WITHIN = timedelta(milliseconds=300)  # a release; it has to be told within a second
RELEASE_TRIES = 3  # connections that a release is sent on
RELAYED = 16  # releases of unknown calls passed on to all servers, for each span of this length
RELAY_SPAN = timedelta(milliseconds=250)
UNWATCHED = 6  # descriptors of a process that its loop does not hear of
SPARE = 8  # descriptors that nobody holds: what is dialled or accepted next
MIN_ROOM = 8  # connections, however many the other process of an upgrade holds


def _release_of(word: HandoverMessage) -> tuple[str, int]:
    return str(word["name"]), int(word["cause"])


class Callers:
    """All callers' connections."""

    def __init__(
        self, loop: Loop, switch: Switch, address: Address, max_connections: int,
        given: socket.socket | None = None, descriptors: int = 1024,
    ) -> None:  # fmt: skip
        self.loop, self.switch = loop, switch
        self.handover_peer = HandoverPeer(loop)
        self._held_there = 0  # descriptors of the other process
        self.reserve = 0  # descriptors that a successor needs before it is ready
        self._relayed, self._relayed_since = 0, loop.clock.now()
        self.max_connections = max_connections  # connections
        self.descriptors = descriptors  # of the process
        self._links: dict[Link, None] = {}
        self._changed_at = loop.clock.now()  # when one came or ended last
        self.homes: dict[str, Link] = {}  # where calls that stand were answered
        self._waiting: dict[str, int] = {}  # releases for which no connection is open
        self.listener = Listener(loop, given or bind(address, shared=True), self._accept)
        self._unheard: dict[str, list[Link]] = {}  # releases not confirmed, and where they were sent
        self._confirming = False  # clients confirm releases: that is free
        self._emptying = False
        switch.lifecycle.on_change(self._empty)
        if given is None:
            self.listener.start()
        switch.lifecycle.satisfy(Need.LISTENING)
        switch.on_unknown_release(self._orphan)
        self.handover_peer.on("bye", self._heard_bye)
        self.handover_peer.on("cancel", self._heard_cancel)
        self.handover_peer.on("server_bye", self._heard_server_bye)
        self.handover_peer.on("release", self._heard_release)
        self.handover_peer.on("held", self._heard_held)
        loop.background.every("links", LOOK_EVERY, self._look, Urgency.SWEEP)

    @property
    def address(self) -> Address:
        """Where callers connect."""
        return self.listener.address

    @property
    def handed_over(self) -> bool:
        """Whether new connections go to another process that is there."""
        return self.switch.lifecycle.superseded and self.handover_peer.there

    def hand_over(self) -> None:
        """Another process accepts from now on; what is here is gone through as in a drain."""
        self.listener.stop()
        self.switch.lifecycle.supersede(True)
        self._empty()  # also where the end had begun before
        self._tell_held()

    def take_back(self) -> None:
        """The other process has died: whatever waits at the listener is ours again."""
        self._held_there = self.reserve = 0
        if self.switch.lifecycle.superseded:
            self.switch.lifecycle.supersede(False)
            self.listener.start()

    def _tell_held(self) -> None:
        if self.handed_over and self.handover_peer.tell("held", count=self.loop.watched_count + UNWATCHED):
            self.loop.call_later(REPORT_INTERVAL, self._tell_held)

    def _heard_held(self, word: HandoverMessage) -> None:
        self._held_there = int(word["count"])

    def _heard_bye(self, word: HandoverMessage) -> None:
        """A caller ended a call there that is not known there."""
        name, cause = _release_of(word)
        if self.switch.has_call(name) or self.may_relay():
            self.switch.caller_released(name, cause)

    def _heard_cancel(self, word: HandoverMessage) -> None:
        """A caller gave up a set-up there that is not known there."""
        any(link.cancel(str(word["name"])) for link in list(self._links))

    def _heard_release(self, word: HandoverMessage) -> None:
        """A call of the other process is over, and it has no connection to say so."""
        self.release(*_release_of(word), None, here=True)

    def _heard_server_bye(self, word: HandoverMessage) -> None:
        """A server released a call there that is not known there."""
        name, cause = _release_of(word)
        if self.switch.has_call(name):
            self.switch.server_released(name, cause)
        else:
            self.release(name, cause, None)

    @property
    def room(self) -> int:
        """How many connections there may be, with those of another process taken into account.

        What the rest of this process holds (a crowd of connections to call servers that broke) goes first:
        the notice board would have no descriptor left to be asked with.
        """
        others = self.loop.watched_count - len(self._links) + UNWATCHED + SPARE
        most = min(self.max_connections, self.descriptors - others)
        return max(min(MIN_ROOM, self.max_connections), most - self._held_there - self.reserve)

    def _orphan(self, name: str, cause: int) -> None:
        """A server released a call that is not known here: the other process may know it."""
        if not self.handover_peer.tell("server_bye", name=name, cause=cause):
            self.release(name, cause, None)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is on its way from or to a caller, and none uses what another should serve."""
        used = self.handed_over and any(link.heard for link in self._links)
        return not self._waiting and not used and not self._unfinished

    @property
    def _unfinished(self) -> bool:
        """Whether to wait for a message or an answer; no longer than the end may take."""
        now, shutdown = self.loop.clock.now(), self.switch.lifecycle.shutdown
        over = shutdown is not None and now - shutdown.since > LAST_WORD
        return not over and any(link.unfinished(now) for link in self._links)

    def release(self, name: str, cause: int, link: Link | None, here: bool = False) -> None:
        """Tell callers that a call is over: on its connection, another that has set up calls, or the next.

        Not on one that never set up a call: clients that test once and keep the connection for good hear a
        release and pass it on to nobody.
        """
        if link is None or link.connection.ended:
            host = link.host if link is not None else ""
            able = [other for other in self._links if other.set_ups and not other.connection.ended]
            link = max(able, key=lambda other: other.fitness(host), default=None)
        if link is not None:
            link.send_release(name, cause)
            self._expect_heard(name, cause, link)
        elif not here and self.handed_over and self.handover_peer.tell("release", name=name, cause=cause):
            return  # no connection comes here any more
        elif len(self._waiting) < KEPT_RELEASES:
            self._waiting[name] = cause
        else:
            COUNTERS.add("released.untold")
            self.loop.trace("release.untold", call=name)

    def _expect_heard(self, name: str, cause: int, link: Link) -> None:
        """A connection may be silently dead: what is not confirmed there in time goes another way as well."""
        tried = self._unheard.setdefault(name, [])
        tried.append(link)
        if len(self._unheard) > KEPT_RELEASES:
            del self._unheard[next(iter(self._unheard))]
        self.loop.call_later(CONFIRMED_WITHIN, lambda: self._look_unheard(name, cause))

    def _look_unheard(self, name: str, cause: int) -> None:
        tried = self._unheard.get(name, [])
        waiting = any(link.awaits(name) for link in tried)
        able = [link for link in self._links if link.set_ups and link not in tried]
        if not waiting or not self._confirming or len(tried) >= RELEASE_TRIES or not able:
            self._unheard.pop(name, None)  # heard, or left to the end of the connections that it was sent on
            return
        COUNTERS.add("released.unconfirmed")
        link = max(able, key=lambda other: other.connection.last_received_at)
        link.send_release(name, cause)
        self._expect_heard(name, cause, link)

    def release_heard(self, name: str) -> None:
        """A client has confirmed a release."""
        self._confirming = True
        for link in self._unheard.pop(name, ()):
            link.release_heard(name)

    def has_untold_release(self, name: str) -> bool:
        """Whether a release waits for a connection that this process will not see any more."""
        return name in self._waiting and self.switch.lifecycle.phase is Phase.ENDING

    def send_waiting_releases(self, link: Link) -> None:
        """A connection has brought a set-up: what waited for one is told there."""
        if self._waiting:
            waiting, self._waiting = self._waiting, {}
            for name, cause in waiting.items():
                link.send_release(name, cause)

    def over(self, name: str) -> None:
        """A call that stood is over."""
        home = self.homes.pop(name, None)
        if home is not None:
            home.over(name)

    def drop(self, link: Link) -> None:
        """A connection has ended."""
        self._changed_at = self.loop.clock.now()
        self._links.pop(link, None)

    def may_relay(self) -> bool:
        """Whether the release of a call that is not known goes to all servers.

        It may be from before a restart; but a caller that makes numbers up must not keep the servers busy.
        """
        self._relayed += 1
        return self._relayed <= RELAYED

    def nothing_open(self, link: Link) -> None:
        """Late in a drain the first moment counts in which no set-up is open on a connection."""
        if self._emptying:
            self.loop.call_soon(lambda: self._close_settled([link]))

    def _empty(self) -> None:
        """A drain begins: look at the connections until it is over."""
        if not self._emptying:
            self._close_drained()

    def _close_drained(self) -> None:
        shutdown = self.switch.lifecycle.shutdown
        self._emptying = shutdown is not None
        if shutdown is not None:
            self._close_settled(list(self._links))
            last = shutdown.closes_all_connections(self.loop.clock.now())
            self.loop.call_later(LOOK_AT_END if last else SETTLED, self._close_drained)

    @property
    def all_clients_gone(self) -> bool:
        """Whether no client is here any more and none can be on its way."""
        return not self._links and self.loop.clock.now() - self._changed_at >= LAST_ACCEPT

    def _close_settled(self, links: list[Link]) -> None:
        now, shutdown = self.loop.clock.now(), self.switch.lifecycle.shutdown
        for link in links:
            if shutdown is not None and not link.connection.ended and link.settled(now, shutdown):
                COUNTERS.add("in.drained")
                link.close("clients are to go", softly=True)

    def _look(self) -> Slices:
        """Close the connections that only take room, some of them a slice."""
        now = self.loop.clock.now()
        if now - self._relayed_since >= RELAY_SPAN:
            self._relayed, self._relayed_since = 0, now
        for place, link in enumerate(list(self._links), 1):
            if link in self._links and link.overdue(now):
                COUNTERS.add("in.closed")
                link.close("silent, stuck or idle for too long", softly=True)
            if not place % LOOKED_AT:
                yield

    def _make_room(self) -> bool:
        """Close the connection with the least claim; several where they say nothing, as each look costs."""
        now = self.loop.clock.now()
        ranked = heapq.nsmallest(MADE_ROOM, self._links, key=lambda link: link.claim(now))
        for place, link in enumerate(ranked):
            claim = link.claim(now)[0]
            if claim is Claim.IN_USE or (place and claim > Claim.STALLED):
                return place > 0
            COUNTERS.add("in.pushed_out")
            link.close(f"makes room, {claim.name.lower()}")
        return bool(ranked)

    def _accept(self, sock: socket.socket) -> None:
        COUNTERS.add("in.connections")
        while len(self._links) >= self.room:  # which may have become less
            if not self._make_room():
                COUNTERS.add("in.no_room")
                sock.close()
                return
        self._changed_at = self.loop.clock.now()
        self._links[Link(self, sock)] = None
