"""Stand-ins for callers, exchanges and the change log, and the start of the real program, for the cases here.

They were written from the operators' pages alone and import nothing of the program. Each does what the pages
allow; where a page is silent it behaves like a sound client, server or platform. Every address is a loopback
address. Times are seconds of the monotonic clock, in the record relative to the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SLACK_S = 0.05  # "Each time limit grows by 50 ms."
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, GROUP_STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, PATIENCE, NUMBER, ROUTING, NOTE, REPORT, CAUSE, DESCRIPTION = 64, 66, 72, 74, 78, 82, 92, 94
NO_CALL = "0" * 16
NORMAL_END = 16
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: closing the socket resets the connection
GROUP_CIRCUITS = 120
SET_UP_TIME_S = 0.012
LISTENING_PORTS = (14_000, 30_000)
PATH_DELAY_S = 0.01  # one way; the site: 9 to 19 ms between regions
ACCEPT_FD = 5  # the descriptor of the listening socket that the platform keeps
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CaseCannotRunError(Exception):
    """The conditions of the case did not come about, so it says nothing about the rule."""


def encode(kind: int, call: str, parameters: dict[int, bytes | str] | None = None) -> bytes:
    """Returns one message of the protocol page."""
    body = bytes((kind,)) + bytes.fromhex(call)
    for code, value in (parameters or {}).items():
        raw = value.encode() if isinstance(value, str) else value
        body += struct.pack(">BH", code, len(raw)) + raw
    return struct.pack(">H", len(body)) + body


@dataclass
class Message:
    """One received message, with its raw parameters by code."""

    kind: int
    call: str
    parameters: dict[int, bytes]

    @property
    def cause(self) -> int:
        """The one byte of parameter 92, or -1."""
        return self.parameters.get(CAUSE, b"\xff")[0] if CAUSE in self.parameters else -1


def decode(buffer: bytearray) -> list[Message]:
    """Takes the complete messages out of the buffer."""
    messages = []
    while len(buffer) >= 2 and len(buffer) >= 2 + int.from_bytes(buffer[:2], "big"):
        end = 2 + int.from_bytes(buffer[:2], "big")
        raw, offset, parameters = bytes(buffer[2:end]), 9, {}
        del buffer[:end]
        while offset < len(raw):
            code, length = struct.unpack_from(">BH", raw, offset)
            parameters[code] = raw[offset + 3 : offset + 3 + length]
            offset += 3 + length
        messages.append(Message(raw[0], raw[1:9].hex(), parameters))
    return messages


def free_port() -> int:
    """Returns a port that is free now, below the range from which the system takes ports for connections.

    So no connection takes it while nobody listens there, as during an outage.
    """
    for _ in range(200):
        port = random.randrange(*LISTENING_PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port
    raise CaseCannotRunError("no free port")


class Record:
    """What was sent, answered and run; written to record.txt beside the case as it happens."""

    def __init__(self, path: Path) -> None:
        self.started_at_s = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Adds one line with the time since the start of the case."""
        self.file.write(f"{time.monotonic() - self.started_at_s:8.3f} {text}\n")
        self.file.flush()


