"""Incident 8: calls that stand on an exchange which vanishes are released in time, whoever is silent."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import nullcontext
from pathlib import Path

import pytest

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause
from tests.peers import CALL, OTHER, Peer, Program, change_event, instance_entry, running_program
from tests.standins.fault_proxy import FaultProxy, threaded

RELEASE_LIMIT_S = 8.0  # the protocol's limit from a call's end to the release towards its caller
Network = tuple[FaultProxy, Callable[[Callable[[], None]], None]]


@pytest.fixture
def between(tmp_path: Path) -> Iterator[tuple[Program, Network]]:
    """The program, with a fault proxy between it and its exchange."""
    program = Program(tmp_path)
    with threaded(program.exchange.address) as network:
        known = [change_event(1, instance_entry("far", 1, network[0].address), reset=True)]
        with running_program(tmp_path, program, known={"seq": 1, "results": known}):
            yield program, network


@pytest.mark.parametrize("discovery", ["follows", "down"])
def test_calls_on_a_vanished_exchange_are_released_in_time(
    between: tuple[Program, Network], discovery: str
) -> None:
    program, (proxy, run) = between
    caller = two_standing(program)
    if discovery == "down":
        program.changelog_listener.socket.close()
        program.changelog_connection.socket.close()
    with program.heartbeat() if discovery == "follows" else nullcontext():
        run(proxy.cut)
        expect_both_released(caller, since=time.monotonic())


def test_calls_of_a_machine_that_returns_as_a_new_process_are_released_in_time(
    between: tuple[Program, Network],
) -> None:
    """Its connections come up again and tell of an idle group; nobody tells of the calls that it has cut."""
    program, (proxy, run) = between
    caller = two_standing(program)
    run(proxy.cut)
    vanished = time.monotonic()
    program.exchange.state = {Parameter.REPORT: "idle:60;circuits:60;max_rate:-1"}
    program.exchange.disconnect(*program.exchange.connections, reset=True)
    time.sleep(4.0)
    run(proxy.heal)
    expect_both_released(caller, since=vanished)


@pytest.mark.parametrize("trouble", ["cut for six seconds", "all connections reset", "quiet for long"])
def test_calls_of_a_process_that_lives_on_are_not_released(
    between: tuple[Program, Network], trouble: str
) -> None:
    program, (proxy, run) = between
    caller = two_standing(program)
    if trouble == "cut for six seconds":
        run(proxy.cut)
        time.sleep(6.0)
        program.exchange.send_state(*program.exchange.connections)  # as the circuits of the group change
        run(proxy.heal)
    elif trouble == "all connections reset":
        run(proxy.reset_all)
    time.sleep(RELEASE_LIMIT_S + 1.0)
    for call in (CALL, OTHER):
        program.exchange.release(call, ReleaseCause.NORMAL)
        assert caller.expect(MessageType.RELEASE, call).cause() == ReleaseCause.NORMAL


def two_standing(program: Program) -> Peer:
    caller = program.connect_caller()
    caller.socket.settimeout(RELEASE_LIMIT_S + 1.0)
    program.establish_call(caller)
    program.establish_call(caller, OTHER)
    return caller


def expect_both_released(caller: Peer, since: float) -> None:
    released = [caller.receive() for _ in range(2)]
    took_s = time.monotonic() - since
    assert {(message.type, message.call) for message in released if message is not None} == {
        (MessageType.RELEASE, CALL),
        (MessageType.RELEASE, OTHER),
    }
    assert took_s < RELEASE_LIMIT_S
