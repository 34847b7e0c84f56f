"""The notice board: long polls over HTTP/1.1, and what its events say of the pool."""

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

LINGER = timedelta(milliseconds=1000)  # short, so that a board that has fallen silent is noticed
SLACK = timedelta(milliseconds=400)  # beyond that, with nothing heard, an answer is given up
MAX_SLACK = timedelta(milliseconds=1600)  # doubled by each silence in a row: a slow board is not silent
LONGEST_POLL = timedelta(seconds=5)  # also for an answer that comes in ever more pieces
RETRY = timedelta(milliseconds=100)
CONNECT_WAIT = timedelta(milliseconds=500)
LONGEST_ANSWER = 1 << 20
STATES = ("SERVING", "DRAINING", "DELETED")


class BoardError(ValueError):
    """The notice board said what it may not say."""


@dataclass(frozen=True, slots=True)
class Notice:
    """One numbered event."""

    number: int
    whole: bool
    entries: tuple[ListedServer, ...]


def read_host(raw: Any) -> ListedServer:
    """One call server in an event."""
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
    """The number of the last event, and the events; other kinds of event are passed over."""
    try:
        last, found = int(raw["rev"]), []
        for item in raw["notices"]:
            pool = item.get("pool")
            if pool is not None:
                hosts = tuple(read_host(host) for host in pool["hosts"])
                found.append(Notice(int(item["rev"]), bool(pool["whole"]), hosts))
        return last, found
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BoardError(f"{type(error).__name__} {error}") from None  # Infinity is a number to the reader


class PoolListener(Protocol):
    """Who is told of the pool's news: the core, or a pool of several sources."""

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        """News of the pool."""


class BoardList:
    """The list as told so far; it turns events into news for the core, in order and each once."""

    def __init__(self, switch: PoolListener) -> None:
        self._switch = switch
        self._hosts: dict[str, ListedServer] = {}
        self.last = 0

    def start(self, last: int, notices: list[Notice]) -> None:
        """What the configuration knows: possibly stale, and whole."""
        for notice in notices:
            self._merge(notice)
        self.last = max([last, *(notice.number for notice in notices)])
        self._switch.pool_changed(self.last, i.ListKind.SAVED, list(self._hosts.values()))

    def take(self, last: int, notices: list[Notice]) -> bool:
        """News from the board; False where events are missing, and the caller asks for all of them."""
        for notice in sorted(notices, key=lambda notice: notice.number):
            if notice.number <= self.last:
                continue
            if notice.number > self.last + 1 and not notice.whole:
                COUNTERS.add("board.gaps")
                return False
            changed = self._merge(notice)
            self.last = notice.number
            COUNTERS.add("board.events")
            self._switch.pool_changed(self.last, i.ListKind.CHANGES, changed)
        self.last = max(self.last, last)
        return True

    def renew(self, last: int, notices: list[Notice]) -> None:
        """All events again, after a gap or a board that began anew: what they lack is gone."""
        before, self._hosts = self._hosts, {}
        for notice in sorted(notices, key=lambda notice: notice.number):
            self._merge(notice)
        gone = [
            ListedServer(old.server, old.address, old.number, False, True, old.started)
            for old in before.values()
            if old.server not in self._hosts
        ]
        self.last = last
        self._switch.pool_changed(self.last, i.ListKind.CHANGES, [*gone, *self._hosts.values()])

    def _merge(self, notice: Notice) -> list[ListedServer]:
        changed = list(notice.entries)
        if notice.whole:
            named = {entry.server for entry in changed}
            changed += [
                ListedServer(old.server, old.address, old.number, False, True, old.started)
                for old in self._hosts.values()
                if old.server not in named
            ]
        for entry in changed:
            if entry.removed:
                self._hosts.pop(entry.server, None)
            else:
                self._hosts[entry.server] = entry
        return changed


@dataclass(frozen=True, slots=True)
class Tick:
    """Ask again."""


@dataclass(frozen=True, slots=True)
class Silence:
    """No answer came in time to this poll."""

    poll: int