class Link(asyncio.Protocol):
    """One connection of a stand-in, whichever side opened it."""

    def __init__(
        self, on_message: Callable[[Link, Message], None], on_change: Callable[[Link, bool], None]
    ) -> None:
        self.on_message, self.on_change = on_message, on_change
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.is_up = False
        self.is_dead = False  # the process or machine behind it is gone: it neither reads nor writes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.is_up = True
        self.on_change(self, True)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_up = False
        self.on_change(self, False)

    def data_received(self, data: bytes) -> None:
        if self.is_dead:
            self.reset()  # the machine is back and knows nothing of this connection
            return
        self.buffer += data
        for message in decode(self.buffer):
            self.on_message(self, message)

    def send(self, kind: int, call: str, parameters: dict[int, bytes | str] | None = None) -> None:
        """Writes one message if the connection is up."""
        if self.is_up and not self.is_dead and self.transport is not None:
            self.transport.write(encode(kind, call, parameters))

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if self.transport is not None and self.is_up:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection in order."""
        if self.transport is not None:
            self.transport.close()


@dataclass
class ExchangeCall:
    """A set-up that an exchange works on, or a call that stands there."""

    link: Link
    stands: bool = False


class Exchange:
    """One exchange: answers each set-up after a short time, holds the call, reports its group's state."""

    def __init__(self, case: Case, cell: int) -> None:
        self.case, self.cell = case, cell
        self.name = f"s-{cell:02x}{case.random.getrandbits(24):06x}"
        self.links: list[Link] = []
        self.calls: dict[str, ExchangeCall] = {}
        self.far_end_calls = 0  # calls of the group's other end; both ends use one group
        self.repeats: dict[str, int] = {}  # releases that go out on the next opened connection as well
        self.set_up_times: list[tuple[float, str]] = []  # every set-up that arrived
        self.released_by_controller: dict[str, float] = {}
        self.unknown_releases: list[str] = []
        self.set_up_time_s = SET_UP_TIME_S
        self.path: NetworkPath | None = None  # to the call controller; None where nothing happens on it
        self.server: asyncio.Server | None = None
        self.port = 0
        self.listener: socket.socket | None = None
        self.fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"{HOST}:{self.path.port if self.path else self.port}"

    def entry(self, lifecycle: str = "up", started_at_ms: int = 0) -> dict[str, Any]:
        """Returns the exchange as the change log lists it."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "muscat",
            "machineType": "small-1core",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_at_ms,
        }

    async def listen(self) -> None:
        """Starts the process: it accepts connections, at the same port after a restart."""
        self.port = self.port or free_port()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(128)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Link(self.handle, self.handle_link), sock=self.listener, start_serving=True
        )

    def log(self, text: str) -> None:
        self.case.record.write(f"exchange {self.cell}: {text}")

    def handle_link(self, link: Link, is_up: bool) -> None:
        """Sends the group's state and the releases to repeat first on a new connection."""
        if is_up:
            self.links.append(link)
            self.log(f"connection opened, {len(self.links)} open")
            self.send_state(link)
            for call, cause in self.repeats.items():
                link.send(RELEASE, call, {CAUSE: bytes((cause,))})
            self.repeats.clear()
            return
        if link in self.links:
            self.links.remove(link)
        if link.is_dead:
            return
        self.log(f"connection closed, {len(self.links)} open")
        for call, held in list(self.calls.items()):
            if held.link is link and not held.stands:
                del self.calls[call]
                self.log(f"set-up {call} given up with its connection")

    def send_state(self, *links: Link) -> None:
        """Sends the state of the group on these connections, else on all."""
        busy = len(self.calls) + self.far_end_calls
        state = f"idle:{GROUP_CIRCUITS - busy};circuits:{GROUP_CIRCUITS};max_rate:40"
        for link in links or tuple(self.links):
            link.send(GROUP_STATE, NO_CALL, {REPORT: state})

    def handle(self, link: Link, message: Message) -> None:
        """Handles a set-up, a release or a test."""
        call = message.call
        if message.kind == SET_UP:
            self.set_up_times.append((time.monotonic(), call))
            self.log(f"set-up {call} arrived, patience {message.parameters.get(PATIENCE, b'').decode()} ms")
            self.calls[call] = ExchangeCall(link)
            self.send_state()
            asyncio.get_running_loop().call_later(self.set_up_time_s, self.answer, call, self.calls[call])
        elif message.kind == RELEASE and call in self.calls:
            what = "standing call" if self.calls.pop(call).stands else "set-up"
            self.released_by_controller[call] = time.monotonic()
            self.log(f"{what} {call} released by the call controller, cause {message.cause}")
            link.send(RELEASE_HEARD, call)
            self.send_state()
        elif message.kind == RELEASE:
            self.unknown_releases.append(call)
            self.log(f"release of {call} arrived, cause {message.cause}: no such call here")
            link.send(RELEASE_HEARD, call)
        elif message.kind == TEST:
            link.send(TEST_RESULT, call, {CAUSE: b"\x01"})

    def answer(self, call: str, held: ExchangeCall) -> None:
        """Answers a set-up that was not given up meanwhile: the call stands."""
        if self.calls.get(call) is held and not held.link.is_dead:
            held.stands = True
            held.link.send(ANSWER, call, {DESCRIPTION: f"{self.name}/{call}"})
            self.log(f"set-up {call} answered: the call stands")

    def holds(self, call: str) -> bool:
        """Returns whether the call stands here."""
        return call in self.calls and self.calls[call].stands

    def end_call(self, call: str) -> None:
        """Ends a standing call in the normal way and sends its release."""
        held = self.calls.pop(call, None)
        if held is None:
            return
        link = held.link if held.link.is_up else next((each for each in self.links if each.is_up), None)
        if link is not None:
            link.send(RELEASE, call, {CAUSE: bytes((NORMAL_END,))})
        self.repeats[call] = NORMAL_END
        self.log(f"call {call} has come to its end, release {'sent' if link else 'not sent'}")
        self.send_state()

    # Disruptions

    def lose_machine(self) -> None:
        """The machine is lost with its calls: open connections stay open and silent, new ones never come up.

        The listening socket's queue is filled, so that the kernel drops each further request to connect.
        """
        for link in self.links:
            link.is_dead = True
            if link.transport is not None:
                link.transport.pause_reading()
        self.calls.clear()
        self.repeats.clear()
        assert self.listener is not None
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)
        self.log("the machine is lost, and its calls with it")

    def machine_returns(self) -> None:
        """The machine is up again and its process is not: connections are refused.

        It knows nothing of the old connections, so it resets one on which something arrives.
        """
        assert self.server is not None
        self.server.close()
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        for link in self.links:
            if link.transport is not None:
                link.transport.resume_reading()
        self.log("the machine is up again, its process is not: connections are refused")

    async def process_returns(self) -> None:
        """The process is up again and knows no call."""
        self.links = []
        await self.listen()
        self.log("a new process has started, without any call")

    def stop(self) -> None:
        """Ends the exchange and resets its connections; calls through it are cut."""
        if self.server is not None:
            self.server.close()
        if self.path is not None:
            self.path.stop()
        for link in list(self.links):
            link.reset()
        for filler in self.fillers:
            filler.close()


