"""Drives one `Policy` by hand: passes events to it, collects its actions and follows its calls."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest

from arrowkeel import Policy
from arrowkeel import interface as it

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

SETTINGS = it.Settings(
    classes=(
        it.CallClass(
            "plain", target_ns=1500 * NS_PER_MS, deadline_ns=9 * NS_PER_S, worth=1.0, late_worth=0.25
        ),
        it.CallClass(
            "worthy", target_ns=1500 * NS_PER_MS, deadline_ns=9 * NS_PER_S, worth=4.0, late_worth=0.25
        ),
    ),
    own_number=0,
    controllers=5,
    may_advise_redial=True,
    max_redial_after_ns=2 * NS_PER_S,
    attempt_limit=6,
    release_guard_ns=400 * NS_PER_MS,
)


def listed_exchanges(count: int = 5) -> tuple[it.ListedExchange, ...]:
    """The exchanges x0, x1 ... with the numbers 0, 1 ..., all serving."""
    return tuple(it.ListedExchange(f"x{number}", number) for number in range(count))


@dataclass
class PolicyDriver:
    """A policy with a clock of its own, an exchange list and a report of free circuits to each exchange."""

    settings: it.Settings = SETTINGS
    entries: tuple[it.ListedExchange, ...] = field(default_factory=listed_exchanges)
    circuits_free: int | None = 20
    now_ns: int = 100 * NS_PER_S

    def __post_init__(self) -> None:
        self.policy = Policy(self.settings, seed=11)
        self.call_count = 0
        self.send_events(it.ExchangeList(it.ListKind.REMEMBERED, self.entries))
        if self.circuits_free is not None:
            for entry in self.entries:
                self.report_circuits(entry.exchange, self.circuits_free)

    def send_events(self, *events: it.Event) -> list[it.Action]:
        """Passes events to the policy in one batch; returns its actions, as all methods below do."""
        return list(self.policy.handle(self.now_ns, events))

    def wait(self, ms: float, step_ms: float = 25) -> list[it.Action]:
        """Lets time pass, with a timer event in every step."""
        actions: list[it.Action] = []
        end_at_ns = self.now_ns + int(ms * NS_PER_MS)
        while self.now_ns < end_at_ns:
            self.now_ns = min(end_at_ns, self.now_ns + int(step_ms * NS_PER_MS))
            actions += self.send_events(it.TimerExpired(0))
        return actions

    def report_circuits(self, exchange: str, free: int, total: int = 60) -> list[it.Action]:
        """Reports the circuit group towards an exchange."""
        return self.send_events(it.ProbeAnswer(exchange, it.Ending.COMPLETED, 0, it.LoadReport(free, total)))

    def offer(self, destination: int, **changes: object) -> tuple[str, list[it.Action]]:
        """Offers a call of the plain class to a number of its own; returns its identifier too."""
        self.call_count += 1
        call = it.CallOffered(
            f"call-{self.call_count}",
            "plain",
            destination,
            patience_ns=3 * NS_PER_S,
            number_called=f"n{self.call_count}",
        )
        call = replace(call, **changes)  # type: ignore[arg-type]
        return call.call, self.send_events(call)

    def establish(self, call: str, exchange: str, delay_ms: float = 50, attempt: int = 0) -> list[it.Action]:
        """Reports that the set-up of a call was answered."""
        return self.send_events(it.CallEstablished(call, attempt, exchange, int(delay_ms * NS_PER_MS)))

    def end_attempt(
        self,
        call: str,
        exchange: str,
        ending: it.Ending,
        cause: it.FailureCause = it.FailureCause.UNSPECIFIED,
        attempt: int = 0,
        call_over: bool = False,
    ) -> list[it.Action]:
        """Reports that an attempt ended without an answered call."""
        return self.send_events(it.AttemptEnded(call, attempt, exchange, ending, 0, call_over, cause))


def sent_to(actions: list[it.Action], call: str | None = None) -> list[str]:
    """The exchanges that set-ups are sent to, of all calls or of one."""
    return [a.exchange for a in actions if isinstance(a, it.SetUp) and (call is None or a.call == call)]


def final_answers(actions: list[it.Action], call: str | None = None) -> list[it.Action]:
    """The final answers to callers, of all calls or of one."""
    found = [a for a in actions if isinstance(a, it.Refuse | it.Fail)]
    return [a for a in found if call is None or a.call == call]


@pytest.fixture
def driver() -> PolicyDriver:
    """A driver with the default settings."""
    return PolicyDriver()
