"""Simulator adapter: hosts many controllers behind the simulator's line protocol.

It parses lines, passes each event to its controller and encodes the actions. It has no decision logic.
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


def parse_int(text: str, what: str) -> int:
    """Parse an integer; ``what`` names the value in the error."""
    try:
        return int(text)
    except ValueError:
        raise WireError(f"{what} is not a whole number: {text!r}") from None


def parse_float(text: str, what: str) -> float:
    """Parse a finite number; ``what`` names the value in the error."""
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{what} is not a number: {text!r}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"{what} is not finite: {text!r}")
    return value


def required(text: str, what: str) -> str:
    """The text, which must not be empty or the marker for an absent value."""
    if text in ("", ABSENT):
        raise WireError(f"{what} is missing")
    return text


def optional(text: str) -> str | None:
    """The text, or None for the marker for an absent value."""
    return None if text in ("", ABSENT) else text


def parse_bool(text: str, what: str) -> bool:
    """Parse 1 or 0."""
    if text not in ("0", "1"):
        raise WireError(f"{what} is neither 0 nor 1: {text!r}")
    return text == "1"


def look_up(table: Mapping[str, T], text: str, what: str) -> T:
    """Translate a word of the protocol."""
    if text not in table:
        raise WireError(f"unknown {what}: {text!r}")
    return table[text]


def read_report(text: str) -> i.LoadReport:
    """Parse a load report; negative values mean 'not reported', unknown ones are ignored."""
    values: dict[str, float] = {}
    for pair in (optional(text) or "").split(","):
        if pair:
            name, colon, value = pair.partition(":")
            if not colon:
                raise WireError(f"load report without a colon: {pair!r}")
            values[name] = parse_float(value, f"load report value {name}")
    reported = {name: value for name, value in values.items() if value >= 0}
    wait_ms = reported.get("recent_ms")
    return i.LoadReport(
        free_lines=reported.get("free"),
        lines=reported.get("size"),
        wait_us=None if wait_ms is None else round(wait_ms * 1000),
    )


class Options:
    """Settings of a start message, by path."""

    def __init__(self, parts: Iterable[str]) -> None:
        self._values: dict[str, str] = {}
        for part in parts:
            path, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"setting without '=': {part!r}")
            self._values[path] = value

    def text(self, path: str) -> str:
        """A required setting."""
        if path not in self._values:
            raise WireError(f"setting {path} is missing")
        return self._values[path]

    def find(self, path: str) -> str | None:
        """An optional setting."""
        return self._values.get(path)

    def parse_int(self, path: str) -> int:
        """A required setting as an integer."""
        return round(parse_float(self.text(path), f"setting {path}"))

    def parse_float(self, path: str) -> float:
        """A required setting as a number."""
        return parse_float(self.text(path), f"setting {path}")

    def flag(self, path: str) -> bool:
        """A boolean setting; a permission that is absent is not granted."""
        return self._values.get(path) == "true"

    def count(self, path: str) -> int:
        """The length of a list; an absent list is empty."""
        text = self.find(f"{path}.count")
        return 0 if text is None else parse_int(text, f"setting {path}.count")


def read_class(options: Options, index: int) -> i.CallClass:
    """Parse one class of calls."""
    path = f"classes.{index}."
    pools = options.find(f"specifics.pools_by_class.{index}")
    return i.CallClass(
        name=options.text(path + "name"),
        worth=options.parse_float(path + "worth"),
        late_share=options.parse_float(path + "late_share"),
        target_us=options.parse_int(path + "target"),
        give_up_us=options.parse_int(path + "deadline"),
        effect=look_up(EFFECTS, options.text(path + "effect"), "effect"),
        servers=tuple(parse_int(item, "pool number") for item in pools.split(",") if item) if pools else None,
    )


def read_max_retry_after(options: Options) -> float:
    """The longest retry time that callers respect; 0 where none may be sent."""
    if not options.flag("allowed.retry_after"):
        return 0.0
    limit = options.find("allowed.max_retry_after")
    return math.inf if limit is None else parse_float(limit, "setting allowed.max_retry_after")


def read_settings(parts: Iterable[str]) -> i.Settings:
    """Parse the settings of a site."""
    options = Options(parts)
    return i.Settings(
        instances=options.parse_int("balancers"),
        classes=tuple(read_class(options, index) for index in range(options.count("classes"))),
        tenants=tuple(
            i.Tenant(options.text(f"tenants.{n}.name"), options.parse_float(f"tenants.{n}.quota_per_s"))
            for n in range(options.count("tenants"))
        ),
        over_quota_share=options.parse_float("over_share_worth"),
        resend_gap_us=options.parse_int("specifics.retransmit"),
        release_wait_us=options.parse_int("specifics.clear_wait"),
        cold_us=options.parse_int("rules.cold"),
        cold_start_share=options.parse_float("rules.start_capacity"),
        fall_multiple=options.parse_float("rules.fall_multiple"),
        fall_span_us=options.parse_int("rules.tip_after"),
        max_attempts=options.parse_int("allowed.max_attempts"),
        may_cancel=options.flag("allowed.cancel"),
        redials_marked=options.flag("clients.marks_retry"),
        subscribe=options.text("discovery") == "on_request",
        max_retry_after_us=read_max_retry_after(options),
    )


def read_call(values: list[str]) -> i.NewCall:
    """Parse ACCEPT."""
    call, _, _, tenant, called_number, valid_until, class_name, called_node, attrs, _ = values
    bits = 0 if optional(attrs) is None else parse_int(attrs, "attrs")
    return i.NewCall(
        call=parse_int(call, "request_id"),
        call_class=required(class_name, "category"),
        tenant=optional(tenant),
        number=optional(called_number),
        first_choice=None if optional(called_node) is None else parse_int(called_node, "called_node"),
        answer_by_us=parse_int(valid_until, "valid_until"),
        redialled=bool(bits & REDIALLED),
        was_cut=bool(bits & WAS_CUT),
    )


def read_established(values: list[str]) -> i.CallEstablished:
    """Parse BEGUN."""
    call, attempt_number, server, elapsed = values
    return i.CallEstablished(
        parse_int(call, "request_id"),
        parse_int(attempt_number, "copy"),
        required(server, "server"),
        parse_int(elapsed, "spent"),
    )


def read_ended(values: list[str]) -> i.AttemptEnded:
    """Parse RESPONSE."""
    call, server, result, attempt_number, finished, elapsed, cause, usage = values
    bits = 0 if optional(cause) is None else parse_int(cause, "cause")
    return i.AttemptEnded(
        call=parse_int(call, "request_id"),
        attempt=parse_int(attempt_number, "copy"),
        server=required(server, "server"),
        outcome=look_up(OUTCOMES, result, "verdict"),
        closed=parse_bool(finished, "finished"),
        delay_us=parse_int(elapsed, "spent"),
        cause=CAUSES.get(bits % CAUSE_BITS, i.Cause.OTHER),
        report=read_report(usage),
    )


def read_abandoned(values: list[str]) -> i.CallerAbandoned:
    """Parse EXPIRED."""
    return i.CallerAbandoned(parse_int(values[0], "request_id"))


def read_timer(values: list[str]) -> i.TimerFired:
    """Parse REMINDER."""
    return i.TimerFired(required(values[0], "handle"))


def read_probed(values: list[str]) -> i.LoadReports:
    """Parse PONG."""
    elapsed, result, server, usage = values
    parse_int(elapsed, "spent")
    look_up(OUTCOMES, result, "verdict")
    return i.LoadReports(((required(server, "server"), read_report(usage)),))


def read_note(values: list[str]) -> i.PeerNote:
    """Parse MAIL. The controllers send no notes, so the content is not decoded."""
    sender, content = values
    return i.PeerNote(parse_int(sender, "origin_peer"), content.encode())


READERS: dict[str, tuple[int, Callable[[list[str]], i.Event]]] = {
    "ACCEPT": (10, read_call),
    "BEGUN": (4, read_established),
    "RESPONSE": (8, read_ended),
    "EXPIRED": (1, read_abandoned),
    "REMINDER": (1, read_timer),
    "PONG": (4, read_probed),
    "MAIL": (2, read_note),
}


def encode(action: i.Action) -> str:
    """Encode an action as a line of the protocol."""
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
    """Reads batches of events, passes them to the controllers and writes the replies."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._line = 0
        self._lists: dict[int, tuple[i.ServerEntry, ...]] = {}
        self._controllers: dict[int, Controller] = {}

    def run(self) -> None:
        """Process batches until the end of input, which may fall inside a batch."""
        while (line := self._next_line()) is not None:
            values = line.split("\t")
            if values[0] != "MARK" or len(values) != 2:
                raise WireError(f"expected MARK and a clock, got {line!r}")
            reply = self._read_batch(parse_int(values[1], "clock"))
            if reply is None:
                return
            self._sink.write("".join(item + "\n" for item in [*reply, "READY"]))
            self._sink.flush()

    def describe(self, error: WireError) -> str:
        """The error message for a malformed line."""
        return f"simhost: line {self._line}: {error}"

    def _next_line(self) -> str | None:
        raw = self._source.readline()
        if not raw:
            return None
        self._line += 1
        return raw.rstrip("\n")

    def _read_batch(self, now: int) -> list[str] | None:
        reply: list[str] = []
        chosen: int | None = None
        reply_from: int | None = None
        while (line := self._next_line()) is not None:
            values = line.split("\t")
            verb, values = values[0], values[1:]
            if verb == "OVER_TO_YOU":
                return reply
            if verb == "SELECT":
                self._expect(verb, values, 1)
                chosen = parse_int(values[0], "proxy")
            elif verb == "TABLE":
                if not self._read_table(values):
                    return None
            elif chosen is None:
                raise WireError(f"{verb} before any SELECT")
            else:
                lines = self._dispatch(now, chosen, verb, values)
                if lines and reply_from != chosen:
                    reply.append(f"FROM\t{chosen}")
                    reply_from = chosen
                reply.extend(lines)
        return None

    @staticmethod
    def _expect(verb: str, values: list[str], count: int) -> None:
        if len(values) != count:
            raise WireError(f"{verb} has {len(values)} values, not {count}")

    def _read_table(self, values: list[str]) -> bool:
        self._expect("TABLE", values, 2)
        list_id, count = parse_int(values[0], "sheet"), parse_int(values[1], "items")
        entries: list[i.ServerEntry] = []
        for _ in range(count):
            line = self._next_line()
            if line is None:
                return False
            parts = line.split("\t")
            if parts[0] != "M":
                raise WireError(f"expected an M line of list {list_id}, got {line!r}")
            self._expect("M", parts[1:], 7)
            server, state, _, _, point_code, started, _ = parts[1:]
            entries.append(
                i.ServerEntry(
                    server=required(server, "server"),
                    number=parse_int(point_code, "point_code"),
                    state=look_up(STATES, state, "stage_state"),
                    started_us=0 if optional(started) is None else parse_int(started, "launched"),
                )
            )
        self._lists[list_id] = tuple(entries)
        return True

    def _dispatch(self, now: int, chosen: int, verb: str, values: list[str]) -> list[str]:
        if verb == "BOOT":
            if not values:
                raise WireError("BOOT has no salt")
            seed, settings = parse_int(values[0], "salt"), read_settings(values[1:])
            return self._run_guarded(lambda: self._start(chosen, settings, seed))
        if verb == "HALT":
            self._expect(verb, values, 0)
            self._controllers.pop(chosen, None)
            return []
        event = self._read(verb, values)
        if chosen not in self._controllers:
            raise WireError(f"{verb} for proxy {chosen}, which has not started")
        return self._run_guarded(lambda: self._controllers[chosen].handle(now, event))

    def _start(self, chosen: int, settings: i.Settings, seed: int) -> list[i.Action]:
        self._controllers[chosen] = Controller(settings, seed)
        return []

    def _read(self, verb: str, values: list[str]) -> i.Event:
        if verb == "TOPOLOGY":
            return self._read_list(values)
        if verb not in READERS:
            raise WireError(f"unknown message {verb!r}")
        count, reader = READERS[verb]
        self._expect(verb, values, count)
        return reader(values)

    def _read_list(self, values: list[str]) -> i.ServerList:
        self._expect("TOPOLOGY", values, 3)
        version = parse_int(values[0], "gen")
        kind = look_up(LIST_KINDS, values[1], "mode")
        if kind is i.ListKind.FAILED:
            return i.ServerList(version, kind, ())
        list_id = parse_int(values[2], "sheet")
        if list_id not in self._lists:
            raise WireError(f"list {list_id} was never declared")
        return i.ServerList(version, kind, self._lists[list_id])

    @staticmethod
    def _run_guarded(step: Callable[[], Iterable[i.Action]]) -> list[str]:
        """Report an exception of a controller on the wire, not as a traceback."""
        try:
            return [encode(action) for action in step()]
        except Exception as error:  # noqa: BLE001 - any exception of the controller is reported
            return ["GIVE_IN\t" + " ".join(f"{type(error).__name__}: {error}".split())]


def main() -> int:
    """Serve standard input until it ends."""
    host = Host(sys.stdin, sys.stdout)
    try:
        host.run()
    except WireError as error:
        print(host.describe(error), file=sys.stderr)
        return 1
    except UnicodeDecodeError:
        print(host.describe(WireError("not UTF-8 text")), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
