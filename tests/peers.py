"""Scripted callers, exchange and change log on loopback sockets, and the program started between them.

They wait for what they expect to receive, never for a time to pass.
"""

from __future__ import annotations

import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from arrowkeel.net.codec import Decoder, Message, MessageType, Parameter, ReleaseCause, encode
from arrowkeel.net.config import ClockOffset, Config, read_config
from arrowkeel.net.exchange_pool import CONNECTIONS_PER_EXCHANGE

TIMEOUT_S = 20.0  # only a failing test waits this long
# Identifiers of two calls.
CALL, OTHER = "00000000000000a1", "00000000000000b2"
# What the scripted exchange reports of its circuit group at first.
GROUP_STATE = {Parameter.REPORT: "idle:40;circuits:60;max_rate:-1"}
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "voice", "onTimeNs": 30_000_000_000, "deadlineNs": 60_000_000_000, "stream": True},
    ],
    "familyInfo": {"ownNumber": 0, "layout": "network", "guardNs": 200_000_000},
    "groupSize": 2,
    "permissions": {
        "tryLimit": 4,
        "maxOpen": 100,
        "dialTimeoutNs": 500_000_000,
        "retryAfter": True,
        "maxRetryAfterNs": 2_000_000_000,
    },
    "report": {"how": "answers", "names": ["idle", "circuits", "max_rate"]},
}


class Peer:
    """One end of a connection that exchanges messages with the program."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.socket.settimeout(TIMEOUT_S)
        self.decoder = Decoder()
        self.messages: list[Message] = []

    def send(self, message_type: int, call: str = CALL, parameters: dict[Any, Any] | None = None) -> None:
        self.socket.sendall(encode(message_type, call, parameters))

    def release(self, call: str, cause: int, **parameters: str) -> None:
        """Sends a release; a keyword is the name of a Parameter in lower case."""
        extra = {Parameter[name.upper()]: value for name, value in parameters.items()}
        self.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,)), **extra})

    def set_up(
        self,
        call: str = CALL,
        destination: int = 1,
        patience_ms: int = 60_000,
        class_name: str = "voice",
        changes: dict[Parameter, bytes | str | None] | None = None,
    ) -> None:
        """Sends a set-up; `changes` replace parameters, None leaves one out."""
        parameters: dict[Parameter, bytes | str | None] = {
            Parameter.CLASS: class_name,
            Parameter.PATIENCE: str(patience_ms),
            Parameter.NUMBER: "7f3a9c21e0b4d655",
            Parameter.ROUTING: f"dest:{destination};width:1;via:-1",
            Parameter.DESCRIPTION: b"offer \x00\xff",
            **(changes or {}),
        }
        self.send(
            MessageType.SET_UP, call, {code: value for code, value in parameters.items() if value is not None}
        )

    def receive(self) -> Message | None:
        """Returns the next message, or None once the other side has closed the connection."""
        while not self.messages:
            try:
                data = self.socket.recv(65536)
            except OSError:
                return None
            if not data:
                return None
            self.messages += self.decoder.feed(data)
        return self.messages.pop(0)

    def expect(self, message_type: int, call: str = CALL) -> Message:
        """Returns the next message, which must be of this type and call."""
        message = self.receive()
        assert message is not None and (message.type, message.call) == (message_type, call), message
        return message

    def wait_until_processed(self) -> None:
        """Returns once the program has processed everything that was sent on this connection before."""
        self.send(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"})
        self.expect(MessageType.TEST_RESULT, OTHER)

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class Listener:
    """A listening socket on a free port of the loopback interface."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.settimeout(TIMEOUT_S)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"

    def accept(self) -> socket.socket:
        return self.socket.accept()[0]


