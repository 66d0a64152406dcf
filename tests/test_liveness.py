"""Leases of standing calls: which evidence renews them, and that nothing else does."""

from __future__ import annotations

import pytest

from arrowkeel.liveness import (
    CONFIRMATION_DELAY_NS,
    LEASE_DURATION_NS,
    MAX_EVIDENCE_AGE_NS,
    MS,
    ExchangeLiveness,
    GroupState,
)

FIRST, SECOND, NEW = 1, 2, 3  # connections
CALL = "a1"
START = 1000 * MS
BUSY = GroupState(free_circuits=59, group_size=60)
IDLE = GroupState(free_circuits=60, group_size=60)


def liveness_with_call(is_mesh: bool = True) -> ExchangeLiveness:
    """Two connections to one process, which holds one standing call."""
    liveness = ExchangeLiveness(is_mesh)
    for connection in (FIRST, SECOND):
        liveness.add_connection(connection, START + connection)
    for connection in (FIRST, SECOND):
        liveness.record_evidence(connection, START + 10)
        liveness.record_group_state(connection, BUSY, START + 10)
    liveness.add_call(FIRST, CALL, circuits=1)
    return liveness


def test_a_call_outlives_one_of_two_connections_while_data_comes_on_the_other() -> None:
    liveness, now = liveness_with_call(), START + 10
    liveness.remove_connection(FIRST, now, by_peer=True)
    for _ in range(5):
        now += LEASE_DURATION_NS - 1
        assert liveness.remove_expired_calls(now) == []
        liveness.record_evidence(SECOND, now)
    assert liveness.remove_expired_calls(now + LEASE_DURATION_NS + 1) == [CALL]
    assert liveness.remove_expired_calls(now + 2 * LEASE_DURATION_NS) == [], "each call is returned once"


@pytest.mark.parametrize("state", [BUSY, IDLE])
def test_a_new_connection_after_a_long_silence_proves_nothing(state: GroupState) -> None:
    liveness, later = liveness_with_call(), START + MAX_EVIDENCE_AGE_NS + 100 * MS
    liveness.add_connection(NEW, later)
    liveness.record_evidence(NEW, later)
    liveness.record_group_state(NEW, state, later)
    assert liveness.remove_expired_calls(START + 10 + LEASE_DURATION_NS + 1) == [CALL]


def test_data_on_an_earlier_connection_is_evidence_for_all_connections_opened_since() -> None:
    liveness, later = liveness_with_call(), START + LEASE_DURATION_NS - 100 * MS
    liveness.add_connection(NEW, later - 1)
    liveness.record_evidence(SECOND, later)
    assert liveness.remove_expired_calls(later + CONFIRMATION_DELAY_NS) == []
    liveness.remove_connection(FIRST, later + CONFIRMATION_DELAY_NS, by_peer=False)
    liveness.remove_connection(SECOND, later + CONFIRMATION_DELAY_NS, by_peer=False)
    liveness.record_evidence(NEW, later + LEASE_DURATION_NS)
    assert liveness.remove_expired_calls(later + LEASE_DURATION_NS + CONFIRMATION_DELAY_NS) == []


def test_delayed_data_of_a_process_that_has_ended_is_no_evidence() -> None:
    """A network cut that outlasts the process delivers its last bytes, and then the end of the connection."""
    liveness, healed = liveness_with_call(), START + LEASE_DURATION_NS - 500 * MS
    for connection in (FIRST, SECOND):
        liveness.record_evidence(connection, healed)
        liveness.remove_connection(connection, healed + MS, by_peer=True)
    liveness.add_connection(NEW, healed + 100 * MS)
    liveness.record_evidence(NEW, healed + 100 * MS)
    liveness.record_group_state(NEW, BUSY, healed + 100 * MS)
    assert liveness.remove_expired_calls(START + 10 + LEASE_DURATION_NS + 1) == [CALL]


