"""Regression tests of `Policy` alone: one for each failure that a run of the whole system has shown."""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowkeel import interface as it
from arrowkeel.state import SlidingWindow
from tests.conftest import NS_PER_MS, NS_PER_S, SETTINGS, PolicyDriver, final_answers, sent_to


def test_a_full_processor_gets_no_calls_for_the_validity_time() -> None:
    """Prevents a rejected call from being sent back to the full processor at once (incident i6a95c2)."""
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    actions = driver.end_attempt(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.wait(25)
    others = [action for _ in range(20) for action in driver.offer(2)[1]]
    assert "x2" not in sent_to(others)
    assert sent_to(actions + driver.wait(800), call) in ([], ["x2"])


def test_a_full_processor_beyond_a_tandem_throttles_the_destination_not_the_tandem() -> None:
    driver = PolicyDriver()
    driver.report_circuits("x2", 0)
    call, actions = driver.offer(2)
    tandem = sent_to(actions, call)[0]
    driver.end_attempt(call, tandem, it.Ending.REJECTED, it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL)
    driver.wait(25)
    assert not sent_to(driver.offer(2)[1])
    assert sent_to(driver.offer(int(tandem[1:]))[1]) == [tandem]


def test_a_busy_number_is_gapped_and_its_exchange_is_not() -> None:
    driver = PolicyDriver()
    call, _ = driver.offer(2, number_called="hot")
    driver.end_attempt(call, "x2", it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)
    redial, actions = driver.offer(2, number_called="hot")
    assert not sent_to(actions) and final_answers(actions, redial)
    assert sent_to(driver.offer(2)[1]) == ["x2"]


def test_a_redial_after_the_first_target_leaves_the_last_circuits_to_new_calls() -> None:
    driver = PolicyDriver()
    driver.report_circuits("x2", 0)
    for exchange in ("x1", "x3", "x4"):
        driver.report_circuits(exchange, 0)
    first, _ = driver.offer(2, number_called="again", class_name="worthy")
    assert final_answers(driver.wait(1400), first)
    driver.wait(300)
    driver.report_circuits("x2", 1)
    redial, actions = driver.offer(2, number_called="again", class_name="worthy")
    assert not sent_to(actions, redial)
    assert sent_to(driver.offer(2, class_name="worthy")[1]) == ["x2"]


def test_the_last_circuits_are_reserved_against_transit_calls_and_calls_by_way_of_a_tandem() -> None:
    driver = PolicyDriver()
    for exchange in ("x1", "x2", "x3", "x4"):
        driver.report_circuits(exchange, 3)
    assert not sent_to(driver.offer(2, transit=True, sender_or_advised_tandem=1)[1])
    driver.report_circuits("x2", 0)
    assert not sent_to(driver.offer(2)[1])
    assert sent_to(driver.offer(3)[1]) == ["x3"]


def make_silent(driver: PolicyDriver) -> None:
    """For two seconds x2 answers nothing, while x1 and x3 answer as always."""
    for _ in range(40):
        driver.offer(2)
        for exchange in ("x1", "x3"):
            call, _ = driver.offer(int(exchange[1:]))
            driver.establish(call, exchange)
            driver.report_circuits(exchange, 20)
        driver.report_circuits("x2", 20)
        driver.wait(50)


def test_a_silent_exchange_gets_only_trial_calls_and_the_others_are_unaffected() -> None:
    driver = PolicyDriver()
    make_silent(driver)
    trials = [action for _ in range(40) for action in driver.offer(2)[1] + driver.wait(50)]
    assert 0 < sent_to(trials).count("x2") <= 4
    assert sent_to(driver.offer(1)[1]) == ["x1"]


def test_a_silent_exchange_is_used_again_after_one_answer() -> None:
    driver = PolicyDriver()
    make_silent(driver)
    actions = [action for _ in range(50) for action in driver.offer(2)[1] + driver.wait(50)]
    trial = next(a for a in actions if isinstance(a, it.SetUp) and a.exchange == "x2")
    driver.establish(trial.call, "x2")
    sent_count = 0
    for _ in range(100):
        for action in driver.offer(2)[1] + driver.wait(50):
            if isinstance(action, it.SetUp) and action.exchange == "x2":
                driver.establish(action.call, "x2")
                driver.report_circuits("x2", 20)
                sent_count += 1
    assert sent_count > 8


def test_dead_exchanges_do_not_overload_the_local_processor() -> None:
    """Missing answers of dead exchanges are no local delay (incident i243dd2).

    Most exchanges were dead, and the remaining ones refused the calls between each other.
    """
    driver = PolicyDriver()
    for _ in range(40):
        for number in (2, 3, 4):
            driver.offer(number)
            driver.report_circuits(f"x{number}", 20)
        call, _ = driver.offer(1)
        driver.establish(call, "x1")
        driver.report_circuits("x1", 20)
        driver.wait(50)
    driver.wait(4000)
    assert sent_to(driver.offer(1)[1]) == ["x1"]


def test_a_stall_of_the_own_process_is_not_taken_for_slow_exchanges() -> None:
    """After a pause of the controller itself every outcome looks late (incident i3468b7)."""
    driver = PolicyDriver()
    calls = [(driver.offer(number)[0], f"x{number}") for number in (1, 2, 3, 4)]
    for call, exchange in calls:
        driver.establish(call, exchange)
    calls = [(driver.offer(number)[0], f"x{number}") for number in (1, 2, 3, 4)]
    driver.now_ns += 900 * NS_PER_MS
    driver.send_events(*(it.CallEstablished(call, 0, exchange, 900 * NS_PER_MS) for call, exchange in calls))
    driver.wait(50)
    assert sent_to(driver.offer(1)[1]) == ["x1"]


def test_delay_towards_all_exchanges_throttles_calls_of_the_local_processor() -> None:
    driver = PolicyDriver()
    for delay in (50, 900, 1200, 1400):
        for number in (1, 2, 3, 4):
            call, _ = driver.offer(number)
            driver.establish(call, f"x{number}", delay_ms=delay)
            driver.report_circuits(f"x{number}", 20)
        driver.wait(25)
    attempts = [sent_to(driver.offer(1 + index % 4)[1]) for index in range(40)]
    assert sum(map(bool, attempts)) < 20


@pytest.mark.parametrize(
    ("reporting", "report"),
    [
        (it.LoadReporting.IN_ANSWERS, it.LoadReport(20, 60, reduction_share=0.9)),
        (it.LoadReporting.ON_PROBE, it.LoadReport(20, 60, wait_ns=2e9)),
        (it.LoadReporting.IN_ANSWERS, it.LoadReport(20, 60, utilization=5.0, queued_messages=1e12)),
    ],
)
def test_a_reported_load_throttles_calls(reporting: it.LoadReporting, report: it.LoadReport) -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=reporting, may_probe=True))
    driver.send_events(it.ProbeAnswer("x2", it.Ending.COMPLETED, 5, report))
    driver.wait(25)
    assert len(sent_to([a for _ in range(20) for a in driver.offer(2)[1]])) < 10
    assert sent_to(driver.offer(1)[1]) == ["x1"]


