"""End-to-end tests of the process: the operators' interface, standby, and the hand-over to a successor."""

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
from arrowkeel.pending_releases import EVIDENCE_DELAY_NS
from tests.peers import CALL, OTHER, TIMEOUT_S, Peer, Program, running_program

THIRD = "00000000000000c3"
# Metrics whose lines must keep this form and this order.
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


def run_connection_test(caller: Peer) -> bytes:
    """Tests the connection and returns the result byte: 1 while the program accepts calls, else 0."""
    caller.send(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"})
    return caller.expect(MessageType.TEST_RESULT, OTHER).parameters[Parameter.CAUSE]


def count_ignored_repetitions(program: Program) -> int:
    """How many releases from exchanges were repetitions, and not passed on."""
    metrics = program.request("GET", "/status/metrics")[1]
    return int(metrics.partition("exchange_releases_ignored.call_ended:")[2].partition("|")[0])


def test_operators_are_answered_despite_silent_and_incomplete_requests(program: Program) -> None:
    """Connections without a complete request, more than are allowed at once, must not keep operators out."""
    silent = [socket.create_connection(program.operator_address, TIMEOUT_S) for _ in range(60)]
    silent[-1].sendall(b"GET /sta")
    assert program.request("GET", "/status")[0] == 200
    assert [program.request(*call)[0] for call in (("POST", "/status"), ("GET", "/x"), ("?", "/status"))] == [
        405,
        404,
        400,
    ]
    assert program.request("GET", "/" + "x" * 9000)[0] == 413


def test_metrics_count_what_peers_observed(program: Program) -> None:
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
    expected = {"in_progress": 2, "open_calls": 1, "standing_calls": 1, "known_exchanges": 1}
    expected |= {"skipped_exchanges": 0, "silent_exchanges": 0, "caller_connections": 1}
    assert {name: gauges[f"controller.{name}"] for name in expected} == expected


def test_standby_closes_callers_connections_and_active_accepts_them_again(program: Program) -> None:
    busy, idle = program.connect_caller(), program.connect_caller()
    program.establish_call(busy, THIRD)
    busy.set_up()
    program.exchange.expect(MessageType.SET_UP)
    idle.wait_until_processed()
    assert program.request("POST", "/standby")[0] == 200 and program.request("GET", "/status")[0] == 503
    assert idle.receive() is None
    assert run_connection_test(busy) == b"\x00"
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    busy.expect(MessageType.ANSWER)
    keep_open_until = time.monotonic() + 1.0
    # The last connection that has carried calls stays open, to receive the release of its standing call.
    while time.monotonic() < keep_open_until:
        assert run_connection_test(busy) == b"\x00"
    for call in (THIRD, CALL):
        time.sleep(2 * EVIDENCE_DELAY_NS / 1e9)
        assert run_connection_test(busy) == b"\x00"
        program.exchange.release(call, 16)
        busy.expect(MessageType.RELEASE, call)
    assert busy.socket.recv(1) == b"", "closed once the last of its calls is released"
    assert program.request("POST", "/active")[0] == 200 and program.request("GET", "/status")[0] == 200
    returned = program.connect_caller()
    assert run_connection_test(returned) == b"\x01"
    returned.set_up(OTHER)
    # Its connection was closed behind the release, which may thus be unread. The one before it was read: the
    # test of the connection that followed it came later.
    returned.expect(MessageType.RELEASE, CALL)
    program.exchange.expect(MessageType.SET_UP, OTHER)
    program.exchange.send(MessageType.ANSWER, OTHER, {Parameter.DESCRIPTION: b"answer"})
    returned.expect(MessageType.ANSWER, OTHER)


def test_in_standby_a_connection_stays_open_until_its_calls_are_released(program: Program) -> None:
    caller, other = program.connect_caller(), program.connect_caller()
    program.establish_call(caller)
    program.establish_call(other, THIRD)
    program.exchange.release(THIRD, 16)
    other.expect(MessageType.RELEASE, THIRD)
    assert program.request("POST", "/standby")[0] == 200
    assert other.receive() is None, "a connection without calls must be closed"
    time.sleep(4.2)  # longer than the last connection stays open without calls, to carry releases
    caller.set_up(OTHER)
    refusal = caller.expect(MessageType.RELEASE, OTHER)
    assert refusal.cause() == ReleaseCause.CONGESTION and refusal.integer(Parameter.REDIAL_AFTER) == 2000
    program.exchange.release(CALL, 16)
    caller.expect(MessageType.RELEASE)
    assert caller.receive() is None
    returned = program.connect_caller()
    returned.release(CALL, 16)  # proves that the first release was read, so that it is not kept either
    returned.wait_until_processed()
    returned.socket.close()
    ignored_before = count_ignored_repetitions(program)
    program.exchange.release(CALL, 16)  # a repeated release must not be kept for the next caller
    give_up_at = time.monotonic() + TIMEOUT_S
    while count_ignored_repetitions(program) == ignored_before:
        assert time.monotonic() < give_up_at, "the repeated release was passed on"
        time.sleep(0.01)
    assert program.request("POST", "/active")[0] == 200
    program.establish_call(program.connect_caller(), "00000000000000d4")


def test_a_release_in_standby_waits_for_a_caller_and_is_not_sent_to_a_front_end(program: Program) -> None:
    """A front end only tests connections and passes no releases on: one that is sent to it is lost."""
    caller = program.connect_caller()
    program.establish_call(caller)
    caller.socket.close()  # while its call is standing
    assert program.request("POST", "/standby")[0] == 200
    time.sleep(2.0)  # after which set-ups are refused
    front_ends = [program.connect_caller()]
    assert run_connection_test(front_ends[0]) == b"\x00"
    program.exchange.release(CALL, 16)
    front_ends.append(program.connect_caller())
    assert run_connection_test(front_ends[1]) == b"\x00"
    returned = program.connect_caller()
    returned.set_up(OTHER)
    returned.expect(MessageType.RELEASE, OTHER)  # so long after the switch to standby, set-ups are refused
    assert returned.expect(MessageType.RELEASE).cause() == 16


def test_releases_during_a_hand_over_still_reach_a_caller(tmp_path: Path) -> None:
    """If the last connection were closed at once, releases until the process ends would reach no caller."""
    scripted, listening = Program(tmp_path), socket.create_server(("127.0.0.1", 0))
    address = listening.getsockname()

    async def run() -> None:
        config = read_config(
            json.dumps(scripted.config), ClockOffset.measure(), {"LB_ACCEPT_FD": str(listening.detach())}
        )
        service = Service(config)
        await service.start()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(encode(MessageType.RELEASE, CALL, {Parameter.CAUSE: b"\x10"}))
        while not any(each.has_carried_calls for each in service.controller.callers.connections):
            await asyncio.sleep(0.01)
        service.stop()
        assert await reader.read() == b"" and time.monotonic_ns() >= service.earliest_finish_ns
        writer.close()
        await asyncio.wait_for(service.finished, TIMEOUT_S)
        await service.shut_down()

    asyncio.run(run())


@pytest.mark.parametrize("descriptor", ["x", "-1", "999"])
def test_an_unusable_listening_descriptor_is_reported(tmp_path: Path, descriptor: str) -> None:
    process = Program(tmp_path).launch(LB_ACCEPT_FD=descriptor)
    output, _ = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 2 and output.count("\n") == 1 and "LB_ACCEPT_FD" in output


def test_a_successor_takes_over_the_listening_socket_and_no_call_is_refused(tmp_path: Path) -> None:
    """Both processes inherit the same socket; the first one ends only after its open call was answered."""
    program, listening = Program(tmp_path), socket.create_server(("127.0.0.1", 0))
    listening.set_inheritable(True)
    program.listening_socket = listening
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
        later_caller = program.connect_caller()
        program.establish_call(later_caller, OTHER)
        for _ in range(CONNECTIONS_PER_EXCHANGE):
            program.exchange.closed_connections.get(timeout=TIMEOUT_S)
        program.exchange.release(CALL, 16)  # of a call that was established before this process started
        assert later_caller.expect(MessageType.RELEASE).cause() == 16
    finally:
        for process in (first, program.process):
            process.kill()
            process.wait(TIMEOUT_S)
            if process.stdout is not None:
                process.stdout.close()
        listening.close()
