"""Types of the decision module's interface: its settings, the events it takes and the actions it returns.

`arrowkeel.policy.Policy` makes the decisions; this module makes none. Its user passes events in batches, in
the order of their arrival, and carries out the actions that it returns for each batch, in their order. A call
begins with `CallOffered`, each `SetUp` leads to `CallEstablished` or `AttemptEnded`, and a call that is not
established gets one final answer, `Refuse` or `Fail`, unless its caller leaves or the call ends first.

Times are integer nanoseconds of one monotonic clock of arbitrary origin. An exchange has two names: its
`exchange` identifier, which belongs to one machine and differs for a replacement, and its `number`, which is
its place in the mesh and stays.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class LoadReporting(Enum):
    """How load figures of a remote processor reach this controller."""

    NONE = "none"
    IN_ANSWERS = "in answers"
    ON_PROBE = "on probe"  # only in the answer to a `Probe`


class ExchangeStatus(Enum):
    """Whether the exchange list offers an exchange for new calls."""

    SERVING = "serving"
    DRAINING = "draining"  # finishes its calls and takes no new ones
    GONE = "gone"


class ListKind(Enum):
    """What an `ExchangeList` contains."""

    CHANGES = "changes"  # only the entries that changed
    COMPLETE = "complete"  # every exchange; one that is missing is gone
    REMEMBERED = "remembered"  # like COMPLETE, but stored before the start of this process
    FAILED = "failed"  # nothing: the list could not be fetched


class Ending(Enum):
    """How an attempt, an answered call or a probe ended."""

    COMPLETED = "completed"  # the probe was answered, or the call was released normally
    NUMBER_BUSY = "number busy"  # refused by the destination; without cause LINES_BUSY a signalling fault
    REJECTED = "turned away"  # refused for lack of a circuit or of processor capacity
    NO_ANSWER = "no answer"  # abandoned, as no answer came in time
    NO_CONNECTION = "no connection"  # the exchange could not be reached
    INTERRUPTED = "cut"  # the connection was lost; the remote exchange may still hold the call
    CANCELLED = "called off"  # by `CancelAttempt`, or because the caller left
    NOT_SENT = "not sent"  # the set-up never left this controller


class FailureCause(Enum):
    """Why a set-up failed, as far as the remote exchange reports it."""

    UNSPECIFIED = "unsaid"
    NO_CIRCUIT = "no circuit"  # no circuit of the group to the exchange was free
    RETURNED_BY_TANDEM = "turned back by the tandem"  # crankback: the tandem found no way to the destination
    PROCESSOR_BEYOND_TANDEM_FULL = "processor beyond the tandem full"  # that of the destination
    PROCESSOR_FULL = "processor full"  # that of the exchange the set-up went to
    LINES_BUSY = "all lines of the number busy"


class RefusalReason(Enum):
    """Why a call was refused; for logs and metrics only, it changes nothing that is sent."""

    UNSPECIFIED = "unsaid"
    NUMBER_GAPPED = "number gapped"  # call gapping of a number whose lines were all busy
    NO_ROUTE = "no route"  # the destination is unknown, not serving, or the local exchange
    ATTEMPTS_USED = "attempts used"
    LOCAL_OVERLOAD = "own processor pressed"
    REMOTE_OVERLOAD = "far processor pressed"
    REMOTE_SILENT = "far end silent"  # the destination does not answer
    NO_CIRCUIT = "no circuit"
    TOO_LATE = "too late"  # the call can no longer be established in time
    UNKNOWN_CLASS = "unknown class"
    TABLE_FULL = "table full"  # the controller has as many open calls as it may
    LEAVING = "leaving"  # the controller is in standby or terminating


class FailureReason(Enum):
    """Why a call failed; for logs and metrics only, it changes nothing that is sent."""

    UNSPECIFIED = "unsaid"
    NUMBER_BUSY = "number busy"
    PATIENCE_OVER = "patience over"  # the caller waits no longer
    MAY_HAVE_RUN = "may have run"  # an attempt may have run, and the class permits no repetition


class Repeat(Enum):
    """Whether a call may be set up again after an attempt that may have run."""

    READ_LIKE = "read_like"  # at any time
    IDEMPOTENCY_KEY = "idempotency_key"  # where repeats are discarded; see DedupScope
    NON_IDEMPOTENT = "non_idempotent"  # never


class DedupScope(Enum):
    """Which exchanges discard repeats of a call that one of them has run."""

    ALL = "all"
    ZONE = "zone"  # those in its zone
    CELL = "cell"  # that exchange alone: no two have the same number


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls: how soon its calls are to be answered, and what they are worth."""

    name: str
    target_ns: int  # time from a call's first set-up within which an answer counts as on time
    deadline_ns: int  # time from a call's first set-up, redials included, after which its caller gives up
    worth: float = 1.0  # of a call answered on time, relative to the other classes
    late_worth: float = 0.0  # fraction of `worth` that a call answered late still has
    holding_time_ns: int = 10_000_000_000  # usual duration of an answered call; no decision uses it
    exchange_numbers: tuple[int, ...] = ()  # where the layout is no mesh: the pools that serve this class
    repeat: Repeat = Repeat.READ_LIKE
    # With IDEMPOTENCY_KEY: which exchanges discard repeats, and how long after the first set-up.
    dedup_scope: DedupScope = DedupScope.CELL
    memory_span_ns: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a controller is given once, at its start. A field out of range raises ValueError."""

    classes: tuple[CallClass, ...]
    own_number: int = -1  # number of the local exchange, whose processor this controller uses; -1 for none
    controllers: int = 1  # how many controllers send calls to the same exchanges, this one included
    controller_index: int = 0  # place of this one among them, from 0; no decision uses it
    is_mesh: bool = True  # calls go to the exchange they name; else to any pool of their class
    reporting: LoadReporting = LoadReporting.NONE
    may_probe: bool = False
    may_cancel: bool = False  # whether an attempt may be cancelled before it has ended
    may_advise_redial: bool = False  # whether a refusal may tell the caller when to redial
    max_redial_after_ns: int = 0  # longest time after a refusal that a caller may be asked to wait
    attempt_limit: int = 1  # most attempts of one call
    # Time that a remote exchange may take to release an attempt that ended without a definite result. The
    # next attempt of the call must wait for it.
    release_guard_ns: int = 0
    set_up_retransmit_ns: int = 0  # interval at which an unanswered set-up is repeated; no decision uses it
    list_on_request: bool = False  # whether the exchange list is kept up to date only after `FollowList`
    list_age_limit_ns: int = 10_000_000_000  # the list must be requested at least once in this time
    # An exchange that has just started is cold: it can handle `cold_share` of its usual load, which rises
    # evenly to all of it within `warm_after_ns`. Within any window of `cold_window_ns` it must not receive
    # more than `cold_multiple` times what it can handle. The decisions limit the calls per second to it from
    # `cold_share`, `cold_multiple` and `warm_after_ns`, and don't use `cold_window_ns`: that is read from the
    # settings and checked for its range, and the tests of this limit count calls in windows of its length.
    cold_share: float = 0.3
    cold_multiple: float = 2.0
    cold_window_ns: int = 2_000_000_000
    warm_after_ns: int = 15_000_000_000

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class of call is needed")
        for call_class in self.classes:
            if call_class.target_ns <= 0 or call_class.deadline_ns <= 0:
                raise ValueError(f"classes: target_ns and deadline_ns of {call_class.name!r} must be above 0")
            if not call_class.worth >= 0 or not 0 <= call_class.late_worth <= 1:
                raise ValueError(f"classes: worth or late_worth of {call_class.name!r} is out of range")
            if call_class.memory_span_ns < 0:
                raise ValueError(f"classes: memory_span_ns of {call_class.name!r} must not be negative")
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
        return min(call_class.target_ns for call_class in self.classes)

    @property
    def longest_target_ns(self) -> int:
        return max(call_class.target_ns for call_class in self.classes)

    @property
    def longest_deadline_ns(self) -> int:
        return max(call_class.deadline_ns for call_class in self.classes)

    @property
    def highest_worth(self) -> float:
        """The worth of the most valuable class, for use as a divisor: 1 if every class is worth 0."""
        return max(call_class.worth for call_class in self.classes) or 1.0

    def find_class(self, name: str) -> CallClass:
        """The class of that name; a call of an unknown class is handled as one of the first class."""
        return next((call_class for call_class in self.classes if call_class.name == name), self.classes[0])


@dataclass(frozen=True, slots=True)
class ListedExchange:
    """One entry of the exchange list. The decisions use neither machine type nor rating."""

    exchange: str
    number: int
    status: ExchangeStatus = ExchangeStatus.SERVING
    zone: str = ""
    machine_type: str = ""
    rating: float = 1.0  # weight of the machine, as the list gives it
    started_ns: int = 0  # when its process started; 0 if that is unknown


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures on one exchange, None where absent.

    The two circuit counts are up to date, the processor's figures lag behind.
    """

    free_circuits: int | None = None  # in this controller's circuit group to the exchange
    group_size: int | None = None  # circuits of that group, free or not
    set_ups_in_progress: float | None = None  # being handled by the processor; no decision uses it
    queued_messages: float | None = None  # waiting for the processor
    utilization: float | None = None  # share of the processor's time in use; no decision uses it
    wait_ns: float | None = None  # how long a message waits for the processor
    max_set_ups_per_s: float | None = None  # accepted by the processor from all controllers together
    reduction_share: float | None = None  # part of the set-ups that senders are asked to hold back, 0 to 1


