"""Decides whether an exchange has learned that this side has closed a connection.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

The end of a connection travels like data: while the network is cut it is lost, and TCP sends it again at
intervals that double. So an exchange may learn of it as long after the cut as the cut has lasted. Until then
it takes the connection for open and sends releases there, which nobody receives.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
# Covers the first retransmission of TCP, which does not double anything yet, and a round trip.
RETRANSMISSION_MARGIN_NS = 500 * MS
MAX_NOTICES = 16  # to one exchange; further ones widen the latest one


@dataclass(slots=True)
class CloseNotice:
    """The notice to the exchange that one connection is closed."""

    # The oldest output on the connection that may not have arrived: the notice waits for it.
    unacknowledged_since_ns: int
    arrives_by_ns: int | None = None  # None while nothing shows that the exchange can be reached

    def record_reached(self, now_ns: int) -> None:
        """Fixes the latest arrival, counted from when the exchange was first reached again."""
        if self.arrives_by_ns is None:
            longest_interval_ns = now_ns - self.unacknowledged_since_ns
            self.arrives_by_ns = now_ns + longest_interval_ns + RETRANSMISSION_MARGIN_NS

    def has_arrived(self, now_ns: int) -> bool:
        """Whether the exchange must have learned of the end by now."""
        return self.arrives_by_ns is not None and now_ns >= self.arrives_by_ns


class CloseNotices:
    """The notices that may still be on their way to one exchange."""

    def __init__(self) -> None:
        self.notices: list[CloseNotice] = []
        self.last_arrival_ns = 0  # by when the latest notice has arrived that is no longer outstanding

    def add(self, unacknowledged_since_ns: int) -> None:
        """Records that this side has closed a connection."""
        notice = CloseNotice(unacknowledged_since_ns)
        if len(self.notices) >= MAX_NOTICES:
            latest = self.notices.pop()
            notice.unacknowledged_since_ns = min(
                latest.unacknowledged_since_ns, notice.unacknowledged_since_ns
            )
        self.notices.append(notice)

    def record_unreachable(self, now_ns: int) -> None:
        """Records that the exchange cannot be reached: a notice on its way may be lost and sent again."""
        for notice in self.notices:
            if not notice.has_arrived(now_ns):
                notice.arrives_by_ns = None

    def record_reached(self, now_ns: int) -> None:
        """Records that a message of the exchange was received."""
        for notice in self.notices:
            notice.record_reached(now_ns)

    def are_outstanding(self, now_ns: int) -> bool:
        """Whether the exchange may still take a closed connection for open."""
        for notice in self.notices:
            if notice.arrives_by_ns is not None and notice.has_arrived(now_ns):
                self.last_arrival_ns = max(self.last_arrival_ns, notice.arrives_by_ns)
        self.notices = [notice for notice in self.notices if not notice.has_arrived(now_ns)]
        return bool(self.notices)
