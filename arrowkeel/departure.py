"""How callers are sent away: in standby, at the end of the process, and where another process takes over.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
# A set-up may be on its way on a connection that is idle, and new connections still come for a while.
GRACE_NS = 300 * MS
# 4 s after standby was asked no connection may carry a set-up of the last 2 s.
STANDBY_TAKES_NS = 1900 * MS
# In standby the last caller's connection stays for so long to carry releases.
STANDBY_CARRY_NS = 3800 * MS
# After SIGTERM new connections come for 0.4 s and set-ups for 0.2 s more.
STOP_ACCEPT_NS = 700 * MS
# SIGKILL comes no sooner than the longest deadline, and at most this, after the last set-up was taken.
LONGEST_DEADLINE_NS = 3000 * MS
# What is left for the last answers to be written and read before SIGKILL may come.
FINAL_ANSWERS_NS = 250 * MS
# Half a message on which nothing more has come for so long is not waited for at the end.
ABANDONED_NS = 1000 * MS


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """What a caller's connection carries at one moment."""

    connected_at_ns: int
    last_received_at_ns: int
    open_calls: int
    standing_calls: int
    has_incomplete_message: bool
    has_carried_calls: bool
    is_last_with_calls: bool  # no other connection has carried calls


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """From when set-ups are refused, and which connections may be closed."""

    close_after_ns: int  # an idle connection is closed from here on
    refuse_after_ns: int  # a set-up is refused from here on
    carry_until_ns: int = 0  # until here the last connection that has carried calls stays to carry releases
    keeps_standing: bool = False  # a connection stays while calls stand that were set up on it
    answer_all_by_ns: int | None = None  # every open call gets its final answer by then

    @classmethod
    def standby(cls, now_ns: int) -> DrainPlan:
        return cls(
            close_after_ns=now_ns + GRACE_NS,
            refuse_after_ns=now_ns + STANDBY_TAKES_NS,
            carry_until_ns=now_ns + STANDBY_CARRY_NS,
            keeps_standing=True,
        )

    @classmethod
    def stop(cls, now_ns: int, longest_deadline_ns: int) -> DrainPlan:
        """SIGTERM, where nobody takes over: calls come as before until they can't be finished in time."""
        takes_until_ns = now_ns + STOP_ACCEPT_NS
        return cls(
            close_after_ns=takes_until_ns,
            refuse_after_ns=takes_until_ns,
            answer_all_by_ns=cls.last_answers_ns(now_ns, longest_deadline_ns),
        )

    @classmethod
    def hand_over(cls, now_ns: int, longest_deadline_ns: int) -> DrainPlan:
        """SIGTERM, where another process accepts on the same socket: connections go as soon as they may."""
        return cls(
            close_after_ns=now_ns + GRACE_NS,
            refuse_after_ns=now_ns + STANDBY_TAKES_NS,
            carry_until_ns=now_ns + STOP_ACCEPT_NS,
            answer_all_by_ns=cls.last_answers_ns(now_ns, longest_deadline_ns),
        )

    @staticmethod
    def last_answers_ns(now_ns: int, longest_deadline_ns: int) -> int:
        longest_ns = min(longest_deadline_ns, LONGEST_DEADLINE_NS)
        return now_ns + STOP_ACCEPT_NS + longest_ns - FINAL_ANSWERS_NS

    def refuses_set_ups(self, now_ns: int) -> bool:
        return now_ns > self.refuse_after_ns

    def must_answer_open_calls(self, now_ns: int) -> bool:
        return self.answer_all_by_ns is not None and now_ns > self.answer_all_by_ns

    def may_close(self, use: ConnectionUse, now_ns: int) -> bool:
        """Whether nothing is lost with this connection, as far as is read of it."""
        if now_ns <= max(self.close_after_ns, use.connected_at_ns + GRACE_NS):
            return False
        if use.open_calls or (self.keeps_standing and use.standing_calls):
            return False
        if use.has_incomplete_message and not self.is_abandoned(use, now_ns):
            return False
        return not (use.has_carried_calls and use.is_last_with_calls and now_ns < self.carry_until_ns)

    def is_abandoned(self, use: ConnectionUse, now_ns: int) -> bool:
        return self.answer_all_by_ns is not None and now_ns > use.last_received_at_ns + ABANDONED_NS
