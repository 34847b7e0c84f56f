"""A group of real processes with the net between them, callers and call servers round them, and the history.

with Rig(folder, members=8, seed=1) as rig:
    rig.start()
    rig.until(rig.agreed, 10)
    rig.net.cut(["n0"], ["n1", "n2"])
    rig.run(5)
    rig.net.heal()
"""

from __future__ import annotations

import json
import os
import random
import select
import socket
import time
from collections.abc import Callable, Iterable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from types import TracebackType

from reedmount.net.connection import Address, format_address
from standins.callers import Callers
from standins.callserver import CallServer
from standins.faults.history import History
from standins.faults.net import Net
from standins.faults.process import Process
from standins.faults.streams import Streams
from standins.nameserver import NameServer

PROXY, SERVER = 100, 200  # the last numbers of addresses: proxies, call servers; members have their own
READY_S = 20.0
LONGEST_S = 900.0  # a rig ends by itself

FILE = """
[sip]
listen = "{host}:5060"

[door]
control = "{host}:8060"

[module]
controllers = {members}
cold_s = 0.0

[pool]
transport = "udp"
servers = [{servers}]

[members]
name = "{name}"
group = "{group}"
listen = "{host}:7946"
advertise = "{advertise}"
ways_in = [{ways_in}]
roster = [{roster}]
tell = "{tell}"
{more}

[[class]]
name = "plain"
aim_ms = 1500
give_up_ms = 4000
"""

NAMED = """
[members.srv]
names = ["_members._udp.calls.example."]
name_servers = ["{at}"]
"""


def _quoted(texts: Iterable[str]) -> str:
    return ", ".join(f'"{text}"' for text in texts)


