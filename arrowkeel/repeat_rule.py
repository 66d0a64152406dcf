"""Decides whether a call may be set up again, or be refused, after an attempt that may have run.

Decisions only: no input or output and no clock. Times are integer nanoseconds of one monotonic clock.

A refusal tells the caller that a redial is harmless, so it is as good as a repetition. The rule is that of
the wire page, "No duplicate effects". Calls of a READ_LIKE class are repeated freely. Those of a
NON_IDEMPOTENT class are repeated only if each earlier attempt is known not to have run, and those of an
IDEMPOTENCY_KEY class only at the exchanges that discard repeats of the first attempt that may have run, while
they remember it.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowkeel import interface as it

# An attempt that ended in one of these ways is known not to have run.
NEVER_RAN = frozenset({it.Ending.REJECTED, it.Ending.NO_CONNECTION, it.Ending.NOT_SENT})


@dataclass(frozen=True, slots=True)
class PossibleRun:
    """The earliest attempt of a call that may have run: where it was sent, and when."""

    zone: str
    number: int  # of the exchange
    sent_at_ns: int


def may_repeat(call_class: it.CallClass, run: PossibleRun | None, now_ns: int) -> bool:
    """Whether a set-up may be sent to any exchange at this moment."""
    if run is None or call_class.repeat is it.Repeat.READ_LIKE:
        return True
    if call_class.repeat is it.Repeat.NON_IDEMPOTENT:
        return False
    return now_ns < run.sent_at_ns + call_class.memory_span_ns


def may_set_up(
    call_class: it.CallClass, run: PossibleRun | None, zone: str, number: int, now_ns: int
) -> bool:
    """Whether a set-up may be sent at this moment to the exchange with this number in this zone."""
    if run is None or call_class.repeat is it.Repeat.READ_LIKE:
        return True
    if not may_repeat(call_class, run, now_ns):
        return False
    match call_class.dedup_scope:
        case it.DedupScope.ALL:
            return True
        case it.DedupScope.ZONE:
            return zone == run.zone
        case it.DedupScope.CELL:
            return number == run.number


def may_refuse(call_class: it.CallClass, run: PossibleRun | None) -> bool:
    """Whether the caller may be told that trying again is harmless."""
    if run is None or call_class.repeat is it.Repeat.READ_LIKE:
        return True
    return call_class.repeat is it.Repeat.IDEMPOTENCY_KEY and call_class.dedup_scope is it.DedupScope.ALL


def send_by_ns(call_class: it.CallClass, run: PossibleRun | None) -> int:
    """Until when a set-up may be sent; 0 if the rule sets no limit."""
    if run is None or call_class.repeat is not it.Repeat.IDEMPOTENCY_KEY:
        return 0
    return run.sent_at_ns + call_class.memory_span_ns
