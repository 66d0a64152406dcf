"""The simulator's line format: parses lines into events and settings, and formats actions as lines.

It also defines the meaning of load figures and clear codes, which the binary protocol uses as well. It makes
no decisions.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from arrowkeel import interface as it

# Values of `ending` in REPORT_BACK and PROBED.
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
# Values of the cause in `clearCode`, which is the cause plus 16 times a wait in milliseconds.
CAUSES = {
    0: it.FailureCause.UNSPECIFIED,
    1: it.FailureCause.NO_CIRCUIT,
    2: it.FailureCause.RETURNED_BY_TANDEM,
    3: it.FailureCause.PROCESSOR_FULL,
    4: it.FailureCause.LINES_BUSY,
}
CAUSE_MODULUS = 16
# An exception to that rule: this whole code means that the processor beyond the tandem is full.
PROCESSOR_BEYOND_TANDEM_FULL_CODE = 18
PROCESSOR_FULL_CODE = 3  # the only cause that comes with a wait
MS = 1_000_000  # nanoseconds in a millisecond
# Values of `health` in EXCHANGE.
STATUSES = {
    "IN": it.ExchangeStatus.SERVING,
    "LAME": it.ExchangeStatus.DRAINING,
    "OUT": it.ExchangeStatus.GONE,
}
# Values of `how` in BACKENDS_CHANGED.
LIST_KINDS = {
    "diff": it.ListKind.CHANGES,
    "snapshot": it.ListKind.COMPLETE,
    "disk": it.ListKind.REMEMBERED,
    "error": it.ListKind.FAILED,
}
# Values of `report.how` in the settings.
LOAD_REPORTING = {
    "none": it.LoadReporting.NONE,
    "answers": it.LoadReporting.IN_ANSWERS,
    "probe": it.LoadReporting.ON_PROBE,
}
# Values of `repeat` and `dedupScope` of a class in the settings.
REPEATS = {repeat.value: repeat for repeat in it.Repeat}
DEDUP_SCOPES = {scope.value: scope for scope in it.DedupScope}
# Maps the name of a load figure on the wire to the field of LoadReport and the factor to that field's unit.
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
INTEGER_FIELDS = frozenset({"free_circuits", "group_size"})
# Messages whose last field may contain spaces, and how that field begins: it takes the rest of the line.
TRAILING_FIELDS = {"BEGIN": " options="}


Choice = TypeVar("Choice")


class MalformedInputError(ValueError):
    """Input that cannot be read; the message names the field."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Splits a line into the message's name and its fields.

    Raises MalformedInputError on a part that is not `name=value`.
    """
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    marker = TRAILING_FIELDS.get(name)
    if marker is not None:
        head, found, text = (" " + rest).partition(marker)
        if found:
            fields[marker.strip(" =")] = text
        rest = head.strip()
    for part in rest.split(" ") if rest else ():
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise MalformedInputError(f"field {part!r}: expected name=value")
        fields[key] = value
    return name, fields


def read_text(fields: Mapping[str, str], name: str) -> str:
    """The field's value; raises MalformedInputError if it is missing or empty."""
    value = fields.get(name, "")
    if not value:
        raise MalformedInputError(f"field {name}: missing")
    return value


def read_integer(fields: Mapping[str, str], name: str, default: int | None = None) -> int:
    """The field as an integer; without a default a missing field raises MalformedInputError."""
    value = fields.get(name)
    if value is None:
        if default is None:
            raise MalformedInputError(f"field {name}: missing")
        return default
    try:
        return int(value)
    except ValueError:
        raise MalformedInputError(f"field {name}: {value!r} is not a whole number") from None


def read_float(fields: Mapping[str, str], name: str, default: float) -> float:
    """The field as a floating-point number, or the default if it is missing."""
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise MalformedInputError(f"field {name}: {fields[name]!r} is not a number") from None


def read_flag(fields: Mapping[str, str], name: str) -> bool:
    """Whether the field is 1; a missing field counts as 0, anything else raises MalformedInputError."""
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise MalformedInputError(f"field {name}: {value!r} is neither 0 nor 1")
    return value == "1"


