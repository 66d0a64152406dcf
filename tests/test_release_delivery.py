"""Calls whose release was lost with the connections to their exchange: which are released, which go on."""

from __future__ import annotations

from itertools import pairwise

import pytest

from arrowkeel.close_notice import RETRANSMISSION_MARGIN_NS
from arrowkeel.liveness import GroupState
from arrowkeel.release_delivery import (
    CONFIRMATION_DELAY_NS,
    MAX_SUSPICIONS,
    MS,
    PREDECESSOR_NS,
    RELEASE_TIMEOUT_NS,
    REPEAT_INTERVAL_NS,
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


# Connections closed by this side, whose end the exchange may learn late

CUT_NS = 3000 * MS  # from the loss until the exchange is reached again
REACHED_AT = LOST_AT + CUT_NS
NOTICE_AT = REACHED_AT + CUT_NS + RETRANSMISSION_MARGIN_NS  # by when the exchange has learned of the end


def close_in_a_cut(delivery: ReleaseDelivery) -> None:
    """This side closes the connection that carries both calls; the other one is silent until the cut ends."""
    delivery.connection_lost(CARRYING, LOST_AT - MS, LOST_AT, False, closed_with_output_since_ns=LOST_AT)
    delivery.exchange_unreachable(LOST_AT + 500 * MS)


def open_when_due(delivery: ReleaseDelivery, from_ns: int, until_ns: int) -> list[int]:
    """Opens and confirms a connection whenever one is due; returns when they were opened."""
    opened_at_ns = []
    for now_ns in range(from_ns, until_ns, 50 * MS):
        assert delivery.remove_lost_calls(now_ns) == []
        if delivery.needs_connection(now_ns):
            opened_at_ns.append(now_ns)
            delivery.connection_opened(100 + len(opened_at_ns), now_ns)
            delivery.message_received(100 + len(opened_at_ns), now_ns + MS)
    return opened_at_ns


@pytest.mark.parametrize("is_mesh", [True, False])
def test_connections_are_opened_until_the_exchange_has_learned_of_a_closed_one(is_mesh: bool) -> None:
    """Guards against releases that an exchange sends on a connection which this side has closed in a cut."""
    delivery = delivery_with_calls(is_mesh)
    close_in_a_cut(delivery)
    delivery.connection_opened(NEXT, REACHED_AT)
    delivery.message_received(NEXT, REACHED_AT)
    freed = [FAR_END_CALLS + 2, FAR_END_CALLS + 1]
    opened_at_ns = [REACHED_AT]
    for turn in range(200):  # circuits become free all the time, as under ordinary traffic
        now_ns = REACHED_AT + turn * 50 * MS
        delivery.record_group_state(group_state(freed[turn % 2]), now_ns)
        opened_at_ns += open_when_due(delivery, now_ns, now_ns + 50 * MS)
    gaps_ns = [later - earlier for earlier, later in pairwise(opened_at_ns)]
    assert max(gaps_ns) <= REPEAT_INTERVAL_NS + 100 * MS
    assert NOTICE_AT <= opened_at_ns[-1] <= NOTICE_AT + 100 * MS
    assert delivery.suspected_count == 0 and set(delivery.calls) == {CALL, OTHER}


def test_a_silent_connection_is_no_witness_while_the_network_may_be_cut() -> None:
    """Guards against taking the silence of a connection that is cut off as well for a report of no change."""
    delivery = delivery_with_calls()
    close_in_a_cut(delivery)
    assert delivery.remove_lost_calls(SETTLED_AT + MS) == [] and delivery.suspected_count == 2
    assert delivery.remove_lost_calls(LOST_AT + RELEASE_TIMEOUT_NS) == [CALL, OTHER]


def test_a_quiet_exchange_keeps_its_calls_and_gets_no_connections_without_need() -> None:
    """Guards the promise beside the fault: where no circuit becomes free, nothing is lost."""
    delivery = delivery_with_calls()
    close_in_a_cut(delivery)
    for now_ns in range(REACHED_AT, NOTICE_AT + 1000 * MS, 50 * MS):
        delivery.message_received(WITNESS, now_ns)
        assert not delivery.needs_connection(now_ns)
    assert delivery.suspected_count == 0
    assert delivery.remove_lost_calls(NOTICE_AT + 2 * RELEASE_TIMEOUT_NS) == []


def test_a_call_whose_connection_ends_later_may_be_released_on_the_closed_one() -> None:
    """Guards against a release that goes to the closed connection because its own was closed in order."""
    delivery = delivery_with_calls()
    delivery.add_call(WITNESS, "c3", circuits=1, now_ns=START + MS)
    close_in_a_cut(delivery)
    delivery.message_received(WITNESS, REACHED_AT)
    delivery.connection_lost(WITNESS, REACHED_AT, REACHED_AT + MS, was_read_to_end=True)
    assert delivery.suspected_count == 3


def test_a_second_cut_puts_off_the_arrival_of_the_notice() -> None:
    delivery = delivery_with_calls()
    close_in_a_cut(delivery)
    delivery.message_received(WITNESS, REACHED_AT)
    delivery.exchange_unreachable(REACHED_AT + 1000 * MS)
    again_at = REACHED_AT + 2000 * MS
    delivery.message_received(WITNESS, again_at)
    assert delivery.close_notices.are_outstanding(NOTICE_AT + MS)
    notice_at = again_at + (again_at - LOST_AT) + RETRANSMISSION_MARGIN_NS
    assert not delivery.close_notices.are_outstanding(notice_at)


@pytest.mark.parametrize("is_young", [True, False])
def test_a_successor_has_the_releases_of_its_predecessor_repeated_after_a_cut(is_young: bool) -> None:
    """Guards against releases that are lost on the connections of a process that ended during a cut."""
    delivery = ReleaseDelivery(True, started_at_ns=START if is_young else START - PREDECESSOR_NS)
    delivery.connection_opened(WITNESS, START)
    delivery.message_received(WITNESS, START + MS)
    delivery.exchange_unreachable(LOST_AT)
    delivery.message_received(WITNESS, REACHED_AT)
    opened_at_ns = open_when_due(delivery, REACHED_AT, NOTICE_AT + 2000 * MS)
    if is_young:
        assert opened_at_ns[0] == REACHED_AT and NOTICE_AT <= opened_at_ns[-1] <= NOTICE_AT + 100 * MS
    else:
        assert opened_at_ns == []


def test_closed_connections_of_an_exchange_that_never_answers_use_bounded_memory() -> None:
    delivery = ReleaseDelivery(is_mesh=True)
    for number in range(1000):
        delivery.connection_opened(number, START + number * MS)
        delivery.connection_lost(number, 0, START + number * MS, False, closed_with_output_since_ns=START)
    assert len(delivery.close_notices.notices) <= 16
