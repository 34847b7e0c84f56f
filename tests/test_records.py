"""Records of calls: read as they were written, the table of the file, and what the front waits for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.config import ConfigError
from reedmount.operator_file import read_operator
from reedmount.records.record import CallRecord, decode, encode
from reedmount.records.settings import ReplicaSettings
from reedmount.sip.dialog import Dialog, DialogState
from standins.site import Site
from tests.test_config import ROOT

FILE = (ROOT / "deploy" / "replicas.toml").read_text()
DISK = "# [replicas.disk_faults]"
S = timedelta(seconds=1)
SIDE = DialogState.from_dialog(
    Dialog("c1", "<sip:a@b>;tag=1", "<sip:c@d>;tag=2", "sip:c@192.0.2.1:5060", local_cseq=3), False
)


def settings(folder: Path, old: str = "", new: str = "") -> ReplicaSettings:
    assert old in FILE
    path = folder / "replicas.toml"
    path.write_text(FILE.replace(old, new, 1))
    found = read_operator(path).replicas
    assert found is not None
    return found


def test_the_shipped_file_says_the_defaults(tmp_path: Path) -> None:
    found = settings(tmp_path)
    assert found == replace(ReplicaSettings(), folder=tmp_path / "copies")
    assert settings(tmp_path, 'folder = "copies"', "").folder is None


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("faults = 1", "faults = 2", "replicas.faults: 2 need a roster of 5, it has 3"),
        ("faults = 1", "faults = 4", "replicas.faults"),
        ("wait_ms = 100", "wait_ms = 0", "replicas.wait_ms"),
        ("sync = true", "synced = true", "replicas.synced is not known"),
        (DISK, "[replicas.disk_faults]\nlying_sync = 2.0 #", "disk_faults.lying_sync"),
        (DISK, "[replicas.disk_faults]\nlying = true #", "disk_faults.lying is not known"),
    ],
)
def test_each_fault_of_the_table_is_refused_by_its_key(tmp_path: Path, old: str, new: str, says: str) -> None:
    with pytest.raises(ConfigError, match=says):
        settings(tmp_path, old, new)


def test_copies_without_members_are_refused(tmp_path: Path) -> None:
    head, _, rest = FILE.partition("\n[members]\n")
    path = tmp_path / "replicas.toml"
    path.write_text(head + rest[rest.index("\n[replicas]\n") :])
    with pytest.raises(ConfigError, match=r"replicas: there is no \[members\]"):
        read_operator(path)


def test_a_record_and_its_dialogs_are_read_as_they_were_written() -> None:
    routed = replace(SIDE, route=("<sip:r@192.0.2.7:5080;lr>",))
    held = CallRecord("sip-1", "plain", "0123", 5, sides=(SIDE, routed))
    assert decode(encode(held)) == held
    one, other = held.sides
    assert one.dialog.request("BYE", "x").cseq == (4, "BYE")
    assert one.next_hop == "sip:c@192.0.2.1:5060" and other.next_hop.startswith("sip:r@192.0.2.7:5080")
    for wrong in (b"", b"x", encode(held)[:-1]):
        with pytest.raises(ValueError):  # noqa: PT011
            decode(wrong)


class Slow:
    """A keeper that keeps everybody waiting until it is told to go on."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], None]] = []
        self.said: list[str] = []

    def call_offered(self, offer: object, at: object) -> None:
        self.said.append("taken")

    def call_rejected(
        self, name: str, outcome: str, attempts: int, server: str, answer: Callable[[], None]
    ) -> None:
        self.said.append(outcome)
        self.waiting.append(answer)

    def call_ended(self, name: str, how: str) -> None:
        self.said.append(how)

    def call_forgotten(self, name: str, attempts: int, server: str) -> None:
        self.said.append("dropped")

    def call_established(
        self, name: str, server: str, attempts: int, sides: tuple[DialogState, ...], then: Callable[[], None]
    ) -> None:
        assert len(sides) == 2 and len({side.call_id for side in sides}) == 2
        self.said.append("stands")
        self.waiting.append(then)


def test_neither_side_stands_before_the_call_is_kept(tmp_path: Path) -> None:
    """The ACK to the call server and the 200 to the caller go together; a repeated 200 changes nothing."""
    site = Site(tmp_path, servers=1)
    site.run(S)
    keeper = Slow()
    site.node.switch.recorder = site.front.recorder = keeper
    callers = site.callers(10.0)
    callers.start(site.now, S / 5)
    site.run(S)
    calls = list(callers.calls.values())
    assert calls and all(not call.finals for call in calls), keeper.said
    assert len(keeper.waiting) == len(calls) and not site.servers[0].confirmed
    for go_on in keeper.waiting:
        go_on()
    site.run(S / 2)
    assert all(call.finals == [200] for call in calls)
    assert len(site.servers[0].confirmed) + site.servers[0].counts["BYE"] == len(calls)


def test_a_call_that_was_given_up_while_its_refusal_was_kept_has_one_answer(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=1)
    site.run(S)
    site.servers[0].state = "busy"
    keeper = Slow()
    site.node.switch.recorder = site.front.recorder = keeper
    callers = site.callers(10.0)
    callers.start(site.now, S / 5)
    site.run(15 * S)
    calls = list(callers.calls.values())
    assert calls and keeper.waiting and all(not call.finals for call in calls)
    for leg in list(site.front.legs_by_name.values()):
        leg._send_final(487, [])
    for go_on in keeper.waiting:
        go_on()
    site.run(S)
    assert callers.faults() == [] and {call.final for call in calls} == {487}
