"""Scripted peers on loopback sockets round the program: they wait on what comes, never on the clock."""

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
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from arrowkeel.net.codec import Decoder, Message, MessageType, Parameter, encode
from arrowkeel.net.config import Clock, Config, read_config
from arrowkeel.net.exchange_pool import CONNECTIONS_KEPT

TIMEOUT_S = 20.0  # only a failing test waits so long
CALL, OTHER = "00000000000000a1", "00000000000000b2"
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
    """One end of a connection that speaks in messages."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.socket.settimeout(TIMEOUT_S)
        self.decoder = Decoder()
        self.messages: list[Message] = []

    def send(self, kind: int, call: str = CALL, parameters: dict[Any, Any] | None = None) -> None:
        self.socket.sendall(encode(kind, call, parameters))

    def release(self, call: str, cause: int, **parameters: str) -> None:
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
        """The next message, or None once the other side has closed."""
        while not self.messages:
            try:
                data = self.socket.recv(65536)
            except OSError:
                return None
            if not data:
                return None
            self.messages += self.decoder.feed(data)
        return self.messages.pop(0)

    def expect(self, kind: int, call: str = CALL) -> Message:
        message = self.receive()
        assert message is not None and (message.type, message.call) == (kind, call), message
        return message

    def wait_until_processed(self) -> None:
        """All that was sent before on this connection has been taken once this returns."""
        self.send(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"})
        self.expect(MessageType.TEST_RESULT, OTHER)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class Listener:
    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.settimeout(TIMEOUT_S)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"

    def accept(self) -> socket.socket:
        return self.socket.accept()[0]


class Exchange:
    """A scripted exchange: takes each connection, and tells each the group's state at once and at set-ups."""

    def __init__(self) -> None:
        self.listener = Listener()
        self.listener.socket.settimeout(None)
        self.address = self.listener.address
        self.connections: list[Peer] = []
        self.connection_of: dict[str, Peer] = {}
        self.state = GROUP_STATE
        self.unresponsive: Peer | None = None  # looks open and says nothing
        self.opened_connections: queue.Queue[Peer] = queue.Queue()
        self.received: queue.Queue[tuple[Peer, Message]] = queue.Queue()
        self.closed_connections: queue.Queue[Peer] = queue.Queue()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                line = Peer(self.listener.accept())
            except OSError:
                return
            line.socket.settimeout(None)
            self.connections.append(line)
            self.send_state(line)
            self.opened_connections.put(line)
            threading.Thread(target=self.read, args=(line,), daemon=True).start()

    def send_state(self, *connections: Peer) -> None:
        for line in connections:
            if line is not self.unresponsive:
                with suppress(OSError):
                    line.send(MessageType.GROUP_STATE, "0" * 16, self.state)

    def read(self, line: Peer) -> None:
        while (message := line.receive()) is not None:
            if message.type == MessageType.SET_UP:
                self.send_state(*self.connections)
            self.received.put((line, message))
        self.connections.remove(line)
        line.socket.close()
        self.closed_connections.put(line)

    def expect(self, kind: int, call: str = CALL) -> Message:
        line, message = self.received.get(timeout=TIMEOUT_S)
        assert (message.type, message.call) == (kind, call), message
        self.connection_of[call] = line
        return message

    def send(self, kind: int, call: str = CALL, parameters: dict[Any, Any] | None = None) -> None:
        """On the connection that the call came on, else on any."""
        line = self.connection_of.get(call)
        (line if line in self.connections and line is not None else self.connections[0]).send(
            kind, call, parameters
        )

    def release(self, call: str, cause: int) -> None:
        self.send(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))})

    def disconnect(self, *connections: Peer, reset: bool) -> None:
        """End connections; the thread that reads closes them once it is told."""
        for line in connections:
            if reset:
                line.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with suppress(OSError):
                line.socket.shutdown(socket.SHUT_RD)


