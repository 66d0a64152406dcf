"""Stories of the orderly end: what callers still send is answered, and nothing waits for SIGKILL."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode
from tests.peers import CALL, OTHER, TIMEOUT_S, Peer, Program, running_program

TAKEN_S = 0.7  # set-ups that come so soon after SIGTERM are taken as before
KILL_S = 3.7  # SIGKILL may come so soon after SIGTERM
THIRD = "00000000000000c3"


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def terminate(program: Program) -> float:
    program.process.send_signal(signal.SIGTERM)
    program.wait_for_log("stopping")
    return time.monotonic()


def test_set_ups_that_come_late_are_refused_at_once_with_advice(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    began = terminate(program)
    while time.monotonic() < began + TAKEN_S + 0.1:
        time.sleep(0.05)
    caller.set_up(OTHER)
    refusal = caller.expect(MessageType.RELEASE, OTHER)
    assert refusal.cause() == ReleaseCause.CONGESTION and refusal.integer(Parameter.REDIAL_AFTER) == 2000
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)
    assert caller.receive() is None and program.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - began < KILL_S


def test_a_call_that_hangs_has_its_answer_before_the_kill_may_come(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    began = terminate(program)
    assert caller.expect(MessageType.RELEASE).cause() == ReleaseCause.TEMPORARY_FAILURE
    assert program.exchange.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert caller.receive() is None and program.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - began < KILL_S


def test_idle_connections_are_closed_and_a_second_signal_changes_nothing(program: Program) -> None:
    idle = [program.connect_caller() for _ in range(3)]
    began = terminate(program)
    program.process.send_signal(signal.SIGHUP)
    program.process.send_signal(signal.SIGTERM)
    for caller in idle:
        assert caller.receive() is None
    assert program.process.wait(TIMEOUT_S) == 0
    assert TAKEN_S < time.monotonic() - began < TAKEN_S + 1.0


def test_a_set_up_that_is_written_across_the_stop_is_answered(program: Program) -> None:
    caller = program.connect_caller()
    program.establish_call(caller)
    message = encode(
        MessageType.SET_UP,
        OTHER,
        {
            Parameter.CLASS: "voice",
            Parameter.PATIENCE: "60000",
            Parameter.NUMBER: "7f3a9c21e0b4d655",
            Parameter.ROUTING: "dest:1",
            Parameter.DESCRIPTION: b"offer",
        },
    )
    began = terminate(program)
    for at in range(0, len(message), 20):
        caller.socket.sendall(message[at : at + 20])
        time.sleep(1.5 * 20 / len(message))
    assert caller.expect(MessageType.RELEASE, OTHER).cause() == ReleaseCause.CONGESTION
    assert caller.receive() is None and program.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - began < KILL_S


@pytest.mark.parametrize("end", ["reset", "close"])
def test_a_release_that_crosses_the_end_of_a_callers_connection_is_told_on_another(
    program: Program, end: str
) -> None:
    first, second = program.connect_caller(), program.connect_caller()
    program.establish_call(first)
    program.establish_call(second, THIRD)
    program.process.send_signal(signal.SIGSTOP)  # so that both are read in one pass of the loop
    if end == "reset":
        first.reset()
    else:
        first.socket.close()
    program.exchange.release(CALL, ReleaseCause.NORMAL)
    program.process.send_signal(signal.SIGCONT)
    assert second.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert not further(second), "it is told once there"


def further(caller: Peer) -> bool:
    """Whether more than the answer to a test comes on this connection."""
    caller.send(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"})
    message = caller.receive()
    return message is None or message.type != MessageType.TEST_RESULT
