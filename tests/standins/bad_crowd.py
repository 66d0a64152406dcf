"""A crowd of bad clients, as a process of its own, so that it takes no time from the stand-ins beside it.

    python -m tests.standins.bad_crowd HOST:PORT KIND --clients N --seconds S

Each client connects, sends what its kind says, reads what it is sent, and connects again once it is closed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import struct
import time
from enum import Enum

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode

LARGE_NUMBER_BYTES = 7_500  # of random data; in hexadecimal it nearly fills a message
DRIP_BYTES, DRIP_INTERVAL_S = 64, 0.05
BURST_BYTES = 16 * 1024  # written at once by a client that sends at full speed
NO_SUCH_EXCHANGE = "dest:99"


class Kind(Enum):
    """What the clients send."""

    SLOW = "slow"  # a large set-up, some bytes at a time
    HALF = "half"  # a large set-up but for its last byte
    FIELDS = "fields"  # set-ups of thousands of empty parameters
    PAIRS = "pairs"  # set-ups with thousands of name:value pairs in one parameter
    UNSOUND = "unsound"  # set-ups without parameters
    NUMBERS = "numbers"  # valid set-ups to no known exchange, each with another large number called
    SMALL_NUMBERS = "small-numbers"  # the same with short numbers
    ANSWERED = "answered"  # valid set-ups to exchange 1, each with another large number called
    RELEASES = "releases"  # releases of ever new calls


def valid_set_up(call: str, number: str, routing: str) -> bytes:
    """A set-up that nothing is wrong with."""
    parameters: dict[int, bytes | str] = {
        Parameter.CLASS: "voice",
        Parameter.PATIENCE: "3000",
        Parameter.NUMBER: number,
        Parameter.ROUTING: routing,
        Parameter.DESCRIPTION: b"offer",
    }
    return encode(MessageType.SET_UP, call, parameters)


def next_message(kind: Kind) -> bytes:
    """The next message of a client of that kind, under a new call identifier."""
    call = os.urandom(8).hex()
    large_number = os.urandom(LARGE_NUMBER_BYTES).hex()
    match kind:
        case Kind.FIELDS:
            body = bytes((MessageType.SET_UP,)) + bytes.fromhex(call) + b"\x07\x00\x00" * 5440
            return struct.pack(">H", len(body)) + body
        case Kind.PAIRS:
            return valid_set_up(call, call, NO_SUCH_EXCHANGE + ";" + "a:;" * 5300)
        case Kind.UNSOUND:
            return encode(MessageType.SET_UP, call)
        case Kind.SMALL_NUMBERS:
            return valid_set_up(call, call, NO_SUCH_EXCHANGE)
        case Kind.ANSWERED:
            return valid_set_up(call, large_number, "dest:1;width:1;via:-1")
        case Kind.RELEASES:
            return encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))})
        case _:
            return valid_set_up(call, large_number, NO_SUCH_EXCHANGE)


class Client:
    """One client: a connection at a time, until the moment at which the crowd ends."""

    def __init__(self, host: str, port: int, kind: Kind, until_s: float) -> None:
        self.host, self.port, self.kind, self.until_s = host, port, kind, until_s
        self.longest_connection_s = 0.0

    async def run(self) -> None:
        while time.monotonic() < self.until_s:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
            except OSError:
                await asyncio.sleep(DRIP_INTERVAL_S)
                continue
            connected_at_s = time.monotonic()
            closed = asyncio.create_task(self.read_to_end(reader))
            with contextlib.suppress(OSError):
                await self.send(writer, closed)
            self.longest_connection_s = max(self.longest_connection_s, time.monotonic() - connected_at_s)
            closed.cancel()
            writer.close()

    async def read_to_end(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(65536):
                pass

    async def send(self, writer: asyncio.StreamWriter, closed: asyncio.Task[None]) -> None:
        """Sends as the kind says until the connection is closed or the crowd ends."""
        unsent = b""
        while not closed.done() and time.monotonic() < self.until_s:
            if self.kind is Kind.SLOW:
                unsent = unsent or next_message(self.kind)
                writer.write(unsent[:DRIP_BYTES])
                unsent = unsent[DRIP_BYTES:]
                await asyncio.sleep(DRIP_INTERVAL_S)
            elif self.kind is Kind.HALF:
                if not unsent:
                    unsent = next_message(self.kind)
                    writer.write(unsent[:-1])
                await asyncio.sleep(DRIP_INTERVAL_S)
            else:
                burst = next_message(self.kind)
                burst += b"".join(next_message(self.kind) for _ in range(BURST_BYTES // len(burst)))
                writer.write(burst)
                await writer.drain()
                await asyncio.sleep(0)


async def run_crowd(address: str, kind: Kind, client_count: int, seconds: float) -> float:
    """Runs the clients; returns how long the longest connection lasted, in seconds."""
    host, _, port = address.rpartition(":")
    until_s = time.monotonic() + seconds
    clients = [Client(host, int(port), kind, until_s) for _ in range(client_count)]
    await asyncio.gather(*(client.run() for client in clients))
    return max(client.longest_connection_s for client in clients)


def main() -> None:
    """Runs the crowd that the command line asks for and prints the longest life of a connection."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("kind", type=Kind)
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    arguments = parser.parse_args()
    longest_s = asyncio.run(
        run_crowd(arguments.address, arguments.kind, arguments.clients, arguments.seconds)
    )
    print(f"{longest_s:.2f}")


if __name__ == "__main__":
    main()
