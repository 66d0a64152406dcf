"""Data structures behind the call control decisions: time windows, a leaky bucket, routes and calls.

They store and count; no decision is made here. Every moment is in integer nanoseconds of one monotonic clock,
and the caller passes the present moment as `now_ns`.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import islice, takewhile
from typing import Generic, TypeVar

from arrowkeel import interface as it
from arrowkeel.repeat_rule import NEVER_RAN, PossibleRun

NS_PER_S = 1_000_000_000
MAX_KEY_LENGTH = 32  # characters; longer keys are kept as a digest of this length
MAX_KEYS = 20_000  # of one table of keys, unless its user sets another bound
ProcessorT = TypeVar("ProcessorT")


class SlidingWindow:
    """Counts events within the last `span_ns`, or within a shorter span that ends now."""

    def __init__(self, span_ns: int) -> None:
        self.span_ns = span_ns
        self.times_ns: deque[int] = deque()
        self.first_at_ns: int | None = None

    def add(self, now_ns: int) -> None:
        """Records one event that happens now."""
        self.first_at_ns = now_ns if self.first_at_ns is None else self.first_at_ns
        self.times_ns.append(now_ns)
        # Expired events are dropped here as well as in count(): under light load nobody counts, and the
        # window would grow without limit during a long day.
        self.count(now_ns)

    def rate_per_s(self, now_ns: int) -> float:
        """Events per second, averaged over the span, or over the time since the first event if shorter.

        The average is never taken over less than one second.
        """
        observed_ns = (
            self.span_ns
            if self.first_at_ns is None
            else min(self.span_ns, max(NS_PER_S, now_ns - self.first_at_ns))
        )
        return self.count(now_ns) * NS_PER_S / observed_ns

    def count(self, now_ns: int, span_ns: int | None = None) -> int:
        """Number of events within the last `span_ns`; within the whole window if it is None or longer."""
        while self.times_ns and self.times_ns[0] <= now_ns - self.span_ns:
            self.times_ns.popleft()
        if span_ns is None or span_ns >= self.span_ns:
            return len(self.times_ns)
        return sum(1 for _ in takewhile(lambda at_ns: at_ns > now_ns - span_ns, reversed(self.times_ns)))


class LeakyBucket:
    """A leaky bucket whose level drains by one unit per second, so that the level is a time in seconds."""

    def __init__(self) -> None:
        self.stored_level, self.stored_at_ns = 0.0, 0

    def level(self, now_ns: int) -> float:
        """The level now, in seconds that it takes to drain."""
        return max(0.0, self.stored_level - (now_ns - self.stored_at_ns) / NS_PER_S)

    def set_level(self, level: float, now_ns: int) -> None:
        """Replaces the level, given in seconds."""
        self.stored_level, self.stored_at_ns = level, now_ns

    def add(self, amount: float, now_ns: int) -> None:
        """Raises the level by `amount` seconds."""
        self.set_level(self.level(now_ns) + amount, now_ns)


class PendingSetUps:
    """Set-ups that were sent to one processor and have no final response yet, in the order of sending."""

    def __init__(self) -> None:
        self.send_times_ns: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.send_times_ns)

    def oldest_sent_at_ns(self, now_ns: int, skipped: int = 0) -> int:
        """When the oldest set-up was sent, leaving out the `skipped` oldest; `now_ns` if none is left."""
        return next(islice(self.send_times_ns.values(), skipped, None), now_ns)

    def remove(self, call: str) -> None:
        """Removes the set-up of that call; does nothing if there is none."""
        self.send_times_ns.pop(call, None)

    def remove_with_overtaken(self, call: str) -> list[str]:
        """Removes that call and all that were sent before it; returns the latter, which it has overtaken."""
        if (sent_at_ns := self.send_times_ns.get(call)) is None:
            return []
        overtaken = [other for other, other_at_ns in self.send_times_ns.items() if other_at_ns < sent_at_ns]
        for other in (call, *overtaken):
            del self.send_times_ns[other]
        return overtaken

    def reset_ages(self, now_ns: int) -> None:
        """Treats all pending set-ups as sent just now."""
        self.send_times_ns = dict.fromkeys(self.send_times_ns, now_ns)


def compact_key(key: str) -> str:
    """The key itself, or a digest of it if it is long: what is stored of a key has a bounded size."""
    if len(key) <= MAX_KEY_LENGTH:
        return key
    return blake2b(key.encode(errors="surrogatepass"), digest_size=MAX_KEY_LENGTH // 2).hexdigest()


class FirstSeen:
    """Remembers when a key was first seen, for `span_ns` after that moment.

    Beyond `max_keys` the key seen first is forgotten.
    """

    def __init__(self, span_ns: int, max_keys: int = MAX_KEYS) -> None:
        self.span_ns, self.max_keys = span_ns, max_keys
        self.first_times_ns: OrderedDict[str, int] = OrderedDict()

    def get_or_record(self, key: str, now_ns: int, seen_at_ns: int) -> int:
        """When the key was first seen; a key that is not remembered is recorded as seen at `seen_at_ns`."""
        while self.first_times_ns and now_ns - next(iter(self.first_times_ns.values())) > self.span_ns:
            self.first_times_ns.popitem(last=False)
        first_at_ns = self.first_times_ns.setdefault(compact_key(key), seen_at_ns)
        if len(self.first_times_ns) > self.max_keys:
            self.first_times_ns.popitem(last=False)
        return first_at_ns


@dataclass(frozen=True, slots=True)
class Gap:
    """A time in which a key is blocked."""

    ends_at_ns: int
    unspread_ns: int  # its length before it was spread at random


class ExponentialBackoff:
    """Blocks keys for a gap that doubles with each block, from `initial_ns` up to `max_ns`.

    Beyond `max_keys` the key blocked longest ago is forgotten.
    """

    def __init__(self, initial_ns: int, max_ns: int, max_keys: int = MAX_KEYS) -> None:
        self.initial_ns, self.max_ns, self.max_keys = initial_ns, max_ns, max_keys
        self.gaps: OrderedDict[str, Gap] = OrderedDict()  # by key, the one blocked longest ago first

    def is_blocked(self, key: str, now_ns: int) -> bool:
        """Whether the gap of that key has not ended yet."""
        gap = self.gaps.get(compact_key(key)) if self.gaps else None
        return gap is not None and gap.ends_at_ns > now_ns

    def block(self, key: str, now_ns: int, spread: float) -> None:
        """Starts the next gap of that key; `spread` multiplies its length.

        Also drops the keys blocked longest ago whose gap ended `max_ns` ago or earlier.
        """
        stored_key = compact_key(key)
        earlier = self.gaps.pop(stored_key, None)
        gap_ns = self.initial_ns if earlier is None else min(2 * earlier.unspread_ns, self.max_ns)
        self.gaps[stored_key] = Gap(now_ns + int(gap_ns * spread), gap_ns)
        while len(self.gaps) > self.max_keys or (
            next(iter(self.gaps.values())).ends_at_ns <= now_ns - self.max_ns
        ):
            self.gaps.popitem(last=False)


@dataclass(slots=True)
class Route(Generic[ProcessorT]):
    """One listed exchange, the direct circuit group towards it and the overload state of its processor.

    `circuits_free` is None until the group has been reported; `circuits_total` is 0 until then. The last two
    attributes have the number of a tandem exchange as key: how well it has lately served as a tandem towards
    this exchange (0 to 1), and until when it is not used as one.
    """

    exchange: str
    number: int
    processor: ProcessorT
    zone: str = ""
    is_serving: bool = False
    circuits_free: int | None = None
    circuits_total: int = 0
    next_probe_at_ns: int = 0
    tandem_weights: dict[int, float] = field(default_factory=dict)
    tandem_barred_until_ns: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class CallState(Generic[ProcessorT]):
    """A call that this controller has accepted and not yet answered finally.

    `target_at_ns` is the latest moment at which an answered set-up still counts as on time, and
    `patience_ends_at_ns` the moment at which the caller gives up. No attempt starts before
    `earliest_attempt_at_ns`, and the call waits in the queue until `queueing_ends_at_ns` at the latest.
    `worth` is relative to the worthiest class of call (0 to 1). `had_signalling_fault` is set once an attempt
    ended in an error of the signalling. `current_route` is where the attempt in progress went, None if there
    is none, and `tried_tandems` holds the numbers of the tandem exchanges that the call was sent to.
    `possible_run` is the earliest attempt that ended without proof that it never ran, None if there is none.
    """

    event: it.CallOffered
    target_at_ns: int
    patience_ends_at_ns: int
    earliest_attempt_at_ns: int
    queueing_ends_at_ns: int
    worth: float
    call_class: it.CallClass
    attempts: int = 0
    sent_at_ns: int = 0  # start of the latest attempt
    possible_run: PossibleRun | None = None
    had_signalling_fault: bool = False
    current_route: Route[ProcessorT] | None = None
    tried_tandems: set[int] = field(default_factory=set)

    @property
    def id(self) -> str:
        """The identifier that the interface gives the call."""
        return self.event.call

    def record_ending(self, route: Route[ProcessorT], ending: it.Ending) -> None:
        """Records the end of an attempt on that route, for the rule on repetitions."""
        if ending not in NEVER_RAN and self.possible_run is None:
            self.possible_run = PossibleRun(route.zone, route.number, self.sent_at_ns)
