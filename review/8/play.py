"""A TCP connection to a call server is reset halfway through INVITE transactions."""

from __future__ import annotations

from parts_2 import SERVER, SIP, Attempt, Callers, Case, ResetProxy, Server, host, main

SETTINGS = """
[sip]
listen = "{host}:{sip}"

[module]
cold_s = 0.0

[pool]
servers = ["tcp:{one}:{server_port}", "tcp:{two}:{server_port}"]

[[class]]
name = "quote-call"
aim_ms = 1200
give_up_ms = 9000
"""
CALLS = 4
ANSWER_AFTER_S = 1.0  # the called desk rings for so long
RESET_AFTER_S = 0.25


def overlaps(attempts: list[Attempt], now: float) -> list[str]:
    """Pairs of attempts of one call that were out at once, as its call servers saw them."""
    found = []
    for first in attempts:
        for second in attempts:
            until = first.over_at or now
            if first is not second and first.begun_at <= second.begun_at < until:
                end = f"over or given up at {until:.2f} s" if first.over_at else "never given up"
                found.append(
                    f"{first.number}: INVITE at {first.server} at {first.begun_at:.2f} s, {end}; "
                    f"INVITE at {second.server} at {second.begun_at:.2f} s"
                )
    return found


def play(case: Case) -> list[str]:
    """Four calls ring at two call servers; the connections to these are reset once."""
    servers = [Server(case, (host(at), SERVER), "tcp", ANSWER_AFTER_S) for at in (51, 52)]
    proxies = [
        ResetProxy(case, (host(at), SERVER), server.address)
        for at, server in zip((41, 42), servers, strict=True)
    ]
    program = case.operator("n1", SETTINGS, host=host(1), one=host(41), two=host(42))
    case.wait_for_start([program])
    case.run(0.5)
    callers = Callers(case, (host(1), SIP), 60)
    calls = [callers.place(f"0{at:05}") for at in range(CALLS)]

    def out() -> list[Attempt]:
        return [attempt for server in servers for attempt in server.attempts.values()]

    case.require(case.until(lambda: len(out()) >= CALLS, 2), "not all calls were sent")
    case.run(RESET_AFTER_S)
    case.require(len(out()) == CALLS, "a call was sent twice before the reset")
    if case.trouble:
        for proxy in proxies:
            proxy.reset()
    case.run(6.0)
    for call in calls:
        case.note(f"{call.number}: final answers at its caller {call.finals}")
    standing = [attempt for server in servers for attempt in server.standing]
    for call in calls:
        at = [attempt.server for attempt in standing if attempt.number == call.number]
        case.note(f"{call.number}: stands at {at}")
    return [
        line
        for call in calls
        for line in overlaps([one for one in out() if one.number == call.number], case.now)
    ]


if __name__ == "__main__":
    main(__file__, play)