class PathEnd(asyncio.Protocol):
    """One of the two sockets of a connection that a network path carries."""

    def __init__(self, path: NetworkPath, connection: PathConnection) -> None:
        self.path, self.connection = path, connection
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []  # what arrived before this socket was connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        for data in self.waiting:
            self.write(data)
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(PATH_DELAY_S, self.connection.deliver, self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        asyncio.get_running_loop().call_later(PATH_DELAY_S, self.connection.end_seen, self)

    def write(self, data: bytes) -> None:
        """Sends bytes that have crossed the path."""
        if self.transport is None:
            self.waiting.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)


class PathConnection:
    """One connection over a network path."""

    def __init__(self, path: NetworkPath) -> None:
        self.near, self.far = PathEnd(path, self), PathEnd(path, self)
        self.is_reset = False

    def other(self, end: PathEnd) -> PathEnd:
        """Returns the opposite socket."""
        return self.far if end is self.near else self.near

    def deliver(self, end: PathEnd, data: bytes) -> None:
        """Delivers what was on its way, unless the connection was reset meanwhile."""
        if not self.is_reset:
            self.other(end).write(data)

    def end_seen(self, end: PathEnd) -> None:
        """Closes the opposite socket."""
        transport = self.other(end).transport
        if transport is not None:
            transport.close()

    @property
    def far_port(self) -> int:
        """The port from which the exchange sees this connection come; 0 before it does."""
        transport = self.far.transport
        return transport.get_extra_info("sockname")[1] if transport is not None else 0

    def reset_after(self, seconds: float) -> None:
        """Loses what is on its way and all that is sent from now on; resets both sockets after this time."""
        self.is_reset = True
        asyncio.get_running_loop().call_later(seconds, self.reset_sockets)

    def reset_sockets(self) -> None:
        """Resets the connection at both sockets."""
        for end in (self.near, self.far):
            if end.transport is not None and not end.transport.is_closing():
                with contextlib.suppress(OSError):
                    end.transport.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                end.transport.abort()


