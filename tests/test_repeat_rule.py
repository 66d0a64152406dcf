"""Calls that may not simply be repeated: when they are sent again, refused or failed."""

from __future__ import annotations

import io
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.drill import SimulatorAdapter
from arrowkeel.net.codec import MessageType, Parameter
from arrowkeel.repeat_rule import NEVER_RAN
from tests.conftest import NS_PER_MS, NS_PER_S, SETTINGS, PolicyDriver, final_answers, sent_to
from tests.peers import CALL, Peer, Program, running_program
from tests.peers import SETTINGS as WIRE_SETTINGS

MEMORY_SPAN_NS = 1000 * NS_PER_MS
POSSIBLY_RAN = [each for each in it.Ending if each not in NEVER_RAN and each is not it.Ending.COMPLETED]
GUARD_MS = SETTINGS.release_guard_ns / NS_PER_MS + 50
REFUSED_CAUSES = (34, 42, 102)


def driver_for(
    repeat: it.Repeat, scope: it.DedupScope = it.DedupScope.ALL, memory_span_ns: int = MEMORY_SPAN_NS
) -> PolicyDriver:
    """A driver whose classes have these values; x1 and x3 are in one zone, the others in another."""
    classes = tuple(
        replace(each, repeat=repeat, dedup_scope=scope, memory_span_ns=memory_span_ns)
        for each in SETTINGS.classes
    )
    entries = tuple(it.ListedExchange(f"x{n}", n, zone="odd" if n % 2 else "even") for n in range(5))
    return PolicyDriver(replace(SETTINGS, classes=classes, may_cancel=True), entries)


def offer_and_lose(driver: PolicyDriver, ending: it.Ending, **changes: Any) -> tuple[str, list[it.Action]]:
    """Offers a call to x1 whose first attempt ends in that way; returns what follows in the guard time."""
    call, actions = driver.offer(1, **changes)
    assert sent_to(actions, call) == ["x1"]
    actions = driver.end_attempt(call, "x1", ending)
    return call, actions + driver.wait(GUARD_MS)


@pytest.mark.parametrize("is_transit", [False, True])
@pytest.mark.parametrize("ending", POSSIBLY_RAN)
def test_a_call_that_may_not_be_repeated_fails_at_once_after_an_attempt_that_may_have_run(
    ending: it.Ending, is_transit: bool
) -> None:
    """Guards against calls that run twice (issue 25, case 7)."""
    driver = driver_for(it.Repeat.NON_IDEMPOTENT)
    call, actions = driver.offer(1, transit=is_transit)
    actions = driver.end_attempt(call, "x1", ending)
    assert final_answers(actions, call) == [it.Fail(call)]
    assert sent_to(driver.wait(4000), call) == []


@pytest.mark.parametrize("repeat", it.Repeat)
@pytest.mark.parametrize("ending", [each for each in it.Ending if each in NEVER_RAN])
def test_every_class_keeps_its_retries_after_an_attempt_that_never_ran(
    repeat: it.Repeat, ending: it.Ending
) -> None:
    driver = driver_for(repeat, it.DedupScope.CELL)
    call, actions = offer_and_lose(driver, ending)
    actions += driver.wait(4000)
    assert sent_to(actions, call) or isinstance(final_answers(actions, call)[0], it.Refuse)


@pytest.mark.parametrize("ending", [it.Ending.INTERRUPTED, it.Ending.CANCELLED])
@pytest.mark.parametrize("repeat", [it.Repeat.READ_LIKE, it.Repeat.IDEMPOTENCY_KEY])
def test_classes_that_may_be_repeated_are_sent_again_after_an_attempt_that_may_have_run(
    repeat: it.Repeat, ending: it.Ending
) -> None:
    """Guards the promise beside the fault."""
    driver = driver_for(repeat, it.DedupScope.CELL)
    call, actions = offer_and_lose(driver, ending)
    assert sent_to(actions, call) == ["x1"]


