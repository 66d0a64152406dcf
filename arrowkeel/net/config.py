"""Reads the configuration file and the events of the exchange list into the typed values the program uses.

Every error names the field that cannot be used. Memory and descriptor limits become concrete upper bounds for
tables, buffers and connections (`Bounds`).
"""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from arrowkeel import interface as it
from arrowkeel import wire

MS = 1_000_000  # nanoseconds in a millisecond
# Share of the file descriptors for connections from callers. The rest is for exchanges, the change log,
# operators and connections that were accepted and are about to be closed.
CALLER_DESCRIPTOR_SHARE = 0.6
# The same share where a process and its successor run at once within one set of limits.
SHARED_CALLER_DESCRIPTOR_SHARE = 0.36
NUMBER_ENTRY_BYTES = 384  # of a remembered number called: its text, its entry and the value
ID_ENTRY_BYTES = 256  # of a remembered call identifier
MAX_IDS_PER_CONNECTION = 1024
PROGRAM_MEMORY_BYTES = 18 << 20  # used by the program itself, before it holds any call
STATUS_BY_LIFECYCLE = {
    "up": it.ExchangeStatus.SERVING,
    "draining": it.ExchangeStatus.DRAINING,
    "removed": it.ExchangeStatus.GONE,
}


class ConfigError(ValueError):
    """The configuration cannot be used; the message names the field."""


class MalformedListUpdateError(ValueError):
    """An event of the exchange list cannot be read; the message names the field."""


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address; its text form is `host:port`."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ExchangeEntry:
    """One exchange of an event: its entry for the policy, and the address that it listens on."""

    listed: it.ListedExchange
    address: Address | None  # None only where the exchange is removed


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One numbered event of the exchange list.

    One without entries, such as a heartbeat, only names the last sequence number.
    """

    seq: int
    is_complete: bool = False  # the entries are the whole list, so that every exchange not among them is gone
    entries: tuple[ExchangeEntry, ...] | None = None


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """Converts the Unix milliseconds of the exchange list into nanoseconds of the monotonic clock.

    The offset is measured once per process, so that an entry that is received twice has the same start both
    times and does not look like a restart.
    """

    unix_minus_monotonic_ns: int

    @classmethod
    def measure(cls) -> ClockOffset:
        """Returns the offset between the two clocks at this moment."""
        return cls(time.time_ns() - time.monotonic_ns())

    def to_monotonic_ns(self, unix_ms: int) -> int:
        """Returns the moment on the monotonic clock; 0 where it is unknown or before that clock's origin."""
        return max(0, unix_ms * MS - self.unix_minus_monotonic_ns) if unix_ms > 0 else 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Upper bounds of tables, buffers and connections, derived from the configured memory and descriptors."""

    # Callers hold at most a third of the descriptors together, which both descriptor shares cover.
    max_caller_connections: int
    max_operator_connections: int
    accept_backlog: int  # connections that the kernel has established and the program has not yet accepted
    max_calls: int  # open and standing calls together
    max_open_call_bytes: int  # numbers and descriptions of all open calls, which may still have to be sent
    max_open_call_bytes_per_connection: int  # the same of the calls set up on one caller's connection
    max_numbers: int  # numbers called that the decision module remembers, in each of two tables
    max_ids_per_connection: int  # identifiers remembered for one caller's connection
    max_pending_release_bytes: int  # of releases that callers may not have read
    max_pending_release_bytes_per_connection: int  # the same of those written to one caller's connection
    max_table_entries: int  # of each table with small entries: ended calls, waiting releases, queued set-ups
    max_unhandled_bytes: int  # received from all callers and not handled yet, as of incomplete messages
    max_unsent_bytes: int  # buffered for one peer that does not read; beyond it the connection is closed
    max_change_log_line_bytes: int  # buffered of a line that has not been received completely

    @classmethod
    def for_limits(
        cls, memory_bytes: int, descriptors: int, permitted_calls: int, is_shared: bool = False
    ) -> Bounds:
        """Returns the bounds for these limits; `is_shared` where a successor process uses them as well."""
        memory_bytes = memory_bytes // 2 if is_shared else memory_bytes
        spare_bytes = max(PROGRAM_MEMORY_BYTES // 4, memory_bytes - PROGRAM_MEMORY_BYTES)
        caller_connections = int(
            descriptors * (SHARED_CALLER_DESCRIPTOR_SHARE if is_shared else CALLER_DESCRIPTOR_SHARE)
        )
        return cls(
            max_caller_connections=caller_connections,
            max_operator_connections=max(4, descriptors // 12),
            # A full backlog drops a connection attempt, and the caller's system repeats it only after 1 s.
            # Room for a burst of connections spares other callers that wait.
            accept_backlog=2 * descriptors,
            max_calls=min(permitted_calls, spare_bytes // 4096),
            max_open_call_bytes=spare_bytes // 4,
            max_open_call_bytes_per_connection=spare_bytes // 16,
            max_numbers=spare_bytes // (32 * NUMBER_ENTRY_BYTES),
            max_ids_per_connection=min(
                MAX_IDS_PER_CONNECTION, spare_bytes // (16 * ID_ENTRY_BYTES * caller_connections)
            ),
            max_pending_release_bytes=spare_bytes // 16,
            max_pending_release_bytes_per_connection=spare_bytes // 64,
            max_table_entries=spare_bytes // 16384,
            max_unhandled_bytes=spare_bytes // 8,
            # Half of the spare memory, divided among the callers' connections, but at least 32 KiB.
            max_unsent_bytes=max(32 << 10, spare_bytes // (2 * caller_connections)),
            max_change_log_line_bytes=spare_bytes // 8,
        )


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one controller, checked and converted."""

    name: str  # of this controller, for the log
    listen: Address  # for connections from callers; port 0 lets the system choose
    operator: Address | None  # of the operators' interface; None disables it
    # The descriptor of a listening socket that whoever started the process has opened and keeps open for its
    # successor; None where the program opens `listen` itself.
    accept_fd: int | None
    seed: int  # of the policy's random numbers
    bounds: Bounds
    changelog: Address  # where the events of the exchange list come from
    initial_updates: tuple[ListUpdate, ...]  # the events of the exchange list that the file holds
    last_seq: int  # sequence number of the last known event; the change log is followed from there
    settings: it.Settings
    report_names: tuple[str, ...]  # names of the values in an exchange's report, in the settings' order
    dial_timeout_ns: int  # for one dial to an exchange
    clock_offset: ClockOffset


