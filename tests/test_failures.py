"""Failures met on the bench, each as a small test of the module alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowkeel import interface as it
from arrowkeel.state import Times
from tests.conftest import MS, SETTINGS, PolicyDriver, S, answers, sent


def test_a_full_processor_is_left_alone_for_the_validity_time() -> None:
    """Incident i6a95c2: the same call went straight back to the processor that had turned it away."""
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    actions = driver.end(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.wait(25)
    others = [action for _ in range(20) for action in driver.offer(2)[1]]
    assert "x2" not in sent(others)
    assert sent(actions + driver.wait(800), call) in ([], ["x2"])


def test_a_full_processor_beyond_a_tandem_curbs_the_destination_not_the_tandem() -> None:
    driver = PolicyDriver()
    driver.circuits("x2", 0)
    call, actions = driver.offer(2)
    tandem = sent(actions, call)[0]
    driver.end(call, tandem, it.Ending.REJECTED, it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL)
    driver.wait(25)
    assert not sent(driver.offer(2)[1])
    assert sent(driver.offer(int(tandem[1:]))[1]) == [tandem]


def test_a_busy_number_is_gapped_and_its_exchange_is_not() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2, number_called="hot")
    driver.end(call, "x2", it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)
    again, actions = driver.offer(2, number_called="hot")
    assert not sent(actions) and answers(actions, again)
    assert sent(driver.offer(2)[1]) == ["x2"]


def test_a_redial_past_the_first_aim_leaves_the_last_circuits_to_fresh_calls() -> None:
    driver = PolicyDriver()
    driver.circuits("x2", 0)
    for number in ("x1", "x3", "x4"):
        driver.circuits(number, 0)
    first, _ = driver.offer(2, number_called="again", class_name="worthy")
    assert answers(driver.wait(1400), first)
    driver.wait(300)
    driver.circuits("x2", 1)
    redial, actions = driver.offer(2, number_called="again", class_name="worthy")
    assert not sent(actions, redial)
    assert sent(driver.offer(2, class_name="worthy")[1]) == ["x2"]


def test_the_last_circuits_are_kept_from_transit_and_alternative_calls() -> None:
    driver = PolicyDriver()
    for number in ("x1", "x2", "x3", "x4"):
        driver.circuits(number, 3)
    assert not sent(driver.offer(2, transit=True, sender_or_advised_tandem=1)[1])
    driver.circuits("x2", 0)
    assert not sent(driver.offer(2)[1])
    assert sent(driver.offer(3)[1]) == ["x3"]


def silence(driver: PolicyDriver) -> None:
    """x2 answers nothing while x1 and x3 answer as always."""
    for _ in range(40):
        driver.offer(2)
        for exchange in ("x1", "x3"):
            call, _ = driver.offer(int(exchange[1:]))
            driver.stand(call, exchange)
            driver.circuits(exchange, 20)
        driver.circuits("x2", 20)
        driver.wait(50)


def test_a_silent_far_end_gets_trial_calls_only_and_the_rest_is_untouched() -> None:
    driver = PolicyDriver()
    silence(driver)
    trials = [action for _ in range(40) for action in driver.offer(2)[1] + driver.wait(50)]
    assert 0 < sent(trials).count("x2") <= 4
    assert sent(driver.offer(1)[1]) == ["x1"]


def test_a_silent_far_end_is_used_again_after_one_answer() -> None:
    driver = PolicyDriver()
    silence(driver)
    actions = [action for _ in range(50) for action in driver.offer(2)[1] + driver.wait(50)]
    trial = next(a for a in actions if isinstance(a, it.SetUp) and a.exchange == "x2")
    driver.stand(trial.call, "x2")
    went = 0
    for _ in range(100):
        for action in driver.offer(2)[1] + driver.wait(50):
            if isinstance(action, it.SetUp) and action.exchange == "x2":
                driver.stand(action.call, "x2")
                driver.circuits("x2", 20)
                went += 1
    assert went > 8


def test_dead_far_ends_do_not_shut_the_own_gate() -> None:
    """Incident i243dd2: with most exchanges dead the living ones refused each other."""
    driver = PolicyDriver()
    for _ in range(40):
        for number in (2, 3, 4):
            driver.offer(number)
            driver.circuits(f"x{number}", 20)
        call, _ = driver.offer(1)
        driver.stand(call, "x1")
        driver.circuits("x1", 20)
        driver.wait(50)
    driver.wait(4000)
    assert sent(driver.offer(1)[1]) == ["x1"]


def test_an_own_stand_still_is_not_taken_for_slow_far_ends() -> None:
    """Incident i3468b7: after a pause of the agent itself every outcome looks late."""
    driver = PolicyDriver()
    calls = [(driver.offer(number)[0], f"x{number}") for number in (1, 2, 3, 4)]
    for call, exchange in calls:
        driver.stand(call, exchange)
    calls = [(driver.offer(number)[0], f"x{number}") for number in (1, 2, 3, 4)]
    driver.now += 900 * MS
    driver.tell(*(it.CallEstablished(call, 0, exchange, 900 * MS) for call, exchange in calls))
    driver.wait(50)
    assert sent(driver.offer(1)[1]) == ["x1"]


def test_delay_towards_all_far_ends_curbs_own_calls() -> None:
    driver = PolicyDriver()
    for delay in (50, 900, 1200, 1400):
        for number in (1, 2, 3, 4):
            call, _ = driver.offer(number)
            driver.stand(call, f"x{number}", delay_ms=delay)
            driver.circuits(f"x{number}", 20)
        driver.wait(25)
    went = [sent(driver.offer(1 + turn % 4)[1]) for turn in range(40)]
    assert sum(map(bool, went)) < 20


@pytest.mark.parametrize(
    ("reporting", "report"),
    [
        (it.LoadReporting.IN_ANSWERS, it.LoadReport(20, 60, reduction_share=0.9)),
        (it.LoadReporting.ON_PROBE, it.LoadReport(20, 60, wait_ns=2e9)),
        (it.LoadReporting.IN_ANSWERS, it.LoadReport(20, 60, utilization=5.0, queued_messages=1e12)),
    ],
)
def test_a_reported_load_holds_calls_back(reporting: it.LoadReporting, report: it.LoadReport) -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=reporting, may_probe=True))
    driver.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, report))
    driver.wait(25)
    assert len(sent([a for _ in range(20) for a in driver.offer(2)[1]])) < 10
    assert sent(driver.offer(1)[1]) == ["x1"]


def test_reports_without_processor_figures_are_not_load() -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=it.LoadReporting.IN_ANSWERS))
    assert len(sent([a for _ in range(15) for a in driver.offer(2)[1]])) == 15


def test_contradictory_events_are_borne() -> None:
    driver = PolicyDriver()
    twice = (it.ListedExchange("x2", 2), it.ListedExchange("x2", 2, it.ExchangeStatus.DRAINING))
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, twice), it.ExchangeList(it.ListKind.FAILED))
    driver.circuits("x1", 90, size=60)
    driver.end("never", "x1", it.Ending.INTERRUPTED)
    driver.tell(
        it.CallerLeft("never"), it.ProbeAnswer("nowhere", it.Ending.NO_ANSWER), it.PeerMessage(3, b"x")
    )
    assert sent(driver.offer(1)[1]) == ["x1"] and not sent(driver.offer(2)[1])


def test_pools_are_served_first_choice_then_another_pool_of_the_class() -> None:
    pools = replace(
        SETTINGS,
        own_number=-1,
        is_mesh=False,
        classes=(it.CallClass("plain", 1500 * MS, 9 * S, exchange_numbers=(1, 3)),),
    )
    driver = PolicyDriver(settings=pools)
    assert sent(driver.offer(1)[1]) == ["x1"]
    driver.circuits("x1", 0)
    assert sent(driver.offer(1)[1]) == ["x3"]


def refused_at_once(actions: list[it.Action], call: str) -> bool:
    """The caller is told at once, and told to come back as late as it may be asked to."""
    return answers(actions, call) == [it.Refuse(call, SETTINGS.max_redial_after_ns)]


def test_a_call_to_a_gone_or_unknown_exchange_is_answered_at_once() -> None:
    """A call is held only while it can still be sent and stand, never to keep its caller from redialling."""
    driver = PolicyDriver()
    driver.tell(it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.ExchangeStatus.GONE),)))
    for destination in (2, 77):
        call, actions = driver.offer(destination)
        assert refused_at_once(actions, call)


def test_a_call_whose_next_try_would_come_too_late_is_answered_at_once() -> None:
    driver = PolicyDriver()
    driver.policy.far["x2"].cpu.miss(driver.now, 1.25)  # silent, its next trial is over a second away
    call, actions = driver.offer(2)
    assert refused_at_once(actions, call)
    call, _ = driver.offer(1)
    driver.wait(200)
    actions = driver.end(
        call, "x1", it.Ending.NOT_SENT, it.FailureCause.PROCESSOR_FULL
    )  # the own one is down
    assert refused_at_once(actions, call)


def test_a_call_without_a_group_and_with_both_tandems_tried_is_answered_at_once() -> None:
    driver = PolicyDriver()
    driver.policy.far["x2"].free = driver.policy.far["x2"].size = 0
    call, actions = driver.offer(2)
    for attempt in range(2):
        assert not answers(actions)
        tandem = sent(actions, call)[0]
        actions = driver.end(call, tandem, it.Ending.REJECTED, it.FailureCause.RETURNED_BY_TANDEM, attempt)
    assert refused_at_once(actions, call)


def test_a_call_that_can_still_be_sent_is_held() -> None:
    driver = PolicyDriver(free=0)
    call, actions = driver.offer(2)
    assert not answers(actions) and not sent(actions)
    assert sent(driver.circuits("x2", 5), call) + sent(driver.wait(25), call) == ["x2"]


def test_a_call_is_not_held_before_a_gate_that_opens_after_its_time() -> None:
    driver = PolicyDriver()
    cpu = driver.policy.far["x2"].cpu
    first, _ = driver.offer(2)
    driver.end(first, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.tell(it.CallerLeft(first))
    driver.wait(25)
    assert cpu.valid_until - driver.now > 1500 * MS, "nothing out, no reports: shut for the validity time"
    call, actions = driver.offer(2)
    assert refused_at_once(actions, call)


def test_what_can_only_stand_late_is_answered_at_once_while_something_is_pressed() -> None:
    """Incident i334348: a thousand calls were held as late at a time, then refused."""
    driver = PolicyDriver()
    own, cpu = driver.policy.own, driver.policy.far["x2"].cpu
    own.state, own.valid_until, own.rate = 1, driver.now + 60 * S, 100.0  # in overload
    cpu.delay, cpu.measured_at = 1600.0 * MS, driver.now
    call, actions = driver.offer(2)
    assert refused_at_once(actions, call)
    own.state = 0
    assert sent(driver.offer(2)[1]) == ["x2"], "nothing is pressed: late is better than never"


def test_a_shut_gate_does_not_make_its_own_news_last_longer() -> None:
    """What it let pass was rare by its own doing, so that each block lasted twice as long as the design's."""
    driver = PolicyDriver()
    for _ in range(400):
        call, actions = driver.offer(2)
        if sent(actions):
            driver.end(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
        driver.wait(50)
    cpu = driver.policy.far["x2"].cpu
    assert cpu.sent.rate(driver.now) < cpu.asked.rate(driver.now) / 5 and cpu.validity(driver.now) == 2 * S


def test_spans_shrink_with_the_aims() -> None:
    """With aims of half a second a block of seconds outlived the distress that it guarded against."""
    short = replace(SETTINGS, classes=(it.CallClass("plain", target_ns=500 * MS, deadline_ns=3 * S),))
    left = []
    for settings in (SETTINGS, short):
        driver = PolicyDriver(settings=settings)
        for _ in range(10):
            call, _ = driver.offer(2)
            driver.end(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
            driver.tell(it.CallerLeft(call))
        driver.wait(25)
        left.append(driver.policy.far["x2"].cpu.valid_until - driver.now)
    assert 2 * left[1] < left[0] and left[1] > 0


def test_in_overload_below_h_the_rate_rises_at_once_to_an_even_share_of_what_is_reported() -> None:
    """From one set-up a second it grew for five seconds while the processor answered within 30 ms."""
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=it.LoadReporting.IN_ANSWERS))
    call, _ = driver.offer(2)
    driver.end(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.tell(it.ProbeAnswer("x2", it.Ending.COMPLETED, 0, it.LoadReport(20, 60, max_set_ups_per_s=60.0)))
    went = 0
    for _ in range(200):  # five seconds, two of them in blocking
        for action in driver.offer(2)[1] + driver.wait(25):
            if isinstance(action, it.SetUp):
                went += 1
                driver.stand(action.call, "x2", delay_ms=30)
                driver.circuits("x2", 20)
    assert went > 25, "of 60 a second a fifth is 12, for nearly three seconds"


def overtaken(driver: PolicyDriver, turn: str = "") -> tuple[str, list[it.Action]]:
    """A set-up to x2 that stays without an answer while the next ones stand, and what is done by then."""
    if turn:
        driver.circuits("x2", 0)
    lost, actions = driver.offer(2)
    assert not turn or sent(actions, lost) != ["x2"]
    driver.circuits("x2", 20)
    for _ in range(3):
        driver.wait(25)
        next_one, _ = driver.offer(2)
        driver.wait(25)
        driver.stand(next_one, "x2")
    return lost, []


def test_a_set_up_that_a_later_one_overtook_is_called_off_and_goes_again() -> None:
    """A processor may answer two thirds at once and the rest never: those used to sit out their time."""
    driver = PolicyDriver(replace(SETTINGS, may_cancel=True))
    lost, actions = overtaken(driver)
    actions += driver.wait(75)
    assert [a for a in actions if not isinstance(a, it.SetTimer)] == [it.CancelAttempt(lost, 0)]
    driver.end(lost, "x2", it.Ending.CANCELLED)
    assert not sent(driver.wait(375), lost) and sent(driver.wait(75), lost) == ["x2"]


@pytest.mark.parametrize("why", ["answered after all", "behind a tandem", "too late to go again", "barred"])
def test_nothing_else_is_called_off(why: str) -> None:
    driver = PolicyDriver(replace(SETTINGS, may_cancel=why != "barred"))
    lost, actions = overtaken(driver, "tandem" if why == "behind a tandem" else "")
    if why == "answered after all":
        driver.stand(lost, "x2")
    if why == "too late to go again":
        driver.now += 2500 * MS
    actions += driver.wait(100)
    assert not [a for a in actions if isinstance(a, it.CancelAttempt)]


@pytest.mark.parametrize(
    ("cause", "room"), [(it.FailureCause.UNSPECIFIED, True), (it.FailureCause.NO_CIRCUIT, False)]
)
def test_what_left_too_late_says_nothing_of_the_group(cause: it.FailureCause, room: bool) -> None:
    """On sockets a set-up that waited past its time is not sent either; the group has room as before."""
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.end(call, "x2", it.Ending.NOT_SENT, cause)
    assert (sent(driver.offer(2)[1]) == ["x2"]) is room


def test_a_fault_of_the_signalling_is_tried_again_and_a_busy_number_is_not() -> None:
    """Incident raa7010: an exchange ended four in five set-ups in errors at once, and the calls failed."""
    driver = PolicyDriver(replace(SETTINGS, attempt_limit=3))
    call, actions = driver.offer(2)
    for attempt in range(3):
        assert sent(actions, call) == ["x2"]
        actions = driver.end(call, "x2", it.Ending.NUMBER_BUSY, attempt=attempt)
    assert answers(actions, call) == [it.Refuse(call, SETTINGS.release_guard_ns)]  # nobody to make room for
    call, _ = driver.offer(2)
    actions = driver.end(call, "x2", it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)
    assert answers(actions, call) == [it.Fail(call)]


def test_moments_are_forgotten_also_when_nobody_counts_them() -> None:
    """A long calm day would else fill the memory with the times of calls that stood."""
    times = Times(10 * S)
    for second in range(100):
        times.add(second * S)
    assert len(times.moments) <= 10


def test_the_own_processor_is_trusted_again_soon_after_it_hung() -> None:
    """A hang left it curbed for 8 s more: no report tells what it takes, as it is told of far ends."""
    own = PolicyDriver().policy.own
    for call in range(600):
        own.asked.add(94 * S + call * S // 100)
    own.observe(1.5, 100 * S, 0.0)
    for step in range(1, 8):
        own.curbed_at = now = 100 * S + step * S // 2  # calls press at the gate all the while
        own.observe(0.0, now, 0.0)
    assert own.state != 0 and 60 < own.rate < 110  # as many a second as callers and their redials ask for
