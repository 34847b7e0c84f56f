"""Call records: encoding, the ``[replicas]`` table, and answers that wait for a durable record."""

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
DIALOG = DialogState.from_dialog(
    Dialog("c1", "<sip:a@b>;tag=1", "<sip:c@d>;tag=2", "sip:c@192.0.2.1:5060", local_cseq=3), False
)


def settings(folder: Path, old: str = "", new: str = "") -> ReplicaSettings:
    assert old in FILE
    path = folder / "replicas.toml"
    path.write_text(FILE.replace(old, new, 1))
    found = read_operator(path).replicas
    assert found is not None
    return found


def test_shipped_file_has_the_default_settings(tmp_path: Path) -> None:
    found = settings(tmp_path)
    assert found == replace(ReplicaSettings(), folder=tmp_path / "copies")
    assert settings(tmp_path, 'folder = "copies"', "").folder is None


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("faults = 1", "faults = 2", "replicas.faults: 2 need a roster of 5, it has 3"),
        ("faults = 1", "faults = 4", "replicas.faults"),
        ("wait_ms = 100", "wait_ms = 0", "replicas.wait_ms"),
        ("sync = true", "synced = true", "replicas.synced is not known"),
        (DISK, "[replicas.disk_faults]\nlying_sync = 2.0 #", "disk_faults.lying_sync"),
        (DISK, "[replicas.disk_faults]\nlying = true #", "disk_faults.lying is not known"),
    ],
)
def test_invalid_settings_are_refused_naming_the_key(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    with pytest.raises(ConfigError, match=message):
        settings(tmp_path, old, new)


def test_replicas_without_members_are_refused(tmp_path: Path) -> None:
    head, _, rest = FILE.partition("\n[members]\n")
    path = tmp_path / "replicas.toml"
    path.write_text(head + rest[rest.index("\n[replicas]\n") :])
    with pytest.raises(ConfigError, match=r"replicas: there is no \[members\]"):
        read_operator(path)


def test_record_and_dialogs_round_trip() -> None:
    routed = replace(DIALOG, route=("<sip:r@192.0.2.7:5080;lr>",))
    record = CallRecord("sip-1", "plain", "0123", 5, sides=(DIALOG, routed))
    assert decode(encode(record)) == record
    direct, via_route = record.sides
    assert direct.dialog.request("BYE", "x").cseq == (4, "BYE")
    assert direct.next_hop == "sip:c@192.0.2.1:5060" and via_route.next_hop.startswith("sip:r@192.0.2.7:5080")
    for invalid in (b"", b"x", encode(record)[:-1]):
        with pytest.raises(ValueError):  # noqa: PT011
            decode(invalid)


class BlockingRecorder:
    """A call recorder that holds every answer back until the test runs it."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], None]] = []
        self.events: list[str] = []

    def call_offered(self, offer: object, at: object) -> None:
        self.events.append("taken")

    def call_rejected(
        self, name: str, outcome: str, attempts: int, server: str, answer: Callable[[], None]
    ) -> None:
        self.events.append(outcome)
        self.waiting.append(answer)

    def call_ended(self, name: str, how: str) -> None:
        self.events.append(how)

    def call_forgotten(self, name: str, attempts: int, server: str) -> None:
        self.events.append("dropped")

    def call_established(
        self, name: str, server: str, attempts: int, sides: tuple[DialogState, ...], then: Callable[[], None]
    ) -> None:
        assert len(sides) == 2 and len({side.call_id for side in sides}) == 2
        self.events.append("stands")
        self.waiting.append(then)


def test_call_is_not_established_before_its_record_is_durable(tmp_path: Path) -> None:
    """The ACK to the server and the 200 to the caller are sent together; a repeated 200 changes nothing."""
    site = Site(tmp_path, servers=1)
    site.run(S)
    blocking = BlockingRecorder()
    site.node.switch.recorder = site.front.recorder = blocking
    callers = site.callers(10.0)
    callers.start(site.now, S / 5)
    site.run(S)
    calls = list(callers.calls.values())
    assert calls and all(not call.finals for call in calls), blocking.events
    assert len(blocking.waiting) == len(calls) and not site.servers[0].confirmed
    for answer in blocking.waiting:
        answer()
    site.run(S / 2)
    assert all(call.finals == [200] for call in calls)
    assert len(site.servers[0].confirmed) + site.servers[0].counts["BYE"] == len(calls)


def test_call_given_up_while_its_refusal_is_stored_has_one_final_answer(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=1)
    site.run(S)
    site.servers[0].state = "busy"
    blocking = BlockingRecorder()
    site.node.switch.recorder = site.front.recorder = blocking
    callers = site.callers(10.0)
    callers.start(site.now, S / 5)
    site.run(15 * S)
    calls = list(callers.calls.values())
    assert calls and blocking.waiting and all(not call.finals for call in calls)
    for leg in list(site.front.legs_by_name.values()):
        leg._send_final(487, [])
    for answer in blocking.waiting:
        answer()
    site.run(S)
    assert callers.faults() == [] and {call.final for call in calls} == {487}
