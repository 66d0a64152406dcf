"""The turn: events in, one `Policy.handle`, its actions out; and what each call's peers are told of it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

import structlog

from arrowkeel import interface as it
from arrowkeel.net.caller_connections import CallerConnections
from arrowkeel.net.callers import CallerConnection, Offer
from arrowkeel.net.calls import CallRecord, CallTable
from arrowkeel.net.changelog import ChangeLogClient
from arrowkeel.net.codec import ReleaseCause
from arrowkeel.net.config import MS, Config
from arrowkeel.net.exchange_connection import ExchangeConnection, SetUpRequest
from arrowkeel.net.exchange_pool import ExchangePool
from arrowkeel.net.membership import Membership
from arrowkeel.net.metrics import ConnectionLoss, Metrics, ReleaseReason
from arrowkeel.policy import Policy

OVERDUE_NS = 15 * MS  # past its caller's time a call is ended here, whatever the decisions did
CALLS_LOGGED = 8  # ids of calls in one entry of the log
log = structlog.get_logger()


class Controller:
    """One call controller. It carries out what the decisions say, and tells them what came of it."""

    def __init__(self, config: Config, policy: Policy) -> None:
        self.config, self.policy = config, policy
        self.loop = asyncio.get_running_loop()
        self.class_names = frozenset(kind.name for kind in config.settings.classes)
        self.calls = CallTable(config.bounds)
        self.callers = CallerConnections(config.bounds)
        self.membership = Membership(self, config)
        self.waiting_releases: dict[str, int] = {}  # of calls before our start, for the next exchange reached
        self.events: list[it.Event] = []
        self.turn_due = False
        self.changelog = ChangeLogClient(
            config.changelog,
            config.last_seq,
            config.clock_offset,
            self.membership.apply_update,
            config.bounds.max_change_log_line_bytes,
        )
        self.metrics = Metrics(kind.name for kind in config.settings.classes)
        self.accepts_calls = True  # what tests of a caller's connection are told

    @property
    def pools(self) -> dict[str, ExchangePool]:
        return self.membership.pools

    # Start, a new configuration, the end

    async def start(self) -> None:
        """Returns once each exchange was dialled, with success or without."""
        for index, update in enumerate(self.config.initial_updates):
            self.membership.apply_update(update, is_remembered=index == 0)
        self.changelog.start()
        dials = [pool.dial_task for pool in self.pools.values() if pool.dial_task is not None]
        await asyncio.gather(*dials, return_exceptions=True)

    def sweep(self, now: int) -> None:
        self.membership.sweep(now)
        self.callers.sweep(now)

    def reload(self, config: Config) -> None:
        """What a new configuration changes while calls and connections go on as they are.

        The change log moves at once: its old address tells nothing more. What the decisions were built with,
        and where we listen, hold until the next start.
        """
        old = self.config
        fixed = ("name", "listen", "operator", "accept_fd", "seed", "settings", "report_names")
        later = [name for name in fixed if getattr(config, name) != getattr(old, name)]
        self.config = replace(config, **{name: getattr(old, name) for name in fixed})
        self.calls.bounds = self.callers.bounds = config.bounds
        self.membership.config = self.config
        log.info("configuration taken", changelog=str(config.changelog), from_next_start=later)
        for update in config.initial_updates:
            if update.is_complete or update.seq == self.changelog.last_seq + 1:
                self.changelog.apply_update(update)
        if config.changelog != old.changelog:
            self.changelog.switch_address(config.changelog)

    def fail_open_calls(self) -> None:
        """The end is near: every open call gets its final answer, and nothing stays out for it."""
        open_calls = self.calls.open_calls()
        if open_calls:
            log.warning("open calls fail at the end", calls=len(open_calls), first_calls=open_calls[:8])
        for call in open_calls:
            record = self.calls.records[call]
            self.end_call_for_caller(call, ReleaseCause.NORMAL)
            self.fail(call, record)

    async def close(self, until_ns: int) -> None:
        self.changelog.stop()
        await self.callers.close(until_ns)
        self.membership.shut_down()

    def metrics_text(self) -> str:
        return self.metrics.render(self.gauges())

    def gauges(self) -> dict[str, int]:
        """What is held at this moment."""
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
            "releases_waiting_for_callers": len(self.callers.waiting_releases),
            "releases_waiting_for_exchanges": waiting,
            "caller_connections": len(self.callers.connections),
            "change_log_silence_ms": self.changelog.silent_ms(),
            "change_log_last": self.changelog.last_seq,
            "change_log_failures": self.changelog.failures,
        }

    # The turn

    def tell(self, event: it.Event) -> None:
        """Queue an event for the turn at the end of this pass of the loop, with all that is ready."""
        self.events.append(event)
        if not self.turn_due:
            self.turn_due = True
            self.loop.call_soon(self.turn)

    def turn(self) -> None:
        self.turn_due = False
        # Guards the rates: what was taken back before it was looked at must not count as sent or asked for.
        events = [event for event in self.events if not self.taken_back(event)]
        self.events = []
        now = time.monotonic_ns()
        for place, event in enumerate(events):
            if isinstance(event, it.CallOffered) and (record := self.calls.get(event.call)):
                events[place] = replace(event, patience_ns=max(0, record.deadline_at_ns - now))
        for action in self.policy.handle(now, events):
            self.carry_out(action, now)

    def taken_back(self, event: it.Event) -> bool:
        return isinstance(event, it.CallOffered) and event.call not in self.calls

    def carry_out(self, action: it.Action, now: int) -> None:
        match action:
            case it.SetUp(call, exchange, abandon_at_ns):
                self.set_up(call, exchange, abandon_at_ns, now)
            case it.Refuse(call, redial_after_ns, reason):
                if record := self.calls.end(call):
                    self.refuse(record.connection, record.offer, redial_after_ns, reason)
            case it.Fail(call):
                if record := self.calls.end(call):
                    self.fail(call, record)
            case it.CancelAttempt(call, attempt):
                record = self.calls.get(call)
                if record is not None and record.attempts - 1 == attempt:
                    self.abandon(call, record, it.Ending.CANCELLED)
            case it.SetTimer(after_ns, label):
                self.ring_at(now + after_ns, lambda: self.tell(it.TimerExpired(label)))
            case it.Note(text):
                log.debug(text)
            case it.Probe() | it.FollowList():
                pass  # a test shows only that a connection works, and the change log comes unasked

    def ring_at(self, due_ns: int, ring: Callable[[], None]) -> asyncio.TimerHandle:
        """The loop counts in milliseconds and may ring early: the decisions' timer would then be lost."""

        def rang() -> None:
            if time.monotonic_ns() >= due_ns:
                ring()
            else:
                self.ring_at(due_ns, ring)

        left_ns = max(0, due_ns - time.monotonic_ns())
        return self.loop.call_later(left_ns / 1e9 + 0.0005, rang)

    # Calls

    def set_up(self, call: str, exchange: str, abandon_at_ns: int, now: int) -> None:
        record, pool = self.calls.get(call), self.pools.get(exchange)
        if record is None or record.pool is not None:
            return
        record.attempts, record.sent_at_ns = record.attempts + 1, now
        record.abandon_at_ns = min(abandon_at_ns or record.deadline_at_ns, record.deadline_at_ns)
        if pool is None:
            self.tell(it.AttemptEnded(call, record.attempts - 1, exchange, it.Ending.NOT_SENT))
            return
        record.pool = pool
        offer = record.offer
        if record.abandon_at_ns < record.deadline_at_ns:
            self.watch(call, record)
        pool.set_up(
            SetUpRequest(call, offer.class_name, offer.number_called, offer.description, record.abandon_at_ns)
        )

    def watch(self, call: str, record: CallRecord) -> None:
        """One timer a call: for the attempt that is out, else for the caller's patience."""
        record.cancel_timer()
        due_ns = record.abandon_at_ns if record.pool is not None else record.deadline_at_ns
        left_ns = max(0, due_ns - time.monotonic_ns())
        record.timer = self.loop.call_later(left_ns / 1e9, self.expired, call, record)

    def expired(self, call: str, record: CallRecord) -> None:
        now = time.monotonic_ns()
        if self.calls.get(call) is not record or record.established_at_ns:
            return
        if record.pool is not None and now >= record.abandon_at_ns:
            self.abandon(call, record, it.Ending.NO_ANSWER)
        if now >= record.deadline_at_ns + OVERDUE_NS:
            # Guards the one final answer: the decisions have by now answered each call that they know.
            log.error("call without an answer at its end", call=call)
            self.calls.end(call)
            self.fail(call, record)
            self.tell(it.CallerLeft(call))
        elif now >= record.deadline_at_ns:
            record.timer = self.loop.call_later(OVERDUE_NS / 1e9, self.expired, call, record)
        else:
            self.watch(call, record)

    def abandon(self, call: str, record: CallRecord, ending: it.Ending) -> None:
        """Give the attempt that is out up; what had not left was never sent."""
        if record.pool is not None and not record.established_at_ns:
            left = record.pool.cancel_set_up(call)
            self.attempt_ended(call, ending if left else it.Ending.NOT_SENT)

    def fail(self, call: str, record: CallRecord) -> None:
        log.debug("call failed", call=call, attempts=record.attempts, connection=record.connection.number)
        self.metrics.bad_gateway[record.offer.class_name] += 1
        record.connection.send_failure(call)

    def refuse(
        self, connection: CallerConnection, offer: Offer, redial_after_ns: int, reason: it.RefusalReason
    ) -> None:
        log.debug("call refused", call=offer.call, reason=reason.value, connection=connection.number)
        self.metrics.refusals[reason] += 1
        if offer.class_name in self.class_names:
            self.metrics.dropped[offer.class_name] += 1
        connection.send_refusal(offer.call, redial_after_ns)

    # From callers

    def caller_connected(self, connection: CallerConnection) -> None:
        self.callers.add(connection)

    def first_call_carried(self, connection: CallerConnection) -> None:
        self.callers.send_waiting_releases(connection)

    def abort_call(self, connection: CallerConnection, call: str) -> None:
        """A call whose caller can't go on with it: its one final answer, and nothing stays out for it."""
        record = self.calls.records[call]
        self.end_call_for_caller(call, ReleaseCause.NORMAL)
        self.fail(call, record)

    def caller_disconnected(self, connection: CallerConnection) -> None:
        self.callers.remove(connection)
        for call in sorted(connection.open_calls):
            self.end_call_for_caller(call, ReleaseCause.NORMAL)

    def call_offered(self, connection: CallerConnection, offer: Offer) -> bool:
        """Whether the call was taken, or refused for no fault of its own; it has its answer in any case."""
        call = offer.call
        if call in connection.open_calls:
            # Two set-ups under one id on one connection: no answer could tell which of them it is for.
            self.abort_call(connection, call)
            return False
        if call in self.calls:
            # The call of that id goes on, on its own connection.
            connection.send_release(call, ReleaseCause.INVALID_CONTENTS)
            return False
        reason = self.refusal_reason(offer)
        if reason is not None:
            self.refuse(connection, offer, self.config.settings.max_redial_after_ns, reason)
            return reason is not it.RefusalReason.UNKNOWN_CLASS
        self.take_call(connection, offer)
        return True

    def refusal_reason(self, offer: Offer) -> it.RefusalReason | None:
        """Why a call is refused before the decisions hear of it; none if it is taken."""
        if offer.class_name not in self.class_names:
            return it.RefusalReason.UNKNOWN_CLASS  # the decisions would take it for their first class
        if self.calls.is_full:
            return it.RefusalReason.TABLE_FULL
        # Guards the end of a connection that is to go and is never idle.
        return it.RefusalReason.LEAVING if self.callers.refuses_set_ups(time.monotonic_ns()) else None

    def take_call(self, connection: CallerConnection, offer: Offer) -> None:
        call, patience_ns = offer.call, offer.patience_ms * MS
        record = CallRecord(connection, offer, time.monotonic_ns() + patience_ns)
        self.calls.add(record)
        self.watch(call, record)
        log.debug("call offered", call=call, connection=connection.number, patience_ms=offer.patience_ms)
        self.tell(
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

    def end_call_for_caller(self, call: str, cause: int) -> None:
        """A give-up before the answer, a release after it, or a release of what stood before our start."""
        record = self.calls.get(call)
        if record is None:
            if call not in self.calls.ended:
                self.calls.ended.add(call)
                self.release_to_any_exchange(call, cause)
            return
        pool, attempt = record.pool, record.attempts - 1
        if pool is not None and record.established_at_ns:
            pool.release(call, cause)
        else:
            self.tell(it.CallerLeft(call))
            if pool is not None:
                pool.cancel_set_up(call)
        self.calls.end(call)
        if pool is not None:
            self.tell(self.outcome(call, record, attempt, it.Ending.CANCELLED, over=True))

    def release_to_any_exchange(self, call: str, cause: int) -> None:
        pool = self.membership.first_open_pool()
        if pool is not None:
            pool.release(call, cause)
        elif len(self.waiting_releases) < self.config.bounds.max_table_entries:
            self.waiting_releases[call] = cause

    # From exchanges

    def outcome(
        self, call: str, record: CallRecord, attempt: int, ending: it.Ending, over: bool = False
    ) -> it.AttemptEnded:
        exchange = record.pool.exchange if record.pool is not None else ""
        delay_ns = time.monotonic_ns() - record.sent_at_ns
        return it.AttemptEnded(call, attempt, exchange, ending, delay_ns, over)

    def attempt_ended(
        self,
        call: str,
        ending: it.Ending,
        cause: it.FailureCause = it.FailureCause.UNSPECIFIED,
        wait_ns: int = 0,
        report: it.LoadReport | None = None,
    ) -> None:
        record = self.calls.get(call)
        if record is None or record.pool is None or record.established_at_ns:
            return
        outcome = self.outcome(call, record, record.attempts - 1, ending)
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
        self.tell(replace(outcome, cause=cause, reported_wait_ns=wait_ns, report=report))

    def call_established(
        self, pool: ExchangePool, connection: ExchangeConnection, call: str, description: bytes
    ) -> None:
        record = self.calls.get(call)
        if record is None or record.pool is not pool or record.established_at_ns:
            return
        now = time.monotonic_ns()
        if not record.connection.send_answer(call, description):
            # Guards against a call that stands for nobody: its connection is closing and has not told us yet.
            pool.release(call, ReleaseCause.NORMAL)
            self.end_call_for_caller(call, ReleaseCause.NORMAL)
            return
        self.calls.establish(record, pool, now)
        pool.record_standing_call(connection, call, record.offer.circuits)
        log.debug("call stands", call=call, exchange=pool.exchange, connection=record.connection.number)
        self.metrics.passed[record.offer.class_name] += 1
        self.tell(it.CallEstablished(call, record.attempts - 1, pool.exchange, now - record.sent_at_ns))

    def released_by_exchange(
        self, pool: ExchangePool, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        """The release of a call that stands, also of one that stood before our start."""
        record = self.calls.get(call)
        if record is None:
            if call not in self.calls.ended:
                self.calls.ended.add(call)
                self.callers.release(call, cause, None)
        elif record.established_at_ns and record.pool is pool:
            ending = it.Ending.COMPLETED if cause == ReleaseCause.NORMAL else it.Ending.INTERRUPTED
            outcome = self.outcome(call, record, record.attempts - 1, ending, over=True)
            self.calls.end(call)
            log.debug("call over", call=call, exchange=pool.exchange, cause=cause)
            self.callers.release(call, cause, record.connection)
            self.tell(replace(outcome, report=report))

    def set_up_sent(self) -> None:
        self.metrics.upstream_tries += 1

    def group_state_reported(self, exchange: str, report: it.LoadReport | None) -> None:
        self.tell(it.ProbeAnswer(exchange, it.Ending.COMPLETED, 0, report))

    def exchange_connected(self, pool: ExchangePool) -> None:
        waiting, self.waiting_releases = self.waiting_releases, {}
        for call, cause in waiting.items():
            pool.release(call, cause)

    def dial_failed(self) -> None:
        self.metrics.dials_failed += 1

    def exchange_connection_lost(self, loss: ConnectionLoss) -> None:
        self.metrics.exchange_connections_lost[loss] += 1

    # Calls that nobody will release any more

    def exchange_process_died(self, pool: ExchangePool) -> None:
        self.process_gone(pool, time.monotonic_ns(), ReleaseReason.REFUSING)

    def process_gone(self, pool: ExchangePool, established_before_ns: int, reason: ReleaseReason) -> None:
        """A process that is gone has cut the calls that stood before, and may have told nobody."""
        standing = self.calls.standing_at(pool.exchange)
        cut = [
            call for call in standing if self.calls.records[call].established_at_ns < established_before_ns
        ]
        self.cut(pool, cut, reason)

    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None:
        """The process that holds these calls may be alive and cut off: it is told too, once it can be."""
        self.cut(pool, calls, ReleaseReason.LEASE_EXPIRED)
        for call in calls:
            pool.release(call, ReleaseCause.TEMPORARY_FAILURE)

    def cut(self, pool: ExchangePool, calls: list[str], reason: ReleaseReason) -> None:
        if not calls:
            return
        log.warning(
            "standing calls released",
            exchange=pool.exchange,
            reason=reason.value,
            released=len(calls),
            kept=len(self.calls.standing_at(pool.exchange)) - len(calls),
            silent_ms=pool.silent_ms(),
            first_calls=calls[:CALLS_LOGGED],
        )
        self.metrics.standing_released[reason] += len(calls)
        for call in calls:
            self.released_by_exchange(pool, call, ReleaseCause.TEMPORARY_FAILURE, None)

    def exchange_list_changed(self, event: it.ExchangeList) -> None:
        self.tell(event)