class Board:
    """The actor that polls the notice board."""

    def __init__(
        self, loop: Loop, address: Address, pool: BoardList, on_news: Callable[[], None] | None = None
    ) -> None:
        self._on_news = on_news  # to be told once: then the first poll does not wait for later events
        self._loop, self._address, self._pool = loop, address, pool
        self._actor: Actor[Tick | Silence | Connection | tuple[Connection, EndReason]] = Actor(
            loop, self._handle
        )
        self._connection: Connection | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._body = bytearray()
        self._status = 0
        self._polls = 0
        self._asked = False
        self._whole = False  # this poll asks for all events
        self._slack = SLACK
        self._asked_at = loop.clock.now()
        self._timer: Timer | None = None
        self._actor.post(Tick())

    def close(self) -> None:
        """Ask no more."""
        self._lose()
        if self._timer is not None:
            self._timer.cancel()
        self._actor.stop()

    def move(self, address: Address) -> None:
        """The board is at another address from now on: the numbers go on, what is due is asked for there."""
        self._address = address
        self._lose()
        self._actor.post(Tick())

    def _handle(self, word: Tick | Silence | Connection | tuple[Connection, EndReason]) -> None:
        match word:
            case Tick():
                self._ask()
            case Silence(poll):
                if poll == self._polls and self._asked:
                    COUNTERS.add("board.silent")
                    waited = self._loop.clock.now() - self._asked_at
                    self._loop.trace("board.given_up", reason="silent", waited_ms=whole_millis(waited))
                    self._slack = min(2 * self._slack, MAX_SLACK)
                    self._lose()
                    self._ask()
            case Connection():
                self._hear(word)
            case (connection, how):
                if connection is self._connection:
                    COUNTERS.add("board.lost")
                    self._loop.trace("board.lost", how=f'"{how.value}"')
                    was_up = self._asked and self._http.their_state is not h11.IDLE
                    self._lose()
                    self._loop.call_later(
                        RETRY if not was_up else RETRY / 4, lambda: self._actor.post(Tick())
                    )

    def _lose(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection, self._asked = None, False

    def _ask(self) -> None:
        if self._asked:
            return
        if self._connection is None:
            self._http = h11.Connection(h11.CLIENT)
            try:
                self._connection = Connection.dial(
                    self._loop, self._address, CONNECT_WAIT, self._actor.post,
                    lambda connection, how: self._actor.post((connection, how)),
                )  # fmt: skip
            except OSError as error:
                COUNTERS.add("board.no_socket")
                log(f"board: {error}", "board.no_socket")
                self._loop.call_later(RETRY, lambda: self._actor.post(Tick()))
                return
        after = 0 if self._whole else self._pool.last
        linger = 0 if self._whole or self._on_news is not None else LINGER // timedelta(milliseconds=1)
        target = f"/board/poll?watch={after}&linger={linger}"
        host = f"{self._address[0]}:{self._address[1]}"
        asked = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self._connection.send((self._http.send(asked) or b"") + (self._http.send(h11.EndOfMessage()) or b""))
        self._asked, self._status, self._body = True, 0, bytearray()
        self._polls += 1
        COUNTERS.add("board.polls")
        self._asked_at = self._loop.clock.now()
        self._wait(LINGER + self._slack)

    def _wait(self, span: timedelta) -> None:
        """How long the poll that is open may go on without a word."""
        poll, now = self._polls, self._loop.clock.now()
        if self._timer is not None:
            self._timer.cancel()
        latest = min(now + span, self._asked_at + LONGEST_POLL)
        self._timer = self._loop.call_at(latest, lambda: self._actor.post(Silence(poll)))

    def _hear(self, connection: Connection) -> None:
        if connection is not self._connection:
            return
        self._wait(self._slack)  # an answer that has begun may come in pieces
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
                    if len(self._body) > LONGEST_ANSWER:
                        raise BoardError("an answer too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._answered()
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    raise BoardError("closed amid an answer")
        except (h11.RemoteProtocolError, BoardError, ValueError, RecursionError) as error:
            COUNTERS.add("board.bad_answers")
            log(f"board: {error}", "board.bad_answer")
            self._loop.trace("board.bad_answer")
            self._lose()
            self._loop.call_later(RETRY, lambda: self._actor.post(Tick()))

    def _answered(self) -> None:
        if self._status != 200:
            raise BoardError(f"status {self._status}")
        last, notices = read_notices(json.loads(self._body))
        self._asked, self._slack = False, SLACK
        if self._whole:
            self._whole = False
            self._pool.renew(last, notices)
        elif last < self._pool.last or not self._pool.take(last, notices):
            self._whole = True
        if not self._whole and self._on_news is not None:
            told, self._on_news = self._on_news, None
            told()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._lose()
        self._ask()