def read_choice(fields: Mapping[str, str], name: str, choices: Mapping[str, Choice]) -> Choice:
    """What `choices` holds for the field's value; raises MalformedInputError if it holds nothing for it."""
    value = read_text(fields, name)
    if value not in choices:
        raise MalformedInputError(f"field {name}: {value!r} is unknown")
    return choices[value]


def read_report(fields: Mapping[str, str], report_names: tuple[str, ...]) -> it.LoadReport | None:
    """The report in field `load`, whose values stand in the order of `report_names`; None if there is none.

    Values with an unknown name or beyond the last name are skipped. A value that is no number raises
    MalformedInputError.
    """
    load = fields.get("load")
    if load is None or load == "":
        return None
    values: dict[str, Any] = {}
    for report_name, figure in zip(report_names, load.split(","), strict=False):
        known_field = REPORT_FIELDS.get(report_name)
        if known_field is None:
            continue
        try:
            value = float(figure)
        except ValueError:
            raise MalformedInputError(f"field load: {figure!r} is not a number") from None
        if value >= 0 and value != float("inf"):  # -1, NaN and infinity count as absent
            field_name, factor = known_field
            values[field_name] = int(value) if field_name in INTEGER_FIELDS else value * factor
    return it.LoadReport(**values)


def read_cause(code: int) -> tuple[it.FailureCause, int]:
    """The failure cause that a clear code stands for, and the wait for the processor in nanoseconds."""
    if code == PROCESSOR_BEYOND_TANDEM_FULL_CODE:
        return it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL, 0
    cause, wait_ms = code % CAUSE_MODULUS, code // CAUSE_MODULUS
    return CAUSES.get(cause, it.FailureCause.UNSPECIFIED), wait_ms * MS if cause == PROCESSOR_FULL_CODE else 0


def read_entry(fields: Mapping[str, str]) -> it.ListedExchange:
    """The entry of the exchange list that an EXCHANGE line contains."""
    return it.ListedExchange(
        exchange=read_text(fields, "exchange"),
        number=read_integer(fields, "placeNo"),
        status=read_choice(fields, "health", STATUSES),
        zone=fields.get("locality", ""),
        machine_type=fields.get("shape", ""),
        rating=read_float(fields, "rating", 1.0),
        started_ns=read_integer(fields, "sinceNs", 0),
    )


def read_event(name: str, fields: Mapping[str, str], report_names: tuple[str, ...]) -> it.Event | None:
    """The event of one line, or None if the message is unknown.

    `report_names` are the names of the values in a load report, in their order.
    """
    if name == "JOB_IN":
        return it.CallOffered(
            call=read_text(fields, "msgId"),
            class_name=read_text(fields, "class"),
            destination=read_integer(fields, "farEnd"),
            patience_ns=read_integer(fields, "timeBudgetNs"),
            number_called=fields.get("targetKey", ""),
            circuits=read_integer(fields, "units", 1),
            sender_or_advised_tandem=read_integer(fields, "advisedRoute", -1),
            redial=read_flag(fields, "resent"),
            transit=read_flag(fields, "transit"),
            was_interrupted=read_flag(fields, "cameBack"),
        )
    if name == "OPENED":
        return it.CallEstablished(
            read_text(fields, "msgId"),
            read_integer(fields, "attempt"),
            read_text(fields, "exchange"),
            read_integer(fields, "lagNs", 0),
        )
    if name == "REPORT_BACK":
        cause, wait_ns = read_cause(read_integer(fields, "clearCode", 0))
        return it.AttemptEnded(
            call=read_text(fields, "msgId"),
            attempt=read_integer(fields, "attempt"),
            exchange=fields.get("exchange", ""),
            ending=read_choice(fields, "ending", ENDINGS),
            delay_ns=read_integer(fields, "lagNs", 0),
            call_over=read_flag(fields, "over"),
            cause=cause,
            reported_wait_ns=wait_ns,
            report=read_report(fields, report_names),
        )
    if name == "LAPSED":
        return it.CallerLeft(read_text(fields, "msgId"))
    if name == "REMINDER":
        return it.TimerExpired(read_integer(fields, "label"))
    if name == "PROBED":
        return it.ProbeAnswer(
            exchange=read_text(fields, "exchange"),
            ending=read_choice(fields, "ending", ENDINGS),
            delay_ns=read_integer(fields, "lagNs", 0),
            report=read_report(fields, report_names),
        )
    if name == "MAIL":
        return it.PeerMessage(read_integer(fields, "by", -1))
    return None


