"""A stand-in for the change log that one controller follows.

It serves the events of a list that the soak extends, and can refuse connections, stay silent or answer late.
It checks nothing itself; it reports when an event counts as delivered, from which the drain rule counts.
"""

from __future__ import annotations

import asyncio
import json
import socket
from enum import Enum
from typing import Any, cast

# An event counts as delivered this long after it was published and the change log could be reached.
DELIVERY_LIMIT_S = 6.0


class Mode(Enum):
    """How the change log behaves towards the controller."""

    UP = "up"  # sends every event at once
    DOWN = "down"  # refuses new connections and has closed the open ones
    SILENT = "silent"  # accepts connections, keeps them open and sends nothing
    SLOW = "slow"  # sends nothing in the first 3 s of a connection


# Modes in which the controller can receive events.
REACHABLE = (Mode.UP, Mode.SLOW)


class ControllerConnection(asyncio.Protocol):
    """One connection from the controller to the change log."""

    def __init__(self, log: StandInChangeLog) -> None:
        self.log, self.request = log, b""
        self.last_sent_seq = -1  # sequence number of the last event sent; -1 until the request has arrived
        self.transport: asyncio.Transport | None = None
        self.opened_at_s = log.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.log.connections.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.log.connections:
            self.log.connections.remove(self)

    def data_received(self, data: bytes) -> None:
        self.request += data
        if self.last_sent_seq < 0 and self.request.endswith(b"\n"):
            self.last_sent_seq = int(self.request.split()[1])
            self.log.send_due_events(self)


class StandInChangeLog:
    """Serves the events of a shared list at one address. Times are seconds of the event loop's clock."""

    def __init__(self, events: list[dict[str, Any]]) -> None:
        self.events = events
        self.loop = asyncio.get_running_loop()
        self.mode = Mode.UP
        self.reachable_since_s = self.loop.time()
        self.connections: list[ControllerConnection] = []
        self.sent_at_s: dict[int, float] = {}  # by sequence number: when the event was first sent
        self.published_at_s: dict[int, float] = {}  # by sequence number
        self.port = 0  # 0 until `start` has chosen a free port
        self.server: asyncio.Server | None = None
        self.heartbeat_task = self.loop.create_task(self.send_heartbeats())

    @property
    def address(self) -> str:
        """The address HOST:PORT at which controllers reach the change log."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listens at the port of an earlier start, or at a free port."""
        listener = socket.create_server(("127.0.0.1", self.port))
        self.port = listener.getsockname()[1]
        self.server = await self.loop.create_server(lambda: ControllerConnection(self), sock=listener)

    def close(self) -> None:
        """Stops listening and aborts all connections; `start` listens again."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def stop(self) -> None:
        """Closes the change log for good."""
        self.heartbeat_task.cancel()
        self.close()

    async def set_mode(self, mode: Mode) -> None:
        """Changes the behaviour, opens or closes the server accordingly, and sends events that are due."""
        if mode is Mode.DOWN:
            self.close()
        elif self.server is None:
            await self.start()
        if mode in REACHABLE and self.mode not in REACHABLE:
            self.reachable_since_s = self.loop.time()
        self.mode = mode
        for connection in list(self.connections):
            self.send_due_events(connection)

    def announce_event(self, seq: int) -> None:
        """Announces that the event of this sequence number was appended to the shared list."""
        self.published_at_s[seq] = self.loop.time()
        for connection in list(self.connections):
            self.send_due_events(connection)

    def send_due_events(self, connection: ControllerConnection, heartbeat: bool = False) -> None:
        """Sends the events that the connection lacks, and a heartbeat line if asked, as the mode permits."""
        slow = self.mode is Mode.SLOW and self.loop.time() < connection.opened_at_s + 3.0
        if (
            connection.last_sent_seq < 0
            or connection.transport is None
            or self.mode in (Mode.SILENT, Mode.DOWN)
            or slow
        ):
            return
        for event in self.events:
            if event["seq"] > connection.last_sent_seq:
                connection.last_sent_seq = event["seq"]
                self.sent_at_s.setdefault(connection.last_sent_seq, self.loop.time())
                connection.transport.write(json.dumps(event).encode() + b"\n")
        if heartbeat:
            connection.transport.write(json.dumps({"seq": connection.last_sent_seq}).encode() + b"\n")

    async def send_heartbeats(self) -> None:
        """Sends a heartbeat line on every connection once a second."""
        while True:
            await asyncio.sleep(1.0)
            for connection in list(self.connections):
                self.send_due_events(connection, heartbeat=True)

    def delivery_time_s(self, seq: int) -> float | None:
        """Returns when the event counts as delivered to the controller, or None while it does not.

        That is when it was first sent, or else `DELIVERY_LIMIT_S` after it was published and the change log
        could be reached: the controller then had enough time to fetch it.
        """
        if seq in self.sent_at_s:
            return self.sent_at_s[seq]
        if self.mode not in REACHABLE or seq not in self.published_at_s:
            return None
        delivered_s = max(self.published_at_s[seq], self.reachable_since_s) + DELIVERY_LIMIT_S
        return delivered_s if self.loop.time() >= delivered_s else None