@pytest.mark.parametrize(
    ("state", "after_ms", "by_peer", "is_mesh", "is_alive"),
    [
        (BUSY, 100, True, True, True),
        (IDLE, 100, True, True, False),  # this process holds no call
        (BUSY, 600, True, True, False),  # long enough for another process to hold as many calls
        (BUSY, 100, False, True, False),  # closed by this side as unresponsive: no evidence of life
        (BUSY, 100, True, False, False),  # outside a mesh other controllers' calls use the group too
    ],
)
def test_after_all_connections_were_reset_the_group_state_may_identify_the_process(
    state: GroupState, after_ms: int, by_peer: bool, is_mesh: bool, is_alive: bool
) -> None:
    liveness, lost = liveness_with_call(is_mesh), START + 20 * MS
    for connection in (FIRST, SECOND):
        liveness.remove_connection(connection, lost, by_peer)
    now = lost + after_ms * MS
    liveness.add_connection(NEW, now)
    liveness.record_evidence(NEW, now)
    liveness.record_group_state(NEW, state, now)
    assert liveness.remove_expired_calls(START + 10 + LEASE_DURATION_NS + 1) == ([] if is_alive else [CALL])


def test_a_normal_end_reported_on_a_new_connection_identifies_the_process() -> None:
    liveness, later = liveness_with_call(), START + MAX_EVIDENCE_AGE_NS + 100 * MS
    liveness.add_call(SECOND, "b2", circuits=1)
    liveness.add_connection(NEW, later)
    liveness.record_evidence(NEW, later)
    liveness.record_normal_end(NEW, "b2")
    liveness.remove_call("b2")
    assert liveness.remove_expired_calls(later + LEASE_DURATION_NS - 1) == []


def test_calls_of_a_new_process_do_not_expire_with_those_of_the_old_one() -> None:
    liveness, later = liveness_with_call(), START + MAX_EVIDENCE_AGE_NS + 100 * MS
    liveness.add_connection(NEW, later)
    liveness.record_evidence(NEW, later)
    liveness.add_call(NEW, "c3", circuits=1)
    assert liveness.remove_expired_calls(START + 10 + LEASE_DURATION_NS + 1) == [CALL]
    assert liveness.has_standing_calls()
    assert liveness.remove_expired_calls(later + LEASE_DURATION_NS + 1) == ["c3"]


def test_a_lease_without_connections_and_calls_is_removed() -> None:
    liveness = liveness_with_call()
    for connection in (FIRST, SECOND):
        liveness.remove_connection(connection, START + 20, by_peer=False)
    assert liveness.leases
    liveness.remove_call(CALL)
    assert not liveness.leases and not liveness.has_standing_calls()


def test_the_only_connection_to_a_process_with_calls_must_be_kept_open() -> None:
    liveness = liveness_with_call()
    assert not liveness.must_keep_open(FIRST)
    liveness.remove_connection(SECOND, START + 20, by_peer=False)
    assert liveness.must_keep_open(FIRST)
    liveness.remove_call(CALL)
    assert not liveness.must_keep_open(FIRST)


@pytest.mark.parametrize(
    ("after_ns", "timed_out", "usable", "is_alive"),
    [
        (3000 * MS, False, [FIRST], True),  # a draining process accepts no new connections
        (MAX_EVIDENCE_AGE_NS + 20 * MS, False, [FIRST], False),  # the machine may have been lost and be back
        (3000 * MS, True, [FIRST], False),  # the machine could not be reached
        (3000 * MS, False, [], False),  # both connections are unresponsive
    ],
)
def test_a_refused_dial_may_be_evidence_for_the_process_behind_an_open_connection(
    after_ns: int, timed_out: bool, usable: list[int], is_alive: bool
) -> None:
    liveness, now = liveness_with_call(), START + after_ns
    if timed_out:
        liveness.record_dial_timeout()
    assert liveness.record_refused_dial(usable, now) is is_alive
    assert liveness.remove_expired_calls(START + 10 + LEASE_DURATION_NS + 1) == ([] if is_alive else [CALL])
    assert liveness.remove_expired_calls(now + LEASE_DURATION_NS + 1) == ([CALL] if is_alive else [])