class NetworkPath:
    """The network between the call controller and one exchange: it takes time and can reset connections."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = free_port()
        self.connections: list[PathConnection] = []
        self.on_connected: Callable[[PathConnection], None] | None = None
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens; each connection goes on to the exchange."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, HOST, self.port)

    def accept(self) -> PathEnd:
        """Takes a connection and opens the second half to the exchange."""
        connection = PathConnection(self)
        self.connections.append(connection)
        self.case_task = asyncio.get_running_loop().create_task(self.go_on(connection))
        return connection.near

    async def go_on(self, connection: PathConnection) -> None:
        """Connects to the exchange."""
        await asyncio.get_running_loop().create_connection(lambda: connection.far, HOST, self.target_port)
        if self.on_connected is not None:
            self.on_connected(connection)

    def stop(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()


class ChangeLog:
    """The change log: numbered events, each to be sent after its delay, and a heartbeat each second."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.events: list[dict[str, Any]] = []
        self.clients: dict[asyncio.StreamWriter, int] = {}  # number of the last event sent
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens, at the same port after an outage."""
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def publish(self, *entries: dict[str, Any], reset: bool = False) -> int:
        """Adds an event and sends it to all who follow; returns its number."""
        seq = len(self.events) + 1
        fleet = {"generation": seq, "reset": reset, "instances": list(entries)}
        self.events.append({"seq": seq, "fleet": fleet})
        states = ", ".join(f"exchange {each['cell']} {each['lifecycle']}" for each in entries)
        self.case.record.write(f"change log: event {seq} is in the change log: {states}")
        for writer in list(self.clients):
            self.send_due(writer)
        return seq

    def send_due(self, writer: asyncio.StreamWriter) -> None:
        """Sends the events that this client lacks."""
        for event in self.events[self.clients[writer] :]:
            writer.write(json.dumps(event).encode() + b"\n")
            self.case.record.write(f"change log: event {event['seq']} sent")
        self.clients[writer] = max(self.clients[writer], len(self.events))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            since = int((await reader.readline()).split()[1])
            self.case.record.write(f"change log: connected, since {since}")
            self.clients[writer] = since
            while True:
                self.send_due(writer)
                writer.write(json.dumps({"seq": len(self.events)}).encode() + b"\n")
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass  # the client has left, or the case ends
        finally:
            self.clients.pop(writer, None)
            writer.close()

    def go_down(self) -> None:
        """Ends every connection; new ones are refused until `start`."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.clients):
            writer.transport.abort()
        self.case.record.write("change log: down, connections are refused")


@dataclass
class CallerCall:
    """One call as its caller sees it; times are 0 until it happens."""

    cell: int
    link: Link
    sent_at_s: float
    answered_at_s: float = 0.0
    description: str = ""
    released_at_s: float = 0.0
    cause: int = -1
    hung_up_at_s: float = 0.0


class Callers:
    """The callers of one call controller; their calls share one connection, which is opened again if lost."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.calls: dict[str, CallerCall] = {}
        self.link: Link | None = None

    async def connect(self) -> Link:
        """Returns the callers' connection, opened now if none is."""
        if self.link is None or not self.link.is_up:
            link = Link(self.handle, self.handle_link)
            await asyncio.get_running_loop().create_connection(lambda: link, HOST, self.case.controller.port)
            self.link = link
        return self.link

    def close(self) -> None:
        """Closes the connection, as callers do after 4 s with no call on it."""
        if self.link is not None:
            self.link.close()
        self.link = None

    def handle_link(self, link: Link, is_up: bool) -> None:
        self.case.record.write(f"callers: connection {'opened' if is_up else 'closed'}")

    def handle(self, link: Link, message: Message) -> None:
        """Records what comes for each call."""
        call, now_s = self.calls.get(message.call), time.monotonic()
        if call is None:
            return
        if message.kind == ANSWER:
            call.answered_at_s = now_s
            call.description = message.parameters.get(DESCRIPTION, b"").decode()
            self.case.record.write(f"callers: call {message.call} answered: {call.description}")
        elif message.kind == RELEASE and not call.released_at_s:
            call.released_at_s, call.cause = now_s, message.cause
            state = "the standing call" if call.answered_at_s else "the set-up"
            self.case.record.write(f"callers: {state} {message.call} released, cause {message.cause}")

    async def place(self, cell: int, patience_ms: int = 3000) -> str:
        """Sends one set-up; returns the id of the call."""
        link = await self.connect()
        call = self.case.random.randbytes(8).hex()
        self.calls[call] = CallerCall(cell, link, time.monotonic())
        link.send(
            SET_UP,
            call,
            {
                CLASS: self.case.random.choice(["recipe-lookup", "colour-match"]),
                PATIENCE: str(patience_ms),
                NUMBER: self.case.random.randbytes(8).hex(),
                ROUTING: f"dest:{cell};width:1;via:-1",
                DESCRIPTION: f"offer {call}",
            },
        )
        self.case.record.write(f"callers: set-up {call} to cell {cell} sent, patience {patience_ms} ms")
        return call

    async def hang_up(self, call: str) -> None:
        """Releases a standing call, on the connection that is open now."""
        link = await self.connect()
        self.calls[call].hung_up_at_s = time.monotonic()
        link.send(RELEASE, call, {CAUSE: bytes((NORMAL_END,))})
        self.case.record.write(f"callers: standing call {call} released by its caller, cause {NORMAL_END}")

    async def place_standing(self, cell: int) -> str:
        """Places a call and waits until it stands."""
        call = await self.place(cell)
        await self.case.wait_until(lambda: bool(self.calls[call].answered_at_s), 3.0, f"call to cell {cell}")
        return call

    async def place_steadily(
        self, cells: list[int], calls_per_s: float, hold_s: float, patience_ms: int = 3000
    ) -> None:
        """Places calls to these cells in turn until it is cancelled; the exchange ends each after a while."""
        turn = 0
        while True:
            await asyncio.sleep(self.case.random.expovariate(calls_per_s))
            cell = cells[turn % len(cells)]
            turn += 1
            call = await self.place(cell, patience_ms)
            asyncio.get_running_loop().call_later(hold_s, self.case.end_call, call)


