"""Stand-ins and helpers that the cases of the second review share.

Everything runs on loopback addresses and the real clock. The stand-ins follow the operators' protocol page;
where it is silent they behave like a sound caller, exchange, change log or platform. They have a codec of
their own, so that a case does not depend on the code under review.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SET_UP, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 9, 12, 16, 43, 52, 53
CLASS, PATIENCE, REDIAL, NUMBER, ROUTING, NOTE, REPORT, CAUSE, DESCRIPTION = (
    64,
    66,
    70,
    72,
    74,
    78,
    82,
    92,
    94,
)
REFUSED_CAUSES = (34, 42, 102)
NO_CALL = "0" * 16
LINGER_RESET = struct.pack("ii", 1, 0)


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def encode(kind: int, call: str, parameters: dict[int, bytes | str] | None = None) -> bytes:
    """Returns the bytes of one message."""
    body = bytes((kind,)) + bytes.fromhex(call)
    for code, value in (parameters or {}).items():
        raw = value.encode() if isinstance(value, str) else value
        body += struct.pack(">BH", code, len(raw)) + raw
    if len(body) + 2 > 16 * 1024:
        raise CannotRunError("a stand-in made a message of more than 16 KiB")
    return struct.pack(">H", len(body)) + body


def decode(buffer: bytearray) -> list[tuple[int, str, dict[int, bytes]]]:
    """Removes the complete messages from the buffer and returns them as (type, call, parameters)."""
    messages: list[tuple[int, str, dict[int, bytes]]] = []
    start = 0
    while len(buffer) - start >= 2:
        end = start + 2 + struct.unpack_from(">H", buffer, start)[0]
        if len(buffer) < end:
            break
        parameters: dict[int, bytes] = {}
        offset = start + 11
        while offset < end:
            code, length = struct.unpack_from(">BH", buffer, offset)
            parameters[code] = bytes(buffer[offset + 3 : offset + 3 + length])
            offset += 3 + length
        messages.append((buffer[start + 2], bytes(buffer[start + 3 : start + 11]).hex(), parameters))
        start = end
    del buffer[:start]
    return messages


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self.started_at_s

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now_s():9.4f} {text}\n")
        self.file.flush()


class Peer(asyncio.Protocol):
    """One connection of a stand-in."""

    def __init__(
        self,
        on_message: Callable[[Peer, int, str, dict[int, bytes]], None],
        on_open: Callable[[Peer], None] | None = None,
        on_close: Callable[[Peer], None] | None = None,
    ) -> None:
        self.on_message, self.on_open, self.on_close = on_message, on_open, on_close
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.is_closed = False

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.is_closed and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.on_open:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        for kind, call, parameters in decode(self.buffer):
            self.on_message(self, kind, call, parameters)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        if self.on_close:
            self.on_close(self)

    def send(self, kind: int, call: str, parameters: dict[int, bytes | str] | None = None) -> bool:
        if not self.is_open:
            return False
        assert self.transport is not None
        self.transport.write(encode(kind, call, parameters))
        return True

    def reset(self) -> None:
        """Ends the connection with a TCP reset."""
        if self.is_open:
            assert self.transport is not None
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()

    def close(self) -> None:
        if self.is_open:
            assert self.transport is not None
            self.transport.close()


class Exchange:
    """One exchange. It answers each set-up after `answer_delay_s` and holds the call for `hold_s`.

    `on_set_up` may take a set-up over by returning True. The group's state goes first on each new connection
    and then on each open one when it changes. A release goes on the set-up's connection, else on any open
    one, and again on the next connection that is opened.
    """

    def __init__(self, name: str, number: int, record: Record, zone: str = "muscat") -> None:
        self.name, self.number, self.record, self.zone = name, number, record, zone
        self.lifecycle, self.started_at_ms = "up", 0
        self.answer_delay_s, self.hold_s, self.circuits = 0.02, 10.0, 400
        self.hold_for: Callable[[], float] | None = None  # how long the next call stands, if not `hold_s`
        self.peers: list[Peer] = []
        self.set_ups: dict[str, Peer] = {}  # taken and neither answered, ended nor given up
        self.standing: dict[str, Peer] = {}
        self.received: list[tuple[float, str]] = []  # every set-up that arrived whole
        self.releases_received: list[tuple[float, str, int]] = []
        self.to_repeat: dict[str, int] = {}
        self.on_set_up: Callable[[Peer, str, dict[int, bytes]], bool] | None = None
        self.on_run: Callable[[str], None] | None = None  # a set-up has run: the call stands here
        self.on_over: Callable[[str, str], None] | None = None  # a standing call is over, and why
        self.description_for: Callable[[str], bytes] = lambda call: f"{self.name}/{call}".encode()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.listed_port = 0  # in the change log's list; that of a network proxy where there is one

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Peer(self.message, self.opened, self.closed), "127.0.0.1", self.port
        )
        self.port = self.listed_port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Returns this exchange as an entry of the change log's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.listed_port}",
            "zone": self.zone,
            "machineType": "small-1core",
            "cell": self.number,
            "lifecycle": self.lifecycle,
            "weight": 1,
            "startedAtMs": self.started_at_ms,
        }

    def opened(self, peer: Peer) -> None:
        self.peers.append(peer)
        self.report(peer)
        repeated, self.to_repeat = self.to_repeat, {}
        for call, cause in repeated.items():
            peer.send(RELEASE, call, {CAUSE: bytes((cause,))})
            self.record(f"{self.name} repeats the release of {call} on a new connection")

    def closed(self, peer: Peer) -> None:
        self.peers.remove(peer)
        given_up = [call for call, where in self.set_ups.items() if where is peer]
        for call in given_up:
            del self.set_ups[call]
            self.record(f"{self.name} sees the connection of the open set-up {call} end")
        if given_up:
            self.report()

    def report(self, *peers: Peer) -> None:
        busy = len(self.set_ups) + len(self.standing)
        text = f"idle:{self.circuits - busy};circuits:{self.circuits}"
        for peer in peers or tuple(self.peers)[:4]:
            peer.send(STATE, NO_CALL, {REPORT: text})

    def message(self, peer: Peer, kind: int, call: str, parameters: dict[int, bytes]) -> None:
        if kind == SET_UP:
            self.received.append((self.record.now_s(), call))
            self.record(f"{self.name} receives set-up {call}")
            self.set_ups[call] = peer
            self.report()
            if self.on_set_up is None or not self.on_set_up(peer, call, parameters):
                asyncio.get_running_loop().call_later(self.answer_delay_s, self.answer, call, peer)
        elif kind == RELEASE:
            self.releases_received.append((self.record.now_s(), call, parameters[CAUSE][0]))
            known = "set-up" if call in self.set_ups else "call" if call in self.standing else "unknown call"
            self.record(f"{self.name} receives release of {known} {call}, cause {parameters[CAUSE][0]}")
            if self.set_ups.pop(call, None):
                self.report()
            if self.standing.pop(call, None):
                if self.on_over:
                    self.on_over(call, "released by the controller")
                self.report()
        elif kind == TEST:
            peer.send(TESTED, call, {CAUSE: b"\x01"})

    def answer(self, call: str, peer: Peer) -> None:
        """Answers a set-up that is still open; the call stands then."""
        if self.set_ups.get(call) is not peer:
            return
        self.run(call, peer)
        peer.send(ANSWER, call, {DESCRIPTION: self.description_for(call)})
        self.record(f"{self.name} answers {call}")

    def run(self, call: str, peer: Peer) -> None:
        """Runs a set-up: the call stands from now on, and ends after `hold_s`."""
        del self.set_ups[call]
        self.standing[call] = peer
        if self.on_run:
            self.on_run(call)
        hold_s = self.hold_for() if self.hold_for else self.hold_s
        asyncio.get_running_loop().call_later(hold_s, self.end, call)

    def end(self, call: str, cause: int = 16) -> None:
        """Ends a standing call: its release goes out now, and again on the next new connection."""
        peer = self.standing.pop(call, None)
        if peer is None:
            return
        carrier = next((each for each in (peer, *self.peers) if each.is_open), None)
        if carrier is not None:
            carrier.send(RELEASE, call, {CAUSE: bytes((cause,))})
        self.to_repeat[call] = cause
        self.record(f"{self.name} ends {call} ({'release sent' if carrier else 'no connection for it'})")
        if self.on_over:
            self.on_over(call, "ended at the exchange")
        self.report()


class ChangeLog:
    """Serves numbered events to the controllers that ask for them, and a line with the last number a second.

    While `is_down` it refuses connections and has ended the open ones.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: dict[asyncio.StreamWriter, int] = {}
        self.beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.beat is None:
            self.beat = asyncio.get_running_loop().create_task(self.tick())

    def stop(self) -> None:
        """Refuses new connections and ends the open ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def publish(self, *exchanges: Exchange, reset: bool = False) -> None:
        """Adds one event with the entries of these exchanges, and tells it to all that listen."""
        seq = len(self.events) + 1
        fleet = {"generation": seq, "reset": reset, "instances": [each.entry() for each in exchanges]}
        self.events.append({"seq": seq, "fleet": fleet})
        self.record(f"change log: event {seq}, " + ", ".join(f"{e.name} {e.lifecycle}" for e in exchanges))
        self.flush()

    def flush(self) -> None:
        for writer, last in list(self.writers.items()):
            for event in self.events[last:]:
                writer.write(json.dumps(event).encode() + b"\n")
                self.record(f"change log: event {event['seq']} told")
            self.writers[writer] = len(self.events)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            line = await reader.readline()
            self.writers[writer] = int(line.split()[1])
            self.flush()
            await reader.read()
        self.writers.pop(writer, None)
        writer.close()

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self.writers):
                with contextlib.suppress(OSError):
                    writer.write(json.dumps({"seq": len(self.events)}).encode() + b"\n")


class Caller:
    """One connection of callers, and what was sent and received on it."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.peer = Peer(self.message, None, self.closed)
        self.sent: dict[str, tuple[float, float]] = {}  # by call: when its last byte was written, patience
        self.answers: dict[str, tuple[float, bytes]] = {}
        self.refusals: dict[str, tuple[float, int]] = {}  # releases before the answer: when, and the cause
        self.releases: dict[str, float] = {}  # releases after the answer, or of calls of other connections
        self.extra: list[str] = []  # second final answers
        self.tests: list[int] = []
        self.closed_at_s: float | None = None
        self.on_release: Callable[[str], None] | None = None

    async def connect(self, port: int) -> Caller:
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self.peer, "127.0.0.1", port)
        return self

    def set_up(
        self,
        destination: int,
        patience_ms: int = 3000,
        class_name: str = "recipe-lookup",
        number: str | None = None,
        description: bytes = b"shade 12, can 4",
        call: str | None = None,
        quiet: bool = False,
    ) -> str:
        """Sends a set-up and returns its id."""
        call = call or os.urandom(8).hex()
        self.sent[call] = (self.record.now_s(), patience_ms / 1000)
        parameters: dict[int, bytes | str] = {
            CLASS: class_name,
            PATIENCE: str(patience_ms),
            NUMBER: number or os.urandom(8).hex(),
            ROUTING: f"dest:{destination};width:1;via:-1",
            DESCRIPTION: description,
        }
        self.peer.send(SET_UP, call, parameters)
        if not quiet:
            self.record(f"{self.name} sends set-up {call} to {destination}, waits {patience_ms} ms")
        return call

    def release(self, call: str, cause: int = 16) -> None:
        """Releases a standing call, or gives a set-up up."""
        self.record(f"{self.name} releases {call}")
        self.peer.send(RELEASE, call, {CAUSE: bytes((cause,))})

    def message(self, peer: Peer, kind: int, call: str, parameters: dict[int, bytes]) -> None:
        now_s = self.record.now_s()
        if kind == ANSWER:
            if call in self.answers or call in self.refusals:
                self.extra.append(call)
            self.answers[call] = (now_s, parameters.get(DESCRIPTION, b""))
            self.record(f"{self.name} receives the answer of {call}")
        elif kind == RELEASE:
            cause = parameters[CAUSE][0]
            if call in self.sent and call not in self.answers and call not in self.refusals:
                self.refusals[call] = (now_s, cause)
            else:
                self.releases.setdefault(call, now_s)
                if self.on_release:
                    self.on_release(call)
            self.record(f"{self.name} receives a release of {call}, cause {cause}")
        elif kind == TESTED:
            self.tests.append(parameters[CAUSE][0])

    def closed(self, peer: Peer) -> None:
        self.closed_at_s = self.record.now_s()
        self.record(f"{self.name}: connection ended")

    def unanswered(self) -> list[str]:
        """Returns the set-ups without a final answer."""
        return [call for call in self.sent if call not in self.answers and call not in self.refusals]