def read_address(value: object, field: str, min_port: int = 1) -> Address:
    """Returns the address in a `host:port` text; raises ConfigError with the field's name."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_port_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not colon or not is_port_number or not min_port <= int(port) < 65536:
        raise ConfigError(f"{field}: {value!r} is not a valid host:port")
    return Address(host, int(port))


def read_field(raw: Mapping[str, Any], name: str, expected_type: type, parent: str = "") -> Any:
    """Returns a required field; raises ConfigError if it is missing or of another type.

    `parent` is the path of the enclosing object with a final dot, for the message. A boolean is not accepted
    as an integer.
    """
    value = raw.get(name)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise ConfigError(
            f"{parent}{name}: {'missing' if value is None else f'not of type {expected_type.__name__}'}"
        )
    return value


def read_exchange_entry(raw: Any, clock_offset: ClockOffset) -> ExchangeEntry:
    """Returns one entry of an event's `instances`; raises MalformedListUpdateError."""
    try:
        identity, lifecycle = raw["instanceId"], raw["lifecycle"]
        if not isinstance(identity, str) or not identity or lifecycle not in STATUS_BY_LIFECYCLE:
            raise MalformedListUpdateError(
                f"instanceId or lifecycle: invalid value, {identity!r} or {lifecycle!r}"
            )
        listed = it.ListedExchange(
            exchange=identity,
            number=int(raw["cell"]),
            status=STATUS_BY_LIFECYCLE[lifecycle],
            zone=str(raw.get("zone", "")),
            machine_type=str(raw.get("machineType", "")),
            rating=float(raw.get("weight", 1.0)),
            started_ns=clock_offset.to_monotonic_ns(int(raw.get("startedAtMs") or 0)),
        )
        is_gone = listed.status is it.ExchangeStatus.GONE
        return ExchangeEntry(listed, None if is_gone else read_address(raw["hostPort"], "hostPort"))
    except KeyError as error:
        raise MalformedListUpdateError(f"{error.args[0]}: missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:  # ConfigError is a ValueError
        raise MalformedListUpdateError(str(error)) from None


def read_list_update(raw: Any, clock_offset: ClockOffset) -> ListUpdate:
    """Returns one event of the exchange list; raises MalformedListUpdateError if it cannot be read.

    An event without `fleet` yields its sequence number and no entries.
    """
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
        seq,
        bool(fleet.get("reset", False)),
        tuple(read_exchange_entry(entry, clock_offset) for entry in instances),
    )


