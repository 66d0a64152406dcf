"""A TCP proxy on loopback that stands in for the network between the program and one of its peers.

It forwards bytes in both directions and can interrupt the network, refuse, delay or reset connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Callable, Iterator
from functools import partial
from typing import cast

# Connections that fill the accept queue, so that the kernel drops every further SYN.
QUEUE_FILLERS = 4
# Time after a delayed connection was accepted in which data on it may have been written long before.
LATE_DATA_S = 0.1
# Value of SO_LINGER with which closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class ProxiedSocket(asyncio.Protocol):
    """One of the two sockets of a proxied connection."""

    def __init__(self, proxy: FaultProxy, connection: ProxiedConnection) -> None:
        self.proxy, self.connection = proxy, connection
        self.opposite: ProxiedSocket | None = None
        self.transport: asyncio.Transport | None = None
        self.pending = bytearray()  # bytes received at the opposite socket and not yet written to this one
        self.is_closed = False

    def as_protocol(self) -> ProxiedSocket:
        """Returns itself, so that the event loop can use this object as its protocol factory."""
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.forward_pending()

    def data_received(self, data: bytes) -> None:
        assert self.opposite is not None
        self.opposite.pending += data
        self.opposite.forward_pending()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self.proxy.handle_closed_socket(self.connection, self, exc)

    def forward_pending(self) -> None:
        """Writes the pending bytes, unless the socket is not connected yet or the network is interrupted."""
        if self.transport is not None and self.pending and not self.proxy.is_cut:
            self.transport.write(bytes(self.pending))
            self.pending.clear()

    def reset(self) -> None:
        """Closes the socket with a TCP reset, which discards unsent data."""
        if self.transport is None or self.is_closed:
            return
        tcp_socket = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


class ProxiedConnection:
    """One connection through the proxy: `program_end` leads to the program, `peer_end` to its peer."""

    def __init__(self, proxy: FaultProxy) -> None:
        self.program_end, self.peer_end = ProxiedSocket(proxy, self), ProxiedSocket(proxy, self)
        self.program_end.opposite, self.peer_end.opposite = self.peer_end, self.program_end

    def reset_program_socket(self) -> None:
        """Resets the connection to the program, since the peer cannot be reached."""
        self.program_end.reset()

    def close(self) -> None:
        """Closes both sockets after their unsent data."""
        for end in (self.program_end, self.peer_end):
            if end.transport is not None and not end.is_closed:
                end.transport.close()


class FaultProxy:
    """Forwards connections to `target`, and injects faults on request.

    All methods must be called in the proxy's event loop; `proxy_in_thread` lets other threads do so.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.listener = self.open_listener(0)
        self.host, self.port = self.listener.getsockname()
        self.connections: list[ProxiedConnection] = []
        # Sockets that closed while the network was interrupted: the opposite ones learn of it in `heal`.
        self.deferred_closes: list[tuple[ProxiedConnection, ProxiedSocket, Exception | None]] = []
        self.fillers: list[socket.socket] = []
        # Local ports of the fillers, so that `accept_connections` recognizes and drops them.
        self.filler_ports: set[int] = set()
        self.is_cut = False
        self.late_until_s = 0.0  # loop time until which arriving data may have been written long before
        self.accept_delay_s = 0.0  # from the accept of a connection to the first byte forwarded on it
        self.accept_task: asyncio.Task[None] | None = None

    @staticmethod
    def open_listener(port: int) -> socket.socket:
        """Returns a listening socket at this port of the loopback address, or at a free port for 0."""
        listener = socket.create_server(("127.0.0.1", port), backlog=128)
        listener.setblocking(False)
        return listener

    @property
    def address(self) -> str:
        """The address HOST:PORT at which the program reaches the peer through the proxy."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Begins to accept connections; the socket has listened since the constructor."""
        self.accept_task = asyncio.get_running_loop().create_task(self.accept_connections())

    async def accept_connections(self) -> None:
        """Accepts connections one after the other and connects each to the target, until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            client_socket, peer = await loop.sock_accept(self.listener)
            if peer[1] in self.filler_ports:  # `heal` has closed it
                client_socket.close()
                continue
            connection = ProxiedConnection(self)
            self.connections.append(connection)
            program_end, peer_end = connection.program_end, connection.peer_end
            delay_s = self.accept_delay_s
            await asyncio.sleep(delay_s)
            await loop.connect_accepted_socket(partial(ProxiedSocket.as_protocol, program_end), client_socket)
            if delay_s:
                self.late_until_s = loop.time() + LATE_DATA_S
                # Lets a close by the program arrive, so that a connection closed meanwhile is not forwarded.
                await asyncio.sleep(0.01)
            if program_end.is_closed:
                continue
            try:
                await loop.create_connection(partial(ProxiedSocket.as_protocol, peer_end), *self.target)
            except OSError:
                connection.reset_program_socket()
            if connection.program_end.is_closed:  # it closed while the target was being dialled
                connection.close()

    def handle_closed_socket(
        self, connection: ProxiedConnection, end: ProxiedSocket, exc: Exception | None
    ) -> None:
        """Closes or resets the opposite socket likewise; deferred while the network is interrupted."""
        if self.is_cut:
            self.deferred_closes.append((connection, end, exc))
            return
        if connection in self.connections:
            self.connections.remove(connection)
        assert end.opposite is not None
        if exc is not None:
            end.opposite.reset()
        elif end.opposite.transport is not None and not end.opposite.is_closed:
            end.opposite.transport.close()

    def cut(self) -> None:
        """Interrupts the network: open connections stay open and silent, and new ones never come up."""
        if self.is_cut:
            return
        self.is_cut = True
        assert self.accept_task is not None
        self.accept_task.cancel()
        self.listener.listen(0)
        self.filler_ports.clear()
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.filler_ports.add(filler.getsockname()[1])
            self.fillers.append(filler)

    def heal(self) -> None:
        """Restores the network: delivers pending bytes, and passes on the closes that were deferred."""
        if not self.is_cut:
            return
        self.is_cut = False
        self.listener.listen(128)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        deferred_closes, self.deferred_closes = self.deferred_closes, []
        for deferred in deferred_closes:
            self.handle_closed_socket(*deferred)
        for connection in self.connections:
            connection.program_end.forward_pending()
            connection.peer_end.forward_pending()
        self.start()

    def refuse_connections(self) -> None:
        """Closes the listening socket: new connections are refused, and open ones are not affected."""
        if self.accept_task is not None:
            self.accept_task.cancel()
            self.accept_task = None
        self.listener.close()

    def resume_accepting(self) -> None:
        """Listens again at the same port after `refuse_connections`."""
        if self.accept_task is None:
            self.listener = self.open_listener(self.port)
            self.start()

    def reset_all(self) -> None:
        """Resets every open connection at both ends."""
        for connection in list(self.connections):
            connection.program_end.reset()
            connection.peer_end.reset()

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self.accept_task is not None:
            self.accept_task.cancel()
        for filler in self.fillers:
            filler.close()
        for connection in self.connections:
            connection.close()
        self.listener.close()


@contextlib.contextmanager
def proxy_in_thread(target: str) -> Iterator[tuple[FaultProxy, Callable[[Callable[[], None]], None]]]:
    """Runs a proxy to the address `target` in a thread with its own event loop.

    Yields the proxy and a function that runs one of the proxy's methods in that loop and waits for its end.
    """
    loop = asyncio.new_event_loop()
    host, _, port = target.rpartition(":")
    proxy = FaultProxy((host, int(port)))
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    def run(method: Callable[[], None]) -> None:
        async def call() -> None:
            method()

        asyncio.run_coroutine_threadsafe(call(), loop).result(10)

    run(proxy.start)
    try:
        yield proxy, run
    finally:
        run(proxy.stop)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()
