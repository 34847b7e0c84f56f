"""Bench adapter: hosts many controllers behind the bench's line protocol.

It parses, maps words, hands each event to its controller and writes the actions down. It decides nothing.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Iterable, Mapping
from typing import TextIO, TypeVar

from reedmount import interface as i
from reedmount.control import Controller

T = TypeVar("T")


class WireError(ValueError):
    """A line that the protocol does not allow."""


STATES = {
    "SERVING": i.ServerState.SERVING,
    "DRAINING": i.ServerState.DRAINING,
    "DELETED": i.ServerState.REMOVED,
}
LIST_KINDS = {
    "delta": i.ListKind.CHANGES,
    "full": i.ListKind.WHOLE,
    "cached": i.ListKind.SAVED,
    "failed": i.ListKind.FAILED,
}
OUTCOMES = {
    "Ok": i.Outcome.COMPLETED,
    "Failed": i.Outcome.FAILED,
    "QueueFull": i.Outcome.FULL,
    "TimedOut": i.Outcome.TIMED_OUT,
    "ConnectError": i.Outcome.UNREACHABLE,
    "ResetByPeer": i.Outcome.RESET,
    "Canceled": i.Outcome.CANCELLED,
    "Ignored": i.Outcome.NOT_SENT,
}
EFFECTS = {
    "read_like": i.Effect.REPEATABLE,
    "idempotency_key": i.Effect.KEYED,
    "non_idempotent": i.Effect.ONCE,
}
CAUSES = {0: i.Cause.NONE, 1: i.Cause.NO_LINE, 3: i.Cause.PROCESSOR_FULL, 4: i.Cause.NUMBER_BUSY}
REDIALLED, WAS_CUT, CAUSE_BITS = 2, 16, 16
ABSENT = "-"


def whole(text: str, what: str) -> int:
    """Read an integer, or say what was wrong."""
    try:
        return int(text)
    except ValueError:
        raise WireError(f"{what} is not a whole number: {text!r}") from None


def number(text: str, what: str) -> float:
    """Read a finite number, or say what was wrong."""
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{what} is not a number: {text!r}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"{what} is not finite: {text!r}")
    return value


def needed(text: str, what: str) -> str:
    """Refuse an absent value where the protocol wants one."""
    if text in ("", ABSENT):
        raise WireError(f"{what} is missing")
    return text


def optional(text: str) -> str | None:
    """Map the wire's mark of absence to None."""
    return None if text in ("", ABSENT) else text


def yes_no(text: str, what: str) -> bool:
    """Read 1 or 0."""
    if text not in ("0", "1"):
        raise WireError(f"{what} is neither 0 nor 1: {text!r}")
    return text == "1"


def word(table: Mapping[str, T], text: str, what: str) -> T:
    """Look a word of the wire up."""
    if text not in table:
        raise WireError(f"unknown {what}: {text!r}")
    return table[text]


def read_report(text: str) -> i.LoadReport:
    """Read a load report; figures below zero are 'not told', unknown ones are passed over."""
    figures: dict[str, float] = {}
    for pair in (optional(text) or "").split(","):
        if pair:
            name, colon, value = pair.partition(":")
            if not colon:
                raise WireError(f"load report without a colon: {pair!r}")
            figures[name] = number(value, f"load report value {name}")
    told = {name: value for name, value in figures.items() if value >= 0}
    wait_ms = told.get("recent_ms")
    return i.LoadReport(
        free_lines=told.get("free"),
        lines=told.get("size"),
        wait_us=None if wait_ms is None else round(wait_ms * 1000),
    )


class Options:
    """The settings that came with a start, read by path."""

    def __init__(self, parts: Iterable[str]) -> None:
        self._values: dict[str, str] = {}
        for part in parts:
            path, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"setting without '=': {part!r}")
            self._values[path] = value

    def text(self, path: str) -> str:
        """A setting that must be there."""
        if path not in self._values:
            raise WireError(f"setting {path} is missing")
        return self._values[path]

    def maybe(self, path: str) -> str | None:
        """A setting that may be left out."""
        return self._values.get(path)

    def whole(self, path: str) -> int:
        """A whole number."""
        return round(number(self.text(path), f"setting {path}"))

    def number(self, path: str) -> float:
        """A number."""
        return number(self.text(path), f"setting {path}")

    def flag(self, path: str) -> bool:
        """True or false; a permission that is not named is not given."""
        return self._values.get(path) == "true"

    def count(self, path: str) -> int:
        """The length of a list; one that is not named is empty."""
        text = self.maybe(f"{path}.count")
        return 0 if text is None else whole(text, f"setting {path}.count")


def read_class(options: Options, index: int) -> i.CallClass:
    """Read one class of calls."""
    path = f"classes.{index}."
    pools = options.maybe(f"specifics.pools_by_class.{index}")
    return i.CallClass(
        name=options.text(path + "name"),
        worth=options.number(path + "worth"),
        late_share=options.number(path + "late_share"),
        target_us=options.whole(path + "target"),
        give_up_us=options.whole(path + "deadline"),
        effect=word(EFFECTS, options.text(path + "effect"), "effect"),
        servers=tuple(whole(item, "pool number") for item in pools.split(",") if item) if pools else None,
    )


