"""Callers that close their connection while what they sent is unread, or come again after they have left."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from arrowkeel.net.codec import MessageType, ReleaseCause
from tests.peers import CALL, OTHER, SETTINGS, Peer, Program, running_program

GOOD_CALL = "00000000000000f6"
REFUSED_CAUSES = (34, 42, 102)
UNREAD_SET_UPS = 300  # more than one turn and one read


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def next_from_program(program: Program) -> tuple[MessageType, str]:
    """The type and call of the next message that the exchange receives."""
    message = program.exchange.received.get(timeout=20)[1]
    return MessageType(message.type), message.call


@pytest.mark.parametrize("is_reset", [False, True])
def test_the_set_ups_of_a_caller_that_has_left_unread_are_not_sent_on(
    program: Program, is_reset: bool
) -> None:
    """Guards against work for a caller that has gone, and the delay of others by it (issue 25, c)."""
    leaving, caller = program.connect_caller(), program.connect_caller()
    leaving.wait_until_processed()
    caller.wait_until_processed()
    program.process.send_signal(signal.SIGSTOP)
    try:
        for number in range(UNREAD_SET_UPS):
            leaving.set_up(f"{number + 1000:016x}")
        if is_reset:
            leaving.reset()
        else:
            leaving.socket.close()
    finally:
        program.process.send_signal(signal.SIGCONT)
    caller.set_up(GOOD_CALL)
    assert next_from_program(program) == (MessageType.SET_UP, GOOD_CALL)
    _, metrics = program.request("GET", "/status/metrics")
    assert f"controller.set_ups_skipped:{UNREAD_SET_UPS}|c" in metrics or is_reset


def test_the_release_of_a_caller_that_has_left_is_passed_on(program: Program) -> None:
    """Guards the promise beside the fault: what a caller ended before it left is over."""
    leaving = program.connect_caller()
    program.establish_call(leaving)
    program.process.send_signal(signal.SIGSTOP)
    try:
        leaving.set_up(OTHER)
        leaving.release(OTHER, ReleaseCause.NORMAL)  # gives up the set-up that is not accepted
        leaving.release(CALL, ReleaseCause.NORMAL)
        leaving.socket.close()
    finally:
        program.process.send_signal(signal.SIGCONT)
    assert next_from_program(program) == (MessageType.RELEASE, CALL)


def settings_with(repeat: str) -> dict[str, Any]:
    raw: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    raw["classes"][0]["repeat"] = repeat
    return raw


@pytest.mark.parametrize("is_answered", [False, True])
@pytest.mark.parametrize("repeat", ["read_like", "idempotency_key", "non_idempotent"])
def test_a_call_that_comes_again_after_its_client_left_runs_once(
    tmp_path: Path, repeat: str, is_answered: bool
) -> None:
    """Guards against an identifier that runs twice where its class forbids a repetition (issue 25, c)."""
    with running_program(tmp_path, settings=settings_with(repeat)) as program:
        leaving = program.connect_caller()
        if is_answered:
            program.establish_call(leaving)
            leaving.release(CALL, ReleaseCause.NORMAL)
        else:
            leaving.set_up(CALL)
            program.exchange.expect(MessageType.SET_UP, CALL)
            leaving.socket.close()
        assert next_from_program(program) == (MessageType.RELEASE, CALL)
        caller: Peer = program.connect_caller()
        caller.set_up(CALL)
        if repeat == "read_like":
            assert next_from_program(program) == (MessageType.SET_UP, CALL)
        else:
            assert caller.expect(MessageType.RELEASE, CALL).cause() not in REFUSED_CAUSES
            caller.set_up(GOOD_CALL)
            assert next_from_program(program) == (MessageType.SET_UP, GOOD_CALL)
