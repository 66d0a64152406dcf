"""A call whose class may not be repeated is set up again after its answer broke off, and runs twice."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import ANSWER, DESCRIPTION, SETTINGS, TROUBLE, Exchange, Peer, Site, encode, main

RECORD = Path(sys.argv[1] if len(sys.argv) > 1 else Path(__file__).with_name("record.txt"))
CALLS = 60
EVERY = 10  # one answer in so many breaks off


def build() -> Site:
    """A deployment whose class `colour-match` is `non_idempotent`."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][1]["repeat"] = "non_idempotent"
    return Site(RECORD, 4, settings)


async def case(site: Site) -> list[str]:
    """Places calls of that class, one after the other; some answers break off half way.

    Every set-up that an exchange takes is run and answered, so no outcome proves that one never ran: each
    further set-up of a call breaks the rule, and so does `refused` to the caller of a call that ran.
    """
    loop = asyncio.get_running_loop()
    runs: dict[str, list[str]] = {}
    arrivals: dict[str, list[str]] = {}
    broken_off: set[str] = set()

    def break_off(exchange: Exchange, peer: Peer, call: str) -> None:
        """Runs the set-up, writes half of its answer and closes the connection."""
        if exchange.set_ups.get(call) is not peer or peer.transport is None:
            return
        exchange.run(call, peer)
        answer = encode(ANSWER, call, {DESCRIPTION: exchange.description_for(call)})
        peer.transport.write(answer[: len(answer) // 2])
        peer.transport.close()
        site.record(f"{exchange.name} writes half of the answer of {call} and closes the connection")

    def take(exchange: Exchange, peer: Peer, call: str) -> bool:
        arrivals.setdefault(call, []).append(exchange.name)
        first = len(arrivals[call]) == 1
        if TROUBLE and first and len(arrivals) % EVERY == 0:
            broken_off.add(call)
            loop.call_later(exchange.answer_delay_s, break_off, exchange, peer, call)
            return True
        return False

    def count_run(exchange: Exchange, call: str) -> None:
        runs.setdefault(call, []).append(exchange.name)
        site.record(f"{exchange.name} runs {call}, run {len(runs[call])} of this call")

    for exchange in site.exchanges:
        exchange.hold_s = 3.0
        exchange.on_set_up = lambda peer, call, _, at=exchange: take(at, peer, call)
        exchange.on_run = lambda call, at=exchange: count_run(at, call)
    caller = await site.caller("counter")
    for number in range(CALLS):
        caller.set_up(1 + number % len(site.exchanges), class_name="colour-match")
        await asyncio.sleep(0.15)
    await asyncio.sleep(4)
    site.record(f"{CALLS} calls, {len(broken_off)} answers broken off")
    broken = [
        f"{call} was set up {len(where)} times ({', '.join(where)}) and ran {len(runs.get(call, []))} times"
        for call, where in arrivals.items()
        if len(where) > 1
    ]
    broken += [
        f"{call} ran, and its caller was told `refused` (cause {cause})"
        for call, (_, cause) in caller.refusals.items()
        if call in runs and cause in (34, 42, 102)
    ]
    return broken


main(RECORD, build, case)
