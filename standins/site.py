"""Complete installation in virtual time: name servers, a notice board, call servers, callers and the program.

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
DRAIN_GRACE = timedelta(milliseconds=250)  # set-ups may still arrive for so long after a leaving notice

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
class DrainChecker:
    """Records when servers were reported as leaving and finds set-ups that reached them afterwards."""

    leaving_spans: dict[Endpoint, list[tuple[datetime, datetime | None]]] = field(default_factory=dict)

    def mark_leaving(self, now: datetime, endpoint: Endpoint) -> None:
        """Record that a source reports the server as leaving from now on."""
        spans = self.leaving_spans.setdefault(endpoint, [])
        if not spans or spans[-1][1] is not None:
            spans.append((now, None))

    def mark_serving(self, now: datetime, endpoint: Endpoint) -> None:
        """Record that no source reports the server as leaving any more."""
        spans = self.leaving_spans.get(endpoint)
        if spans and spans[-1][1] is None:
            spans[-1] = (spans[-1][0], now)

    def late_setups(self, servers: list[CallServer]) -> list[str]:
        """Describe set-ups that reached a leaving server after the grace period."""
        return [
            f"{format_address(server.address)}: {received_at - since} after the notice"
            for server in servers
            for since, until in self.leaving_spans.get(server.address, ())
            for received_at in server.invites
            if received_at > since + DRAIN_GRACE and (until is None or received_at < until)
        ]


class Site(World):
    """The program as started by an operator, with stand-ins on real loopback sockets."""

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
        self.dns_servers = [NameServer(seed=number) for number in range(name_servers)]
        self.servers = [CallServer(work=work) for _ in range(servers)]
        self.board = NoticeBoard()
        self.drain_checker = DrainChecker()
        self.ranks = {server.address: (10, 10) for server in self.servers}
        self.publish_srv()
        for server in self.servers:
            if board:
                self.board.publish(server.address, "SERVING")
        for dns_server in self.dns_servers:
            if dead:
                dns_server.kill()
        self.file = folder / "site.toml"
        listed = f'board = "{format_address(self.board.address)}"\n' if board else ""
        addresses = ", ".join(f'"{format_address(dns_server.address)}"' for dns_server in self.dns_servers)
        self.file.write_text(
            FILE.format(cold_s=cold_s, pool=listed + pool, srv=SRV, name_servers=addresses, more=more)
        )
        self.stand_ins += [*self.dns_servers, self.board, *self.servers]
        if start:
            self.start()

    def start(self) -> None:
        """Start the program from its configuration file."""
        self.node = serve_sip(self.loop, lambda: read_operator(self.file))
        retained = self.node.retained
        assert isinstance(retained, tuple)
        self.front, sources, *_ = retained
        assert isinstance(sources, Sources)
        self.sources, self.host = sources, sources.host
        self.run_until_idle()

    def callers(self, rate: float, seed: int = 1) -> Callers:
        """Add callers of the program."""
        new_callers = Callers(self.front.endpoint.address, rate, seed)
        self.stand_ins.append(new_callers)
        return new_callers

    def publish_srv(self, *without: CallServer) -> None:
        """Publish SRV records for all call servers except some on all name servers."""
        for dns_server in self.dns_servers:
            srv_records = []
            for number, server in enumerate(self.servers):
                if server not in without:
                    priority, weight = self.ranks[server.address]
                    srv_records.append((priority, weight, server.address[1], f"c{number}"))
                    dns_server.host(f"c{number}", server.address[0], ttl=self.ttl)
            dns_server.srv(SRV, *srv_records, ttl=self.ttl)

    def plan(self, name: str, **options: float) -> None:
        """Set the same fault plan on all name servers."""
        for server in self.dns_servers:
            server.plan(name, **options)  # type: ignore[arg-type]

    def drain(self, server: CallServer, state: str = "DRAINING") -> None:
        """Report the server as leaving on the notice board."""
        self.board.publish(server.address, state)
        self.drain_checker.mark_leaving(self.now, server.address)

    def undrain(self, server: CallServer) -> None:
        """Report the server as serving on the notice board."""
        self.board.publish(server.address, "SERVING")
        self.drain_checker.mark_serving(self.now, server.address)

    def serving(self) -> set[Endpoint]:
        """Endpoints of the servers that the pool considers serving."""
        return {endpoint for endpoint, entry in self.host.pool.entries.items() if entry.serves}

    def run(self, span: timedelta, step: timedelta = timedelta(milliseconds=5)) -> None:
        """Advance virtual time, and update the drain checker with the SRV state that the program has."""
        end = self.now + span
        while self.now < end:
            super().run(min(step, end - self.now), step)
            for server in self.servers:
                endpoint = server.address
                srv_state = self.host.pool.sources["srv"].state_of(self.now, endpoint).value
                if srv_state == "gone":
                    self.drain_checker.mark_leaving(self.now, endpoint)
                elif self.host.pool.sources["list"].state_of(self.now, endpoint).value not in (
                    "gone",
                    "draining",
                ):
                    self.drain_checker.mark_serving(self.now, endpoint)
