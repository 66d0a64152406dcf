"""Crowds of bad clients beside a good caller, who must not notice them, within the limits on memory."""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from unittest.mock import Mock

import pytest

from arrowkeel.net.callers import CallerConnection, Offer
from arrowkeel.net.calls import CallRecord, CallTable
from arrowkeel.net.codec import MAX_NAMED_VALUES, MAX_PARAMETERS, MessageType, Parameter, ReleaseCause
from tests.peers import GROUP_STATE, SETTINGS, Peer, Program, make_config, running_program
from tests.standins.bad_crowd import Kind

LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 1024}
MANY_CALLS = {**SETTINGS, "permissions": {**SETTINGS["permissions"], "maxOpen": 20_000}}
ANSWER_LIMIT_S = 1.5  # the deployment's shortest wanted time
CLOSE_LIMIT_S = 3.0  # the pages: a bad client is owed a refusal, an error or a close within 3 s of connecting
CROWD_S = 4.0
CALL_INTERVAL_S = 0.05
ROOM = {Parameter.REPORT: "idle:30000;circuits:30000;max_rate:-1"}


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    """The program, with an exchange that answers each set-up at once and has room for all calls."""
    program = Program(tmp_path)
    assert GROUP_STATE.keys() == ROOM.keys()
    program.exchange.state = ROOM
    threading.Thread(target=answer_all, args=(program,), daemon=True).start()
    with running_program(tmp_path, program, limits=LIMITS, settings=MANY_CALLS):
        yield program


def answer_all(program: Program) -> None:
    """Answers each set-up on the connection that brought it."""
    while True:
        connection, message = program.exchange.received.get()
        if message.type == MessageType.SET_UP:
            with suppress(OSError):
                connection.send(MessageType.ANSWER, message.call, {Parameter.DESCRIPTION: b"answer"})


@contextmanager
def crowd(program: Program, kind: Kind, clients: int) -> Iterator[subprocess.Popen[str]]:
    address = "{}:{}".format(*program.listen_address)
    command = [sys.executable, "-m", "tests.standins.bad_crowd", address, kind.value]
    command += ["--clients", str(clients), "--seconds", str(CROWD_S)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        yield process


def resident_mb(program: Program) -> float:
    """The resident memory of the program, in units of 2**20 bytes."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def place_calls(program: Program, caller: Peer, until_s: float) -> tuple[float, float]:
    """Places calls one after the other, each ended by its caller; returns the longest wait and the memory."""
    longest_s = most_mb = 0.0
    number = 0
    while time.monotonic() < until_s:
        number += 1
        call, sent_at_s = f"{number:016x}", time.monotonic()
        caller.set_up(call)
        caller.expect(MessageType.ANSWER, call)
        longest_s = max(longest_s, time.monotonic() - sent_at_s)
        caller.release(call, ReleaseCause.NORMAL)
        most_mb = max(most_mb, resident_mb(program))
        time.sleep(CALL_INTERVAL_S)
    return longest_s, most_mb


def play(program: Program, kind: Kind, clients: int) -> float:
    """Plays a crowd beside a good caller; returns how long the longest connection of a bad client lasted."""
    caller = program.connect_caller()
    place_calls(program, caller, time.monotonic() + 0.5)
    with crowd(program, kind, clients) as process:
        longest_s, most_mb = place_calls(program, caller, time.monotonic() + CROWD_S + 1.0)
        output, _ = process.communicate(timeout=20)
    assert longest_s < ANSWER_LIMIT_S
    assert most_mb < LIMITS["memory_mb"]
    return float(output)


@pytest.mark.parametrize("kind", [Kind.FIELDS, Kind.PAIRS, Kind.SLOW, Kind.HALF])
def test_hundreds_of_clients_with_large_or_endless_set_ups_delay_no_caller(
    program: Program, kind: Kind
) -> None:
    """Guards against callers that wait while thousands of fields of bad set-ups are read (issue 25, a)."""
    assert play(program, kind, clients=300) < CLOSE_LIMIT_S


@pytest.mark.parametrize(
    "kind", [Kind.NUMBERS, Kind.SMALL_NUMBERS, Kind.ANSWERED, Kind.UNSOUND, Kind.RELEASES]
)
def test_one_client_with_ever_new_names_at_full_speed_delays_no_caller_and_fills_no_memory(
    program: Program, kind: Kind
) -> None:
    """Guards against memory that grows with the numbers called (review case 8; issue 25, b)."""
    play(program, kind, clients=1)


def test_open_calls_are_bounded_by_their_bytes_in_total_and_for_each_connection() -> None:
    """Guards against memory that grows with the numbers of open calls, and one client taking all of it."""
    bounds = make_config(limits=LIMITS, settings=MANY_CALLS).bounds
    calls = CallTable(bounds)
    connections = [CallerConnection(Mock(), bounds) for _ in range(40)]
    for index, connection in enumerate(connections):
        while not calls.is_full(connection):
            call = f"{index}-{len(connection.open_calls)}"
            offer = Offer(call, "voice", "9" * 15_000, 1, 1, -1, 3000, False, False, False, b"offer")
            calls.add(CallRecord(connection, offer, deadline_at_ns=0))
        if index == 0:
            assert not calls.is_full(connections[1])
    slack_bytes = 16 * 1024
    assert calls.open_call_bytes <= bounds.max_open_call_bytes + slack_bytes
    assert all(
        each.open_call_bytes <= bounds.max_open_call_bytes_per_connection + slack_bytes
        for each in connections
    )
    for call in list(calls.records):
        calls.end(call)
    assert calls.open_call_bytes == 0 and not any(each.open_call_bytes for each in connections)


def test_a_set_up_with_too_many_fields_is_rejected_by_itself(program: Program) -> None:
    caller = program.connect_caller()
    routing = "dest:1" + ";a:1" * MAX_NAMED_VALUES
    caller.set_up("00000000000000d4", changes={Parameter.ROUTING: routing})
    assert caller.expect(MessageType.RELEASE, "00000000000000d4").cause() == ReleaseCause.INVALID_CONTENTS
    many = {100 + number: b"" for number in range(MAX_PARAMETERS)}
    caller.set_up("00000000000000e5", changes=many)  # type: ignore[arg-type]
    assert caller.expect(MessageType.RELEASE, "00000000000000e5").cause() == ReleaseCause.INVALID_CONTENTS
    caller.set_up("00000000000000f6")
    caller.expect(MessageType.ANSWER, "00000000000000f6")
