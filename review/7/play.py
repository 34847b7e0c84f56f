"""A SIP call server's process dies with calls standing there, and the list tells that it is gone."""

from __future__ import annotations

from parts_2 import BOARD, SERVER, SIP, Callers, Case, Server, host, main
from thin_2 import Board, listed

SETTINGS = """
[sip]
listen = "{host}:{sip}"

[module]
cold_s = 0.0

[pool]
board = "{board}"
transport = "tcp"

[[class]]
name = "quote-call"
aim_ms = 1200
give_up_ms = 9000
"""
CALLS = 12
TOLD_AFTER_S = 2.0  # the list is seconds late
WITHIN_S = 8.0 + 0.05


def play(case: Case) -> list[str]:
    """Twelve calls stand at four call servers; one of these dies, and two seconds later the list says so."""
    servers = [Server(case, (host(at), SERVER), "tcp") for at in (51, 52, 53, 54)]  # one of four is 25%
    board = Board(case, (host(40), BOARD))
    board.tell(*(listed(f"s-{at}", server.address, at) for at, server in enumerate(servers)))
    program = case.operator("n1", SETTINGS, host=host(1), board=f"{host(40)}:{BOARD}")
    case.wait_for_start([program])
    case.run(1.0)
    callers = Callers(case, (host(1), SIP), 60)
    calls = []
    for at in range(CALLS):
        calls.append(callers.place(f"0{at:05}"))
        case.run(0.3)
    case.require(all(call.stands for call in calls), "not all calls stand")
    dying = max(servers, key=lambda server: len(server.standing))
    lost = {attempt.number for attempt in dying.standing}
    case.note(f"calls at the call servers: {[len(server.standing) for server in servers]}")
    case.run(1.0)
    over_at, within = case.now, WITHIN_S
    if case.trouble:
        dying.die()
        case.run(TOLD_AFTER_S)
        board.tell(listed(f"s-{servers.index(dying)}", dying.address, servers.index(dying), "DELETED"))
    else:
        within = 1.0 + 0.05
        for attempt in dying.standing:
            dying.release(attempt)
    case.run(12.0)
    for line in program.log().splitlines():
        if any(word in line for word in ("connection", "leaves", "removed", "released")):
            case.note(f"n1 says: {line}")
    broken = []
    for call in calls:
        if call.number not in lost:
            continue
        told = None if call.ended_at is None else call.ended_at - over_at
        case.note(f"{call.number}: over at its call server; its caller was told after {told}")
        if told is None or told > within:
            broken.append(f"{call.number}: over for {case.now - over_at:.1f} s, its caller has not been told")
    return broken


if __name__ == "__main__":
    main(__file__, play)
