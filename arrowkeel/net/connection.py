"""The base of connections to exchanges and from callers: decoding, bounded writing, rate-limited logging.

Connections take turns: each handles a limited number of messages in one iteration of the event loop, and
reads no more while complete messages are left. So a peer that never stops sending delays the others by one
turn of its own in each iteration. Callers' turns are the shorter the more of them wait for the next one;
those of exchanges are not, as what they send ends work that has begun.

A peer that sends malformed messages or stops reading has its connection closed, with a limited number of log
entries and limited memory.
"""

from __future__ import annotations

import asyncio
import fcntl
import itertools
import select
import struct
import termios
import time
from collections.abc import Callable
from typing import Any, cast

import structlog

from arrowkeel.net.codec import Decoder, MalformedMessageError, Message

# Minimum time between two entries of the same event; the next entry says how many were left out in between.
LOG_INTERVAL_NS = 5_000_000_000
STALL_NS = 100_000_000  # a callback that keeps the event loop for longer is logged
MESSAGES_PER_TURN = 16  # of one connection in one iteration of the event loop
MESSAGES_PER_ITERATION = 256  # of all callers' connections that wait for their next turn
READ_SIZE_BYTES = 16 * 1024  # read from one connection at once
# Filled and emptied within one event of one connection, hence shared by all of them.
read_buffer = memoryview(bytearray(READ_SIZE_BYTES))


connection_numbers = itertools.count(1)


