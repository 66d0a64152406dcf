"""The wire: lines of text to events, actions to lines of text. No decision is made here."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from arrowkeel import interface as it

ENDINGS = {
    "served": it.Ending.COMPLETED,
    "server_error": it.Ending.NUMBER_BUSY,
    "turned_away": it.Ending.REJECTED,
    "no_answer": it.Ending.NO_ANSWER,
    "no_connection": it.Ending.NO_CONNECTION,
    "connection_lost": it.Ending.INTERRUPTED,
    "called_off": it.Ending.CANCELLED,
    "not_sent": it.Ending.NOT_SENT,
}
CAUSES = {
    0: it.FailureCause.UNSPECIFIED,
    1: it.FailureCause.NO_CIRCUIT,
    2: it.FailureCause.RETURNED_BY_TANDEM,
    3: it.FailureCause.PROCESSOR_FULL,
    4: it.FailureCause.LINES_BUSY,
}
CODE_MASK = 16
BEYOND_FULL_CODE = 18
PROCESSOR_FULL_CODE = 3
MS = 1_000_000
LISTINGS = {
    "IN": it.ExchangeStatus.SERVING,
    "LAME": it.ExchangeStatus.DRAINING,
    "OUT": it.ExchangeStatus.GONE,
}
LIST_KINDS = {
    "diff": it.ListKind.CHANGES,
    "snapshot": it.ListKind.COMPLETE,
    "disk": it.ListKind.REMEMBERED,
    "error": it.ListKind.FAILED,
}
REPORTING = {
    "none": it.LoadReporting.NONE,
    "answers": it.LoadReporting.IN_ANSWERS,
    "probe": it.LoadReporting.ON_PROBE,
}
# Wire name of a report value: field of LoadReport, factor to the field's unit.
REPORT_FIELDS = {
    "idle": ("free_circuits", 1.0),
    "circuits": ("group_size", 1.0),
    "inflight": ("set_ups_in_progress", 1.0),
    "queue": ("queued_messages", 1.0),
    "util": ("utilization", 1.0),
    "latency_ms": ("wait_ns", 1e6),
    "max_rate": ("max_set_ups_per_s", 1.0),
    "reduce": ("reduction_share", 1.0),
}
WHOLE_FIELDS = frozenset({"free_circuits", "group_size"})
TEXT_FIELDS = {"BEGIN": " options="}


T = TypeVar("T")


class MalformedError(ValueError):
    """A line that cannot be read; the text names the field."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Name of the message and its fields; a text field takes the rest of the line."""
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    marker = TEXT_FIELDS.get(name)
    if marker is not None:
        head, found, text = (" " + rest).partition(marker)
        if found:
            fields[marker.strip(" =")] = text
        rest = head.strip()
    for part in rest.split(" ") if rest else ():
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise MalformedError(f"field {part!r}: expected name=value")
        fields[key] = value
    return name, fields


