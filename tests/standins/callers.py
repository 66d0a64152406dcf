"""Stand-in callers of one controller: usual ones on a few connections, slow, hasty and bad ones."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast

from arrowkeel.net.codec import Decoder, Message, MessageType, Parameter, ReleaseCause, encode
from tests.standins.fault_proxy import LINGER_RESET
from tests.standins.ledger import Ledger

CROSSING_S = 0.05  # a set-up that crosses a close goes again, once
CONNECTIONS = 4  # that usual callers hold open
PATIENCE_S = (0.3, 3.0)
REFUSALS = (ReleaseCause.NO_CIRCUIT, ReleaseCause.CONGESTION, ReleaseCause.SET_UP_NOT_SENT)
GARBAGE = (
    b"\x00\x03abc",
    b"\xff\xff" + b"\x00" * 64,
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00\x40\x01",
    b"\x00\x0b\x01" + b"\xee" * 8 + b"\x40\x00",
    b"",
)


class CallerSide(asyncio.Protocol):
    """One connection to the controller."""

    def __init__(self, callers: StandInCallers) -> None:
        self.callers, self.decoder = callers, Decoder()
        self.transport: asyncio.Transport | None = None
        self.sent: dict[
            str, tuple[float, bytes]
        ] = {}  # open set-ups: when the last byte left, and the message
        self.busy = 0  # messages that are being written in pieces
        self.ended_here = False

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.callers.take(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.lost(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None and self.is_open:
            self.transport.write(data)

    def reset(self) -> None:
        if self.transport is not None and self.is_open:
            held = self.transport.get_extra_info("socket")
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.ended_here = True
            self.transport.abort()


class StandInCallers:
    """All callers of one controller. They come back at once wherever a connection is taken."""

    def __init__(self, index: int, destinations: list[int], ledger: Ledger, random: Random) -> None:
        self.index, self.destinations, self.ledger, self.random = index, destinations, ledger, random
        self.loop = asyncio.get_running_loop()
        self.address = ("127.0.0.1", 0)
        self.connections: list[CallerSide] = []
        self.is_there = False  # the controller takes connections
        self.excused = False  # it was killed outright: what it held is void
        self.standing: dict[str, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts = {"offered": 0, "answered": 0, "refused": 0, "failed": 0, "void": 0}

    @property
    def now(self) -> float:
        return self.loop.time()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self) -> CallerSide | None:
        if not self.is_there:
            return None
        side = CallerSide(self)
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: side, *self.address), 1.0)
        except OSError:  # a time-out is one too
            return None
        self.connections.append(side)
        return side

    async def connection(self) -> CallerSide | None:
        usable = [side for side in self.connections if side.is_open]
        if len(usable) < CONNECTIONS or self.random.random() < 0.1:
            fresh = await self.connect()
            if fresh is not None:
                return fresh
        return self.random.choice(usable) if usable else None

    # Usual callers

    async def run(self, rate: float, until: float) -> None:
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(rate))
            self.spawn(self.call(retries=2))

    async def call(self, retries: int) -> None:
        side = await self.connection()
        if side is None:
            return
        call = self.random.randbytes(8).hex()
        patience = self.random.uniform(*PATIENCE_S)
        message = encode(
            MessageType.SET_UP,
            call,
            {
                Parameter.CLASS: self.random.choice(["voice", "data"]),
                Parameter.PATIENCE: str(int(patience * 1000)),
                Parameter.NUMBER: self.random.randbytes(8).hex(),
                Parameter.ROUTING: f"dest:{self.random.choice(self.destinations)};width:1;via:-1",
                Parameter.DESCRIPTION: self.random.randbytes(self.random.randrange(1, 300)),
            },
        )

        def offered(side: CallerSide) -> None:
            self.counts["offered"] += 1
            side.sent[call] = (self.now, message)
            self.ledger.record_set_up_sent(call, self.index, self.now, patience)

        used = await self.write(side, message, offered)
        if used is None:
            return  # its last byte was not written to an open connection: it was not taken
        side = used
        if self.random.random() < 0.06:
            self.loop.call_later(self.random.uniform(0, 0.3), self.give_up, side, call)
        elif self.random.random() < 0.01:
            self.loop.call_later(self.random.uniform(0, 0.1), side.reset)
        await asyncio.sleep(patience + 0.6)
        record = self.ledger.calls[call]
        refused = bool(record.final_responses) and record.final_responses[0][1] == "refused"
        if refused and retries and self.random.random() < 0.5:
            await self.call(retries - 1)

    async def write(
        self, side: CallerSide, message: bytes, offered: Callable[[CallerSide], None]
    ) -> CallerSide | None:
        """Whole, in pieces, or slowly on a connection of its own; the connection, if all was written.

        `offered` is called as the last byte is written.
        """
        pieces = self.random.randrange(2, 6) if self.random.random() < 0.15 else 1
        gap_s = self.random.uniform(0.0, 0.05)
        if self.random.random() < 0.02:
            fresh = await self.connect()
            if fresh is None:
                return None
            self.connections.remove(fresh)
            side, pieces, gap_s = fresh, 5, 0.35
        if side.busy:
            return None  # another message is being written there
        side.busy += 1
        step = -(-len(message) // pieces)
        for at in range(0, len(message), step):
            if at:
                await asyncio.sleep(gap_s)
            if not side.is_open:
                return None
            if at + step >= len(message):
                offered(side)
            side.write(message[at : at + step])
        side.busy -= 1
        if side not in self.connections:
            self.connections.append(side)
        return side

    def give_up(self, side: CallerSide, call: str) -> None:
        if side.busy:
            self.loop.call_later(0.05, self.give_up, side, call)
        elif call in side.sent and side.is_open:
            del side.sent[call]
            self.void(call)
            side.write(encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))}))

    def void(self, call: str) -> None:
        self.counts["void"] += 1
        self.ledger.exempt_call(call)

    def take(self, side: CallerSide, message: Message) -> None:
        call = message.call
        if call not in self.ledger.calls:
            return
        if message.type == MessageType.ANSWER:
            side.sent.pop(call, None)
            self.counts["answered"] += 1
            self.ledger.record_answer(call, self.now, message.parameters[Parameter.DESCRIPTION])
            self.standing[call] = None
            if self.random.random() < 0.2:
                self.loop.call_later(self.random.uniform(0, 2.0), self.hang_up, call)
        elif message.type == MessageType.RELEASE and call in self.standing:
            del self.standing[call]
            self.ledger.record_release_to_caller(call, self.now)
        elif message.type == MessageType.RELEASE and call in side.sent:
            del side.sent[call]
            kind = "refused" if message.cause() in REFUSALS else "failed"
            self.counts[kind] += 1
            self.ledger.record_final_response(call, self.now, kind)

    def hang_up(self, call: str) -> None:
        side = next((side for side in self.connections if side.is_open and not side.busy), None)
        if call in self.standing and side is not None:
            del self.standing[call]
            self.ledger.calls[call].released_at_s = self.now
            side.write(encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))}))

    def lost(self, side: CallerSide) -> None:
        """What crossed the close goes again, once; anything else that was open is lost."""
        if side in self.connections:
            self.connections.remove(side)
        for call, (sent, message) in list(side.sent.items()):
            del side.sent[call]
            if self.excused or side.ended_here:
                self.void(call)
            elif self.now - sent <= CROSSING_S:
                self.spawn(self.again(call, message))
            else:  # it stays without an answer, which the ledger finds
                self.ledger.calls[
                    call
                ].connection_notes += f"closed {self.now:.3f}, {self.now - sent:.3f} s after it; "

    async def again(self, call: str, message: bytes) -> None:
        side = await self.connect()
        if side is None:
            self.void(call)  # nobody takes connections: it was not taken
            return
        side.sent[call] = (self.now - CROSSING_S, message)  # not a third time
        self.ledger.calls[call].connection_notes += f"sent again at {self.now:.3f}; "
        side.write(message)

    def controller_ended(self, outright: bool) -> None:
        """Calls that stood with it are of nobody any more; what it had not answered is lost."""
        self.excused = outright
        for call in self.standing:
            self.void(call)
        self.standing.clear()

    # Others

    async def misbehave(self) -> None:
        """A bad client: what can't be read, then silence until it is closed."""
        side = await self.connect()
        if side is None:
            return
        self.connections.remove(side)
        side.write(self.random.choice(GARBAGE))
        began = self.now
        while side.is_open and self.now < began + 3.5:
            await asyncio.sleep(0.1)
        if side.is_open and self.is_there:
            self.ledger.record_violation("bad client", "no close within 3 s", self.now)
        side.reset()

    async def crowd(self, size: int) -> None:
        """Many connections at once that say nothing or half a message."""
        for _ in range(size):
            side = await self.connect()
            if side is not None:
                self.connections.remove(side)
                side.write(self.random.choice([b"", b"\x00\x40\x01"]))
                self.loop.call_later(self.random.uniform(1.0, 4.0), side.reset)