def read_config(text: str, clock_offset: ClockOffset, environment: Mapping[str, str] | None = None) -> Config:
    """Returns the configuration from the text of its JSON file; raises ConfigError with the field's name.

    LB_OPERATOR in `environment` is the operators' address where the file has none; LB_ACCEPT_FD is the
    descriptor of the inherited listening socket.
    """
    environment = environment or {}
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"configuration: not valid JSON ({error})") from None
    if not isinstance(raw, dict):
        raise ConfigError("configuration: not a JSON object")
    limits, known = read_field(raw, "limits", dict), read_field(raw, "known", dict)
    settings = read_field(raw, "settings", dict)
    try:
        seed = int(read_field(raw, "seed", str), 16)
    except ValueError:
        raise ConfigError("seed: not a hexadecimal number") from None
    descriptors = read_field(limits, "sockets", int, "limits.")
    if descriptors < 32:
        raise ConfigError("limits.sockets: at least 32 are needed")
    memory_bytes = read_field(limits, "memory_mb", int, "limits.") << 20
    if memory_bytes <= PROGRAM_MEMORY_BYTES:
        raise ConfigError(
            f"limits.memory_mb: must exceed the program's own use of {PROGRAM_MEMORY_BYTES >> 20}"
        )
    try:
        updates = tuple(
            read_list_update(event, clock_offset) for event in read_field(known, "results", list, "known.")
        )
    except MalformedListUpdateError as error:
        raise ConfigError(f"known.results: {error}") from None
    try:
        module_settings, names = wire.read_settings(json.dumps(settings))
    except (wire.MalformedInputError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from None
    permissions = read_field(settings, "permissions", dict, "settings.")
    operator_address = raw.get("operator") or environment.get("LB_OPERATOR")
    accept_fd_text = environment.get("LB_ACCEPT_FD", "")
    if accept_fd_text and not (
        accept_fd_text.isascii() and accept_fd_text.isdigit() and len(accept_fd_text) <= 6
    ):
        raise ConfigError(f"LB_ACCEPT_FD: {accept_fd_text!r} is not a descriptor number")
    return Config(
        name=read_field(raw, "name", str),
        listen=read_address(raw.get("listen"), "listen", min_port=0),
        operator=read_address(operator_address, "operator", min_port=0) if operator_address else None,
        accept_fd=int(accept_fd_text) if accept_fd_text else None,
        seed=seed,
        bounds=Bounds.for_limits(
            memory_bytes,
            descriptors,
            read_field(permissions, "maxOpen", int, "settings.permissions."),
            bool(accept_fd_text),
        ),
        changelog=read_address(raw.get("changelog"), "changelog"),
        initial_updates=updates,
        last_seq=read_field(known, "seq", int, "known."),
        settings=module_settings,
        report_names=names,
        dial_timeout_ns=read_field(permissions, "dialTimeoutNs", int, "settings.permissions."),
        clock_offset=clock_offset,
    )
