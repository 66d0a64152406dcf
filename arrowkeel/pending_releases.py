"""Decides which releases written to callers may be unread, and when and where each is sent again.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

A release that was written has not arrived: a connection may stay open and carry nothing, and TCP's
acknowledgement may come from a relay on the way.

- It is proved that a caller has read a release by its receipt for that call, by its receipt for a release
  that was written later to the same connection, as TCP keeps the order, and by its own release of the call.
- It is suggested by data received long enough after the release was written. The end of a connection in order
  suggests nothing: it may come from a relay, or from a caller that has given up a quiet connection.

A release that is not proved to be read is kept until the limit for it has passed, counted from the end of the
call. A reset repeats all of them: what suggests that the connection worked does not show that the last data
was read before it ended. Otherwise those are repeated that nothing suggests to be read: at once when their
connection is closed in order, by either side; while it stays open, once a caller without further calls would
have closed it, and in any case before the limit. Each goes to a connection that has not carried it yet, or
waits for one.

A caller ignores the release of a call that is over, so a repetition does no harm, except before the call's
answer: it would then count as the answer. So no release is repeated while an unread answer may still arrive,
before the caller has stopped waiting for it.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MS = 1_000_000
# Data received sooner than this after a release was written may have been sent before the release arrived.
EVIDENCE_DELAY_NS = 250 * MS
# A call must be released towards its caller within this time of its end (protocol page, rules on sockets).
RELEASE_LIMIT_NS = 8000 * MS
# When a release is repeated that nothing suggests to be read, counted from the end of the call. At the early
# times only if the caller would have closed the connection by then; at the last ones in any case.
EARLY_REPEAT_TIMES_NS = (4300 * MS, 5600 * MS)
LAST_REPEAT_TIMES_NS = (7000 * MS, 7600 * MS)
# The same for a release that is first written too late for all of these times, counted from the writing.
LATE_REPEAT_DELAY_NS = 4300 * MS
# A release is kept for at least this long after it was written, as its connection may end at that moment.
MIN_KEEP_NS = 1000 * MS
MAX_WRITES = 16  # of one release, those after the end of a connection included
# Callers close a connection that has had no call on it for 4 s (protocol page), give or take their timers.
MAX_IDLE_NS = 4250 * MS
# Memory that one pending release takes: its text, record and entries in the tables.
PENDING_RELEASE_BYTES = 1024
COMPACTION_SLACK = 64  # obsolete checks that are kept in any case


class ConnectionEnd(Enum):
    """How a caller's connection ended."""

    RESET = "reset"  # by either side; what was on its way is lost
    CLOSED_BY_CALLER = "closed_by_caller"
    CLOSED_HERE = "closed_here"  # after all that was written had been sent


class RepeatReason(Enum):
    """Why a release is sent again; label of `releases_repeated`."""

    RESET = "reset"
    CLOSED_BY_CALLER = "closed_by_caller"
    CLOSED_HERE = "closed_here"
    SILENT = "silent"  # the connection is open, and nothing has been received on it since


class SettledReason(Enum):
    """Why a release is not kept any longer; label of `releases_settled`."""

    RECEIPT = "receipt"
    RELEASED_BY_CALLER = "released_by_caller"
    LATER_DATA = "later_data"  # data received later suggests that it was read
    LIMIT_PASSED = "limit_passed"  # nothing suggests that it was read on any connection
    TABLE_FULL = "table_full"
    SET_UP_AGAIN = "set_up_again"  # its identifier belongs to another call now


REPEAT_REASONS = {
    ConnectionEnd.RESET: RepeatReason.RESET,
    ConnectionEnd.CLOSED_BY_CALLER: RepeatReason.CLOSED_BY_CALLER,
    ConnectionEnd.CLOSED_HERE: RepeatReason.CLOSED_HERE,
}


@dataclass(slots=True, eq=False)
class Carrier:
    """One caller's connection, as far as it concerns the releases written to it."""

    number: int  # of the connection, in the log
    last_received_at_ns: int  # or when it was opened
    last_written_at_ns: int = 0  # of a release
    open_calls: set[str] = field(default_factory=set)  # set up on it, without their final answer yet
    standing_calls: set[str] = field(default_factory=set)  # set up on it, answered and not over
    # By call; those of which this is the latest carrier, the one that was written first comes first.
    releases: dict[str, PendingRelease] = field(default_factory=dict)

    @property
    def has_calls(self) -> bool:
        """Whether calls that were set up on the connection are open or stand."""
        return bool(self.open_calls or self.standing_calls)

    def is_close_overdue(self, now_ns: int) -> bool:
        """Whether a caller that has read that its calls are over would have closed the connection by now."""
        last_used_at_ns = max(self.last_received_at_ns, self.last_written_at_ns)
        return not self.has_calls and now_ns - last_used_at_ns > MAX_IDLE_NS