def instance_entry(identity: str, cell: int, address: str, lifecycle: str = "up") -> dict[str, Any]:
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
    return {"seq": seq, "fleet": {"generation": seq, "reset": reset, "instances": list(instances)}}


def make_config(**changes: Any) -> Config:
    """What a configuration like the program's below comes to, for a part of it alone."""
    raw = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "limits": LIMITS, "settings": SETTINGS}
    raw |= {"changelog": "127.0.0.1:1", "known": {"seq": 1, "results": []}, **changes}
    return read_config(json.dumps(raw), Clock.now())


class Program:
    """The program as it is started in service, between one exchange, a change log and callers."""

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
                "results": [change_event(1, instance_entry("far", 1, self.exchange.address), reset=True)],
            },
            "settings": SETTINGS,
        }
        self.path = folder / "config.json"
        self.listening_socket: socket.socket | None = None  # where the platform holds it

    def launch(self, **environment: str) -> subprocess.Popen[str]:
        self.path.write_text(json.dumps(self.config))
        held = self.listening_socket.fileno() if self.listening_socket is not None else None
        if held is not None:
            environment["LB_ACCEPT_FD"] = str(held)
        return subprocess.Popen(
            [sys.executable, "-u", "-m", "arrowkeel"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, "LB_CONFIG": str(self.path), **environment},
            pass_fds=() if held is None else (held,),
        )

    def start(self) -> None:
        self.process = self.launch()
        started = self.wait_for_log("started")
        self.listen_address, self.operator_address = (
            self.address(started, name) for name in ("listen", "operator")
        )
        self.changelog_connection = Peer(self.changelog_listener.accept())
        assert self.changelog_connection.socket.recv(100) == b"since 1\n"
        for _ in range(CONNECTIONS_KEPT):
            self.exchange.opened_connections.get(timeout=TIMEOUT_S)

    @staticmethod
    def address(line: str, name: str) -> tuple[str, int]:
        host, _, port = line.partition(f"{name}='")[2].partition("'")[0].rpartition(":")
        return host, int(port)

    def request(self, call: str, path: str) -> tuple[int, str]:
        """One call at the operators' door: its status and text."""
        with socket.create_connection(self.operator_address, TIMEOUT_S) as door:
            door.sendall(f"{call} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            answer = b"".join(iter(lambda: door.recv(65536), b"")).decode()
        head, _, text = answer.partition("\r\n\r\n")
        return int(head.split()[1]), text

    def wait_for_log(self, text: str) -> str:
        """The next line of the log that has this text."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            if text in line:
                return line
        raise AssertionError(f"the program ended without logging {text!r}")

    def connect_caller(self) -> Peer:
        return Peer(socket.create_connection(self.listen_address, TIMEOUT_S))

    @contextmanager
    def heartbeat(self) -> Iterator[None]:
        """The change log's line of each second, with only the last number."""
        done = threading.Event()

        def beat() -> None:
            while not done.wait(1.0):
                self.publish({"seq": 1})

        thread = threading.Thread(target=beat, daemon=True)
        thread.start()
        try:
            yield
        finally:
            done.set()
            thread.join()

    def publish(self, *lines: dict[str, Any]) -> None:
        self.changelog_connection.socket.sendall(
            b"".join(json.dumps(line).encode() + b"\n" for line in lines)
        )

    def establish_call(self, caller: Peer, call: str = CALL) -> None:
        """A call offered by that caller and answered by the exchange."""
        caller.set_up(call)
        self.exchange.expect(MessageType.SET_UP, call)
        self.exchange.send(MessageType.ANSWER, call, {Parameter.DESCRIPTION: b"answer \x01"})
        assert caller.expect(MessageType.ANSWER, call).parameters == {Parameter.DESCRIPTION: b"answer \x01"}


@contextmanager
def running_program(folder: Path, program: Program | None = None, **changes: Any) -> Iterator[Program]:
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
