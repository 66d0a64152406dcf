"""The table of calls: each call is in it from its set-up until it is refused, fails or is released."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from arrowkeel import interface as it
from arrowkeel.drill import RecentNames
from arrowkeel.net.callers import CallerConnection, Offer
from arrowkeel.net.config import Bounds
from arrowkeel.net.exchange_pool import ExchangePool


@dataclass(slots=True)
class CallRecord:
    """One call. All times are monotonic nanoseconds; 0 where the moment has not come."""

    connection: CallerConnection  # on which it was set up
    offer: Offer
    deadline_at_ns: int  # when the caller's patience ends
    timer: asyncio.TimerHandle | None = None  # for the attempt in progress, else for the deadline
    attempts: int = 0  # number of attempts started; an attempt's index is this minus 1
    pool: ExchangePool | None = None  # of the attempt in progress, or where the answered call stands
    sent_at_ns: int = 0  # start of the latest attempt
    abandon_at_ns: int = 0  # when the latest attempt is given up
    established_at_ns: int = 0  # when the call was answered
    is_overdue: bool = False  # its deadline has passed, and the policy is to answer it now

    def outcome(self, ending: it.Ending, over: bool = False) -> it.AttemptEnded:
        """Returns the event for the end of the latest attempt; `over` where the call is over with it."""
        exchange = self.pool.exchange if self.pool is not None else ""
        delay_ns = time.monotonic_ns() - self.sent_at_ns
        return it.AttemptEnded(self.offer.call, self.attempts - 1, exchange, ending, delay_ns, over)

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class CallTable:
    """Open calls (no final answer yet) and standing calls (answered and not over), within the bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.records: dict[str, CallRecord] = {}  # by call identifier
        self.open_count = 0
        self.open_call_bytes = 0  # size of the numbers and descriptions kept for open calls
        self.standing: dict[str, set[str]] = {}  # identifiers of standing calls by exchange
        # Calls that ended recently: a message that crosses the end of its call, or a repeated release, is not
        # taken for one that concerns a call from before the start of this process.
        self.ended = RecentNames(bounds.max_table_entries)
        self.sent = RecentNames(bounds.max_table_entries)  # of these, the calls that were sent to an exchange

    def __len__(self) -> int:
        return len(self.records)

    def __contains__(self, call: str) -> bool:
        return call in self.records

    def get(self, call: str) -> CallRecord | None:
        return self.records.get(call)

    @property
    def standing_count(self) -> int:
        return len(self.records) - self.open_count

    def is_full(self, connection: CallerConnection) -> bool:
        """Whether a new call on this connection must be refused: too many calls or bytes of them."""
        return (
            len(self.records) >= self.bounds.max_calls
            or self.open_call_bytes > self.bounds.max_open_call_bytes
            or connection.open_call_bytes > self.bounds.max_open_call_bytes_per_connection
        )

    def open_calls(self) -> list[str]:
        """Returns the identifiers of the open calls, sorted."""
        return sorted(call for call, record in self.records.items() if not record.established_at_ns)

    def standing_at(self, exchange: str) -> list[str]:
        """Returns the identifiers of the calls that stand at an exchange, sorted."""
        return sorted(self.standing.get(exchange, ()))

    def add(self, record: CallRecord) -> None:
        """Adds an open call."""
        self.records[record.offer.call] = record
        record.connection.open_calls.add(record.offer.call)
        self.open_count += 1
        self.count_open_bytes(record, record.offer.kept_bytes)

    def establish(self, record: CallRecord, pool: ExchangePool, now_ns: int) -> None:
        """Turns an open call into one that stands at that exchange; its contents are dropped."""
        call = record.offer.call
        self.remove_open(record)
        record.cancel_timer()
        record.established_at_ns = now_ns
        record.offer = record.offer.without_contents()
        record.connection.standing_calls.add(call)
        self.standing.setdefault(pool.exchange, set()).add(call)

    def remove_open(self, record: CallRecord) -> None:
        """Stops counting a call as open, as it is answered or over."""
        record.connection.open_calls.discard(record.offer.call)
        self.open_count -= 1
        self.count_open_bytes(record, -record.offer.kept_bytes)

    def count_open_bytes(self, record: CallRecord, change: int) -> None:
        """Changes the bytes of open calls, in total and on the call's connection."""
        self.open_call_bytes += change
        record.connection.open_call_bytes += change

    def end(self, call: str) -> CallRecord | None:
        """Removes a call, whatever its state; returns its record, if there was one."""
        record = self.records.pop(call, None)
        if record is None:
            return None
        self.ended.add(call)
        if record.attempts:
            self.sent.add(call)
        record.cancel_timer()
        if not record.established_at_ns:
            self.remove_open(record)
        elif record.pool is not None:
            self.remove_standing(record, record.pool)
        return record

    def remove_standing(self, record: CallRecord, pool: ExchangePool) -> None:
        """Removes a call that is over from the standing calls, also from those of its exchange."""
        call = record.offer.call
        record.connection.standing_calls.discard(call)
        pool.remove_standing_call(call)
        calls = self.standing.get(pool.exchange, set())
        calls.discard(call)
        if not calls:
            self.standing.pop(pool.exchange, None)
