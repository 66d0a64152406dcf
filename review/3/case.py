"""Case 3: an exchange begins to drain while discovery is down for 8 s."""

from __future__ import annotations

import asyncio
import sys
import time

from standins import SLACK_S, Case, CaseCannotRunError, run_case

CELLS, LEAVING = [1, 2, 3, 4], 2
CALLS_PER_S, HOLD_S = 60.0, 4.0
DOWN_S = 8.0  # "discovery is down for 8 s, into the start of a release"
TOLD_S, GRACE_S = 7.0, 0.5  # "told 7 s later at the latest, whether it arrived or not"; 500 ms
STOPS_S = 9.0  # the leaving exchange stops this long after it began to drain (the site: 6 to 9.8 s)


async def play(case: Case) -> list[str]:
    await case.start()
    case.run_in_background(case.callers.place_steadily(CELLS, CALLS_PER_S, HOLD_S))
    await asyncio.sleep(4.0)
    exchange = case.exchanges[LEAVING]
    if not exchange.set_up_times:
        raise CaseCannotRunError("no set-up reached the exchange that is to leave")
    if case.has_trouble:
        case.change_log.go_down()
    down_at_s = time.monotonic()
    await asyncio.sleep(0.1)
    case.change_log.publish(exchange.entry("draining"))
    drains_at_s = time.monotonic()
    await asyncio.sleep(down_at_s + DOWN_S - time.monotonic())
    if case.has_trouble:
        await case.change_log.start()
        case.record.write("change log: up again")
    await asyncio.sleep(drains_at_s + STOPS_S - time.monotonic())
    cut = [call for call in exchange.calls if exchange.holds(call)]
    exchange.stop()
    await asyncio.sleep(1.0)
    limit_s = drains_at_s + TOLD_S + GRACE_S + SLACK_S
    breaks = []
    for at_s, call in exchange.set_up_times:
        if at_s > limit_s:
            end = "cut when the exchange stopped" if call in cut else "not cut"
            breaks.append(
                f"set-up {call} reached the draining exchange {at_s - drains_at_s:.2f} s after the event, "
                f"limit {limit_s - drains_at_s:.2f} s; the call was {end}"
            )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play))
