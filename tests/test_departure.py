"""Connection draining: which connections may be closed, and which set-ups are refused."""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowkeel.departure import MS, ConnectionUse, DrainPlan

START = 10_000 * MS
IDLE = ConnectionUse(
    connected_at_ns=0,
    last_received_at_ns=START,
    open_calls=0,
    standing_calls=0,
    has_incomplete_message=False,
    has_carried_calls=False,
    is_last_with_calls=False,
)


@pytest.mark.parametrize(
    ("changes", "standby", "stop"),
    [
        ({}, True, True),
        ({"open_calls": 1}, False, False),
        ({"standing_calls": 1}, False, True),
        ({"has_incomplete_message": True}, False, True),  # nothing more of it has been received for long
        ({"has_incomplete_message": True, "last_received_at_ns": START + 4900 * MS}, False, False),
        ({"connected_at_ns": START + 4900 * MS}, False, False),
    ],
)
def test_a_connection_may_be_closed_once_nothing_is_lost_with_it(
    changes: dict[str, int], standby: bool, stop: bool
) -> None:
    use, later = replace(IDLE, **changes), START + 5000 * MS  # type: ignore[arg-type]
    assert DrainPlan.standby(START).may_close(use, later) is standby
    assert DrainPlan.stop(START, 9000 * MS).may_close(use, later) is stop


def test_the_last_connection_that_carried_calls_stays_open_for_a_while_in_standby() -> None:
    plan, last = DrainPlan.standby(START), replace(IDLE, has_carried_calls=True, is_last_with_calls=True)
    assert not plan.may_close(last, START + 3700 * MS)
    assert plan.may_close(replace(last, is_last_with_calls=False), START + 3700 * MS)
    assert plan.may_close(last, START + 3900 * MS)


def test_set_ups_are_accepted_for_a_while_and_then_refused() -> None:
    for plan, accepted_ms in ((DrainPlan.standby(START), 1900), (DrainPlan.stop(START, 9000 * MS), 700)):
        assert not plan.refuses_set_ups(START + accepted_ms * MS)
        assert plan.refuses_set_ups(START + (accepted_ms + 1) * MS)


@pytest.mark.parametrize(("longest_ms", "sigkill_ms"), [(9000, 3700), (1000, 1700)])
def test_all_open_calls_are_answered_before_sigkill_may_come(longest_ms: int, sigkill_ms: int) -> None:
    for plan in (
        DrainPlan.stop(START, longest_ms * MS),
        DrainPlan.hand_over(START, longest_ms * MS),
    ):
        assert not plan.must_answer_open_calls(START + (sigkill_ms - 300) * MS)
        assert plan.must_answer_open_calls(START + (sigkill_ms - 200) * MS)
    assert not DrainPlan.standby(START).must_answer_open_calls(START + 60_000 * MS)