class Controller:
    """The real program, started with the deploy file's `run` command.

    With `inherits`, the platform keeps the listening socket, as on days when the process is replaced.
    """

    def __init__(self, case: Case, inherits: bool = False) -> None:
        self.case = case
        self.listener: socket.socket | None = None
        self.port = free_port()
        if inherits:
            self.listener = socket.create_server((HOST, self.port), backlog=512)
        self.operator_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self.processes: list[asyncio.subprocess.Process] = []

    def write_config(self) -> Path:
        """Writes the configuration with the change log's events up to now."""
        path = self.case.folder / f"config{len(self.processes)}.json"
        events = self.case.change_log.events
        self.operator_port = free_port()
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "operator": f"{HOST}:{self.operator_port}",
            "seed": f"{self.case.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"{HOST}:{self.case.change_log.port}",
            "known": {"seq": len(events), "results": events},
            "settings": SETTINGS,
        }
        path.write_text(json.dumps(config))
        return path

    async def start(self) -> None:
        """Starts the program and waits until it says that it is ready and passes a test."""
        number = len(self.processes) + 1
        temporary = self.case.folder / ("tmp" if self.listener else f"tmp{number}")
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "LB_NAME": "n0",
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_CONFIG": str(self.write_config()),
        }
        descriptors: tuple[int, ...] = ()
        inherit: Callable[[], Any] | None = None
        if self.listener is not None:
            environment["LB_ACCEPT_FD"] = str(ACCEPT_FD)
            descriptors, inherit = (ACCEPT_FD,), functools.partial(os.dup2, self.listener.fileno(), ACCEPT_FD)
        with (self.case.folder / f"controller{number}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
                preexec_fn=inherit,
            )
        self.processes.append(self.process)
        deadline_s = time.monotonic() + 30.0
        while not (await self.says_ready() and await self.passes_test()):
            if time.monotonic() > deadline_s or self.process.returncode is not None:
                raise CaseCannotRunError("the call controller did not become ready")
            await asyncio.sleep(0.05)
        self.case.record.write(f"call controller: process {number} is ready and passes a test")

    async def says_ready(self) -> bool:
        """Returns whether the operators' address of the last started process says yes."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.operator_port)
            writer.write(b"GET /status HTTP/1.1\r\nHost: n0\r\n\r\n")
            status = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return status.split()[1:2] == [b"200"]

    async def passes_test(self) -> bool:
        """Returns whether a test on a new connection passes."""
        passed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

        def handle(_link: Link, message: Message) -> None:
            if message.kind == TEST_RESULT and not passed.done():
                passed.set_result(message.cause == 1)

        link = Link(handle, lambda *_: None)
        try:
            await asyncio.get_running_loop().create_connection(lambda: link, HOST, self.port)
            link.send(TEST, NO_CALL, {CAUSE: b"\x00"})
            return await asyncio.wait_for(passed, 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            link.close()

    def signal(self, number: signal.Signals, process: asyncio.subprocess.Process | None = None) -> None:
        """Sends a signal to a program that `run` started, the last one if none is named."""
        process = process or self.process
        assert process is not None
        process.send_signal(number)
        self.case.record.write(
            f"call controller: {number.name} sent to process {self.processes.index(process) + 1}"
        )

    async def kill(self) -> None:
        """Kills the program outright and waits for its end."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await self.process.wait()

    async def stop(self) -> None:
        """Ends each process that still runs."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self.listener is not None:
            self.listener.close()


# The example of the wire page, which is the deployment's, for this number of call controllers and exchanges.
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "credit": credit,
            "deadlineNs": 9_000_000_000,
            "onTimeNs": on_time_ns,
            "lateWorth": late,
            "dedupScope": "all",
            "memorySpanNs": 5_000_000_000,
            "repeat": "read_like",
            "stream": True,
        }
        for name, credit, on_time_ns, late in (
            ("recipe-lookup", 1.0, 1_500_000_000, 0.25),
            ("colour-match", 3.0, 2_000_000_000, 0.1),
        )
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
    "myZone": "muscat",
    "permissions": {
        "cancel": True,
        "connIdleNs": 600_000_000_000,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 300_000,
        "dialTimeoutNs": 500_000_000,
        "maxOpen": 20_000,
        "maxRetryAfterNs": 2_000_000_000,
        "mayDuplicate": False,
        "peers": True,
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


@dataclass
class Case:
    """One run: the stand-ins, the program, and whether the disruption takes place."""

    folder: Path
    record: Record
    has_trouble: bool
    random: random.Random
    exchanges: dict[int, Exchange] = field(default_factory=dict)
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    change_log: ChangeLog = field(init=False)
    controller: Controller = field(init=False)
    callers: Callers = field(init=False)

    async def start(
        self, exchange_count: int = 5, inherits: bool = False, over_path: tuple[int, ...] = ()
    ) -> None:
        """Starts the exchanges (cell 0 is the call controller's own), the change log and the program.

        `inherits` says that the platform keeps the callers' listening socket; `over_path` names the exchanges
        that are reached over a network path of the case's own.
        """
        self.change_log = ChangeLog(self)
        for cell in range(exchange_count):
            self.exchanges[cell] = Exchange(self, cell)
            await self.exchanges[cell].listen()
            if cell in over_path:
                self.exchanges[cell].path = path = NetworkPath(self.exchanges[cell].port)
                await path.start()
        self.change_log.publish(*(each.entry() for each in self.exchanges.values()), reset=True)
        await self.change_log.start()
        self.controller, self.callers = Controller(self, inherits), Callers(self)
        await self.controller.start()

    def end_call(self, call: str) -> None:
        """Ends a call at the exchange where it stands, which may be a tandem."""
        for exchange in self.exchanges.values():
            exchange.end_call(call)

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that the end of the case cancels."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return self.tasks[-1]

    async def wait_until(self, is_done: Callable[[], bool], limit_s: float, what: str) -> None:
        """Waits for a condition of the case; the case cannot run if it does not come about in time."""
        until_s = time.monotonic() + limit_s
        while not is_done():
            if time.monotonic() > until_s:
                raise CaseCannotRunError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Ends everything that the case started."""
        for task in self.tasks:
            task.cancel()
        if hasattr(self, "controller"):
            await self.controller.stop()
        for exchange in self.exchanges.values():
            exchange.stop()


def run_case(play: Callable[[Case], Coroutine[Any, Any, list[str]]]) -> int:
    """Runs one case; returns the exit status for its outcome. `play` returns the breaks of the rule."""
    place = Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(place / "record.txt")
    record.write(f"the case runs {'with' if has_trouble else 'without'} its disruption")

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            case = Case(Path(folder), record, has_trouble, random.Random())
            try:
                async with asyncio.timeout(110.0):
                    return await play(case)
            finally:
                await case.stop()
                for log in sorted(Path(folder).glob("controller*.log")):
                    for line in log.read_text(errors="replace").splitlines():
                        record.write(f"{log.stem} log: {line}")

    try:
        breaks = asyncio.run(run())
    except (CaseCannotRunError, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error or type(error).__name__}")
        print(f"could not run: {error or type(error).__name__}")
        return EXIT_NOT_RUN
    for each in breaks:
        record.write(f"RULE BROKEN: {each}")
        print(f"rule broken: {each}")
    if not breaks:
        record.write("the rule held")
        print("the rule held")
    return EXIT_BROKEN if breaks else EXIT_HELD
