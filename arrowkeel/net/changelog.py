"""The change log: follows the numbered events of the list of exchanges and reconnects when it goes silent."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import cast

import structlog

from arrowkeel.net.config import MS, Address, Clock, MalformedNewsError, News, read_news

SILENCE_NS = 3000 * MS  # a line comes each second; after so long without one the connection is dead
DIAL_NS = 1000 * MS
AGAIN_FIRST_NS, AGAIN_MOST_NS = 50 * MS, 1000 * MS  # between attempts that soon end
LINE_LIMIT = 4 << 20
log = structlog.get_logger()


class ChangeLog(asyncio.Protocol):
    """One follower; every connection asks for what came after the last number it has."""

    def __init__(self, address: Address, last: int, clock: Clock, tell: Callable[[News], None]) -> None:
        self.address, self.last, self.clock, self.tell = address, last, clock, tell
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.heard_at_ns = 0
        self.again_ns = AGAIN_FIRST_NS
        self.first_line = True
        self.stopped = False
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.follow())

    def stop(self) -> None:
        self.stopped = True
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()

    async def follow(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.stopped:
            self.heard_at_ns = time.monotonic_ns()
            try:
                async with asyncio.timeout_at(loop.time() + DIAL_NS / 1e9):
                    await loop.create_connection(lambda: self, self.address.host, self.address.port)
            except OSError as error:  # a time-out is one too
                log.warning("change log not reached", reason=str(error) or type(error).__name__)
            else:
                began_ns = time.monotonic_ns()
                await self.watch()
                if time.monotonic_ns() - began_ns > AGAIN_MOST_NS:
                    self.again_ns = AGAIN_FIRST_NS
            await asyncio.sleep(self.again_ns / 1e9)
            self.again_ns = min(2 * self.again_ns, AGAIN_MOST_NS)

    async def watch(self) -> None:
        """Until the connection ends, or nothing has come for too long."""
        while (transport := self.transport) is not None:
            silent_at = self.heard_at_ns + SILENCE_NS
            left_ns = silent_at - time.monotonic_ns()
            if left_ns <= 0:
                log.warning("change log silent, reconnecting", last=self.last)
                self.drop(transport)
                return
            await asyncio.sleep(min(left_ns, 100 * MS) / 1e9)

    def drop(self, transport: asyncio.Transport) -> None:
        self.transport = None
        transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.buffer.clear()
        self.first_line = True
        self.transport.write(f"since {self.last}\n".encode())

    def connection_lost(self, exc: Exception | None) -> None:
        # The loss of a connection that was dropped may be told when the next one is already up.
        if self.transport is not None and self.transport.is_closing():
            self.transport = None

    def data_received(self, data: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.heard_at_ns = time.monotonic_ns()
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        try:
            if len(rest) > LINE_LIMIT:
                raise MalformedNewsError("line too long")
            for line in lines:
                if line.strip():
                    self.take(line)
        except MalformedNewsError as error:
            log.warning("malformed change-log line, reconnecting", reason=str(error), last=self.last)
            self.drop(transport)

    def take(self, line: bytes) -> None:
        try:
            raw = json.loads(line)
        except ValueError as error:
            raise MalformedNewsError(f"not JSON ({error})") from None
        news = read_news(raw, self.clock)
        is_event = len(raw) > 1
        # Guards against a lost event: numbers come in order, and the last one told is one we have.
        # What a new connection starts with is all there is, so its first number may lie further on.
        ahead = news.seq - self.last - (1 if is_event else 0)
        if ahead > 0 and not self.first_line:
            raise MalformedNewsError(f"seq: {news.seq} after {self.last}")
        self.first_line = False
        if is_event and news.seq > self.last:  # else a duplicate
            self.last = news.seq
            self.tell(news)
