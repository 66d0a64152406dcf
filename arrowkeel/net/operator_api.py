"""The operators' interface: HTTP/1.1, one call a connection, answered at once. It decides nothing."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from arrowkeel.net.config import MS, Address

CALL_BYTES = 8 << 10  # of a whole call: no call of this interface is longer
LIFE_NS = 5000 * MS  # of a connection, whatever is said on it


class OperatorHandler(Protocol):
    """What operators may ask of the program, whatever they speak."""

    @property
    def is_ready(self) -> bool: ...
    def metrics(self) -> str: ...
    def standby(self) -> bool: ...
    def active(self) -> bool: ...


class OperatorConnection(asyncio.Protocol):
    """One connection and the one call that it may make."""

    def __init__(self, api: OperatorApi) -> None:
        self.api = api
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.ends_at_ns = time.monotonic_ns() + LIFE_NS
        self.taken = 0
        self.path = ""
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.api.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.api.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.is_answered:
            return
        self.taken += len(data)
        if self.taken > CALL_BYTES:
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:  # an upgrade is one too, and not to be had here
            self.answer(HTTPStatus.BAD_REQUEST)

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        self.answer(*self.api.call(self.parser.get_method().decode("latin-1"), self.path.partition("?")[0]))

    def answer(self, status: HTTPStatus, text: str = "") -> None:
        if self.is_answered or self.transport is None:
            return
        self.is_answered = True
        body = (text or f"{status.phrase}\n").encode()
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class OperatorApi:
    """The listening socket, its few connections, and which call asks what of the handler."""

    def __init__(self, handler: OperatorHandler, most: int) -> None:
        self.handler, self.most = handler, most
        self.connections: dict[OperatorConnection, None] = {}  # the first opened first
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: OperatorConnection(self), address.host, address.port)

    @property
    def listening(self) -> str:
        host, port = self.server.sockets[0].getsockname()[:2] if self.server is not None else ("", 0)
        return f"{host}:{port}"

    def opened(self, connection: OperatorConnection) -> None:
        """Guards operators against those who connect and say no more: the oldest of these makes room."""
        if len(self.connections) >= self.most:
            next(iter(self.connections)).abort()
        self.connections[connection] = None

    def sweep(self, now_ns: int) -> None:
        for connection in [connection for connection in self.connections if now_ns > connection.ends_at_ns]:
            connection.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def call(self, method: str, path: str) -> tuple[HTTPStatus, str]:
        match method, path:
            case "GET", "/status":
                return (HTTPStatus.OK if self.handler.is_ready else HTTPStatus.SERVICE_UNAVAILABLE), ""
            case "GET", "/status/metrics":
                return HTTPStatus.OK, self.handler.metrics()
            case "POST", "/standby":
                return (HTTPStatus.OK if self.handler.standby() else HTTPStatus.CONFLICT), ""
            case "POST", "/active":
                return (HTTPStatus.OK if self.handler.active() else HTTPStatus.CONFLICT), ""
            case _, "/status" | "/status/metrics" | "/standby" | "/active":
                return HTTPStatus.METHOD_NOT_ALLOWED, ""
            case _:
                return HTTPStatus.NOT_FOUND, ""
