"""A stand-in for one listed exchange, behind a fault proxy that stands in for its network.

It answers most set-ups, refuses or ignores the others, holds answered calls for a random time and reports the
state of its circuit group. It can vanish, crash, hang, lose its network, and send malformed or duplicate
answers. It checks that controllers send well-formed messages, no set-up twice and none after the drain limit;
all attempts and calls go to the ledger.
"""

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

# Circuits of the exchange's group.
GROUP_CIRCUITS = 400
# Range of the time from a set-up to its outcome.
RESPONSE_TIME_RANGE_S = (0.002, 0.04)
# Cumulative shares of set-ups that get no answer: refused for want of a circuit, failed, and ignored.
REFUSED_SHARE, FAILED_SHARE, IGNORED_SHARE = 0.04, 0.07, 0.09
# What was written at most this long before a failure may not have arrived.
IN_FLIGHT_S = 0.05
# Numbers the exchanges of the process, so that each name is used once.
name_serials = itertools.count(1)


@dataclass(slots=True)
class ExchangeCall:
    """A set-up that the exchange is working on, or a standing call."""

    connection: ControllerConnection
    attempt: Attempt
    is_standing: bool = False


class ControllerConnection(asyncio.Protocol):
    """One connection from a controller to the exchange."""

    def __init__(self, exchange: StandInExchange) -> None:
        self.exchange, self.decoder = exchange, Decoder()
        self.transport: asyncio.Transport | None = None
        self.process_number = exchange.process_number  # the process of the exchange that accepted it
        self.is_corrupted = False  # a malformed or incomplete message was written: nothing may follow it

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def is_live(self) -> bool:
        """Whether messages can be sent on it, and it leads to the process that runs now."""
        return self.is_open and not self.is_corrupted and self.process_number == self.exchange.process_number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.exchange.handle_new_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.exchange.handle_closed_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.process_number != self.exchange.process_number:
            return
        try:
            for message in self.decoder.feed(data):
                self.exchange.handle_message(self, message)
        except MalformedMessageError as error:
            self.exchange.ledger.record_violation(
                "well-formed messages",
                f"a controller sent a malformed message: {error}",
                self.exchange.now_s,
            )
            self.reset()

    def send(self, message_type: int, call: str, parameters: dict[Any, Any] | None = None) -> None:
        """Sends a message unless the connection is closed or corrupted."""
        if self.transport is not None and self.is_open and not self.is_corrupted:
            self.transport.write(encode(message_type, call, parameters))

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if self.transport is None:
            return
        tcp_socket = self.transport.get_extra_info("socket")
        if tcp_socket is not None and tcp_socket.fileno() >= 0:
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


