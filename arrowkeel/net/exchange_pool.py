"""The connections to one exchange.

A pool dials, replaces and closes connections within fixed bounds, distributes set-ups and releases over them,
queues what no connection can carry yet, and reports to the controller what the exchange answers. It also
tracks whether the process that holds the standing calls is still alive.
"""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import Protocol

import structlog

from arrowkeel import interface as it
from arrowkeel.group_state_order import GroupStateOrder
from arrowkeel.liveness import ExchangeLiveness, GroupState
from arrowkeel.net.codec import ReleaseCause
from arrowkeel.net.config import MS, Address, Config
from arrowkeel.net.connection import RateLimitedLog
from arrowkeel.net.exchange_connection import RESPONSE_TIMEOUT_NS, ExchangeConnection, SetUpRequest
from arrowkeel.net.metrics import ConnectionLoss
from arrowkeel.release_delivery import Clearance, ReleaseDelivery

# The delay between dials to an exchange that accepts no connection or drops it at once: the first delay, and
# the maximum that it doubles up to.
INITIAL_RECONNECT_DELAY_NS, MAX_RECONNECT_DELAY_NS = 50 * MS, 1000 * MS
# The maximum delay while the exchange holds standing calls, because their lease is running out.
MAX_RECONNECT_DELAY_WITH_CALLS_NS = 250 * MS
# If a dial is refused later than this after the last connection was lost, the process and its calls are gone.
PROCESS_DEAD_AFTER_NS = 2000 * MS
CONNECTIONS_PER_EXCHANGE = 2  # the number that is kept open
MAX_CONNECTIONS_PER_EXCHANGE = 4  # including the ones that are to replace another
# An exchange is logged as silent if no connection has received anything for this long while one is
# unresponsive.
SILENCE_WARNING_NS = 1000 * MS
# An exchange is dialled if no connection has received anything for this long: on a new connection it reports
# the group state and the releases that were missed.
MAX_IDLE_NS = 3000 * MS
SPARE_MIN_AGE_NS = 300 * MS  # of the newest connection, so that the releases repeated on it have arrived
FINISH_TIMEOUT_NS = 1000 * MS  # for the exchange to close a spare connection after this side has
log = structlog.get_logger()


class DialFailure(Enum):
    """Why a dial did not result in an open connection."""

    TIMED_OUT = "timed out"
    REFUSED = "refused"
    RESET = "reset"  # the exchange, or the network, reset the connection as it came up
    UNREACHABLE = "unreachable"
    ENDED = "ended at once"


class ExchangeHandler(Protocol):
    """What the controller does with the events of an exchange, whatever protocol its connections speak.

    `released_by_exchange` also covers calls from before the start of this process. `exchange_process_died`
    means that all connections were lost and dials are refused. `leases_expired` names the standing calls for
    whose process there is no recent evidence of life, `releases_lost` those that may have ended although
    their release has not arrived.
    """

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
    def releases_lost(self, pool: ExchangePool, calls: list[str]) -> None: ...
    def suspicion_cleared(self, clearance: Clearance) -> None: ...