class Rig:
    """Bounded in members and time. All addresses are in a part of 127.0.0.0/8 that the process's id names, so
    that several rigs run beside each other."""

    def __init__(
        self,
        folder: Path,
        members: int,
        seed: int,
        servers: int = 2,
        call_rate: float = 0.0,
        more: str = "",
        by_name: bool = False,
        hold_s: float = 2.0,
    ) -> None:
        """``more`` goes into each file's ``[members]``, NAME being the member's; calls stand for ``hold_s``.
        ``by_name``: they meet by an SRV name alone, which a stand-in for a name server tells (``names_at``).
        """
        assert 1 <= members <= 64
        pid = os.getpid()
        self._net = f"127.{1 + (pid >> 8) % 250}.{pid & 255}"
        self.seed, self.rng = seed, random.Random(seed)
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.history = History(folder / "history.jsonl")
        self.names = [f"n{number}" for number in range(members)]
        own = {name: (self._host(number + 1), 7946) for number, name in enumerate(self.names)}
        proxies = {name: (self._host(PROXY + number), 7946) for number, name in enumerate(self.names)}
        self._own = own
        self.net = Net(own, proxies, self.rng.getrandbits(32))
        self.streams = Streams(own, proxies, self.net.links)
        self._tell = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._tell.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._tell.bind((self._host(99), 0))
        self._tell.setblocking(False)
        self.servers = [CallServer((self._host(SERVER + n), 5070)) for n in range(servers)]
        self.views: dict[str, dict[str, dict[str, object]]] = {name: {} for name in self.names}
        self.digests: dict[str, str] = {}
        self.standing: dict[str, str] = {}
        self._lives: dict[str, int] = {}
        self._last: dict[str, int] = {}
        self.untold = 0
        self._ends = time.monotonic() + LONGEST_S
        self.names_at = NameServer((self._host(98), 0)) if by_name else None
        if self.names_at is not None:
            more += NAMED.format(at=format_address(self.names_at.address))
            for name, proxy in proxies.items():
                self.names_at.host(name, proxy[0], ttl=1)
            self.names_at.srv(
                "_members._udp", *((0, 1, proxy[1], name) for name, proxy in proxies.items()), ttl=1
            )
        ways = [] if by_name else [format_address(way) for way in proxies.values()]
        self._keys = {
            name: {
                "name": name, "host": own[name][0], "members": members, "group": f"rig-{pid}",
                "more": more.replace("NAME", name),
                "advertise": format_address(proxies[name]), "roster": _quoted(self.names),
                "tell": format_address(self._told_at), "ways_in": _quoted(ways),
            }
            for name in self.names
        }  # fmt: skip
        self.processes = {name: Process(name, folder, self._file(name, self.servers)) for name in self.names}
        self.callers = {
            name: Callers((own[name][0], 5060), call_rate, seed=number + 1, hold=timedelta(seconds=hold_s))
            for number, name in enumerate(self.names)
            if call_rate
        }
        self._stands: list[CallServer | Callers | NameServer] = [*self.servers, *self.callers.values()]
        if self.names_at is not None:
            self._stands.append(self.names_at)

    def _host(self, number: int) -> str:
        return f"{self._net}.{number}"

    @property
    def _told_at(self) -> Address:
        host, port = self._tell.getsockname()
        return host, port

    def __enter__(self) -> Rig:
        """Itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End all that it started."""
        for process in self.processes.values():
            process.close()
        self.net.close()
        self.streams.close()
        self._tell.close()
        if self.names_at is not None:
            self.names_at.kill()
        for server in self.servers:
            server.close()
        self.history.close()

    # --- processes ---

    def start(
        self, names: Iterable[str] | None = None, skew_s: Callable[[str], float] = lambda _: 0.0
    ) -> None:
        """Start these, or all."""
        for name in self.names if names is None else list(names):
            self._do("start", name)
            self.views[name] = {}
            self.standing.pop(name, None)
            self.processes[name].start(skew_s(name))

    def kill(self, *names: str) -> None:
        """SIGKILL to these."""
        for name in names:
            self._do("kill", name)
            self.processes[name].kill()
            self.standing.pop(name, None)

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self._do("stop", name)
        self.processes[name].stop()

    def go_on(self, name: str) -> None:
        """SIGCONT."""
        self._do("cont", name)
        self.processes[name].go_on()

    def cut(self, one: list[str], other: list[str], both: bool = True) -> None:
        """Cut the net between these."""
        self._do("cut", ",".join(one), other=other, both=both)
        self.net.cut(one, other, both)

    def heal(self) -> None:
        """Make the net whole."""
        self._do("heal", "")
        self.net.heal()

    def terminate(self, name: str) -> None:
        """SIGTERM: it says that it goes, and ends when all is done."""
        self._do("term", name)
        self.processes[name].terminate()

    def _file(self, name: str, servers: Iterable[CallServer]) -> str:
        named = _quoted(f"udp:{format_address(server.address)}" for server in servers)
        return FILE.format(servers=named, **self._keys[name])

    def leave_out(self, name: str, *servers: CallServer) -> None:
        """The file of one member names all call servers but these from now on."""
        self._do("leave out", name, servers=[format_address(server.address) for server in servers])
        self.processes[name].settle(self._file(name, [one for one in self.servers if one not in servers]))

    def _do(self, what: str, who: str, **more: object) -> None:
        self.history.add("rig", do=what, who=who, **more)

    # --- time ---

    def run(self, span_s: float) -> None:
        """Let time pass."""
        self.until(lambda: False, span_s)

    def until(self, done: Callable[[], bool], longest_s: float) -> bool:
        """Let time pass until something holds; whether it came to hold."""
        end = time.monotonic() + longest_s
        while not done():
            now = time.monotonic()
            assert now < self._ends, "the rig has run for too long"
            if now >= end:
                return False
            due = self.net.due_at
            wait = min(end, now + 0.05, due if due is not None else now + 0.05) - now
            descriptors = [*self.net.descriptors(), *self.streams.descriptors(), self._tell.fileno()]
            for stand in self._stands:
                descriptors += stand.descriptors()
            select.select(descriptors, [], [], max(0.0, wait))
            self._pump()
        return True

    def _pump(self) -> None:
        now = datetime.now(UTC)
        self.net.pump(time.monotonic())
        self.streams.pump()
        for stand in self._stands:
            stand.pump(now)
        while True:
            try:
                data = self._tell.recv(65536)
            except BlockingIOError:
                return
            self._heard(json.loads(data))

    def _heard(self, line: dict[str, object]) -> None:
        by, life, number = str(line["by"]), int(str(line["life"])), int(str(line["n"]))
        if self._lives.get(by) != life:
            self._lives[by], self._last[by] = life, 0
        self.untold += number - self._last[by] - 1
        self._last[by] = number
        self.history.add(str(line.pop("event")), **line)
        self.digests[by] = str(line["digest"])
        if "about" in line:
            view, about, new = self.views[by], str(line["about"]), line["new"]
            if isinstance(new, dict):
                view[about] = new
            else:
                view.pop(about, None)
        else:
            self.standing[by] = str(line["new"])

    def call(self, seconds: float) -> None:
        """Have calls come at every member for so long."""
        for callers in self.callers.values():
            callers.start(datetime.now(UTC), timedelta(seconds=seconds))

    # --- what holds ---

    def standing_at(self, name: str) -> tuple[int, int]:
        """How many calls of one member stand, as their callers see it, and as the call servers do: there one
        stands once its 200 was acknowledged, before that they end it themselves (RFC 3261, 13.3.1.4)."""
        host = self._own[name][0]
        calls = self.callers[name].calls.values()
        near = sum(call.final == 200 and not call.released for call in calls)
        far = sum(call.endswith(f"@{host}") for server in self.servers for call in server.confirmed)
        return near, far

    def up(self) -> list[str]:
        """Whose process runs and is not stopped."""
        return [name for name, one in self.processes.items() if one.running and not one.stopped]

    def shared(self, name: str) -> int:
        """Among how many a member shares the call servers, as its door says."""
        return int(str(self._asked(name, "/admin/members")["shared_among"]))

    def records(self, name: str) -> list[dict[str, object]]:
        """The complete records that are a member's."""
        found: list[dict[str, object]] = []
        after: object = 0
        while after is not None:
            page = self._asked(name, f"/admin/records?after={after}")
            records, after = page["records"], page["next"]
            assert isinstance(records, list)
            found += records
        return found

    def _asked(self, name: str, path: str) -> dict[str, object]:
        with socket.create_connection((self._own[name][0], 8060), timeout=5) as door:
            door.sendall(b"GET %s HTTP/1.1\r\nHost: rig\r\n\r\n" % path.encode())
            said = b""
            while data := door.recv(65536):
                said += data
        found = json.loads(said.partition(b"\r\n\r\n")[2])
        assert isinstance(found, dict)
        return found

    def state(self, by: str, about: str) -> str | None:
        """What one last said that it thinks of another."""
        known = self.views[by].get(about)
        return None if known is None else str(known["state"])

    def agreed(self) -> bool:
        """Whether all that run say that just these are there, and know their standing."""
        up = self.up()
        return all(
            self.standing.get(by) not in (None, "joining")
            and {about for about in self.views[by] if self.state(by, about) in ("alive", "suspect")}
            == set(up) - {by}
            and all(self.state(by, about) == "alive" for about in up if about != by)
            for by in up
        )

    def started(self) -> None:
        """Start all, and wait until they are one group in which each may decide."""
        self.start()
        whole = self.until(lambda: self.agreed() and set(self.standing.values()) == {"majority"}, READY_S)
        assert whole, f"no group within {READY_S} s: {self.standing}"

    def wrong(self) -> list[str]:
        """What is broken whatever the faults were: read at the members' outside."""
        found = [
            f"{name} ended by itself" for name, one in self.processes.items()
            if one.starts and not one.running and self._last_deed(name) not in ("kill", "term")
        ]  # fmt: skip
        if self.net.longest > 256:
            found.append(f"a datagram of {self.net.longest} bytes")
        return found

    def _last_deed(self, name: str) -> str:
        deeds = [line["do"] for line in self.history.lines if line["kind"] == "rig" and line["who"] == name]
        return deeds[-1] if deeds else ""
