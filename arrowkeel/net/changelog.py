"""The change log: follows the numbered events of the list of exchanges and reconnects when it goes silent."""

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

# A line comes each second; two missing ones and a dial leave time within the 4 s that a stop is given.
SILENCE_NS = 2200 * MS
DIAL_NS = 500 * MS
CONNECTIONS_MOST = 3  # open at once, while none of them speaks
AGAIN_FIRST_NS, AGAIN_MOST_NS = 50 * MS, 500 * MS  # between attempts that soon end
log = structlog.get_logger()


class ChangeLogConnection(asyncio.Protocol):
    """One connection to the change log. What still comes on one that was dropped is not taken."""

    def __init__(self, client: ChangeLogClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.heard_at_ns = time.monotonic_ns()
        self.is_first = True  # the next line is the first one
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over.done():
            self.transport.abort()
            return
        self.heard_at_ns = time.monotonic_ns()
        self.transport.write(f"since {self.client.last_seq}\n".encode())

    def connection_lost(self, exc: Exception | None) -> None:
        self.drop()

    def drop(self) -> None:
        if not self.over.done():
            self.over.set_result(None)
            self.client.ended(self)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.over.done():
            return
        self.heard_at_ns = time.monotonic_ns()
        self.client.heard(self)
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        try:
            if len(rest) > self.client.line_limit:
                raise MalformedListUpdateError("line too long")
            for line in lines:
                if line.strip():
                    self.client.take(line, self.is_first)
                    self.is_first = False
        except MalformedListUpdateError as error:
            log.warning(
                "malformed change-log line, reconnecting", reason=str(error), last=self.client.last_seq
            )
            self.drop()


class ChangeLogClient:
    """One follower; every connection asks for what came after the last number it has.

    One that falls silent is not dropped at once: where discovery is slow or crowded its answer may still
    come, and who hangs up and asks again each time never gets one. The first to speak stays, the others go.
    """

    def __init__(
        self,
        address: Address,
        last_seq: int,
        clock_offset: ClockOffset,
        tell: Callable[[ListUpdate], None],
        line_limit: int,
    ) -> None:
        self.address, self.last_seq, self.clock_offset, self.tell = address, last_seq, clock_offset, tell
        self.line_limit = line_limit
        self.heard_at_ns = self.opened_at_ns = time.monotonic_ns()
        self.failures = 0  # connections that could not be made, ended or fell silent
        self.connections: list[ChangeLogConnection] = []  # the open ones, the first opened first
        self.task: asyncio.Task[None] | None = None

    def silent_ms(self) -> int:
        """How long nothing has come from the change log, in milliseconds."""
        return (time.monotonic_ns() - self.heard_at_ns) // MS

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.follow())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for connection in list(self.connections):
            connection.drop()

    def switch_address(self, address: Address) -> None:
        """Follow it at another address, from the last number on and at once."""
        self.stop()
        self.address = address
        self.start()

    def heard(self, connection: ChangeLogConnection) -> None:
        self.heard_at_ns = connection.heard_at_ns
        for other in list(self.connections):
            if other is not connection:
                other.drop()

    def ended(self, connection: ChangeLogConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)

    async def follow(self) -> None:
        again_ns = AGAIN_FIRST_NS
        while True:
            began_ns = time.monotonic_ns()
            if await self.connect(began_ns + DIAL_NS):
                await self.watch()
            self.failures += 1
            if time.monotonic_ns() - began_ns > AGAIN_MOST_NS:
                again_ns = AGAIN_FIRST_NS
            await asyncio.sleep(again_ns / 1e9)
            again_ns = min(2 * again_ns, AGAIN_MOST_NS)

    async def connect(self, until_ns: int) -> bool:
        """Whether a connection came up in time."""
        loop, connection = asyncio.get_running_loop(), ChangeLogConnection(self)
        self.connections.append(connection)
        try:
            async with asyncio.timeout_at(loop.time() + (until_ns - time.monotonic_ns()) / 1e9):
                await loop.create_connection(lambda: connection, self.address.host, self.address.port)
        except OSError as error:  # a time-out is one too
            reason = str(error) or type(error).__name__
            log.warning("change log not reached", reason=reason, **self.facts())
            connection.drop()
            return False
        log.info("change log connected", since=self.last_seq, **self.facts())
        self.opened_at_ns = time.monotonic_ns()
        return True

    async def watch(self) -> None:
        """Until no connection is left, or nothing has come on any for too long."""
        while self.connections:
            left_ns = max(self.heard_at_ns, self.opened_at_ns) + SILENCE_NS - time.monotonic_ns()
            if left_ns <= 0:
                log.warning("change log silent, asked again", last=self.last_seq, **self.facts())
                if len(self.connections) >= CONNECTIONS_MOST:
                    self.connections[0].drop()
                return
            await asyncio.wait(
                {connection.over for connection in self.connections},
                timeout=left_ns / 1e9,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def facts(self) -> dict[str, object]:
        return {
            "address": str(self.address),
            "connections": len(self.connections),
            "silent_ms": self.silent_ms(),
        }

    def take(self, line: bytes, is_first: bool) -> None:
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise MalformedListUpdateError(f"not JSON ({error})") from None
        update = read_list_update(raw, self.clock_offset)
        is_event = len(raw) > 1
        # Guards against a lost event: numbers come in order, and the last one told is one we have.
        # What a new connection starts with is all there is, so its first number may lie further on.
        ahead = update.seq - self.last_seq - (1 if is_event else 0)
        if ahead > 0 and not is_first:
            raise MalformedListUpdateError(f"seq: {update.seq} after {self.last_seq}")
        if is_event:
            self.apply_update(update)

    def apply_update(self, update: ListUpdate) -> None:
        """An event from the log or from a new configuration; one that is known already tells nothing."""
        if update.seq > self.last_seq:
            self.last_seq = update.seq
            self.tell(update)
