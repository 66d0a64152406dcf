"""Calls whose release was lost with the connections to their exchange: which are released, which go on."""

from __future__ import annotations

import pytest

from arrowkeel.liveness import GroupState
from arrowkeel.release_delivery import (
    CONFIRMATION_DELAY_NS,
    MAX_SUSPICIONS,
    MS,
    RELEASE_TIMEOUT_NS,
    ReleaseDelivery,
)

CARRYING, WITNESS, NEXT, THIRD = 1, 2, 3, 4  # connections
CALL, OTHER = "a1", "b2"
START = 10_000 * MS
LOST_AT = START + 2000 * MS
SETTLED_AT = LOST_AT + CONFIRMATION_DELAY_NS
GROUP_SIZE = 60
FAR_END_CALLS = 20  # of the other end of the group, which uses its circuits too


def group_state(busy: int) -> GroupState:
    return GroupState(GROUP_SIZE - busy, GROUP_SIZE)


def delivery_with_calls(is_mesh: bool = True, far_end_calls: int = FAR_END_CALLS) -> ReleaseDelivery:
    """Two connections, one of which carries two standing calls; the last message came just before LOST_AT."""
    delivery = ReleaseDelivery(is_mesh)
    for connection in (CARRYING, WITNESS):
        delivery.connection_opened(connection, START)
        delivery.message_received(connection, START + MS)
    for call in (CALL, OTHER):
        delivery.add_call(CARRYING, call, circuits=1, now_ns=START + MS)
    delivery.record_group_state(group_state(far_end_calls + 2), START + MS)
    return delivery


def lose_connection(delivery: ReleaseDelivery, connection: int = CARRYING, at_ns: int = LOST_AT) -> None:
    delivery.connection_lost(connection, at_ns - MS, at_ns, was_read_to_end=False)


def lose_two_in_a_row(delivery: ReleaseDelivery) -> None:
    """Both calls end, and both of their releases are lost; the other connection reports the free circuits."""
    lose_connection(delivery)
    delivery.record_group_state(group_state(FAR_END_CALLS), LOST_AT + MS)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    lose_connection(delivery, NEXT, LOST_AT + 25 * MS)
    delivery.connection_opened(THIRD, LOST_AT + 100 * MS)
    delivery.message_received(THIRD, LOST_AT + 110 * MS)


def test_a_connection_that_is_reset_as_it_comes_up_may_have_carried_the_repetition() -> None:
    """Guards against a second loss that is missed because it looks like a failed dial."""
    delivery = delivery_with_calls()
    lose_connection(delivery)
    delivery.record_group_state(group_state(FAR_END_CALLS), LOST_AT + MS)
    delivery.connection_reset_while_new(NEXT, LOST_AT + 20 * MS)
    delivery.connection_opened(THIRD, LOST_AT + 100 * MS)
    delivery.message_received(THIRD, LOST_AT + 110 * MS)
    assert delivery.remove_lost_calls(LOST_AT + RELEASE_TIMEOUT_NS) == [CALL, OTHER]


@pytest.mark.parametrize("is_mesh", [True, False])
def test_calls_are_released_in_time_after_two_lost_connections_in_a_row(is_mesh: bool) -> None:
    """Guards against calls that stand for ever because both copies of their release were lost."""
    delivery = delivery_with_calls(is_mesh)
    lose_two_in_a_row(delivery)
    due_at = LOST_AT - MS + RELEASE_TIMEOUT_NS
    assert delivery.remove_lost_calls(due_at - 1) == [] and delivery.suspected_count == 2
    assert delivery.remove_lost_calls(due_at) == [CALL, OTHER]
    assert delivery.remove_lost_calls(due_at + MS) == [] and delivery.suspected_count == 0


def test_calls_are_released_soon_where_the_group_shows_that_all_have_ended() -> None:
    delivery = delivery_with_calls(far_end_calls=0)
    lose_connection(delivery)
    delivery.record_group_state(group_state(busy=0), LOST_AT + MS)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    lose_connection(delivery, NEXT, LOST_AT + 25 * MS)
    assert delivery.remove_lost_calls(LOST_AT + 50 * MS) == []
    assert delivery.remove_lost_calls(LOST_AT + 50 * MS + CONFIRMATION_DELAY_NS) == [CALL, OTHER]


def test_a_call_that_still_occupies_its_circuit_is_not_released_early() -> None:
    delivery = delivery_with_calls(far_end_calls=0)
    lose_connection(delivery)
    delivery.record_group_state(group_state(busy=1), LOST_AT + MS)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    lose_connection(delivery, NEXT, LOST_AT + 25 * MS)
    for after_ms in range(50, 5000, 50):
        assert delivery.remove_lost_calls(LOST_AT + after_ms * MS) == []


def test_calls_go_on_if_no_circuit_became_free() -> None:
    """Guards the promise beside the fault: a quiet but living exchange keeps its calls."""
    delivery = delivery_with_calls()
    lose_connection(delivery)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    lose_connection(delivery, NEXT, LOST_AT + 25 * MS)
    assert delivery.remove_lost_calls(SETTLED_AT + 50 * MS) == [] and delivery.suspected_count == 0
    assert delivery.remove_lost_calls(LOST_AT + 2 * RELEASE_TIMEOUT_NS) == []


