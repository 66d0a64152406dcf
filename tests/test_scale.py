"""What sixty agents do together, and what a tick costs: met at the grown deployments, without a bench."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from arrowkeel import Policy
from arrowkeel import interface as it
from tests.conftest import MS, SETTINGS, Desk, S, answers, listed, sent

AGENTS = 60
CROWDED = replace(SETTINGS, agents=AGENTS)


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
        desk = Desk(settings=replace(CROWDED, reporting=it.Reporting.IN_ANSWERS))
        desk.policy = Policy(desk.settings, seed)
        desk.tell(it.ExchangeList(it.ListKind.REMEMBERED, desk.entries))
        desk.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, it.Report(20, 60, hold_back_share=0.3)))
        desk.wait(25)
        went += len(sent(desk.offer(2)[1]))
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
    desk = Desk(settings=CROWDED, entries=listed(count))
    desk.wait(100)
    desk.policy.watched, desk.policy.far = Counted(desk.policy.watched), Counted(desk.policy.far)
    desk.wait(25)
    assert desk.policy.watched.looked_at == 0 and desk.policy.far.looked_at == 0
    desk.offer(2), desk.offer(3)
    desk.policy.watched.looked_at = 0
    desk.wait(25)
    assert 0 < desk.policy.watched.looked_at <= 5 * 2


def test_a_draw_looks_at_a_few_tandems_only() -> None:
    desk = Desk(settings=CROWDED, entries=listed(70))
    desk.circuits("x2", 0)
    looked: list[int] = []
    whole = desk.policy.by_number

    class Looked(dict[int, Any]):
        def get(self, key: int, default: Any = None) -> Any:
            looked.append(key)
            return super().get(key, default)

    desk.policy.by_number = Looked(whole)
    assert sent(desk.offer(2)[1])
    assert len(looked) <= 20


def test_a_proven_tandem_is_preferred_to_untried_ones() -> None:
    """At size most tandems lack a group to the destination; half of the attempts were turned back."""
    desk = Desk(settings=CROWDED, entries=listed(40))
    desk.circuits("x2", 0)
    call, actions = desk.offer(2)
    proven = sent(actions, call)[0]
    desk.stand(call, proven)
    desk.circuits(proven, 20)
    went = []
    for _ in range(20):
        call, actions = desk.offer(2)
        went += sent(actions, call)
        desk.tell(it.CallerLeft(call))
        desk.circuits(proven, 20)
    assert went.count(proven) > 8


def test_one_lost_answer_is_no_pressure_where_load_is_reported() -> None:
    desk = Desk(settings=replace(SETTINGS, reporting=it.Reporting.IN_ANSWERS))
    desk.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, it.Report(20, 60, hold_back_share=0.0)))
    desk.offer(2)
    desk.wait(1500)
    assert sent(desk.offer(2)[1]) == ["x2"]


def test_what_a_later_answer_has_overtaken_is_lost_not_slow() -> None:
    desk = Desk()
    lost, _ = desk.offer(2)
    desk.wait(100)
    later, _ = desk.offer(2)
    desk.stand(later, "x2", delay_ms=40)
    desk.circuits("x2", 20)
    desk.wait(1400)
    again, actions = desk.offer(2)
    assert sent(actions, again) == ["x2"] and not answers(actions, lost)


def test_after_a_stand_still_the_wait_counts_against_the_aim() -> None:
    """Calls that came while the agent stood still: the first of them can only stand late."""
    desk = Desk()
    desk.wait(25)
    desk.now += 2 * S
    offers = [it.CallOffered(f"late-{n}", "plain", 2, 2 * S, f"k{n}") for n in range(4)]
    desk.tell(*offers)
    worths = [desk.policy.calls[offer.call].worth for offer in offers]
    assert worths == sorted(worths) and worths[0] < worths[-1]


def test_state_stays_bounded_when_machines_and_numbers_change_all_day() -> None:
    desk = Desk()
    for turn in range(300):
        gone = it.ListedExchange(f"m{turn}", 2, it.Listing.GONE)
        fresh = it.ListedExchange(f"m{turn + 1}", 2, started_ns=desk.now)
        desk.tell(it.ExchangeList(it.ListKind.CHANGES, (gone, fresh)))
        call, _ = desk.offer(1, number_called=f"busy-{turn}")
        desk.end(call, "x1", it.Ending.NUMBER_BUSY, it.Cause.LINES_BUSY)
        desk.circuits("x1", 20)
        desk.wait(1000, step_ms=500)
    policy = desk.policy
    assert len(policy.far) < 10 and len(policy.watched) < 10
    assert len(policy.busy.until) < 30 and len(policy.asked.met) < 30


def test_the_more_tandems_turn_back_the_fewer_untried_ones_are_asked() -> None:
    """Incident i133231: over half of the tandem attempts were turned back, at a cost to both ends."""
    went = []
    for rounds in (0, 60):
        desk = Desk(settings=CROWDED, entries=listed(60))
        for number in range(1, 60):
            desk.circuits(f"x{number}", 0 if number in (2, 3) else 40)
        for _ in range(rounds):
            call, actions = desk.offer(2)
            for attempt in range(2):
                tandems = sent(actions, call)
                actions = (
                    desk.end(call, tandems[0], it.Ending.TURNED_AWAY, it.Cause.TURNED_BACK, attempt)
                    if tandems
                    else []
                )
        went.append(len(sent([a for _ in range(40) for a in desk.offer(3)[1]])))
    assert went[1] < went[0] / 2


def test_answered_probes_do_not_keep_an_old_delay_fresh() -> None:
    """Issue 11: blocking provoked probes, their answers renewed the delay that blocked: it never ended."""
    desk = Desk(settings=replace(CROWDED, reporting=it.Reporting.ON_PROBE, may_probe=True))
    call, _ = desk.offer(3)
    desk.stand(call, "x3", delay_ms=40)
    call, _ = desk.offer(2)
    desk.wait(700)
    desk.stand(call, "x2", delay_ms=1200)
    desk.wait(25)
    assert not sent(desk.offer(2)[1]), "the delay was real: for now nothing is sent"
    for _ in range(160):  # the processor has recovered and says so each time it is asked
        for action in desk.wait(100):
            if isinstance(action, it.Probe) and action.exchange == "x2":
                desk.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 20 * MS, it.Report(20, 60, wait_ns=0.0)))
    assert sent(desk.offer(2)[1]) == ["x2"]


def test_what_is_known_of_an_exchange_ends_when_its_processor_starts_anew() -> None:
    """Issue 11: entries blocking or silent when the list dropped their exchange met its return so."""
    desk = Desk(settings=CROWDED)
    call, _ = desk.offer(2)
    desk.end(call, "x2", it.Ending.TURNED_AWAY, it.Cause.PROCESSOR_FULL)
    desk.tell(it.CallerLeft(call))
    desk.wait(25)
    desk.policy.far["x3"].cpu.miss(desk.now, 1.0)
    gone = tuple(it.ListedExchange(f"x{number}", number, it.Listing.GONE) for number in (2, 3))
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, gone))
    desk.wait(500)
    back = tuple(it.ListedExchange(f"x{n}", n, started_ns=desk.now - 14 * S) for n in (2, 3))
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, back))
    desk.wait(1500)
    for number in (2, 3):
        assert sent(desk.offer(number)[1]) == [f"x{number}"]


def test_an_entry_that_blocked_lapses_while_its_exchange_is_off_the_list() -> None:
    desk = Desk()
    call, _ = desk.offer(2)
    desk.end(call, "x2", it.Ending.TURNED_AWAY, it.Cause.PROCESSOR_FULL)
    desk.tell(it.CallerLeft(call))
    desk.wait(25)
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.Listing.DRAINING),)))
    desk.wait(8000)
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2),)))
    assert sent(desk.offer(2)[1]) == ["x2"]


def test_the_cold_part_does_not_shrink_with_what_is_sent_in_distress() -> None:
    """Issue 11: with most exchanges down little is sent, and each that returns was starved by that."""
    desk = Desk()
    for _ in range(100):
        for number in (1, 2, 3, 4):
            call, _ = desk.offer(number)
            desk.stand(call, f"x{number}")
            desk.circuits(f"x{number}", 40)
        desk.wait(100, step_ms=25)
    desk.wait(12_000)  # nothing is sent for longer than the span of the rate
    fresh = it.ListedExchange("x9", 2, started_ns=desk.now)
    desk.tell(it.ExchangeList(it.ListKind.CHANGES, (fresh,)))
    went = 0
    for _ in range(200):
        desk.circuits("x9", 60)
        for action in desk.offer(2)[1] + desk.wait(10, step_ms=10):
            if isinstance(action, it.SetUp):
                desk.stand(action.call, "x9", delay_ms=10)
                went += 1
    least, usual = 3.0 / SETTINGS.agents, 10.0
    assert 2 * least < went / 2 < SETTINGS.cold_multiple * 0.45 * usual


def test_the_cold_part_follows_what_callers_ask_of_that_pair() -> None:
    """Day h54d86e: a mean of all pairs refused half of the calls on busy pairs, and thin ones left theirs."""
    rates = []
    for busy in (1, 9):
        desk = Desk(settings=CROWDED, entries=listed(20))
        for turn in range(200):
            number = 2 if turn % 10 < busy else 3 + turn % 16
            call, actions = desk.offer(number)
            for action in actions:
                if isinstance(action, it.SetUp):
                    desk.stand(call, action.exchange)
                    desk.circuits(action.exchange, 20)
            desk.wait(50, step_ms=25)
        desk.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x99", 2, started_ns=desk.now),)))
        rates.append(desk.policy.cold_rate(desk.policy.by_number[2].cpu, desk.now))
    assert rates[1] == pytest.approx(9 * rates[0]), "also for a machine that takes the place of the old one"


@pytest.mark.parametrize("agents", [5, AGENTS])
def test_far_ends_are_probed_no_more_often_the_more_agents_are_in_doubt(agents: int) -> None:
    """Issue 11: 2000 probes a second, most of them turned away, beside 850 calls."""
    probes = 0
    settings = replace(CROWDED, agents=agents, reporting=it.Reporting.ON_PROBE, may_probe=True)
    for seed in range(agents):
        desk = Desk(settings=settings)
        desk.policy = Policy(settings, seed)
        desk.tell(it.ExchangeList(it.ListKind.REMEMBERED, desk.entries))
        desk.policy.far["x2"].cpu.miss(desk.now, 1.0)
        desk.offer(2), desk.offer(2)
        desk.policy.watched["x2"] = desk.policy.far["x2"]
        for _ in range(400):
            probes += sum(isinstance(a, it.Probe) and a.exchange == "x2" for a in desk.wait(25))
    assert 0 < probes / 10 < 20, "a few a second by all together, the first ones included"
