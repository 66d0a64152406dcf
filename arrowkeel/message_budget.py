"""Limits the messages without effect that one connection from callers may send.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

Tests, progress, receipts and releases of unknown calls cost a caller nothing, so nothing else limits their
number. A caller may send them at a steady rate, several for each of its calls, and in a burst after a
restart of this process: then each call from before it may be released.
"""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_S = 1_000_000_000
FREE_MESSAGES_PER_S = 100
FREE_MESSAGES_PER_CALL = 4  # such as a receipt, progress, and a release that crosses the end of the call


@dataclass(slots=True)
class MessageBudget:
    """The messages without effect that one connection may still send."""

    capacity: int  # the largest burst, apart from what calls have earned
    refilled_at_ns: int  # up to when the steady rate has been added
    left: float = 0.0

    @classmethod
    def full(cls, capacity: int, now_ns: int) -> MessageBudget:
        """Returns an unused budget."""
        return cls(capacity, now_ns, capacity)

    def earn_call(self) -> None:
        """Adds the messages that one more call allows; callers may save them up, as calls come in bursts."""
        self.left += FREE_MESSAGES_PER_CALL

    def refill(self, now_ns: int) -> None:
        """Adds the messages that the steady rate allows up to this moment."""
        earned = (now_ns - self.refilled_at_ns) * FREE_MESSAGES_PER_S / NS_PER_S
        self.refilled_at_ns = now_ns
        self.left = max(self.left, min(self.capacity, self.left + earned))

    @property
    def is_exhausted(self) -> bool:
        """Whether no further message is within the budget."""
        return self.left < 1

    def spend(self) -> None:
        """Counts one message without effect."""
        self.left = max(0.0, self.left - 1)
