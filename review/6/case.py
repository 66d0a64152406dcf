"""After a network cut under ordinary traffic, some calls that end soon after it are never released."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import TROUBLE, Site, main

RECORD = Path(sys.argv[1] if len(sys.argv) > 1 else Path(__file__).with_name("record.txt"))
CALLS_PER_S, RUN_S = 60.0, 26.0
CUT_EXCHANGE, CUT_AT_S, CUT_S = 2, 5.0, 3.5
UNSENT_LIMIT_S, SLACK_S = 8.0, 0.05


def build() -> Site:
    """Five exchanges; the network of one of them can be cut."""
    return Site(RECORD, 5, networked=(CUT_EXCHANGE,))


async def case(site: Site) -> list[str]:
    """Callers place calls all the time, as many to each exchange; one exchange is cut off once."""
    ended_s: dict[str, float] = {}
    for exchange in site.exchanges:
        exchange.on_over = lambda call, _: ended_s.setdefault(call, site.record.now_s())
        exchange.hold_for = lambda: site.random.uniform(0.5, 9.0)
    callers = [await site.caller(f"counter {number}") for number in range(4)]
    network = site.networks[CUT_EXCHANGE]
    started_s, number, was_cut = site.record.now_s(), 0, False
    while (now_s := site.record.now_s() - started_s) < RUN_S:
        if TROUBLE and not was_cut and now_s >= CUT_AT_S:
            was_cut = True
            network.cut()
        if network.is_cut and now_s >= CUT_AT_S + CUT_S:
            await network.heal()
        number += 1
        callers[number % len(callers)].set_up(1 + number % 5)
        await asyncio.sleep(site.random.expovariate(CALLS_PER_S))
    broken = []
    answered = released = 0
    now_s = site.record.now_s()
    for caller in callers:
        for call in caller.answers:
            answered += 1
            released += call in caller.releases
            over_s = ended_s.get(call)
            if over_s is None or over_s + UNSENT_LIMIT_S + SLACK_S > now_s:
                continue
            if caller.releases.get(call, now_s) > over_s + UNSENT_LIMIT_S + SLACK_S:
                when = f"at {caller.releases[call]:.2f} s" if call in caller.releases else "not at all so far"
                broken.append(f"{call} ended at {over_s:.2f} s and was released towards its caller {when}")
    site.record(f"{number} calls, {answered} answered, {released} released")
    return broken


main(RECORD, build, case)
