"""The client of the change log, which delivers the numbered events of the exchange list.

It passes each new event on once, in order, and reconnects when the change log is silent, closes the
connection or sends something unreadable.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import cast

import structlog

from arrowkeel.net.config import (
    MS,
    Address,
    ClockOffset,
    ListUpdate,
    MalformedListUpdateError,
    read_list_update,
)

# The change log sends a line each second. After two missing lines and one dial, time is left to receive the
# missed events within the 4 s that an orderly stop is given.
SILENCE_LIMIT_NS = 2200 * MS
DIAL_TIMEOUT_NS = 500 * MS
MAX_CONNECTIONS = 3  # open at once while nothing is received on any of them
# Shortest and longest delay before the next connection attempt. The delay doubles with each attempt and is
# reset by a connection that lasted longer than the longest delay.
MIN_RETRY_DELAY_NS, MAX_RETRY_DELAY_NS = 50 * MS, 500 * MS
log = structlog.get_logger()


class ChangeLogConnection(asyncio.Protocol):
    """One connection to the change log. Data that arrives after it was dropped is ignored."""

    def __init__(self, client: ChangeLogClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_received_at_ns = time.monotonic_ns()
        self.is_first_line = True  # no line was processed on this connection yet
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.closed.done():
            self.transport.abort()
            return
        self.last_received_at_ns = time.monotonic_ns()
        self.transport.write(f"since {self.client.last_seq}\n".encode())

    def connection_lost(self, exc: Exception | None) -> None:
        self.drop()

    def drop(self) -> None:
        """Ends the connection at once; a dial that is still under way is aborted when it completes."""
        if not self.closed.done():
            self.closed.set_result(None)
            self.client.connection_ended(self)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.closed.done():
            return
        self.last_received_at_ns = time.monotonic_ns()
        self.client.connection_received(self)
        self.buffer += data
        *lines, incomplete_line = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(incomplete_line)
        try:
            if len(incomplete_line) > self.client.max_line_bytes:
                raise MalformedListUpdateError("line longer than the limit")
            for line in lines:
                if line.strip():
                    self.client.process_line(line, self.is_first_line)
                    self.is_first_line = False
        except MalformedListUpdateError as error:
            log.warning(
                "malformed change log line, reconnecting", reason=str(error), last=self.client.last_seq
            )
            self.drop()


class ChangeLogClient:
    """Follows the change log; each connection asks for the events after the last sequence number received.

    A silent connection is not dropped at once: the answer of a slow or overloaded change log may still arrive
    on it, and a client that drops the connection and asks again each time would never receive one. A second
    and a third connection are opened beside it; the first one that delivers data is kept, the others dropped.
    """

    def __init__(
        self,
        address: Address,
        last_seq: int,
        clock_offset: ClockOffset,
        on_update: Callable[[ListUpdate], None],
        max_line_bytes: int,
    ) -> None:
        self.address, self.last_seq, self.clock_offset, self.on_update = (
            address,
            last_seq,
            clock_offset,
            on_update,
        )
        self.max_line_bytes = max_line_bytes
        self.last_received_at_ns = self.connected_at_ns = time.monotonic_ns()
        self.failures = 0  # connections that failed, ended or fell silent
        self.connections: list[ChangeLogConnection] = []  # open or being dialled, the oldest first
        self.task: asyncio.Task[None] | None = None

    def silent_ms(self) -> int:
        """Returns for how many milliseconds nothing has been received from the change log."""
        return (time.monotonic_ns() - self.last_received_at_ns) // MS

    def start(self) -> None:
        """Starts to follow the change log in a task."""
        self.task = asyncio.get_running_loop().create_task(self.follow())

    def stop(self) -> None:
        """Ends the task and drops every connection."""
        if self.task is not None:
            self.task.cancel()
        for connection in list(self.connections):
            connection.drop()

    def switch_address(self, address: Address) -> None:
        """Follows the change log at another address, at once and from the last sequence number on."""
        self.stop()
        self.address = address
        self.start()

    def connection_received(self, connection: ChangeLogConnection) -> None:
        """Records that data arrived on this connection, and drops the others."""
        self.last_received_at_ns = connection.last_received_at_ns
        for other in list(self.connections):
            if other is not connection:
                other.drop()

    def connection_ended(self, connection: ChangeLogConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)

    async def follow(self) -> None:
        """Connects again and again, with a growing delay while connections fail soon."""
        retry_delay_ns = MIN_RETRY_DELAY_NS
        while True:
            started_at_ns = time.monotonic_ns()
            if await self.connect(started_at_ns + DIAL_TIMEOUT_NS):
                await self.wait_until_silent()
            self.failures += 1
            if time.monotonic_ns() - started_at_ns > MAX_RETRY_DELAY_NS:
                retry_delay_ns = MIN_RETRY_DELAY_NS
            await asyncio.sleep(retry_delay_ns / 1e9)
            retry_delay_ns = min(2 * retry_delay_ns, MAX_RETRY_DELAY_NS)

    async def connect(self, deadline_ns: int) -> bool:
        """Returns whether a connection was established before the deadline."""
        loop, connection = asyncio.get_running_loop(), ChangeLogConnection(self)
        self.connections.append(connection)
        try:
            async with asyncio.timeout_at(loop.time() + (deadline_ns - time.monotonic_ns()) / 1e9):
                await loop.create_connection(lambda: connection, self.address.host, self.address.port)
        except OSError as error:  # TimeoutError is a subclass
            reason = str(error) or type(error).__name__
            log.warning("change log connection failed", reason=reason, **self.log_fields())
            connection.drop()
            return False
        log.info("change log connected", since=self.last_seq, **self.log_fields())
        self.connected_at_ns = time.monotonic_ns()
        return True

    async def wait_until_silent(self) -> None:
        """Returns once no connection is open, or none has received anything for SILENCE_LIMIT_NS."""
        while self.connections:
            remaining_ns = (
                max(self.last_received_at_ns, self.connected_at_ns) + SILENCE_LIMIT_NS - time.monotonic_ns()
            )
            if remaining_ns <= 0:
                log.warning(
                    "change log silent, opening another connection", last=self.last_seq, **self.log_fields()
                )
                if len(self.connections) >= MAX_CONNECTIONS:
                    self.connections[0].drop()
                return
            await asyncio.wait(
                {connection.closed for connection in self.connections},
                timeout=remaining_ns / 1e9,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def log_fields(self) -> dict[str, object]:
        """Returns the fields that log entries about the change log have in common."""
        return {
            "address": str(self.address),
            "connections": len(self.connections),
            "silent_ms": self.silent_ms(),
        }

    def process_line(self, line: bytes, is_first_line: bool) -> None:
        """Processes one line: an event, or only the number of the last event.

        Raises MalformedListUpdateError if it cannot be read or an event before it is missing.
        """
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise MalformedListUpdateError(f"not valid JSON ({error})") from None
        update = read_list_update(raw, self.clock_offset)
        is_event = len(raw) > 1
        # Detects a lost event: events are numbered without gaps, and a line without an event names the last
        # number, which must have been received. The first line of a connection may be further ahead, because
        # a connection starts with everything that the change log has after the `since` number.
        missing_count = update.seq - self.last_seq - (1 if is_event else 0)
        if missing_count > 0 and not is_first_line:
            raise MalformedListUpdateError(f"seq: event missing, received {update.seq} after {self.last_seq}")
        if is_event:
            self.apply_update(update)

    def apply_update(self, update: ListUpdate) -> None:
        """Passes on an event of the change log or of a reloaded configuration, unless it is known already."""
        if update.seq > self.last_seq:
            self.last_seq = update.seq
            self.on_update(update)
