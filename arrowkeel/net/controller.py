"""The controller: passes events to the policy in batches and carries out the actions that it returns.

It keeps each call's record up to date, and sends what its caller and its exchange must receive about it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

import structlog

from arrowkeel import interface as it
from arrowkeel.caller_release import (
    IGNORED_RELEASES,
    CallerRelease,
    ReleaseVerdict,
    decide_caller_release,
)
from arrowkeel.net.caller_connections import CallerConnections
from arrowkeel.net.callers import CallerConnection, Offer
from arrowkeel.net.calls import CallRecord, CallTable
from arrowkeel.net.changelog import ChangeLogClient
from arrowkeel.net.codec import ReleaseCause
from arrowkeel.net.config import MS, Config
from arrowkeel.net.connection import log as bad_input_log
from arrowkeel.net.connection import log_stall
from arrowkeel.net.exchange_connection import ExchangeConnection, SetUpRequest
from arrowkeel.net.exchange_pool import ExchangePool
from arrowkeel.net.membership import Membership
from arrowkeel.net.metrics import ConnectionLoss, Metrics, ReleaseReason
from arrowkeel.net.standing_calls import StandingCalls
from arrowkeel.pending_releases import SettledReason
from arrowkeel.policy import Policy
from arrowkeel.release_delivery import Clearance

# How long the policy has for its answer after the deadline of a call, before the call is ended here.
OVERDUE_GRACE_NS = 15 * MS
log = structlog.get_logger()


class Controller:
    """One call controller: carries out the policy's actions and reports their outcomes to it as events."""

    def __init__(self, config: Config, policy: Policy) -> None:
        self.config, self.policy = config, policy
        self.loop = asyncio.get_running_loop()
        self.class_names = frozenset(call_class.name for call_class in config.settings.classes)
        self.calls = CallTable(config.bounds)
        self.metrics = Metrics(call_class.name for call_class in config.settings.classes)
        self.callers = CallerConnections(config.bounds, self.metrics)
        self.standing_calls = StandingCalls(self.calls, self.callers.releases, self.metrics, self.queue_event)
        self.membership = Membership(self, config)
        self.waiting_releases: dict[str, int] = {}  # causes by call, of calls from before the start
        self.events: list[it.Event] = []
        self.batch_scheduled = False
        self.changelog = ChangeLogClient(
            config.changelog,
            config.last_seq,
            config.clock_offset,
            self.membership.apply_update,
            config.bounds.max_change_log_line_bytes,
        )
        self.accepts_calls = True  # the result of a test that a caller asks for

    @property
    def pools(self) -> dict[str, ExchangePool]:
        return self.membership.pools

    # Start, reload, shutdown

    async def start(self) -> None:
        """Applies the known exchange list and starts the change log; returns once each exchange was dialled.

        The outcome of the dials does not matter.
        """
        for index, update in enumerate(self.config.initial_updates):
            self.membership.apply_update(update, is_remembered=index == 0)
        self.changelog.start()
        dials = [pool.dial_task for pool in self.pools.values() if pool.dial_task is not None]
        await asyncio.gather(*dials, return_exceptions=True)

    def sweep(self, now_ns: int) -> None:
        """Checks all connections for what is overdue; called periodically."""
        self.membership.sweep(now_ns)
        self.callers.sweep(now_ns)

    def reload(self, config: Config) -> None:
        """Applies a new configuration; calls and connections go on.

        The change log is followed at its new address at once, because the old one reports nothing more. The
        values from which the policy was built, and the listening addresses, change only at the next start.
        """
        previous = self.config
        fixed_fields = ("name", "listen", "operator", "accept_fd", "seed", "settings", "report_names")
        deferred = [name for name in fixed_fields if getattr(config, name) != getattr(previous, name)]
        self.config = replace(config, **{name: getattr(previous, name) for name in fixed_fields})
        self.calls.bounds = config.bounds
        self.callers.apply_bounds(config.bounds)
        self.membership.config = self.config
        log.info("configuration reloaded", changelog=str(config.changelog), from_next_start=deferred)
        for update in config.initial_updates:
            if update.is_complete or update.seq == self.changelog.last_seq + 1:
                self.changelog.apply_update(update)
        if config.changelog != previous.changelog:
            self.changelog.switch_address(config.changelog)

    def fail_open_calls(self) -> None:
        """Ends each open call at shutdown: its caller gets the final answer and its attempt is given up."""
        open_calls = self.calls.open_calls()
        if open_calls:
            log.warning("open calls failed at shutdown", calls=len(open_calls), first_calls=open_calls[:8])
        for call in open_calls:
            record = self.calls.records[call]
            self.end_call_for_caller(call, ReleaseCause.NORMAL)
            self.fail_call(call, record)

    async def close(self, until_ns: int) -> None:
        """Closes everything at shutdown; the last answers are sent before `until_ns`."""
        self.changelog.stop()
        await self.callers.close(until_ns)
        self.membership.shut_down()

    def metrics_text(self) -> str:
        """Returns the counters and gauges in the statsd text form."""
        return self.metrics.render(self.gauges())

    def gauges(self) -> dict[str, int]:
        """Returns the current values of the gauges by metric name."""
        pools = self.pools.values()
        silences = [pool.silent_ms() for pool in pools if self.calls.standing.get(pool.exchange)]
        waiting = sum(len(pool.waiting_releases) for pool in pools) + len(self.waiting_releases)
        return {
            "in_progress": len(self.calls),
            "known_exchanges": len(pools),
            "skipped_exchanges": sum(self.policy.is_skipped(exchange) for exchange in self.pools),
            "open_calls": self.calls.open_count,
            "standing_calls": self.calls.standing_count,
            "silent_exchanges": sum(pool.is_silent for pool in pools),
            "longest_silence_with_calls_ms": max(silences, default=0),
            "suspected_calls": sum(pool.release_delivery.suspected_count for pool in pools),
            "releases_waiting_for_callers": len(self.callers.releases.pending.waiting),
            "releases_waiting_for_exchanges": waiting,
            "releases_maybe_unread": len(self.callers.releases.pending.written),
            "caller_connections": len(self.callers.connections),
            "change_log_silence_ms": self.changelog.silent_ms(),
            "change_log_last": self.changelog.last_seq,
            "change_log_failures": self.changelog.failures,
        }

    # Event batches

    def queue_event(self, event: it.Event) -> None:
        """Queues an event; all that are queued in one iteration of the event loop form one batch."""
        self.events.append(event)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.loop.call_soon(self.process_batch)

    def process_batch(self) -> None:
        """Passes the queued events to the policy and carries out its actions.

        A call is offered with the patience that its caller has left at this moment.
        """
        self.batch_scheduled = False
        # Calls that ended while their offer was queued are left out, so that they do not count in the
        # policy's rates of calls offered and sent.
        events = [event for event in self.events if not self.is_withdrawn(event)]
        self.events = []
        now_ns = time.monotonic_ns()
        for index, event in enumerate(events):
            if isinstance(event, it.CallOffered) and (record := self.calls.get(event.call)):
                events[index] = replace(event, patience_ns=max(0, record.deadline_at_ns - now_ns))
        for action in self.policy.handle(now_ns, events):
            self.execute(action, now_ns)
        log_stall("batch of events held up the event loop", now_ns, events=len(events))

    def is_withdrawn(self, event: it.Event) -> bool:
        """Returns whether the event offers a call that has ended since it was queued."""
        return isinstance(event, it.CallOffered) and event.call not in self.calls

    def execute(self, action: it.Action, now_ns: int) -> None:
        """Carries out one action of the policy; one for a call that is over is ignored."""
        match action:
            case it.SetUp():
                self.start_attempt(action, now_ns)
            case it.Refuse(call, redial_after_ns, reason):
                if record := self.calls.end(call):
                    self.refuse_call(record.connection, record.offer, redial_after_ns, reason)
            case it.Fail(call, reason):
                if record := self.calls.end(call):
                    self.fail_call(call, record, reason)
            case it.CancelAttempt(call, attempt):
                record = self.calls.get(call)
                if record is not None and record.attempts - 1 == attempt:
                    self.abandon_attempt(call, record, it.Ending.CANCELLED)
            case it.SetTimer(after_ns, label):
                self.schedule_timer(now_ns + after_ns, lambda: self.queue_event(it.TimerExpired(label)))
            case it.Note(text):
                log.debug(text)
            case it.Probe() | it.FollowList():
                pass  # a test shows only that a connection works, and the change log is followed in any case

    def schedule_timer(self, due_at_ns: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Runs the callback at a moment, and never before it.

        The event loop counts in milliseconds and may fire a timer early. The policy's timer would then be
        lost: the policy sets the next one only once the last one is due.
        """

        def fire() -> None:
            if time.monotonic_ns() >= due_at_ns:
                callback()
            else:
                self.schedule_timer(due_at_ns, callback)

        left_ns = max(0, due_at_ns - time.monotonic_ns())
        return self.loop.call_later(left_ns / 1e9 + 0.0005, fire)

    # Calls

    def start_attempt(self, action: it.SetUp, now_ns: int) -> None:
        """Sends the set-up of a call to an exchange, unless the call is over or has an attempt in progress.

        `abandon_at_ns` 0 means the call's deadline, which is the latest moment in any case.
        """
        call = action.call
        record, pool = self.calls.get(call), self.pools.get(action.exchange)
        if record is None or record.pool is not None:
            return
        record.attempts, record.sent_at_ns = record.attempts + 1, now_ns
        record.abandon_at_ns = min(action.abandon_at_ns or record.deadline_at_ns, record.deadline_at_ns)
        if pool is None:
            self.queue_event(it.AttemptEnded(call, record.attempts - 1, action.exchange, it.Ending.NOT_SENT))
            return
        record.pool = pool
        offer = record.offer
        if record.abandon_at_ns < record.deadline_at_ns:
            self.restart_timer(call, record)
        pool.set_up(
            SetUpRequest(
                call,
                offer.class_name,
                offer.number_called,
                offer.description,
                record.abandon_at_ns,
                action.send_by_ns or record.abandon_at_ns,
            )
        )

    def restart_timer(self, call: str, record: CallRecord) -> None:
        """Sets the one timer of a call: for the attempt in progress, else for the call's deadline."""
        record.cancel_timer()
        due_at_ns = record.abandon_at_ns if record.pool is not None else record.deadline_at_ns
        left_ns = max(0, due_at_ns - time.monotonic_ns())
        record.timer = self.loop.call_later(left_ns / 1e9, self.call_timer_expired, call, record)

    def call_timer_expired(self, call: str, record: CallRecord) -> None:
        """Gives up an overdue attempt, and ends a call that the policy has left unanswered."""
        now_ns = time.monotonic_ns()
        if self.calls.get(call) is not record or record.established_at_ns:
            return
        if record.pool is not None and now_ns >= record.abandon_at_ns:
            self.abandon_attempt(call, record, it.Ending.NO_ANSWER)
        if record.is_overdue:
            # By now the policy has answered each call that it knows; this makes sure that every other call
            # gets its one final answer too.
            log.error("call past its deadline without a final answer", call=call)
            self.calls.end(call)
            self.fail_call(call, record)
            self.queue_event(it.CallerLeft(call))
        elif now_ns >= record.deadline_at_ns:
            # Counted from now, not from the deadline: after a stall the policy has not had its turn yet.
            record.is_overdue = True
            record.timer = self.loop.call_later(OVERDUE_GRACE_NS / 1e9, self.call_timer_expired, call, record)
        else:
            self.restart_timer(call, record)

    def abandon_attempt(self, call: str, record: CallRecord, ending: it.Ending) -> None:
        """Gives up the attempt in progress; it ends as never sent if its set-up was still queued."""
        if record.pool is not None and not record.established_at_ns:
            was_sent = record.pool.cancel_set_up(call)
            self.attempt_ended(call, ending if was_sent else it.Ending.NOT_SENT)

    def fail_call(
        self, call: str, record: CallRecord, reason: it.FailureReason = it.FailureReason.UNSPECIFIED
    ) -> None:
        """Sends the final answer of a failed call, whose record is no longer in the table."""
        log.debug(
            "call failed",
            call=call,
            reason=reason.value,
            attempts=record.attempts,
            connection=record.connection.number,
        )
        self.metrics.failures[reason] += 1
        self.metrics.bad_gateway[record.offer.class_name] += 1
        record.connection.send_failure(call)

    def refuse_call(
        self, connection: CallerConnection, offer: Offer, redial_after_ns: int, reason: it.RefusalReason
    ) -> None:
        """Sends the final answer of a call that is refused; the reason is only logged and counted."""
        log.debug("call refused", call=offer.call, reason=reason.value, connection=connection.number)
        self.metrics.refusals[reason] += 1
        if offer.class_name in self.class_names:
            self.metrics.dropped[offer.class_name] += 1
        connection.send_refusal(offer.call, redial_after_ns)

    # From callers

    def caller_connected(self, connection: CallerConnection) -> None:
        self.callers.add(connection)

    def first_call_carried(self, connection: CallerConnection) -> None:
        self.callers.releases.send_waiting_releases()

    def abort_call(self, connection: CallerConnection, call: str) -> None:
        """Ends an open call that its caller cannot go on with: it fails, and its attempt is given up."""
        record = self.calls.records[call]
        self.end_call_for_caller(call, ReleaseCause.NORMAL)
        self.fail_call(call, record)

    def receipt_received(self, connection: CallerConnection, call: str) -> None:
        self.callers.releases.pending.record_receipt(connection.carrier, call)

    def set_up_skipped(self) -> None:
        self.metrics.set_ups_skipped += 1

    def caller_disconnected(self, connection: CallerConnection) -> None:
        """Ends the open calls of a lost connection; its answered calls go on."""
        self.callers.remove(connection)
        self.caller_left(connection)

    def caller_left(self, connection: CallerConnection) -> None:
        """Ends the open calls of a caller that waits for no answer."""
        for call in sorted(connection.open_calls):
            self.end_call_for_caller(call, ReleaseCause.NORMAL)

    def call_offered(self, connection: CallerConnection, offer: Offer) -> bool:
        """Accepts, refuses or rejects a call; returns False if its set-up was not valid.

        Not valid are a call identifier in use and an unknown class. A call that is not accepted has had its
        final answer on return.
        """
        call = offer.call
        self.callers.releases.pending.forget(call, SettledReason.SET_UP_AGAIN)
        if call in connection.open_calls:
            # Two set-ups with one identifier on one connection: an answer could not say which one it is for.
            self.abort_call(connection, call)
            return False
        if call in self.calls:
            # The call with this identifier goes on, on its own connection.
            connection.reject_set_up(call)
            return False
        if self.may_run_twice(offer):
            connection.declined_set_ups.add(call)
            log.warning("set-up of a call that may have run failed", call=call, connection=connection.number)
            self.metrics.failures[it.FailureReason.MAY_HAVE_RUN] += 1
            self.metrics.bad_gateway[offer.class_name] += 1
            connection.send_failure(call)
            return False
        reason = self.refusal_reason(connection, offer)
        if reason is not None:
            connection.declined_set_ups.add(call)
            self.refuse_call(connection, offer, self.config.settings.max_redial_after_ns, reason)
            return reason is not it.RefusalReason.UNKNOWN_CLASS
        self.accept_call(connection, offer)
        return True

    def may_run_twice(self, offer: Offer) -> bool:
        """Whether a call with this identifier was sent on before, and its class forbids a repetition.

        Each set-up has an identifier of its own, but a client may send one again after it has left.
        """
        if offer.call not in self.calls.sent or offer.class_name not in self.class_names:
            return False
        return self.config.settings.find_class(offer.class_name).repeat is not it.Repeat.READ_LIKE

    def refusal_reason(self, connection: CallerConnection, offer: Offer) -> it.RefusalReason | None:
        """Returns why a call is refused without asking the policy; None if it is accepted."""
        if offer.class_name not in self.class_names:
            return it.RefusalReason.UNKNOWN_CLASS  # the policy would treat it as its first class
        if self.calls.is_full(connection):
            return it.RefusalReason.TABLE_FULL
        # Set-ups are refused so that a connection that is to be closed becomes idle at last.
        return it.RefusalReason.LEAVING if self.callers.refuses_set_ups(time.monotonic_ns()) else None

    def accept_call(self, connection: CallerConnection, offer: Offer) -> None:
        """Adds a call to the table and offers it to the policy."""
        connection.declined_set_ups.discard(offer.call)
        call, patience_ns = offer.call, offer.patience_ms * MS
        record = CallRecord(connection, offer, time.monotonic_ns() + patience_ns)
        self.calls.add(record)
        self.restart_timer(call, record)
        log.debug("call offered", call=call, connection=connection.number, patience_ms=offer.patience_ms)
        self.queue_event(
            it.CallOffered(
                call=call,
                class_name=offer.class_name,
                destination=offer.destination,
                patience_ns=patience_ns,
                number_called=offer.number_called,
                circuits=offer.circuits,
                sender_or_advised_tandem=offer.sender_or_tandem,
                redial=offer.redial,
                transit=offer.transit,
                was_interrupted=offer.was_interrupted,
            )
        )

    def release_received(self, connection: CallerConnection, call: str, cause: int) -> ReleaseVerdict:
        """Ends a call as a caller asks, passes the release on or ignores it; returns which."""
        record = self.calls.get(call)
        is_standing = record is not None and record.established_at_ns > 0
        verdict = decide_caller_release(
            CallerRelease(
                was_declined=connection.declined_set_ups.take(call),
                is_open=record is not None and not is_standing,
                is_standing=is_standing,
                is_own_connection=record is not None and record.connection is connection,
                has_ended=call in self.calls.ended,
                is_over_budget=connection.message_budget.is_exhausted,
            )
        )
        if verdict in (ReleaseVerdict.CALL_ENDED, ReleaseVerdict.PASS_ON):
            self.callers.releases.pending.forget(call, SettledReason.RELEASED_BY_CALLER)
        if verdict in IGNORED_RELEASES:
            self.metrics.caller_releases_ignored[verdict] += 1
            bad_input_log.info(
                "caller's release ignored", reason=verdict.value, call=call, connection=connection.number
            )
        elif verdict is ReleaseVerdict.END_CALL:
            self.end_call_for_caller(call, cause)
        else:
            self.calls.ended.add(call)
            self.release_to_any_exchange(call, cause)
        return verdict

    def end_call_for_caller(self, call: str, cause: int) -> None:
        """Ends a call that its caller no longer wants, if it is not over.

        Before the answer the attempt in progress is given up, after it the release is passed to the exchange.
        """
        record = self.calls.get(call)
        if record is None:
            return
        pool = record.pool
        if pool is not None and record.established_at_ns:
            pool.release(call, cause)
        else:
            self.queue_event(it.CallerLeft(call))
            if pool is not None:
                pool.cancel_set_up(call)
        self.calls.end(call)
        if pool is not None:
            self.queue_event(record.outcome(it.Ending.CANCELLED, over=True))

    def release_to_any_exchange(self, call: str, cause: int) -> None:
        """Sends a release to any connected exchange, or to the next one that connects."""
        pool = self.membership.first_open_pool()
        if pool is not None:
            pool.release(call, cause)
        elif len(self.waiting_releases) < self.config.bounds.max_table_entries:
            self.waiting_releases[call] = cause

    # From exchanges

    def attempt_ended(
        self,
        call: str,
        ending: it.Ending,
        cause: it.FailureCause = it.FailureCause.UNSPECIFIED,
        wait_ns: int = 0,
        report: it.LoadReport | None = None,
    ) -> None:
        """Reports the end of the attempt in progress to the policy; the call stays open."""
        record = self.calls.get(call)
        if record is None or record.pool is None or record.established_at_ns:
            return
        outcome = record.outcome(ending)
        self.metrics.attempts_ended[ending] += 1
        log.debug(
            "attempt ended",
            call=call,
            attempt=outcome.attempt,
            exchange=outcome.exchange,
            ending=ending.value,
            cause=cause.value,
            delay_ms=outcome.delay_ns // MS,
        )
        record.pool = None
        self.queue_event(replace(outcome, cause=cause, reported_wait_ns=wait_ns, report=report))

    def call_established(
        self, pool: ExchangePool, connection: ExchangeConnection, call: str, description: bytes
    ) -> None:
        """Passes the answer of an exchange to the caller; the call stands from then on."""
        record = self.calls.get(call)
        if record is None or record.pool is not pool or record.established_at_ns:
            return
        now_ns = time.monotonic_ns()
        if not record.connection.send_answer(call, description):
            # The caller's connection is closing and its loss is not reported yet. The call is released, so
            # that it does not stand for a caller that is gone.
            pool.release(call, ReleaseCause.NORMAL)
            self.end_call_for_caller(call, ReleaseCause.NORMAL)
            return
        self.calls.establish(record, pool, now_ns)
        pool.record_standing_call(connection, call, record.offer.circuits)
        log.debug("call answered", call=call, exchange=pool.exchange, connection=record.connection.number)
        self.metrics.passed[record.offer.class_name] += 1
        self.queue_event(
            it.CallEstablished(call, record.attempts - 1, pool.exchange, now_ns - record.sent_at_ns)
        )

    def set_up_sent(self) -> None:
        """Counts a set-up that was sent to an exchange."""
        self.metrics.upstream_tries += 1

    def group_state_reported(self, exchange: str, report: it.LoadReport | None) -> None:
        """Passes the reported state of an exchange and of the circuit group to it to the policy."""
        self.queue_event(it.ProbeAnswer(exchange, it.Ending.COMPLETED, 0, report))

    def exchange_connected(self, pool: ExchangePool) -> None:
        """Sends the releases that waited for any exchange."""
        waiting, self.waiting_releases = self.waiting_releases, {}
        for call, cause in waiting.items():
            pool.release(call, cause)

    def dial_failed(self) -> None:
        self.metrics.dials_failed += 1

    def exchange_connection_lost(self, loss: ConnectionLoss) -> None:
        self.metrics.exchange_connections_lost[loss] += 1

    def suspicion_cleared(self, clearance: Clearance) -> None:
        self.metrics.suspicions_cleared[clearance] += 1

    # Ends of standing calls

    def released_by_exchange(
        self, pool: ExchangePool, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        self.standing_calls.released_by_exchange(pool, call, cause, report)

    def exchange_process_died(self, pool: ExchangePool) -> None:
        self.process_gone(pool, time.monotonic_ns(), ReleaseReason.REFUSING)

    def process_gone(self, pool: ExchangePool, established_before_ns: int, reason: ReleaseReason) -> None:
        self.standing_calls.process_gone(pool, established_before_ns, reason)

    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None:
        self.standing_calls.release_on_both_sides(pool, calls, ReleaseReason.LEASE_EXPIRED)

    def releases_lost(self, pool: ExchangePool, calls: list[str]) -> None:
        self.standing_calls.release_on_both_sides(pool, calls, ReleaseReason.RELEASE_LOST)

    def exchange_list_changed(self, event: it.ExchangeList) -> None:
        """Reports a change of the exchange list to the policy."""
        self.queue_event(event)
