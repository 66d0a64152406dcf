"""Drives one policy by hand: events in, actions out, calls followed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest

from arrowkeel import Policy
from arrowkeel import interface as it

MS = 1_000_000
S = 1_000_000_000

SETTINGS = it.Settings(
    classes=(
        it.CallClass("plain", target_ns=1500 * MS, deadline_ns=9 * S, worth=1.0, late_worth=0.25),
        it.CallClass("worthy", target_ns=1500 * MS, deadline_ns=9 * S, worth=4.0, late_worth=0.25),
    ),
    own_number=0,
    controllers=5,
    may_advise_redial=True,
    max_redial_after_ns=2 * S,
    attempt_limit=6,
    release_guard_ns=400 * MS,
)


def listed(count: int = 5) -> tuple[it.ListedExchange, ...]:
    return tuple(it.ListedExchange(f"x{number}", number) for number in range(count))


@dataclass
class PolicyDriver:
    settings: it.Settings = SETTINGS
    entries: tuple[it.ListedExchange, ...] = field(default_factory=listed)
    free: int | None = 20
    now: int = 100 * S

    def __post_init__(self) -> None:
        self.policy = Policy(self.settings, seed=11)
        self.serial = 0
        self.tell(it.ExchangeList(it.ListKind.REMEMBERED, self.entries))
        if self.free is not None:
            for entry in self.entries:
                self.circuits(entry.exchange, self.free)

    def tell(self, *events: it.Event) -> list[it.Action]:
        return list(self.policy.handle(self.now, events))

    def wait(self, ms: float, step_ms: float = 25) -> list[it.Action]:
        """Let time pass, with a timer ringing every step."""
        actions: list[it.Action] = []
        end = self.now + int(ms * MS)
        while self.now < end:
            self.now = min(end, self.now + int(step_ms * MS))
            actions += self.tell(it.TimerExpired(0))
        return actions

    def circuits(self, exchange: str, free: int, size: int = 60) -> list[it.Action]:
        return self.tell(it.ProbeAnswer(exchange, it.Ending.COMPLETED, 0, it.LoadReport(free, size)))

    def offer(self, destination: int, **changes: object) -> tuple[str, list[it.Action]]:
        self.serial += 1
        call = it.CallOffered(
            f"call-{self.serial}", "plain", destination, patience_ns=3 * S, number_called=f"n{self.serial}"
        )
        call = replace(call, **changes)  # type: ignore[arg-type]
        return call.call, self.tell(call)

    def stand(self, call: str, exchange: str, delay_ms: float = 50, attempt: int = 0) -> list[it.Action]:
        return self.tell(it.CallEstablished(call, attempt, exchange, int(delay_ms * MS)))

    def end(
        self,
        call: str,
        exchange: str,
        ending: it.Ending,
        cause: it.FailureCause = it.FailureCause.UNSPECIFIED,
        attempt: int = 0,
        call_over: bool = False,
    ) -> list[it.Action]:
        return self.tell(it.AttemptEnded(call, attempt, exchange, ending, 0, call_over, cause))


def sent(actions: list[it.Action], call: str | None = None) -> list[str]:
    return [a.exchange for a in actions if isinstance(a, it.SetUp) and (call is None or a.call == call)]


def answers(actions: list[it.Action], call: str | None = None) -> list[it.Action]:
    found = [a for a in actions if isinstance(a, it.Refuse | it.Fail)]
    return [a for a in found if call is None or a.call == call]


@pytest.fixture
def driver() -> PolicyDriver:
    return PolicyDriver()
