"""The configuration: JSON read once into the few values that the program uses."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from arrowkeel import interface as it
from arrowkeel import wire

MS = 1_000_000
CONNECTIONS_SHARE = 0.6  # of the descriptors; the rest is for exchanges, the change log, operators, new ones
SHARED_CONNECTIONS_SHARE = 0.36  # where a successor and its forerunner run at once, within one set of limits
PROGRAM_BYTES = 18 << 20  # what the program itself takes
LIFECYCLES = {
    "up": it.ExchangeStatus.SERVING,
    "draining": it.ExchangeStatus.DRAINING,
    "removed": it.ExchangeStatus.GONE,
}


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the field."""


class MalformedListUpdateError(ValueError):
    """An entry of the list of exchanges that cannot be read; the text names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ExchangeEntry:
    """An exchange as the list names it: what the module is told, and where it listens."""

    listed: it.ListedExchange
    address: Address | None  # None only for one that is gone


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One numbered event of the list; without entries it tells only the last number."""

    seq: int
    is_complete: bool = False
    entries: tuple[ExchangeEntry, ...] | None = None


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """The one place where the list's Unix milliseconds become the module's monotonic nanoseconds.

    The distance is taken once, so that an entry told twice has the same start both times.
    """

    unix_minus_monotonic_ns: int

    @classmethod
    def measure(cls) -> ClockOffset:
        return cls(time.time_ns() - time.monotonic_ns())

    def to_monotonic_ns(self, unix_ms: int) -> int:
        return max(0, unix_ms * MS - self.unix_minus_monotonic_ns) if unix_ms > 0 else 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """What tables and buffers may hold, as parts of the memory and descriptors that the limits state."""

    max_caller_connections: int  # connections from callers, who hold at most a third of the descriptors
    max_operator_connections: int  # connections from operators
    accept_backlog: int  # connections that the machine may have accepted and we have not yet seen
    max_calls: int
    max_description_bytes: int  # bytes, of all calls that may still be sent
    max_table_entries: int  # small entries of a table: ended calls, kept releases
    max_unsent_bytes: int  # bytes that one peer may leave unread
    max_change_log_line_bytes: int  # bytes of one line of the change log

    @classmethod
    def within(cls, memory: int, descriptors: int, most_open: int, shared: bool = False) -> Bounds:
        memory = memory // 2 if shared else memory
        spare = max(PROGRAM_BYTES // 4, memory - PROGRAM_BYTES)
        caller_connections = int(descriptors * (SHARED_CONNECTIONS_SHARE if shared else CONNECTIONS_SHARE))
        return cls(
            max_caller_connections=caller_connections,
            max_operator_connections=max(4, descriptors // 12),
            # a crowd must not make usual callers wait a second for the next try
            accept_backlog=2 * descriptors,
            max_calls=min(most_open, spare // 4096),
            max_description_bytes=spare // 4,
            max_table_entries=spare // 16384,
            max_unsent_bytes=max(32 << 10, spare // (2 * caller_connections)),
            max_change_log_line_bytes=spare // 8,
        )


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    operator: Address | None  # where operators call; None where nobody may
    accept_fd: int | None  # the listening socket, where the platform holds it
    seed: int
    bounds: Bounds
    changelog: Address
    initial_updates: tuple[ListUpdate, ...]
    last_seq: int
    settings: it.Settings
    report_names: tuple[str, ...]
    dial_timeout_ns: int
    clock_offset: ClockOffset


def read_address(value: object, where: str, least_port: int = 1) -> Address:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    numeric = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not colon or not numeric or not least_port <= int(port) < 65536:
        raise ConfigError(f"{where}: {value!r} is no host:port")
    return Address(host, int(port))


def field_of(raw: Mapping[str, Any], name: str, kind: type, where: str = "") -> Any:
    value = raw.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{where}{name}: {'missing' if value is None else f'not {kind.__name__}'}")
    return value


def read_entry(raw: Any, clock_offset: ClockOffset) -> ExchangeEntry:
    try:
        identity, lifecycle = raw["instanceId"], raw["lifecycle"]
        if not isinstance(identity, str) or not identity or lifecycle not in LIFECYCLES:
            raise MalformedListUpdateError(f"instanceId or lifecycle: {identity!r}, {lifecycle!r}")
        listed = it.ListedExchange(
            exchange=identity,
            number=int(raw["cell"]),
            status=LIFECYCLES[lifecycle],
            zone=str(raw.get("zone", "")),
            machine_type=str(raw.get("machineType", "")),
            rating=float(raw.get("weight", 1.0)),
            started_ns=clock_offset.to_monotonic_ns(int(raw.get("startedAtMs") or 0)),
        )
        gone = listed.status is it.ExchangeStatus.GONE
        return ExchangeEntry(listed, None if gone else read_address(raw["hostPort"], "hostPort"))
    except KeyError as error:
        raise MalformedListUpdateError(f"{error.args[0]}: missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise MalformedListUpdateError(str(error)) from None


def read_list_update(raw: Any, clock_offset: ClockOffset) -> ListUpdate:
    """One event; raises MalformedListUpdateError on what cannot be read. Others are only counted."""
    seq = raw.get("seq") if isinstance(raw, dict) else None
    if not isinstance(seq, int) or isinstance(seq, bool) or seq < 0:
        raise MalformedListUpdateError("seq: not a whole number")
    fleet = raw.get("fleet")
    if fleet is None:
        return ListUpdate(seq)
    instances = fleet.get("instances") if isinstance(fleet, dict) else None
    if not isinstance(instances, list):
        raise MalformedListUpdateError("fleet.instances: not a list")
    return ListUpdate(
        seq, bool(fleet.get("reset", False)), tuple(read_entry(entry, clock_offset) for entry in instances)
    )


def read_config(text: str, clock_offset: ClockOffset, environment: Mapping[str, str] | None = None) -> Config:
    environment = environment or {}
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"configuration: not JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ConfigError("configuration: not an object")
    limits, known = field_of(raw, "limits", dict), field_of(raw, "known", dict)
    settings = field_of(raw, "settings", dict)
    try:
        seed = int(field_of(raw, "seed", str), 16)
    except ValueError:
        raise ConfigError("seed: not a hexadecimal number") from None
    descriptors = field_of(limits, "sockets", int, "limits.")
    if descriptors < 32:
        raise ConfigError("limits.sockets: fewer than 32 are too few")
    memory = field_of(limits, "memory_mb", int, "limits.") << 20
    if memory <= PROGRAM_BYTES:
        raise ConfigError(f"limits.memory_mb: the program alone takes {PROGRAM_BYTES >> 20}")
    try:
        updates = tuple(
            read_list_update(entry, clock_offset) for entry in field_of(known, "results", list, "known.")
        )
    except MalformedListUpdateError as error:
        raise ConfigError(f"known.results: {error}") from None
    try:
        read, names = wire.read_settings(json.dumps(settings))
    except (wire.MalformedError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from None
    allowed = field_of(settings, "permissions", dict, "settings.")
    operator = raw.get("operator") or environment.get("LB_OPERATOR")
    held = environment.get("LB_ACCEPT_FD", "")
    if held and not (held.isascii() and held.isdigit() and len(held) <= 6):
        raise ConfigError(f"LB_ACCEPT_FD: {held!r} is no descriptor")
    return Config(
        name=field_of(raw, "name", str),
        listen=read_address(raw.get("listen"), "listen", least_port=0),
        operator=read_address(operator, "operator", least_port=0) if operator else None,
        accept_fd=int(held) if held else None,
        seed=seed,
        bounds=Bounds.within(
            memory, descriptors, field_of(allowed, "maxOpen", int, "settings.permissions."), bool(held)
        ),
        changelog=read_address(raw.get("changelog"), "changelog"),
        initial_updates=updates,
        last_seq=field_of(known, "seq", int, "known."),
        settings=read,
        report_names=names,
        dial_timeout_ns=field_of(allowed, "dialTimeoutNs", int, "settings.permissions."),
        clock_offset=clock_offset,
    )
