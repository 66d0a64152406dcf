"""What sixty agents do together, and what a tick costs: met at the grown deployments, without a bench."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from arrowkeel import Policy
from arrowkeel import interface as it
from tests.conftest import MS, SETTINGS, PolicyDriver, S, answers, listed, sent

AGENTS = 60
CROWDED = replace(SETTINGS, controllers=AGENTS)


def test_sixty_agents_keep_the_cold_budget_together() -> None:
    """Each allowed one call a window at least would be sixty a window: a part below one is a longer gap."""
    reached: list[int] = []
    fresh = it.ListedExchange("x61", 1, started_ns=100 * S)
    for seed in range(AGENTS):
        policy = Policy(replace(CROWDED, own_number=0), seed)
        others = tuple(it.ListedExchange(f"x{n}", n) for n in range(AGENTS) if n != 1)
        policy.handle(100 * S, [it.ExchangeList(it.ListKind.REMEMBERED, (*others, fresh))])
        for step in range(40):
            now = 100 * S + step * 100 * MS
            call = it.CallOffered(f"c{step}", "plain", 1, 3 * S, f"n{step}")
            actions = policy.handle(now, [call])
            reached += [now for a in actions if isinstance(a, it.SetUp) and a.exchange == "x61"]
    window = CROWDED.cold_window_ns
    most = max(sum(at <= t < at + window for t in reached) for at in range(100 * S, 104 * S, 100 * MS))
    assert 0 < most <= 20, "a few a second by all together, and not shut out"


def test_in_overload_sixty_agents_do_not_each_let_a_call_go_at_once() -> None:
    went = 0
    for seed in range(AGENTS):
        driver = PolicyDriver(settings=replace(CROWDED, reporting=it.LoadReporting.IN_ANSWERS))
        driver.policy = Policy(driver.settings, seed)
        driver.tell(it.ExchangeList(it.ListKind.REMEMBERED, driver.entries))
        driver.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, it.LoadReport(20, 60, reduction_share=0.3)))
        driver.wait(25)
        went += len(sent(driver.offer(2)[1]))
    assert went < AGENTS / 2


class Counted(dict[str, Any]):
    """Counts how many values are looked at."""

    looked_at = 0

    def values(self) -> Any:
        def counted() -> Iterator[Any]:
            for value in super(Counted, self).values():
                self.looked_at += 1
                yield value

        return counted()


@pytest.mark.parametrize("count", [10, 70])
def test_a_quiet_tick_looks_at_no_exchange_and_a_busy_one_only_at_those_with_news(count: int) -> None:
    """A judge of every exchange against every other got full-size days cut off."""
    driver = PolicyDriver(settings=CROWDED, entries=listed(count))
    driver.wait(100)
    driver.policy.watched, driver.policy.far = Counted(driver.policy.watched), Counted(driver.policy.far)
    driver.wait(25)
    assert driver.policy.watched.looked_at == 0 and driver.policy.far.looked_at == 0
    driver.offer(2), driver.offer(3)
    driver.policy.watched.looked_at = 0
    driver.wait(25)
    assert 0 < driver.policy.watched.looked_at <= 5 * 2


def test_a_draw_looks_at_a_few_tandems_only() -> None:
    driver = PolicyDriver(settings=CROWDED, entries=listed(70))
    driver.circuits("x2", 0)
    looked: list[int] = []
    whole = driver.policy.by_number

    class Looked(dict[int, Any]):
        def get(self, key: int, default: Any = None) -> Any:
            looked.append(key)
            return super().get(key, default)

    driver.policy.by_number = Looked(whole)
    assert sent(driver.offer(2)[1])
    assert len(looked) <= 20


def test_a_proven_tandem_is_preferred_to_untried_ones() -> None:
    """At size most tandems lack a group to the destination; half of the attempts were turned back."""
    driver = PolicyDriver(settings=CROWDED, entries=listed(40))
    driver.circuits("x2", 0)
    call, actions = driver.offer(2)
    proven = sent(actions, call)[0]
    driver.stand(call, proven)
    driver.circuits(proven, 20)
    went = []
    for _ in range(20):
        call, actions = driver.offer(2)
        went += sent(actions, call)
        driver.tell(it.CallerLeft(call))
        driver.circuits(proven, 20)
    assert went.count(proven) > 8


def test_one_lost_answer_is_no_pressure_where_load_is_reported() -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=it.LoadReporting.IN_ANSWERS))
    driver.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, it.LoadReport(20, 60, reduction_share=0.0)))
    driver.offer(2)
    driver.wait(1500)
    assert sent(driver.offer(2)[1]) == ["x2"]


def test_what_a_later_answer_has_overtaken_is_lost_not_slow() -> None:
    driver = PolicyDriver()
    lost, _ = driver.offer(2)
    driver.wait(100)
    later, _ = driver.offer(2)
    driver.stand(later, "x2", delay_ms=40)
    driver.circuits("x2", 20)
    driver.wait(1400)
    again, actions = driver.offer(2)
    assert sent(actions, again) == ["x2"] and not answers(actions, lost)


def test_after_a_stand_still_the_wait_counts_against_the_aim() -> None:
    """Calls that came while the agent stood still: the first of them can only stand late."""
    driver = PolicyDriver()
    driver.wait(25)
    driver.now += 2 * S
    offers = [it.CallOffered(f"late-{n}", "plain", 2, 2 * S, f"k{n}") for n in range(4)]
    driver.tell(*offers)
    worths = [driver.policy.calls[offer.call].worth for offer in offers]
    assert worths == sorted(worths) and worths[0] < worths[-1]


def test_state_stays_bounded_when_machines_and_numbers_change_all_day() -> None:
    driver = PolicyDriver()
    for turn in range(300):
        gone = it.ListedExchange(f"m{turn}", 2, it.ExchangeStatus.GONE)
        fresh = it.ListedExchange(f"m{turn + 1}", 2, started_ns=driver.now)
        driver.tell(it.ExchangeList(it.ListKind.CHANGES, (gone, fresh)))
        call, _ = driver.offer(1, number_called=f"busy-{turn}")
        driver.end(call, "x1", it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)
        driver.circuits("x1", 20)
        driver.wait(1000, step_ms=500)
    policy = driver.policy
    assert len(policy.far) < 10 and len(policy.watched) < 10
    assert len(policy.busy.until) < 30 and len(policy.asked.met) < 30


def test_the_more_tandems_turn_back_the_fewer_untried_ones_are_asked() -> None:
    """Incident i133231: over half of the tandem attempts were turned back, at a cost to both ends."""
    went = []
    for rounds in (0, 60):
        driver = PolicyDriver(settings=CROWDED, entries=listed(60))
        for number in range(1, 60):
            driver.circuits(f"x{number}", 0 if number in (2, 3) else 40)
        for _ in range(rounds):
            call, actions = driver.offer(2)
            for attempt in range(2):
                tandems = sent(actions, call)
                actions = (
                    driver.end(
                        call, tandems[0], it.Ending.REJECTED, it.FailureCause.RETURNED_BY_TANDEM, attempt
                    )
                    if tandems
                    else []
                )
        went.append(len(sent([a for _ in range(40) for a in driver.offer(3)[1]])))
    assert went[1] < went[0] / 2


def test_answered_probes_do_not_keep_an_old_delay_fresh() -> None:
    """Issue 11: blocking provoked probes, their answers renewed the delay that blocked: it never ended."""
    driver = PolicyDriver(settings=replace(CROWDED, reporting=it.LoadReporting.ON_PROBE, may_probe=True))
    call, _ = driver.offer(3)
    driver.stand(call, "x3", delay_ms=40)
    call, _ = driver.offer(2)
    driver.wait(700)
    driver.stand(call, "x2", delay_ms=1200)
    driver.wait(25)
    assert not sent(driver.offer(2)[1]), "the delay was real: for now nothing is sent"
    for _ in range(160):  # the processor has recovered and says so each time it is asked
        for action in driver.wait(100):
            if isinstance(action, it.Probe) and action.exchange == "x2":
                driver.tell(
                    it.ProbeAnswer("x2", it.Ending.COMPLETED, 20 * MS, it.LoadReport(20, 60, wait_ns=0.0))
                )
    assert sent(driver.offer(2)[1]) == ["x2"]


def test_what_is_known_of_an_exchange_ends_when_its_processor_starts_anew() -> None:
    """Issue 11: entries blocking or silent when the list dropped their exchange met its return so."""
    driver = PolicyDriver(settings=CROWDED)
    call, _ = driver.offer(2)
    driver.end(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.tell(it.CallerLeft(call))
    driver.wait(25)
    driver.policy.far["x3"].cpu.miss(driver.now, 1.0)
    gone = tuple(it.ListedExchange(f"x{number}", number, it.ExchangeStatus.GONE) for number in (2, 3))
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, gone))
    driver.wait(500)
    back = tuple(it.ListedExchange(f"x{n}", n, started_ns=driver.now - 14 * S) for n in (2, 3))
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, back))
    driver.wait(1500)
    for number in (2, 3):
        assert sent(driver.offer(number)[1]) == [f"x{number}"]


def test_an_entry_that_blocked_lapses_while_its_exchange_is_off_the_list() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.end(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.tell(it.CallerLeft(call))
    driver.wait(25)
    driver.tell(
        it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.ExchangeStatus.DRAINING),))
    )
    driver.wait(8000)
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2),)))
    assert sent(driver.offer(2)[1]) == ["x2"]


def test_the_cold_part_does_not_shrink_with_what_is_sent_in_distress() -> None:
    """Issue 11: with most exchanges down little is sent, and each that returns was starved by that."""
    driver = PolicyDriver()
    for _ in range(100):
        for number in (1, 2, 3, 4):
            call, _ = driver.offer(number)
            driver.stand(call, f"x{number}")
            driver.circuits(f"x{number}", 40)
        driver.wait(100, step_ms=25)
    driver.wait(12_000)  # nothing is sent for longer than the span of the rate
    fresh = it.ListedExchange("x9", 2, started_ns=driver.now)
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, (fresh,)))
    went = 0
    for _ in range(200):
        driver.circuits("x9", 60)
        for action in driver.offer(2)[1] + driver.wait(10, step_ms=10):
            if isinstance(action, it.SetUp):
                driver.stand(action.call, "x9", delay_ms=10)
                went += 1
    least, usual = 3.0 / SETTINGS.controllers, 10.0
    assert 2 * least < went / 2 < SETTINGS.cold_multiple * 0.45 * usual


def test_the_cold_part_follows_what_callers_ask_of_that_pair() -> None:
    """Day h54d86e: a mean of all pairs refused half of the calls on busy pairs, and thin ones left theirs."""
    rates = []
    for busy in (1, 9):
        driver = PolicyDriver(settings=CROWDED, entries=listed(20))
        for turn in range(200):
            number = 2 if turn % 10 < busy else 3 + turn % 16
            call, actions = driver.offer(number)
            for action in actions:
                if isinstance(action, it.SetUp):
                    driver.stand(call, action.exchange)
                    driver.circuits(action.exchange, 20)
            driver.wait(50, step_ms=25)
        driver.tell(
            it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x99", 2, started_ns=driver.now),))
        )
        rates.append(driver.policy.cold_rate(driver.policy.by_number[2].cpu, driver.now))
    assert rates[1] == pytest.approx(9 * rates[0]), "also for a machine that takes the place of the old one"


@pytest.mark.parametrize("agents", [5, AGENTS])
def test_far_ends_are_probed_no_more_often_the_more_agents_are_in_doubt(agents: int) -> None:
    """Issue 11: 2000 probes a second, most of them turned away, beside 850 calls."""
    probes = 0
    settings = replace(CROWDED, controllers=agents, reporting=it.LoadReporting.ON_PROBE, may_probe=True)
    for seed in range(agents):
        driver = PolicyDriver(settings=settings)
        driver.policy = Policy(settings, seed)
        driver.tell(it.ExchangeList(it.ListKind.REMEMBERED, driver.entries))
        driver.policy.far["x2"].cpu.miss(driver.now, 1.0)
        driver.offer(2), driver.offer(2)
        driver.policy.watched["x2"] = driver.policy.far["x2"]
        for _ in range(400):
            probes += sum(isinstance(a, it.Probe) and a.exchange == "x2" for a in driver.wait(25))
    assert 0 < probes / 10 < 20, "a few a second by all together, the first ones included"