def test_a_free_circuit_reported_before_the_last_message_is_not_held_against_the_calls() -> None:
    delivery = delivery_with_calls()
    delivery.record_group_state(group_state(FAR_END_CALLS + 1), LOST_AT - 2 * CONFIRMATION_DELAY_NS)
    lose_connection(delivery)
    assert delivery.remove_lost_calls(SETTLED_AT) == [] and delivery.suspected_count == 0


def test_without_another_connection_the_absence_of_reports_proves_nothing() -> None:
    delivery = delivery_with_calls()
    lose_connection(delivery)
    lose_connection(delivery, WITNESS)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    lose_connection(delivery, NEXT, LOST_AT + 25 * MS)
    assert delivery.remove_lost_calls(SETTLED_AT + 50 * MS) == [] and delivery.suspected_count == 2
    assert delivery.remove_lost_calls(LOST_AT + RELEASE_TIMEOUT_NS) == [CALL, OTHER]


@pytest.mark.parametrize("is_lost_later", [True, False])
def test_the_next_connection_clears_the_calls_once_it_is_confirmed(is_lost_later: bool) -> None:
    delivery = delivery_with_calls()
    lose_connection(delivery)
    delivery.record_group_state(group_state(FAR_END_CALLS), LOST_AT + MS)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    delivery.message_received(NEXT, LOST_AT + 40 * MS)
    confirmed_at = LOST_AT + 40 * MS + CONFIRMATION_DELAY_NS
    assert delivery.suspected_count == 2
    if is_lost_later:
        delivery.connection_lost(NEXT, confirmed_at, confirmed_at, was_read_to_end=True)
    assert delivery.remove_lost_calls(confirmed_at) == [] and delivery.suspected_count == 0


def test_a_connection_opened_before_the_calls_cannot_have_carried_their_repetition() -> None:
    """Guards the promise beside the fault: calls that have just been set up outlive a reset of everything."""
    delivery = ReleaseDelivery(is_mesh=True)
    for connection in (CARRYING, WITNESS):
        delivery.connection_opened(connection, LOST_AT - 50 * MS)
        delivery.message_received(connection, LOST_AT - 40 * MS)
    delivery.add_call(CARRYING, CALL, circuits=1, now_ns=LOST_AT - 20 * MS)
    for connection in (CARRYING, WITNESS):
        delivery.connection_lost(connection, LOST_AT - 10 * MS, LOST_AT, was_read_to_end=False)
    delivery.connection_opened(NEXT, LOST_AT + 20 * MS)
    delivery.message_received(NEXT, LOST_AT + 40 * MS)
    assert delivery.remove_lost_calls(LOST_AT + 40 * MS + CONFIRMATION_DELAY_NS) == []
    assert delivery.suspected_count == 0


def test_a_connection_read_to_its_end_loses_nothing() -> None:
    delivery = delivery_with_calls()
    delivery.record_group_state(group_state(FAR_END_CALLS), LOST_AT - MS)
    delivery.connection_lost(CARRYING, LOST_AT - MS, LOST_AT, was_read_to_end=True)
    assert delivery.suspected_count == 0


def test_the_call_of_another_connection_is_not_suspected() -> None:
    delivery = delivery_with_calls()
    delivery.add_call(WITNESS, "c3", circuits=1, now_ns=START + MS)
    lose_two_in_a_row(delivery)
    assert delivery.remove_lost_calls(LOST_AT + RELEASE_TIMEOUT_NS) == [CALL, OTHER]
    assert set(delivery.calls) == {"c3"}


def test_a_connection_is_asked_for_if_no_other_is_opened_after_the_loss() -> None:
    delivery = delivery_with_calls()
    lose_connection(delivery)
    delivery.record_group_state(group_state(FAR_END_CALLS), LOST_AT + MS)
    assert not delivery.needs_connection(SETTLED_AT - 1) and delivery.needs_connection(SETTLED_AT)
    delivery.connection_opened(NEXT, SETTLED_AT)
    assert not delivery.needs_connection(SETTLED_AT + MS)


def test_a_call_that_is_released_otherwise_is_no_longer_suspected() -> None:
    delivery = delivery_with_calls()
    lose_two_in_a_row(delivery)
    delivery.remove_call(CALL)
    assert delivery.remove_lost_calls(LOST_AT + RELEASE_TIMEOUT_NS) == [OTHER]


def test_suspicions_stay_bounded_and_none_is_forgotten() -> None:
    delivery = delivery_with_calls()
    for loss in range(3 * MAX_SUSPICIONS):
        lost_at = LOST_AT + loss * 10 * MS
        delivery.record_group_state(group_state(FAR_END_CALLS + loss % 2), lost_at)
        lose_connection(delivery, CARRYING if loss == 0 else 100 + loss, lost_at)
        delivery.connection_opened(101 + loss, lost_at + MS)
    assert len(delivery.suspicions) <= MAX_SUSPICIONS
    assert delivery.remove_lost_calls(LOST_AT + RELEASE_TIMEOUT_NS) == [CALL, OTHER]