class Exchange:
    """A scripted exchange.

    It accepts every connection, and sends the group's state on a new one and, at each set-up, on all of them.
    """

    def __init__(self) -> None:
        self.listener = Listener()
        self.listener.socket.settimeout(None)
        self.address = self.listener.address
        self.connections: list[Peer] = []
        self.connection_of: dict[str, Peer] = {}  # by call
        self.state = GROUP_STATE
        self.unresponsive: Peer | None = None  # a connection that stays open and on which no state is sent
        self.resets_next_connection = False  # before anything is sent on it
        self.releases_to_repeat: list[str] = []  # calls whose release goes out on the next connection too
        self.notice_delay_s = 0.0  # how much later it learns that the program has closed a connection
        self.opened_connections: queue.Queue[Peer] = queue.Queue()
        self.received: queue.Queue[tuple[Peer, Message]] = queue.Queue()
        self.closed_connections: queue.Queue[Peer] = queue.Queue()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                connection = Peer(self.listener.accept())
            except OSError:
                return
            connection.socket.settimeout(None)
            if self.resets_next_connection:
                self.resets_next_connection = False
                connection.reset()
                continue
            self.connections.append(connection)
            self.send_state(connection)
            releases_to_repeat, self.releases_to_repeat = self.releases_to_repeat, []
            for call in releases_to_repeat:
                connection.release(call, ReleaseCause.NORMAL)
            self.opened_connections.put(connection)
            threading.Thread(target=self.read, args=(connection,), daemon=True).start()

    def send_state(self, *connections: Peer) -> None:
        """Sends the group's state on these connections, apart from the unresponsive one."""
        for connection in connections:
            if connection is not self.unresponsive:
                with suppress(OSError):
                    connection.send(MessageType.GROUP_STATE, "0" * 16, self.state)

    def read(self, connection: Peer) -> None:
        while (message := connection.receive()) is not None:
            if message.type == MessageType.SET_UP:
                self.send_state(*self.connections)
            self.received.put((connection, message))
        time.sleep(self.notice_delay_s)
        self.connections.remove(connection)
        connection.socket.close()
        self.closed_connections.put(connection)

    def expect(self, message_type: int, call: str = CALL) -> Message:
        """Returns the next message received on any connection, which must be of this type and call."""
        connection, message = self.received.get(timeout=TIMEOUT_S)
        assert (message.type, message.call) == (message_type, call), message
        self.connection_of[call] = connection
        return message

    def send(self, message_type: int, call: str = CALL, parameters: dict[Any, Any] | None = None) -> None:
        """Sends a message on the connection on which the call was received, else on any."""
        connection = self.connection_of.get(call)
        (
            connection if connection in self.connections and connection is not None else self.connections[0]
        ).send(message_type, call, parameters)

    def release(self, call: str, cause: int) -> None:
        self.releases_to_repeat.append(call)
        self.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))})

    def disconnect(self, *connections: Peer, reset: bool) -> None:
        """Ends connections; the thread that reads each one closes it once it sees the end."""
        for connection in connections:
            if reset:
                connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with suppress(OSError):
                connection.socket.shutdown(socket.SHUT_RD)


def instance_entry(identity: str, cell: int, address: str, lifecycle: str = "up") -> dict[str, Any]:
    """Returns the entry of one exchange in an event of the change log."""
    return {
        "instanceId": identity,
        "hostPort": address,
        "zone": "east",
        "machineType": "std",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1,
        "startedAtMs": 0,
    }


def change_event(seq: int, *instances: dict[str, Any], reset: bool = False) -> dict[str, Any]:
    """Returns an event of the change log; with `reset` its entries are the complete list."""
    return {"seq": seq, "fleet": {"generation": seq, "reset": reset, "instances": list(instances)}}


def make_config(**changes: Any) -> Config:
    """Returns a configuration like that of `Program`, for tests of one part of the program."""
    raw = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "limits": LIMITS, "settings": SETTINGS}
    raw |= {"changelog": "127.0.0.1:1", "known": {"seq": 1, "results": []}, **changes}
    return read_config(json.dumps(raw), ClockOffset.measure())


