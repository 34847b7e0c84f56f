"""A whole installation in virtual time: name servers, a notice board, call servers, callers, and the program.

site = Site(folder, servers=5)
site.callers(rate=72.0).start(site.now, timedelta(seconds=10))
site.run(timedelta(seconds=10))
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path

from reedmount.net.connection import format_address
from reedmount.operate import Sources, serve_sip
from reedmount.operator_file import read_operator
from reedmount.pool.claims import Endpoint
from standins.board import NoticeBoard
from standins.callers import Callers
from standins.callserver import CallServer
from standins.nameserver import NameServer
from standins.world import World

SRV = "_sip._udp.calls.example."
LATE = timedelta(milliseconds=250)  # nothing new reaches a server later than this after word that it leaves

FILE = """
[sip]
listen = "127.0.0.1:0"

[module]
cold_s = {cold_s}
max_attempts = 4

[pool]
transport = "udp"
{pool}

[srv]
names = ["{srv}"]
name_servers = [{name_servers}]
retry_ms = 500
retry_most_ms = 2000
{more}

[[class]]
name = "plain"
aim_ms = 1500
give_up_ms = 4000
"""


@dataclass(slots=True)
class Referee:
    """Knows who was said to leave and when, and looks at what reached whom after that."""

    left: dict[Endpoint, list[tuple[datetime, datetime | None]]] = field(default_factory=dict)

    def leaves(self, now: datetime, place: Endpoint) -> None:
        """A source has said so at this instant."""
        spans = self.left.setdefault(place, [])
        if not spans or spans[-1][1] is not None:
            spans.append((now, None))

    def back(self, now: datetime, place: Endpoint) -> None:
        """No source says so any more."""
        spans = self.left.get(place)
        if spans and spans[-1][1] is None:
            spans[-1] = (spans[-1][0], now)

    def late(self, servers: list[CallServer]) -> list[str]:
        """Set-ups that came when the server had been said to leave for too long."""
        return [
            f"{format_address(server.address)}: {came - since} after the word"
            for server in servers
            for since, until in self.left.get(server.address, ())
            for came in server.invites
            if came > since + LATE and (until is None or came < until)
        ]


class Site(World):
    """The program as an operator starts it, among stand-ins, on real loopback sockets."""

    def __init__(
        self,
        folder: Path,
        servers: int = 3,
        name_servers: int = 2,
        ttl: int = 2,
        work: timedelta = timedelta(milliseconds=50),
        board: bool = True,
        dead: bool = False,
        cold_s: float = 0.0,
        pool: str = "",
        more: str = "",
        start: bool = True,
    ) -> None:
        super().__init__()
        self.ttl = ttl
        self.names = [NameServer(seed=number) for number in range(name_servers)]
        self.servers = [CallServer(work=work) for _ in range(servers)]
        self.board = NoticeBoard()
        self.referee = Referee()
        self.ranks = {server.address: (10, 10) for server in self.servers}
        self.publish()
        for server in self.servers:
            if board:
                self.board.say(server.address, "SERVING")
        for name in self.names:
            if dead:
                name.kill()
        self.file = folder / "site.toml"
        listed = f'board = "{format_address(self.board.address)}"\n' if board else ""
        addresses = ", ".join(f'"{format_address(name.address)}"' for name in self.names)
        self.file.write_text(
            FILE.format(cold_s=cold_s, pool=listed + pool, srv=SRV, name_servers=addresses, more=more)
        )
        self.stands += [*self.names, self.board, *self.servers]
        if start:
            self.start()

    def start(self) -> None:
        """Start the program."""
        self.node = serve_sip(self.loop, lambda: read_operator(self.file))
        retained = self.node.retained
        assert isinstance(retained, tuple)
        self.front, sources, *_ = retained
        assert isinstance(sources, Sources)
        self.sources, self.host = sources, sources.host
        self.settle()

    def callers(self, rate: float, seed: int = 1) -> Callers:
        """Callers of the program."""
        made = Callers(self.front.endpoint.address, rate, seed)
        self.stands.append(made)
        return made

    def publish(self, *without: CallServer) -> None:
        """Have the name servers' records name all call servers, without some."""
        for name in self.names:
            rows = []
            for number, server in enumerate(self.servers):
                if server not in without:
                    priority, weight = self.ranks[server.address]
                    rows.append((priority, weight, server.address[1], f"c{number}"))
                    name.host(f"c{number}", server.address[0], ttl=self.ttl)
            name.srv(SRV, *rows, ttl=self.ttl)

    def plan(self, name: str, **words: float) -> None:
        """The same plan for all name servers."""
        for server in self.names:
            server.plan(name, **words)  # type: ignore[arg-type]

    def drain(self, server: CallServer, state: str = "DRAINING") -> None:
        """By the list, now."""
        self.board.say(server.address, state)
        self.referee.leaves(self.now, server.address)

    def undrain(self, server: CallServer) -> None:
        """By the list, now."""
        self.board.say(server.address, "SERVING")
        self.referee.back(self.now, server.address)

    def serving(self) -> set[Endpoint]:
        """Where calls may go, as the pool has it."""
        return {place for place, entry in self.host.pool.entries.items() if entry.serves}

    def run(self, span: timedelta, step: timedelta = timedelta(milliseconds=5)) -> None:
        """Let time pass; the referee follows what SRV has said as soon as the program has heard it."""
        end = self.now + span
        while self.now < end:
            super().run(min(step, end - self.now), step)
            for server in self.servers:
                place = server.address
                held = self.host.pool.sources["srv"].state_of(self.now, place).value
                if held == "gone":
                    self.referee.leaves(self.now, place)
                elif self.host.pool.sources["list"].state_of(self.now, place).value not in (
                    "gone",
                    "draining",
                ):
                    self.referee.back(self.now, place)
