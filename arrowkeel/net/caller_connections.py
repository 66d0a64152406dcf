"""The table of connections from callers.

It bounds their number, and closes them in standby and at the end of the process.
"""

from __future__ import annotations

import asyncio
import time

from arrowkeel.departure import ConnectionUse, DrainPlan
from arrowkeel.net.caller_releases import CallerReleases
from arrowkeel.net.callers import CallerConnection
from arrowkeel.net.config import MS, Bounds
from arrowkeel.net.connection import log
from arrowkeel.net.metrics import Metrics
from arrowkeel.pending_releases import ConnectionEnd

# Added to the last-received time of a connection with an incomplete message when one is to be closed to make
# room: it is worth more than one that has sent nothing.
INCOMPLETE_MESSAGE_CREDIT_NS = 500 * MS


class CallerConnections:
    """Every connection from callers that is not lost yet, and the releases sent on them."""

    def __init__(self, bounds: Bounds, metrics: Metrics) -> None:
        self.connections: dict[CallerConnection, None] = {}
        self.drain_plan: DrainPlan | None = None  # set while connections are to be closed
        self.bounds = bounds
        self.releases = CallerReleases(self.carrying_connections, bounds, metrics)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Applies the bounds of a new configuration."""
        self.bounds = bounds
        self.releases.apply_bounds(bounds)

    def add(self, connection: CallerConnection) -> None:
        """Adds a new connection; at the limit an idle one is closed for it, or else the new one itself."""
        if len(self.connections) >= self.bounds.max_caller_connections and not self.close_idle_connection():
            log.warning(
                "caller connection limit reached and none is idle, new connection closed",
                open=len(self.connections),
            )
            connection.abort()
            return
        self.connections[connection] = None

    def remove(self, connection: CallerConnection) -> None:
        """Removes a lost connection; releases that may be unread on it are sent again on another one."""
        self.connections.pop(connection, None)
        self.releases.repeat_unread(connection, connection.end)

    def close_connection(self, connection: CallerConnection) -> None:
        """Closes a connection; what may be unread on it is sent again at once, before others close too."""
        self.releases.repeat_unread(connection, ConnectionEnd.CLOSED_HERE)
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
        log.warning("caller connection limit reached, idle connection closed", open=len(self.connections))
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
        self.releases.sweep(now_ns)
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

    def carrying_connections(self) -> list[CallerConnection]:
        """Returns the open connections that have carried calls; the one that received data last is first."""
        carrying = [each for each in self.connections if each.is_open and each.has_carried_calls]
        return sorted(carrying, key=lambda each: each.last_received_at_ns, reverse=True)

    async def close(self, until_ns: int) -> None:
        """Closes all connections after what was written is sent, and waits for that until `until_ns`."""
        for connection in sorted(self.connections, key=lambda each: each.last_received_at_ns):
            self.close_connection(connection)
        while self.connections and time.monotonic_ns() < until_ns:
            await asyncio.sleep(0.005)
