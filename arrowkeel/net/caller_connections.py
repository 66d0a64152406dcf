"""The table of connections from callers.

It bounds their number, closes them in standby and at the end of the process, and decides which of them
carries the release of an answered call.
"""

from __future__ import annotations

import asyncio
import time

import structlog

from arrowkeel.departure import ConnectionUse, DrainPlan
from arrowkeel.net.callers import CallerConnection
from arrowkeel.net.config import MS, Bounds
from arrowkeel.net.connection import log as bad_input_log

# Added to the last-received time of a connection with an incomplete message when one is to be closed to make
# room: it is worth more than one that has sent nothing.
INCOMPLETE_MESSAGE_CREDIT_NS = 500 * MS
# A release written less than this before the caller ended its connection may not have been read there.
UNREAD_RELEASE_NS = 100 * MS
MAX_LOGGED_CALLS = 8  # call identifiers in one log entry
log = structlog.get_logger()


class CallerConnections:
    """Every connection from callers that is not lost yet, and the releases that wait for one."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.connections: dict[CallerConnection, None] = {}
        self.waiting_releases: dict[str, int] = {}  # causes by call, for the next caller's connection
        self.drain_plan: DrainPlan | None = None  # set while connections are to be closed

    def add(self, connection: CallerConnection) -> None:
        """Adds a new connection; at the limit an idle one is closed for it, or else the new one itself."""
        if len(self.connections) >= self.bounds.max_caller_connections and not self.close_idle_connection():
            bad_input_log.warning(
                "caller connection limit reached and none is idle, new connection closed",
                open=len(self.connections),
            )
            connection.abort()
            return
        self.connections[connection] = None

    def send_waiting_releases(self, connection: CallerConnection) -> None:
        """Sends the releases that found no connection on this one, which has carried a call."""
        waiting, self.waiting_releases = self.waiting_releases, {}
        for call, cause in waiting.items():
            self.release(call, cause, connection)

    def remove(self, connection: CallerConnection) -> None:
        """Removes a lost connection; releases that crossed its end are sent again on another one."""
        self.connections.pop(connection, None)
        now_ns = time.monotonic_ns()
        repeated = connection.unread_releases(now_ns - UNREAD_RELEASE_NS)
        self.log_unproven_releases(connection, repeated, now_ns)
        for call, cause in repeated.items():
            self.release(call, cause, None)

    @staticmethod
    def log_unproven_releases(connection: CallerConnection, repeated: dict[str, int], now_ns: int) -> None:
        """Logs the releases that nothing received after them shows to have been read on a lost connection."""
        unproven = {
            call: (now_ns - release.sent_at_ns) // MS
            for call, release in connection.sent_releases.items()
            if release.sent_at_ns >= connection.last_received_at_ns
        }
        if unproven:
            log.info(
                "caller connection lost with releases that may be unread",
                connection=connection.number,
                was_closed_here=connection.closing_since_ns > 0,
                was_closed_by_caller=connection.was_read_to_end,
                silent_ms=(now_ns - connection.last_received_at_ns) // MS,
                unread=len(unproven),
                repeated=len(unproven.keys() & repeated.keys()),
                oldest_ms=max(unproven.values()),
                first_calls=sorted(unproven)[:MAX_LOGGED_CALLS],
            )

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
        bad_input_log.warning(
            "caller connection limit reached, idle connection closed", open=len(self.connections)
        )
        connection.close()
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
        """Closes connections that are overdue or are to be closed and idle; called periodically."""
        self.limit_unhandled_bytes()
        for connection in list(self.connections):
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
            connection.close()

    def release(self, call: str, cause: int, connection: CallerConnection | None) -> None:
        """Sends the release of an answered call on the given connection, another one or the next one.

        `connection` is where the call was set up. If it is closed, another connection that has carried
        calls is used, the one that received data last first; if there is none, the release waits for the
        next one, or is dropped if too many are waiting. Connections that have carried no call are left out:
        a client that sends nothing does not act on a release. Neither does a front-end process that only
        tests whether the controller accepts calls: it passes releases to nobody.
        """
        if connection is not None and connection.is_open and connection.send_standing_release(call, cause):
            log.debug("release written to caller", call=call, connection=connection.number, is_own=True)
            return
        others = [each for each in self.connections if each.is_open and each.has_carried_calls]
        for other in sorted(others, key=lambda each: each.last_received_at_ns, reverse=True):
            if other.send_standing_release(call, cause):
                log.debug("release written to caller", call=call, connection=other.number, is_own=False)
                return
        log.debug("release waits for a caller's connection", call=call)
        if len(self.waiting_releases) < self.bounds.max_table_entries:
            self.waiting_releases[call] = cause

    async def close(self, until_ns: int) -> None:
        """Closes all connections after what was written is sent, and waits for that until `until_ns`."""
        for connection in self.connections:
            connection.close()
        while self.connections and time.monotonic_ns() < until_ns:
            await asyncio.sleep(0.005)
