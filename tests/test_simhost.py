"""The simulator adapter, on short written transcripts."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from reedmount import simhost
from reedmount.control import Controller

OPTIONS = [
    "balancers=4", "self_index=1", "classes.count=1", "classes.0.name=plain", "classes.0.worth=1.0",
    "classes.0.late_share=0.25", "classes.0.target=2000000", "classes.0.deadline=9000000",
    "classes.0.effect=read_like", "over_share_worth=0.1", "specifics.retransmit=500000",
    "specifics.clear_wait=300000", "rules.drain_grace=250000", "rules.cold=14000000",
    "rules.start_capacity=0.32", "rules.fall_multiple=2.5", "rules.tip_after=3000000",
    "allowed.max_attempts=4", "allowed.cancel=true", "allowed.max_retry_after=2000000",
    "allowed.retry_after=true",
    "discovery=pushed", "never.heard.of=1",
]  # fmt: skip
BOOT = "\t".join(["BOOT", "7", *OPTIONS])
HEAD = ["MARK\t1000000", "SELECT\t3", BOOT, "TABLE\t0\t1"]
ENTRY = "M\tserver_x\tSERVING\tstd\t1\t0\t-\tzone"
START = [*HEAD, ENTRY, "TOPOLOGY\t1\tcached\t0", "OVER_TO_YOU"]
CALL = "ACCEPT\t5\t1\t0\t-\tab\t4000000\tplain\t0\t0\t-"


def run(*lines: str) -> str:
    sink = io.StringIO()
    simhost.Host(io.StringIO("".join(line + "\n" for line in lines)), sink).run()
    return sink.getvalue()


def test_a_call_is_sent_and_its_end_ignored_once_closed() -> None:
    text = run(
        *START,
        "MARK\t1005000", "SELECT\t3", CALL, "OVER_TO_YOU",
        "MARK\t1050000", "SELECT\t3", "BEGUN\t5\t0\tserver_x\t45000", "OVER_TO_YOU",
        "MARK\t9050000", "SELECT\t3",
        "RESPONSE\t5\tserver_x\tOk\t0\t1\t8045000\t-\tfree:9,size:9,recent_ms:-1,other:3", "OVER_TO_YOU",
    )  # fmt: skip
    assert text.startswith("READY\nFROM\t3\nPASS_ON\t5\tserver_x\t2995000\nARM\t")
    assert text.endswith("READY\nREADY\nREADY\n")


def test_empty_batches_and_end_of_input_in_a_batch() -> None:
    assert run("MARK\t1", "OVER_TO_YOU") == "READY\n"
    assert run("MARK\t1", "OVER_TO_YOU", "MARK\t2", "SELECT\t1") == "READY\n"
    assert run("MARK\t1", "TABLE\t0\t2", ENTRY) == ""


def test_lists_apply_in_the_order_of_events() -> None:
    other = "M\tserver_y\tSERVING\tstd\t1\t0\t-\tzone"
    text = run(*HEAD, ENTRY, "TOPOLOGY\t1\tfull\t0", "TABLE\t0\t1", other, "TOPOLOGY\t2\tfull\t0", CALL,
               "OVER_TO_YOU")  # fmt: skip
    assert "PASS_ON\t5\tserver_y\t" in text


def test_a_stopped_instance_loses_its_state() -> None:
    text = run(*START, "MARK\t2000000", "SELECT\t3", "HALT", BOOT, CALL, "OVER_TO_YOU")
    assert "PASS_ON" not in text


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        (["hello"], "line 1: expected MARK"),
        (["MARK\tsoon"], "line 1: clock is not a whole number"),
        (["MARK\t1", "SELECT\t3", "WHAT\t1"], "line 3: unknown message 'WHAT'"),
        (["MARK\t1", CALL], "line 2: ACCEPT before any SELECT"),
        (["MARK\t1", "SELECT\t3", CALL], "line 3: ACCEPT for proxy 3, which has not started"),
        ([*HEAD, ENTRY, "TOPOLOGY\t1\tfull\t4"], "list 4 was never declared"),
        ([*HEAD, ENTRY, "TOPOLOGY\t1\tnew\t0"], "unknown mode: 'new'"),
        ([*HEAD, "M\tserver_x\tASLEEP\tstd\t1\t0\t-\tzone"], "unknown stage_state: 'ASLEEP'"),
        ([*HEAD, "M\tserver_x\tSERVING"], "M has 2 values, not 7"),
        ([*START[:-1], "EXPIRED\t-"], "request_id is not a whole number"),
        ([*START[:-1], "BEGUN\t5\t0\t-\t9"], "server is missing"),
        ([*START[:-1], "ACCEPT\t5"], "ACCEPT has 1 values, not 10"),
        ([*START[:-1], "PONG\t0\tOk\tserver_x\tfree:nan"], "is not finite"),
        (["MARK\t1", "SELECT\t3", "BOOT\t7\tclasses.count=0"], "setting balancers is missing"),
    ],
)
def test_bad_input_is_reported_with_its_line(lines: list[str], fault: str) -> None:
    host = simhost.Host(io.StringIO("".join(line + "\n" for line in lines)), io.StringIO())
    with pytest.raises(simhost.WireError) as caught:
        host.run()
    assert fault in host.describe(caught.value)


def test_the_process_prints_one_plain_line_and_fails() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "reedmount.simhost"], input=b"MARK\t1\nnonsense\n", capture_output=True
    )
    assert done.returncode != 0
    assert done.stderr.decode().count("\n") == 1 and "Traceback" not in done.stderr.decode()


def test_an_exception_in_the_module_becomes_give_in(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> list[object]:
        raise RuntimeError("out of\norder")

    monkeypatch.setattr(Controller, "handle", broken)
    text = run(*START)
    assert text == "FROM\t3\nGIVE_IN\tRuntimeError: out of order\nREADY\n"
