"""One run: border controller processes with their simulated environment, a plan of faults, and the result."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from standins.soak import checks
from standins.soak.board import Board
from standins.soak.callserver import CallServer, State
from standins.soak.checks import ProcessRun
from standins.soak.clients import CallClass, ClientProfile, Clients
from standins.soak.history import History
from standins.soak.nodes import SOCKETS, Node
from standins.soak.plan import TRAFFIC_S, Plan, unix_ms

NODES, SERVERS = 3, 4
READY_WITHIN_S = 10.0
TAIL_S = 9.0  # covers the time limit for notifying callers whose release could not be sent
CONNECTIONS_AFTER_TERM_S = (0.2, 0.4)  # new connections still arrive for so long after SIGTERM
CALLS_PER_S = (10, 25, 40)
CONNECTIONS = (1, 3, 8)
LONGEST_MS = (500, 1200, 2000, 3000)
PORT = 20000  # below the ephemeral port range


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a run."""

    seed: int
    broken: list[str]
    counts: dict[str, int]
    story: list[str]


def settings_for(classes: list[CallClass], nodes: int) -> dict[str, Any]:
    """The settings object of the platform's configuration file."""
    described = [
        {"name": kind.name, "worth": 1.0, "late_share": 0.25, "target": kind.deadline_ms * 500,
         "deadline": kind.deadline_ms * 1000, "effect": "read_like" if kind.repeatable else "non_idempotent"}
        for kind in classes
    ]  # fmt: skip
    return {
        "balancers": nodes, "over_share_worth": 0.1, "discovery": "pushed", "tenants": [],
        "classes": described,
        "specifics": {"retransmit": 500000, "clear_wait": 200000},
        "rules": {"cold": 8000000, "start_capacity": 0.32, "fall_multiple": 2.5, "tip_after": 1000000},
        "allowed": {"max_attempts": 4, "cancel": True, "connect_timeout": 250000, "conn_idle": 4000000,
                    "retry_after": True, "max_retry_after": 2000000},
        "clients": {"marks_retry": False},
    }  # fmt: skip


