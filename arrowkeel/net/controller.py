"""The call table and the turn: events in, one `Policy.handle`, its actions out. No decision is made here."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import structlog

from arrowkeel import interface as it
from arrowkeel.drill import Known
from arrowkeel.net.callerlines import CallerLines
from arrowkeel.net.callers import CallerLine, Offer
from arrowkeel.net.changelog import ChangeLog
from arrowkeel.net.codec import Clear
from arrowkeel.net.config import MS, Config, News
from arrowkeel.net.exchanges import ExchangeLine, ExchangePool, SetUpOrder
from arrowkeel.net.metrics import ConnectionLoss, Metrics, ReleaseReason
from arrowkeel.policy import Policy

OVERDUE_NS = 15 * MS  # past its caller's time a call is ended here, whatever the module did
CALLS_LOGGED = 8  # ids of calls in one entry of the log
log = structlog.get_logger()


@dataclass(slots=True)
class CallRecord:
    """A call from its set-up until it is refused, fails or is over."""

    line: CallerLine
    offer: Offer
    deadline_ns: int
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    pool: ExchangePool | None = None  # of the attempt that is out, or where the call stands
    sent_ns: int = 0
    abandon_at_ns: int = 0
    stood_ns: int = 0


class Controller:
    """One call controller. It carries out what the module decides, and tells it what came of it."""

    def __init__(self, config: Config, policy: Policy) -> None:
        self.config, self.policy = config, policy
        self.loop = asyncio.get_running_loop()
        self.class_names = frozenset(kind.name for kind in config.settings.classes)
        self.calls: dict[str, CallRecord] = {}
        self.open_calls = 0
        self.described = 0  # bytes of descriptions held
        self.ended = Known(config.bounds.records)  # what crosses a call's end, or comes twice, is of none
        self.lines = CallerLines(config.bounds)
        self.pools: dict[str, ExchangePool] = {}
        self.started: dict[str, int] = {}
        self.stood_at: dict[str, set[str]] = {}  # calls standing at each exchange
        self.kept_for_exchanges: dict[str, int] = {}
        self.events: list[it.Event] = []
        self.turn_due = False
        self.changelog = ChangeLog(
            config.changelog, config.last_seq, config.clock, self.news, config.bounds.news
        )
        self.metrics = Metrics(kind.name for kind in config.settings.classes)
        self.takes_calls = True  # what tests of a caller's connection are told

    # Start, a new configuration, the end

    async def start(self) -> None:
        """Returns once each exchange was dialled, with success or without."""
        for index, news in enumerate(self.config.known):
            self.news(news, remembered=index == 0)
        self.changelog.start()
        dials = [pool.dialling for pool in self.pools.values() if pool.dialling is not None]
        await asyncio.gather(*dials, return_exceptions=True)

    def sweep(self, now: int) -> None:
        for pool in self.pools.values():
            pool.sweep(now)
        self.lines.sweep(now)

    def reload(self, config: Config) -> None:
        """What a new configuration changes while calls and connections go on as they are.

        The change log moves at once: its old address tells nothing more. What the module was built with,
        and where we listen, hold until the next start.
        """
        old = self.config
        kept = ("name", "listen", "operator", "accept_fd", "seed", "settings", "report_names")
        later = [name for name in kept if getattr(config, name) != getattr(old, name)]
        self.config = replace(config, **{name: getattr(old, name) for name in kept})
        self.lines.bounds = config.bounds
        log.info("configuration taken", changelog=str(config.changelog), from_next_start=later)
        for news in config.known:
            if news.complete or news.seq == self.changelog.last + 1:
                self.changelog.learn(news)
        if config.changelog != old.changelog:
            self.changelog.move(config.changelog)

    async def close(self, until_ns: int) -> None:
        self.changelog.stop()
        await self.lines.close(until_ns)
        for pool in self.pools.values():
            pool.shut()

    def metrics_text(self) -> str:
        return self.metrics.text(self.gauges())

    def gauges(self) -> dict[str, int]:
        """What is held at this moment."""
        watched = [pool for exchange, pool in self.pools.items() if self.stood_at.get(exchange)]
        return {
            "in_progress": len(self.calls),
            "known_exchanges": len(self.pools),
            "skipped_exchanges": sum(self.policy.avoids(exchange) for exchange in self.pools),
            "open_calls": self.open_calls,
            "standing_calls": len(self.calls) - self.open_calls,
            "silent_exchanges": sum(pool.is_silent for pool in self.pools.values()),
            "longest_silence_with_calls_ms": max((pool.silent_ms() for pool in watched), default=0),
            "releases_waiting_for_callers": len(self.lines.kept),
            "releases_waiting_for_exchanges": sum(len(pool.kept) for pool in self.pools.values())
            + len(self.kept_for_exchanges),
            "caller_connections": len(self.lines.lines),
            "change_log_silence_ms": self.changelog.silent_ms(),
            "change_log_last": self.changelog.last,
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
                events[place] = replace(event, patience_ns=max(0, record.deadline_ns - now))
        for action in self.policy.handle(now, events):
            self.carry_out(action, now)

    def taken_back(self, event: it.Event) -> bool:
        return isinstance(event, it.CallOffered) and event.call not in self.calls

    def carry_out(self, action: it.Action, now: int) -> None:
        match action:
            case it.SetUp(call, exchange, abandon_at_ns):
                self.set_up(call, exchange, abandon_at_ns, now)
            case it.Refuse(call, redial_after_ns, reason):
                if record := self.end(call):
                    log.debug("call refused", call=call, reason=reason.value, attempts=record.attempts)
                    self.metrics.refusals[reason] += 1
                    self.metrics.dropped[record.offer.class_name] += 1
                    record.line.refuse(call, redial_after_ns)
            case it.Fail(call):
                if record := self.end(call):
                    self.fail(call, record)
            case it.CancelAttempt(call, attempt):
                record = self.calls.get(call)
                if record is not None and record.attempts - 1 == attempt:
                    self.abandon(call, record, it.Ending.CALLED_OFF)
            case it.SetTimer(after_ns, label):
                self.ring_at(now + after_ns, lambda: self.tell(it.TimerRang(label)))
            case it.Note(text):
                log.debug(text)
            case it.Probe() | it.FollowList():
                pass  # a test shows only that a connection works, and the change log comes unasked

    def ring_at(self, due_ns: int, ring: Callable[[], None]) -> asyncio.TimerHandle:
        """The loop counts in milliseconds and may ring early: the module's timer would then be lost."""

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
        record.attempts, record.sent_ns = record.attempts + 1, now
        record.abandon_at_ns = min(abandon_at_ns or record.deadline_ns, record.deadline_ns)
        if pool is None:
            self.tell(it.AttemptEnded(call, record.attempts - 1, exchange, it.Ending.NOT_SENT))
            return
        record.pool = pool
        offer = record.offer
        if record.abandon_at_ns < record.deadline_ns:
            self.watch(call, record)
        pool.set_up(
            SetUpOrder(call, offer.class_name, offer.number_called, offer.description, record.abandon_at_ns)
        )

    def watch(self, call: str, record: CallRecord) -> None:
        """One timer a call: for the attempt that is out, else for the caller's patience."""
        if record.timer is not None:
            record.timer.cancel()
        due_ns = record.abandon_at_ns if record.pool is not None else record.deadline_ns
        left_ns = max(0, due_ns - time.monotonic_ns())
        record.timer = self.loop.call_later(left_ns / 1e9, self.expired, call, record)

    def expired(self, call: str, record: CallRecord) -> None:
        now = time.monotonic_ns()
        if self.calls.get(call) is not record or record.stood_ns:
            return
        if record.pool is not None and now >= record.abandon_at_ns:
            self.abandon(call, record, it.Ending.NO_ANSWER)
        if now >= record.deadline_ns + OVERDUE_NS:
            # Guards the one final answer: the module has by now answered each call that it knows.
            log.error("call without an answer at its end", call=call)
            self.end(call)
            self.fail(call, record)
            self.tell(it.CallerLeft(call))
        elif now >= record.deadline_ns:
            record.timer = self.loop.call_later(OVERDUE_NS / 1e9, self.expired, call, record)
        else:
            self.watch(call, record)

    def abandon(self, call: str, record: CallRecord, ending: it.Ending) -> None:
        """Give the attempt that is out up; what had not left was never sent."""
        if record.pool is not None and not record.stood_ns:
            left = record.pool.give_up(call)
            self.attempt_ended(call, ending if left else it.Ending.NOT_SENT)

    def end(self, call: str) -> CallRecord | None:
        """Forget a call, whatever its state; its record, if there was one."""
        record = self.calls.pop(call, None)
        if record is None:
            return None
        self.ended.add(call)
        if record.timer is not None:
            record.timer.cancel()
        record.line.open_calls.discard(call)
        if not record.stood_ns:
            self.open_calls -= 1
            self.described -= len(record.offer.description)
        elif record.pool is not None:
            self.stood_at.get(record.pool.exchange, set()).discard(call)
            record.pool.liveness.ended(call)
        return record

    def fail(self, call: str, record: CallRecord) -> None:
        log.debug("call failed", call=call, attempts=record.attempts, connection=record.line.number)
        self.metrics.bad_gateway[record.offer.class_name] += 1
        record.line.fail(call)

    # From callers

    def caller_connected(self, line: CallerLine) -> None:
        self.lines.connected(line)

    def caller_spoke(self, line: CallerLine) -> None:
        self.lines.spoke(line)

    def caller_broke(self, line: CallerLine, call: str) -> None:
        """A call whose caller can't go on with it: its one final answer, and nothing stays out for it."""
        record = self.calls[call]
        self.caller_ended(call, Clear.NORMAL)
        self.fail(call, record)

    def caller_lost(self, line: CallerLine) -> None:
        self.lines.lost(line)
        for call in sorted(line.open_calls):
            self.caller_ended(call, Clear.NORMAL)

    def offered(self, line: CallerLine, offer: Offer) -> bool:
        """Whether the call was taken; else it has had its answer."""
        call, bounds = offer.call, self.config.bounds
        if call in line.open_calls:
            # Two set-ups under one id on one connection: no answer could tell which of them it is for.
            self.caller_broke(line, call)
            return False
        if call in self.calls:
            line.release(call, Clear.UNREADABLE)  # the call of that id goes on, on its own connection
            return False
        full = len(self.calls) >= bounds.open_calls or self.described > bounds.descriptions
        if offer.class_name not in self.class_names:
            # Guards the module: it would take a class that it does not know for its first.
            self.metrics.refusals[it.RefusalReason.UNKNOWN_CLASS] += 1
            line.refuse(call, self.config.settings.longest_advice_ns)
            return False
        now = time.monotonic_ns()
        if full or self.lines.turns_away(now):
            # Guards the tables, and the end of a connection that is to go and is never idle.
            reason = it.RefusalReason.TABLE_FULL if full else it.RefusalReason.LEAVING
            log.debug("call refused", call=call, reason=reason.value, connection=line.number)
            self.metrics.refusals[reason] += 1
            self.metrics.dropped[offer.class_name] += 1
            line.refuse(call, self.config.settings.longest_advice_ns)
            return True
        record = self.calls[call] = CallRecord(line, offer, now + offer.patience_ms * MS)
        line.open_calls.add(call)
        self.open_calls += 1
        self.described += len(offer.description)
        self.watch(call, record)
        log.debug("call offered", call=call, connection=line.number, patience_ms=offer.patience_ms)
        self.tell(
            it.CallOffered(
                call=call,
                class_name=offer.class_name,
                destination=offer.destination,
                patience_ns=offer.patience_ms * MS,
                number_called=offer.number_called,
                width=offer.width,
                from_or_advised=offer.via,
                redial=offer.redial,
                transit=offer.transit,
                was_cut=offer.was_cut,
            )
        )
        return True

    def caller_ended(self, call: str, cause: int) -> None:
        """A give-up before the answer, a release after it, or a release of what stood before our start."""
        record = self.calls.get(call)
        if record is None:
            if call not in self.ended:
                self.ended.add(call)
                self.release_to_any_exchange(call, cause)
            return
        pool, attempt = record.pool, record.attempts - 1
        if pool is not None and record.stood_ns:
            pool.release(call, cause)
        else:
            self.tell(it.CallerLeft(call))
            if pool is not None:
                pool.give_up(call)
        self.end(call)
        if pool is not None:
            self.tell(self.outcome(call, record, attempt, it.Ending.CALLED_OFF, over=True))

    def release_to_any_exchange(self, call: str, cause: int) -> None:
        pool = next((pool for pool in self.pools.values() if pool.is_open), None)
        if pool is not None:
            pool.release(call, cause)
        elif len(self.kept_for_exchanges) < self.config.bounds.records:
            self.kept_for_exchanges[call] = cause

    # From exchanges

    def outcome(
        self, call: str, record: CallRecord, attempt: int, ending: it.Ending, over: bool = False
    ) -> it.AttemptEnded:
        exchange = record.pool.exchange if record.pool is not None else ""
        delay_ns = time.monotonic_ns() - record.sent_ns
        return it.AttemptEnded(call, attempt, exchange, ending, delay_ns, over)

    def attempt_ended(
        self,
        call: str,
        ending: it.Ending,
        cause: it.Cause = it.Cause.UNSAID,
        wait_ns: int = 0,
        report: it.Report | None = None,
    ) -> None:
        record = self.calls.get(call)
        if record is None or record.pool is None or record.stood_ns:
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
        self.tell(replace(outcome, cause=cause, told_wait_ns=wait_ns, report=report))

    def stood(self, line: ExchangeLine, call: str, description: bytes) -> None:
        record, pool = self.calls.get(call), line.pool
        if record is None or record.pool is not pool or record.stood_ns:
            return
        now = time.monotonic_ns()
        if not record.line.answer(call, description):
            # Guards against a call that stands for nobody: its line is closing and has not told us yet.
            pool.release(call, Clear.NORMAL)
            self.caller_ended(call, Clear.NORMAL)
            return
        record.stood_ns = now
        record.line.open_calls.discard(call)
        self.open_calls -= 1
        self.described -= len(record.offer.description)
        record.offer = replace(record.offer, description=b"")
        if record.timer is not None:
            record.timer.cancel()
        log.debug("call stands", call=call, exchange=pool.exchange, connection=record.line.number)
        self.metrics.passed[record.offer.class_name] += 1
        self.stood_at.setdefault(pool.exchange, set()).add(call)
        pool.liveness.established(line.number, call, record.offer.width)
        self.tell(it.CallStood(call, record.attempts - 1, pool.exchange, now - record.sent_ns))

    def exchange_ended(self, pool: ExchangePool, call: str, cause: int, report: it.Report | None) -> None:
        """The release of a call that stands, also of one that stood before our start."""
        record = self.calls.get(call)
        if record is None:
            if call not in self.ended:
                self.ended.add(call)
                self.lines.release(call, cause, None)
        elif record.stood_ns and record.pool is pool:
            ending = it.Ending.COMPLETED if cause == Clear.NORMAL else it.Ending.CUT
            outcome = self.outcome(call, record, record.attempts - 1, ending, over=True)
            self.end(call)
            log.debug("call over", call=call, exchange=pool.exchange, cause=cause)
            self.lines.release(call, cause, record.line)
            self.tell(replace(outcome, report=report))

    def set_up_left(self) -> None:
        self.metrics.upstream_tries += 1

    def group_state(self, exchange: str, report: it.Report | None) -> None:
        self.tell(it.ProbeAnswer(exchange, it.Ending.COMPLETED, 0, report))

    def exchange_connected(self, pool: ExchangePool) -> None:
        kept, self.kept_for_exchanges = self.kept_for_exchanges, {}
        for call, cause in kept.items():
            pool.release(call, cause)

    def exchange_died(self, pool: ExchangePool) -> None:
        self.cut_standing(pool, time.monotonic_ns(), ReleaseReason.REFUSING)

    def dial_failed(self) -> None:
        self.metrics.dials_failed += 1

    def connection_ended(self, loss: ConnectionLoss) -> None:
        self.metrics.exchange_connections_lost[loss] += 1

    def cut_standing(self, pool: ExchangePool, before_ns: int, reason: ReleaseReason) -> None:
        """A process that is gone has cut its calls and may have told nobody: their callers are."""
        standing = sorted(self.stood_at.get(pool.exchange, ()))
        self.cut(pool, [call for call in standing if self.calls[call].stood_ns < before_ns], reason)

    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None:
        """The process that holds these calls may be alive and cut off: it is told too, once it can be."""
        self.cut(pool, calls, ReleaseReason.LEASE_EXPIRED)
        for call in calls:
            pool.release(call, Clear.TEMPORARY_FAILURE)

    def cut(self, pool: ExchangePool, cut: list[str], reason: ReleaseReason) -> None:
        if not cut:
            return
        standing = len(self.stood_at.get(pool.exchange, ()))
        log.warning(
            "standing calls released",
            exchange=pool.exchange,
            reason=reason.value,
            released=len(cut),
            kept=standing - len(cut),
            silent_ms=pool.silent_ms(),
            first_calls=cut[:CALLS_LOGGED],
        )
        self.metrics.standing_released[reason] += len(cut)
        for call in cut:
            self.exchange_ended(pool, call, Clear.TEMPORARY_FAILURE, None)

    # From the change log

    def news(self, news: News, remembered: bool = False) -> None:
        if news.entries is None:
            return
        kind = it.ListKind.COMPLETE if news.complete else it.ListKind.CHANGES
        if remembered:
            kind = it.ListKind.REMEMBERED
        if kind is not it.ListKind.CHANGES:
            listed = {entry.listed.exchange for entry in news.entries}
            for exchange in [exchange for exchange in self.pools if exchange not in listed]:
                self.gone(exchange)
        for entry in news.entries:
            exchange, address = entry.listed.exchange, entry.address
            if entry.listed.listing is it.Listing.GONE or address is None:
                self.gone(exchange)
                continue
            for other in [pool for pool in self.pools.values() if pool.address == address]:
                if other.exchange != exchange:  # the address is another's now, so that one is gone
                    self.gone(other.exchange)
            pool = self.pools.get(exchange)
            if pool is not None and pool.address != address:
                self.gone(exchange)
                pool = None
            if pool is None:
                pool = self.pools[exchange] = ExchangePool(exchange, address, self, self.config)
            elif entry.listed.started_ns > self.started.get(exchange, 0):
                self.cut_standing(pool, entry.listed.started_ns, ReleaseReason.RESTARTED)
            self.started[exchange] = entry.listed.started_ns
            pool.set_serving(entry.listed.listing is it.Listing.SERVING)
            if not pool.lines:
                pool.dial()
        for entry in news.entries:
            log.info(
                "exchange listed",
                seq=news.seq,
                exchange=entry.listed.exchange,
                listing=entry.listed.listing.value,
                standing=len(self.stood_at.get(entry.listed.exchange, ())),
            )
        self.tell(it.ExchangeList(kind, tuple(entry.listed for entry in news.entries)))

    def gone(self, exchange: str) -> None:
        pool = self.pools.pop(exchange, None)
        self.started.pop(exchange, None)
        if pool is not None:
            pool.close()
            self.cut_standing(pool, time.monotonic_ns() + 1, ReleaseReason.DELISTED)
            self.stood_at.pop(exchange, None)