def read_settings(options: str) -> tuple[it.Settings, tuple[str, ...]]:
    """Reads the settings' JSON text, and returns them with the names of the values in a load report.

    Unknown keys are skipped. Raises MalformedInputError if the text cannot be used.
    """
    try:
        raw = json.loads(options)
    except ValueError as error:
        raise MalformedInputError(f"field options: not JSON ({error})") from None
    if not isinstance(raw, dict):
        raise MalformedInputError("field options: not a JSON object")
    try:
        return _build_settings(raw), tuple(str(name) for name in (raw.get("report") or {}).get("names") or ())
    except KeyError as error:
        raise MalformedInputError(f"field options: setting {error.args[0]} is missing") from None
    except (TypeError, AttributeError, ValueError, IndexError) as error:
        raise MalformedInputError(f"field options: {error}") from None


def read_setting(
    entry: Mapping[str, Any], name: str, choices: Mapping[str, Choice], default: Choice
) -> Choice:
    """What `choices` holds for a setting of a class; raises ValueError for a value that is not among them."""
    value = entry.get(name)
    if value is None:
        return default
    if value not in choices:
        raise ValueError(f"classes[].{name}: {value!r} is unknown")
    return choices[value]


def _build_settings(raw: Mapping[str, Any]) -> it.Settings:
    family, permissions, rules = (raw.get(key) or {} for key in ("familyInfo", "permissions", "rules"))
    holding_times, pools = family.get("classHoldNs") or [], family.get("poolsByClass") or []
    classes = tuple(
        it.CallClass(
            name=str(entry["name"]),
            target_ns=int(entry["onTimeNs"]),
            deadline_ns=int(entry["deadlineNs"]),
            worth=float(entry.get("credit", 1.0)),
            late_worth=float(entry.get("lateWorth", 0.0)),
            holding_time_ns=int(holding_times[index]) if index < len(holding_times) else 10_000_000_000,
            exchange_numbers=tuple(int(pool) for pool in pools[index] or ()) if index < len(pools) else (),
            repeat=read_setting(entry, "repeat", REPEATS, it.Repeat.READ_LIKE),
            dedup_scope=read_setting(entry, "dedupScope", DEDUP_SCOPES, it.DedupScope.CELL),
            memory_span_ns=int(entry.get("memorySpanNs", 0)),
        )
        for index, entry in enumerate(raw["classes"])
    )
    return it.Settings(
        classes=classes,
        own_number=int(family.get("ownNumber", -1)),
        controllers=int(raw.get("groupSize", 1)),
        controller_index=int(raw.get("rank", 0)),
        is_mesh=family.get("layout", "network") == "network",
        reporting=LOAD_REPORTING.get((raw.get("report") or {}).get("how", "none"), it.LoadReporting.NONE),
        may_probe=bool(permissions.get("probes", False)),
        may_cancel=bool(permissions.get("cancel", False)),
        may_advise_redial=bool(permissions.get("retryAfter", False)),
        max_redial_after_ns=int(permissions.get("maxRetryAfterNs", 0)),
        attempt_limit=int(permissions.get("tryLimit", 1)),
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
    """The line that tells the simulator to carry out an action."""
    match action:
        case it.SetUp(call, exchange, abandon_at_ns):
            suffix = f" stopAtNs={abandon_at_ns}" if abandon_at_ns else ""
            return f"PLACE msgId={call} exchange={exchange}{suffix}"
        case it.Refuse(call, redial_after_ns):
            suffix = f" notBeforeForNs={redial_after_ns}" if redial_after_ns else ""
            return f"REFUSE msgId={call}{suffix}"
        case it.Fail(call, _):
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
