"""A group of real processes on a simulated network, with callers, call servers and the event history.

with Rig(folder, members=8, seed=1) as rig:
    rig.start()
    rig.until(rig.views_agree, 10)
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

FIRST_PROXY, FIRST_SERVER = 100, 200  # last octet of the first proxy and call server; members begin at 1
STARTUP_TIMEOUT_S = 20.0
MAX_DURATION_S = 900.0  # a run that takes longer is aborted

SETTINGS = """
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

SRV_SETTINGS = """
[members.srv]
names = ["_members._udp.calls.example."]
name_servers = ["{at}"]
"""


def _quoted(texts: Iterable[str]) -> str:
    return ", ".join(f'"{text}"' for text in texts)


class Rig:
    """Runs members, the network and stand-ins, with bounded size and duration.

    All addresses are in a part of 127.0.0.0/8 that is derived from the process id, so that several rigs can
    run in parallel.
    """

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
        """``more`` is added to ``[members]`` of each file, with NAME replaced; calls are held for ``hold_s``.
        ``by_name``: the only seeds are an SRV name, which the stand-in ``name_server`` resolves.
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
        proxies = {name: (self._host(FIRST_PROXY + number), 7946) for number, name in enumerate(self.names)}
        self._own = own
        self.net = Net(own, proxies, self.rng.getrandbits(32))
        self.streams = Streams(own, proxies, self.net.links)
        self._report_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._report_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._report_socket.bind((self._host(99), 0))
        self._report_socket.setblocking(False)
        self.servers = [CallServer((self._host(FIRST_SERVER + n), 5070)) for n in range(servers)]
        self.views: dict[str, dict[str, dict[str, object]]] = {name: {} for name in self.names}
        self.digests: dict[str, str] = {}
        self.quorum_states: dict[str, str] = {}
        self._boot_ids: dict[str, int] = {}
        self._last_numbers: dict[str, int] = {}
        self.lost_reports = 0
        self._ends_at = time.monotonic() + MAX_DURATION_S
        self.name_server = NameServer((self._host(98), 0)) if by_name else None
        if self.name_server is not None:
            more += SRV_SETTINGS.format(at=format_address(self.name_server.address))
            for name, proxy in proxies.items():
                self.name_server.host(name, proxy[0], ttl=1)
            self.name_server.srv(
                "_members._udp", *((0, 1, proxy[1], name) for name, proxy in proxies.items()), ttl=1
            )
        seeds = [] if by_name else [format_address(seed_address) for seed_address in proxies.values()]
        self._keys = {
            name: {
                "name": name, "host": own[name][0], "members": members, "group": f"rig-{pid}",
                "more": more.replace("NAME", name),
                "advertise": format_address(proxies[name]), "roster": _quoted(self.names),
                "tell": format_address(self._report_address), "ways_in": _quoted(seeds),
            }
            for name in self.names
        }  # fmt: skip
        self.processes = {name: Process(name, folder, self._file(name, self.servers)) for name in self.names}
        self.callers = {
            name: Callers((own[name][0], 5060), call_rate, seed=number + 1, hold=timedelta(seconds=hold_s))
            for number, name in enumerate(self.names)
            if call_rate
        }
        self._standins: list[CallServer | Callers | NameServer] = [*self.servers, *self.callers.values()]
        if self.name_server is not None:
            self._standins.append(self.name_server)

    def _host(self, number: int) -> str:
        return f"{self._net}.{number}"

    @property
    def _report_address(self) -> Address:
        host, port = self._report_socket.getsockname()
        return host, port

    def __enter__(self) -> Rig:
        """Return the rig itself."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End all processes and close all sockets."""
        for process in self.processes.values():
            process.close()
        self.net.close()
        self.streams.close()
        self._report_socket.close()
        if self.name_server is not None:
            self.name_server.kill()
        for server in self.servers:
            server.close()
        self.history.close()

    # --- processes ---

    def start(
        self, names: Iterable[str] | None = None, skew_s: Callable[[str], float] = lambda _: 0.0
    ) -> None:
        """Start the named members, or all."""
        for name in self.names if names is None else list(names):
            self._record_action("start", name)
            self.views[name] = {}
            self.quorum_states.pop(name, None)
            self.processes[name].start(skew_s(name))

    def kill(self, *names: str) -> None:
        """Send SIGKILL to the named members."""
        for name in names:
            self._record_action("kill", name)
            self.processes[name].kill()
            self.quorum_states.pop(name, None)

    def stop(self, name: str) -> None:
        """Send SIGSTOP to a member."""
        self._record_action("stop", name)
        self.processes[name].stop()

    def resume(self, name: str) -> None:
        """Send SIGCONT to a member."""
        self._record_action("cont", name)
        self.processes[name].resume()

    def cut(self, first: list[str], second: list[str], both: bool = True) -> None:
        """Cut the network between two groups of members."""
        self._record_action("cut", ",".join(first), other=second, both=both)
        self.net.cut(first, second, both)

    def heal(self) -> None:
        """Repair all links."""
        self._record_action("heal", "")
        self.net.heal()

    def terminate(self, name: str) -> None:
        """Send SIGTERM: the member announces that it leaves, and ends after its shutdown."""
        self._record_action("term", name)
        self.processes[name].terminate()

    def _file(self, name: str, servers: Iterable[CallServer]) -> str:
        quoted = _quoted(f"udp:{format_address(server.address)}" for server in servers)
        return SETTINGS.format(servers=quoted, **self._keys[name])

    def remove_servers(self, name: str, *servers: CallServer) -> None:
        """Reload the settings of one member without these call servers."""
        self._record_action("leave out", name, servers=[format_address(server.address) for server in servers])
        self.processes[name].apply_settings(
            self._file(name, [one for one in self.servers if one not in servers])
        )

    def _record_action(self, action: str, member: str, **more: object) -> None:
        self.history.add("rig", do=action, who=member, **more)

    # --- time ---

    def run(self, span_s: float) -> None:
        """Run for a time span."""
        self.until(lambda: False, span_s)

    def until(self, done: Callable[[], bool], max_s: float) -> bool:
        """Run until the condition holds, for ``max_s`` at most; whether it held."""
        end = time.monotonic() + max_s
        while not done():
            now = time.monotonic()
            assert now < self._ends_at, f"the rig has run for more than {MAX_DURATION_S} s"
            if now >= end:
                return False
            due = self.net.due_at
            wait = min(end, now + 0.05, due if due is not None else now + 0.05) - now
            descriptors = [*self.net.descriptors(), *self.streams.descriptors(), self._report_socket.fileno()]
            for standin in self._standins:
                descriptors += standin.descriptors()
            select.select(descriptors, [], [], max(0.0, wait))
            self._pump()
        return True

    def _pump(self) -> None:
        now = datetime.now(UTC)
        self.net.pump(time.monotonic())
        self.streams.pump()
        for standin in self._standins:
            standin.pump(now)
        while True:
            try:
                data = self._report_socket.recv(65536)
            except BlockingIOError:
                return
            self._on_report(json.loads(data))

    def _on_report(self, line: dict[str, object]) -> None:
        by, boot_id, number = str(line["by"]), int(str(line["life"])), int(str(line["n"]))
        if self._boot_ids.get(by) != boot_id:
            self._boot_ids[by], self._last_numbers[by] = boot_id, 0
        self.lost_reports += number - self._last_numbers[by] - 1
        self._last_numbers[by] = number
        self.history.add(str(line.pop("event")), **line)
        self.digests[by] = str(line["digest"])
        if "about" in line:
            view, about, new = self.views[by], str(line["about"]), line["new"]
            if isinstance(new, dict):
                view[about] = new
            else:
                view.pop(about, None)
        else:
            self.quorum_states[by] = str(line["new"])

    def call(self, seconds: float) -> None:
        """Have callers place calls at every member for this time."""
        for callers in self.callers.values():
            callers.start(datetime.now(UTC), timedelta(seconds=seconds))

    # --- observed state ---

    def established_calls(self, name: str) -> tuple[int, int]:
        """Count the established calls of a member as seen by callers and by call servers.

        A call server counts a call once its 200 was acknowledged; before that it ends the call itself (RFC
        3261, 13.3.1.4).
        """
        host = self._own[name][0]
        calls = self.callers[name].calls.values()
        at_callers = sum(call.final == 200 and not call.released for call in calls)
        at_servers = sum(call.endswith(f"@{host}") for server in self.servers for call in server.confirmed)
        return at_callers, at_servers

    def running_members(self) -> list[str]:
        """Return the members whose process runs and is not stopped."""
        return [name for name, one in self.processes.items() if one.running and not one.stopped]

    def sharing_count(self, name: str) -> int:
        """Return among how many instances a member shares the call servers, by its admin server."""
        return int(str(self._admin_get(name, "/admin/members")["shared_among"]))

    def records(self, name: str) -> list[dict[str, object]]:
        """Return the complete call records of a member."""
        found: list[dict[str, object]] = []
        after: object = 0
        while after is not None:
            page = self._admin_get(name, f"/admin/records?after={after}")
            records, after = page["records"], page["next"]
            assert isinstance(records, list)
            found += records
        return found

    def _admin_get(self, name: str, path: str) -> dict[str, object]:
        with socket.create_connection((self._own[name][0], 8060), timeout=5) as connection:
            connection.sendall(b"GET %s HTTP/1.1\r\nHost: rig\r\n\r\n" % path.encode())
            response = b""
            while data := connection.recv(65536):
                response += data
        parsed = json.loads(response.partition(b"\r\n\r\n")[2])
        assert isinstance(parsed, dict)
        return parsed

    def state(self, by: str, about: str) -> str | None:
        """Return the state of a member in the last reported view of another."""
        entry = self.views[by].get(about)
        return None if entry is None else str(entry["state"])

    def views_agree(self) -> bool:
        """Whether the views of all running members list exactly these, and each knows its quorum state."""
        running = self.running_members()
        return all(
            self.quorum_states.get(by) not in (None, "joining")
            and {about for about in self.views[by] if self.state(by, about) in ("alive", "suspect")}
            == set(running) - {by}
            and all(self.state(by, about) == "alive" for about in running if about != by)
            for by in running
        )

    def start_and_wait(self) -> None:
        """Start all, and wait until they form one group in which each member has a quorum."""
        self.start()
        formed = self.until(
            lambda: self.views_agree() and set(self.quorum_states.values()) == {"majority"}, STARTUP_TIMEOUT_S
        )
        assert formed, f"no group within {STARTUP_TIMEOUT_S} s: {self.quorum_states}"

    def violations(self) -> list[str]:
        """List violations of what must hold under any faults, observed from outside the members."""
        found = [
            f"{name} ended without a signal" for name, one in self.processes.items()
            if one.starts and not one.running and self._last_action(name) not in ("kill", "term")
        ]  # fmt: skip
        if self.net.max_length > 256:
            found.append(f"a datagram of {self.net.max_length} bytes, the limit is 256")
        return found

    def _last_action(self, name: str) -> str:
        actions = [
            line["do"] for line in self.history.entries if line["kind"] == "rig" and line["who"] == name
        ]
        return actions[-1] if actions else ""
