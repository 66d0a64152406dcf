"""Case 2: the machine of a quiet exchange is lost and answers again before its process runs again."""

from __future__ import annotations

import asyncio
import sys
import time

from standins import SLACK_S, Case, CaseCannotRunError, run_case

QUIET, BUSY = 2, [1, 3, 4]  # cells
STANDING_CALLS = 4
LOST_S = 1.5  # the machine says nothing for this long ...
DOWN_S = 5.0  # ... and its processor runs again, cold, this long after the loss
NOTICE_S = 4.2  # the list tells of the new start this long after it
RELEASE_LIMIT_S = 8.0 + SLACK_S  # from the end of a call of which no release could be sent


async def play(case: Case) -> list[str]:
    await case.start()
    case.run_in_background(case.callers.place_steadily(BUSY, 8.0, 2.0))
    await asyncio.sleep(2.0)
    calls = [await case.callers.place_standing(QUIET) for _ in range(STANDING_CALLS)]
    await asyncio.sleep(0.2)
    exchange = case.exchanges[QUIET]
    if any(not exchange.holds(call) for call in calls):
        raise CaseCannotRunError("a call does not stand at its exchange")
    ended_at_s = time.monotonic()
    if case.has_trouble:
        exchange.lose_machine()
        await asyncio.sleep(LOST_S)
        exchange.machine_returns()
        await asyncio.sleep(ended_at_s + DOWN_S - time.monotonic())
        await exchange.process_returns()
        started_at_ms = int(time.time() * 1000)
        await asyncio.sleep(NOTICE_S)
        case.change_log.publish(exchange.entry(started_at_ms=started_at_ms))
    else:
        for call in calls:
            exchange.end_call(call)
        await asyncio.sleep(DOWN_S + NOTICE_S)
    await asyncio.sleep(2.0)
    breaks = []
    for call in calls:
        seen = case.callers.calls[call]
        after_s = seen.released_at_s - ended_at_s
        if not seen.released_at_s or after_s > RELEASE_LIMIT_S:
            outcome = f"released {after_s:.2f} s later" if seen.released_at_s else "not released"
            breaks.append(
                f"call {call} ended with its machine; its caller was {outcome}, limit {RELEASE_LIMIT_S} s"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play))