class ExchangePool:
    """The connections to one exchange, identified by its id: its address may later belong to another one.

    Its calls are spread over two connections, so that a fault of one leaves the other, and so that each shows
    whether the other is unresponsive.
    """

    def __init__(self, exchange: str, address: Address, handler: ExchangeHandler, config: Config) -> None:
        self.exchange, self.address, self.handler = exchange, address, handler
        self.report_names, self.dial_timeout_ns, self.bounds = (
            config.report_names,
            config.dial_timeout_ns,
            config.bounds,
        )
        self.is_serving = True
        self.is_closed = False
        self.connections: list[ExchangeConnection] = []  # the open ones, oldest first
        self.dial_task: asyncio.Task[None] | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.reconnect_delay_ns = INITIAL_RECONNECT_DELAY_NS
        self.connected_at_ns = 0  # when the latest connection was established
        self.lost_at_ns = 0  # when the last of the connections was lost, until the next is open; else 0
        self.last_sweep_at_ns = 0
        self.was_sweep_late = False  # the latest sweep came long after the one before it
        self.last_received_at_ns = 0  # on any connection; 0 before the first message
        # When a refused dial last showed that the process behind the open connections is alive.
        self.refusal_evidence_at_ns = 0
        self.is_silent = False  # as last logged
        self.rate_limited_log = RateLimitedLog()
        self.liveness = ExchangeLiveness(config.settings.is_mesh)
        self.release_delivery = ReleaseDelivery(config.settings.is_mesh, time.monotonic_ns())
        self.group_state_order = GroupStateOrder()
        self.queued_set_ups: dict[str, SetUpRequest] = {}  # by call id; for the next connection
        self.waiting_releases: dict[str, int] = {}  # call id -> cause; for the next connection

    @property
    def is_open(self) -> bool:
        """Whether any connection is open."""
        return any(connection.is_open for connection in self.connections)

    def usable_connections(self) -> list[ExchangeConnection]:
        """The connections that are open and not unresponsive."""
        now_ns = time.monotonic_ns()
        return [each for each in self.connections if each.is_open and not each.is_unresponsive(now_ns)]

    # Dials

    def dial(self) -> None:
        """Starts a dial at once, unless the pool is closed, already dials or is at its maximum size."""
        if (
            self.is_closed
            or self.dial_task is not None
            or len(self.connections) >= MAX_CONNECTIONS_PER_EXCHANGE
        ):
            return
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        until_ns = time.monotonic_ns() + self.dial_timeout_ns
        self.dial_task = asyncio.get_running_loop().create_task(self.connect(until_ns))

    def schedule_reconnect(self) -> None:
        """Schedules the next dial after the current delay, and doubles the delay."""
        if self.is_closed or self.reconnect_timer is not None:
            return
        max_delay_ns = (
            MAX_RECONNECT_DELAY_WITH_CALLS_NS
            if self.liveness.has_standing_calls()
            else MAX_RECONNECT_DELAY_NS
        )
        delay_ns = min(self.reconnect_delay_ns, max_delay_ns)
        self.reconnect_delay_ns = min(2 * self.reconnect_delay_ns, MAX_RECONNECT_DELAY_NS)
        self.reconnect_timer = asyncio.get_running_loop().call_later(delay_ns / 1e9, self.dial)

    async def connect(self, until_ns: int) -> None:
        """Dials once; gives up at `until_ns` on the monotonic clock."""
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
        except ConnectionError:
            failure = DialFailure.RESET
            self.release_delivery.connection_reset_while_new(connection.number, time.monotonic_ns())
        except OSError:
            failure = DialFailure.UNREACHABLE
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            self.dial_task = None
        if self.is_closed:
            connection.abort()
        elif failure is None and connection.is_open:
            self.handle_dial_success(connection)
        else:
            self.handle_dial_failure(failure or DialFailure.ENDED)

    def handle_dial_success(self, connection: ExchangeConnection) -> None:
        """Adds the connection to the pool and sends what has been waiting for one."""
        self.connections.append(connection)
        log.info("exchange connected", **self.log_fields(connection))
        self.lost_at_ns, self.connected_at_ns = 0, time.monotonic_ns()
        waiting, self.waiting_releases = self.waiting_releases, {}
        for call, cause in waiting.items():
            self.release(call, cause, connection)
        self.resubmit_queued_set_ups()
        self.handler.exchange_connected(self)
        if len(self.connections) < CONNECTIONS_PER_EXCHANGE:
            self.dial()

    def handle_dial_failure(self, failure: DialFailure) -> None:
        """Ends the queued set-ups, none of which was sent, and schedules the next dial."""
        self.log_dial_failure(failure)
        self.handler.dial_failed()
        queued, self.queued_set_ups = self.queued_set_ups, {}
        for call in queued:
            self.handler.attempt_ended(call, it.Ending.NO_CONNECTION)
        now_ns = time.monotonic_ns()
        if failure is DialFailure.TIMED_OUT:
            self.liveness.record_dial_timeout()
        if failure in (DialFailure.TIMED_OUT, DialFailure.UNREACHABLE):
            self.release_delivery.exchange_unreachable(now_ns)
        if failure is DialFailure.REFUSED and self.record_refusal(now_ns):
            # The exchange is idle, not lost: the next dial is due if it still is after MAX_IDLE_NS.
            self.refusal_evidence_at_ns = now_ns
            return
        if (
            failure is DialFailure.REFUSED
            and self.lost_at_ns
            and now_ns - self.lost_at_ns > PROCESS_DEAD_AFTER_NS
        ):
            # The process has died, so the exchange will never release its calls: the controller has to.
            self.lost_at_ns = 0
            self.handler.exchange_process_died(self)
        self.schedule_reconnect()

    def record_refusal(self, now_ns: int) -> bool:
        """Whether a refused dial is evidence that the process behind an open connection is alive."""
        return self.liveness.record_refused_dial([each.number for each in self.usable_connections()], now_ns)

    # Events of connections

    def connection_opened(self, connection: ExchangeConnection) -> None:
        """Starts a lease for the process behind a new connection."""
        now_ns = time.monotonic_ns()
        self.group_state_order.connection_opened(connection.number)
        self.liveness.add_connection(connection.number, now_ns)
        self.release_delivery.connection_opened(connection.number, now_ns)

    def connection_lost(self, connection: ExchangeConnection, loss: ConnectionLoss) -> None:
        """Ends the set-ups that are open on the connection, and sends the releases again that may be lost.

        The set-ups may have reached the exchange. The connection is replaced.
        """
        now_ns = time.monotonic_ns()
        self.group_state_order.connection_lost(connection.number)
        # Malformed data shows as well as an end that the process was alive a moment ago.
        was_just_alive = loss.is_by_peer or loss is ConnectionLoss.MALFORMED
        self.liveness.remove_connection(connection.number, now_ns, was_just_alive)
        standing_calls = self.release_delivery.connection_lost(
            connection.number,
            connection.last_received_at_ns,
            now_ns,
            connection.was_read_to_end,
            closed_with_output_since_ns=0 if loss.is_by_peer else connection.unacknowledged_since_ns,
        )
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self.handler.exchange_connection_lost(loss)
        if not self.is_closed:
            log.info(
                "exchange connection lost",
                reason=loss.value,
                standing_calls=standing_calls,
                **self.log_fields(connection),
            )
        lost_releases = {call: release.cause for call, release in connection.unconfirmed_releases.items()}
        for call in sorted(connection.open_set_ups):
            self.handler.attempt_ended(call, it.Ending.INTERRUPTED)
            # The call may be standing at the exchange, its answer lost: the release frees its circuits.
            lost_releases[call] = ReleaseCause.NORMAL
        connection.open_set_ups.clear()
        if self.is_closed:
            return
        for call, cause in lost_releases.items():
            self.release(call, cause)
        if not self.connections:
            self.lost_at_ns = now_ns
        if len(self.connections) < CONNECTIONS_PER_EXCHANGE:
            self.replace_lost_connection(now_ns)

    def replace_lost_connection(self, now_ns: int) -> None:
        """Dials at once, or after a delay if a connection was established only a short time ago.

        An exchange that accepts connections and drops them at once is thus not dialled without pause.
        """
        if now_ns - self.connected_at_ns > MAX_RECONNECT_DELAY_NS:
            self.reconnect_delay_ns = INITIAL_RECONNECT_DELAY_NS
            self.dial()
        else:
            self.schedule_reconnect()

    def message_received(self, connection: ExchangeConnection) -> None:
        """Takes a received message as evidence that the process is alive and the exchange not silent."""
        self.liveness.record_evidence(connection.number, connection.last_received_at_ns)
        self.release_delivery.message_received(connection.number, connection.last_received_at_ns)
        if self.is_silent:
            self.is_silent = False
            log.info("exchange no longer silent", silent_ms=self.silent_ms(), **self.log_fields(connection))
        self.last_received_at_ns = connection.last_received_at_ns

    def call_answered(self, connection: ExchangeConnection, call: str, description: bytes) -> None:
        """Passes an answer on to the controller."""
        self.handler.call_established(self, connection, call, description)

    def record_standing_call(self, connection: ExchangeConnection, call: str, circuits: int) -> None:
        """Records that a call is standing at the process behind this connection, under its lease."""
        self.liveness.add_call(connection.number, call, circuits)
        self.release_delivery.add_call(connection.number, call, circuits, time.monotonic_ns())

    def remove_standing_call(self, call: str) -> None:
        """Removes a standing call that is over."""
        self.liveness.remove_call(call)
        self.release_delivery.remove_call(call)

    def attempt_ended(
        self, call: str, ending: it.Ending, cause: it.FailureCause, wait_ns: int, report: it.LoadReport | None
    ) -> None:
        """Passes the end of an attempt on to the controller."""
        self.handler.attempt_ended(call, ending, cause, wait_ns, report)

    def call_released(
        self, connection: ExchangeConnection, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        """Passes a release on to the controller; a normal one also shows which process held the call."""
        if cause == ReleaseCause.NORMAL:
            self.liveness.record_normal_end(connection.number, call)
        self.handler.released_by_exchange(self, call, cause, report)

    def group_state_received(self, connection: ExchangeConnection, report: it.LoadReport | None) -> None:
        """Updates what is known of the process and its connections, and passes a new state on.

        The exchange reports each state on every connection: one that lacks what another has received becomes
        unresponsive. The controller receives each state once: a second copy would undo the circuits that the
        policy has subtracted for set-ups since.
        """
        if report is not None and report.free_circuits is not None and report.group_size:
            state = GroupState(report.free_circuits, report.group_size)
            self.liveness.record_group_state(connection.number, state, connection.last_received_at_ns)
            self.release_delivery.record_group_state(state, connection.last_received_at_ns)
        connection.state_missing_since_ns = 0
        for other in self.connections:
            if other.raw_group_state == connection.raw_group_state:
                other.state_missing_since_ns = 0
            elif other is not connection:
                other.state_missing_since_ns = other.state_missing_since_ns or connection.last_received_at_ns
        if self.group_state_order.record(connection.number, connection.raw_group_state):
            self.handler.group_state_reported(self.exchange, report)

    # Periodic checks

    def sweep(self, now_ns: int) -> None:
        """Expires leases, and replaces connections that are unresponsive or have been idle for long.

        Calls on such a connection would wait in vain, and releases on it would be lost.
        """
        was_sweep_late, self.was_sweep_late = (
            self.was_sweep_late,
            now_ns - self.last_sweep_at_ns > RESPONSE_TIMEOUT_NS,
        )
        self.last_sweep_at_ns = now_ns
        if self.is_closed or (self.was_sweep_late and not was_sweep_late):
            return  # this process was stalled: what arrived meanwhile is read before the next sweep
        if expired := self.liveness.remove_expired_calls(now_ns):
            self.handler.leases_expired(self, expired)
        if lost := self.release_delivery.remove_lost_calls(now_ns):
            self.handler.releases_lost(self, lost)
        unresponsive = [each for each in self.connections if each.is_unresponsive(now_ns)]
        are_all_unresponsive = len(unresponsive) == len(self.connections)
        self.log_silence(now_ns, len(unresponsive))
        if not are_all_unresponsive:  # otherwise the machine may be cut off, and closing shows nothing
            self.close_unresponsive(unresponsive)
        elif unresponsive:
            self.release_delivery.exchange_unreachable(now_ns)
        is_idle = (
            now_ns - max(self.last_received_at_ns, self.refusal_evidence_at_ns, self.connected_at_ns)
            > MAX_IDLE_NS
        )
        needs_connection = is_idle or are_all_unresponsive or self.needs_repeated_releases(now_ns)
        has_room = 0 < len(self.connections) < MAX_CONNECTIONS_PER_EXCHANGE
        if needs_connection and has_room and self.reconnect_timer is None:
            self.dial()
        elif sum(each.is_open for each in self.connections) > CONNECTIONS_PER_EXCHANGE:
            self.close_spare_connection(now_ns)
        self.abort_unfinished(now_ns)
        self.report_cleared()

    def report_cleared(self) -> None:
        """Logs and counts the calls whose release is known not to be lost."""
        for cleared in self.release_delivery.take_cleared():
            self.handler.suspicion_cleared(cleared.clearance)
            log.info(
                "no release was lost",
                exchange=self.exchange,
                clearance=cleared.clearance.value,
                calls=cleared.calls,
                suspected_for_ms=cleared.suspected_for_ns // MS,
            )

    def needs_repeated_releases(self, now_ns: int) -> bool:
        """Whether a new connection is due so that the exchange repeats releases that may be lost on it."""
        was_refused_lately = now_ns - self.refusal_evidence_at_ns < MAX_RECONNECT_DELAY_NS
        return not was_refused_lately and self.release_delivery.needs_connection(now_ns)

    def abort_unfinished(self, now_ns: int) -> None:
        """Aborts the spare connections that the exchange has not closed in time."""
        for connection in list(self.connections):
            since_ns = connection.finishing_since_ns
            if since_ns and now_ns - since_ns > FINISH_TIMEOUT_NS:
                connection.abort_as(ConnectionLoss.CLOSED_BY_US)

    def close_unresponsive(self, unresponsive: list[ExchangeConnection]) -> None:
        """Closes unresponsive connections, except for those that may still bring evidence of life.

        The only connection to a process with standing calls is kept while no set-up is open on it: if data is
        received on it after all, that process is alive.
        """
        for connection in unresponsive:
            if connection.open_set_ups or not self.liveness.must_keep_open(connection.number):
                connection.abort_as(ConnectionLoss.UNRESPONSIVE)

    def close_spare_connection(self, now_ns: int) -> None:
        """Closes one connection more than is kept, if one is unused and is not needed as evidence.

        The newest goes first: hardly any call stands on it, so that hardly any release can cross its end.
        """
        if now_ns - self.connected_at_ns < SPARE_MIN_AGE_NS:
            return
        unused = [each for each in reversed(self.connections) if each.is_open and not each.open_set_ups]
        spare = next((each for each in unused if not self.liveness.must_keep_open(each.number)), None)
        if spare is not None:
            spare.finish()

    # Set-ups and releases

    def set_up(self, request: SetUpRequest) -> None:
        """Sends a set-up on the connection with the fewest open ones, or queues it for the next connection.

        The attempt ends as not sent if the exchange does not serve or the queue is full.
        """
        if self.is_closed or not self.is_serving:
            self.handler.attempt_ended(request.call, it.Ending.NOT_SENT)
        elif connections := self.usable_connections():
            lasting = connections[:CONNECTIONS_PER_EXCHANGE]  # the newer ones are closed again as spare ones
            self.send_request(request, min(lasting, key=lambda each: len(each.open_set_ups)))
        elif len(self.queued_set_ups) >= self.bounds.max_table_entries:
            self.handler.attempt_ended(request.call, it.Ending.NOT_SENT)
        else:
            self.queued_set_ups[request.call] = request
            self.dial()

    def send_request(self, request: SetUpRequest, connection: ExchangeConnection) -> None:
        """Sends a set-up on this connection, unless it is too late for it."""
        # A set-up that was queued here must not be sent after its caller has stopped waiting.
        now_ns = time.monotonic_ns()
        if request.abandon_at_ns - now_ns < MS or now_ns > request.send_by_ns:
            self.handler.attempt_ended(request.call, it.Ending.NOT_SENT)
            return
        # A release of an earlier attempt must not be sent again after this set-up: it would end this call.
        self.waiting_releases.pop(request.call, None)
        for other in self.connections:
            other.unconfirmed_releases.pop(request.call, None)
        if connection.send_set_up(request, now_ns):
            self.handler.set_up_sent()

    def resubmit_queued_set_ups(self) -> None:
        """Sends the queued set-ups, or ends them if the exchange does not serve any more."""
        queued, self.queued_set_ups = self.queued_set_ups, {}
        for request in queued.values():
            self.set_up(request)

    def cancel_set_up(self, call: str) -> bool:
        """Cancels a set-up; returns whether it had been sent and may have reached the exchange."""
        if self.queued_set_ups.pop(call, None) is not None:
            return False
        for connection in self.connections:
            if call in connection.open_set_ups:
                connection.open_set_ups.discard(call)
                # On the same connection, where the release can't overtake the set-up.
                self.release(call, ReleaseCause.NORMAL, connection)
        return True

    def release(self, call: str, cause: int, connection: ExchangeConnection | None = None) -> None:
        """Releases a call at the exchange, on that connection or any.

        It waits until there is one, or is dropped if too many are waiting.
        """
        connection = connection or next(iter(self.usable_connections()), None)
        if connection is not None and connection.send_release(call, cause, self.bounds.max_table_entries):
            return
        if len(self.waiting_releases) < self.bounds.max_table_entries:
            self.waiting_releases[call] = cause
            self.dial()

    def set_serving(self, serving: bool) -> None:
        """Sets whether the exchange takes set-ups; queued ones end as not sent if it does not."""
        self.is_serving = serving
        if not serving:
            # No set-up may be sent to an exchange that is known to drain, so the queued ones end now.
            self.resubmit_queued_set_ups()

    # Closing

    def close(self) -> None:
        """Ends all set-ups, connections and dials at once, because the exchange is gone."""
        self.close_gracefully()
        self.resubmit_queued_set_ups()
        for connection in list(self.connections):
            connection.abort_as(ConnectionLoss.CLOSED_BY_US)

    def close_gracefully(self) -> None:
        """Stops dials and closes the connections once their output has been sent, as the program ends."""
        self.is_closed = True
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
        if self.dial_task is not None:
            self.dial_task.cancel()
        for connection in list(self.connections):
            connection.close()

    # Logs

    def log_fields(self, connection: ExchangeConnection) -> dict[str, object]:
        """The log fields that describe one connection."""
        return {
            "exchange": self.exchange,
            "connection": connection.number,
            "connections": len(self.connections),
            "set_ups": len(connection.open_set_ups),
            "heard_ms_ago": (time.monotonic_ns() - connection.last_received_at_ns) // MS,
        }

    def silent_ms(self) -> int:
        """Milliseconds since a message was last received on any connection; -1 if there was none yet."""
        return (time.monotonic_ns() - self.last_received_at_ns) // MS if self.last_received_at_ns else -1

    def log_dial_failure(self, failure: DialFailure) -> None:
        """Logs a failed dial, at most once per interval."""
        self.rate_limited_log.info(
            "dial to exchange failed",
            exchange=self.exchange,
            reason=failure.value,
            waiting=len(self.queued_set_ups),
            silent_ms=self.silent_ms(),
        )

    def log_silence(self, now_ns: int, unresponsive_count: int) -> None:
        """Logs once that an exchange has become silent; `message_received` logs when it no longer is.

        Without an unresponsive connection, that is once a dial after `MAX_IDLE_NS` should have had an effect.
        """
        silent_ns = (
            now_ns - max(self.last_received_at_ns, self.refusal_evidence_at_ns)
            if self.last_received_at_ns
            else 0
        )
        if self.is_silent or silent_ns <= (
            SILENCE_WARNING_NS if unresponsive_count else MAX_IDLE_NS + self.dial_timeout_ns
        ):
            return
        self.is_silent = True
        log.warning(
            "exchange silent",
            exchange=self.exchange,
            mute=unresponsive_count,
            connections=len(self.connections),
            silent_ms=self.silent_ms(),
        )
