"""What both sides' connections have in common: decoding, bounded writing, a sparse log of bad input."""

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

SPARSE_NS = 5_000_000_000  # one line of a kind in so long; how many were left out is told with the next


connection_numbers = itertools.count(1)


class RateLimitedLog:
    """What bad input causes is logged now and then: a flood of it must not flood the log too."""

    def __init__(self) -> None:
        self.log = structlog.get_logger()
        self.since: dict[str, tuple[int, int]] = {}  # by event: when it was last told, how many since

    def info(self, event: str, **facts: Any) -> None:
        self.write(self.log.info, event, facts)

    def warning(self, event: str, **facts: Any) -> None:
        self.write(self.log.warning, event, facts)

    def write(self, log: Callable[..., Any], event: str, facts: dict[str, Any]) -> None:
        now = time.monotonic_ns()
        told_ns, left_out = self.since.get(event, (-SPARSE_NS, 0))
        if now - told_ns < SPARSE_NS:
            self.since[event] = (told_ns, left_out + 1)
            return
        self.since[event] = (now, 0)
        log(event, left_out=left_out, **facts)


log = RateLimitedLog()


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A release written to a connection, held for as long as the connection may still lose it."""

    cause: int
    sent_ns: int


class MessageConnection(asyncio.Protocol):
    """One connection that carries messages of many calls."""

    def __init__(self, side: str, unsent_limit: int) -> None:
        self.side = side
        self.number = next(connection_numbers)  # names this connection in the log
        self.unsent_limit = unsent_limit  # bytes that the peer may leave unread
        self.decoder = Decoder()
        self.transport: asyncio.Transport | None = None
        self.incomplete_since_ns = 0  # since when a message is begun and not whole; 0 while none is
        self.closing_since_ns = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have come that the loop has not handed over yet."""
        held = self.transport.get_extra_info("socket") if self.transport is not None else None
        if held is None or held.fileno() < 0:
            return False
        count: int = struct.unpack("i", fcntl.ioctl(held.fileno(), termios.FIONREAD, b"\0" * 4))[0]
        return count > 0

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.decoder.feed(data):
                if not self.is_open:
                    return
                self.handle_message(message)
        except MalformedMessageError as error:
            self.handle_protocol_error(str(error))
        if not self.decoder.buffer:
            self.incomplete_since_ns = 0
        elif self.decoder.completed_count or not self.incomplete_since_ns:
            self.incomplete_since_ns = time.monotonic_ns()

    def handle_protocol_error(self, reason: str) -> None:
        """What comes on this connection can't be told apart any more: it is closed."""
        log.warning(
            "malformed message, connection closed", side=self.side, connection=self.number, reason=reason
        )
        self.abort()

    def handle_message(self, message: Message) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> bool:
        """Whether the bytes were handed to the connection."""
        if self.transport is None or self.transport.is_closing():
            return False
        # A peer that has stopped reading must not fill our memory: what it would not read is given up.
        if self.transport.get_write_buffer_size() + len(data) > self.unsent_limit:
            log.warning("peer stopped reading, connection closed", side=self.side, connection=self.number)
            self.abort()
            return False
        self.transport.write(data)
        return True

    def pause_writing(self) -> None:
        """While it reads nothing it may not ask for more either."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """What was written still leaves."""
        if self.transport is not None:
            self.closing_since_ns = self.closing_since_ns or time.monotonic_ns()
            self.transport.close()
