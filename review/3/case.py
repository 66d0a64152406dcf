"""Case 3: a release is lost with its connection, and with the next one, which is reset while new."""

from __future__ import annotations

import asyncio
import sys
import time

from standins import SLACK_S, Case, CaseCannotRunError, PathConnection, run_case

CELLS, TARGET = [1, 2, 3, 4], 2
STANDING_CALLS = 4
RESET_AFTER_S = 0.002  # the releases are still on their way then
RELEASE_LIMIT_S = 8.0 + SLACK_S  # the later of the two bounds; the other is 1 s


async def play(case: Case) -> list[str]:
    await case.start(over_path=(TARGET,))
    case.run_in_background(case.callers.place_steadily(CELLS, 12.0, 2.0))
    await asyncio.sleep(1.5)
    calls = [await case.callers.place_standing(TARGET) for _ in range(STANDING_CALLS)]
    await asyncio.sleep(0.5)
    exchange = case.exchanges[TARGET]
    path = exchange.path
    if path is None or any(not exchange.holds(call) for call in calls):
        raise CaseCannotRunError("a call does not stand at its exchange")
    ended_at_s = time.monotonic()
    carrying = exchange.calls[calls[0]].link
    if any(exchange.calls[call].link is not carrying for call in calls):
        raise CaseCannotRunError("the calls were set up on different connections")
    for call in calls:
        exchange.end_call(call)
    resets = 0
    if case.has_trouble:

        def reset_while_new(connection: PathConnection) -> None:
            nonlocal resets
            path.on_connected = None
            resets += 1
            asyncio.get_running_loop().call_later(RESET_AFTER_S, connection.reset)
            case.record.write("network: the next connection to exchange 2 is reset while new")

        path.on_connected = reset_while_new
        await asyncio.sleep(RESET_AFTER_S)
        ports = {carrying.transport.get_extra_info("peername")[1]} if carrying.transport else set()
        for connection in path.connections:
            far = connection.far.transport
            if far is not None and far.get_extra_info("sockname")[1] in ports:
                connection.reset()
                resets += 1
                case.record.write("network: the connection that carries the releases is reset")
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
