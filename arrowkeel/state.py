"""Plain state that the decisions are made on: moments, buckets, first sightings. No decision is made here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import islice, takewhile
from typing import Generic, TypeVar

from arrowkeel import interface as it

S = 1_000_000_000
C = TypeVar("C")


class Times:
    """Moments within the last `span_ns`, to be counted over all of it or over a shorter span."""

    def __init__(self, span_ns: int) -> None:
        self.span_ns = span_ns
        self.moments: deque[int] = deque()
        self.first: int | None = None

    def add(self, now: int) -> None:
        self.first = now if self.first is None else self.first
        self.moments.append(now)
        self.count(now)  # forgets here too: on calm days nobody asks, and a long day would fill the memory

    def rate(self, now: int) -> float:
        """Moments a second over the span, or since the first one if that is not so long ago."""
        known = self.span_ns if self.first is None else min(self.span_ns, max(S, now - self.first))
        return self.count(now) * S / known

    def count(self, now: int, span_ns: int | None = None) -> int:
        while self.moments and self.moments[0] <= now - self.span_ns:
            self.moments.popleft()
        if span_ns is None or span_ns >= self.span_ns:
            return len(self.moments)
        return sum(1 for _ in takewhile(lambda at: at > now - span_ns, reversed(self.moments)))


class Bucket:
    """A leaky bucket whose content drains by one unit a second."""

    def __init__(self) -> None:
        self.level, self.at = 0.0, 0

    def content(self, now: int) -> float:
        return max(0.0, self.level - (now - self.at) / S)

    def fill(self, level: float, now: int) -> None:
        self.level, self.at = level, now

    def add(self, amount: float, now: int) -> None:
        self.fill(self.content(now) + amount, now)


class Outstanding:
    """Set-ups out towards one processor, in the order of their sending."""

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.sent)

    def oldest(self, now: int, skipped: int = 0) -> int:
        """When the oldest was sent, or the next one where some are skipped; `now` if there is none."""
        return next(islice(self.sent.values(), skipped, None), now)

    def drop(self, call: str) -> None:
        self.sent.pop(call, None)

    def overtaken_by(self, call: str) -> list[str]:
        """Drops that call and all that were sent before it; the latter are what it has overtaken."""
        if (sent_at := self.sent.get(call)) is None:
            return []
        overtaken = [other for other, at in self.sent.items() if at < sent_at]
        for other in (call, *overtaken):
            del self.sent[other]
        return overtaken

    def restart(self, now: int) -> None:
        """Counts all as sent just now."""
        self.sent = dict.fromkeys(self.sent, now)


class FirstTimes:
    """When a key was first met, as long as that is no further back than `span_ns`."""

    def __init__(self, span_ns: int) -> None:
        self.span_ns = span_ns
        self.met: dict[str, int] = {}

    def of(self, key: str, now: int, then: int) -> int:
        while self.met and now - next(iter(self.met.values())) > self.span_ns:
            del self.met[next(iter(self.met))]
        return self.met.setdefault(key, then)


class GrowingGaps:
    """Keys that are left alone for a while, for twice as long each time, up to a longest gap."""

    def __init__(self, first_ns: int, most_ns: int) -> None:
        self.first_ns, self.most_ns = first_ns, most_ns
        self.until: dict[str, tuple[int, int]] = {}

    def shut(self, key: str, now: int) -> bool:
        return key in self.until and self.until[key][0] > now

    def shut_again(self, key: str, now: int, spread: float) -> None:
        gap = min(2 * self.until[key][1], self.most_ns) if key in self.until else self.first_ns
        self.until = {k: held for k, held in self.until.items() if held[0] > now - self.most_ns}
        self.until[key] = (now + int(gap * spread), gap)


@dataclass(slots=True)
class Route(Generic[C]):
    """One exchange as listed, with the own circuit group towards it and the entry of its processor."""

    exchange: str
    number: int
    cpu: C
    serving: bool = False
    free: int | None = None
    size: int = 0
    probe_at: int = 0
    weights: dict[int, float] = field(default_factory=dict)
    barred: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class CallState(Generic[C]):
    """A call that this agent has taken and not yet answered finally."""

    event: it.CallOffered
    aim_at: int
    ends: int
    not_before: int
    hold_until: int
    worth: float
    pools: tuple[int, ...]
    attempts: int = 0
    faulted: bool = False
    out: Route[C] | None = None
    tried: set[int] = field(default_factory=set)

    @property
    def id(self) -> str:
        return self.event.call
