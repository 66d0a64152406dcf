"""The table of connections from callers.

It bounds their number, closes them in standby and at the end of the process, and decides which of them
carries the release of an answered call.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable

import structlog

from arrowkeel.departure import ConnectionUse, DrainPlan
from arrowkeel.net.callers import CallerConnection
from arrowkeel.net.config import MS, Bounds
from arrowkeel.net.connection import log as limited_log
from arrowkeel.net.metrics import Metrics
from arrowkeel.pending_releases import ConnectionEnd, PendingRelease, PendingReleases, SettledReason

# Added to the last-received time of a connection with an incomplete message when one is to be closed to make
# room: it is worth more than one that has sent nothing.
INCOMPLETE_MESSAGE_CREDIT_NS = 500 * MS
MAX_LOGGED_CALLS = 8  # call identifiers in one log entry
log = structlog.get_logger()


class CallerConnections:
    """Every connection from callers that is not lost yet, and the releases that wait for one."""

    def __init__(self, bounds: Bounds, metrics: Metrics) -> None:
        self.connections: dict[CallerConnection, None] = {}
        self.drain_plan: DrainPlan | None = None  # set while connections are to be closed
        self.bounds, self.metrics = bounds, metrics
        self.pending = PendingReleases(
            bounds.max_pending_release_bytes, bounds.max_pending_release_bytes_per_connection
        )

    def apply_bounds(self, bounds: Bounds) -> None:
        """Applies the bounds of a new configuration."""
        self.bounds = bounds
        self.pending.set_limits(
            bounds.max_pending_release_bytes, bounds.max_pending_release_bytes_per_connection
        )

    def add(self, connection: CallerConnection) -> None:
        """Adds a new connection; at the limit an idle one is closed for it, or else the new one itself."""
        if len(self.connections) >= self.bounds.max_caller_connections and not self.close_idle_connection():
            limited_log.warning(
                "caller connection limit reached and none is idle, new connection closed",
                open=len(self.connections),
            )
            connection.abort()
            return
        self.connections[connection] = None

    def remove(self, connection: CallerConnection) -> None:
        """Removes a lost connection; releases that may be unread on it are sent again on another one."""
        self.connections.pop(connection, None)
        self.repeat_unread(connection, connection.end)

    def close_connection(self, connection: CallerConnection) -> None:
        """Closes a connection; what may be unread on it is sent again at once, before others close too."""
        self.repeat_unread(connection, ConnectionEnd.CLOSED_HERE)
        connection.close()

    def close_idle_connection(self) -> bool:
        """Closes the least useful idle connection, to make room for a new one; returns whether there was one.

        One that never sent a valid set-up is closed first, then the one that was idle for longest. Callers
        that do call have the newest connections: closing those would let clients that connect and then send
        nothing shut them out.
        """
        idle = [each for each in self.connections if each.is_open and not each.open_calls]
        idle.sort(key=self.usefulness)
        connection = next((each for each in idle if not each.has_unread_bytes), None)
        if connection is None:
            return False
        limited_log.warning(
            "caller connection limit reached, idle connection closed", open=len(self.connections)
        )
        self.close_connection(connection)
        return True

    @staticmethod
    def usefulness(connection: CallerConnection) -> tuple[bool, int]:
        """Sort key: the connection that is closed first comes first."""
        credit_ns = INCOMPLETE_MESSAGE_CREDIT_NS if connection.incomplete_since_ns else 0
        return connection.valid_set_ups > 0, connection.last_received_at_ns + credit_ns

    def start_drain(self, drain_plan: DrainPlan) -> None:
        """From now on closes each connection once nothing is lost with it, until `cancel_drain`."""
        self.drain_plan = drain_plan

    def cancel_drain(self) -> None:
        """Lets the remaining connections stay."""
        self.drain_plan = None

    def refuses_set_ups(self, now_ns: int) -> bool:
        """Returns whether set-ups are refused because the connections are to be closed."""
        return self.drain_plan is not None and self.drain_plan.refuses_set_ups(now_ns)

    def must_answer_open_calls(self, now_ns: int) -> bool:
        """Returns whether every open call must get its final answer now, as the process is about to end."""
        return self.drain_plan is not None and self.drain_plan.must_answer_open_calls(now_ns)

    def current_use(self, connection: CallerConnection) -> ConnectionUse:
        """Returns what the connection carries at this moment."""
        others = (each for each in self.connections if each is not connection)
        return ConnectionUse(
            connected_at_ns=connection.connected_at_ns,
            last_received_at_ns=connection.last_received_at_ns,
            open_calls=len(connection.open_calls),
            standing_calls=len(connection.standing_calls),
            has_incomplete_message=connection.incomplete_since_ns > 0,
            has_carried_calls=connection.has_carried_calls,
            is_last_with_calls=not any(each.is_open and each.has_carried_calls for each in others),
        )

    def sweep(self, now_ns: int) -> None:
        """Closes connections that are overdue or are to be closed and idle, and repeats releases.

        Called periodically. The connection that received data last is closed last: it is the one most likely
        to carry what is repeated.
        """
        self.limit_unhandled_bytes()
        self.repeat(self.pending.due_repetitions(now_ns))
        self.count_settled()
        for connection in sorted(self.connections, key=lambda each: each.last_received_at_ns):
            connection.sweep(now_ns)
            if self.drain_plan is not None and connection.is_open:
                self.close_if_unused(connection, self.drain_plan, now_ns)

    def limit_unhandled_bytes(self) -> None:
        """Closes the connections with the most unhandled bytes while all together have more than they may."""
        total = sum(each.unhandled_bytes for each in self.connections)
        if total <= self.bounds.max_unhandled_bytes:
            return
        for connection in sorted(self.connections, key=lambda each: each.unhandled_bytes, reverse=True):
            total -= connection.unhandled_bytes
            connection.handle_protocol_error("too many unhandled bytes")
            if total <= self.bounds.max_unhandled_bytes:
                return

    def close_if_unused(self, connection: CallerConnection, drain_plan: DrainPlan, now_ns: int) -> None:
        """Closes a connection that may be closed, unless data has arrived that is not read yet.

        Such data would be lost with the connection.
        """
        if drain_plan.may_close(self.current_use(connection), now_ns) and not connection.has_unread_bytes:
            self.close_connection(connection)

    # Releases of answered calls

    def release(self, release: PendingRelease, connection: CallerConnection | None) -> None:
        """Sends the release of an answered call on the given connection, another one or the next one.

        `connection` is where the call was set up. If it is closed, another connection that has carried
        calls is used, the one that received data last first; if there is none, the release waits for the
        next one. Connections that have carried no call are left out: a client that sends nothing does not
        act on a release. Neither does a front-end process that only tests whether the controller accepts
        calls: it passes releases to nobody.
        """
        self.pending.forget(release.call, SettledReason.SET_UP_AGAIN)
        if connection is None or not self.write_release(release, [connection]):
            self.write_or_wait(release, self.carrying_connections())

    def carrying_connections(self) -> list[CallerConnection]:
        """Returns the open connections that have carried calls; the one that received data last is first."""
        carrying = [each for each in self.connections if each.is_open and each.has_carried_calls]
        return sorted(carrying, key=lambda each: each.last_received_at_ns, reverse=True)

    def write_or_wait(self, release: PendingRelease, connections: Iterable[CallerConnection]) -> bool:
        """Writes a release to the first connection that can carry it, or has it wait; returns which."""
        was_written = self.write_release(release, connections)
        if not was_written:
            log.debug("release waits for a caller's connection", call=release.call, unread_on=release.tried)
            self.pending.record_waiting(release, time.monotonic_ns())
        return was_written

    def write_release(self, release: PendingRelease, connections: Iterable[CallerConnection]) -> bool:
        """Writes a release to the first of these connections that has not carried it; False if none has."""
        for connection in connections:
            if connection.number in release.tried or not connection.is_open:
                continue
            if connection.send_release(release.call, release.cause):
                log.debug("release written to caller", call=release.call, connection=connection.number)
                self.pending.record_written(release, connection.carrier, time.monotonic_ns())
                return True
        return False

    def repeat(self, releases: list[PendingRelease]) -> None:
        """Sends releases again that may be unread, each on a connection that has not carried it."""
        if not releases:
            return
        connections = self.carrying_connections()
        for release in releases:
            reason = release.repeat_reason
            unread_on = release.tried.copy()
            if self.write_or_wait(release, connections) and unread_on:
                self.metrics.releases_repeated[reason] += 1
                log.debug("release repeated", call=release.call, unread_on=unread_on, reason=reason.value)

    def send_waiting_releases(self) -> None:
        """Sends the releases that wait for a connection, as a new one has carried a call."""
        self.repeat(self.pending.waiting_repetitions(time.monotonic_ns()))

    def repeat_unread(self, connection: CallerConnection, end: ConnectionEnd) -> None:
        """Sends the releases again that may be unread on a connection that has ended or is to be closed."""
        pending_count = len(connection.carrier.releases)
        if not pending_count:
            return
        now_ns = time.monotonic_ns()
        to_repeat = self.pending.connection_ended(connection.carrier, end, connection.has_calls, now_ns)
        limited_log.info(
            "caller connection ended with releases that may be unread",
            connection=connection.number,
            end=end.value,
            silent_ms=(now_ns - connection.last_received_at_ns) // MS,
            pending=pending_count,
            repeated=len(to_repeat),
            first_calls=[release.call for release in to_repeat[:MAX_LOGGED_CALLS]],
        )
        self.repeat(to_repeat)

    def count_settled(self) -> None:
        """Counts and logs the releases that are not kept any longer."""
        for settled in self.pending.take_settled():
            self.metrics.releases_settled[settled.reason] += 1
            log.debug(
                "release settled",
                call=settled.release.call,
                reason=settled.reason.value,
                connections=settled.release.tried,
            )

    async def close(self, until_ns: int) -> None:
        """Closes all connections after what was written is sent, and waits for that until `until_ns`."""
        for connection in sorted(self.connections, key=lambda each: each.last_received_at_ns):
            self.close_connection(connection)
        while self.connections and time.monotonic_ns() < until_ns:
            await asyncio.sleep(0.005)
