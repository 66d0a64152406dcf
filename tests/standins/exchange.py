"""A stand-in exchange: answers set-ups, holds calls, tells its group's state, and fails as exchanges do."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from arrowkeel.net.codec import (
    Decoder,
    MalformedMessageError,
    Message,
    MessageType,
    Parameter,
    ReleaseCause,
    encode,
)
from tests.standins.fault_proxy import LINGER_RESET, FaultProxy
from tests.standins.ledger import Attempt, Ledger

GROUP_SIZE = 400
SERVICE_S = (0.002, 0.04)  # from a set-up to its outcome
REFUSED, FAILED, SILENT = 0.04, 0.07, 0.09  # cumulative shares of set-ups that get no answer
IN_FLIGHT_S = 0.05  # what was written so shortly before a failure may not have arrived
serials = itertools.count(1)


@dataclass(slots=True)
class Held:
    """A set-up that is out, or a call that stands."""

    connection: ExchangeSide
    attempt: Attempt
    stands: bool = False


class ExchangeSide(asyncio.Protocol):
    """One connection from a controller."""

    def __init__(self, exchange: StandInExchange) -> None:
        self.exchange, self.decoder = exchange, Decoder()
        self.transport: asyncio.Transport | None = None
        self.process = exchange.process
        self.is_spoilt = False  # something broke off on it: it is of no further use

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    @property
    def is_live(self) -> bool:
        """Whether it leads to the process that runs now."""
        return self.is_open and not self.is_spoilt and self.process == self.exchange.process

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.exchange.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.exchange.lost(self)

    def data_received(self, data: bytes) -> None:
        if self.process != self.exchange.process:
            return
        try:
            for message in self.decoder.feed(data):
                self.exchange.take(self, message)
        except MalformedMessageError as error:
            self.exchange.ledger.record_violation("message", f"from a controller: {error}", self.exchange.now)
            self.reset()

    def send(self, kind: int, call: str, parameters: dict[Any, Any] | None = None) -> None:
        if self.transport is not None and self.is_open and not self.is_spoilt:
            self.transport.write(encode(kind, call, parameters))

    def reset(self) -> None:
        if self.transport is None:
            return
        held = self.transport.get_extra_info("socket")
        if held is not None and held.fileno() >= 0:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


class StandInExchange:
    """One listed exchange; a process that is replaced keeps its name unless a new one is listed."""

    def __init__(self, number: int, ledger: Ledger, random: Random, hold_s: float) -> None:
        self.name = f"s-{next(serials):04x}"
        self.number, self.ledger, self.random, self.hold_s = number, ledger, random, hold_s
        self.loop = asyncio.get_running_loop()
        self.process = 0  # counts its processes
        self.connections: list[ExchangeSide] = []
        self.held: dict[str, Held] = {}
        self.told_at: dict[str, float] = {}  # when releases were written
        self.untold: dict[str, int] = {}  # releases for the next connection that opens
        self.is_hung = self.is_waking = False
        self.spoils = False  # some answers are spoilt
        self.refuses_after: float | None = None  # sends after this moment break the drain rule
        self.is_taken = False  # a fault of a scenario has it
        self.waiting: list[tuple[ExchangeSide, Message]] = []  # what came while it hung
        self.server: asyncio.Server | None = None
        self.proxy: FaultProxy

    @property
    def now(self) -> float:
        return self.loop.time()

    @property
    def is_reachable(self) -> bool:
        return not self.proxy.is_cut and not self.is_hung

    async def start(self) -> None:
        self.server = await self.loop.create_server(lambda: ExchangeSide(self), "127.0.0.1", 0)
        self.proxy = FaultProxy(self.server.sockets[0].getsockname()[:2])
        self.proxy.start()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.proxy.stop()
        for connection in list(self.connections):
            connection.reset()

    @contextlib.contextmanager
    def taken(self) -> Iterator[None]:
        """One fault of a scenario at a time."""
        self.is_taken = True
        try:
            yield
        finally:
            self.is_taken = False

    # Messages

    def connected(self, connection: ExchangeSide) -> None:
        self.connections.append(connection)
        self.tell_state(connection)
        untold, self.untold = self.untold, {}
        for call, cause in untold.items():
            connection.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))})

    def lost(self, connection: ExchangeSide) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        for call, held in list(self.held.items()):
            if held.connection is connection and not held.stands:
                self.end_attempt(call, has_definite_end=False)

    def take(self, connection: ExchangeSide, message: Message) -> None:
        if self.is_hung:
            self.waiting.append((connection, message))
        elif message.type == MessageType.SET_UP:
            self.set_up(connection, message)
        elif message.type == MessageType.RELEASE:
            self.released(message.call)

    def set_up(self, connection: ExchangeSide, message: Message) -> None:
        if self.refuses_after is not None and self.now > self.refuses_after:
            self.ledger.record_violation(
                "drain", f"{self.name} has a set-up {message.call} after its drain", self.now
            )
        is_late = self.is_waking or self.now < self.proxy.late_until_s
        if message.call in self.held and not is_late:
            self.ledger.record_violation(
                "duplicate", f"{self.name} has the set-up {message.call} twice", self.now
            )
            return
        attempt = self.ledger.record_attempt(message.call, self.name, self.now)
        attempt.is_unobservable = is_late
        self.held[message.call] = Held(connection, attempt)
        self.tell_state()
        self.loop.call_later(self.random.uniform(*SERVICE_S), self.serve, message.call, attempt)

    def serve(self, call: str, attempt: Attempt) -> None:
        held = self.held.get(call)
        if held is None or held.attempt is not attempt or held.stands or self.is_hung:
            return
        outcome = self.random.random()
        if outcome < REFUSED:
            self.refuse(call, ReleaseCause.NO_CIRCUIT, {Parameter.NOTE: "group_full"})
        elif outcome < FAILED:
            self.refuse(call, ReleaseCause.RESOURCE_UNAVAILABLE, {})
        elif outcome >= SILENT:
            self.answer(call, held)

    def refuse(self, call: str, cause: int, parameters: dict[Any, Any]) -> None:
        held = self.held[call]
        self.end_attempt(call, has_definite_end=True)
        held.connection.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,)), **parameters})
        self.tell_state()

    def answer(self, call: str, held: Held) -> None:
        description = f"{self.name}/{call}".encode()
        if self.spoils and self.random.random() < 0.2:
            self.spoil(call, held, description)
            return
        self.stand(call, held, description)
        held.connection.send(MessageType.ANSWER, call, {Parameter.DESCRIPTION: description})
        if self.spoils and self.random.random() < 0.2:  # a second copy, and an answer of no call
            for copy in (call, "f" * 16):
                held.connection.send(MessageType.ANSWER, copy, {Parameter.DESCRIPTION: description})

    def spoil(self, call: str, held: Held, description: bytes) -> None:
        """The call has run, and its answer can't be read, or breaks off."""
        message = encode(MessageType.ANSWER, call, {Parameter.DESCRIPTION: description})
        transport = held.connection.transport
        assert transport is not None
        self.stand(call, held, description)
        if held.connection.is_spoilt:
            return
        held.connection.is_spoilt = True
        match self.random.randrange(3):
            case 0:
                transport.write(struct.pack(">H", 0xFFFF) + self.random.randbytes(40))
            case 1:
                transport.write(message[: len(message) // 2])
                transport.close()
            case _:
                transport.write(message[: len(message) // 2])

    def stand(self, call: str, held: Held, description: bytes) -> None:
        held.stands, held.attempt.ended_at_s = True, self.now
        self.ledger.record_established(call, self.now, description)
        self.loop.call_later(self.random.expovariate(1 / self.hold_s), self.complete, call, held)

    def complete(self, call: str, held: Held) -> None:
        """A standing call comes to its normal end."""
        if self.held.get(call) is not held:
            return
        if self.is_hung:
            self.loop.call_later(0.1, self.complete, call, held)
            return
        del self.held[call]
        target = next((each for each in (held.connection, *self.connections) if each.is_live), None)
        if target is not None:
            target.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))})
        self.untold[call] = ReleaseCause.NORMAL
        self.ledger.record_call_over(
            call, self.now, release_was_sent=target is not None and self.is_reachable
        )
        self.told_at[call] = self.now
        self.tell_state()

    def released(self, call: str) -> None:
        held = self.held.get(call)
        if held is None:
            return
        if held.stands:
            del self.held[call]
            record = self.ledger.calls.get(call)
            if record is not None and record.over_at_s is None:
                record.over_at_s = self.now
                record.released_at_s = record.released_at_s or self.now
        else:
            self.end_attempt(call, has_definite_end=False)
        self.tell_state()

    def end_attempt(self, call: str, has_definite_end: bool) -> None:
        held = self.held.pop(call)
        held.attempt.ended_at_s, held.attempt.has_definite_end = self.now, has_definite_end

    def tell_state(self, *connections: ExchangeSide) -> None:
        if self.is_hung:
            return
        state = {Parameter.REPORT: f"idle:{GROUP_SIZE - len(self.held)};circuits:{GROUP_SIZE};max_rate:200"}
        for connection in connections or self.connections:
            if connection.is_live:
                connection.send(MessageType.GROUP_STATE, "0" * 16, state)

    # Failures

    def excuse_attempts(self) -> None:
        """Their ends can't be seen here while the network or the process is in trouble."""
        for call, at in self.told_at.items():
            if self.now - at < IN_FLIGHT_S:
                self.ledger.calls[call].release_was_sent = False
        self.told_at.clear()
        for held in self.held.values():
            held.attempt.is_unobservable = True

    def cut_calls(self) -> None:
        """The process is gone, and every call with it; nobody is told."""
        self.excuse_attempts()
        for call, held in self.held.items():
            if held.stands:
                self.ledger.record_call_over(call, self.now, release_was_sent=False)
        self.held.clear()
        self.untold.clear()
        self.waiting.clear()
        self.process += 1

    def vanish(self) -> None:
        self.proxy.cut()
        self.cut_calls()

    def return_anew(self) -> None:
        """After `vanish`: another process answers at the same address."""
        for connection in list(self.connections):
            if not connection.is_live:
                connection.reset()
        self.is_hung = False
        self.proxy.heal()

    def die(self) -> None:
        """The process ends: its connections are reset, and new ones are refused."""
        self.proxy.refuse_connections()
        self.cut_calls()
        for connection in list(self.connections):
            connection.reset()

    def cut(self) -> None:
        self.excuse_attempts()
        self.proxy.cut()

    def heal(self) -> None:
        self.excuse_attempts()
        self.proxy.heal()

    def hang(self) -> None:
        self.excuse_attempts()
        self.is_hung = True

    def wake(self) -> None:
        """It serves what has waited."""
        self.is_hung = False
        self.excuse_attempts()
        waiting, self.waiting = self.waiting, []
        self.is_waking = True  # what it reads now came long ago
        for connection, message in waiting:
            if connection.is_live:
                self.take(connection, message)
        self.is_waking = False
        for call, held in list(self.held.items()):
            if not held.stands:
                self.loop.call_later(self.random.uniform(*SERVICE_S), self.serve, call, held.attempt)
        self.tell_state()
