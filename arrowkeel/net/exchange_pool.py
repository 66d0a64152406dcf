"""The connections to one exchange: a bounded pool, who carries what, and when one is dialled or replaced."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import Protocol

import structlog

from arrowkeel import interface as it
from arrowkeel.liveness import ExchangeLiveness, GroupState
from arrowkeel.net.codec import ReleaseCause
from arrowkeel.net.config import MS, Address, Config
from arrowkeel.net.connection import RateLimitedLog
from arrowkeel.net.exchange_connection import MUTE_NS, ExchangeConnection, SetUpRequest
from arrowkeel.net.metrics import ConnectionLoss

REDIAL_FIRST_NS, REDIAL_MOST_NS = 50 * MS, 1000 * MS  # between dials to an exchange that takes none
REDIAL_WATCHED_NS = 250 * MS  # the most while calls stand there: their lease runs
DEAD_AFTER_NS = 2000 * MS  # lost and then refused for so long: its process is gone, and its calls with it
CONNECTIONS_PER_EXCHANGE = 2  # to one exchange
MAX_CONNECTIONS_PER_EXCHANGE = 4  # with those that are to replace one
SILENT_NS = 1000 * MS  # nothing heard on any connection for so long while one is mute: logged as silent
QUIET_NS = 3000 * MS  # nothing heard at all: a new connection brings the state and the missed releases
log = structlog.get_logger()


class DialFailure(Enum):
    """Why a connection did not come up."""

    TIMED_OUT = "timed out"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    ENDED = "ended at once"


class ExchangeHandler(Protocol):
    """What the controller does for connections to exchanges, whatever protocol they speak."""

    def set_up_sent(self) -> None: ...
    def call_established(
        self, pool: ExchangePool, connection: ExchangeConnection, call: str, description: bytes
    ) -> None: ...
    def attempt_ended(
        self,
        call: str,
        ending: it.Ending,
        cause: it.FailureCause = it.FailureCause.UNSPECIFIED,
        wait_ns: int = 0,
        report: it.LoadReport | None = None,
    ) -> None: ...
    def released_by_exchange(
        self, pool: ExchangePool, call: str, cause: int, report: it.LoadReport | None
    ) -> None: ...
    def group_state_reported(self, exchange: str, report: it.LoadReport | None) -> None: ...
    def exchange_connected(self, pool: ExchangePool) -> None: ...
    def exchange_process_died(self, pool: ExchangePool) -> None: ...
    def dial_failed(self) -> None: ...
    def exchange_connection_lost(self, loss: ConnectionLoss) -> None: ...
    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None: ...


class ExchangePool:
    """The connections to one exchange, keyed by its id: an address may come to belong to another.

    Two carry its calls, so that what spoils one leaves the other, and each shows whether the other is mute.
    """

    def __init__(self, exchange: str, address: Address, handler: ExchangeHandler, config: Config) -> None:
        self.exchange, self.address, self.handler = exchange, address, handler
        self.report_names, self.dial_ns, self.bounds = (
            config.report_names,
            config.dial_timeout_ns,
            config.bounds,
        )
        self.serving = True
        self.closed = False
        self.connections: list[ExchangeConnection] = []  # the open ones, the first opened first
        self.dial_task: asyncio.Task[None] | None = None
        self.redial: asyncio.TimerHandle | None = None
        self.redial_gap_ns = REDIAL_FIRST_NS
        self.connected_at_ns = 0
        self.lost_at_ns = 0  # when the last connection was lost, until the next one is open
        self.swept_ns = 0
        self.was_late = False  # the latest sweep came long after the one before
        self.heard_ns = 0  # when anything was last heard, on any connection
        self.vouched_ns = 0  # when a refused dial last showed that the process behind open connections lives
        self.is_silent = False  # as the log was last told
        self.sparse_log = RateLimitedLog()
        self.liveness = ExchangeLiveness(config.settings.is_mesh)
        self.told_state: bytes | None = None  # the group's state as the decisions were last told
        self.queue: dict[str, SetUpRequest] = {}  # set-ups for the next connection
        self.waiting_releases: dict[str, int] = {}  # for the next connection, with their causes

    @property
    def is_open(self) -> bool:
        return any(connection.is_open for connection in self.connections)

    def usable(self) -> list[ExchangeConnection]:
        now = time.monotonic_ns()
        return [each for each in self.connections if each.is_open and not each.is_mute(now)]

    # Dials

    def dial(self) -> None:
        if self.closed or self.dial_task is not None or len(self.connections) >= MAX_CONNECTIONS_PER_EXCHANGE:
            return
        if self.redial is not None:
            self.redial.cancel()
            self.redial = None
        until_ns = time.monotonic_ns() + self.dial_ns
        self.dial_task = asyncio.get_running_loop().create_task(self.connect(until_ns))

    def dial_later(self) -> None:
        if self.closed or self.redial is not None:
            return
        most_ns = REDIAL_WATCHED_NS if self.liveness.has_calls() else REDIAL_MOST_NS
        gap_ns = min(self.redial_gap_ns, most_ns)
        self.redial_gap_ns = min(2 * self.redial_gap_ns, REDIAL_MOST_NS)
        self.redial = asyncio.get_running_loop().call_later(gap_ns / 1e9, self.dial)

    async def connect(self, until_ns: int) -> None:
        loop = asyncio.get_running_loop()
        connection = ExchangeConnection(self.exchange, self.bounds.max_unsent_bytes, self)
        failure: DialFailure | None = None
        try:
            async with asyncio.timeout_at(loop.time() + (until_ns - time.monotonic_ns()) / 1e9):
                await loop.create_connection(lambda: connection, self.address.host, self.address.port)
        except TimeoutError:
            failure = DialFailure.TIMED_OUT
        except ConnectionRefusedError:
            failure = DialFailure.REFUSED
        except OSError:
            failure = DialFailure.UNREACHABLE
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            self.dial_task = None
        if self.closed:
            connection.abort()
        elif failure is None and connection.is_open:
            self.connected(connection)
        else:
            self.not_connected(failure or DialFailure.ENDED)

    def connected(self, connection: ExchangeConnection) -> None:
        self.connections.append(connection)
        log.info("exchange connected", **self.facts(connection))
        self.lost_at_ns, self.connected_at_ns = 0, time.monotonic_ns()
        waiting, self.waiting_releases = self.waiting_releases, {}
        for call, cause in waiting.items():
            self.release(call, cause, connection)
        self.flush_queue()
        self.handler.exchange_connected(self)
        if len(self.connections) < CONNECTIONS_PER_EXCHANGE:
            self.dial()

    def not_connected(self, failure: DialFailure) -> None:
        """What waited for this connection never ran; the next dial waits a while."""
        self.log_dial_failure(failure)
        self.handler.dial_failed()
        queue, self.queue = self.queue, {}
        for call in queue:
            self.handler.attempt_ended(call, it.Ending.NO_CONNECTION)
        now = time.monotonic_ns()
        if failure is DialFailure.TIMED_OUT:
            self.liveness.dial_timed_out()
        if failure is DialFailure.REFUSED and self.refusal_vouches(now):
            self.vouched_ns = now  # quiet, not lost: the next dial is due when it still is
            return
        if failure is DialFailure.REFUSED and self.lost_at_ns and now - self.lost_at_ns > DEAD_AFTER_NS:
            # Guards against calls that nobody will release any more: their process has died.
            self.lost_at_ns = 0
            self.handler.exchange_process_died(self)
        self.dial_later()

    def refusal_vouches(self, now_ns: int) -> bool:
        return self.liveness.dial_refused([each.number for each in self.usable()], now_ns)

    # What connections tell

    def connection_opened(self, connection: ExchangeConnection) -> None:
        self.liveness.opened(connection.number, time.monotonic_ns())

    def connection_lost(self, connection: ExchangeConnection, loss: ConnectionLoss) -> None:
        """The set-ups open on it end with it, and may have run; the next one is dialled at once."""
        now = time.monotonic_ns()
        by_peer = loss in (ConnectionLoss.CLOSED_BY_PEER, ConnectionLoss.RESET)
        self.liveness.closed(connection.number, now, by_peer)
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self.handler.exchange_connection_lost(loss)
        if not self.closed:
            log.info("exchange connection lost", reason=loss.value, **self.facts(connection))
        lost = {call: release.cause for call, release in connection.releases.items()}
        for call in sorted(connection.set_ups):
            self.handler.attempt_ended(call, it.Ending.INTERRUPTED)
            # Guards circuits: the exchange may have taken the call as standing, with its answer lost here.
            lost[call] = ReleaseCause.NORMAL
        connection.set_ups.clear()
        if self.closed:
            return
        for call, cause in lost.items():
            self.release(call, cause)
        if not self.connections:
            self.lost_at_ns = now
        if len(self.connections) < CONNECTIONS_PER_EXCHANGE:
            self.replace_lost(now)

    def replace_lost(self, now_ns: int) -> None:
        """One that takes connections only to drop them is not dialled without pause."""
        if now_ns - self.connected_at_ns > REDIAL_MOST_NS:
            self.redial_gap_ns = REDIAL_FIRST_NS
            self.dial()
        else:
            self.dial_later()

    def connection_heard(self, connection: ExchangeConnection) -> None:
        self.liveness.heard(connection.number, connection.heard_ns)
        if self.is_silent:
            self.is_silent = False
            log.info("exchange heard again", silent_ms=self.silent_ms(), **self.facts(connection))
        self.heard_ns = connection.heard_ns

    def answered(self, connection: ExchangeConnection, call: str, description: bytes) -> None:
        self.handler.call_established(self, connection, call, description)

    def record_standing_call(self, connection: ExchangeConnection, call: str, circuits: int) -> None:
        """A call stands from now on, at the process behind this connection."""
        self.liveness.established(connection.number, call, circuits)

    def attempt_ended(
        self, call: str, ending: it.Ending, cause: it.FailureCause, wait_ns: int, report: it.LoadReport | None
    ) -> None:
        self.handler.attempt_ended(call, ending, cause, wait_ns, report)

    def released(
        self, connection: ExchangeConnection, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        if cause == ReleaseCause.NORMAL:
            self.liveness.completed(connection.number, call)
        self.handler.released_by_exchange(self, call, cause, report)

    def state_told(self, connection: ExchangeConnection, report: it.LoadReport | None) -> None:
        """Every connection is told each state: one that does not get what another has got is mute.

        The decisions hear it once: a second copy would undo what they have counted off for set-ups since.
        """
        if report is not None and report.free_circuits is not None and report.group_size:
            state = GroupState(report.free_circuits, report.group_size)
            self.liveness.state_told(connection.number, state, connection.heard_ns)
        connection.behind_ns = 0
        for other in self.connections:
            if other.state == connection.state:
                other.behind_ns = 0
            elif other is not connection:
                other.behind_ns = other.behind_ns or connection.heard_ns
        if connection.state != self.told_state:
            self.told_state = connection.state
            self.handler.group_state_reported(self.exchange, report)

    # Now and then

    def sweep(self, now_ns: int) -> None:
        """Replace what is mute or has long been quiet; its calls would wait, and their releases be lost."""
        was_late, self.was_late = self.was_late, now_ns - self.swept_ns > MUTE_NS
        self.swept_ns = now_ns
        if self.closed or (self.was_late and not was_late):
            return  # we stood still ourselves, and what has come is read before the next sweep
        if expired := self.liveness.take_expired(now_ns):
            self.handler.leases_expired(self, expired)
        mute = [each for each in self.connections if each.is_mute(now_ns)]
        all_mute = len(mute) == len(self.connections)
        self.log_silence(now_ns, len(mute))
        if not all_mute:  # else the machine may be cut off: closing proves nothing
            self.close_mute(mute)
        quiet = now_ns - max(self.heard_ns, self.vouched_ns, self.connected_at_ns) > QUIET_NS
        if self.connections and (quiet or all_mute) and self.redial is None:
            self.dial()
        elif len(self.connections) > CONNECTIONS_PER_EXCHANGE:
            self.close_spare()

    def close_mute(self, mute: list[ExchangeConnection]) -> None:
        """One that alone leads to a process with standing calls is kept: if it speaks, that process lives."""
        for connection in mute:
            if connection.set_ups or not self.liveness.is_witness(connection.number):
                connection.abort_as(ConnectionLoss.UNRESPONSIVE)

    def close_spare(self) -> None:
        unused = [each for each in self.connections if not each.set_ups]
        spare = next((each for each in unused if not self.liveness.is_witness(each.number)), None)
        if spare is not None:
            spare.close()

    # Set-ups and releases

    def set_up(self, request: SetUpRequest) -> None:
        """Send a set-up on the least used connection, or once one comes up, while the exchange serves."""
        if self.closed or not self.serving:
            self.handler.attempt_ended(request.call, it.Ending.NOT_SENT)
        elif connections := self.usable():
            self.send(request, min(connections, key=lambda each: len(each.set_ups)))
        elif len(self.queue) >= self.bounds.max_table_entries:
            self.handler.attempt_ended(request.call, it.Ending.NOT_SENT)
        else:
            self.queue[request.call] = request
            self.dial()

    def send(self, request: SetUpRequest, connection: ExchangeConnection) -> None:
        # Guards against a set-up that waited here and leaves after its caller's time.
        now = time.monotonic_ns()
        if request.abandon_at_ns - now < MS:
            self.handler.attempt_ended(request.call, it.Ending.NOT_SENT)
            return
        # Guards the call that stands next: a release of its last attempt must not be sent again after this.
        self.waiting_releases.pop(request.call, None)
        for other in self.connections:
            other.releases.pop(request.call, None)
        if connection.set_up(request, now):
            self.handler.set_up_sent()

    def flush_queue(self) -> None:
        queue, self.queue = self.queue, {}
        for request in queue.values():
            self.set_up(request)

    def cancel_set_up(self, call: str) -> bool:
        """Give a set-up up; whether it had left, so that it may have run."""
        if self.queue.pop(call, None) is not None:
            return False
        for connection in self.connections:
            if call in connection.set_ups:
                connection.set_ups.discard(call)
                # There, where it can't overtake the set-up.
                self.release(call, ReleaseCause.NORMAL, connection)
        return True

    def release(self, call: str, cause: int, connection: ExchangeConnection | None = None) -> None:
        """Release a call there, on that connection or any; it waits until one exists."""
        connection = connection or next(iter(self.usable()), None)
        if connection is not None and connection.release(call, cause, self.bounds.max_table_entries):
            return
        if len(self.waiting_releases) < self.bounds.max_table_entries:
            self.waiting_releases[call] = cause
            self.dial()

    def set_serving(self, serving: bool) -> None:
        self.serving = serving
        if not serving:
            # Guards the drain rule: what waits for a connection must not leave once we have been told.
            self.flush_queue()

    # The end

    def close(self) -> None:
        """The exchange is gone: its set-ups end, and nothing more is dialled."""
        self.close_gracefully()
        self.flush_queue()
        for connection in list(self.connections):
            connection.abort_as(ConnectionLoss.CLOSED_BY_US)

    def close_gracefully(self) -> None:
        """The end of the program: what has been written still leaves."""
        self.closed = True
        if self.redial is not None:
            self.redial.cancel()
        if self.dial_task is not None:
            self.dial_task.cancel()
        for connection in list(self.connections):
            connection.close()

    # Logs

    def facts(self, connection: ExchangeConnection) -> dict[str, object]:
        """What the log says of one connection."""
        return {
            "exchange": self.exchange,
            "connection": connection.number,
            "connections": len(self.connections),
            "set_ups": len(connection.set_ups),
            "heard_ms_ago": (time.monotonic_ns() - connection.heard_ns) // MS,
        }

    def silent_ms(self) -> int:
        """How long nothing has been heard from this exchange on any connection, in milliseconds."""
        return (time.monotonic_ns() - self.heard_ns) // MS if self.heard_ns else -1

    def log_dial_failure(self, failure: DialFailure) -> None:
        self.sparse_log.info(
            "dial to exchange failed",
            exchange=self.exchange,
            reason=failure.value,
            waiting=len(self.queue),
            silent_ms=self.silent_ms(),
        )

    def log_silence(self, now_ns: int, mute: int) -> None:
        """One entry when an exchange falls silent; `connection_heard` writes the one when it is back."""
        silent_ns = now_ns - max(self.heard_ns, self.vouched_ns) if self.heard_ns else 0
        if self.is_silent or silent_ns <= (SILENT_NS if mute else QUIET_NS + self.dial_ns):
            return
        self.is_silent = True
        log.warning(
            "exchange silent",
            exchange=self.exchange,
            mute=mute,
            connections=len(self.connections),
            silent_ms=self.silent_ms(),
        )