def longest_pause(options: Options) -> float:
    """The longest time to stay away that callers heed; 0 where they are told none."""
    if not options.flag("allowed.retry_after"):
        return 0.0
    told = options.maybe("allowed.max_retry_after")
    return math.inf if told is None else number(told, "setting allowed.max_retry_after")


def read_settings(parts: Iterable[str]) -> i.Settings:
    """Read what a site tells a proxy at its start."""
    options = Options(parts)
    return i.Settings(
        instances=options.whole("balancers"),
        classes=tuple(read_class(options, index) for index in range(options.count("classes"))),
        tenants=tuple(
            i.Tenant(options.text(f"tenants.{n}.name"), options.number(f"tenants.{n}.quota_per_s"))
            for n in range(options.count("tenants"))
        ),
        over_quota_share=options.number("over_share_worth"),
        resend_gap_us=options.whole("specifics.retransmit"),
        release_wait_us=options.whole("specifics.clear_wait"),
        cold_us=options.whole("rules.cold"),
        cold_start_share=options.number("rules.start_capacity"),
        fall_multiple=options.number("rules.fall_multiple"),
        fall_span_us=options.whole("rules.tip_after"),
        max_attempts=options.whole("allowed.max_attempts"),
        may_cancel=options.flag("allowed.cancel"),
        redials_marked=options.flag("clients.marks_retry"),
        subscribe=options.text("discovery") == "on_request",
        max_retry_after_us=longest_pause(options),
    )


def read_call(values: list[str]) -> i.NewCall:
    """ACCEPT."""
    call, _, _, tenant, subject, until, category, called, attrs, _ = values
    bits = 0 if optional(attrs) is None else whole(attrs, "attrs")
    return i.NewCall(
        call=whole(call, "request_id"),
        call_class=needed(category, "category"),
        tenant=optional(tenant),
        number=optional(subject),
        first_choice=None if optional(called) is None else whole(called, "called_node"),
        answer_by_us=whole(until, "valid_until"),
        redialled=bool(bits & REDIALLED),
        was_cut=bool(bits & WAS_CUT),
    )


def read_stands(values: list[str]) -> i.CallEstablished:
    """BEGUN."""
    call, copy, server, spent = values
    return i.CallEstablished(
        whole(call, "request_id"), whole(copy, "copy"), needed(server, "server"), whole(spent, "spent")
    )


def read_ended(values: list[str]) -> i.AttemptEnded:
    """RESPONSE."""
    call, server, verdict, copy, finished, spent, cause, usage = values
    bits = 0 if optional(cause) is None else whole(cause, "cause")
    return i.AttemptEnded(
        call=whole(call, "request_id"),
        attempt=whole(copy, "copy"),
        server=needed(server, "server"),
        outcome=word(OUTCOMES, verdict, "verdict"),
        closed=yes_no(finished, "finished"),
        delay_us=whole(spent, "spent"),
        cause=CAUSES.get(bits % CAUSE_BITS, i.Cause.OTHER),
        report=read_report(usage),
    )


def read_gone(values: list[str]) -> i.CallerAbandoned:
    """EXPIRED."""
    return i.CallerAbandoned(whole(values[0], "request_id"))


def read_timer(values: list[str]) -> i.TimerFired:
    """REMINDER."""
    return i.TimerFired(needed(values[0], "handle"))


def read_probed(values: list[str]) -> i.LoadReports:
    """PONG."""
    spent, verdict, server, usage = values
    whole(spent, "spent")
    word(OUTCOMES, verdict, "verdict")
    return i.LoadReports(((needed(server, "server"), read_report(usage)),))


def read_note(values: list[str]) -> i.PeerNote:
    """MAIL. No note is sent, so none is decoded."""
    sender, content = values
    return i.PeerNote(whole(sender, "origin_peer"), content.encode())


READERS: dict[str, tuple[int, Callable[[list[str]], i.Event]]] = {
    "ACCEPT": (10, read_call),
    "BEGUN": (4, read_stands),
    "RESPONSE": (8, read_ended),
    "EXPIRED": (1, read_gone),
    "REMINDER": (1, read_timer),
    "PONG": (4, read_probed),
    "MAIL": (2, read_note),
}


def encode(action: i.Action) -> str:
    """Write one action as a line of the wire."""
    match action:
        case i.SendSetup(call, server, give_up):
            parts: tuple[object, ...] = ("PASS_ON", call, server, give_up)
        case i.CancelAttempt(call, attempt):
            parts = ("RETRACT", call, attempt)
        case i.RefuseCall(call, retry_after):
            parts = ("REJECT", call, retry_after)
        case i.FailCall(call):
            parts = ("END_FAILED", call)
        case i.SetTimer(name, after):
            parts = ("ARM", after, name)
        case i.Subscribe():
            parts = ("OBSERVE", 1)
        case i.Log(text):
            parts = ("PRINT", " ".join(text.split()))
    return "\t".join(str(part) for part in parts)


