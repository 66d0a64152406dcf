"""The table of calls: each from its set-up until it is refused, fails or is over."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from arrowkeel.drill import RecentNames
from arrowkeel.net.callers import CallerConnection, Offer
from arrowkeel.net.config import Bounds
from arrowkeel.net.exchange_pool import ExchangePool


@dataclass(slots=True)
class CallRecord:
    """One call. All times are monotonic nanoseconds; 0 where the moment has not come."""

    connection: CallerConnection  # that its set-up came on
    offer: Offer
    deadline_ns: int
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    pool: ExchangePool | None = None  # of the attempt that is out, or where the call stands
    sent_ns: int = 0
    abandon_at_ns: int = 0
    established_ns: int = 0

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class CallTable:
    """Open calls (no final answer yet) and standing ones, within the configured bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.records: dict[str, CallRecord] = {}
        self.open_count = 0
        self.description_bytes = 0  # held for open calls
        self.standing: dict[str, set[str]] = {}  # by exchange
        # what crosses a call's end, or comes twice, is of none
        self.ended = RecentNames(bounds.max_table_entries)

    def __len__(self) -> int:
        return len(self.records)

    def __contains__(self, call: str) -> bool:
        return call in self.records

    def get(self, call: str) -> CallRecord | None:
        return self.records.get(call)

    @property
    def standing_count(self) -> int:
        return len(self.records) - self.open_count

    @property
    def is_full(self) -> bool:
        return (
            len(self.records) >= self.bounds.max_calls
            or self.description_bytes > self.bounds.max_description_bytes
        )

    def open_calls(self) -> list[str]:
        return sorted(call for call, record in self.records.items() if not record.established_ns)

    def standing_at(self, exchange: str) -> list[str]:
        return sorted(self.standing.get(exchange, ()))

    def add(self, record: CallRecord) -> None:
        self.records[record.offer.call] = record
        record.connection.open_calls.add(record.offer.call)
        self.open_count += 1
        self.description_bytes += len(record.offer.description)

    def establish(self, record: CallRecord, pool: ExchangePool, now_ns: int) -> None:
        """The call has its answer and stands at that exchange; its description is not needed any more."""
        call = record.offer.call
        self.leave_open(record)
        record.cancel_timer()
        record.established_ns = now_ns
        record.offer = replace(record.offer, description=b"")
        record.connection.standing_calls.add(call)
        self.standing.setdefault(pool.exchange, set()).add(call)

    def leave_open(self, record: CallRecord) -> None:
        record.connection.open_calls.discard(record.offer.call)
        self.open_count -= 1
        self.description_bytes -= len(record.offer.description)

    def end(self, call: str) -> CallRecord | None:
        """Forget a call, whatever its state; its record, if there was one."""
        record = self.records.pop(call, None)
        if record is None:
            return None
        self.ended.add(call)
        record.cancel_timer()
        if not record.established_ns:
            self.leave_open(record)
        elif record.pool is not None:
            self.leave_standing(record, record.pool)
        return record

    def leave_standing(self, record: CallRecord, pool: ExchangePool) -> None:
        call = record.offer.call
        record.connection.standing_calls.discard(call)
        pool.liveness.remove_call(call)
        calls = self.standing.get(pool.exchange, set())
        calls.discard(call)
        if not calls:
            self.standing.pop(pool.exchange, None)
