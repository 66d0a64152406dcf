"""Callers whose connection is quiet when their calls end: what was written to it is not delivered (issue 28).

A caller that does not read looks to the program like one behind a network that carries nothing.
"""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause
from arrowkeel.pending_releases import EARLY_REPEAT_TIMES_NS, EVIDENCE_DELAY_NS
from tests.peers import CALL, OTHER, TIMEOUT_S, Peer, Program, instance_entry, running_program

THIRD = "00000000000000c3"
QUIET_S = 0.3  # longer than the time in which a release may cross the end of its connection
EVIDENCE_DELAY_S, FIRST_REPEAT_S = EVIDENCE_DELAY_NS / 1e9, EARLY_REPEAT_TIMES_NS[0] / 1e9
RELEASE_LIMIT_S = 8.05
TRANSIT: dict[Parameter, bytes | str | None] = {Parameter.ROUTING: "dest:1;width:1;via:2;transit:1"}


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def establish_and_read(program: Program, caller: Peer, call: str = CALL, is_transit: bool = False) -> None:
    """Has a call stand whose answer the caller has read, as what it sends later shows."""
    program.establish_call(caller, call, TRANSIT if is_transit else None)
    time.sleep(EVIDENCE_DELAY_S)
    caller.wait_until_processed()


def enter_standby(program: Program, caller: Peer) -> None:
    assert program.request("POST", "/standby")[0] == 200


def count_repeated(program: Program) -> dict[str, int]:
    """The releases that were sent again, by reason."""
    lines = program.request("GET", "/status/metrics")[1].splitlines()
    repeated = [line.partition("releases_repeated.")[2].partition("|")[0] for line in lines]
    counts = [line.split(":") for line in repeated if line]
    return {reason: int(count) for reason, count in counts if int(count)}


@pytest.mark.parametrize("is_transit", [False, True])
@pytest.mark.parametrize(
    ("reason", "end"),
    [
        ("reset", lambda program, caller: caller.reset()),
        ("closed_by_caller", lambda program, caller: caller.socket.shutdown(socket.SHUT_WR)),
        ("closed_here", enter_standby),
        ("silent", lambda program, caller: None),
    ],
    ids=["reset", "closed_by_caller", "closed_here", "silent"],
)
def test_a_release_written_to_a_quiet_connection_is_sent_again_on_another_one(
    program: Program, reason: str, end: Callable[[Program, Peer], None], is_transit: bool
) -> None:
    """Guards against calls that stand at their caller for ever as their release was written once."""
    quiet, other = program.connect_caller(), program.connect_caller()
    establish_and_read(program, other, OTHER)
    establish_and_read(program, quiet, CALL, is_transit)
    ended_at_s = time.monotonic()
    program.exchange.release(CALL, ReleaseCause.NORMAL)
    time.sleep(QUIET_S)
    end(program, quiet)
    assert other.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert time.monotonic() - ended_at_s < RELEASE_LIMIT_S
    assert count_repeated(program) == {reason: 1}


@pytest.mark.parametrize("has_successor", [False, True])
def test_a_process_that_ends_repeats_what_may_be_unread(tmp_path: Path, has_successor: bool) -> None:
    """Guards against releases that are lost as the connections are closed at a stop or a hand-over."""
    program = Program(tmp_path)
    program.listening_socket = socket.create_server(("127.0.0.1", 0)) if has_successor else None
    with running_program(tmp_path, program) as program:
        quiet, other = program.connect_caller(), program.connect_caller()
        establish_and_read(program, quiet)
        establish_and_read(program, other, OTHER)
        program.exchange.release(CALL, ReleaseCause.NORMAL)
        time.sleep(QUIET_S)
        program.process.send_signal(signal.SIGTERM)
        other.expect(MessageType.RELEASE)
        assert program.process.wait(TIMEOUT_S) == 0


def test_a_release_is_sent_on_a_third_connection_when_the_next_one_is_quiet_too(program: Program) -> None:
    """Guards against a repetition that counts as delivered as soon as it is written."""
    quiet, also_quiet = program.connect_caller(), program.connect_caller()
    establish_and_read(program, quiet)
    establish_and_read(program, also_quiet, OTHER)
    program.exchange.release(CALL, ReleaseCause.NORMAL)
    time.sleep(QUIET_S)
    quiet.reset()
    time.sleep(QUIET_S)
    also_quiet.reset()
    third = program.connect_caller()
    third.set_up(THIRD)  # until it carries a call, it may be a front end that passes releases to nobody
    third.expect(MessageType.RELEASE)


def test_the_calls_of_an_exchange_that_is_gone_are_released_again_too(program: Program) -> None:
    """Guards against calls that this side releases, on a connection that is quiet then."""
    quiet, other = program.connect_caller(), program.connect_caller()
    establish_and_read(program, other, OTHER)
    establish_and_read(program, quiet)
    removed = instance_entry("x1", 1, program.exchange.address, "removed")
    program.publish({"seq": 2, "fleet": {"generation": 2, "reset": False, "instances": [removed]}})
    other.expect(MessageType.RELEASE, OTHER)
    time.sleep(QUIET_S)
    quiet.reset()
    other.expect(MessageType.RELEASE, CALL)


def test_a_release_that_was_read_is_not_sent_again(program: Program) -> None:
    """Guards the promise beside the fault: where nothing goes wrong there is no repetition."""
    caller, other = program.connect_caller(), program.connect_caller()
    establish_and_read(program, other, OTHER)
    for call in (CALL, THIRD):
        establish_and_read(program, caller, call)
        program.exchange.release(call, ReleaseCause.NORMAL)
        caller.expect(MessageType.RELEASE, call)
    time.sleep(EVIDENCE_DELAY_S)
    caller.send(MessageType.RELEASE_COMPLETE, THIRD)
    caller.wait_until_processed()
    caller.reset()
    other.wait_until_processed()
    assert count_repeated(program) == {}
    assert "controller.releases_settled.receipt:2|c" in program.request("GET", "/status/metrics")[1]


def test_a_call_whose_answer_went_to_a_quiet_connection_is_ended_by_its_exchange(program: Program) -> None:
    """Guards against a release that is taken for the answer, and against a live call that is cut here."""
    quiet, other = program.connect_caller(), program.connect_caller()
    establish_and_read(program, other, OTHER)
    quiet.set_up(patience_ms=int((FIRST_REPEAT_S + 2) * 1000))
    program.exchange.expect(MessageType.SET_UP)
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    program.exchange.release(CALL, ReleaseCause.NORMAL)
    time.sleep(FIRST_REPEAT_S + 0.5)
    other.wait_until_processed()  # without a release before: the caller may still wait for its answer
    quiet.expect(MessageType.ANSWER)
    quiet.expect(MessageType.RELEASE)
