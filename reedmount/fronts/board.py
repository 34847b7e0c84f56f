"""The notice board: polls it over HTTP/1.1 and turns its events into updates of the pool."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

import h11

from reedmount import interface as i
from reedmount.core.actors import Actor, Timer
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import EPOCH, millis, whole_millis
from reedmount.core.ports import ListedServer
from reedmount.net.connection import Address, Connection, EndReason, parse_address
from reedmount.net.loop import Loop

LINGER = timedelta(milliseconds=1000)  # of a long poll; short, so that a dead board is noticed soon
ANSWER_SLACK = timedelta(milliseconds=400)  # beyond LINGER, until a poll times out
# Doubled at each time-out in a row: the board may be slow and not dead.
MAX_ANSWER_SLACK = timedelta(milliseconds=1600)
MAX_POLL_TIME = timedelta(seconds=5)  # even while pieces of the answer arrive
RETRY_DELAY = timedelta(milliseconds=100)
CONNECT_TIMEOUT = timedelta(milliseconds=500)
MAX_ANSWER = 1 << 20  # bytes
STATES = ("SERVING", "DRAINING", "DELETED")


class BoardError(ValueError):
    """An invalid answer of the notice board."""


@dataclass(frozen=True, slots=True)
class Notice:
    """One numbered event of the board."""

    number: int
    complete: bool  # names all servers
    entries: tuple[ListedServer, ...]


def read_host(raw: Any) -> ListedServer:
    """Parse one call server of an event."""
    try:
        state, born = raw["health"], int(raw.get("born_ms") or 0)
        if state not in STATES:
            raise BoardError(f"unknown state {state!r}")
        return ListedServer(
            server=str(raw["host"]),
            address=parse_address(raw["dial"]),
            number=int(raw["block"]),
            serving=state == "SERVING",
            removed=state == "DELETED",
            started=EPOCH + millis(born) if born else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BoardError(f"host {str(raw)[:80]}: {type(error).__name__} {error}") from None


def read_notices(raw: Any) -> tuple[int, list[Notice]]:
    """Parse the number of the last event, and the events; other kinds of event are ignored."""
    try:
        last, found = int(raw["rev"]), []
        for item in raw["notices"]:
            pool = item.get("pool")
            if pool is not None:
                hosts = tuple(read_host(host) for host in pool["hosts"])
                found.append(Notice(int(item["rev"]), bool(pool["whole"]), hosts))
        return last, found
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BoardError(f"{type(error).__name__} {error}") from None  # OverflowError: JSON's Infinity


def _removal(entry: ListedServer) -> ListedServer:
    """The removal of a server that is listed no more, or no more at this address."""
    return ListedServer(entry.server, entry.address, entry.number, False, True, entry.started)


class PoolListener(Protocol):
    """Receives updates of the pool: the core, or a pool of several sources."""

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        """Servers of the pool have changed."""


class BoardList:
    """The list of servers so far; reports each event to the listener once, in order."""

    def __init__(self, listener: PoolListener) -> None:
        self._listener = listener
        self._hosts: dict[str, ListedServer] = {}
        self.last = 0

    def start(self, last: int, notices: list[Notice]) -> None:
        """Start with the list in the configuration, which is complete but may be stale."""
        for notice in notices:
            self._merge(notice)
        self.last = max([last, *(notice.number for notice in notices)])
        self._listener.pool_changed(self.last, i.ListKind.SAVED, list(self._hosts.values()))

    def take(self, last: int, notices: list[Notice]) -> bool:
        """Apply events from the board; False if some are missing, and all must be requested."""
        for notice in sorted(notices, key=lambda notice: notice.number):
            if notice.number <= self.last:
                continue
            if notice.number > self.last + 1 and not notice.complete:
                COUNTERS.add("board.gaps")
                return False
            changed = self._merge(notice)
            self.last = notice.number
            COUNTERS.add("board.events")
            self._report(changed)
        self.last = max(self.last, last)
        return True

    def replace_all(self, last: int, notices: list[Notice]) -> None:
        """Apply all events again after a gap or a restart of the board; servers not named are removed."""
        before, self._hosts = self._hosts, {}
        for notice in sorted(notices, key=lambda notice: notice.number):
            self._merge(notice)
        ended = [
            _removal(old)
            for old in before.values()
            if old.server not in self._hosts or self._hosts[old.server].address != old.address
        ]
        self.last = last
        self._report([*ended, *self._hosts.values()])

    def _report(self, entries: list[ListedServer]) -> None:
        """Report changes; the end of a process whose name is listed again is reported first, by itself.

        Where the start of the new process at the same address is told, that tells of the old one's end.
        """
        latest = {entry.server: entry for entry in entries}
        ended = []
        for entry in entries:
            current = latest[entry.server]
            end_is_told = current.started is not None and current.address == entry.address
            if entry.removed and not current.removed and not end_is_told:
                ended.append(entry)
        if ended:
            self._listener.pool_changed(self.last, i.ListKind.CHANGES, ended)
        self._listener.pool_changed(self.last, i.ListKind.CHANGES, list(latest.values()))

    def _merge(self, notice: Notice) -> list[ListedServer]:
        changed = list(notice.entries)
        if notice.complete:
            named = {entry.server for entry in changed}
            changed += [_removal(old) for old in self._hosts.values() if old.server not in named]
        for entry in list(changed):
            known = self._hosts.get(entry.server)
            if known is not None and known.address != entry.address:
                changed.insert(0, _removal(known))
            if entry.removed:
                self._hosts.pop(entry.server, None)
            else:
                self._hosts[entry.server] = entry
        return changed


@dataclass(frozen=True, slots=True)
class PollDue:
    """The next poll is due."""


@dataclass(frozen=True, slots=True)
class PollTimeout:
    """This poll was not answered in time."""

    poll: int


class Board:
    """The actor that polls the notice board."""

    def __init__(
        self, loop: Loop, address: Address, pool: BoardList, on_update: Callable[[], None] | None = None
    ) -> None:
        self._on_update = on_update  # called once; until then polls do not wait for later events
        self._loop, self._address, self._list = loop, address, pool
        self._actor: Actor[PollDue | PollTimeout | Connection | tuple[Connection, EndReason]] = Actor(
            loop, self._handle
        )
        self._connection: Connection | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._body = bytearray()
        self._status = 0
        self._polls = 0
        self._poll_open = False
        self._requests_all = False  # this poll requests all events
        self._slack = ANSWER_SLACK
        self._poll_sent_at = loop.clock.now()
        self._timer: Timer | None = None
        self._actor.post(PollDue())

    def close(self) -> None:
        """Stop polling."""
        self._disconnect()
        if self._timer is not None:
            self._timer.cancel()
        self._actor.stop()

    def move(self, address: Address) -> None:
        """Poll the board at another address from now on, from the same event number."""
        self._address = address
        self._disconnect()
        self._actor.post(PollDue())

    def _handle(self, item: PollDue | PollTimeout | Connection | tuple[Connection, EndReason]) -> None:
        match item:
            case PollDue():
                self._send_poll()
            case PollTimeout(poll):
                if poll == self._polls and self._poll_open:
                    COUNTERS.add("board.silent")
                    waited = self._loop.clock.now() - self._poll_sent_at
                    self._loop.trace("board.given_up", reason="silent", waited_ms=whole_millis(waited))
                    self._slack = min(2 * self._slack, MAX_ANSWER_SLACK)
                    self._disconnect()
                    self._send_poll()
            case Connection():
                self._receive(item)
            case (connection, how):
                if connection is self._connection:
                    COUNTERS.add("board.lost")
                    self._loop.trace("board.lost", how=f'"{how.value}"')
                    was_polling = self._poll_open and self._http.their_state is not h11.IDLE
                    self._disconnect()
                    self._loop.call_later(
                        RETRY_DELAY if not was_polling else RETRY_DELAY / 4,
                        lambda: self._actor.post(PollDue()),
                    )

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection, self._poll_open = None, False

    def _send_poll(self) -> None:
        if self._poll_open:
            return
        if self._connection is None:
            self._http = h11.Connection(h11.CLIENT)
            try:
                self._connection = Connection.dial(
                    self._loop, self._address, CONNECT_TIMEOUT, self._actor.post,
                    lambda connection, how: self._actor.post((connection, how)),
                )  # fmt: skip
            except OSError as error:
                COUNTERS.add("board.no_socket")
                log(f"board: {error}", "board.no_socket")
                self._loop.call_later(RETRY_DELAY, lambda: self._actor.post(PollDue()))
                return
        after = 0 if self._requests_all else self._list.last
        linger = (
            0 if self._requests_all or self._on_update is not None else LINGER // timedelta(milliseconds=1)
        )
        target = f"/board/poll?watch={after}&linger={linger}"
        host = f"{self._address[0]}:{self._address[1]}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self._connection.send(
            (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        )
        self._poll_open, self._status, self._body = True, 0, bytearray()
        self._polls += 1
        COUNTERS.add("board.polls")
        self._poll_sent_at = self._loop.clock.now()
        self._set_timeout(LINGER + self._slack)

    def _set_timeout(self, span: timedelta) -> None:
        """Set the time within which the open poll must receive something."""
        poll, now = self._polls, self._loop.clock.now()
        if self._timer is not None:
            self._timer.cancel()
        latest = min(now + span, self._poll_sent_at + MAX_POLL_TIME)
        self._timer = self._loop.call_at(latest, lambda: self._actor.post(PollTimeout(poll)))

    def _receive(self, connection: Connection) -> None:
        if connection is not self._connection:
            return
        self._set_timeout(self._slack)  # an answer may arrive in pieces
        data = connection.incoming.peek()
        connection.incoming.drop(len(data))
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_ANSWER:
                        raise BoardError("the answer is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._handle_answer()
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    raise BoardError("closed in the middle of an answer")
        except (h11.RemoteProtocolError, BoardError, ValueError, RecursionError) as error:
            COUNTERS.add("board.bad_answers")
            log(f"board: {error}", "board.bad_answer")
            self._loop.trace("board.bad_answer")
            self._disconnect()
            self._loop.call_later(RETRY_DELAY, lambda: self._actor.post(PollDue()))

    def _handle_answer(self) -> None:
        if self._status != 200:
            raise BoardError(f"status {self._status}")
        last, notices = read_notices(json.loads(self._body))
        self._poll_open, self._slack = False, ANSWER_SLACK
        if self._requests_all:
            self._requests_all = False
            self._list.replace_all(last, notices)
        elif last < self._list.last or not self._list.take(last, notices):
            self._requests_all = True
        if not self._requests_all and self._on_update is not None:
            callback, self._on_update = self._on_update, None
            callback()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._disconnect()
        self._send_poll()
