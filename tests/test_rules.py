"""The five rules of call control, one by one: each test fails if the code that keeps its rule is removed.

Rule 1: each call gets one final answer in time. Rule 2: one attempt of a call at a time. Rule 3: no new
set-ups to an exchange that drains or is gone. Rule 4: an exchange that has just started gets no more than
its budget. Rule 5: a call is sent again only after the release of an attempt whose outcome is uncertain.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowkeel import interface as it
from tests.conftest import (
    NS_PER_MS,
    NS_PER_S,
    SETTINGS,
    PolicyDriver,
    final_answers,
    listed_exchanges,
    sent_to,
)

UNCERTAIN_ENDINGS = [it.Ending.NO_ANSWER, it.Ending.INTERRUPTED, it.Ending.CANCELLED]


@pytest.mark.parametrize("ending", [e for e in it.Ending if e is not it.Ending.COMPLETED])
def test_rule_1_every_ending_leads_to_one_final_answer_in_time(ending: it.Ending) -> None:
    driver = PolicyDriver()
    call, actions = driver.offer(2)
    assert sent_to(actions, call) == ["x2"]
    start_at_ns, attempt, final = driver.now_ns, 0, final_answers([])
    actions = driver.end_attempt(call, "x2", ending)
    while not final and driver.now_ns < start_at_ns + 3 * NS_PER_S:
        exchanges, final = sent_to(actions, call), final + final_answers(actions, call)
        attempt += len(exchanges)
        actions = (
            driver.end_attempt(call, exchanges[0], ending, attempt=attempt) if exchanges else driver.wait(25)
        )
    final = final or final_answers(actions, call)
    assert len(final) == 1
    assert not final_answers(driver.wait(9000), call) and not sent_to(driver.wait(500), call)


def test_rule_1_a_queued_call_is_answered_before_the_caller_leaves() -> None:
    driver = PolicyDriver(circuits_free=0)
    call, actions = driver.offer(2, patience_ns=300 * NS_PER_MS)
    assert not sent_to(actions) and not final_answers(actions)
    assert len(final_answers(driver.wait(299), call)) == 1


def test_rule_1_nothing_is_sent_after_the_caller_left() -> None:
    driver = PolicyDriver(circuits_free=0)
    call, _ = driver.offer(2)
    driver.send_events(it.CallerLeft(call))
    actions = driver.report_circuits("x2", 20) + driver.wait(5000)
    assert not sent_to(actions, call) and not final_answers(actions, call)


def test_rule_1_a_call_whose_attempt_ends_at_its_deadline_is_answered_at_once() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.now_ns += 3 * NS_PER_S
    assert len(final_answers(driver.end_attempt(call, "x2", it.Ending.NO_ANSWER), call)) == 1


def test_rule_1_there_is_one_answer_when_the_exchange_leaves_the_list() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.send_events(
        it.ExchangeList(it.ListKind.COMPLETE, tuple(e for e in listed_exchanges() if e.number != 2))
    )
    actions = driver.end_attempt(call, "x2", it.Ending.NO_CONNECTION) + driver.wait(4000)
    assert len(final_answers(actions, call)) == 1 and not sent_to(actions, call)


def test_rule_2_a_call_with_an_attempt_in_progress_is_not_sent_again() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    # There is no such attempt.
    late_actions = driver.send_events(it.AttemptEnded(call, 5, "x2", it.Ending.REJECTED))
    assert not sent_to(late_actions + driver.wait(2900), call)


@pytest.mark.parametrize("status", [it.ExchangeStatus.DRAINING, it.ExchangeStatus.GONE])
def test_rule_3_no_new_set_ups_to_a_draining_or_gone_exchange(status: it.ExchangeStatus) -> None:
    driver = PolicyDriver()
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, status),)))
    actions = [action for _ in range(20) for action in driver.offer(2)[1] + driver.wait(100)]
    assert "x2" not in sent_to(actions)
    driver.report_circuits("x3", 0)
    assert "x2" not in sent_to([action for _ in range(20) for action in driver.offer(3)[1]])


def test_rule_3_a_queued_call_is_not_sent_to_an_exchange_that_began_to_drain() -> None:
    driver = PolicyDriver(circuits_free=0)
    call, _ = driver.offer(2)
    driver.send_events(
        it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.ExchangeStatus.DRAINING),))
    )
    assert "x2" not in sent_to(driver.report_circuits("x2", 20) + driver.wait(2000), call)


def driver_with_starting_exchange(usual_calls: int) -> PolicyDriver:
    """Ten seconds with `usual_calls` calls to each exchange, after which a new machine replaces number 2."""
    driver = PolicyDriver()
    for _ in range(usual_calls):
        for number in (1, 2, 3, 4):
            call, _ = driver.offer(number)
            driver.establish(call, f"x{number}")
            driver.report_circuits(f"x{number}", 40)
        driver.now_ns += 10 * NS_PER_S // usual_calls
    new_machine = it.ListedExchange("x9", 2, started_ns=driver.now_ns)
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, (new_machine,)))
    driver.report_circuits("x9", 60)
    return driver


def test_rule_4_a_starting_exchange_gets_no_more_than_its_part_in_any_window() -> None:
    # Ten per second to each exchange; one that is starting handles about 30 % of that.
    driver = driver_with_starting_exchange(usual_calls=100)
    times_ns = []
    for _ in range(400):
        if sent_to(driver.offer(2)[1]):
            times_ns.append(driver.now_ns)
        driver.report_circuits("x9", 60)
        driver.now_ns += 5 * NS_PER_MS
    window_ns, start_at_ns = SETTINGS.cold_window_ns, driver.now_ns - 400 * 5 * NS_PER_MS
    max_calls = SETTINGS.cold_multiple * (0.3 + 0.7 * 2 / 15) * 10 * window_ns / NS_PER_S
    assert times_ns, "it gets some calls"
    assert all(
        sum(at_ns <= time_ns < at_ns + window_ns for time_ns in times_ns) <= max_calls
        for at_ns in range(start_at_ns, driver.now_ns, 100 * NS_PER_MS)
    )


def test_rule_4_a_controller_without_history_sends_a_starting_exchange_next_to_nothing() -> None:
    entries = (
        *listed_exchanges()[:2],
        it.ListedExchange("x9", 2, started_ns=100 * NS_PER_S),
        *listed_exchanges()[3:],
    )
    driver = PolicyDriver(entries=entries)
    assert len(sent_to([action for _ in range(50) for action in driver.offer(2)[1]])) <= 1


@pytest.mark.parametrize("ending", UNCERTAIN_ENDINGS)
def test_rule_5_the_release_is_awaited(ending: it.Ending) -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.now_ns += 40 * NS_PER_MS
    ended_at_ns = driver.now_ns
    actions = driver.end_attempt(call, "x2", ending)
    sent_again_at_ns = None
    while (
        driver.now_ns < ended_at_ns + 2 * NS_PER_S and sent_again_at_ns is None and not final_answers(actions)
    ):
        if sent_to(actions, call):
            sent_again_at_ns = driver.now_ns
        actions = driver.wait(5, step_ms=5)
    assert sent_again_at_ns is None or sent_again_at_ns >= ended_at_ns + SETTINGS.release_guard_ns


def test_rule_5_an_interrupted_call_is_tried_again_once_the_release_is_over() -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, release_guard_ns=200 * NS_PER_MS))
    call, _ = driver.offer(2)
    assert sent_to(driver.end_attempt(call, "x2", it.Ending.INTERRUPTED) + driver.wait(400), call) == ["x2"]


def test_a_transit_call_is_sent_to_its_destination_or_refused() -> None:
    driver = PolicyDriver()
    call, actions = driver.offer(2, transit=True, sender_or_advised_tandem=1)
    assert sent_to(actions, call) == ["x2"]
    driver.report_circuits("x2", 1)
    call, actions = driver.offer(2, transit=True, sender_or_advised_tandem=1)
    assert not sent_to(actions) and len(final_answers(actions, call)) == 1
