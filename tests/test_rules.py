"""The five rules, one by one: each test fails if its guard is taken out of the module."""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowkeel import interface as it
from tests.conftest import MS, SETTINGS, Desk, S, answers, listed, sent

ENDED_UNSURE = [it.Ending.NO_ANSWER, it.Ending.CUT, it.Ending.CALLED_OFF]


@pytest.mark.parametrize("ending", [e for e in it.Ending if e is not it.Ending.COMPLETED])
def test_rule_1_every_ending_leads_to_one_final_answer_in_time(ending: it.Ending) -> None:
    desk = Desk()
    call, actions = desk.offer(2)
    assert sent(actions, call) == ["x2"]
    start, attempt, final = desk.now, 0, answers([])
    actions = desk.end(call, "x2", ending)
    while not final and desk.now < start + 3 * S:
        exchanges, final = sent(actions, call), final + answers(actions, call)
        attempt += len(exchanges)
        actions = desk.end(call, exchanges[0], ending, attempt=attempt) if exchanges else desk.wait(25)
    final = final or answers(actions, call)
    assert len(final) == 1
    assert not answers(desk.wait(9000), call) and not sent(desk.wait(500), call)


def test_rule_1_a_held_call_is_answered_before_the_caller_leaves() -> None:
    desk = Desk(free=0)
    call, actions = desk.offer(2, patience_ns=300 * MS)
    assert not sent(actions) and not answers(actions)
    assert len(answers(desk.wait(299), call)) == 1


def test_rule_1_nothing_is_sent_after_the_caller_left() -> None:
    desk = Desk(free=0)
    call, _ = desk.offer(2)
    desk.tell(it.CallerLeft(call))
    actions = desk.circuits("x2", 20) + desk.wait(5000)
    assert not sent(actions, call) and not answers(actions, call)


def test_rule_1_a_call_that_ends_at_its_deadline_is_answered_at_once() -> None:
    desk = Desk()
    call, _ = desk.offer(2)
    desk.now += 3 * S
    assert len(answers(desk.end(call, "x2", it.Ending.NO_ANSWER), call)) == 1


def test_rule_1_the_answer_stays_one_when_the_list_loses_the_exchange() -> None:
    desk = Desk()
    call, _ = desk.offer(2)
    desk.tell(it.ExchangeList(it.ListKind.COMPLETE, tuple(e for e in listed() if e.number != 2)))
    actions = desk.end(call, "x2", it.Ending.NO_CONNECTION) + desk.wait(4000)
    assert len(answers(actions, call)) == 1 and not sent(actions, call)


def test_rule_2_a_call_with_an_attempt_out_is_not_sent_again() -> None:
    desk = Desk()
    call, _ = desk.offer(2)
    late = desk.tell(it.AttemptEnded(call, 5, "x2", it.Ending.TURNED_AWAY))  # no such attempt is out
    assert not sent(late + desk.wait(2900), call)


@pytest.mark.parametrize("listing", [it.Listing.DRAINING, it.Listing.GONE])
def test_rule_3_nothing_new_to_a_draining_or_gone_exchange(listing: it.Listing) -> None:
    desk = Desk()
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, listing),)))
    actions = [action for _ in range(20) for action in desk.offer(2)[1] + desk.wait(100)]
    assert "x2" not in sent(actions)
    desk.circuits("x3", 0)
    assert "x2" not in sent([action for _ in range(20) for action in desk.offer(3)[1]])


def test_rule_3_a_held_call_does_not_go_to_an_exchange_that_began_to_drain() -> None:
    desk = Desk(free=0)
    call, _ = desk.offer(2)
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.Listing.DRAINING),)))
    assert "x2" not in sent(desk.circuits("x2", 20) + desk.wait(2000), call)


def cold_desk(usual: int) -> Desk:
    desk = Desk()
    for _ in range(usual):
        for number in (1, 2, 3, 4):
            call, _ = desk.offer(number)
            desk.stand(call, f"x{number}")
            desk.circuits(f"x{number}", 40)
        desk.now += 10 * S // usual
    fresh = it.ListedExchange("x9", 2, started_ns=desk.now)
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, (fresh,)))
    desk.circuits("x9", 60)
    return desk


def test_rule_4_a_cold_exchange_gets_no_more_than_its_part_in_any_window() -> None:
    desk = cold_desk(usual=100)  # ten a second to each peer: the cold one can do about 30% of that
    times = []
    for _ in range(400):
        if sent(desk.offer(2)[1]):
            times.append(desk.now)
        desk.circuits("x9", 60)
        desk.now += 5 * MS
    window, start = SETTINGS.cold_window_ns, desk.now - 400 * 5 * MS
    most = SETTINGS.cold_multiple * (0.3 + 0.7 * 2 / 15) * 10 * window / S
    assert times, "it is not shut out either"
    assert all(sum(at <= t < at + window for t in times) <= most for at in range(start, desk.now, 100 * MS))


def test_rule_4_an_agent_without_memory_sends_a_cold_exchange_next_to_nothing() -> None:
    entries = (*listed()[:2], it.ListedExchange("x9", 2, started_ns=100 * S), *listed()[3:])
    desk = Desk(entries=entries)
    assert len(sent([action for _ in range(50) for action in desk.offer(2)[1]])) <= 1


@pytest.mark.parametrize("ending", ENDED_UNSURE)
def test_rule_5_the_release_is_awaited(ending: it.Ending) -> None:
    desk = Desk()
    call, _ = desk.offer(2)
    desk.now += 40 * MS
    told = desk.now
    actions = desk.end(call, "x2", ending)
    again = None
    while desk.now < told + 2 * S and again is None and not answers(actions):
        if sent(actions, call):
            again = desk.now
        actions = desk.wait(5, step_ms=5)
    assert again is None or again >= told + SETTINGS.release_ns


def test_rule_5_a_cut_call_is_tried_again_once_the_release_is_over() -> None:
    desk = Desk(settings=replace(SETTINGS, release_ns=200 * MS))
    call, _ = desk.offer(2)
    assert sent(desk.end(call, "x2", it.Ending.CUT) + desk.wait(400), call) == ["x2"]


def test_a_transit_call_goes_to_its_destination_or_back() -> None:
    desk = Desk()
    call, actions = desk.offer(2, transit=True, from_or_advised=1)
    assert sent(actions, call) == ["x2"]
    desk.circuits("x2", 1)
    call, actions = desk.offer(2, transit=True, from_or_advised=1)
    assert not sent(actions) and len(answers(actions, call)) == 1
