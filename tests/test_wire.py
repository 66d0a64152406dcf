"""The simulator's line format and adapter: events read, actions written, and errors reported on bad input."""

from __future__ import annotations

import io
import json

import pytest

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.drill import RecentNames, SimulatorAdapter

OPTIONS = json.dumps(
    {
        "classes": [{"name": "plain", "onTimeNs": 1_500_000_000, "deadlineNs": 9_000_000_000, "new": 1}],
        "familyInfo": {"ownNumber": 0, "poolsByClass": None, "layout": "network"},
        "report": {"how": "answers", "names": ["idle", "circuits", "unknown_figure", "latency_ms"]},
        "unknownKey": {"x": 1},
    }
)
# A first batch: it starts controller 3 at exchange "north" and gives it a list of two exchanges.
START = f"""BATCH tsNs=1000 n=0
TO i=3
BEGIN salt=5 options={OPTIONS}
ROSTER bank=0 hosts=2
EXCHANGE exchange=north locality=a shape=k placeNo=0 health=IN rating=1
EXCHANGE exchange=south locality=a shape=k placeNo=1 health=IN rating=1
BACKENDS_CHANGED how=disk rev=1 bank=0
EOB
"""


def play(text: str) -> tuple[list[str], list[str], int]:
    """Runs the adapter on the text; returns its lines of replies, its lines of errors and its exit status."""
    replies, errors = io.StringIO(), io.StringIO()
    status = SimulatorAdapter(replies, errors).run(io.StringIO(text))
    return replies.getvalue().splitlines(), errors.getvalue().splitlines(), status


def batch(*lines: str) -> str:
    """The first batch, and a second one with these lines for controller 3."""
    return START + "\n".join(("BATCH tsNs=2000 n=1", "TO i=3", *lines, "EOB", ""))


CALL_OFFERED = (
    "JOB_IN msgId=c1 class=plain targetKey=n/1 timeBudgetNs=3000000000 farEnd=1 units=1 advisedRoute=-1"
)


def test_call_is_set_up_and_each_batch_ends_with_its_index() -> None:
    replies, errors, status = play(batch(CALL_OFFERED))
    assert "PLACE msgId=c1 exchange=south" in replies and replies[-1] == "EOR n=1" and "EOR n=0" in replies
    assert not errors and status == 0


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("OPENED msgId=c9 attempt=0 exchange=south lagNs=5", "msgId"),
        ("OPENED msgId=c1 attempt=0 exchange=west lagNs=5", "exchange"),
        ("JOB_IN msgId=c2 class=plain farEnd=1", "timeBudgetNs"),
        ("JOB_IN msgId=c2 class=plain timeBudgetNs=soon farEnd=1", "timeBudgetNs"),
        ("REPORT_BACK msgId=c1 ending=odd exchange=south attempt=0", "ending"),
        ("PROBED exchange=south ending=served load=a,2", "load"),
        ("BACKENDS_CHANGED how=diff rev=2 bank=7", "bank"),
        ("REMINDER label", "label"),
        ("JOB_IN msgId=c2 class=plain timeBudgetNs=5 farEnd=1 transit=2", "transit"),
    ],
)
def test_malformed_line_gets_one_error_with_line_and_field(line: str, field: str) -> None:
    replies, errors, status = play(batch(CALL_OFFERED, line))
    assert len(errors) == 1 and errors[0].startswith("line 12:") and field in errors[0]
    assert replies[-1] == "EOR n=1" and status == 0


def test_unknown_messages_fields_and_report_names_are_skipped() -> None:
    report = "PROBED exchange=south ending=served lagNs=0 load=4,60,9,12 colour=red"
    replies, errors, _ = play(batch("UNKNOWN_MESSAGE a=3", report, CALL_OFFERED))
    assert not errors and "PLACE msgId=c1 exchange=south" in replies


def test_negative_and_nan_figures_count_as_absent() -> None:
    report = wire.read_report({"load": "4,60,-1,-1,nan"}, ("idle", "circuits", "latency_ms", "queue", "util"))
    assert report == it.LoadReport(free_circuits=4, group_size=60)


def test_input_ending_within_a_batch_is_reported_and_exits_with_0() -> None:
    _, errors, status = play(START + "BATCH tsNs=3 n=1\n")
    assert status == 0 and len(errors) == 1 and "EOB" in errors[0]


def test_killed_controller_may_begin_again() -> None:
    again = START.splitlines()[2:-1]
    replies, errors, _ = play(batch("KILL", *again, CALL_OFFERED))
    assert "PLACE msgId=c1 exchange=south" in replies and not errors


def test_controllers_share_nothing() -> None:
    both = START.replace("EOB", "TO i=4\n" + "\n".join(START.splitlines()[2:-1]) + "\nEOB")
    replies, _, _ = play(both + "\n".join(("BATCH tsNs=2000 n=1", "TO i=4", CALL_OFFERED, "EOB", "")))
    only_one, _, _ = play(batch(CALL_OFFERED))
    assert [line for line in replies if "PLACE" in line] == [line for line in only_one if "PLACE" in line]


@pytest.mark.parametrize(
    ("code", "cause", "wait_ns"),
    [
        (1, it.FailureCause.NO_CIRCUIT, 0),
        (2, it.FailureCause.RETURNED_BY_TANDEM, 0),
        (18, it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL, 0),
        (3 + 16 * 40, it.FailureCause.PROCESSOR_FULL, 40_000_000),
        (4, it.FailureCause.LINES_BUSY, 0),
    ],
)
def test_clear_code_gives_cause_and_wait(code: int, cause: it.FailureCause, wait_ns: int) -> None:
    assert wire.read_cause(code) == (cause, wait_ns)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"classes": ()}, "classes"),
        ({"cold_share": 0.0}, "cold_share"),
        ({"attempt_limit": 0}, "attempt_limit"),
        ({"release_guard_ns": -1}, "release_guard_ns"),
    ],
)
def test_settings_out_of_range_raise_an_error_with_the_field(changes: dict[str, object], field: str) -> None:
    fields: dict[str, object] = {"classes": (it.CallClass("a", 1, 2),), **changes}
    with pytest.raises(ValueError, match=field):
        it.Settings(**fields)  # type: ignore[arg-type]


def test_every_action_is_written_as_its_line() -> None:
    assert wire.write_action(it.Refuse("c", 5)) == "REFUSE msgId=c notBeforeForNs=5"
    assert wire.write_action(it.SetUp("c", "x", 9)) == "PLACE msgId=c exchange=x stopAtNs=9"
    assert wire.write_action(it.Fail("c")) == "GIVE_UP msgId=c"
    assert wire.write_action(it.CancelAttempt("c", 1)) == "ABORT_ATTEMPT msgId=c attempt=1"
    assert wire.write_action(it.Probe("x")) == "CHECK exchange=x"
    assert wire.write_action(it.SetTimer(4, 2)) == "SET_ALARM afterNs=4 label=2"
    assert wire.write_action(it.FollowList()) == "TRACK want=1"
    assert wire.write_action(it.Note("a b")) == "SAY_LOG reasonText=a b"


def test_recent_names_drop_the_oldest_and_keep_a_name_that_is_added_again() -> None:
    names = RecentNames(limit=3)
    for index in range(50):
        names.add(f"call-{index}")
        names.add("added again and again")
    assert len(names) == 3 and "added again and again" in names
    assert "call-49" in names and "call-0" not in names