class Host:
    """Reads batches, feeds the controllers and replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._line = 0
        self._lists: dict[int, tuple[i.ServerEntry, ...]] = {}
        self._controllers: dict[int, Controller] = {}

    def run(self) -> None:
        """Serve batches until the input ends, also where it ends inside one."""
        while (line := self._next()) is not None:
            values = line.split("\t")
            if values[0] != "MARK" or len(values) != 2:
                raise WireError(f"expected MARK and a clock, got {line!r}")
            reply = self._batch(whole(values[1], "clock"))
            if reply is None:
                return
            self._sink.write("".join(item + "\n" for item in [*reply, "READY"]))
            self._sink.flush()

    def complain(self, error: WireError) -> str:
        """The one message for a malformed line."""
        return f"simhost: line {self._line}: {error}"

    def _next(self) -> str | None:
        raw = self._source.readline()
        if not raw:
            return None
        self._line += 1
        return raw.rstrip("\n")

    def _batch(self, now: int) -> list[str] | None:
        reply: list[str] = []
        chosen: int | None = None
        speaking: int | None = None
        while (line := self._next()) is not None:
            values = line.split("\t")
            verb, values = values[0], values[1:]
            if verb == "OVER_TO_YOU":
                return reply
            if verb == "SELECT":
                self._expect(verb, values, 1)
                chosen = whole(values[0], "proxy")
            elif verb == "TABLE":
                if not self._table(values):
                    return None
            elif chosen is None:
                raise WireError(f"{verb} before any SELECT")
            else:
                lines = self._event(now, chosen, verb, values)
                if lines and speaking != chosen:
                    reply.append(f"FROM\t{chosen}")
                    speaking = chosen
                reply.extend(lines)
        return None

    @staticmethod
    def _expect(verb: str, values: list[str], count: int) -> None:
        if len(values) != count:
            raise WireError(f"{verb} has {len(values)} values, not {count}")

    def _table(self, values: list[str]) -> bool:
        self._expect("TABLE", values, 2)
        sheet, count = whole(values[0], "sheet"), whole(values[1], "items")
        entries: list[i.ServerEntry] = []
        for _ in range(count):
            line = self._next()
            if line is None:
                return False
            parts = line.split("\t")
            if parts[0] != "M":
                raise WireError(f"expected an M line of list {sheet}, got {line!r}")
            self._expect("M", parts[1:], 7)
            server, state, _, _, point, launched, _ = parts[1:]
            entries.append(
                i.ServerEntry(
                    server=needed(server, "server"),
                    number=whole(point, "point_code"),
                    state=word(STATES, state, "stage_state"),
                    started_us=0 if optional(launched) is None else whole(launched, "launched"),
                )
            )
        self._lists[sheet] = tuple(entries)
        return True

    def _event(self, now: int, chosen: int, verb: str, values: list[str]) -> list[str]:
        if verb == "BOOT":
            if not values:
                raise WireError("BOOT has no salt")
            seed, settings = whole(values[0], "salt"), read_settings(values[1:])
            return self._guard(lambda: self._start(chosen, settings, seed))
        if verb == "HALT":
            self._expect(verb, values, 0)
            self._controllers.pop(chosen, None)
            return []
        event = self._read(verb, values)
        if chosen not in self._controllers:
            raise WireError(f"{verb} for proxy {chosen}, which has not started")
        return self._guard(lambda: self._controllers[chosen].handle(now, event))

    def _start(self, chosen: int, settings: i.Settings, seed: int) -> list[i.Action]:
        self._controllers[chosen] = Controller(settings, seed)
        return []

    def _read(self, verb: str, values: list[str]) -> i.Event:
        if verb == "TOPOLOGY":
            return self._news(values)
        if verb not in READERS:
            raise WireError(f"unknown message {verb!r}")
        count, reader = READERS[verb]
        self._expect(verb, values, count)
        return reader(values)

    def _news(self, values: list[str]) -> i.ServerList:
        self._expect("TOPOLOGY", values, 3)
        version = whole(values[0], "gen")
        kind = word(LIST_KINDS, values[1], "mode")
        if kind is i.ListKind.FAILED:
            return i.ServerList(version, kind, ())
        sheet = whole(values[2], "sheet")
        if sheet not in self._lists:
            raise WireError(f"list {sheet} was never declared")
        return i.ServerList(version, kind, self._lists[sheet])

    @staticmethod
    def _guard(step: Callable[[], Iterable[i.Action]]) -> list[str]:
        """An exception in the decisions is reported on the wire, never as a traceback."""
        try:
            return [encode(action) for action in step()]
        except Exception as error:  # noqa: BLE001 - whatever the module raises ends the day
            return ["GIVE_IN\t" + " ".join(f"{type(error).__name__}: {error}".split())]


def main() -> int:
    """Serve standard input until it ends."""
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except WireError as error:
        print(host.complain(error), file=sys.stderr)
        return 1
    except UnicodeDecodeError:
        print(host.complain(WireError("not UTF-8 text")), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