def test_reports_without_processor_figures_are_not_load() -> None:
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=it.LoadReporting.IN_ANSWERS))
    assert len(sent_to([a for _ in range(15) for a in driver.offer(2)[1]])) == 15


def test_contradictory_events_are_tolerated() -> None:
    driver = PolicyDriver()
    twice = (it.ListedExchange("x2", 2), it.ListedExchange("x2", 2, it.ExchangeStatus.DRAINING))
    driver.send_events(it.ExchangeList(it.ListKind.CHANGES, twice), it.ExchangeList(it.ListKind.FAILED))
    driver.report_circuits("x1", 90, total=60)
    driver.end_attempt("never", "x1", it.Ending.INTERRUPTED)
    driver.send_events(
        it.CallerLeft("never"), it.ProbeAnswer("nowhere", it.Ending.NO_ANSWER), it.PeerMessage(3, b"x")
    )
    assert sent_to(driver.offer(1)[1]) == ["x1"] and not sent_to(driver.offer(2)[1])


def test_pools_are_served_first_choice_then_another_pool_of_the_class() -> None:
    pool_settings = replace(
        SETTINGS,
        own_number=-1,
        is_mesh=False,
        classes=(it.CallClass("plain", 1500 * NS_PER_MS, 9 * NS_PER_S, exchange_numbers=(1, 3)),),
    )
    driver = PolicyDriver(settings=pool_settings)
    assert sent_to(driver.offer(1)[1]) == ["x1"]
    driver.report_circuits("x1", 0)
    assert sent_to(driver.offer(1)[1]) == ["x3"]


