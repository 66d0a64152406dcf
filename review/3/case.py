"""Case 3: a release is lost with its connection, and with the next one, which is reset while new."""

from __future__ import annotations

import asyncio
import sys
import time

from standins import SLACK_S, Case, CaseCannotRunError, PathConnection, run_case

CELLS, TARGET = [1, 2, 3, 4], 2
STANDING_CALLS = 4
RESET_TIME_S = 0.005  # what is on its way is lost; both sides see the reset this long after
RELEASE_LIMIT_S = 8.0 + SLACK_S  # the later of the two bounds; the other is 1 s


async def play(case: Case) -> list[str]:
    await case.start(over_path=(TARGET,))
    case.run_in_background(case.callers.place_steadily(CELLS, 12.0, 2.0))
    await asyncio.sleep(1.5)
    placed = [await case.callers.place_standing(TARGET) for _ in range(2 * STANDING_CALLS)]
    await asyncio.sleep(0.5)
    exchange = case.exchanges[TARGET]
    path = exchange.path
    held = [call for call in placed if exchange.holds(call)]
    if path is None or not held:
        raise CaseCannotRunError("no call stands at its exchange")
    links = [exchange.calls[call].link for call in held]
    carrying = max(links, key=links.count)
    calls = [call for call in held if exchange.calls[call].link is carrying]
    if carrying.transport is None or len(calls) < STANDING_CALLS:
        raise CaseCannotRunError("too few calls were set up on one connection")
    port = carrying.transport.get_extra_info("peername")[1]
    old = next((each for each in path.connections if each.far_port == port), None)
    if old is None:
        raise CaseCannotRunError("the connection that is to be reset was not found")
    ended_at_s = time.monotonic()
    for call in calls:
        exchange.end_call(call)
    resets = 0
    if case.has_trouble:

        def reset(connection: PathConnection) -> None:
            nonlocal resets
            resets += 1
            path.on_connected = reset if resets == 1 else None
            connection.reset_after(RESET_TIME_S)
            state = "that carries the releases" if resets == 1 else "that opens next, while it is new,"
            case.record.write(f"network: the connection to exchange {TARGET} {state} is reset")

        reset(old)
    await asyncio.sleep(RELEASE_LIMIT_S + 1.0)
    if case.has_trouble and resets != 2:
        raise CaseCannotRunError(f"{resets} connections were reset instead of two")
    breaks = []
    for call in calls:
        seen = case.callers.calls[call]
        if not seen.released_at_s or seen.released_at_s - ended_at_s > RELEASE_LIMIT_S:
            after = f"{seen.released_at_s - ended_at_s:.2f} s later" if seen.released_at_s else "never"
            breaks.append(f"call {call} came to its end at the exchange; its caller was released {after}")
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play))
