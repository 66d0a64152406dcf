"""Ends standing calls: as their exchange releases them, or in its place where it cannot."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

import structlog

from arrowkeel import interface as it
from arrowkeel.net.caller_releases import CallerReleases
from arrowkeel.net.calls import CallRecord, CallTable
from arrowkeel.net.codec import ReleaseCause
from arrowkeel.net.exchange_pool import ExchangePool
from arrowkeel.net.metrics import IgnoredExchangeRelease, Metrics, ReleaseReason
from arrowkeel.pending_releases import EVIDENCE_DELAY_NS, PendingRelease
from arrowkeel.release_delivery import RELEASE_TIMEOUT_NS

MAX_LOGGED_CALLS = 8  # call identifiers in one log entry
log = structlog.get_logger()


class StandingCalls:
    """Releases standing calls towards their callers, and reports their ends as events for the policy."""

    def __init__(
        self,
        calls: CallTable,
        releases: CallerReleases,
        metrics: Metrics,
        queue_event: Callable[[it.Event], None],
    ) -> None:
        self.calls, self.releases, self.metrics, self.queue_event = calls, releases, metrics, queue_event

    def released_by_exchange(
        self, pool: ExchangePool, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        """Passes the release of a standing call to its caller, also of one from before the start."""
        record = self.calls.get(call)
        now_ns = time.monotonic_ns()
        if record is None:
            if call in self.calls.ended:
                self.ignore_exchange_release(pool, call, IgnoredExchangeRelease.CALL_ENDED)
                return
            self.calls.ended.add(call)
            self.releases.release(PendingRelease(call, cause, now_ns), None)
        elif not record.established_at_ns:
            self.ignore_exchange_release(pool, call, IgnoredExchangeRelease.CALL_OPEN)
        elif record.pool is not pool:
            self.ignore_exchange_release(pool, call, IgnoredExchangeRelease.OTHER_EXCHANGE)
        else:
            ended_at_ns = pool.release_delivery.earliest_end_ns(call) or now_ns
            self.end(record, cause, ended_at_ns, report)

    def end(
        self, record: CallRecord, cause: int, ended_at_ns: int, report: it.LoadReport | None = None
    ) -> None:
        """Releases a standing call towards its caller; it ended at that moment or later."""
        call, connection = record.offer.call, record.connection
        ending = it.Ending.COMPLETED if cause == ReleaseCause.NORMAL else it.Ending.INTERRUPTED
        outcome = record.outcome(ending, over=True)
        self.calls.end(call)
        log.debug("call released", call=call, exchange=outcome.exchange, cause=cause)
        is_answer_read = connection.last_received_at_ns >= record.established_at_ns + EVIDENCE_DELAY_NS
        answer_unread_until_ns = 0 if is_answer_read else record.deadline_at_ns
        self.releases.release(PendingRelease(call, cause, ended_at_ns, answer_unread_until_ns), connection)
        self.queue_event(replace(outcome, report=report))

    def ignore_exchange_release(self, pool: ExchangePool, call: str, reason: IgnoredExchangeRelease) -> None:
        """Counts and logs a release from an exchange that is not passed on."""
        self.metrics.exchange_releases_ignored[reason] += 1
        log.debug("exchange's release ignored", exchange=pool.exchange, call=call, reason=reason.value)

    def process_gone(self, pool: ExchangePool, established_before_ns: int, reason: ReleaseReason) -> None:
        """Releases the calls that were answered before a moment at a process that is gone.

        The process has interrupted them, and may have notified nobody.
        """
        standing = self.calls.standing_at(pool.exchange)
        interrupted = [
            call for call in standing if self.calls.records[call].established_at_ns < established_before_ns
        ]
        self.release_standing_calls(pool, interrupted, reason, pool.last_received_at_ns)

    def release_on_both_sides(self, pool: ExchangePool, calls: list[str], reason: ReleaseReason) -> None:
        """Releases calls that may have ended some time ago, to their callers and at their exchange.

        The process that holds them may be alive, so it gets the releases too, once it can be reached.
        """
        self.release_standing_calls(pool, calls, reason, time.monotonic_ns() - RELEASE_TIMEOUT_NS)
        for call in calls:
            pool.release(call, ReleaseCause.TEMPORARY_FAILURE)

    def release_standing_calls(
        self, pool: ExchangePool, calls: list[str], reason: ReleaseReason, ended_at_ns: int
    ) -> None:
        """Releases calls to their callers in place of the exchange, and logs and counts them.

        `ended_at_ns` is the earliest moment at which they may have ended.
        """
        if not calls:
            return
        log.warning(
            "standing calls released",
            exchange=pool.exchange,
            reason=reason.value,
            released=len(calls),
            kept=len(self.calls.standing_at(pool.exchange)) - len(calls),
            silent_ms=pool.silent_ms(),
            first_calls=calls[:MAX_LOGGED_CALLS],
        )
        self.metrics.standing_released[reason] += len(calls)
        for call in calls:
            record = self.calls.get(call)
            if record is not None and record.pool is pool:
                self.end(record, ReleaseCause.TEMPORARY_FAILURE, ended_at_ns)