class LinkEnd(asyncio.Protocol):
    """One of the two sockets of a link; what it receives goes out at the other one."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.other: LinkEnd | None = None
        self.transport: asyncio.Transport | None = None
        self.early = bytearray()  # to be sent once this end is connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.early:
            self.transport.write(bytes(self.early))  # type: ignore[union-attr]

    def data_received(self, data: bytes) -> None:
        if self.link.is_quiet or self.other is None:
            return
        if self.other.transport is None:
            self.other.early += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.link.is_quiet and self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Link:
    """A proxy between callers and the controller, whose connections can fall quiet and then be reset."""

    def __init__(self, port: int) -> None:
        self.target, self.port = port, 0
        self.is_quiet = False
        self.ends: list[LinkEnd] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()

        def accepted() -> LinkEnd:
            near, far = LinkEnd(self), LinkEnd(self)
            near.other, far.other = far, near
            self.ends += [near, far]
            task = loop.create_task(loop.create_connection(lambda: far, "127.0.0.1", self.target))
            self.tasks.add(task)
            return near

        self.server = await loop.create_server(accepted, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Resets every connection at both ends, and drops what it held."""
        for end in self.ends:
            if end.transport is not None and not end.transport.is_closing():
                sock = end.transport.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                end.transport.abort()


