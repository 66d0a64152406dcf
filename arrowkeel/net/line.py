"""What both sides' connections have in common: decoding, bounded writing, one log line on bad input."""

from __future__ import annotations

import asyncio
from typing import cast

import structlog

from arrowkeel.net.codec import Decoder, MalformedMessageError, Message

UNSENT_LIMIT = 1 << 20  # bytes that a peer may leave unread; beyond it the connection is closed
log = structlog.get_logger()


class Line(asyncio.Protocol):
    """One connection that carries messages of many calls."""

    def __init__(self, side: str) -> None:
        self.side = side
        self.decoder = Decoder()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.decoder.feed(data):
                if not self.is_open:
                    return
                self.take(message)
        except MalformedMessageError as error:
            log.warning("malformed message, connection closed", side=self.side, reason=str(error))
            self.abort()

    def take(self, message: Message) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> bool:
        """Whether the bytes were handed to the connection."""
        if self.transport is None or self.transport.is_closing():
            return False
        # A peer that has stopped reading must not fill our memory: what it would not read is given up.
        if self.transport.get_write_buffer_size() + len(data) > UNSENT_LIMIT:
            log.warning("peer stopped reading, connection closed", side=self.side)
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
        if self.transport is not None:
            self.transport.close()
