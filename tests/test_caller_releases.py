"""Releases from callers: what they end, and that none ends the open set-up of another connection."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel.caller_release import (
    CallerRelease,
    DeclinedSetUps,
    ReleaseVerdict,
    decide_caller_release,
)
from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause
from tests.peers import CALL, OTHER, Program, running_program

NORMAL = ReleaseCause.NORMAL


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def answer(program: Program, call: str = CALL) -> None:
    program.exchange.send(MessageType.ANSWER, call, {Parameter.DESCRIPTION: b"answer"})


@pytest.mark.parametrize("sends_set_up", [True, False])
def test_a_client_cannot_give_up_the_open_set_up_of_another_connection(
    program: Program, sends_set_up: bool
) -> None:
    """Guards against a call that ends without an answer because another client named its identifier."""
    caller, bad_client = program.connect_caller(), program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    if sends_set_up:
        bad_client.set_up(changes={Parameter.DESCRIPTION: b"another request"})
        assert bad_client.expect(MessageType.RELEASE).cause() == ReleaseCause.INVALID_CONTENTS
    bad_client.release(CALL, NORMAL)
    bad_client.wait_until_processed()
    answer(program)
    caller.expect(MessageType.ANSWER)
    ignored = "set_up_declined" if sends_set_up else "other_connection"
    assert f"caller_releases_ignored.{ignored}:1|c" in program.request("GET", "/status/metrics")[1]


def test_taking_back_a_rejected_set_up_does_not_end_the_standing_call_of_that_identifier(
    program: Program,
) -> None:
    """Guards against a standing call that is cut because a client takes back its own rejected set-up."""
    caller, bad_client = program.connect_caller(), program.connect_caller()
    program.establish_call(caller)
    for _ in range(2):
        bad_client.set_up()
        bad_client.release(CALL, NORMAL)
        assert bad_client.expect(MessageType.RELEASE).cause() == ReleaseCause.INVALID_CONTENTS
    bad_client.wait_until_processed()
    program.exchange.release(CALL, NORMAL)
    assert caller.expect(MessageType.RELEASE).cause() == NORMAL


def test_taking_back_a_refused_set_up_sends_nothing_to_an_exchange(program: Program) -> None:
    """Guards against releases to exchanges that know no such call, one for each set-up refused on arrival."""
    caller = program.connect_caller()
    caller.set_up(class_name="no such class")
    caller.release(CALL, NORMAL)
    caller.expect(MessageType.RELEASE)
    program.establish_call(caller, OTHER)  # the first message that the exchange receives


def test_any_connection_may_carry_the_end_of_a_standing_call(program: Program) -> None:
    """Guards the promise beside the fault: an answered call belongs to no connection."""
    caller, other = program.connect_caller(), program.connect_caller()
    program.establish_call(caller)
    other.release(CALL, NORMAL)
    assert program.exchange.expect(MessageType.RELEASE).cause() == NORMAL


@pytest.mark.parametrize("is_over_budget", [True, False])
@pytest.mark.parametrize("is_own_connection", [True, False])
@pytest.mark.parametrize("state", ["open", "standing", "ended", "unknown"])
def test_a_release_ends_what_its_connection_may_end(
    state: str, is_own_connection: bool, is_over_budget: bool
) -> None:
    release = CallerRelease(
        was_declined=False,
        is_open=state == "open",
        is_standing=state == "standing",
        is_own_connection=is_own_connection,
        has_ended=state == "ended",
        is_over_budget=is_over_budget,
    )
    expected = {
        "open": ReleaseVerdict.END_CALL if is_own_connection else ReleaseVerdict.OTHER_CONNECTION,
        "standing": ReleaseVerdict.END_CALL,
        "ended": ReleaseVerdict.CALL_ENDED,
        "unknown": ReleaseVerdict.OVER_BUDGET if is_over_budget else ReleaseVerdict.PASS_ON,
    }
    assert decide_caller_release(release) is expected[state]


def test_each_declined_set_up_accounts_for_one_release_and_the_oldest_is_forgotten() -> None:
    declined = DeclinedSetUps(limit=2)
    for call in ("a", "a", "b"):
        declined.add(call)
    assert [declined.take("a") for _ in range(3)] == [True, True, False]
    for call in ("c", "d"):
        declined.add(call)
    assert not declined.take("b") and declined.take("c")
    declined.discard("d")
    assert not declined.take("d")