class NetworkEnd(asyncio.Protocol):
    """One socket of a connection through a `Network`."""

    def __init__(self, network: Network, pair: NetworkPair) -> None:
        self.network, self.pair = network, pair
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        self.pending = bytearray()  # received here, not yet delivered to the other end
        self.pending_since_s = 0.0  # when the first of these bytes was written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if not self.pending:
            self.pending_since_s = time.monotonic()
        self.pending += data
        self.pair.forward(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self.pair.closed(self, exc)

    def reset(self) -> None:
        if self.transport is not None and not self.is_closed:
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()


class NetworkPair:
    """One connection: `near` leads to the controller, `far` to the exchange."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.near, self.far = NetworkEnd(network, self), NetworkEnd(network, self)
        self.lost_end: NetworkEnd | None = None  # it closed during a cut, and the other end was not told

    def forward(self, end: NetworkEnd) -> None:
        """Delivers what was received at this end, unless the network is cut or the other end is gone."""
        other = self.far if end is self.near else self.near
        if self.network.is_cut or time.monotonic() < self.network.next_try_s(end):
            return  # the sender's machine repeats these bytes later
        if end.pending and self.lost_end is other:
            # The other machine knows no such connection any more, and answers with a reset.
            end.pending.clear()
            end.reset()
        elif other.transport is not None and not other.is_closed:
            if end.pending:
                other.transport.write(bytes(end.pending))
                end.pending.clear()
            if self.lost_end is end:
                other.transport.close()

    def closed(self, end: NetworkEnd, exc: Exception | None) -> None:
        """Passes on the end of a connection; during a cut the word of it waits like the bytes before it."""
        other = self.far if end is self.near else self.near
        if self.network.is_cut:
            self.lost_end = self.lost_end or end
            end.pending_since_s = end.pending_since_s if end.pending else time.monotonic()
        elif self.lost_end is None and not other.is_closed:
            self.forward(end)
            if exc is not None:
                other.reset()
            elif other.transport is not None:
                other.transport.close()


class Network:
    """The network between the controller and one exchange, as a proxy; `cut` and `heal` cut and restore it.

    During a cut open connections stay open and silent, and new ones do not come up. What was written then,
    the end of a connection included, is delivered after the cut, when the machine that sent it repeats it:
    0.2 s after it was first sent, and then at doubling intervals, as usual for TCP. A machine that receives
    something on a connection that its program has closed answers with a reset.
    """

    def __init__(self, target: int, record: Record) -> None:
        self.target, self.record = target, record
        self.pairs: list[NetworkPair] = []
        self.is_cut = False
        self.healed_at_s = 0.0
        self.fillers: list[socket.socket] = []
        self.filler_ports: set[int] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.accept())

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, peer = await loop.sock_accept(self.listener)
            if peer[1] in self.filler_ports:
                sock.close()
                continue
            pair = NetworkPair(self)
            self.pairs.append(pair)
            await loop.create_connection(lambda pair=pair: pair.far, "127.0.0.1", self.target)  # type: ignore[misc]
            await loop.connect_accepted_socket(lambda pair=pair: pair.near, sock)  # type: ignore[misc]
            pair.forward(pair.far)

    def next_try_s(self, end: NetworkEnd) -> float:
        """Returns when bytes that wait at this end are delivered at the earliest: at once without a cut."""
        if end.pending_since_s >= self.healed_at_s:
            return 0.0
        interval_s = 0.2
        at_s = end.pending_since_s + interval_s
        while at_s < self.healed_at_s:
            interval_s *= 2
            at_s += interval_s
        return at_s

    def cut(self) -> None:
        """Cuts the network. Connections that fill the accept queue keep new ones from coming up."""
        self.record("network: cut")
        self.is_cut = True
        if self.task is not None:
            self.task.cancel()
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.filler_ports.add(int(filler.getsockname()[1]))
            self.fillers.append(filler)

    async def heal(self) -> None:
        """Restores the network."""
        self.record("network: restored")
        self.is_cut, self.healed_at_s = False, time.monotonic()
        self.listener.listen(64)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        await self.start()
        loop = asyncio.get_running_loop()
        for pair in self.pairs:
            for end in (pair.near, pair.far):
                if end.pending or pair.lost_end is end:
                    wait_s = self.next_try_s(end) - time.monotonic() + 0.001
                    loop.call_later(max(0.0, wait_s), pair.forward, end)


SETTINGS: dict[str, Any] = {
    "charges": {},
    "classes": [
        {
            "credit": 1.0,
            "deadlineNs": 9_000_000_000,
            "dedupScope": "all",
            "lateWorth": 0.25,
            "memorySpanNs": 5_000_000_000,
            "name": "recipe-lookup",
            "onTimeNs": 1_500_000_000,
            "repeat": "read_like",
            "stream": True,
        },
        {
            "credit": 3.0,
            "deadlineNs": 9_000_000_000,
            "dedupScope": "all",
            "lateWorth": 0.1,
            "memorySpanNs": 5_000_000_000,
            "name": "colour-match",
            "onTimeNs": 2_000_000_000,
            "repeat": "read_like",
            "stream": True,
        },
    ],
    "clients": {"marksRetry": True},
    "family": "trunks",
    "familyInfo": {
        "circuitsByClass": [1, 1],
        "classHoldNs": [11_700_000_000, 14_000_000_000],
        "guardNs": 200_000_000,
        "hintsRoute": False,
        "layout": "network",
        "ownNumber": 0,
        "peerLoad": "answers",
        "poolsByClass": [],
        "retransmitNs": 400_000_000,
        "retryHint": False,
    },
    "groupSize": 5,
    "kinds": ["small-1core"],
    "layer": 0,
    "myZone": "salalah",
    "permissions": {
        "cancel": True,
        "connIdleNs": 600_000_000_000,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 300_000,
        "dialTimeoutNs": 500_000_000,
        "maxOpen": 20_000,
        "maxRetryAfterNs": 2_000_000_000,
        "mayDuplicate": False,
        "peers": False,
        "probes": False,
        "retryAfter": True,
        "streamsPerConn": 1_048_576,
        "tryLimit": 4,
    },
    "rank": 0,
    "registryMode": "push",
    "report": {"how": "answers", "names": ["idle", "circuits", "max_rate"]},
    "rules": {
        "answerSlackNs": 20_000_000,
        "coldShare": 0.29,
        "fallNs": 3_000_000_000,
        "mustAskInNs": 10_000_000_000,
        "stopSendingWithinNs": 500_000_000,
        "tipMultiple": 4.0,
        "warmAfterNs": 14_000_000_000,
    },
    "stepNs": 5_000_000,
    "tenants": [],
    "tiers": ["recipe-hubs"],
    "weights": "none",
    "worthBy": "request",
    "zones": ["muscat", "sohar", "salalah"],
}


def free_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


class Controller:
    """The program under review, started by the deploy file's `run` as a process of its own."""

    def __init__(self, record: Record, changelog: ChangeLog, settings: dict[str, Any], folder: Path) -> None:
        self.record, self.changelog, self.settings, self.folder = record, changelog, settings, folder
        self.port = free_port()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def write_config(self) -> Path:
        path = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "changelog": f"127.0.0.1:{self.changelog.port}",
            "known": {"seq": len(self.changelog.events), "results": self.changelog.events},
            "settings": self.settings,
        }
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(path)
        return path

    async def start(self) -> None:
        """Starts the process and waits until it passes a test, as the front does; 30 s at most."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.starts += 1
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("LB_")},
            "LB_NAME": "n0",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_CONFIG": str(self.write_config()),
            "TMPDIR": str(temporary),
        }
        log = (self.folder / "controller.log").open("ab")
        # `run` ends in `exec`, so the process id is the program's.
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        deadline_s = time.monotonic() + 30
        while time.monotonic() < deadline_s:
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError):
                front = await Caller("front", self.record).connect(self.port)
                front.peer.send(TEST, NO_CALL, {CAUSE: b"\x00"})
                for _ in range(50):
                    if front.tests or not front.peer.is_open:
                        break
                    await asyncio.sleep(0.02)
                front.peer.close()
                if front.tests == [1]:
                    self.record(f"controller ready, start {self.starts}")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the controller did not become ready")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"controller gets {number.name}")
            self.process.send_signal(number)

    async def wait(self, limit_s: float) -> bool:
        """Waits for the end of the process; returns whether it came within the limit."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            return False
        self.record(f"controller ended with status {self.process.returncode}")
        return True

    async def planned_restart(self) -> None:
        """SIGTERM, SIGKILL once the longest deadline (3 s at most) and 0.7 s have passed, then a start."""
        self.signal(signal.SIGTERM)
        if not await self.wait(3.8):
            self.signal(signal.SIGKILL)
            await self.wait(5)
        await self.start()

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def resident_mb(self) -> float:
        """Returns the memory of the process that is resident, in MB of 2**20 bytes."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        return next(
            (int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("VmRSS")), 0.0
        )


class Site:
    """One controller (exchange 0 is its own) between exchanges, a change log and callers."""

    def __init__(
        self,
        record: Path,
        exchanges: int,
        settings: dict[str, Any] | None = None,
        networked: tuple[int, ...] = (),
    ) -> None:
        self.networked = networked  # the numbers of the exchanges behind a `Network`
        self.networks: dict[int, Network] = {}
        self.record = Record(record)
        self.random = Random(22)
        self.temporary = tempfile.TemporaryDirectory(prefix="arrowkeel-review-")
        self.changelog = ChangeLog(self.record)
        zones = SETTINGS["zones"]
        self.exchanges = [
            Exchange(f"s-{number:04x}", number, self.record, zones[number % len(zones)])
            for number in range(1, exchanges + 1)
        ]
        self.settings: dict[str, Any] = json.loads(json.dumps(settings or SETTINGS))
        self.controller = Controller(self.record, self.changelog, self.settings, Path(self.temporary.name))

    async def start(self) -> None:
        for exchange in self.exchanges:
            await exchange.start()
        for exchange in self.exchanges:
            if exchange.number in self.networked:
                self.networks[exchange.number] = network = Network(exchange.port, self.record)
                await network.start()
                exchange.listed_port = network.port
        await self.changelog.start()
        self.changelog.publish(*self.exchanges, reset=True)
        await self.controller.start()

    async def caller(self, name: str) -> Caller:
        """Returns a new connection of callers."""
        return await Caller(name, self.record).connect(self.controller.port)

    async def stop(self) -> None:
        await self.controller.kill()
        self.temporary.cleanup()


def main(record: Path, site: Callable[[], Site], case: Callable[[Site], Awaitable[list[str]]]) -> None:
    """Runs a case and exits: 1 if it returns broken rules, 0 if it returns none, 2 if it could not run."""

    async def run() -> list[str]:
        built = site()
        try:
            built.record(f"TROUBLE={int(TROUBLE)}")
            await built.start()
            broken = await asyncio.wait_for(case(built), 100)
            for line in broken[:40]:
                built.record(f"BROKEN: {line}")
            built.record(f"verdict: {len(broken)} times broken" if broken else "verdict: held")
            return broken
        finally:
            await built.stop()

    try:
        broken = asyncio.run(run())
    except Exception:
        traceback.print_exc()
        with record.open("a", encoding="utf-8") as file:
            file.write(f"could not run:\n{traceback.format_exc()}")
        sys.exit(2)
    print("\n".join(broken[:10]) or "held")
    sys.exit(1 if broken else 0)