class RateLimitedLog:
    """A logger that writes each event at most once per interval.

    It is used for what bad input causes, so that a flood of such input does not flood the log as well.
    """

    def __init__(self) -> None:
        self.log = structlog.get_logger()
        # By event: when it was last written, and the number of entries left out since.
        self.last_entries: dict[str, tuple[int, int]] = {}

    def info(self, event: str, **fields: Any) -> None:
        """Writes an entry of level info, if its event is due."""
        self.write(self.log.info, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Writes an entry of level warning, if its event is due."""
        self.write(self.log.warning, event, fields)

    def write(self, write_entry: Callable[..., Any], event: str, fields: dict[str, Any]) -> None:
        """Writes the entry, or counts it if the event was written less than an interval ago."""
        now_ns = time.monotonic_ns()
        written_at_ns, left_out = self.last_entries.get(event, (-LOG_INTERVAL_NS, 0))
        if now_ns - written_at_ns < LOG_INTERVAL_NS:
            self.last_entries[event] = (written_at_ns, left_out + 1)
            return
        self.last_entries[event] = (now_ns, 0)
        write_entry(event, left_out=left_out, **fields)


log = RateLimitedLog()


def log_stall(event: str, started_at_ns: int, **fields: Any) -> None:
    """Logs a callback that began at this moment, if it has kept the event loop for longer than STALL_NS."""
    took_ns = time.monotonic_ns() - started_at_ns
    if took_ns > STALL_NS:
        log.warning(event, took_ms=took_ns // 1_000_000, **fields)


class SharedTurns:
    """The connections that share the messages of one iteration of the event loop."""

    def __init__(self) -> None:
        self.waiting = 0  # connections with messages left for their next turn

    def messages_per_turn(self) -> int:
        """How many messages a connection may handle in one iteration."""
        share = MESSAGES_PER_ITERATION // max(1, self.waiting)
        return max(1, min(MESSAGES_PER_TURN, share))


class MessageConnection(asyncio.BufferedProtocol):
    """One connection that carries messages of many calls.

    Subclasses implement `handle_message`. `peer_name` names the peer in the log; a peer that leaves more than
    `unsent_limit_bytes` unread is disconnected. Without `turns` it shares its turns with no other connection.
    """

    def __init__(self, peer_name: str, unsent_limit_bytes: int, turns: SharedTurns | None = None) -> None:
        self.peer_name = peer_name
        self.turns = turns or SharedTurns()
        self.number = next(connection_numbers)  # identifies this connection in the log
        self.unsent_limit_bytes = unsent_limit_bytes
        self.decoder = Decoder()
        self.transport: asyncio.Transport | None = None
        self.incomplete_since_ns = 0  # since when an incomplete message is buffered; 0 while none is
        self.closing_since_ns = 0  # when `close` was first called; 0 before
        self.ignores_input = False  # this side has closed the connection: received messages are discarded
        self.is_turn_scheduled = False  # complete messages are left for the next turn
        self.is_write_paused = False  # the peer does not read what is written
        self.is_read_paused = False
        self.was_read_to_end = False  # the peer closed the connection and all that it sent has been read
        self.was_aborted = False  # closed here without sending what had been written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unhandled_bytes(self) -> int:
        """How many received bytes are buffered, as of incomplete messages or for the next turn."""
        return 0 if self.ignores_input else len(self.decoder.buffer)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes wait to be read from the socket, or to be handled in the next turn."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))[0]
        return count > 0 or self.is_turn_scheduled

    @property
    def has_peer_closed(self) -> bool:
        """Whether the peer has closed the connection, also while bytes that it sent before are unread."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        return any(events & select.POLLRDHUP for _, events in poller.poll(0))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the event loop writes what it reads."""
        return read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what the event loop has read."""
        self.data_received(bytes(read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles one turn of the complete messages; the rest follows in the next iterations of the loop."""
        self.handle_messages(data, self.messages_per_turn())
        if self.decoder.has_message and not self.ignores_input:
            self.is_turn_scheduled = True
            self.turns.waiting += 1
            asyncio.get_running_loop().call_soon(self.take_turn)
        self.update_reading()

    def messages_per_turn(self) -> int | None:
        """How many messages may be handled in one iteration of the event loop; None for all that are read."""
        return self.turns.messages_per_turn()

    def take_turn(self) -> None:
        """Handles the next messages of those that have been read."""
        self.turns.waiting -= 1
        if self.is_turn_scheduled:
            self.is_turn_scheduled = False
            self.data_received(b"")

    def handle_messages(self, data: bytes, limit: int | None) -> None:
        """Decodes the bytes, handles up to `limit` messages, and notes whether an incomplete one is left."""
        started_at_ns = time.monotonic_ns()
        messages = self.decoder.feed(data)
        try:
            for message in itertools.islice(messages, limit):
                if self.ignores_input:
                    return
                self.handle_message(message)
        except MalformedMessageError as error:
            self.handle_protocol_error(str(error))
        finally:
            messages.close()
        log_stall(
            "messages of one connection held up the event loop",
            started_at_ns,
            side=self.peer_name,
            connection=self.number,
            messages=self.decoder.completed_count,
        )
        if not self.decoder.buffer or self.decoder.has_message:
            self.incomplete_since_ns = 0
        elif self.decoder.completed_count or not self.incomplete_since_ns:
            self.incomplete_since_ns = time.monotonic_ns()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles what was received before the connection ended; called by the event loop at the end."""
        self.is_turn_scheduled = False
        if not self.ignores_input:
            self.handle_messages(b"", None)

    def eof_received(self) -> None:
        """Notes that the peer has closed the connection; this side closes it as well."""
        self.was_read_to_end = True

    def handle_protocol_error(self, reason: str) -> None:
        """Closes the connection: after malformed input, message boundaries can't be relied on any more."""
        log.warning(
            "malformed message, connection closed", side=self.peer_name, connection=self.number, reason=reason
        )
        self.abort()

    def handle_message(self, message: Message) -> None:
        """Handles one received message; raises `MalformedMessageError` if its contents can't be used."""
        raise NotImplementedError

    def write(self, data: bytes) -> bool:
        """Queues the bytes for sending; returns whether the connection accepted them."""
        if self.transport is None or self.transport.is_closing():
            return False
        # A peer that has stopped reading must not fill the memory: what it has not read is discarded.
        if self.transport.get_write_buffer_size() + len(data) > self.unsent_limit_bytes:
            log.warning(
                "peer stopped reading, connection closed", side=self.peer_name, connection=self.number
            )
            self.abort()
            return False
        self.transport.write(data)
        return True

    def pause_writing(self) -> None:
        """Stops reading while the peer does not read, so that it can't cause more output."""
        self.is_write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        """Reads again once the peer has read enough."""
        self.is_write_paused = False
        self.update_reading()

    def update_reading(self) -> None:
        """Reads from the socket unless messages are left to handle or the peer does not read."""
        should_pause = self.is_write_paused or self.is_turn_scheduled
        if self.transport is None or self.transport.is_closing() or should_pause == self.is_read_paused:
            return
        self.is_read_paused = should_pause
        if should_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def abort(self) -> None:
        """Closes the connection at once and discards what has not been sent."""
        self.ignores_input = self.was_aborted = True
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after everything written so far has been sent."""
        self.ignores_input = True
        if self.transport is not None:
            self.closing_since_ns = self.closing_since_ns or time.monotonic_ns()
            self.transport.close()
