"""Case 1: one bad client sends releases of unknown ids at full speed while usual callers place calls."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import SLACK_S, Case, CaseCannotRunError, run_case

CELLS = [1, 2, 3, 4]
CALLS_PER_S, HOLD_S = 20.0, 2.0
PATIENCE_S = 3.0  # the usual callers' parameter 66
LOST_AFTER_S = (
    0.5 + SLACK_S
)  # "Up to half a second after its time it only earns nothing; later ... it is lost."
BAD_CLIENT_S = 6.0
MAX_LAG_S = 0.25  # if the stand-ins themselves were held up for longer, the run says nothing


async def watch_lag(lags_s: list[float]) -> None:
    """Notes how late the stand-ins' own timers are."""
    while True:
        before_s = time.monotonic()
        await asyncio.sleep(0.02)
        lags_s.append(time.monotonic() - before_s - 0.02)


async def play(case: Case) -> list[str]:
    lags_s: list[float] = [0.0]
    await case.start()
    case.run_in_background(watch_lag(lags_s))
    placing = case.run_in_background(
        case.callers.place_steadily(CELLS, CALLS_PER_S, HOLD_S, int(PATIENCE_S * 1000))
    )
    await asyncio.sleep(3.0)
    if case.has_trouble:
        case.record.write("bad client: starts")
        client = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).parent / "bad_client.py"),
            str(case.controller.port),
            str(BAD_CLIENT_S),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await client.communicate()
        case.record.write(f"bad client: {output.decode().strip()}")
    else:
        await asyncio.sleep(BAD_CLIENT_S)
    await asyncio.sleep(2.0)
    placing.cancel()
    await asyncio.sleep(PATIENCE_S + LOST_AFTER_S + 0.1)
    case.record.write(f"stand-ins: their longest lag was {max(lags_s):.3f} s")
    if max(lags_s) > MAX_LAG_S:
        raise CaseCannotRunError(f"the stand-ins were held up for {max(lags_s):.2f} s")
    breaks = []
    for call, seen in case.callers.calls.items():
        ended_at_s = seen.answered_at_s or seen.released_at_s
        if not ended_at_s:
            breaks.append(
                f"call {call} got no final answer within {PATIENCE_S + LOST_AFTER_S:.2f} s or later"
            )
        elif ended_at_s - seen.sent_at_s > PATIENCE_S + LOST_AFTER_S:
            after_s = ended_at_s - seen.sent_at_s
            breaks.append(f"call {call} got its final answer after {after_s:.2f} s, patience {PATIENCE_S} s")
    case.record.write(f"callers: {len(case.callers.calls)} calls, {len(breaks)} of them lost")
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play))