class Run:
    """Border controllers, clients, call servers and notice board of one run."""

    def __init__(
        self, seed: int, folder: Path, plan: Plan, nodes: int = NODES, misbehaving: bool = False
    ) -> None:
        self.seed, self._folder, self._plan = seed, folder, plan
        self._rng = random.Random(f"run {seed}")
        self.history = History()
        self.board = Board(self.history, self._fork("board"))
        self.servers: list[CallServer] = []
        self.nodes: dict[str, Node] = {}
        self.clients: dict[str, Clients] = {}
        self.process_runs: list[ProcessRun] = []
        self._unpublished: list[CallServer] = []  # servers not yet named by discovery
        self._restarting: set[str] = set()
        self._misbehaving = misbehaving
        self._names = [f"n{number}" for number in range(1, nodes + 1)]
        longest = plan.longest_ms or self._rng.choice(LONGEST_MS)
        self.classes = [CallClass("plain", longest, True), CallClass("once", min(longest, 1500), False)]

    def _fork(self, what: str) -> random.Random:
        return random.Random(f"{what} {self.seed}")

    async def sleep(self, seconds: float) -> None:
        """Wait in real time."""
        await asyncio.sleep(seconds)

    async def play(self) -> RunResult:
        """Start all parts, inject the faults, wait for the calls to end, and check the rules."""
        try:
            await self._start()
            tasks = [asyncio.create_task(self._step(step)) for step in self._plan.steps]
            await self.sleep(TRAFFIC_S)
            await asyncio.gather(*tasks)
            for clients in self.clients.values():
                clients.winding_down = True
            await self.sleep(TAIL_S)
            return self._evaluate()
        finally:
            self._close()

    async def _step(self, step: Any) -> None:
        await self.sleep(step.at)
        self.history.record_event(f"fault: {step.name}")
        await step.action(self, self._fork(f"{step.name} {step.at}"))

    # --- parts ---

    async def _start(self) -> None:
        self.add_servers(SERVERS)
        host = f"127.{1 + os.getpid() % 250}.{self.seed % 250}"
        for number, name in enumerate(self._names, 1):
            config = {
                "name": name, "listen": f"{host}.{number}:{PORT}",
                "seed": f"{self._rng.getrandbits(32):x}", "limits": {"sockets": SOCKETS},
                "board": await self.board.listen_for(name), "known": self.board.initial_list(name),
                "settings": settings_for(self.classes, len(self._names)),
            }  # fmt: skip
            node = Node(name, (f"{host}.{number}", PORT), self._folder, config)
            rate = self._plan.calls_per_s or self._rng.choice(CALLS_PER_S)
            profile = ClientProfile(rate, self._rng.choice(CONNECTIONS))
            rng = self._fork(f"clients {name}")
            clients = Clients(name, node.address, self.classes, profile, self.history, rng)
            self.nodes[name], self.clients[name] = node, clients
            node.start()
            clients.spawn(clients.run())
        await asyncio.gather(*(self._until_ready(name) for name in self._names))
        if self._misbehaving:
            for clients in self.clients.values():
                clients.spawn(clients.misbehave(TRAFFIC_S))

    async def _until_ready(self, name: str) -> None:
        clients, begun = self.clients[name], self.history.now
        while not await clients.is_ready():
            if self.history.now - begun > READY_WITHIN_S:
                self.history.record_violation(f"{name} was not ready {READY_WITHIN_S} s after its start")
                return
            await self.sleep(0.05)
        self.process_runs.append(ProcessRun(name, clients.process_number, self.history.now))
        self.history.record_event(f"{name} is ready")
        clients.may_connect = clients.may_call = True

    def add_servers(self, count: int) -> None:
        """Start new call servers and publish them."""
        born_ms = unix_ms() if self.servers else 0
        for _ in range(count):
            self._new_server({}, born_ms)
        self.publish_new()

    def reuse_addresses_of(self, removed: CallServer, born_ms: int = 0, name: str = "") -> None:
        """Start a call server at the addresses of a removed one, without publishing it.

        ``born_ms`` is the Unix time at which its process was started, if that was before it listens, ``name``
        that of the removed one if it was restarted.
        """
        removed.release_addresses()
        fresh = self._new_server(removed.ports(), born_ms or unix_ms(), name)
        self.history.record_event(f"{fresh.name} has the addresses of {removed.name}")

    def _new_server(self, ports: dict[str, int], born_ms: int, name: str = "") -> CallServer:
        number = len(self.servers) + 1
        rng = self._fork(f"server {number}")
        fresh = CallServer(
            name or f"s{number}", number, self._names, self.history, rng, at_ports=ports, born_ms=born_ms
        )
        fresh.busy = True  # until discovery names it
        self.servers.append(fresh)
        self._unpublished.append(fresh)
        return fresh

    def publish_new(self, removed: Sequence[CallServer] = ()) -> None:
        """Publish the call servers that discovery has not named yet; the same event removes others."""
        fresh, self._unpublished = self._unpublished, []
        for server in fresh:
            server.busy = False
        if fresh or removed:
            self.board.publish(
                *(self._host(server, "DELETED") for server in removed),
                *(self._host(server, "SERVING") for server in fresh),
            )

    def publish_state(self, servers: list[CallServer], state: str) -> None:
        """Publish that servers drain or are deleted."""
        if servers:
            self.board.publish(*(self._host(server, state) for server in servers))

    @staticmethod
    def _host(server: CallServer, state: str) -> dict[str, Any]:
        return {"host": server.name, "dial": server.addresses, "site": "here", "class": "std",
                "block": server.number, "health": state, "share": 4,
                "born_ms": server.born_ms if state == "SERVING" else 0}  # fmt: skip

    def some_servers(self, rng: random.Random, max_count: int = 3) -> list[CallServer]:
        """Choose serving call servers that are not part of another fault; at least one is left out."""
        able = [server for server in self.servers if server.state is State.SERVING and not server.busy]
        count = min(rng.randint(1, max_count), max(0, len(able) - 1))
        chosen = rng.sample(able, count)
        for server in chosen:
            server.busy = True
        return chosen

    def some_nodes(self, rng: random.Random) -> list[Node]:
        """Choose border controllers, in random order."""
        return rng.sample(list(self.nodes.values()), rng.randint(1, len(self.nodes)))

    # --- faults and signals of border controllers ---

    async def restart(self, node: Node) -> None:
        """Send SIGTERM, then SIGKILL at the earliest permitted time, and start a new process at once."""
        if node.name in self._restarting or not node.running:
            return
        self._restarting.add(node.name)
        clients = self.clients[node.name]
        self.history.record_event(f"{node.name} gets SIGTERM")
        node.send(signal.SIGTERM)
        connect_until_s = self._rng.uniform(*CONNECTIONS_AFTER_TERM_S)
        asyncio.get_running_loop().call_later(connect_until_s, clients.stop_connecting)
        forced = not await node.ended_within(node.kill_after_s)
        clients.may_call = clients.may_connect = False
        clients.killed = forced
        node.kill()
        self.history.record_event(f"{node.name} {'was killed' if forced else 'has ended'}")
        self._end_process_run(node.name)
        await self.sleep(0.05)
        clients.killed = False
        clients.process_number += 1
        self.history.process_numbers[node.name] = clients.process_number
        node.config["known"] = self.board.initial_list(node.name)
        node.start()
        await self._until_ready(node.name)
        self._restarting.discard(node.name)

    def _end_process_run(self, name: str) -> None:
        for index, process_run in enumerate(self.process_runs):
            if process_run.node == name and process_run.number == self.clients[name].process_number:
                self.process_runs[index] = replace(process_run, ended_at=self.history.now)

    async def configure(self, node: Node, moves: bool) -> None:
        """Write a configuration, optionally with another address of the notice board, and send SIGHUP."""
        if node.name in self._restarting or not node.running:
            return
        if moves:
            node.config["board"] = await self.board.listen_for(node.name)
        node.write_config()
        self.history.record_event(f"{node.name} gets SIGHUP")
        node.send(signal.SIGHUP)

    async def spoil_configuration(self, node: Node, text: str) -> None:
        """Write an invalid file and send SIGHUP; a valid file follows without a signal."""
        if node.name in self._restarting or not node.running:
            return
        node.write_text(text)
        node.send(signal.SIGHUP)
        await self.sleep(0.05)
        node.write_config()

    async def change_deadlines(self, node: Node, factor: float) -> None:
        """Scale the deadlines; clients use the new ones before the border controller reads them."""
        for kind in node.config["settings"]["classes"]:
            kind["deadline"] = int(kind["deadline"] * factor)
            kind["target"] = kind["deadline"] // 2
        self.clients[node.name].shorten_deadlines(factor)
        await self.sleep(1.5)
        await self.configure(node, moves=False)

    # --- result ---

    def _evaluate(self) -> RunResult:
        found = checks.find_violations(self.history, self.board, self.process_runs)
        for node in self.nodes.values():
            if not node.running:
                found.append(f"crash: {node.name} is not running")
            found += node.faults()
        counts: Counter[str] = Counter()
        for call in self.history.calls.values():
            counts["sent"] += call.sent_at < float("inf")
            counts["attempts"] += len(call.attempts)
            counts["stood"] += call.established
            counts["refused"] += any(answer.status >= 300 for answer in call.answers)
        story = [f"{event.at:7.3f} {event.text}" for event in self.history.events]
        story += [
            f"    {name}: {'; '.join(call.trail)}"
            for name, call in self.history.calls.items()
            if any(name in line for line in found)
        ]
        return RunResult(self.seed, found, dict(counts), story)

    def _close(self) -> None:
        for clients in self.clients.values():
            clients.close()
        for node in self.nodes.values():
            node.close()
        for server in self.servers:
            server.close()
        self.board.close()
