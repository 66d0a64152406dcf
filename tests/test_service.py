"""Stories of the program in service: the operators' door, standby, a process that follows another."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode
from arrowkeel.net.config import ClockOffset, read_config
from arrowkeel.net.exchange_pool import CONNECTIONS_PER_EXCHANGE
from arrowkeel.net.service import Service
from tests.peers import CALL, OTHER, TIMEOUT_S, Peer, Program, running_program

THIRD = "00000000000000c3"
EARLIER_METRICS = {
    "controller.passed.voice",
    "controller.dropped.voice",
    "controller.bad_gateway.voice",
    "controller.upstream_tries",
    "controller.in_progress",
    "controller.known_exchanges",
    "controller.skipped_exchanges",
}


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def ready(caller: Peer) -> bytes:
    caller.send(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"})
    return caller.expect(MessageType.TEST_RESULT, OTHER).parameters[Parameter.CAUSE]


def test_operators_are_answered_beside_those_who_say_nothing_or_half_a_call(program: Program) -> None:
    waiting = [socket.create_connection(program.operator_address, TIMEOUT_S) for _ in range(60)]
    waiting[-1].sendall(b"GET /sta")
    assert program.request("GET", "/status")[0] == 200
    assert [program.request(*call)[0] for call in (("POST", "/status"), ("GET", "/x"), ("?", "/status"))] == [
        405,
        404,
        400,
    ]
    assert program.request("GET", "/" + "x" * 9000)[0] == 413


def test_figures_count_what_peers_saw(program: Program) -> None:
    caller = program.connect_caller()
    program.establish_call(caller)
    caller.set_up(OTHER, destination=9)
    caller.expect(MessageType.RELEASE, OTHER)
    caller.set_up(THIRD)
    program.exchange.expect(MessageType.SET_UP, THIRD)
    lines = program.request("GET", "/status/metrics")[1].splitlines()
    counters = {
        name: int(value) for name, value in (line[:-2].split(":") for line in lines if line[-1] == "c")
    }
    gauges = {name: int(value) for name, value in (line[:-2].split(":") for line in lines if line[-1] == "g")}
    assert len(lines) == len(counters) + len(gauges)
    assert [line for line in lines if line.split(":")[0] in EARLIER_METRICS] == [
        "controller.passed.voice:1|c",
        "controller.dropped.voice:1|c",
        "controller.bad_gateway.voice:0|c",
        "controller.upstream_tries:2|c",
        "controller.in_progress:2|g",
        "controller.known_exchanges:1|g",
        "controller.skipped_exchanges:0|g",
    ]
    assert {name.removeprefix("controller."): count for name, count in counters.items() if count} == {
        "passed.voice": 1,
        "dropped.voice": 1,
        "refusals.no_route": 1,
        "upstream_tries": 2,
    }
    assert counters["controller.bad_gateway.voice"] == 0
    wanted = {"in_progress": 2, "open_calls": 1, "standing_calls": 1, "known_exchanges": 1}
    wanted |= {"skipped_exchanges": 0, "silent_exchanges": 0, "caller_connections": 1}
    assert {name: gauges[f"controller.{name}"] for name in wanted} == wanted


def test_standby_sends_callers_away_and_active_takes_them_back(program: Program) -> None:
    busy, idle = program.connect_caller(), program.connect_caller()
    program.establish_call(busy, THIRD)
    busy.set_up()
    program.exchange.expect(MessageType.SET_UP)
    idle.wait_until_processed()
    assert program.request("POST", "/standby")[0] == 200 and program.request("GET", "/status")[0] == 503
    assert idle.receive() is None
    assert ready(busy) == b"\x00"
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    busy.expect(MessageType.ANSWER)
    later = time.monotonic() + 1.0
    while time.monotonic() < later:  # the last one that speaks of calls stays, to be told what is over
        assert ready(busy) == b"\x00"
    program.exchange.release(THIRD, 16)
    busy.expect(MessageType.RELEASE, THIRD)
    assert busy.receive() is None
    assert program.request("POST", "/active")[0] == 200 and program.request("GET", "/status")[0] == 200
    back = program.connect_caller()
    assert ready(back) == b"\x01"
    program.establish_call(back, OTHER)


def test_in_standby_a_connection_stays_until_the_end_of_its_calls_is_told(program: Program) -> None:
    caller, other = program.connect_caller(), program.connect_caller()
    program.establish_call(caller)
    program.establish_call(other, THIRD)
    program.exchange.release(THIRD, 16)
    other.expect(MessageType.RELEASE, THIRD)
    assert program.request("POST", "/standby")[0] == 200
    assert other.receive() is None, "nothing is left on it"
    time.sleep(4.2)
    caller.set_up(OTHER)
    refusal = caller.expect(MessageType.RELEASE, OTHER)
    assert refusal.cause() == ReleaseCause.CONGESTION and refusal.integer(Parameter.REDIAL_AFTER) == 2000
    program.exchange.release(CALL, 16)
    caller.expect(MessageType.RELEASE)
    assert caller.receive() is None
    program.exchange.release(CALL, 16)  # told again: nothing waits for the next caller
    assert program.request("POST", "/active")[0] == 200
    program.establish_call(program.connect_caller(), "00000000000000d4")


def test_what_ends_in_standby_waits_for_a_caller_and_is_not_told_to_the_front(program: Program) -> None:
    caller = program.connect_caller()
    program.establish_call(caller)
    caller.socket.close()  # while its call stands
    assert program.request("POST", "/standby")[0] == 200
    time.sleep(2.0)  # from then on set-ups are refused
    fronts = [program.connect_caller()]
    assert ready(fronts[0]) == b"\x00"
    program.exchange.release(CALL, 16)
    fronts.append(program.connect_caller())
    assert ready(fronts[1]) == b"\x00"
    back = program.connect_caller()
    back.set_up(OTHER)
    back.expect(MessageType.RELEASE, OTHER)  # so long after it was asked, standby turns calls away
    assert back.expect(MessageType.RELEASE).cause() == 16


def test_what_ends_while_a_process_gives_way_is_still_told(tmp_path: Path) -> None:
    """With its last connection closed at once, releases that come until its end would reach nobody."""
    scripted, held = Program(tmp_path), socket.create_server(("127.0.0.1", 0))
    address = held.getsockname()

    async def run() -> None:
        config = read_config(
            json.dumps(scripted.config), ClockOffset.measure(), {"LB_ACCEPT_FD": str(held.detach())}
        )
        service = Service(config)
        await service.start()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(encode(MessageType.RELEASE, CALL, {Parameter.CAUSE: b"\x10"}))
        while not any(line.has_carried_calls for line in service.controller.callers.connections):
            await asyncio.sleep(0.01)
        service.stop()
        assert await reader.read() == b"" and time.monotonic_ns() >= service.stop_at_ns
        writer.close()
        await asyncio.wait_for(service.finished, TIMEOUT_S)
        await service.shut_down()

    asyncio.run(run())


@pytest.mark.parametrize("held", ["x", "-1", "999"])
def test_a_descriptor_that_is_no_socket_is_named(tmp_path: Path, held: str) -> None:
    process = Program(tmp_path).launch(LB_ACCEPT_FD=held)
    said, _ = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2 and said.count("\n") == 1 and "LB_ACCEPT_FD" in said


def test_a_process_follows_another_on_the_platforms_socket_and_no_call_is_turned_back(tmp_path: Path) -> None:
    program, held = Program(tmp_path), socket.create_server(("127.0.0.1", 0))
    held.set_inheritable(True)
    program.listening_socket = held
    program.start()
    first = program.process
    try:
        caller, idle = program.connect_caller(), program.connect_caller()
        caller.set_up()
        program.exchange.expect(MessageType.SET_UP)
        idle.wait_until_processed()
        program.start()
        first.terminate()
        assert idle.receive() is None
        program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
        caller.expect(MessageType.ANSWER)
        assert caller.receive() is None and first.wait(TIMEOUT_S) == 0
        after = program.connect_caller()
        program.establish_call(after, OTHER)
        for _ in range(CONNECTIONS_PER_EXCHANGE):
            program.exchange.closed_connections.get(timeout=TIMEOUT_S)
        program.exchange.release(CALL, 16)  # of a call that stood before this process began
        assert after.expect(MessageType.RELEASE).cause() == 16
    finally:
        for process in (first, program.process):
            process.kill()
            process.wait(TIMEOUT_S)
            if process.stdout is not None:
                process.stdout.close()
        held.close()