class Program:
    """The program as a process, started as in production, with one exchange, a change log and callers."""

    def __init__(self, folder: Path) -> None:
        self.changelog_listener, self.exchange = Listener(), Exchange()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "operator": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "limits": LIMITS,
            "changelog": self.changelog_listener.address,
            "known": {
                "seq": 1,
                "results": [change_event(1, instance_entry("x1", 1, self.exchange.address), reset=True)],
            },
            "settings": SETTINGS,
        }
        self.path = folder / "config.json"
        self.listening_socket: socket.socket | None = None  # where the platform holds it, and passes it on

    def launch(self, **environment: str) -> subprocess.Popen[str]:
        """Starts a process with the configuration as it is now, and does not wait for it."""
        self.path.write_text(json.dumps(self.config))
        descriptor = self.listening_socket.fileno() if self.listening_socket is not None else None
        if descriptor is not None:
            environment["LB_ACCEPT_FD"] = str(descriptor)
        return subprocess.Popen(
            [sys.executable, "-u", "-m", "arrowkeel"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "LB_CONFIG": str(self.path), **environment},
            pass_fds=() if descriptor is None else (descriptor,),
        )

    def start(self) -> None:
        """Starts a process; returns once it follows the change log and is connected to the exchange."""
        self.process = self.launch()
        started = self.wait_for_log("started")
        self.listen_address, self.operator_address = (
            self.address(started, name) for name in ("listen", "operator")
        )
        self.changelog_connection = Peer(self.changelog_listener.accept())
        assert self.changelog_connection.socket.recv(100) == b"since 1\n"
        for _ in range(CONNECTIONS_PER_EXCHANGE):
            self.exchange.opened_connections.get(timeout=TIMEOUT_S)

    @staticmethod
    def address(line: str, name: str) -> tuple[str, int]:
        """Returns the address in a field of a log line."""
        host, _, port = line.partition(f"{name}='")[2].partition("'")[0].rpartition(":")
        return host, int(port)

    def request(self, method: str, path: str) -> tuple[int, str]:
        """Makes one request at the operators' interface; returns the status and the body of the response."""
        with socket.create_connection(self.operator_address, TIMEOUT_S) as connection:
            connection.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            response = b"".join(iter(lambda: connection.recv(65536), b"")).decode()
        head, _, body = response.partition("\r\n\r\n")
        return int(head.split()[1]), body

    def wait_for_log(self, text: str) -> str:
        """Reads the log up to the next line that contains this text, and returns that line."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            if text in line:
                return line
        raise AssertionError(f"the program ended without logging {text!r}")

    def connect_caller(self) -> Peer:
        return Peer(socket.create_connection(self.listen_address, TIMEOUT_S))

    @contextmanager
    def heartbeat(self) -> Iterator[None]:
        """Sends the change log's heartbeat, a line each second with only the last number, until the exit."""
        done = threading.Event()

        def send_heartbeats() -> None:
            while not done.wait(1.0):
                self.publish({"seq": 1})

        thread = threading.Thread(target=send_heartbeats, daemon=True)
        thread.start()
        try:
            yield
        finally:
            done.set()
            thread.join()

    def publish(self, *lines: dict[str, Any]) -> None:
        """Sends lines on the program's connection to the change log."""
        self.changelog_connection.socket.sendall(
            b"".join(json.dumps(line).encode() + b"\n" for line in lines)
        )

    def establish_call(
        self,
        caller: Peer,
        call: str = CALL,
        changes: dict[Parameter, bytes | str | None] | None = None,
    ) -> None:
        """Has this caller offer a call and the exchange answer it, so that it stands."""
        caller.set_up(call, changes=changes)
        self.exchange.expect(MessageType.SET_UP, call)
        self.exchange.send(MessageType.ANSWER, call, {Parameter.DESCRIPTION: b"answer \x01"})
        assert caller.expect(MessageType.ANSWER, call).parameters == {Parameter.DESCRIPTION: b"answer \x01"}


@contextmanager
def running_program(folder: Path, program: Program | None = None, **changes: Any) -> Iterator[Program]:
    """Starts a program, with changes to its configuration, and kills it at the exit."""
    program = program or Program(folder)
    program.config.update(changes)
    try:
        program.start()
        yield program
    finally:
        if program.process.poll() is None:
            program.process.send_signal(signal.SIGKILL)
        program.process.wait(TIMEOUT_S)
        if program.process.stdout is not None:
            program.process.stdout.close()
