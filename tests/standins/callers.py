"""Stand-ins for all callers of one controller, in the soak's event loop.

Usual callers place calls over a few shared connections; some of them write their set-up in pieces or slowly,
cancel it, or reset the connection. Others send malformed input or open many idle connections. What is sent
and received goes to the ledger, which checks it. The one check made here is that the controller closes the
connections of clients that send malformed input.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast

from arrowkeel.net.codec import Decoder, Message, MessageType, Parameter, ReleaseCause, encode
from tests.standins.fault_proxy import LINGER_RESET
from tests.standins.ledger import Ledger

# A set-up whose last byte was written at most this long before its connection closed is sent again, once.
RESEND_WINDOW_S = 0.05
# Connections that the usual callers keep open and share.
SHARED_CONNECTIONS = 4
# Range of the patience of usual callers.
PATIENCE_RANGE_S = (0.3, 3.0)
# Causes of a final release that count as "refused" in the ledger; all others count as "failed".
REFUSAL_CAUSES = (ReleaseCause.NO_CIRCUIT, ReleaseCause.CONGESTION, ReleaseCause.SET_UP_NOT_SENT)
# How long the connection of a usual caller is quiet: up to longer than a release may take.
QUIET_RANGE_S = (0.1, 10.0)
# What bad clients send: invalid or incomplete messages, another protocol, or nothing.
MALFORMED_INPUTS = (
    b"\x00\x03abc",
    b"\xff\xff" + b"\x00" * 64,
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00\x40\x01",
    b"\x00\x0b\x01" + b"\xee" * 8 + b"\x40\x00",
    b"",
)


class CallerConnection(asyncio.Protocol):
    """One connection of the callers to the controller."""

    def __init__(self, callers: StandInCallers) -> None:
        self.callers, self.decoder = callers, Decoder()
        self.transport: asyncio.Transport | None = None
        # By call: when the last byte of a set-up without a final response was written, and the message.
        self.open_set_ups: dict[str, tuple[float, bytes]] = {}
        self.partial_writes = 0  # messages that are being written in pieces
        self.was_reset_locally = False
        self.is_quiet = False  # open, but nothing gets through in either direction
        self.held_messages: list[Message] = []  # received while it is quiet

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and not quiet."""
        return self.is_open and not self.is_quiet

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for message in self.decoder.feed(data):
            if self.is_quiet:
                self.held_messages.append(message)
                self.callers.record_held_message(message)
            else:
                self.callers.handle_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.handle_closed_connection(self)

    def write(self, data: bytes) -> None:
        """Writes the bytes if the connection is usable; drops them otherwise."""
        if self.transport is not None and self.is_usable:
            self.transport.write(data)

    def resume(self) -> None:
        """Ends the quiet: what was held is handled now."""
        self.is_quiet = False
        held_messages, self.held_messages = self.held_messages, []
        for message in held_messages:
            self.callers.handle_message(self, message)

    def close(self) -> None:
        """Closes the connection in order; what was held is lost."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if self.transport is not None and self.is_open:
            tcp_socket = self.transport.get_extra_info("socket")
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.was_reset_locally = True
            self.transport.abort()


class StandInCallers:
    """All callers of one controller. When a connection closes, they connect again at once where possible."""

    def __init__(self, index: int, destinations: list[int], ledger: Ledger, random: Random) -> None:
        self.index, self.destinations, self.ledger, self.random = index, destinations, ledger, random
        self.loop = asyncio.get_running_loop()
        self.address = ("127.0.0.1", 0)
        self.connections: list[CallerConnection] = []
        self.controller_accepts = False  # the controller is expected to accept connections
        self.was_killed = False  # the controller was killed with SIGKILL: it owes its callers nothing more
        self.standing_calls: dict[str, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        # Set-ups sent, their outcomes, and exemptions from the ledger's rules on missing messages.
        self.counts = {"offered": 0, "answered": 0, "refused": 0, "failed": 0, "exempt": 0}
        self.counts |= {"quiet connections ended": 0, "releases held": 0}

    @property
    def now_s(self) -> float:
        """The event loop's clock."""
        return self.loop.time()

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs the coroutine as a task that is kept in `tasks` until it ends."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self) -> CallerConnection | None:
        """Opens a connection; returns None if the controller does not accept one within a second."""
        if not self.controller_accepts:
            return None
        connection = CallerConnection(self)
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: connection, *self.address), 1.0)
        except OSError:  # TimeoutError is an OSError too
            return None
        self.connections.append(connection)
        return connection

    async def pick_connection(self) -> CallerConnection | None:
        """Returns an open connection at random, sometimes a new one; None if there is none."""
        usable = [connection for connection in self.connections if connection.is_usable]
        if len(usable) < SHARED_CONNECTIONS or self.random.random() < 0.1:
            new_connection = await self.connect()
            if new_connection is not None:
                return new_connection
        return self.random.choice(usable) if usable else None

    # Usual callers

    async def place_calls(self, calls_per_s: float, until_s: float) -> None:
        """Places calls at random intervals with this mean rate, until this moment of the loop's clock."""
        while self.now_s < until_s:
            await asyncio.sleep(self.random.expovariate(calls_per_s))
            self.start_task(self.place_call(retries=2))

    async def place_call(self, retries: int) -> None:
        """Places one call, waits for its outcome, and redials at times if it was refused.

        Some callers cancel the call, and some reset the connection after the set-up.
        """
        connection = await self.pick_connection()
        if connection is None:
            return
        call = self.random.randbytes(8).hex()
        patience_s = self.random.uniform(*PATIENCE_RANGE_S)
        message = encode(
            MessageType.SET_UP,
            call,
            {
                Parameter.CLASS: self.random.choice(["voice", "data"]),
                Parameter.PATIENCE: str(int(patience_s * 1000)),
                Parameter.NUMBER: self.random.randbytes(8).hex(),
                Parameter.ROUTING: f"dest:{self.random.choice(self.destinations)};width:1;via:-1",
                Parameter.DESCRIPTION: self.random.randbytes(self.random.randrange(1, 300)),
            },
        )

        def record_sent(connection: CallerConnection) -> None:
            self.counts["offered"] += 1
            connection.open_set_ups[call] = (self.now_s, message)
            self.ledger.record_set_up_sent(call, self.index, self.now_s, patience_s)

        used = await self.write_set_up(connection, message, record_sent)
        if used is None:
            return  # the last byte was not written to an open connection, so the controller has no set-up
        connection = used
        if self.random.random() < 0.06:
            self.loop.call_later(self.random.uniform(0, 0.3), self.cancel_call, connection, call)
        elif self.random.random() < 0.01:
            self.loop.call_later(self.random.uniform(0, 0.1), connection.reset)
        await asyncio.sleep(patience_s + 0.6)
        record = self.ledger.calls[call]
        refused = bool(record.final_responses) and record.final_responses[0][1] == "refused"
        if refused and retries and self.random.random() < 0.5:
            await self.place_call(retries - 1)

    async def write_set_up(
        self, connection: CallerConnection, message: bytes, on_last_byte: Callable[[CallerConnection], None]
    ) -> CallerConnection | None:
        """Writes a set-up at once, in pieces, or slowly on a new connection of its own.

        Calls `on_last_byte` just before the last byte is written. Returns the connection that was used, or
        None if the message was not written whole.
        """
        pieces = self.random.randrange(2, 6) if self.random.random() < 0.15 else 1
        gap_s = self.random.uniform(0.0, 0.05)
        if self.random.random() < 0.02:
            new_connection = await self.connect()
            if new_connection is None:
                return None
            self.connections.remove(new_connection)
            connection, pieces, gap_s = new_connection, 5, 0.35
        if connection.partial_writes:
            return None  # another message is being written there
        connection.partial_writes += 1
        piece_bytes = -(-len(message) // pieces)
        for start in range(0, len(message), piece_bytes):
            if start:
                await asyncio.sleep(gap_s)
            if not connection.is_open:
                return None
            if start + piece_bytes >= len(message):
                on_last_byte(connection)
            connection.write(message[start : start + piece_bytes])
        connection.partial_writes -= 1
        if connection not in self.connections:
            self.connections.append(connection)
        return connection

    def cancel_call(self, connection: CallerConnection, call: str) -> None:
        """Cancels a set-up without a final response, once no message is being written in pieces."""
        if connection.partial_writes:
            self.loop.call_later(0.05, self.cancel_call, connection, call)
        elif call in connection.open_set_ups and connection.is_usable:
            del connection.open_set_ups[call]
            self.exempt_call(call)
            connection.write(
                encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))})
            )

    def exempt_call(self, call: str) -> None:
        """Exempts the call from the ledger's rules on missing and late messages, and counts it."""
        self.counts["exempt"] += 1
        self.ledger.exempt_call(call)

    def handle_message(self, connection: CallerConnection, message: Message) -> None:
        """Records an answer or a release; releases that belong to no open or standing call are ignored."""
        call = message.call
        if call not in self.ledger.calls:
            return
        if message.type == MessageType.ANSWER:
            connection.open_set_ups.pop(call, None)
            self.counts["answered"] += 1
            self.ledger.record_answer(call, self.now_s, message.parameters[Parameter.DESCRIPTION])
            self.standing_calls[call] = None
            if self.random.random() < 0.2:
                self.loop.call_later(self.random.uniform(0, 2.0), self.hang_up, call)
        elif message.type == MessageType.RELEASE and call in self.standing_calls:
            del self.standing_calls[call]
            self.ledger.record_release_to_caller(call, self.now_s)
        elif message.type == MessageType.RELEASE and call in connection.open_set_ups:
            del connection.open_set_ups[call]
            kind = "refused" if message.cause() in REFUSAL_CAUSES else "failed"
            self.counts[kind] += 1
            self.ledger.record_final_response(call, self.now_s, kind)

    def hang_up(self, call: str) -> None:
        """Releases a standing call on any connection that is free to write."""
        connection = next(
            (each for each in self.connections if each.is_usable and not each.partial_writes), None
        )
        if call in self.standing_calls and connection is not None:
            del self.standing_calls[call]
            self.ledger.calls[call].released_at_s = self.now_s
            connection.write(
                encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))})
            )

    def handle_closed_connection(self, connection: CallerConnection) -> None:
        """Sends set-ups again that were written just before the close; other open set-ups are lost."""
        if connection in self.connections:
            self.connections.remove(connection)
        for call, (sent_at_s, message) in list(connection.open_set_ups.items()):
            del connection.open_set_ups[call]
            if self.was_killed or connection.was_reset_locally or connection.is_quiet:
                self.exempt_call(call)
            elif self.now_s - sent_at_s <= RESEND_WINDOW_S:
                self.start_task(self.resend_set_up(call, message))
            else:  # the ledger reports it as a call without a final response
                self.ledger.calls[call].connection_notes += (
                    f"connection closed at {self.now_s:.3f}, "
                    f"{self.now_s - sent_at_s:.3f} s after the set-up; "
                )

    async def resend_set_up(self, call: str, message: bytes) -> None:
        """Sends a set-up again on a new connection."""
        connection = await self.connect()
        if connection is None:
            self.exempt_call(call)  # no controller accepts connections, so none has the set-up
            return
        connection.open_set_ups[call] = (self.now_s - RESEND_WINDOW_S, message)  # it is not sent a third time
        self.ledger.calls[call].connection_notes += f"sent again at {self.now_s:.3f}; "
        connection.write(message)

    def handle_controller_exit(self, killed: bool) -> None:
        """Exempts the calls that stood at the controller; if it was killed, its unanswered calls as well."""
        self.was_killed = killed
        for call in self.standing_calls:
            self.exempt_call(call)
        self.standing_calls.clear()

    # Quiet connections

    async def quieten_connection(self, random: Random) -> None:
        """Has one connection fall quiet for a while; then it works again or ends, or it stays quiet.

        The callers give up the set-ups that are open on it, as they cannot learn what becomes of them.
        """
        idle = [each for each in self.connections if each.is_usable and not each.partial_writes]
        if not idle:
            return
        connection = random.choice(idle)
        connection.is_quiet = True
        for call in connection.open_set_ups:
            self.exempt_call(call)
        end_quiet = random.choice([connection.resume, connection.close, connection.reset, None])
        await asyncio.sleep(random.uniform(*QUIET_RANGE_S))
        if end_quiet is not None and connection.is_open:
            self.counts["quiet connections ended"] += 1
            end_quiet()

    def record_held_message(self, message: Message) -> None:
        """Notes a release that was written to a quiet connection: it could not be delivered on it."""
        if message.type == MessageType.RELEASE and message.call in self.standing_calls:
            self.counts["releases held"] += 1
            self.ledger.record_held_release(message.call)

    # Other clients

    async def send_malformed_input(self) -> None:
        """Sends malformed input, then nothing; the controller must close the connection within 3 s."""
        connection = await self.connect()
        if connection is None:
            return
        self.connections.remove(connection)
        connection.write(self.random.choice(MALFORMED_INPUTS))
        started_at_s = self.now_s
        while connection.is_open and self.now_s < started_at_s + 3.5:
            await asyncio.sleep(0.1)
        if connection.is_open and self.controller_accepts:
            self.ledger.record_violation(
                "close of bad clients",
                "the controller did not close a connection within 3 s after malformed input",
                self.now_s,
            )
        connection.reset()

    async def open_idle_connections(self, count: int) -> None:
        """Opens connections that send nothing or an incomplete message, and resets them after 1 to 4 s."""
        for _ in range(count):
            connection = await self.connect()
            if connection is not None:
                self.connections.remove(connection)
                connection.write(self.random.choice([b"", b"\x00\x40\x01"]))
                self.loop.call_later(self.random.uniform(1.0, 4.0), connection.reset)
