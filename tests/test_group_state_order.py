"""States of a circuit group are reported once, in their order, however several connections bring them."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from arrowkeel.group_state_order import MAX_REMEMBERED_STATES, GroupStateOrder


@given(
    st.lists(st.sampled_from([b"40", b"7", b"9"]), min_size=1, max_size=12),
    st.lists(st.integers(0, 1), max_size=40),
)
def test_each_order_of_arrival_reports_the_states_in_their_order(
    states: list[bytes], turns: list[int]
) -> None:
    """Guards against an older state on a second connection that is taken for a new one."""
    states = [state for index, state in enumerate(states) if index == 0 or state != states[index - 1]]
    order = GroupStateOrder()
    sent = [0, 0]
    for connection in (0, 1):
        order.connection_opened(connection)
    reported = []
    for connection in [*turns, *[0] * len(states), *[1] * len(states)]:
        if sent[connection] < len(states):
            state = states[sent[connection]]
            sent[connection] += 1
            if order.record(connection, state):
                reported.append(state)
    assert reported[-1] == states[-1]
    position = -1
    for state in reported:  # none twice, none out of its order
        position = states.index(state, position + 1)


def test_a_later_connection_that_brings_the_latest_state_reports_nothing() -> None:
    order = GroupStateOrder()
    order.connection_opened(1)
    assert order.record(1, b"40") and order.record(1, b"7")
    order.connection_opened(2)
    assert not order.record(2, b"7") and order.record(2, b"40") and not order.record(1, b"40")


def test_a_state_that_comes_again_is_new_once_another_was_reported_between() -> None:
    order = GroupStateOrder()
    order.connection_opened(1)
    assert [order.record(1, state) for state in (b"40", b"40", b"7", b"40")] == [True, False, True, True]


def test_the_states_of_a_connection_that_stopped_use_bounded_memory() -> None:
    order = GroupStateOrder()
    order.connection_opened(1)
    order.connection_opened(2)
    for number in range(1000):
        assert order.record(1, b"%d" % number)
    assert len(order.states) == MAX_REMEMBERED_STATES
    order.connection_lost(2)
    assert set(order.positions) == {1}
