"""The types that `arrowkeel.policy.Policy` takes and gives: settings, events, actions. No decisions.

Times are integer nanoseconds of one monotonic clock of arbitrary origin. An exchange is named twice: by its
`exchange` identifier (a machine; a replacement gets a new one) and by its `number` (a place in the mesh).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class LoadReporting(Enum):
    """How figures of a far processor reach this agent."""

    NONE = "none"
    IN_ANSWERS = "in answers"
    ON_PROBE = "on probe"


class ExchangeStatus(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    FAILED = "failed"


class Ending(Enum):
    """How an attempt or a probe ended."""

    COMPLETED = "completed"
    NUMBER_BUSY = "number busy"
    REJECTED = "turned away"
    NO_ANSWER = "no answer"
    NO_CONNECTION = "no connection"
    INTERRUPTED = "cut"
    CANCELLED = "called off"
    NOT_SENT = "not sent"


class FailureCause(Enum):
    """Why a set-up was turned away, as far as the far side says."""

    UNSPECIFIED = "unsaid"
    NO_CIRCUIT = "no circuit"
    RETURNED_BY_TANDEM = "turned back by the tandem"
    PROCESSOR_BEYOND_TANDEM_FULL = "processor beyond the tandem full"
    PROCESSOR_FULL = "processor full"
    LINES_BUSY = "all lines of the number busy"


class RefusalReason(Enum):
    """Why a call was refused; for logs and metrics, it changes nothing that is sent."""

    UNSPECIFIED = "unsaid"
    NUMBER_GAPPED = "number gapped"
    NO_ROUTE = "no route"
    ATTEMPTS_USED = "attempts used"
    LOCAL_OVERLOAD = "own processor pressed"
    REMOTE_OVERLOAD = "far processor pressed"
    REMOTE_SILENT = "far end silent"
    NO_CIRCUIT = "no circuit"
    TOO_LATE = "too late"
    UNKNOWN_CLASS = "unknown class"
    TABLE_FULL = "table full"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class CallClass:
    name: str
    target_ns: int
    deadline_ns: int
    worth: float = 1.0
    late_worth: float = 0.0
    holding_time_ns: int = 10_000_000_000
    exchange_numbers: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Settings:
    """What an agent is told once, at its start."""

    classes: tuple[CallClass, ...]
    own_number: int = -1
    controllers: int = 1
    controller_index: int = 0
    is_mesh: bool = True
    reporting: LoadReporting = LoadReporting.NONE
    may_probe: bool = False
    may_cancel: bool = False
    may_advise_redial: bool = False
    max_redial_after_ns: int = 0
    attempt_limit: int = 1
    release_guard_ns: int = 0
    set_up_retransmit_ns: int = 0
    list_on_request: bool = False
    list_age_limit_ns: int = 10_000_000_000
    cold_share: float = 0.3
    cold_multiple: float = 2.0
    cold_window_ns: int = 2_000_000_000
    warm_after_ns: int = 15_000_000_000

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class of call is needed")
        for entry in self.classes:
            if entry.target_ns <= 0 or entry.deadline_ns <= 0:
                raise ValueError(f"classes: target_ns and deadline_ns of {entry.name!r} must be above 0")
            if not entry.worth >= 0 or not 0 <= entry.late_worth <= 1:
                raise ValueError(f"classes: worth or late_worth of {entry.name!r} is out of range")
        for name in ("controllers", "attempt_limit", "cold_window_ns"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for name in ("max_redial_after_ns", "release_guard_ns", "set_up_retransmit_ns", "warm_after_ns"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")
        if not self.cold_multiple > 0:
            raise ValueError("cold_multiple: must be above 0")

    @property
    def shortest_target_ns(self) -> int:
        return min(kind.target_ns for kind in self.classes)

    @property
    def longest_target_ns(self) -> int:
        return max(kind.target_ns for kind in self.classes)

    @property
    def longest_deadline_ns(self) -> int:
        return max(kind.deadline_ns for kind in self.classes)

    @property
    def highest_worth(self) -> float:
        return max(kind.worth for kind in self.classes) or 1.0

    def find_class(self, name: str) -> CallClass:
        """The class of that name; a name never met before is served as the first one."""
        return next((kind for kind in self.classes if kind.name == name), self.classes[0])


@dataclass(frozen=True, slots=True)
class ListedExchange:
    exchange: str
    number: int
    status: ExchangeStatus = ExchangeStatus.SERVING
    zone: str = ""
    machine_type: str = ""
    rating: float = 1.0
    started_ns: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures towards one exchange; None where absent. The circuits are prompt, the rest late."""

    free_circuits: int | None = None
    group_size: int | None = None
    set_ups_in_progress: float | None = None
    queued_messages: float | None = None
    utilization: float | None = None
    wait_ns: float | None = None
    max_set_ups_per_s: float | None = None
    reduction_share: float | None = None


@dataclass(frozen=True, slots=True)
class ExchangeList:
    kind: ListKind
    entries: tuple[ListedExchange, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call to decide on.

    `sender_or_advised_tandem`: the sender of a transit call, else an advised tandem, or -1.
    """

    call: str
    class_name: str
    destination: int
    patience_ns: int
    number_called: str = ""
    circuits: int = 1
    sender_or_advised_tandem: int = -1
    redial: bool = False
    transit: bool = False
    was_interrupted: bool = False


@dataclass(frozen=True, slots=True)
class CallEstablished:
    call: str
    attempt: int
    exchange: str
    delay_ns: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    call: str
    attempt: int
    exchange: str
    ending: Ending
    delay_ns: int = 0
    call_over: bool = False
    cause: FailureCause = FailureCause.UNSPECIFIED
    reported_wait_ns: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    call: str


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """The answer to a probe or, with `ending` COMPLETED and `delay_ns` 0, news of the own circuit group."""

    exchange: str
    ending: Ending
    delay_ns: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    label: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes = b""


Event = (
    ExchangeList
    | CallOffered
    | CallEstablished
    | AttemptEnded
    | CallerLeft
    | ProbeAnswer
    | TimerExpired
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class SetUp:
    """Start an attempt; `abandon_at_ns` 0 means when the caller's patience ends."""

    call: str
    exchange: str
    abandon_at_ns: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """`reason` is only told: two refusals that differ in it alone are the same action."""

    call: str
    redial_after_ns: int = 0
    reason: RefusalReason = field(default=RefusalReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    call: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    exchange: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    after_ns: int
    label: int


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask for the exchange list to be kept up to date (only where it is given on request)."""


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Action = SetUp | Refuse | Fail | CancelAttempt | Probe | SetTimer | FollowList | Note
