"""Leases of standing calls: which evidence keeps them, and that nothing else does."""

from __future__ import annotations

import pytest

from arrowkeel.liveness import CONFIRM_NS, LEASE_NS, MS, VOUCH_NS, ExchangeLiveness, GroupState

FIRST, SECOND, NEW = 1, 2, 3  # connections
CALL = "a1"
START = 1000 * MS
TAKEN = GroupState(free=59, size=60)
IDLE = GroupState(free=60, size=60)


def standing(is_mesh: bool = True) -> ExchangeLiveness:
    """Two connections to one process, and a call that stands there."""
    liveness = ExchangeLiveness(is_mesh)
    for connection in (FIRST, SECOND):
        liveness.opened(connection, START + connection)
    for connection in (FIRST, SECOND):
        liveness.heard(connection, START + 10)
        liveness.state_told(connection, TAKEN, START + 10)
    liveness.established(FIRST, CALL, circuits=1)
    return liveness


def test_a_call_outlives_one_of_two_connections_and_is_held_while_the_other_is_heard() -> None:
    liveness, now = standing(), START + 10
    liveness.closed(FIRST, now, by_peer=True)
    for _ in range(5):
        now += LEASE_NS - 1
        assert liveness.take_expired(now) == []
        liveness.heard(SECOND, now)
    assert liveness.take_expired(now + LEASE_NS + 1) == [CALL]
    assert liveness.take_expired(now + 2 * LEASE_NS) == [], "each is told once"


@pytest.mark.parametrize("state", [TAKEN, IDLE])
def test_a_new_connection_after_a_long_silence_proves_nothing(state: GroupState) -> None:
    liveness, later = standing(), START + VOUCH_NS + 100 * MS
    liveness.opened(NEW, later)
    liveness.heard(NEW, later)
    liveness.state_told(NEW, state, later)
    assert liveness.take_expired(START + 10 + LEASE_NS + 1) == [CALL]


def test_an_earlier_connection_that_speaks_again_proves_all_that_were_opened_since() -> None:
    liveness, later = standing(), START + LEASE_NS - 100 * MS
    liveness.opened(NEW, later - 1)
    liveness.heard(SECOND, later)
    assert liveness.take_expired(later + CONFIRM_NS) == []
    liveness.closed(FIRST, later + CONFIRM_NS, by_peer=False)
    liveness.closed(SECOND, later + CONFIRM_NS, by_peer=False)
    liveness.heard(NEW, later + LEASE_NS)
    assert liveness.take_expired(later + LEASE_NS + CONFIRM_NS) == []


def test_what_a_process_wrote_before_its_end_is_no_sign_of_life_when_it_gets_through() -> None:
    """As when a network cut ends after the process did: its last bytes come, and then the end."""
    liveness, healed = standing(), START + LEASE_NS - 500 * MS
    for connection in (FIRST, SECOND):
        liveness.heard(connection, healed)
        liveness.closed(connection, healed + MS, by_peer=True)
    liveness.opened(NEW, healed + 100 * MS)
    liveness.heard(NEW, healed + 100 * MS)
    liveness.state_told(NEW, TAKEN, healed + 100 * MS)
    assert liveness.take_expired(START + 10 + LEASE_NS + 1) == [CALL]


@pytest.mark.parametrize(
    ("state", "after_ms", "by_peer", "is_mesh", "lives"),
    [
        (TAKEN, 100, True, True, True),
        (IDLE, 100, True, True, False),  # it holds no call
        (TAKEN, 600, True, True, False),  # time enough for another process and another's call
        (TAKEN, 100, False, True, False),  # closed here as mute: nothing shows that it was alive
        (TAKEN, 100, True, False, False),  # others' calls take agents of a pool too
    ],
)
def test_after_all_connections_were_reset_the_groups_state_may_vouch(
    state: GroupState, after_ms: int, by_peer: bool, is_mesh: bool, lives: bool
) -> None:
    liveness, lost = standing(is_mesh), START + 20 * MS
    for connection in (FIRST, SECOND):
        liveness.closed(connection, lost, by_peer)
    now = lost + after_ms * MS
    liveness.opened(NEW, now)
    liveness.heard(NEW, now)
    liveness.state_told(NEW, state, now)
    assert liveness.take_expired(START + 10 + LEASE_NS + 1) == ([] if lives else [CALL])


def test_a_normal_end_told_on_a_new_connection_proves_the_process() -> None:
    liveness, later = standing(), START + VOUCH_NS + 100 * MS
    liveness.established(SECOND, "b2", circuits=1)
    liveness.opened(NEW, later)
    liveness.heard(NEW, later)
    liveness.completed(NEW, "b2")
    liveness.remove_call("b2")
    assert liveness.take_expired(later + LEASE_NS - 1) == []


def test_calls_of_a_new_process_do_not_go_with_those_of_the_old_one() -> None:
    liveness, later = standing(), START + VOUCH_NS + 100 * MS
    liveness.opened(NEW, later)
    liveness.heard(NEW, later)
    liveness.established(NEW, "c3", circuits=1)
    assert liveness.take_expired(START + 10 + LEASE_NS + 1) == [CALL]
    assert liveness.has_calls()
    assert liveness.take_expired(later + LEASE_NS + 1) == ["c3"]


def test_what_no_longer_matters_is_forgotten() -> None:
    liveness = standing()
    for connection in (FIRST, SECOND):
        liveness.closed(connection, START + 20, by_peer=False)
    assert liveness.leases
    liveness.remove_call(CALL)
    assert not liveness.leases and not liveness.has_calls()


def test_the_only_connection_to_a_process_with_calls_is_a_witness() -> None:
    liveness = standing()
    assert not liveness.is_witness(FIRST)
    liveness.closed(SECOND, START + 20, by_peer=False)
    assert liveness.is_witness(FIRST)
    liveness.remove_call(CALL)
    assert not liveness.is_witness(FIRST)


@pytest.mark.parametrize(
    ("after_ns", "timed_out", "usable", "lives"),
    [
        (3000 * MS, False, [FIRST], True),  # as a draining process that takes no connections any more
        (VOUCH_NS + 20 * MS, False, [FIRST], False),  # the machine may have gone and come back
        (3000 * MS, True, [FIRST], False),  # it was out of reach
        (3000 * MS, False, [], False),  # both connections are mute
    ],
)
def test_a_refused_dial_may_vouch_for_the_process_behind_an_open_connection(
    after_ns: int, timed_out: bool, usable: list[int], lives: bool
) -> None:
    liveness, now = standing(), START + after_ns
    if timed_out:
        liveness.dial_timed_out()
    assert liveness.dial_refused(usable, now) is lives
    assert liveness.take_expired(START + 10 + LEASE_NS + 1) == ([] if lives else [CALL])
    assert liveness.take_expired(now + LEASE_NS + 1) == ([CALL] if lives else [])
