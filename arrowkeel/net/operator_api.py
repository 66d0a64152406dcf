"""The operators' HTTP/1.1 interface: readiness, metrics, and switching standby on and off.

Each connection may make one request, which is answered at once. What a request does is up to the handler.
"""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from arrowkeel.net.config import MS, Address

MAX_REQUEST_BYTES = 8 << 10  # head and body; no request of this interface needs more
CONNECTION_LIFETIME_NS = 5000 * MS  # of each connection, whatever is received on it


class OperatorHandler(Protocol):
    """What operators may request of the program, independent of the protocol that they use."""

    @property
    def is_ready(self) -> bool: ...  # whether new calls are accepted
    def render_metrics(self) -> str: ...
    def enter_standby(self) -> bool: ...  # whether the program is in standby afterwards
    def leave_standby(self) -> bool: ...  # whether the program is ready afterwards


class OperatorConnection(asyncio.Protocol):
    """One connection and the one request that it may make."""

    def __init__(self, api: OperatorApi) -> None:
        self.api = api
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.expires_at_ns = time.monotonic_ns() + CONNECTION_LIFETIME_NS
        self.received_bytes = 0
        self.path = ""
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.api.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.api.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.is_answered:
            return
        self.received_bytes += len(data)
        if self.received_bytes > MAX_REQUEST_BYTES:
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:  # also raised for an upgrade request, which is not supported
            self.answer(HTTPStatus.BAD_REQUEST)

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_message_complete(self) -> None:
        self.answer(
            *self.api.handle_request(self.parser.get_method().decode("latin-1"), self.path.partition("?")[0])
        )

    def answer(self, status: HTTPStatus, text: str = "") -> None:
        """Sends the response and closes the connection; without a text the body is the status phrase."""
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
        """Ends the connection at once, without a response."""
        if self.transport is not None:
            self.transport.abort()


class OperatorApi:
    """The HTTP server: a listening socket, a bounded number of connections, and the routing of requests."""

    def __init__(self, handler: OperatorHandler, max_connections: int) -> None:
        self.handler, self.max_connections = handler, max_connections
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Starts to accept connections; raises OSError if the address cannot be used."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: OperatorConnection(self), address.host, address.port)

    @property
    def listen_address(self) -> str:
        """The address as `host:port`, with the port that the system chose; `:0` while not listening."""
        host, port = self.server.sockets[0].getsockname()[:2] if self.server is not None else ("", 0)
        return f"{host}:{port}"

    def add_connection(self, connection: OperatorConnection) -> None:
        """Registers a new connection; at the limit the oldest one is aborted.

        This way clients that connect and send no request cannot keep operators out.
        """
        if len(self.connections) >= self.max_connections:
            next(iter(self.connections)).abort()
        self.connections[connection] = None

    def sweep(self, now_ns: int) -> None:
        """Aborts the connections that have existed for too long."""
        for connection in [each for each in self.connections if now_ns > each.expires_at_ns]:
            connection.abort()

    def close(self) -> None:
        """Stops listening and aborts every connection."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def handle_request(self, method: str, path: str) -> tuple[HTTPStatus, str]:
        """Carries out a request and returns the status and the body of its response."""
        match method, path:
            case "GET", "/status":
                return (HTTPStatus.OK if self.handler.is_ready else HTTPStatus.SERVICE_UNAVAILABLE), ""
            case "GET", "/status/metrics":
                return HTTPStatus.OK, self.handler.render_metrics()
            case "POST", "/standby":
                return (HTTPStatus.OK if self.handler.enter_standby() else HTTPStatus.CONFLICT), ""
            case "POST", "/active":
                return (HTTPStatus.OK if self.handler.leave_standby() else HTTPStatus.CONFLICT), ""
            case _, "/status" | "/status/metrics" | "/standby" | "/active":
                return HTTPStatus.METHOD_NOT_ALLOWED, ""
            case _:
                return HTTPStatus.NOT_FOUND, ""