def is_refused_at_once(actions: list[it.Action], call: str) -> bool:
    """Whether these actions refuse the call with the longest advice to redial, and are its only answer."""
    return final_answers(actions, call) == [it.Refuse(call, SETTINGS.max_redial_after_ns)]


def test_a_call_to_a_gone_or_unknown_exchange_is_answered_at_once() -> None:
    """A call is queued only while it can still be established, never to keep its caller from redialling."""
    driver = PolicyDriver()
    driver.send_events(
        it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange("x2", 2, it.ExchangeStatus.GONE),))
    )
    for destination in (2, 77):
        call, actions = driver.offer(destination)
        assert is_refused_at_once(actions, call)


def test_a_call_whose_next_attempt_would_come_too_late_is_answered_at_once() -> None:
    driver = PolicyDriver()
    # The exchange is silent, and its next trial call is over a second away.
    driver.policy.routes["x2"].processor.mark_silent(driver.now_ns, 1.25)
    call, actions = driver.offer(2)
    assert is_refused_at_once(actions, call)
    call, _ = driver.offer(1)
    driver.wait(200)
    # The local processor is down.
    actions = driver.end_attempt(call, "x1", it.Ending.NOT_SENT, it.FailureCause.PROCESSOR_FULL)
    assert is_refused_at_once(actions, call)


def test_a_call_without_a_group_and_with_both_tandems_tried_is_answered_at_once() -> None:
    driver = PolicyDriver()
    driver.policy.routes["x2"].circuits_free = driver.policy.routes["x2"].circuits_total = 0
    call, actions = driver.offer(2)
    for attempt in range(2):
        assert not final_answers(actions)
        tandem = sent_to(actions, call)[0]
        actions = driver.end_attempt(
            call, tandem, it.Ending.REJECTED, it.FailureCause.RETURNED_BY_TANDEM, attempt
        )
    assert is_refused_at_once(actions, call)


def test_a_call_that_can_still_be_sent_is_queued() -> None:
    driver = PolicyDriver(circuits_free=0)
    call, actions = driver.offer(2)
    assert not final_answers(actions) and not sent_to(actions)
    assert sent_to(driver.report_circuits("x2", 5), call) + sent_to(driver.wait(25), call) == ["x2"]