@dataclass(frozen=True, slots=True)
class ExchangeList:
    """Event: the exchange list, or a change of it."""

    kind: ListKind
    entries: tuple[ListedExchange, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """Event: a call to decide on. If it is not answered, it gets one `Refuse` or `Fail` in time."""

    call: str  # identifier, used by every later event and action of this call
    class_name: str
    destination: int  # number of the exchange
    patience_ns: int  # how long the caller still waits
    number_called: str = ""  # the subscriber's number; a redial is recognized by it
    circuits: int = 1  # circuits that the call takes in each group on its way
    sender_or_advised_tandem: int = -1  # the sender of a transit call, else a tandem that is advised, or -1
    redial: bool = False  # the caller was refused before and tries again
    transit: bool = False  # another exchange sent the call, to be passed on to its destination
    was_interrupted: bool = False  # an answered call was interrupted, and its caller sets it up again


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """Event: an attempt was answered, and the call now stands."""

    call: str
    attempt: int  # counted from 0
    exchange: str
    delay_ns: int  # from sending the set-up to its answer


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt ended without an answer, or an answered call is over."""

    call: str
    attempt: int  # counted from 0
    exchange: str
    ending: Ending
    delay_ns: int = 0  # from sending the set-up to this end
    call_over: bool = False  # the call has ended too, so it gets no further attempt and no answer
    cause: FailureCause = FailureCause.UNSPECIFIED
    # With PROCESSOR_FULL: the wait for the processor, 0 if unknown; no decision uses it.
    reported_wait_ns: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Event: the caller gave up before the call was answered; the call needs no answer any more."""

    call: str


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Event: a probe's end or, with COMPLETED and `delay_ns` 0, a new state of the circuit group to it."""

    exchange: str
    ending: Ending
    delay_ns: int = 0  # from sending the probe to its answer
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: a timer that was set with `SetTimer` has expired."""

    label: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message from another controller. The decisions ignore it."""

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
    """Action: send a set-up of the call to an exchange, which starts an attempt."""

    call: str
    exchange: str
    abandon_at_ns: int = 0  # when the attempt ends if it is unanswered; 0: when the caller's patience ends
    # The latest moment to send it, as exchanges forget later what they have run; 0: when it is abandoned.
    send_by_ns: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: the final answer that the call is refused.

    `reason` is for logs and metrics: refusals that differ in it alone compare equal.
    """

    call: str
    redial_after_ns: int = 0  # how long the caller is asked to wait before a redial; 0 for no advice
    reason: RefusalReason = field(default=RefusalReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: the final answer that the call has failed, as after a busy number.

    `reason` is for logs and metrics: failures that differ in it alone compare equal.
    """

    call: str
    reason: FailureReason = field(default=FailureReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: end the attempt before its time; `AttemptEnded` with CANCELLED follows."""

    call: str
    attempt: int  # counted from 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask an exchange for a sign of life and its load figures; `ProbeAnswer` follows."""

    exchange: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: send `TimerExpired` with this label after a time."""

    after_ns: int
    label: int


@dataclass(frozen=True, slots=True)
class FollowList:
    """Action: request that the exchange list is kept up to date, where `Settings.list_on_request` holds."""


@dataclass(frozen=True, slots=True)
class Note:
    """Action: write a line to the log."""

    text: str


Action = SetUp | Refuse | Fail | CancelAttempt | Probe | SetTimer | FollowList | Note
