"""A bad client on one connection: it takes back calls under ids that no exchange knows, at full speed.

It has 60 MB to send, reads what is sent to it, and stops when it is closed, when all is sent, or after the
6 s in which the pages owe it a refusal, an error or a close. Arguments: port, seconds.
"""

from __future__ import annotations

import random
import select
import socket
import struct
import sys
import time

TOTAL_BYTES = 60_000_000
IDS = 300
RELEASE, CAUSE, GIVEN_UP = 12, 92, 16


def main() -> None:
    port, seconds = int(sys.argv[1]), float(sys.argv[2])
    body_end = struct.pack(">BHB", CAUSE, 1, GIVEN_UP)
    block = b""
    for _ in range(IDS):
        body = bytes((RELEASE,)) + random.randbytes(8) + body_end
        block += struct.pack(">H", len(body)) + body
    data = memoryview(block * 20)
    started_at_s = time.monotonic()
    sent = received = offset = 0
    outcome = "not closed, no answer"
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.setblocking(False)
        while sent < TOTAL_BYTES and time.monotonic() - started_at_s < seconds:
            readable, writable, _ = select.select([client], [client], [], 0.05)
            try:
                if readable:
                    got = client.recv(65536)
                    received += len(got)
                    if not got:
                        outcome = "closed"
                        break
                if writable:
                    count = client.send(data[offset:])
                    sent, offset = sent + count, (offset + count) % len(data)
            except BlockingIOError:
                continue
            except OSError as error:
                outcome = f"closed ({error})"
                break
    spent_s = time.monotonic() - started_at_s
    print(f"{outcome} after {spent_s:.2f} s; {sent} bytes sent, {received} received")


if __name__ == "__main__":
    main()