def test_a_call_is_not_queued_for_an_admission_that_comes_after_its_time() -> None:
    driver = PolicyDriver()
    processor = driver.policy.routes["x2"].processor
    first, _ = driver.offer(2)
    driver.end_attempt(first, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.send_events(it.CallerLeft(first))
    driver.wait(25)
    assert processor.expires_at_ns - driver.now_ns > 1500 * NS_PER_MS, (
        "no pending set-up, no reports: blocked for the validity time"
    )
    call, actions = driver.offer(2)
    assert is_refused_at_once(actions, call)


def test_a_call_that_would_be_late_is_answered_at_once_during_overload() -> None:
    """Prevents queueing late calls only to refuse them later (incident i334348: a thousand at a time)."""
    driver = PolicyDriver()
    local_processor, processor = driver.policy.local_processor, driver.policy.routes["x2"].processor
    # The local processor is in the overload state (1).
    local_processor.state, local_processor.expires_at_ns, local_processor.permitted_rate_per_s = (
        1,
        driver.now_ns + 60 * NS_PER_S,
        100.0,
    )
    processor.delay_ns, processor.measured_at_ns = 1600.0 * NS_PER_MS, driver.now_ns
    call, actions = driver.offer(2)
    assert is_refused_at_once(actions, call)
    local_processor.state = 0
    assert sent_to(driver.offer(2)[1]) == ["x2"], "nothing is overloaded: late is better than never"


def test_a_blocked_processor_does_not_prolong_its_own_state() -> None:
    """The validity time must not grow because the block itself makes calls rare.

    Each block lasted twice as long as designed while only the calls that were let pass were counted.
    """
    driver = PolicyDriver()
    for _ in range(400):
        call, actions = driver.offer(2)
        if sent_to(actions):
            driver.end_attempt(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
        driver.wait(50)
    processor = driver.policy.routes["x2"].processor
    assert (
        processor.sent.rate_per_s(driver.now_ns) < processor.demand.rate_per_s(driver.now_ns) / 5
        and processor.validity_ns(driver.now_ns) == 2 * NS_PER_S
    )


def test_intervals_shrink_with_the_targets() -> None:
    """With targets of half a second, a block of several seconds outlived the overload behind it."""
    short_targets = replace(
        SETTINGS, classes=(it.CallClass("plain", target_ns=500 * NS_PER_MS, deadline_ns=3 * NS_PER_S),)
    )
    remaining_ns = []
    for settings in (SETTINGS, short_targets):
        driver = PolicyDriver(settings=settings)
        for _ in range(10):
            call, _ = driver.offer(2)
            driver.end_attempt(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
            driver.send_events(it.CallerLeft(call))
        driver.wait(25)
        remaining_ns.append(driver.policy.routes["x2"].processor.expires_at_ns - driver.now_ns)
    assert 2 * remaining_ns[1] < remaining_ns[0] and remaining_ns[1] > 0


def test_below_the_overload_threshold_the_rate_rises_at_once_to_an_equal_share_of_the_reported_one() -> None:
    """A rate that only grows step by step from one set-up per second lags behind a recovered processor.

    It took five seconds while the processor answered within 30 ms.
    """
    driver = PolicyDriver(settings=replace(SETTINGS, reporting=it.LoadReporting.IN_ANSWERS))
    call, _ = driver.offer(2)
    driver.end_attempt(call, "x2", it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)
    driver.send_events(
        it.ProbeAnswer("x2", it.Ending.COMPLETED, 0, it.LoadReport(20, 60, max_set_ups_per_s=60.0))
    )
    sent_count = 0
    for _ in range(200):  # five seconds, two of them in the blocking state
        for action in driver.offer(2)[1] + driver.wait(25):
            if isinstance(action, it.SetUp):
                sent_count += 1
                driver.establish(action.call, "x2", delay_ms=30)
                driver.report_circuits("x2", 20)
    assert sent_count > 25, "a fifth of 60 per second is 12, for nearly three seconds"


def send_overtaken_call(driver: PolicyDriver, tandem: str = "") -> tuple[str, list[it.Action]]:
    """Leaves a set-up for x2 unanswered while three later ones are answered.

    The set-up goes to x2 itself, or by way of a tandem if `tandem` is not empty. Returns the call and an
    empty list.
    """
    if tandem:
        driver.report_circuits("x2", 0)
    lost, actions = driver.offer(2)
    assert not tandem or sent_to(actions, lost) != ["x2"]
    driver.report_circuits("x2", 20)
    for _ in range(3):
        driver.wait(25)
        later, _ = driver.offer(2)
        driver.wait(25)
        driver.establish(later, "x2")
    return lost, []


def test_an_overtaken_set_up_is_cancelled_and_sent_again() -> None:
    """A processor may answer two thirds of its set-ups at once and the others never.

    Without the cancellation those calls wait until their time is over.
    """
    driver = PolicyDriver(replace(SETTINGS, may_cancel=True))
    lost, actions = send_overtaken_call(driver)
    actions += driver.wait(75)
    assert [a for a in actions if not isinstance(a, it.SetTimer)] == [it.CancelAttempt(lost, 0)]
    driver.end_attempt(lost, "x2", it.Ending.CANCELLED)
    assert not sent_to(driver.wait(375), lost) and sent_to(driver.wait(75), lost) == ["x2"]


@pytest.mark.parametrize(
    "case", ["answered after all", "behind a tandem", "too late to send again", "not permitted"]
)
def test_nothing_else_is_cancelled(case: str) -> None:
    driver = PolicyDriver(replace(SETTINGS, may_cancel=case != "not permitted"))
    lost, actions = send_overtaken_call(driver, "tandem" if case == "behind a tandem" else "")
    if case == "answered after all":
        driver.establish(lost, "x2")
    if case == "too late to send again":
        driver.now_ns += 2500 * NS_PER_MS
    actions += driver.wait(100)
    assert not [a for a in actions if isinstance(a, it.CancelAttempt)]


@pytest.mark.parametrize(
    ("cause", "has_circuits"), [(it.FailureCause.UNSPECIFIED, True), (it.FailureCause.NO_CIRCUIT, False)]
)
def test_a_set_up_that_came_too_late_says_nothing_about_the_group(
    cause: it.FailureCause, has_circuits: bool
) -> None:
    """A set-up that waited on its connection past its time is not sent either, but the group is not full."""
    driver = PolicyDriver()
    call, _ = driver.offer(2)
    driver.end_attempt(call, "x2", it.Ending.NOT_SENT, cause)
    assert (sent_to(driver.offer(2)[1]) == ["x2"]) is has_circuits


def test_a_signalling_fault_is_tried_again_and_a_busy_number_is_not() -> None:
    """A signalling error must not fail the call (incident raa7010).

    An exchange ended four of five set-ups with an error at once, and all these calls failed.
    """
    driver = PolicyDriver(replace(SETTINGS, attempt_limit=3))
    call, actions = driver.offer(2)
    for attempt in range(3):
        assert sent_to(actions, call) == ["x2"]
        actions = driver.end_attempt(call, "x2", it.Ending.NUMBER_BUSY, attempt=attempt)
    # The caller may redial soon, because no room has to be made for other calls.
    assert final_answers(actions, call) == [it.Refuse(call, SETTINGS.release_guard_ns)]
    call, _ = driver.offer(2)
    actions = driver.end_attempt(call, "x2", it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)
    assert final_answers(actions, call) == [it.Fail(call)]


def test_expired_times_are_dropped_also_when_nobody_counts_them() -> None:
    """Otherwise the times of established calls would fill the memory on a long day without overload."""
    window = SlidingWindow(10 * NS_PER_S)
    for second in range(100):
        window.add(second * NS_PER_S)
    assert len(window.times_ns) <= 10


def test_the_rate_of_the_local_processor_recovers_soon_after_it_hung() -> None:
    """After a hang the local processor stayed throttled for 8 s.

    Unlike a remote exchange it reports no rate that it accepts, so the rate has to grow by itself.
    """
    local_processor = PolicyDriver().policy.local_processor
    for call in range(600):
        local_processor.demand.add(94 * NS_PER_S + call * NS_PER_S // 100)
    local_processor.apply_load(1.5, 100 * NS_PER_S, 0.0)
    for step in range(1, 8):
        # Calls are throttled all the time.
        local_processor.throttled_at_ns = now_ns = 100 * NS_PER_S + step * NS_PER_S // 2
        local_processor.apply_load(0.0, now_ns, 0.0)
    # The rate is as high as what callers ask for, with their redials.
    assert local_processor.state != 0 and 60 < local_processor.permitted_rate_per_s < 110
