"""The five rules, one by one: each test fails if its guard is taken out of the module."""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowkeel import interface as it
from tests.conftest import MS, SETTINGS, PolicyDriver, S, answers, listed, sent

ENDED_UNSURE = [it.Ending.NO_ANSWER, it.Ending.INTERRUPTED, it.Ending.CANCELLED]


@pytest.mark.parametrize("ending", [e for e in it.Ending if e is not it.Ending.COMPLETED])
def test_rule_1_every_ending_leads_to_one_final_answer_in_time(ending: it.Ending) -> None:
    driver = PolicyDriver()
    call, actions = driver.offer(2)
    assert sent(actions, call) == ["x2"]
    start, attempt, final = driver.now, 0, answers([])
    actions = driver.end(call, "x2", ending)
    while not final and driver.now < start + 3 * S:
        exchanges, final = sent(actions, call), final + answers(actions, call)
        attempt += len(exchanges)
        actions = driver.end(call, exchanges[0], ending, attempt=attempt) if exchanges else driver.wait(25)
    final = final or answers(actions, call)
    assert len(final) == 1
    assert not answers(driver.wait(9000), call) and not sent(driver.wait(500), call)


def test_rule_1_a_held_call_is_answered_before_the_caller_leaves() -> None:
    driver = PolicyDriver(free=0)
    call, actions = driver.offer(2, patience_ns=300 * MS)
    assert not sent(actions) and not answers(actions)
    assert len(answers(driver.wait(299), call)) == 1


def test_rule_1_nothing_is_sent_after_the_caller_left() -> None:
    driver = PolicyDriver(free=0)
    call, _ = driver.offer(2)
    driver.tell(it.CallerLeft(call))
    actions = driver.circuits("x2", 20) + driver.wait(5000)
    assert not sent(actions, call) and not answers(actions, call)


def test_rule_1_a_call_that_ends_at_its_deadline_is_answered_at_once() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.now += 3 * S
    assert len(answers(driver.end(call, "x2", it.Ending.NO_ANSWER), call)) == 1


def test_rule_1_the_answer_stays_one_when_the_list_loses_the_exchange() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.tell(it.ExchangeList(it.ListKind.COMPLETE, tuple(e for e in listed() if e.number != 2)))
    actions = driver.end(call, "x2", it.Ending.NO_CONNECTION) + driver.wait(4000)
    assert len(answers(actions, call)) == 1 and not sent(actions, call)


def test_rule_2_a_call_with_an_attempt_out_is_not_sent_again() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    late = driver.tell(it.AttemptEnded(call, 5, "x2", it.Ending.REJECTED))  # no such attempt is out
    assert not sent(late + driver.wait(2900), call)


@pytest.mark.parametrize("listing", [it.ExchangeStatus.DRAINING, it.ExchangeStatus.GONE])
def test_rule_3_nothing_new_to_a_draining_or_gone_exchange(listing: it.ExchangeStatus) -> None:
    driver = PolicyDriver()
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, listing),)))
    actions = [action for _ in range(20) for action in driver.offer(2)[1] + driver.wait(100)]
    assert "x2" not in sent(actions)
    driver.circuits("x3", 0)
    assert "x2" not in sent([action for _ in range(20) for action in driver.offer(3)[1]])


def test_rule_3_a_held_call_does_not_go_to_an_exchange_that_began_to_drain() -> None:
    driver = PolicyDriver(free=0)
    call, _ = driver.offer(2)
    driver.tell(
        it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.ExchangeStatus.DRAINING),))
    )
    assert "x2" not in sent(driver.circuits("x2", 20) + driver.wait(2000), call)


def cold_desk(usual: int) -> PolicyDriver:
    driver = PolicyDriver()
    for _ in range(usual):
        for number in (1, 2, 3, 4):
            call, _ = driver.offer(number)
            driver.stand(call, f"x{number}")
            driver.circuits(f"x{number}", 40)
        driver.now += 10 * S // usual
    fresh = it.ListedExchange("x9", 2, started_ns=driver.now)
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, (fresh,)))
    driver.circuits("x9", 60)
    return driver


def test_rule_4_a_cold_exchange_gets_no_more_than_its_part_in_any_window() -> None:
    driver = cold_desk(usual=100)  # ten a second to each peer: the cold one can do about 30% of that
    times = []
    for _ in range(400):
        if sent(driver.offer(2)[1]):
            times.append(driver.now)
        driver.circuits("x9", 60)
        driver.now += 5 * MS
    window, start = SETTINGS.cold_window_ns, driver.now - 400 * 5 * MS
    most = SETTINGS.cold_multiple * (0.3 + 0.7 * 2 / 15) * 10 * window / S
    assert times, "it is not shut out either"
    assert all(sum(at <= t < at + window for t in times) <= most for at in range(start, driver.now, 100 * MS))


def test_rule_4_an_agent_without_memory_sends_a_cold_exchange_next_to_nothing() -> None:
    entries = (*listed()[:2], it.ListedExchange("x9", 2, started_ns=100 * S), *listed()[3:])
    driver = PolicyDriver(entries=entries)
    assert len(sent([action for _ in range(50) for action in driver.offer(2)[1]])) <= 1


@pytest.mark.parametrize("ending", ENDED_UNSURE)
def test_rule_5_the_release_is_awaited(ending: it.Ending) -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.now += 40 * MS
    told = driver.now
    actions = driver.end(call, "x2", ending)
    again = None
    while driver.now < told + 2 * S and again is None and not answers(actions):
        if sent(actions, call):
            again = driver.now
        actions = driver.wait(5, step_ms=5)
    assert again is None or again >= told + SETTINGS.release_guard_ns


def test_rule_5_a_cut_call_is_tried_again_once_the_release_is_over() -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, release_guard_ns=200 * MS))
    call, _ = driver.offer(2)
    assert sent(driver.end(call, "x2", it.Ending.INTERRUPTED) + driver.wait(400), call) == ["x2"]


def test_a_transit_call_goes_to_its_destination_or_back() -> None:
    driver = PolicyDriver()
    call, actions = driver.offer(2, transit=True, sender_or_advised_tandem=1)
    assert sent(actions, call) == ["x2"]
    driver.circuits("x2", 1)
    call, actions = driver.offer(2, transit=True, sender_or_advised_tandem=1)
    assert not sent(actions) and len(answers(actions, call)) == 1
