"""Connections to exchanges: a bounded pool each, set-ups out, their ends and group states back."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Protocol

import structlog

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.liveness import ExchangeLiveness, GroupState
from arrowkeel.net.codec import Clear, Code, Kind, MalformedMessageError, Message, encode
from arrowkeel.net.config import MS, Address, Config
from arrowkeel.net.line import Line, SparseLog
from arrowkeel.net.metrics import ConnectionLoss

REDIAL_FIRST_NS, REDIAL_MOST_NS = 50 * MS, 1000 * MS  # between dials to an exchange that takes none
REDIAL_WATCHED_NS = 250 * MS  # the most while calls stand there: their lease runs
DEAD_AFTER_NS = 2000 * MS  # lost and then refused for so long: its process is gone, and its calls with it
LINES_KEPT, LINES_MOST = 2, 4  # connections to one exchange: usually, and with those that are to replace one
# A set-up takes a circuit, and the group's state comes at once on each connection: one that brings nothing
# for so long after a set-up, or lacks a state that another has, is mute, however open it looks.
MUTE_NS = 250 * MS
SILENT_NS = 1000 * MS  # nothing heard on any connection for so long while one is mute: logged as silent
QUIET_NS = 3000 * MS  # nothing heard at all: a new connection brings the state and the missed releases
ENDINGS: dict[int, it.Ending] = {
    Clear.NO_CIRCUIT: it.Ending.TURNED_AWAY,
    Clear.NEVER_LEFT: it.Ending.NOT_SENT,
    Clear.TEMPORARY_FAILURE: it.Ending.CUT,
    Clear.USER_BUSY: it.Ending.NUMBER_BUSY,
    Clear.UNAVAILABLE: it.Ending.NUMBER_BUSY,
}
# The codes that the simulator's wire has for these notes, so that `wire` alone says what they mean.
NOTES = {"group_full": 1, "tandem_refused": 2, "processor_full": 3, "user_busy": 4, "destination_full": 18}
log = structlog.get_logger()
sparse_log = SparseLog()


@dataclass(frozen=True, slots=True)
class SetUpOrder:
    """A set-up to pass on: what the caller sent, and when it is abandoned at the latest."""

    call: str
    class_name: str
    number_called: str
    description: bytes
    abandon_at_ns: int


class ExchangeDesk(Protocol):
    """What the controller does for connections to exchanges, whatever protocol they speak."""

    def set_up_left(self) -> None: ...
    def stood(self, line: ExchangeLine, call: str, description: bytes) -> None: ...
    def attempt_ended(
        self,
        call: str,
        ending: it.Ending,
        cause: it.Cause = it.Cause.UNSAID,
        wait_ns: int = 0,
        report: it.Report | None = None,
    ) -> None: ...
    def exchange_ended(self, pool: ExchangePool, call: str, cause: int, report: it.Report | None) -> None: ...
    def group_state(self, exchange: str, report: it.Report | None) -> None: ...
    def exchange_connected(self, pool: ExchangePool) -> None: ...
    def exchange_died(self, pool: ExchangePool) -> None: ...
    def dial_failed(self) -> None: ...
    def connection_ended(self, loss: ConnectionLoss) -> None: ...
    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None: ...


class ExchangeLine(Line):
    """One connection to an exchange."""

    def __init__(self, pool: ExchangePool) -> None:
        super().__init__(f"exchange {pool.exchange}", pool.bounds.unsent)
        self.pool = pool
        self.set_ups: set[str] = set()  # sent here and not yet answered
        self.released: dict[str, int] = {}  # sent here since something was heard: all that a mute line ate
        self.state = b""  # the group's state as last told here
        self.heard_ns = time.monotonic_ns()
        self.asked_ns = 0  # when the first set-up left that nothing has been heard after
        self.behind_ns = 0  # since when another line knows a state that this one does not
        self.loss: ConnectionLoss | None = None  # why it ends, where we end it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.pool.liveness.opened(self.number, time.monotonic_ns())

    def connection_lost(self, exc: Exception | None) -> None:
        loss = self.loss or (ConnectionLoss.CLOSED_BY_PEER if exc is None else ConnectionLoss.RESET)
        self.pool.lost(self, loss)

    def abort_as(self, loss: ConnectionLoss) -> None:
        self.loss = loss
        self.abort()

    def close(self) -> None:
        self.loss = self.loss or ConnectionLoss.CLOSED_BY_US
        super().close()

    def is_mute(self, now_ns: int) -> bool:
        since_ns = [ns for ns in (self.asked_ns, self.behind_ns, self.half_since_ns) if ns]
        return bool(since_ns) and now_ns - min(since_ns) > MUTE_NS

    def take(self, message: Message) -> None:
        pool, call = self.pool, message.call
        if message.flaw:
            raise MalformedMessageError(message.flaw)
        self.heard_ns, self.asked_ns = time.monotonic_ns(), 0
        pool.heard(self)
        self.released.clear()
        match message.kind:
            case Kind.ANSWER:
                # An answer that crossed our give-up is of no call any more: the give-up releases it there.
                if call in self.set_ups:
                    description = message.parameters.get(Code.DESCRIPTION)
                    if description is None:
                        raise MalformedMessageError(f"parameter {Code.DESCRIPTION.value}: missing")
                    self.set_ups.discard(call)
                    pool.desk.stood(self, call, description)
            case Kind.RELEASE:
                cause, report = message.cause(), self.report(message)
                note = NOTES.get(message.text(Code.NOTE, ""), 0)
                if call in self.set_ups:
                    self.set_ups.discard(call)
                    ending = ENDINGS.get(cause, it.Ending.NUMBER_BUSY)
                    pool.desk.attempt_ended(call, ending, *wire.read_cause(note), report)
                else:
                    if cause == Clear.NORMAL:
                        pool.liveness.completed(self.number, call)
                    pool.desk.exchange_ended(pool, call, cause, report)
            case Kind.GROUP_STATE:
                report = self.report(message)
                self.state = message.parameters.get(Code.REPORT, b"")
                pool.state_came(self, report)
            case Kind.PROGRESS | Kind.RELEASE_HEARD | Kind.TEST_RESULT:
                pass
            case _:
                raise MalformedMessageError(f"type {message.kind} is nothing an exchange sends")

    def report(self, message: Message) -> it.Report | None:
        figures = message.figures(Code.REPORT)
        if not figures:
            return None
        names = self.pool.report_names
        row = ",".join(figures.get(name, "-1") for name in names)
        try:
            return wire.read_report({"load": row}, names)
        except (wire.MalformedError, ValueError) as error:
            raise MalformedMessageError(f"parameter {Code.REPORT.value}: {error}") from None


class ExchangePool:
    """The connections to one exchange, keyed by its id: an address may come to belong to another.

    Two carry its calls, so that what spoils one leaves the other, and each shows whether the other is mute.
    """

    def __init__(self, exchange: str, address: Address, desk: ExchangeDesk, config: Config) -> None:
        self.exchange, self.address, self.desk = exchange, address, desk
        self.report_names, self.dial_ns, self.bounds = config.report_names, config.dial_ns, config.bounds
        self.serving = True
        self.closed = False
        self.lines: list[ExchangeLine] = []  # the open ones, the first opened first
        self.dialling: asyncio.Task[None] | None = None
        self.redial: asyncio.TimerHandle | None = None
        self.redial_gap_ns = REDIAL_FIRST_NS
        self.connected_at_ns = 0
        self.lost_at_ns = 0  # when the last connection was lost, until the next one is open
        self.swept_ns = 0
        self.was_late = False  # the latest sweep came long after the one before
        self.heard_ns = 0  # when anything was last heard, on any connection
        self.vouched_ns = 0  # when a refused dial last showed that the process behind open connections lives
        self.is_silent = False  # as the log was last told
        self.liveness = ExchangeLiveness(config.settings.is_mesh)
        self.told_state: bytes | None = None  # the group's state as the module was last told
        self.queue: dict[str, SetUpOrder] = {}
        self.kept: dict[str, int] = {}  # releases for the next connection, with their causes

    @property
    def is_open(self) -> bool:
        return any(line.is_open for line in self.lines)

    def usable(self) -> list[ExchangeLine]:
        now = time.monotonic_ns()
        return [line for line in self.lines if line.is_open and not line.is_mute(now)]

    def dial(self) -> None:
        if self.closed or self.dialling is not None or len(self.lines) >= LINES_MOST:
            return
        if self.redial is not None:
            self.redial.cancel()
            self.redial = None
        self.dialling = asyncio.get_running_loop().create_task(
            self.connect(time.monotonic_ns() + self.dial_ns)
        )

    async def connect(self, until_ns: int) -> None:
        loop, failure = asyncio.get_running_loop(), ""
        line = ExchangeLine(self)
        try:
            async with asyncio.timeout_at(loop.time() + (until_ns - time.monotonic_ns()) / 1e9):
                await loop.create_connection(lambda: line, self.address.host, self.address.port)
        except TimeoutError:
            failure = "timed out"
        except OSError as error:
            failure = "refused" if isinstance(error, ConnectionRefusedError) else "failed"
        except asyncio.CancelledError:
            line.abort()
            raise
        finally:
            self.dialling = None
        if self.closed:
            line.abort()
        elif not failure and line.is_open:
            self.connected(line)
        else:
            self.not_connected(failure)

    def connected(self, line: ExchangeLine) -> None:
        self.lines.append(line)
        log.info("exchange connected", **self.facts(line))
        self.lost_at_ns, self.connected_at_ns = 0, time.monotonic_ns()
        kept, self.kept = self.kept, {}
        for call, cause in kept.items():
            self.release(call, cause, line)
        self.flush_queue()
        self.desk.exchange_connected(self)
        if len(self.lines) < LINES_KEPT:
            self.dial()

    def not_connected(self, failure: str) -> None:
        """What waited for this connection never ran; the next dial waits a while."""
        queue, self.queue = self.queue, {}
        sparse_log.info(
            f"dial to {self.exchange} failed", reason=failure, waiting=len(queue), silent_ms=self.silent_ms()
        )
        self.desk.dial_failed()
        for call in queue:
            self.desk.attempt_ended(call, it.Ending.NO_CONNECTION)
        now = time.monotonic_ns()
        lost_for_ns = now - self.lost_at_ns if self.lost_at_ns else 0
        if failure == "refused" and lost_for_ns > DEAD_AFTER_NS:
            # Guards against calls that nobody will release any more: their process has died.
            self.lost_at_ns = 0
            self.desk.exchange_died(self)
        if failure == "timed out":
            self.liveness.dial_timed_out()
        if failure == "refused" and self.liveness.dial_refused([line.number for line in self.usable()], now):
            self.vouched_ns = (
                now  # its connections are quiet, not lost: the next dial is due when they still are
            )
        else:
            self.dial_later()

    def dial_later(self) -> None:
        if not self.closed and self.redial is None:
            most_ns = REDIAL_WATCHED_NS if self.liveness.has_calls() else REDIAL_MOST_NS
            gap, self.redial_gap_ns = (
                min(self.redial_gap_ns, most_ns),
                min(2 * self.redial_gap_ns, REDIAL_MOST_NS),
            )
            self.redial = asyncio.get_running_loop().call_later(gap / 1e9, self.dial)

    def facts(self, line: ExchangeLine) -> dict[str, object]:
        """What the log says of one connection."""
        return {
            "exchange": self.exchange,
            "connection": line.number,
            "connections": len(self.lines),
            "set_ups": len(line.set_ups),
            "heard_ms_ago": (time.monotonic_ns() - line.heard_ns) // MS,
        }

    def silent_ms(self) -> int:
        """How long nothing has been heard from this exchange on any connection, in milliseconds."""
        return (time.monotonic_ns() - self.heard_ns) // MS if self.heard_ns else -1

    def heard(self, line: ExchangeLine) -> None:
        self.liveness.heard(line.number, line.heard_ns)
        if self.is_silent:
            self.is_silent = False
            log.info("exchange heard again", silent_ms=self.silent_ms(), **self.facts(line))
        self.heard_ns = line.heard_ns

    def log_silence(self, now_ns: int, mute: int) -> None:
        """One entry when an exchange falls silent; `heard` writes the one when it is back."""
        silent_ns = now_ns - max(self.heard_ns, self.vouched_ns) if self.heard_ns else 0
        if not self.is_silent and silent_ns > (SILENT_NS if mute else QUIET_NS + self.dial_ns):
            self.is_silent = True
            log.warning(
                "exchange silent",
                exchange=self.exchange,
                mute=mute,
                connections=len(self.lines),
                silent_ms=self.silent_ms(),
            )

    def lost(self, line: ExchangeLine, loss: ConnectionLoss) -> None:
        """The set-ups open on a connection end with it, and may have run; the next one is dialled at once."""
        by_peer = loss in (ConnectionLoss.CLOSED_BY_PEER, ConnectionLoss.RESET)
        self.liveness.closed(line.number, time.monotonic_ns(), by_peer)
        was_known = line in self.lines
        if was_known:
            self.desk.connection_ended(loss)
            if not self.closed:
                log.info("exchange connection lost", reason=loss.value, **self.facts(line))
        if was_known:
            self.lines.remove(line)
        for call in sorted(line.set_ups):
            self.desk.attempt_ended(call, it.Ending.CUT)
            # Guards circuits: the exchange may have taken the call as standing, with its answer lost here.
            line.released[call] = Clear.NORMAL
        line.set_ups.clear()
        if self.closed or not was_known:
            return
        for call, cause in line.released.items():
            self.release(call, cause)
        now = time.monotonic_ns()
        if not self.lines:
            self.lost_at_ns = now
        if len(self.lines) >= LINES_KEPT:
            return  # one more than are kept, closed by us
        if now - self.connected_at_ns > REDIAL_MOST_NS:
            self.redial_gap_ns = REDIAL_FIRST_NS
            self.dial()
        else:  # one that takes connections only to drop them is not dialled without pause
            self.dial_later()

    def state_came(self, line: ExchangeLine, report: it.Report | None) -> None:
        """Every line is told each state: one that does not get what another has got is mute.

        The module hears it once. A second copy would undo what it has counted off for set-ups sent since.
        """
        line.behind_ns = 0
        if report is not None and report.free_circuits is not None and report.group_size:
            state = GroupState(report.free_circuits, report.group_size)
            self.liveness.state_told(line.number, state, line.heard_ns)
        for other in self.lines:
            if other is not line:
                other.behind_ns = 0 if other.state == line.state else other.behind_ns or line.heard_ns
        if line.state != self.told_state:
            self.told_state = line.state
            self.desk.group_state(self.exchange, report)

    def sweep(self, now_ns: int) -> None:
        """Replace what is mute or has long been quiet; its calls would wait, and their releases be lost."""
        was_late, self.was_late = self.was_late, now_ns - self.swept_ns > MUTE_NS
        self.swept_ns = now_ns
        if self.closed or (self.was_late and not was_late):
            return  # we stood still ourselves, and what has come is read before the next sweep
        if expired := self.liveness.take_expired(now_ns):
            self.desk.leases_expired(self, expired)
        mute = [line for line in self.lines if line.is_mute(now_ns)]
        self.log_silence(now_ns, len(mute))
        for line in mute:
            # All mute, the machine may be cut off: closing proves nothing. One that alone leads to a process
            # with standing calls may show, once it speaks again, that this process lives.
            is_needed = not line.set_ups and self.liveness.is_witness(line.number)
            if len(mute) < len(self.lines) and not is_needed:
                line.abort_as(ConnectionLoss.MUTE)
        quiet = now_ns - max(self.heard_ns, self.vouched_ns) > QUIET_NS
        spare = [
            line for line in self.lines if not line.set_ups and not self.liveness.is_witness(line.number)
        ]
        if self.lines and (quiet or len(mute) == len(self.lines)) and self.redial is None:
            self.dial()
        elif len(self.lines) > LINES_KEPT and spare:
            spare[0].close()

    def set_up(self, order: SetUpOrder) -> None:
        if self.closed or not self.serving:
            self.desk.attempt_ended(order.call, it.Ending.NOT_SENT)
        elif lines := self.usable():
            self.send(order, min(lines, key=lambda line: len(line.set_ups)))
        elif len(self.queue) >= self.bounds.records:
            self.desk.attempt_ended(order.call, it.Ending.NOT_SENT)
        else:
            self.queue[order.call] = order
            self.dial()

    def send(self, order: SetUpOrder, line: ExchangeLine) -> None:
        # Guards against a set-up that waited here and leaves after its caller's time.
        now = time.monotonic_ns()
        left_ms = (order.abandon_at_ns - now) // MS
        if left_ms <= 0:
            self.desk.attempt_ended(order.call, it.Ending.NOT_SENT)
            return
        # Guards the call that stands next: a release of its last attempt must not be sent again after this.
        self.kept.pop(order.call, None)
        for other in self.lines:
            other.released.pop(order.call, None)
        line.set_ups.add(order.call)
        line.asked_ns = line.asked_ns or now
        parameters: dict[int, bytes | str] = {
            Code.CLASS: order.class_name,
            Code.PATIENCE: str(left_ms),
            Code.NUMBER: order.number_called,
            Code.DESCRIPTION: order.description,
        }
        if line.write(encode(Kind.SET_UP, order.call, parameters)):
            self.desk.set_up_left()

    def flush_queue(self) -> None:
        queue, self.queue = self.queue, {}
        for order in queue.values():
            self.set_up(order)

    def give_up(self, call: str) -> bool:
        """Give a set-up up; whether it had left, so that it may have run."""
        if self.queue.pop(call, None) is not None:
            return False
        for line in self.lines:
            if call in line.set_ups:
                line.set_ups.discard(call)
                self.release(call, Clear.NORMAL, line)  # there, where it can't overtake the set-up
        return True

    def release(self, call: str, cause: int, line: ExchangeLine | None = None) -> None:
        """Release a call there; kept until a connection exists."""
        line = line or next(iter(self.usable()), None)
        message = encode(Kind.RELEASE, call, {Code.CAUSE: bytes((cause,))})
        if line is not None and line.write(message):
            if len(line.released) < self.bounds.records:
                line.released[call] = cause
        elif len(self.kept) < self.bounds.records:
            self.kept[call] = cause
            self.dial()

    def set_serving(self, serving: bool) -> None:
        self.serving = serving
        if not serving:
            # Guards the drain rule: what waits for a connection must not leave once we have been told.
            self.flush_queue()

    def close(self) -> None:
        """The exchange is gone: its set-ups end, and nothing more is dialled."""
        self.shut()
        self.flush_queue()
        for line in list(self.lines):
            line.abort_as(ConnectionLoss.CLOSED_BY_US)

    def shut(self) -> None:
        """The end of the program: what has been written still leaves."""
        self.closed = True
        if self.redial is not None:
            self.redial.cancel()
        if self.dialling is not None:
            self.dialling.cancel()
        for line in list(self.lines):
            line.close()
