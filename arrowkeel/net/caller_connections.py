"""The table of callers' connections: who may stay, and which of them carries a release."""

from __future__ import annotations

import asyncio
import time

from arrowkeel.departure import ConnectionUse, Departure
from arrowkeel.net.callers import CallerConnection
from arrowkeel.net.config import MS, Bounds
from arrowkeel.net.connection import log

HALF_CREDIT_NS = 500 * MS  # half a message is worth more than silence when room has to be made
# A release written so shortly before the caller ended its connection may not have been read there.
UNREAD_NS = 100 * MS


class CallerConnections:
    """Every connection from callers that is not lost yet, and the releases that wait for one."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.connections: dict[CallerConnection, None] = {}
        self.waiting_releases: dict[str, int] = {}  # for the next caller's connection, with their causes
        self.departure: Departure | None = None  # while connections are to go

    def connected(self, connection: CallerConnection) -> None:
        if len(self.connections) >= self.bounds.caller_connections and not self.shed():
            log.warning("no idle connection from callers, the newest closed", open=len(self.connections))
            connection.abort()
            return
        self.connections[connection] = None

    def recognised(self, connection: CallerConnection) -> None:
        """It has carried a call: the releases that no caller's connection was open for go out on it."""
        waiting, self.waiting_releases = self.waiting_releases, {}
        for call, cause in waiting.items():
            self.release(call, cause, connection)

    def lost(self, connection: CallerConnection) -> None:
        """Guards releases that crossed the end of the connection: they go again, on another one."""
        self.connections.pop(connection, None)
        for call, cause in connection.unread_releases(time.monotonic_ns() - UNREAD_NS).items():
            self.release(call, cause, None)

    def shed(self) -> bool:
        """Make room: the one that never sent a set-up goes first, then the one that was idle for longest.

        Guards usual callers, whose connection is the newest, against those that connect and say no more.
        """
        idle = [each for each in self.connections if each.is_open and not each.open_calls]
        idle.sort(key=self.worth_keeping)
        connection = next((each for each in idle if not each.has_unread), None)
        if connection is None:
            return False
        log.warning("many connections from callers, an idle one closed", open=len(self.connections))
        connection.close()
        return True

    @staticmethod
    def worth_keeping(connection: CallerConnection) -> tuple[bool, int]:
        credit_ns = HALF_CREDIT_NS if connection.half_since_ns else 0
        return connection.valid_set_ups > 0, connection.last_received_at_ns + credit_ns

    def start_departure(self, departure: Departure) -> None:
        """Each connection goes once nothing is lost with it, until they may stay again."""
        self.departure = departure

    def cancel_departure(self) -> None:
        self.departure = None

    def refuses(self, now_ns: int) -> bool:
        return self.departure is not None and self.departure.refuses(now_ns)

    def must_end_open_calls(self, now_ns: int) -> bool:
        return self.departure is not None and self.departure.must_answer_all(now_ns)

    def use_of(self, connection: CallerConnection) -> ConnectionUse:
        others = (each for each in self.connections if each is not connection)
        return ConnectionUse(
            connected_at_ns=connection.connected_at_ns,
            heard_at_ns=connection.last_received_at_ns,
            open_calls=len(connection.open_calls),
            standing_calls=len(connection.standing_calls),
            has_half_message=connection.half_since_ns > 0,
            has_carried_calls=connection.has_carried_calls,
            is_last=not any(each.is_open and each.has_carried_calls for each in others),
        )

    def sweep(self, now_ns: int) -> None:
        for connection in list(self.connections):
            connection.sweep(now_ns)
            if self.departure is not None and connection.is_open:
                self.send_away(connection, self.departure, now_ns)

    def send_away(self, connection: CallerConnection, departure: Departure, now_ns: int) -> None:
        """Guards what is on its way: what has come and is not read yet is lost with the connection."""
        if departure.may_close(self.use_of(connection), now_ns) and not connection.has_unread:
            connection.close()

    def release(self, call: str, cause: int, connection: CallerConnection | None) -> None:
        """On the connection that asked while it is open, else on another caller's, else on the next one.

        Guards against a release that only a silent client gets, or the front, which tests all the while and
        calls nobody: it passes releases to none. Connections that were heard last come first.
        """
        if connection is not None and connection.is_open and connection.send_standing_release(call, cause):
            return
        others = [each for each in self.connections if each.is_open and each.has_carried_calls]
        for other in sorted(others, key=lambda each: each.last_received_at_ns, reverse=True):
            if other.send_standing_release(call, cause):
                return
        if len(self.waiting_releases) < self.bounds.records:
            self.waiting_releases[call] = cause

    async def close(self, until_ns: int) -> None:
        """The last answers leave before the connections close."""
        for connection in self.connections:
            connection.close()
        while self.connections and time.monotonic_ns() < until_ns:
            await asyncio.sleep(0.005)