def text(fields: Mapping[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise MalformedError(f"field {name}: missing")
    return value


def whole(fields: Mapping[str, str], name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise MalformedError(f"field {name}: missing")
        return default
    try:
        return int(value)
    except ValueError:
        raise MalformedError(f"field {name}: {value!r} is not a whole number") from None


def number(fields: Mapping[str, str], name: str, default: float) -> float:
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise MalformedError(f"field {name}: {fields[name]!r} is not a number") from None


def flag(fields: Mapping[str, str], name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise MalformedError(f"field {name}: {value!r} is neither 0 nor 1")
    return value == "1"


def one_of(fields: Mapping[str, str], name: str, choices: Mapping[str, T]) -> T:
    value = text(fields, name)
    if value not in choices:
        raise MalformedError(f"field {name}: {value!r} is unknown")
    return choices[value]


def read_report(fields: Mapping[str, str], names: tuple[str, ...]) -> it.LoadReport | None:
    row = fields.get("load")
    if row is None or row == "":
        return None
    values: dict[str, Any] = {}
    for name, cell in zip(names, row.split(","), strict=False):
        known = REPORT_FIELDS.get(name)
        if known is None:
            continue
        try:
            value = float(cell)
        except ValueError:
            raise MalformedError(f"field load: {cell!r} is not a number") from None
        if value >= 0 and value != float("inf"):  # -1 and what is no figure at all count as absent
            target, factor = known
            values[target] = int(value) if target in WHOLE_FIELDS else value * factor
    return it.LoadReport(**values)


def read_cause(code: int) -> tuple[it.FailureCause, int]:
    if code == BEYOND_FULL_CODE:
        return it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL, 0
    low, wait_ms = code % CODE_MASK, code // CODE_MASK
    return CAUSES.get(low, it.FailureCause.UNSPECIFIED), wait_ms * MS if low == PROCESSOR_FULL_CODE else 0


def read_entry(fields: Mapping[str, str]) -> it.ListedExchange:
    return it.ListedExchange(
        exchange=text(fields, "exchange"),
        number=whole(fields, "placeNo"),
        status=one_of(fields, "health", LISTINGS),
        zone=fields.get("locality", ""),
        machine_type=fields.get("shape", ""),
        rating=number(fields, "rating", 1.0),
        started_ns=whole(fields, "sinceNs", 0),
    )


def read_event(name: str, fields: Mapping[str, str], names: tuple[str, ...]) -> it.Event | None:
    """The event of one line, or None for a message that is not known. `names` are the report's values."""
    if name == "JOB_IN":
        return it.CallOffered(
            call=text(fields, "msgId"),
            class_name=text(fields, "class"),
            destination=whole(fields, "farEnd"),
            patience_ns=whole(fields, "timeBudgetNs"),
            number_called=fields.get("targetKey", ""),
            circuits=whole(fields, "units", 1),
            sender_or_advised_tandem=whole(fields, "advisedRoute", -1),
            redial=flag(fields, "resent"),
            transit=flag(fields, "transit"),
            was_interrupted=flag(fields, "cameBack"),
        )
    if name == "OPENED":
        return it.CallEstablished(
            text(fields, "msgId"),
            whole(fields, "attempt"),
            text(fields, "exchange"),
            whole(fields, "lagNs", 0),
        )
    if name == "REPORT_BACK":
        cause, wait_ns = read_cause(whole(fields, "clearCode", 0))
        return it.AttemptEnded(
            call=text(fields, "msgId"),
            attempt=whole(fields, "attempt"),
            exchange=fields.get("exchange", ""),
            ending=one_of(fields, "ending", ENDINGS),
            delay_ns=whole(fields, "lagNs", 0),
            call_over=flag(fields, "over"),
            cause=cause,
            reported_wait_ns=wait_ns,
            report=read_report(fields, names),
        )
    if name == "LAPSED":
        return it.CallerLeft(text(fields, "msgId"))
    if name == "REMINDER":
        return it.TimerExpired(whole(fields, "label"))
    if name == "PROBED":
        return it.ProbeAnswer(
            exchange=text(fields, "exchange"),
            ending=one_of(fields, "ending", ENDINGS),
            delay_ns=whole(fields, "lagNs", 0),
            report=read_report(fields, names),
        )
    if name == "MAIL":
        return it.PeerMessage(whole(fields, "by", -1))
    return None


def read_settings(options: str) -> tuple[it.Settings, tuple[str, ...]]:
    """Settings from the JSON text, with the names of the report's values. Unknown keys are skipped."""
    try:
        raw = json.loads(options)
    except ValueError as error:
        raise MalformedError(f"field options: not JSON ({error})") from None
    if not isinstance(raw, dict):
        raise MalformedError("field options: not a JSON object")
    try:
        return _settings(raw), tuple(str(name) for name in (raw.get("report") or {}).get("names") or ())
    except KeyError as error:
        raise MalformedError(f"field options: setting {error.args[0]} is missing") from None
    except (TypeError, AttributeError, ValueError, IndexError) as error:
        raise MalformedError(f"field options: {error}") from None


def _settings(raw: Mapping[str, Any]) -> it.Settings:
    family, allowed, rules = (raw.get(key) or {} for key in ("familyInfo", "permissions", "rules"))
    holds, pools = family.get("classHoldNs") or [], family.get("poolsByClass") or []
    classes = tuple(
        it.CallClass(
            name=str(entry["name"]),
            target_ns=int(entry["onTimeNs"]),
            deadline_ns=int(entry["deadlineNs"]),
            worth=float(entry.get("credit", 1.0)),
            late_worth=float(entry.get("lateWorth", 0.0)),
            holding_time_ns=int(holds[index]) if index < len(holds) else 10_000_000_000,
            exchange_numbers=tuple(int(pool) for pool in pools[index] or ()) if index < len(pools) else (),
        )
        for index, entry in enumerate(raw["classes"])
    )
    return it.Settings(
        classes=classes,
        own_number=int(family.get("ownNumber", -1)),
        controllers=int(raw.get("groupSize", 1)),
        controller_index=int(raw.get("rank", 0)),
        is_mesh=family.get("layout", "network") == "network",
        reporting=REPORTING.get((raw.get("report") or {}).get("how", "none"), it.LoadReporting.NONE),
        may_probe=bool(allowed.get("probes", False)),
        may_cancel=bool(allowed.get("cancel", False)),
        may_advise_redial=bool(allowed.get("retryAfter", False)),
        max_redial_after_ns=int(allowed.get("maxRetryAfterNs", 0)),
        attempt_limit=int(allowed.get("tryLimit", 1)),
        release_guard_ns=int(family.get("guardNs", 0)),
        set_up_retransmit_ns=int(family.get("retransmitNs", 0)),
        list_on_request=raw.get("registryMode", "push") == "ask",
        list_age_limit_ns=int(rules.get("mustAskInNs", 10_000_000_000)),
        cold_share=float(rules.get("coldShare", 0.3)),
        cold_multiple=float(rules.get("tipMultiple", 2.0)),
        cold_window_ns=int(rules.get("fallNs", 2_000_000_000)),
        warm_after_ns=int(rules.get("warmAfterNs", 15_000_000_000)),
    )


def write_action(action: it.Action) -> str:
    match action:
        case it.SetUp(call, exchange, abandon_at_ns):
            tail = f" stopAtNs={abandon_at_ns}" if abandon_at_ns else ""
            return f"PLACE msgId={call} exchange={exchange}{tail}"
        case it.Refuse(call, redial_after_ns):
            tail = f" notBeforeForNs={redial_after_ns}" if redial_after_ns else ""
            return f"REFUSE msgId={call}{tail}"
        case it.Fail(call):
            return f"GIVE_UP msgId={call}"
        case it.CancelAttempt(call, attempt):
            return f"ABORT_ATTEMPT msgId={call} attempt={attempt}"
        case it.Probe(exchange):
            return f"CHECK exchange={exchange}"
        case it.SetTimer(after_ns, label):
            return f"SET_ALARM afterNs={after_ns} label={label}"
        case it.FollowList():
            return "TRACK want=1"
        case it.Note(note):
            return f"SAY_LOG reasonText={note}"
