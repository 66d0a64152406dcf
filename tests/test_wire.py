"""The adapter: what it reads, what it writes, and what it says of bad input."""

from __future__ import annotations

import io
import json

import pytest

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.drill import Drill, RecentNames

OPTIONS = json.dumps(
    {
        "classes": [{"name": "plain", "onTimeNs": 1_500_000_000, "deadlineNs": 9_000_000_000, "new": 1}],
        "familyInfo": {"ownNumber": 0, "poolsByClass": None, "layout": "network"},
        "report": {"how": "answers", "names": ["idle", "circuits", "moon", "latency_ms"]},
        "neverMet": {"x": 1},
    }
)
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
    out, errors = io.StringIO(), io.StringIO()
    status = Drill(out, errors).run(io.StringIO(text))
    return out.getvalue().splitlines(), errors.getvalue().splitlines(), status


def batch(*lines: str) -> str:
    return START + "\n".join(("BATCH tsNs=2000 n=1", "TO i=3", *lines, "EOB", ""))


JOB = "JOB_IN msgId=c1 class=plain targetKey=n/1 timeBudgetNs=3000000000 farEnd=1 units=1 advisedRoute=-1"


def test_a_call_is_placed_and_each_batch_is_closed_by_its_index() -> None:
    out, errors, status = play(batch(JOB))
    assert "PLACE msgId=c1 exchange=south" in out and out[-1] == "EOR n=1" and "EOR n=0" in out
    assert not errors and status == 0


@pytest.mark.parametrize(
    ("line", "wanted"),
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
def test_what_is_malformed_gets_one_message_naming_line_and_field(line: str, wanted: str) -> None:
    out, errors, status = play(batch(JOB, line))
    assert len(errors) == 1 and errors[0].startswith("line 12:") and wanted in errors[0]
    assert out[-1] == "EOR n=1" and status == 0


def test_unknown_messages_fields_and_report_names_are_skipped() -> None:
    report = "PROBED exchange=south ending=served lagNs=0 load=4,60,9,12 colour=red"
    out, errors, _ = play(batch("WHISTLE tune=3", report, JOB))
    assert not errors and "PLACE msgId=c1 exchange=south" in out


def test_absent_figures_are_not_load() -> None:
    report = wire.read_report({"load": "4,60,-1,-1,nan"}, ("idle", "circuits", "latency_ms", "queue", "util"))
    assert report == it.LoadReport(free_circuits=4, group_size=60)


def test_a_cut_off_batch_is_named_and_ends_with_status_0() -> None:
    _, errors, status = play(START + "BATCH tsNs=3 n=1\n")
    assert status == 0 and len(errors) == 1 and "EOB" in errors[0]


def test_a_killed_instance_is_forgotten_and_may_begin_again() -> None:
    again = START.splitlines()[2:-1]
    out, errors, _ = play(batch("KILL", *again, JOB))
    assert "PLACE msgId=c1 exchange=south" in out and not errors


def test_instances_share_nothing() -> None:
    both = START.replace("EOB", "TO i=4\n" + "\n".join(START.splitlines()[2:-1]) + "\nEOB")
    out, _, _ = play(both + "\n".join(("BATCH tsNs=2000 n=1", "TO i=4", JOB, "EOB", "")))
    alone, _, _ = play(batch(JOB))
    assert [line for line in out if "PLACE" in line] == [line for line in alone if "PLACE" in line]


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
def test_causes(code: int, cause: it.FailureCause, wait_ns: int) -> None:
    assert wire.read_cause(code) == (cause, wait_ns)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"classes": ()}, "classes"),
        ({"cold_share": 0.0}, "cold_share"),
        ({"attempt_limit": 0}, "attempt_limit"),
        ({"release_guard_ns": -1}, "release_guard_ns"),
    ],
)
def test_unusable_settings_are_named(changes: dict[str, object], named: str) -> None:
    fields: dict[str, object] = {"classes": (it.CallClass("a", 1, 2),), **changes}
    with pytest.raises(ValueError, match=named):
        it.Settings(**fields)  # type: ignore[arg-type]


def test_every_action_has_its_line() -> None:
    assert wire.write_action(it.Refuse("c", 5)) == "REFUSE msgId=c notBeforeForNs=5"
    assert wire.write_action(it.SetUp("c", "x", 9)) == "PLACE msgId=c exchange=x stopAtNs=9"
    assert wire.write_action(it.Fail("c")) == "GIVE_UP msgId=c"
    assert wire.write_action(it.CancelAttempt("c", 1)) == "ABORT_ATTEMPT msgId=c attempt=1"
    assert wire.write_action(it.Probe("x")) == "CHECK exchange=x"
    assert wire.write_action(it.SetTimer(4, 2)) == "SET_ALARM afterNs=4 label=2"
    assert wire.write_action(it.FollowList()) == "TRACK want=1"
    assert wire.write_action(it.Note("a b")) == "SAY_LOG reasonText=a b"


def test_names_met_long_ago_are_forgotten_and_the_listed_ones_kept() -> None:
    known = RecentNames(most=3)
    for turn in range(50):
        known.add(f"call-{turn}")
        known.add("listed again and again")
    assert len(known) == 3 and "listed again and again" in known
    assert "call-49" in known and "call-0" not in known
