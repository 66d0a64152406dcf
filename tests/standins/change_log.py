"""A stand-in change log for one controller: events by number, and the ways in which discovery fails."""

from __future__ import annotations

import asyncio
import json
import socket
from enum import Enum
from typing import Any, cast

GIVEN_UP_S = 6.0  # an event counts as told so long after discovery had it and could be reached


class Mode(Enum):
    UP = "up"
    DOWN = "down"  # refuses, and has closed what was open
    SILENT = "silent"  # accepts, stays open and says nothing
    SLOW = "slow"  # says nothing in the first seconds of a connection


REACHABLE = (Mode.UP, Mode.SLOW)


class Follower(asyncio.Protocol):
    """One connection from the controller."""

    def __init__(self, log: StandInChangeLog) -> None:
        self.log, self.asked = log, b""
        self.last = -1  # the number of the last event that was sent; -1 before it has asked
        self.transport: asyncio.Transport | None = None
        self.opened = log.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.log.followers.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.log.followers:
            self.log.followers.remove(self)

    def data_received(self, data: bytes) -> None:
        self.asked += data
        if self.last < 0 and self.asked.endswith(b"\n"):
            self.last = int(self.asked.split()[1])
            self.log.flush(self)


class StandInChangeLog:
    """Serves the events of a shared list at one address."""

    def __init__(self, events: list[dict[str, Any]]) -> None:
        self.events = events
        self.loop = asyncio.get_running_loop()
        self.mode = Mode.UP
        self.up_since = self.loop.time()
        self.followers: list[Follower] = []
        self.told_at: dict[int, float] = {}  # when each event was written to the controller
        self.published_at: dict[int, float] = {}
        self.port = 0
        self.server: asyncio.Server | None = None
        self.beating = self.loop.create_task(self.beat())

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        listener = socket.create_server(("127.0.0.1", self.port))
        self.port = listener.getsockname()[1]
        self.server = await self.loop.create_server(lambda: Follower(self), sock=listener)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for follower in list(self.followers):
            if follower.transport is not None:
                follower.transport.abort()

    def stop(self) -> None:
        self.beating.cancel()
        self.close()

    async def set_mode(self, mode: Mode) -> None:
        if mode is Mode.DOWN:
            self.close()
        elif self.server is None:
            await self.start()
        if mode in REACHABLE and self.mode not in REACHABLE:
            self.up_since = self.loop.time()
        self.mode = mode
        for follower in list(self.followers):
            self.flush(follower)

    def published(self, seq: int) -> None:
        self.published_at[seq] = self.loop.time()
        for follower in list(self.followers):
            self.flush(follower)

    def flush(self, follower: Follower, heartbeat: bool = False) -> None:
        slow = self.mode is Mode.SLOW and self.loop.time() < follower.opened + 3.0
        if follower.last < 0 or follower.transport is None or self.mode in (Mode.SILENT, Mode.DOWN) or slow:
            return
        for event in self.events:
            if event["seq"] > follower.last:
                follower.last = event["seq"]
                self.told_at.setdefault(follower.last, self.loop.time())
                follower.transport.write(json.dumps(event).encode() + b"\n")
        if heartbeat:
            follower.transport.write(json.dumps({"seq": follower.last}).encode() + b"\n")

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for follower in list(self.followers):
                self.flush(follower, heartbeat=True)

    def counts_as_told(self, seq: int) -> float | None:
        """When the event counts as told; none while it does not."""
        if seq in self.told_at:
            return self.told_at[seq]
        if self.mode not in REACHABLE or seq not in self.published_at:
            return None
        deemed = max(self.published_at[seq], self.up_since) + GIVEN_UP_S
        return deemed if self.loop.time() >= deemed else None
