"""Connection draining: when callers' connections may be closed and set-ups are refused.

Draining takes place in standby, at the end of the process, and at a hand-over to a successor process.
Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
# No connection is closed earlier: a set-up may be on its way on an idle connection, and new connections still
# arrive for a while.
CLOSE_GRACE_NS = 300 * MS
# Set-ups are accepted for this long after standby was requested or a hand-over has begun: 4 s after the
# request no connection may carry a set-up of the last 2 s.
STANDBY_ACCEPT_NS = 1900 * MS
# In standby the last connection that has carried calls stays open for this long to carry releases.
STANDBY_LAST_CONNECTION_NS = 3800 * MS
# Set-ups are accepted for this long after SIGTERM: new connections arrive for 0.4 s, and set-ups on them for
# another 0.2 s.
STOP_ACCEPT_NS = 700 * MS
# SIGKILL may come this long after the last accepted set-up, or earlier where the longest deadline of all
# classes of call is shorter.
MAX_SIGKILL_DELAY_NS = 3000 * MS
# The time left for the final answers to be written and read before SIGKILL may come.
FINAL_ANSWERS_MARGIN_NS = 250 * MS
# When the process ends, an incomplete message is not waited for once nothing has been received for this long.
INCOMPLETE_MESSAGE_TIMEOUT_NS = 1000 * MS


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """What one caller's connection carries at the moment of the decision."""

    connected_at_ns: int
    last_received_at_ns: int
    open_calls: int  # set up on it and not finally answered
    standing_calls: int  # set up on it, answered and not over
    has_incomplete_message: bool  # a message has begun to arrive
    has_carried_calls: bool
    is_last_with_calls: bool  # no other open connection has carried calls


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """When set-ups are refused, which connections may be closed, and when all calls must be answered.

    Fields ending in `_ns` are moments of the monotonic clock.
    """

    close_idle_after_ns: int  # an idle connection may be closed after this
    refuse_after_ns: int  # a set-up is refused after this
    keep_last_until_ns: int = 0  # the last connection that has carried calls stays until then, for releases
    waits_for_standing_calls: bool = False  # a connection stays while it has standing calls
    final_answers_by_ns: int | None = None  # every open call has its final answer by then

    @classmethod
    def standby(cls, now_ns: int) -> DrainPlan:
        """For standby: the process goes on, so no call has to be answered early."""
        return cls(
            close_idle_after_ns=now_ns + CLOSE_GRACE_NS,
            refuse_after_ns=now_ns + STANDBY_ACCEPT_NS,
            keep_last_until_ns=now_ns + STANDBY_LAST_CONNECTION_NS,
            waits_for_standing_calls=True,
        )

    @classmethod
    def stop(cls, now_ns: int, longest_deadline_ns: int) -> DrainPlan:
        """For SIGTERM without a successor: set-ups are accepted as long as they can be finished in time."""
        accept_until_ns = now_ns + STOP_ACCEPT_NS
        return cls(
            close_idle_after_ns=accept_until_ns,
            refuse_after_ns=accept_until_ns,
            final_answers_by_ns=cls.final_answers_due_ns(now_ns, longest_deadline_ns),
        )

    @classmethod
    def hand_over(cls, now_ns: int, longest_deadline_ns: int) -> DrainPlan:
        """For SIGTERM with a successor on the same listening socket: connections are closed when idle."""
        return cls(
            close_idle_after_ns=now_ns + CLOSE_GRACE_NS,
            refuse_after_ns=now_ns + STANDBY_ACCEPT_NS,
            keep_last_until_ns=now_ns + STOP_ACCEPT_NS,
            final_answers_by_ns=cls.final_answers_due_ns(now_ns, longest_deadline_ns),
        )

    @staticmethod
    def final_answers_due_ns(now_ns: int, longest_deadline_ns: int) -> int:
        """When every open call must have its final answer, as a moment of the monotonic clock."""
        sigkill_delay_ns = min(longest_deadline_ns, MAX_SIGKILL_DELAY_NS)
        return now_ns + STOP_ACCEPT_NS + sigkill_delay_ns - FINAL_ANSWERS_MARGIN_NS

    def refuses_set_ups(self, now_ns: int) -> bool:
        """Whether a set-up that arrives now is refused."""
        return now_ns > self.refuse_after_ns

    def must_answer_open_calls(self, now_ns: int) -> bool:
        """Whether the final answers are due for all calls that are still open."""
        return self.final_answers_by_ns is not None and now_ns > self.final_answers_by_ns

    def may_close(self, use: ConnectionUse, now_ns: int) -> bool:
        """Whether closing the connection loses nothing, as far as its input has been read."""
        if now_ns <= max(self.close_idle_after_ns, use.connected_at_ns + CLOSE_GRACE_NS):
            return False
        if use.open_calls or (self.waits_for_standing_calls and use.standing_calls):
            return False
        if use.has_incomplete_message and not self.is_message_abandoned(use, now_ns):
            return False
        return not (use.has_carried_calls and use.is_last_with_calls and now_ns < self.keep_last_until_ns)

    def is_message_abandoned(self, use: ConnectionUse, now_ns: int) -> bool:
        """Whether the process is ending and an incomplete message has stalled for too long."""
        return (
            self.final_answers_by_ns is not None
            and now_ns > use.last_received_at_ns + INCOMPLETE_MESSAGE_TIMEOUT_NS
        )
