"""The behaviour of many controllers together and the cost of a tick, as in large deployments."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from arrowkeel import Policy
from arrowkeel import interface as it
from arrowkeel.state import ExponentialBackoff, FirstSeen
from tests.conftest import (
    NS_PER_MS,
    NS_PER_S,
    SETTINGS,
    PolicyDriver,
    final_answers,
    listed_exchanges,
    sent_to,
)

CONTROLLERS = 60
MANY_CONTROLLERS = replace(SETTINGS, controllers=CONTROLLERS)


def test_sixty_controllers_together_keep_the_budget_of_a_starting_exchange() -> None:
    """At one call per window each they would send sixty: a part below one is a longer interval."""
    sent_at_ns: list[int] = []
    new_machine = it.ListedExchange("x61", 1, started_ns=100 * NS_PER_S)
    for seed in range(CONTROLLERS):
        policy = Policy(replace(MANY_CONTROLLERS, own_number=0), seed)
        others = tuple(it.ListedExchange(f"x{n}", n) for n in range(CONTROLLERS) if n != 1)
        policy.handle(100 * NS_PER_S, [it.ExchangeList(it.ListKind.REMEMBERED, (*others, new_machine))])
        for step in range(40):
            now_ns = 100 * NS_PER_S + step * 100 * NS_PER_MS
            call = it.CallOffered(f"c{step}", "plain", 1, 3 * NS_PER_S, f"n{step}")
            actions = policy.handle(now_ns, [call])
            sent_at_ns += [now_ns for a in actions if isinstance(a, it.SetUp) and a.exchange == "x61"]
    window_ns = MANY_CONTROLLERS.cold_window_ns
    most_in_a_window = max(
        sum(at_ns <= time_ns < at_ns + window_ns for time_ns in sent_at_ns)
        for at_ns in range(100 * NS_PER_S, 104 * NS_PER_S, 100 * NS_PER_MS)
    )
    assert 0 < most_in_a_window <= 20, "a few per second by all together, but some"


def test_in_overload_sixty_controllers_do_not_all_send_a_call_at_once() -> None:
    sent_count = 0
    for seed in range(CONTROLLERS):
        driver = PolicyDriver(settings=replace(MANY_CONTROLLERS, reporting=it.LoadReporting.IN_ANSWERS))
        driver.policy = Policy(driver.settings, seed)
        driver.send_events(it.ExchangeList(it.ListKind.REMEMBERED, driver.entries))
        driver.send_events(
            it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, it.LoadReport(20, 60, reduction_share=0.3))
        )
        driver.wait(25)
        sent_count += len(sent_to(driver.offer(2)[1]))
    assert sent_count < CONTROLLERS / 2


class CountingDict(dict[str, Any]):
    """A dictionary that counts how many values are iterated over."""

    visited = 0

    def values(self) -> Any:
        def counted() -> Iterator[Any]:
            for value in super(CountingDict, self).values():
                self.visited += 1
                yield value

        return counted()


@pytest.mark.parametrize("count", [10, 70])
def test_an_idle_tick_visits_no_exchange_and_a_busy_one_only_those_with_news(count: int) -> None:
    """A tick must not compare every exchange with every other, which is too slow for a full-size mesh."""
    driver = PolicyDriver(settings=MANY_CONTROLLERS, entries=listed_exchanges(count))
    driver.wait(100)
    driver.policy.watched_routes, driver.policy.routes = (
        CountingDict(driver.policy.watched_routes),
        CountingDict(driver.policy.routes),
    )
    driver.wait(25)
    assert driver.policy.watched_routes.visited == 0 and driver.policy.routes.visited == 0
    driver.offer(2), driver.offer(3)
    driver.policy.watched_routes.visited = 0
    driver.wait(25)
    assert 0 < driver.policy.watched_routes.visited <= 5 * 2


def test_a_draw_considers_only_a_few_tandems() -> None:
    driver = PolicyDriver(settings=MANY_CONTROLLERS, entries=listed_exchanges(70))
    driver.report_circuits("x2", 0)
    looked_up: list[int] = []
    all_routes = driver.policy.routes_by_number

    class RecordingDict(dict[int, Any]):
        def get(self, key: int, default: Any = None) -> Any:
            looked_up.append(key)
            return super().get(key, default)

    driver.policy.routes_by_number = RecordingDict(all_routes)
    assert sent_to(driver.offer(2)[1])
    assert len(looked_up) <= 20


def test_a_proven_tandem_is_preferred_to_untried_ones() -> None:
    """In a large mesh most tandems lack a circuit group to the destination and return the call.

    Half of the attempts were returned before proven tandems were preferred.
    """
    driver = PolicyDriver(settings=MANY_CONTROLLERS, entries=listed_exchanges(40))
    driver.report_circuits("x2", 0)
    call, actions = driver.offer(2)
    proven = sent_to(actions, call)[0]
    driver.establish(call, proven)
    driver.report_circuits(proven, 20)
    attempted = []
    for _ in range(20):
        call, actions = driver.offer(2)
        attempted += sent_to(actions, call)
        driver.send_events(it.CallerLeft(call))
        driver.report_circuits(proven, 20)
    assert attempted.count(proven) > 8


def test_one_lost_answer_is_no_overload_where_load_is_reported() -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=it.LoadReporting.IN_ANSWERS))
    driver.send_events(
        it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, it.LoadReport(20, 60, reduction_share=0.0))
    )
    driver.offer(2)
    driver.wait(1500)
    assert sent_to(driver.offer(2)[1]) == ["x2"]


def test_a_set_up_that_a_later_answer_has_overtaken_is_lost_not_slow() -> None:
    driver = PolicyDriver()
    lost, _ = driver.offer(2)
    driver.wait(100)
    later, _ = driver.offer(2)
    driver.establish(later, "x2", delay_ms=40)
    driver.report_circuits("x2", 20)
    driver.wait(1400)
    again, actions = driver.offer(2)
    assert sent_to(actions, again) == ["x2"] and not final_answers(actions, lost)


def test_after_a_stall_the_wait_counts_against_the_target() -> None:
    """Of the calls that arrived while the process was stalled, the first can only be established late."""
    driver = PolicyDriver()
    driver.wait(25)
    driver.now_ns += 2 * NS_PER_S
    offers = [it.CallOffered(f"late-{n}", "plain", 2, 2 * NS_PER_S, f"k{n}") for n in range(4)]
    driver.send_events(*offers)
    worths = [driver.policy.calls[offer.call].worth for offer in offers]
    assert worths == sorted(worths) and worths[0] < worths[-1]


def test_state_stays_bounded_when_machines_and_numbers_change_all_day() -> None:
    driver = PolicyDriver()
    for index in range(300):
        gone = it.ListedExchange(f"m{index}", 2, it.ExchangeStatus.GONE)
        new_machine = it.ListedExchange(f"m{index + 1}", 2, started_ns=driver.now_ns)
        driver.send_events(it.ExchangeList(it.ListKind.CHANGES, (gone, new_machine)))
        call, _ = driver.offer(1, number_called=f"busy-{index}")
        driver.end_attempt(call, "x1", it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)
        driver.report_circuits("x1", 20)
        driver.wait(1000, step_ms=500)
    policy = driver.policy
    assert len(policy.routes) < 10 and len(policy.watched_routes) < 10
    assert len(policy.gapped_numbers.gaps) < 30 and len(policy.first_offers.first_times_ns) < 30


def test_numbers_called_take_bounded_memory_whatever_their_length_and_number() -> None:
    """Guards against memory that grows with the numbers called (review case 8; issue 25, b)."""
    seen = FirstSeen(NS_PER_S, max_keys=100)
    backoff = ExponentialBackoff(NS_PER_S, 8 * NS_PER_S, max_keys=100)
    for number in range(1000):
        seen.get_or_record(f"{number}" + "x" * 15_000, 0, number)
        backoff.block(f"{number}" + "x" * 15_000, 0, spread=1.0)
    for table in (seen.first_times_ns, backoff.gaps):
        assert len(table) == 100 and max(map(len, table)) <= 32
    assert seen.get_or_record("999" + "x" * 15_000, 0, 5) == 999
    assert backoff.is_blocked("999" + "x" * 15_000, 1) and not backoff.is_blocked("0" + "x" * 15_000, 1)


def test_the_more_calls_tandems_return_the_fewer_untried_ones_are_used() -> None:
    """Returned calls cost work at two exchanges (incident i133231: over half of the tandem attempts)."""
    sent_counts = []
    for rounds in (0, 60):
        driver = PolicyDriver(settings=MANY_CONTROLLERS, entries=listed_exchanges(60))
        for number in range(1, 60):
            driver.report_circuits(f"x{number}", 0 if number in (2, 3) else 40)
        for _ in range(rounds):
            call, actions = driver.offer(2)
            for attempt in range(2):
                tandems = sent_to(actions, call)
                actions = (
                    driver.end_attempt(
                        call, tandems[0], it.Ending.REJECTED, it.FailureCause.RETURNED_BY_TANDEM, attempt
                    )
                    if tandems
                    else []
                )
        sent_counts.append(len(sent_to([a for _ in range(40) for a in driver.offer(3)[1]])))
    assert sent_counts[1] < sent_counts[0] / 2


def test_answered_probes_do_not_keep_an_old_delay_fresh() -> None:
    """Otherwise blocking never ends (issue 11).

    A blocked processor is probed, and the answers to the probes kept the delay valid that had led to
    blocking.
    """
    driver = PolicyDriver(
        settings=replace(MANY_CONTROLLERS, reporting=it.LoadReporting.ON_PROBE, may_probe=True)
    )
    call, _ = driver.offer(3)
    driver.establish(call, "x3", delay_ms=40)
    call, _ = driver.offer(2)
    driver.wait(700)
    driver.establish(call, "x2", delay_ms=1200)
    driver.wait(25)
    assert not sent_to(driver.offer(2)[1]), "the delay was real, so nothing is sent at first"
    for _ in range(160):  # the processor has recovered and reports so on each probe
        for action in driver.wait(100):
            if isinstance(action, it.Probe) and action.exchange == "x2":
                driver.send_events(
                    it.ProbeAnswer(
                        "x2", it.Ending.COMPLETED, 20 * NS_PER_MS, it.LoadReport(20, 60, wait_ns=0.0)
                    )
                )
    assert sent_to(driver.offer(2)[1]) == ["x2"]


def test_what_is_known_of_an_exchange_is_discarded_when_its_processor_restarts() -> None:
    """An exchange that left the list while blocked or silent must not come back in that state (issue 11)."""
    driver = PolicyDriver(settings=MANY_CONTROLLERS)
    call, _ = driver.offer(2)
    driver.end_attempt(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.send_events(it.CallerLeft(call))
    driver.wait(25)
    driver.policy.routes["x3"].processor.mark_silent(driver.now_ns, 1.0)
    gone = tuple(it.ListedExchange(f"x{number}", number, it.ExchangeStatus.GONE) for number in (2, 3))
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, gone))
    driver.wait(500)
    back = tuple(it.ListedExchange(f"x{n}", n, started_ns=driver.now_ns - 14 * NS_PER_S) for n in (2, 3))
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, back))
    driver.wait(1500)
    for number in (2, 3):
        assert sent_to(driver.offer(number)[1]) == [f"x{number}"]


def test_a_blocked_state_expires_while_the_exchange_is_off_the_list() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.end_attempt(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.send_events(it.CallerLeft(call))
    driver.wait(25)
    driver.send_events(
        it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.ExchangeStatus.DRAINING),))
    )
    driver.wait(8000)
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2),)))
    assert sent_to(driver.offer(2)[1]) == ["x2"]


def test_the_cold_rate_does_not_shrink_when_little_is_sent_during_a_failure() -> None:
    """With most exchanges down little is sent; each one that came back was starved for it (issue 11)."""
    driver = PolicyDriver()
    for _ in range(100):
        for number in (1, 2, 3, 4):
            call, _ = driver.offer(number)
            driver.establish(call, f"x{number}")
            driver.report_circuits(f"x{number}", 40)
        driver.wait(100, step_ms=25)
    driver.wait(12_000)  # nothing is sent for longer than the window of sent set-ups
    new_machine = it.ListedExchange("x9", 2, started_ns=driver.now_ns)
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, (new_machine,)))
    sent_count = 0
    for _ in range(200):
        driver.report_circuits("x9", 60)
        for action in driver.offer(2)[1] + driver.wait(10, step_ms=10):
            if isinstance(action, it.SetUp):
                driver.establish(action.call, "x9", delay_ms=10)
                sent_count += 1
    min_rate_per_s, usual_per_s = 3.0 / SETTINGS.controllers, 10.0
    assert 2 * min_rate_per_s < sent_count / 2 < SETTINGS.cold_multiple * 0.45 * usual_per_s


def test_the_cold_rate_follows_the_demand_for_that_exchange() -> None:
    """With a mean over all pairs of exchanges, busy pairs had half of their calls refused (day h54d86e).

    Pairs with little traffic left their part unused.
    """
    rates = []
    for calls_of_ten in (1, 9):
        driver = PolicyDriver(settings=MANY_CONTROLLERS, entries=listed_exchanges(20))
        for index in range(200):
            number = 2 if index % 10 < calls_of_ten else 3 + index % 16
            call, actions = driver.offer(number)
            for action in actions:
                if isinstance(action, it.SetUp):
                    driver.establish(call, action.exchange)
                    driver.report_circuits(action.exchange, 20)
            driver.wait(50, step_ms=25)
        driver.send_events(
            it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x99", 2, started_ns=driver.now_ns),))
        )
        rates.append(
            driver.policy.allowed_cold_rate_per_s(driver.policy.routes_by_number[2].processor, driver.now_ns)
        )
    assert rates[1] == pytest.approx(9 * rates[0]), "also for a machine that takes the place of the old one"


@pytest.mark.parametrize("controller_count", [5, CONTROLLERS])
def test_more_controllers_in_doubt_do_not_probe_an_exchange_more_often(controller_count: int) -> None:
    """Probes of all controllers together must not outnumber the calls.

    There were 2000 probes per second, most of them rejected, beside 850 calls per second (issue 11).
    """
    probes = 0
    settings = replace(
        MANY_CONTROLLERS, controllers=controller_count, reporting=it.LoadReporting.ON_PROBE, may_probe=True
    )
    for seed in range(controller_count):
        driver = PolicyDriver(settings=settings)
        driver.policy = Policy(settings, seed)
        driver.send_events(it.ExchangeList(it.ListKind.REMEMBERED, driver.entries))
        driver.policy.routes["x2"].processor.mark_silent(driver.now_ns, 1.0)
        driver.offer(2), driver.offer(2)
        driver.policy.watched_routes["x2"] = driver.policy.routes["x2"]
        for _ in range(400):
            probes += sum(isinstance(a, it.Probe) and a.exchange == "x2" for a in driver.wait(25))
    assert 0 < probes / 10 < 20, "a few per second by all together, the first ones included"