@dataclass(slots=True, eq=False)
class PendingRelease:
    """The release of a call that is over, which its caller is not proved to have read."""

    call: str
    cause: int
    ended_at_ns: int  # the earliest moment at which the call may have ended
    # Until then the caller may wait for the answer of the call, which may be unread as well; else 0.
    answer_unread_until_ns: int = 0
    carrier: Carrier | None = None  # the connection that it was last written to, unless that has ended
    written_at_ns: int = 0  # last
    tried: list[int] = field(default_factory=list)  # numbers of the connections that it was written to
    repeat_reason: RepeatReason = RepeatReason.SILENT  # of the next repetition
    next_check: int = -1  # the number of the check that counts; earlier ones are obsolete

    @property
    def is_suggested_read(self) -> bool:
        """Whether data received on its connection suggests that it was read."""
        carrier = self.carrier
        return carrier is not None and carrier.last_received_at_ns >= self.written_at_ns + EVIDENCE_DELAY_NS

    @property
    def late_repeat_ns(self) -> int:
        """When it is repeated that was written late; 0 if it has been repeated."""
        return self.written_at_ns + LATE_REPEAT_DELAY_NS if len(self.tried) == 1 else 0

    @property
    def keep_until_ns(self) -> int:
        """Until when it is kept after it was written."""
        return max(self.ended_at_ns + RELEASE_LIMIT_NS, self.written_at_ns + MIN_KEEP_NS, self.late_repeat_ns)

    def next_check_ns(self, now_ns: int) -> int:
        """When it is next decided whether it is to be repeated; until then it may prove to be read."""
        earliest_ns = max(now_ns + 1, self.written_at_ns + EVIDENCE_DELAY_NS)
        times_ns = [self.ended_at_ns + after_ns for after_ns in EARLY_REPEAT_TIMES_NS + LAST_REPEAT_TIMES_NS]
        check_at_ns = next((time_ns for time_ns in times_ns if time_ns >= earliest_ns), self.keep_until_ns)
        return max(check_at_ns, self.answer_unread_until_ns)

    def may_go_to(self, carrier: Carrier) -> bool:
        """Whether it may be written to this connection.

        One that was repeated in vain on a silent connection goes on only to one that has brought data since:
        where all are silent, callers have probably stopped calling.
        """
        if carrier.number in self.tried:
            return False
        is_first_repeat = len(self.tried) < 2 or self.repeat_reason is not RepeatReason.SILENT
        return is_first_repeat or carrier.last_received_at_ns > self.written_at_ns

    def is_due(self, now_ns: int) -> bool:
        """Whether it is to be repeated at a check, as nothing suggests that it was read."""
        if self.carrier is None:
            return True
        is_last_time = now_ns >= self.ended_at_ns + LAST_REPEAT_TIMES_NS[0]
        return is_last_time or self.carrier.is_close_overdue(now_ns)


@dataclass(frozen=True, slots=True)
class SettledRelease:
    """A release that is not kept any longer."""

    release: PendingRelease
    reason: SettledReason


