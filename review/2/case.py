"""Case 2: a bad client takes back requests that it sent under the ids of open requests."""

from __future__ import annotations

import asyncio
import sys

from standins import (
    CAUSE,
    CLASS,
    DESCRIPTION,
    HOST,
    NORMAL_END,
    NUMBER,
    PATIENCE,
    RELEASE,
    ROUTING,
    SET_UP,
    SLACK_S,
    Case,
    CaseCannotRunError,
    Link,
    Message,
    encode,
    run_case,
)

CELLS = [1, 2, 3, 4]
CALLS = 12
SET_UP_TIME_S = 0.6  # a processor's wait; set-ups are turned away only once it passes 2.2 s
PATIENCE_S = 3.0
LOST_AFTER_S = 0.5 + SLACK_S


async def send_and_take_back(case: Case, calls: list[str]) -> None:
    """Sends in one write a request under each of these ids, and takes it back."""

    def note(_link: Link, message: Message) -> None:
        case.record.write(
            f"bad client: received type {message.kind}, call {message.call}, cause {message.cause}"
        )

    link = Link(
        note, lambda _link, is_up: case.record.write(f"bad client: connection {'up' if is_up else 'down'}")
    )
    await asyncio.get_running_loop().create_connection(lambda: link, HOST, case.controller.port)
    data = b""
    for call in calls:
        cell = case.callers.calls[call].cell
        data += encode(
            SET_UP,
            call,
            {
                CLASS: "recipe-lookup",
                PATIENCE: "3000",
                NUMBER: case.random.randbytes(8).hex(),
                ROUTING: f"dest:{cell};width:1;via:-1",
                DESCRIPTION: f"another request than {call}",
            },
        )
        data += encode(RELEASE, call, {CAUSE: bytes((NORMAL_END,))})
    assert link.transport is not None
    link.transport.write(data)
    case.record.write(f"bad client: sent and took back {len(calls)} requests under ids of open requests")


async def play(case: Case) -> list[str]:
    await case.start()
    for exchange in case.exchanges.values():
        exchange.set_up_time_s = SET_UP_TIME_S
    calls = [
        await case.callers.place(CELLS[turn % len(CELLS)], int(PATIENCE_S * 1000)) for turn in range(CALLS)
    ]
    await asyncio.sleep(0.2)
    arrived = {call for exchange in case.exchanges.values() for _, call in exchange.set_up_times}
    if any(call not in arrived for call in calls):
        raise CaseCannotRunError("a set-up has not reached its exchange")
    if case.has_trouble:
        await send_and_take_back(case, calls)
    await asyncio.sleep(PATIENCE_S + LOST_AFTER_S + 0.5)
    breaks = []
    for call in calls:
        seen = case.callers.calls[call]
        ended_at_s = seen.answered_at_s or seen.released_at_s
        if not ended_at_s or ended_at_s - seen.sent_at_s > PATIENCE_S + LOST_AFTER_S:
            breaks.append(f"call {call}, which its caller did not give up, got no final answer")
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play))
