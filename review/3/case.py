"""Case 3: the process is replaced while calls stand whose callers have closed their connection."""

from __future__ import annotations

import asyncio
import signal
import sys
import time

from standins import SLACK_S, Case, CaseCannotRunError, run_case

CELLS = [1, 2, 3, 4]
CALLS_PER_CELL = 2
IDLE_CLOSE_S = 4.0  # callers close a connection after 4 s with no call on it
CALLS_PER_S, HOLD_S = 12.0, 1.0
RELEASE_LIMIT_S = 8.0 + SLACK_S  # the later of the two bounds; the other is 1 s
KILL_AFTER_S = 5.7  # the longest deadline (at most 5 s) and 0.7 s


async def play(case: Case) -> list[str]:
    await case.start(inherits=True)
    calls = [await case.callers.place_standing(cell) for cell in CELLS for _ in range(CALLS_PER_CELL)]
    await asyncio.sleep(IDLE_CLOSE_S)
    case.callers.close()
    await asyncio.sleep(0.5)
    old = case.controller.process
    assert old is not None
    if case.has_trouble:
        await case.controller.start()
        case.controller.signal(signal.SIGTERM, old)
    signalled_at_s = time.monotonic()
    await asyncio.sleep(0.1)
    case.run_in_background(case.callers.place_steadily(CELLS, CALLS_PER_S, HOLD_S))
    await asyncio.sleep(0.15)
    ended_at_s: dict[str, float] = {}
    for call in calls:
        ended_at_s[call] = time.monotonic()
        case.end_call(call)
        await asyncio.sleep(0.03)
    if case.has_trouble:
        if old.returncode is not None:
            raise CaseCannotRunError("the old process ended before the calls did")
        try:
            await asyncio.wait_for(old.wait(), signalled_at_s + KILL_AFTER_S - time.monotonic())
        except TimeoutError:
            case.controller.signal(signal.SIGKILL, old)
        case.record.write(
            f"call controller: process 1 ended {time.monotonic() - signalled_at_s:.2f} s after SIGTERM"
        )
    await asyncio.sleep(RELEASE_LIMIT_S + 1.0)
    breaks = []
    for call in calls:
        seen = case.callers.calls[call]
        if not seen.released_at_s or seen.released_at_s - ended_at_s[call] > RELEASE_LIMIT_S:
            after = f"{seen.released_at_s - ended_at_s[call]:.2f} s later" if seen.released_at_s else "never"
            breaks.append(
                f"the exchange released call {call} while process 1 ran; its caller was released {after}"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play))