class PendingReleases:
    """The releases that callers may not have read, within a limit of bytes in total and per connection.

    Beyond a limit the one that was written first goes first: it has had the most time to be read. Releases
    that wait for a connection go last. Methods that return releases expect each of them to be written to a
    connection that it has not been written to (`record_written`), or to wait (`record_waiting`).
    """

    def __init__(self, max_bytes: int, max_bytes_per_connection: int) -> None:
        self.written: dict[str, PendingRelease] = {}  # by call, the one that was written first comes first
        self.waiting: dict[str, PendingRelease] = {}  # by call, for the next connection
        self.settled: list[SettledRelease] = []  # until `take_settled`
        self.checks: list[tuple[int, int, PendingRelease]] = []  # a heap by time and number of the check
        self.check_numbers = itertools.count()
        self.set_limits(max_bytes, max_bytes_per_connection)

    def set_limits(self, max_bytes: int, max_bytes_per_connection: int) -> None:
        """Sets the limits; they hold from the next release on."""
        self.max_releases = max(1, max_bytes // PENDING_RELEASE_BYTES)
        self.max_per_connection = max(1, max_bytes_per_connection // PENDING_RELEASE_BYTES)

    def __len__(self) -> int:
        return len(self.written) + len(self.waiting)

    def find(self, call: str) -> PendingRelease | None:
        """Returns the pending release of a call, if there is one."""
        return self.written.get(call) or self.waiting.get(call)

    # Writing

    def record_written(self, release: PendingRelease, carrier: Carrier, now_ns: int) -> None:
        """Records that a release was written to a connection."""
        self.detach(release)
        release.carrier, release.written_at_ns = carrier, now_ns
        release.tried.append(carrier.number)
        release.repeat_reason = RepeatReason.SILENT
        carrier.last_written_at_ns = now_ns
        carrier.releases[release.call] = release
        self.written[release.call] = release
        self.schedule(release, release.next_check_ns(now_ns))
        if len(carrier.releases) > self.max_per_connection:
            self.settle(next(iter(carrier.releases.values())), SettledReason.TABLE_FULL)
        self.limit_total()

    def record_waiting(self, release: PendingRelease, now_ns: int) -> None:
        """Records that no connection can carry a release now; it keeps the one that it was written to."""
        self.written.pop(release.call, None)
        self.waiting[release.call] = release
        self.schedule(release, now_ns + RELEASE_LIMIT_NS)
        self.limit_total()

    def limit_total(self) -> None:
        """Drops the first releases while there are too many."""
        while len(self) > self.max_releases:
            table = self.written or self.waiting
            self.settle(next(iter(table.values())), SettledReason.TABLE_FULL)

    # Evidence

    def record_receipt(self, carrier: Carrier, call: str) -> None:
        """Settles a release that its caller has read, and all that were written before to the connection."""
        release = self.find(call)
        if release is None or carrier.number not in release.tried:
            return
        if release.carrier is carrier:
            earlier = itertools.takewhile(lambda each: each is not release, carrier.releases.values())
            self.settle_all(list(earlier), SettledReason.RECEIPT)
        self.settle(release, SettledReason.RECEIPT)

    def forget(self, call: str, reason: SettledReason) -> None:
        """Settles the release of a call, if it is pending."""
        if release := self.find(call):
            self.settle(release, reason)

    # Repetition

    def connection_ended(self, carrier: Carrier, end: ConnectionEnd, now_ns: int) -> list[PendingRelease]:
        """Returns the releases to be sent again as their connection has ended."""
        to_repeat = []
        for release in list(carrier.releases.values()):
            if end is not ConnectionEnd.RESET and release.is_suggested_read:
                self.settle(release, SettledReason.LATER_DATA)
            elif len(release.tried) >= MAX_WRITES:
                self.settle(release, SettledReason.LIMIT_PASSED)
            else:
                release.carrier, release.repeat_reason = None, REPEAT_REASONS[end]
                if end is not ConnectionEnd.CLOSED_HERE:
                    release.answer_unread_until_ns = 0  # no answer can arrive any more
                to_repeat.append(release)
        carrier.releases.clear()
        return [release for release in to_repeat if not self.postpone(release, now_ns)]

    def postpone(self, release: PendingRelease, now_ns: int) -> bool:
        """Postpones a repetition if it could overtake the answer of its call; returns whether it could."""
        if now_ns >= release.answer_unread_until_ns:
            return False
        self.waiting.pop(release.call, None)
        self.written[release.call] = release
        self.schedule(release, release.answer_unread_until_ns)
        return True

    def due_repetitions(self, now_ns: int) -> list[PendingRelease]:
        """Returns the releases to be sent again now; call it periodically."""
        to_repeat = []
        while self.checks and self.checks[0][0] <= now_ns:
            _, number, release = heapq.heappop(self.checks)
            if release.next_check == number and self.is_repetition_due(release, now_ns):
                to_repeat.append(release)
        return to_repeat

    def waiting_repetitions(self, now_ns: int) -> list[PendingRelease]:
        """Returns the releases that wait for a connection, as a new one can carry them."""
        return [each for each in list(self.waiting.values()) if not self.settle_if_read(each, now_ns)]

    def is_repetition_due(self, release: PendingRelease, now_ns: int) -> bool:
        """Whether a release is to be sent again now; else settles it or has it checked later."""
        if self.settle_if_read(release, now_ns):
            return False
        if release.call in self.waiting:
            self.schedule(release, now_ns + RELEASE_LIMIT_NS)
            return False
        is_out_of_time = now_ns >= release.keep_until_ns and len(release.tried) > 1
        if is_out_of_time or len(release.tried) >= MAX_WRITES:
            self.settle(release, SettledReason.LIMIT_PASSED)
            return False
        if not release.is_due(now_ns):
            self.schedule(release, release.next_check_ns(now_ns))
            return False
        return True

    def settle_if_read(self, release: PendingRelease, now_ns: int) -> bool:
        """Returns whether data suggests that a release was read; settles it once it is not kept any more."""
        if not release.is_suggested_read:
            return False
        self.waiting.pop(release.call, None)
        self.written[release.call] = release
        if now_ns >= release.keep_until_ns:
            self.settle(release, SettledReason.LATER_DATA)
        else:
            self.schedule(release, release.keep_until_ns)
        return True

    # Tables

    def schedule(self, release: PendingRelease, at_ns: int) -> None:
        """Has a release checked at this moment, and at no other one."""
        release.next_check = next(self.check_numbers)
        heapq.heappush(self.checks, (at_ns, release.next_check, release))
        if len(self.checks) > 2 * len(self) + COMPACTION_SLACK:
            self.checks = [check for check in self.checks if check[2].next_check == check[1]]
            heapq.heapify(self.checks)

    def detach(self, release: PendingRelease) -> None:
        """Removes a release from all tables."""
        self.written.pop(release.call, None)
        self.waiting.pop(release.call, None)
        if release.carrier is not None:
            release.carrier.releases.pop(release.call, None)

    def settle(self, release: PendingRelease, reason: SettledReason) -> None:
        """Stops keeping a release."""
        self.detach(release)
        release.next_check = -1
        self.settled.append(SettledRelease(release, reason))

    def settle_all(self, releases: Iterable[PendingRelease], reason: SettledReason) -> None:
        """Stops keeping these releases."""
        for release in releases:
            self.settle(release, reason)

    def take_settled(self) -> list[SettledRelease]:
        """Returns the releases that were settled since the last call."""
        settled, self.settled = self.settled, []
        return settled
