"""The base of connections to exchanges and from callers: decoding, bounded writing, rate-limited logging.

A peer that sends malformed messages or stops reading has its connection closed, with a limited number of log
entries and limited memory.
"""

from __future__ import annotations

import asyncio
import fcntl
import itertools
import struct
import termios
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import structlog

from arrowkeel.net.codec import Decoder, MalformedMessageError, Message

# Minimum time between two entries of the same event; the next entry says how many were left out in between.
LOG_INTERVAL_NS = 5_000_000_000


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


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A release written to a connection, kept to be sent again if the connection loses it."""

    cause: int
    sent_at_ns: int  # when it was written


class MessageConnection(asyncio.Protocol):
    """One connection that carries messages of many calls.

    Subclasses implement `handle_message`. `peer_name` names the peer in the log; a peer that leaves more than
    `unsent_limit_bytes` unread is disconnected.
    """

    def __init__(self, peer_name: str, unsent_limit_bytes: int) -> None:
        self.peer_name = peer_name
        self.number = next(connection_numbers)  # identifies this connection in the log
        self.unsent_limit_bytes = unsent_limit_bytes
        self.decoder = Decoder()
        self.transport: asyncio.Transport | None = None
        self.incomplete_since_ns = 0  # since when an incomplete message is buffered; 0 while none is
        self.closing_since_ns = 0  # when `close` was first called; 0 before
        self.was_read_to_end = False  # the peer closed the connection and all that it sent has been read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket holds received bytes that the event loop has not delivered yet."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))[0]
        return count > 0

    def data_received(self, data: bytes) -> None:
        """Decodes the bytes, handles each complete message and notes whether an incomplete one is left."""
        try:
            for message in self.decoder.feed(data):
                if self.transport is None or self.transport.is_closing():
                    return
                self.handle_message(message)
        except MalformedMessageError as error:
            self.handle_protocol_error(str(error))
        if not self.decoder.buffer:
            self.incomplete_since_ns = 0
        elif self.decoder.completed_count or not self.incomplete_since_ns:
            self.incomplete_since_ns = time.monotonic_ns()

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
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads again once the peer has read enough."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def abort(self) -> None:
        """Closes the connection at once and discards what has not been sent."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after everything written so far has been sent."""
        if self.transport is not None:
            self.closing_since_ns = self.closing_since_ns or time.monotonic_ns()
            self.transport.close()