class StandInExchange:
    """One listed exchange. A process that is replaced keeps its name unless a new one is listed."""

    def __init__(self, number: int, ledger: Ledger, random: Random, mean_holding_s: float) -> None:
        self.name = f"s-{next(name_serials):04x}"
        self.number, self.ledger, self.random, self.mean_holding_s = number, ledger, random, mean_holding_s
        self.loop = asyncio.get_running_loop()
        self.process_number = 0  # rises with each process that takes the place of a lost one
        self.connections: list[ControllerConnection] = []
        self.open_calls: dict[str, ExchangeCall] = {}
        self.release_written_at_s: dict[str, float] = {}  # by call: when its normal release was written
        self.releases_to_repeat: dict[str, int] = {}  # causes by call, for the next connection that opens
        self.is_hung = self.is_resuming = False
        self.corrupts_answers = False  # some answers are malformed, incomplete or duplicate
        self.set_up_deadline_s: float | None = None  # a set-up after this moment breaks the drain rule
        self.has_exclusive_fault = False  # a fault of the soak has it for itself
        self.unread_messages: list[tuple[ControllerConnection, Message]] = []  # arrived while it hung
        self.server: asyncio.Server | None = None
        self.proxy: FaultProxy

    @property
    def now_s(self) -> float:
        """The event loop's clock."""
        return self.loop.time()

    @property
    def is_reachable(self) -> bool:
        """Whether neither the network is interrupted nor the process hangs."""
        return not self.proxy.is_cut and not self.is_hung

    async def start(self) -> None:
        """Listens at a free port behind a new proxy."""
        self.server = await self.loop.create_server(lambda: ControllerConnection(self), "127.0.0.1", 0)
        self.proxy = FaultProxy(self.server.sockets[0].getsockname()[:2])
        self.proxy.start()

    def stop(self) -> None:
        """Closes the server and the proxy, and resets all connections."""
        if self.server is not None:
            self.server.close()
        self.proxy.stop()
        for connection in list(self.connections):
            connection.reset()

    @contextlib.contextmanager
    def exclusive_fault(self) -> Iterator[None]:
        """Marks the exchange as taken by one fault of the soak, so that no other one picks it."""
        self.has_exclusive_fault = True
        try:
            yield
        finally:
            self.has_exclusive_fault = False

    # Messages

    def handle_new_connection(self, connection: ControllerConnection) -> None:
        """Sends the group's state on a new connection and repeats the releases that were kept for it."""
        self.connections.append(connection)
        self.send_group_state(connection)
        releases_to_repeat, self.releases_to_repeat = self.releases_to_repeat, {}
        for call, cause in releases_to_repeat.items():
            connection.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))})

    def handle_closed_connection(self, connection: ControllerConnection) -> None:
        """Ends the attempts on a closed connection; standing calls go on without it."""
        if connection in self.connections:
            self.connections.remove(connection)
        for call, open_call in list(self.open_calls.items()):
            if open_call.connection is connection and not open_call.is_standing:
                self.end_attempt(call, has_definite_end=False)

    def handle_message(self, connection: ControllerConnection, message: Message) -> None:
        """Handles a set-up or a release, or keeps the message while the process hangs."""
        if self.is_hung:
            self.unread_messages.append((connection, message))
        elif message.type == MessageType.SET_UP:
            self.handle_set_up(connection, message)
        elif message.type == MessageType.RELEASE:
            self.handle_release(message.call)

    def handle_set_up(self, connection: ControllerConnection, message: Message) -> None:
        """Records the attempt and schedules its outcome.

        A set-up that was delayed by a hang or by the network may have been cancelled or sent again meanwhile,
        so its attempt is not checked.
        """
        if self.set_up_deadline_s is not None and self.now_s > self.set_up_deadline_s:
            self.ledger.record_violation(
                "no set-up after drain",
                f"{self.name} received a set-up of call {message.call} after the drain limit",
                self.now_s,
            )
        is_late = self.is_resuming or self.now_s < self.proxy.late_until_s
        if message.call in self.open_calls and not is_late:
            self.ledger.record_violation(
                "no duplicate set-up",
                f"{self.name} received the set-up of call {message.call} twice",
                self.now_s,
            )
            return
        attempt = self.ledger.record_attempt(message.call, self.name, self.now_s)
        attempt.is_unobservable = is_late
        self.open_calls[message.call] = ExchangeCall(connection, attempt)
        self.send_group_state()
        self.loop.call_later(self.random.uniform(*RESPONSE_TIME_RANGE_S), self.respond, message.call, attempt)

    def respond(self, call: str, attempt: Attempt) -> None:
        """Refuses, fails, ignores or answers an attempt that is still in progress, at random."""
        open_call = self.open_calls.get(call)
        if open_call is None or open_call.attempt is not attempt or open_call.is_standing or self.is_hung:
            return
        outcome = self.random.random()
        if outcome < REFUSED_SHARE:
            self.refuse(call, ReleaseCause.NO_CIRCUIT, {Parameter.NOTE: "group_full"})
        elif outcome < FAILED_SHARE:
            self.refuse(call, ReleaseCause.RESOURCE_UNAVAILABLE, {})
        elif outcome >= IGNORED_SHARE:
            self.answer(call, open_call)

    def refuse(self, call: str, cause: int, parameters: dict[Any, Any]) -> None:
        """Ends an attempt with a release of this cause."""
        open_call = self.open_calls[call]
        self.end_attempt(call, has_definite_end=True)
        open_call.connection.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,)), **parameters})
        self.send_group_state()

    def answer(self, call: str, open_call: ExchangeCall) -> None:
        """Answers a set-up; while `corrupts_answers` is set, some answers are malformed or sent twice."""
        description = f"{self.name}/{call}".encode()
        if self.corrupts_answers and self.random.random() < 0.2:
            self.send_corrupt_answer(call, open_call, description)
            return
        self.establish(call, open_call, description)
        open_call.connection.send(MessageType.ANSWER, call, {Parameter.DESCRIPTION: description})
        # A duplicate, and an answer of a call that does not exist.
        if self.corrupts_answers and self.random.random() < 0.2:
            for answered_call in (call, "f" * 16):
                open_call.connection.send(
                    MessageType.ANSWER, answered_call, {Parameter.DESCRIPTION: description}
                )

    def send_corrupt_answer(self, call: str, open_call: ExchangeCall, description: bytes) -> None:
        """Establishes the call, but sends random bytes or half of the answer, and closes at times."""
        message = encode(MessageType.ANSWER, call, {Parameter.DESCRIPTION: description})
        transport = open_call.connection.transport
        assert transport is not None
        self.establish(call, open_call, description)
        if open_call.connection.is_corrupted:
            return
        open_call.connection.is_corrupted = True
        match self.random.randrange(3):
            case 0:
                transport.write(struct.pack(">H", 0xFFFF) + self.random.randbytes(40))
            case 1:
                transport.write(message[: len(message) // 2])
                transport.close()
            case _:
                transport.write(message[: len(message) // 2])

    def establish(self, call: str, open_call: ExchangeCall, description: bytes) -> None:
        """Turns an attempt into a standing call that ends after a random holding time."""
        open_call.is_standing, open_call.attempt.ended_at_s = True, self.now_s
        self.ledger.record_established(call, self.now_s, description)
        self.loop.call_later(self.random.expovariate(1 / self.mean_holding_s), self.complete, call, open_call)

    def complete(self, call: str, open_call: ExchangeCall) -> None:
        """Ends a standing call normally; sends its release now and again on the next new connection."""
        if self.open_calls.get(call) is not open_call:
            return
        if self.is_hung:
            self.loop.call_later(0.1, self.complete, call, open_call)
            return
        del self.open_calls[call]
        live_connection = next(
            (each for each in (open_call.connection, *self.connections) if each.is_live), None
        )
        if live_connection is not None:
            live_connection.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))})
        self.releases_to_repeat[call] = ReleaseCause.NORMAL
        self.ledger.record_call_over(
            call, self.now_s, release_was_sent=live_connection is not None and self.is_reachable
        )
        self.release_written_at_s[call] = self.now_s
        self.send_group_state()

    def handle_release(self, call: str) -> None:
        """Ends the standing call or the attempt that a controller has released."""
        open_call = self.open_calls.get(call)
        if open_call is None:
            return
        if open_call.is_standing:
            del self.open_calls[call]
            record = self.ledger.calls.get(call)
            if record is not None and record.over_at_s is None:
                record.over_at_s = self.now_s
                record.released_at_s = record.released_at_s or self.now_s
        else:
            self.end_attempt(call, has_definite_end=False)
        self.send_group_state()

    def end_attempt(self, call: str, has_definite_end: bool) -> None:
        """Removes an attempt that is in progress, and records its end."""
        open_call = self.open_calls.pop(call)
        open_call.attempt.ended_at_s, open_call.attempt.has_definite_end = self.now_s, has_definite_end

    def send_group_state(self, *connections: ControllerConnection) -> None:
        """Sends the circuit group's state on these connections or on all; not while the process hangs."""
        if self.is_hung:
            return
        state = {
            Parameter.REPORT: (
                f"idle:{GROUP_CIRCUITS - len(self.open_calls)};circuits:{GROUP_CIRCUITS};max_rate:200"
            )
        }
        for connection in connections or self.connections:
            if connection.is_live:
                connection.send(MessageType.GROUP_STATE, "0" * 16, state)

    # Failures

    def mark_calls_unobservable(self) -> None:
        """Notes a fault in the ledger.

        The ends of attempts cannot be observed during the fault, and releases written just before it may be
        lost.
        """
        for call, written_at_s in self.release_written_at_s.items():
            if self.now_s - written_at_s < IN_FLIGHT_S:
                self.ledger.calls[call].release_was_sent = False
        self.release_written_at_s.clear()
        for open_call in self.open_calls.values():
            open_call.attempt.is_unobservable = True

    def lose_process(self) -> None:
        """Ends the process and all its calls without any message; later connections reach a new process."""
        self.mark_calls_unobservable()
        for call, open_call in self.open_calls.items():
            if open_call.is_standing:
                self.ledger.record_call_over(call, self.now_s, release_was_sent=False)
        self.open_calls.clear()
        self.releases_to_repeat.clear()
        self.unread_messages.clear()
        self.process_number += 1

    def vanish(self) -> None:
        """Interrupts the network and ends the process: its peers receive neither a close nor a reset."""
        self.proxy.cut()
        self.lose_process()

    def return_as_new_process(self) -> None:
        """Restores the network after `vanish`; another process answers at the same address."""
        for connection in list(self.connections):
            if not connection.is_live:
                connection.reset()
        self.is_hung = False
        self.proxy.heal()

    def crash(self) -> None:
        """Ends the process: its connections are reset, and new ones are refused."""
        self.proxy.refuse_connections()
        self.lose_process()
        for connection in list(self.connections):
            connection.reset()

    def cut_network(self) -> None:
        """Interrupts the network; the process goes on."""
        self.mark_calls_unobservable()
        self.proxy.cut()

    def restore_network(self) -> None:
        """Ends `cut_network`; what was sent meanwhile is delivered."""
        self.mark_calls_unobservable()
        self.proxy.heal()

    def hang(self) -> None:
        """Stops handling messages; connections stay open."""
        self.mark_calls_unobservable()
        self.is_hung = True

    def resume(self) -> None:
        """Ends a hang: handles the messages that have arrived meanwhile, and responds to all attempts."""
        self.is_hung = False
        self.mark_calls_unobservable()
        unread_messages, self.unread_messages = self.unread_messages, []
        self.is_resuming = True  # these messages were sent long ago
        for connection, message in unread_messages:
            if connection.is_live:
                self.handle_message(connection, message)
        self.is_resuming = False
        for call, open_call in list(self.open_calls.items()):
            if not open_call.is_standing:
                self.loop.call_later(
                    self.random.uniform(*RESPONSE_TIME_RANGE_S), self.respond, call, open_call.attempt
                )
        self.send_group_state()
