"""End-to-end tests of the orderly shutdown: every set-up is answered, and the process ends before SIGKILL."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode
from tests.peers import CALL, OTHER, TIMEOUT_S, Peer, Program, running_program

ACCEPTING_S = 0.7  # for this long after SIGTERM set-ups are accepted as before
KILL_AFTER_S = 3.7  # shortest time between SIGTERM and SIGKILL
THIRD = "00000000000000c3"


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def terminate(program: Program) -> float:
    """Sends SIGTERM, waits until the program logs its stop, and returns the time then."""
    program.process.send_signal(signal.SIGTERM)
    program.wait_for_log("stopping")
    return time.monotonic()


def test_late_set_ups_are_refused_at_once_with_a_redial_time(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    stop_began_at = terminate(program)
    while time.monotonic() < stop_began_at + ACCEPTING_S + 0.1:
        time.sleep(0.05)
    caller.set_up(OTHER)
    refusal = caller.expect(MessageType.RELEASE, OTHER)
    assert refusal.cause() == ReleaseCause.CONGESTION and refusal.integer(Parameter.REDIAL_AFTER) == 2000
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)
    assert caller.receive() is None and program.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - stop_began_at < KILL_AFTER_S


def test_an_unanswered_call_fails_before_the_process_may_be_killed(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    stop_began_at = terminate(program)
    assert caller.expect(MessageType.RELEASE).cause() == ReleaseCause.TEMPORARY_FAILURE
    assert program.exchange.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert caller.receive() is None and program.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - stop_began_at < KILL_AFTER_S


def test_idle_connections_are_closed_and_further_signals_change_nothing(program: Program) -> None:
    idle = [program.connect_caller() for _ in range(3)]
    stop_began_at = terminate(program)
    program.process.send_signal(signal.SIGHUP)
    program.process.send_signal(signal.SIGTERM)
    for caller in idle:
        assert caller.receive() is None
    assert program.process.wait(TIMEOUT_S) == 0
    assert ACCEPTING_S < time.monotonic() - stop_began_at < ACCEPTING_S + 1.0


def test_a_set_up_that_arrives_in_pieces_during_the_stop_is_answered(program: Program) -> None:
    """A connection with an incomplete message is not closed before the message had time to arrive."""
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
    stop_began_at = terminate(program)
    for offset in range(0, len(message), 20):
        caller.socket.sendall(message[offset : offset + 20])
        time.sleep(1.5 * 20 / len(message))  # 1.5 s for the whole message
    assert caller.expect(MessageType.RELEASE, OTHER).cause() == ReleaseCause.CONGESTION
    assert caller.receive() is None and program.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - stop_began_at < KILL_AFTER_S


@pytest.mark.parametrize("ending", ["reset", "close"])
def test_a_release_that_crosses_the_end_of_a_callers_connection_is_sent_on_another(
    program: Program, ending: str
) -> None:
    """A release written to a connection whose end was not read yet never reaches the caller there."""
    first, second = program.connect_caller(), program.connect_caller()
    program.establish_call(first)
    program.establish_call(second, THIRD)
    # Paused, so that it reads both events in the same iteration of its loop.
    program.process.send_signal(signal.SIGSTOP)
    if ending == "reset":
        first.reset()
    else:
        first.socket.close()
    program.exchange.release(CALL, ReleaseCause.NORMAL)
    program.process.send_signal(signal.SIGCONT)
    assert second.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert not has_further_message(second), "the release must be sent only once"


def has_further_message(caller: Peer) -> bool:
    """Returns whether the next message on this connection is anything but the answer to a connection test."""
    caller.send(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"})
    message = caller.receive()
    return message is None or message.type != MessageType.TEST_RESULT