def test_a_call_is_not_sent_again_once_the_exchanges_have_forgotten_the_first_attempt() -> None:
    driver = driver_for(it.Repeat.IDEMPOTENCY_KEY, it.DedupScope.CELL)
    call, _ = driver.offer(1)
    driver.wait(700)  # the release guard then ends after the memory span
    actions = driver.end_attempt(call, "x1", it.Ending.INTERRUPTED) + driver.wait(4000)
    assert sent_to(actions, call) == [] and final_answers(actions, call) == [it.Fail(call)]


@pytest.mark.parametrize(
    ("scope", "expected"),
    [
        (it.DedupScope.ALL, {"x2", "x3", "x4"}),
        (it.DedupScope.ZONE, {"x3"}),
        (it.DedupScope.CELL, set()),
    ],
)
def test_a_further_set_up_goes_only_where_repeats_are_discarded(
    scope: it.DedupScope, expected: set[str]
) -> None:
    """Guards against a second run by way of a tandem that does not know of the first."""
    used: set[str] = set()
    for _ in range(30):
        driver = driver_for(it.Repeat.IDEMPOTENCY_KEY, scope)
        call, _ = driver.offer(1)
        driver.report_circuits("x1", 0)  # from now on only a tandem is left
        actions = driver.end_attempt(call, "x1", it.Ending.INTERRUPTED) + driver.wait(GUARD_MS)
        used |= set(sent_to(actions, call))
        is_refusal_allowed = scope is it.DedupScope.ALL
        assert all(isinstance(each, it.Fail) or is_refusal_allowed for each in final_answers(actions, call))
    assert used <= expected and (used or not expected)


@pytest.mark.parametrize("repeat", it.Repeat)
def test_an_overtaken_set_up_is_cancelled_only_if_the_call_may_be_sent_again(repeat: it.Repeat) -> None:
    driver = driver_for(repeat, it.DedupScope.CELL, memory_span_ns=3 * NS_PER_S)
    lost, _ = driver.offer(1)
    actions = []
    for _ in range(6):
        driver.wait(25)
        other, _ = driver.offer(1)
        driver.wait(50)
        actions += driver.establish(other, "x1") + driver.wait(50)
    cancelled = [each.call for each in actions if isinstance(each, it.CancelAttempt)]
    assert (lost in cancelled) is (repeat is not it.Repeat.NON_IDEMPOTENT)


@settings(max_examples=150, deadline=None)
@given(
    st.sampled_from(it.Repeat),
    st.sampled_from(it.DedupScope),
    st.lists(st.tuples(st.sampled_from(it.Ending), st.integers(0, 900)), max_size=6),
    st.booleans(),
)
def test_no_sequence_of_endings_leads_to_a_repetition_that_the_class_forbids(
    repeat: it.Repeat, scope: it.DedupScope, endings: list[tuple[it.Ending, int]], is_group_full: bool
) -> None:
    """Plays attempts of one call against the rule as the wire page states it."""
    driver = driver_for(repeat, scope)
    call, actions = driver.offer(1)
    if is_group_full:
        driver.report_circuits("x1", 0)
    first_run: tuple[str, int] | None = None  # exchange and moment of the earliest attempt that may have run
    for attempt, (ending, after_ms) in enumerate(endings):
        sent = sent_to(actions, call)
        for answer in final_answers(actions, call):
            if isinstance(answer, it.Refuse) and first_run is not None:
                assert repeat is it.Repeat.READ_LIKE or (
                    repeat is it.Repeat.IDEMPOTENCY_KEY and scope is it.DedupScope.ALL
                )
        if not sent:
            break
        if first_run is not None and repeat is not it.Repeat.READ_LIKE:
            assert repeat is it.Repeat.IDEMPOTENCY_KEY
            assert driver.now_ns - first_run[1] <= MEMORY_SPAN_NS
            is_same_zone = (int(sent[0][1]) - int(first_run[0][1])) % 2 == 0
            assert (
                scope is it.DedupScope.ALL
                or (is_same_zone and scope is it.DedupScope.ZONE)
                or (sent[0] == first_run[0])
            )
        sent_at_ns = driver.now_ns
        driver.wait(after_ms)
        if ending not in NEVER_RAN and first_run is None:
            first_run = (sent[0], sent_at_ns)
        actions = driver.end_attempt(call, sent[0], ending, attempt=attempt)
        while not sent_to(actions, call) and not final_answers(actions, call):
            actions += driver.wait(25)
            if driver.now_ns > sent_at_ns + 10 * NS_PER_S:
                break


# The settings, the simulator's adapter and the built program


def class_settings(**changes: Any) -> dict[str, Any]:
    """The settings with changes to their class."""
    raw: dict[str, Any] = json.loads(json.dumps(WIRE_SETTINGS))
    raw["classes"][0].update(changes)
    return raw


@pytest.mark.parametrize("field", ["repeat", "dedupScope"])
def test_an_unknown_value_is_named(field: str) -> None:
    with pytest.raises(wire.MalformedInputError, match=field):
        wire.read_settings(json.dumps(class_settings(**{field: "sometimes"})))


@pytest.mark.parametrize("repeat", ["read_like", "idempotency_key", "non_idempotent"])
def test_the_simulators_adapter_keeps_the_rule(repeat: str) -> None:
    """Guards against a repetition in the simulator, whose lines carry the same decisions."""
    options = class_settings(repeat=repeat, dedupScope="cell", memorySpanNs=5 * NS_PER_S)
    replies = io.StringIO()
    lines = [
        "BATCH tsNs=1000000000 n=1",
        "TO i=0",
        f"BEGIN salt=7 options={json.dumps(options)}",
        "ROSTER bank=0 hosts=2",
        "EXCHANGE exchange=a locality=muscat shape=s placeNo=0 health=IN rating=1",
        "EXCHANGE exchange=b locality=muscat shape=s placeNo=1 health=IN rating=1",
        "BACKENDS_CHANGED how=disk rev=1 bank=0",
        "PROBED exchange=b ending=served load=9,9,-1",
        "JOB_IN msgId=m class=voice targetKey=k timeBudgetNs=9000000000 farEnd=1 units=1",
        "EOB",
        "BATCH tsNs=1100000000 n=2",
        "TO i=0",
        "REPORT_BACK msgId=m ending=connection_lost exchange=b attempt=0 lagNs=100000000",
        "EOB",
        "BATCH tsNs=1400000000 n=3",
        "TO i=0",
        "REMINDER label=0",
        "EOB",
    ]
    assert SimulatorAdapter(replies, io.StringIO()).run(io.StringIO("\n".join(lines))) == 0
    reply = replies.getvalue()
    is_repeatable = repeat != "non_idempotent"
    assert reply.count("PLACE msgId=m exchange=b") == (2 if is_repeatable else 1)
    assert ("GIVE_UP msgId=m" in reply) is not is_repeatable and "REFUSE" not in reply


def lose_answer(program: Program, way: str, connection: Peer) -> None:
    """Has the answer of the call, which has run, get lost in that way."""
    exchange = program.exchange
    match way:
        case "broken off":
            connection.socket.sendall(b"\x00\x40\x09")
            exchange.disconnect(connection, reset=False)
        case "malformed":
            connection.socket.sendall(b"\x00\x01\x00")
        case "reset":
            exchange.disconnect(connection, reset=True)
        case "signalling fault":
            connection.release(CALL, 47)


@pytest.mark.parametrize("way", ["broken off", "malformed", "reset", "signalling fault"])
@pytest.mark.parametrize("repeat", ["read_like", "non_idempotent"])
def test_the_program_sends_a_call_again_only_if_its_class_permits_it(
    tmp_path: Path, way: str, repeat: str
) -> None:
    """Guards against a call that is set up and run twice because its answer was lost (issue 25, case 7)."""
    with running_program(tmp_path, settings=class_settings(repeat=repeat)) as program:
        caller = program.connect_caller()
        caller.set_up(CALL)
        program.exchange.expect(MessageType.SET_UP, CALL)
        lose_answer(program, way, program.exchange.connection_of[CALL])
        if repeat == "non_idempotent":
            cause = caller.expect(MessageType.RELEASE, CALL).parameters[Parameter.CAUSE][0]
            assert cause not in REFUSED_CAUSES
        else:
            message = program.exchange.received.get(timeout=20)[1]
            while message.type != MessageType.SET_UP:
                message = program.exchange.received.get(timeout=20)[1]
            assert message.call == CALL
