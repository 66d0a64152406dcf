"""Plays random legal event sequences: rules 1, 2, 3 and 5 hold, and equal input gives equal output."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowkeel import Policy
from arrowkeel import interface as it
from tests.conftest import NS_PER_MS, NS_PER_S, SETTINGS, listed_exchanges

STEPS = st.lists(
    st.tuples(st.sampled_from(["offer", "establish", "end", "list", "free", "wait"]), st.integers(0, 10**6)),
    max_size=80,
)
ANSWER_SLACK_NS = 20 * NS_PER_MS  # by which a final answer may be late; as in the deployments
ENDINGS = [e for e in it.Ending if e is not it.Ending.COMPLETED]


class RuleChecker:
    """Plays steps against a policy as its environment would, and checks the rules on each action as it comes.

    The dictionaries have the call as key: the attempt in progress, the number of attempts sent, the end of
    the caller's patience, and the time at which the release of its last attempt is over.
    """

    def __init__(self) -> None:
        self.policy = Policy(SETTINGS, seed=5)
        self.now_ns = 50 * NS_PER_S
        self.actions: list[it.Action] = []
        self.attempts_in_progress: dict[str, tuple[str, int]] = {}
        self.attempt_counts: dict[str, int] = {}
        self.patience_ends_at_ns: dict[str, int] = {}
        self.released_at_ns: dict[str, int] = {}
        self.serving = {f"x{n}" for n in range(5)}
        self.send_events(it.ExchangeList(it.ListKind.REMEMBERED, listed_exchanges()))

    def send_events(self, *events: it.Event) -> None:
        """Passes events to the policy and checks the actions that it returns."""
        for action in self.policy.handle(self.now_ns, list(events)):
            self.actions.append(action)
            if isinstance(action, it.SetUp):
                assert action.call in self.patience_ends_at_ns, "rule 1: sent after the final answer"
                assert action.call not in self.attempts_in_progress, "rule 2: two attempts in progress"
                assert action.exchange in self.serving, "rule 3: sent to a draining exchange"
                assert self.now_ns >= self.released_at_ns.get(action.call, 0), "rule 5: release not awaited"
                self.attempts_in_progress[action.call] = (
                    action.exchange,
                    self.attempt_counts.get(action.call, 0),
                )
                self.attempt_counts[action.call] = self.attempt_counts.get(action.call, 0) + 1
            elif isinstance(action, it.Refuse | it.Fail):
                assert action.call in self.patience_ends_at_ns, "rule 1: two final answers"
                assert action.call not in self.attempts_in_progress
                assert self.now_ns <= self.patience_ends_at_ns.pop(action.call) + ANSWER_SLACK_NS, (
                    "rule 1: too late"
                )

    def wait(self, ms: int) -> None:
        """Lets time pass; attempts end when their caller's patience does."""
        for _ in range(ms // 5):
            self.now_ns += 5 * NS_PER_MS
            for call, (exchange, attempt) in list(self.attempts_in_progress.items()):
                if self.now_ns >= self.patience_ends_at_ns[call]:
                    self.end_attempt(call, exchange, attempt, it.Ending.NO_ANSWER)
            self.send_events(it.TimerExpired(0))

    def end_attempt(self, call: str, exchange: str, attempt: int, ending: it.Ending) -> None:
        """Ends an attempt in progress without an answered call."""
        del self.attempts_in_progress[call]
        if ending in (it.Ending.NO_ANSWER, it.Ending.INTERRUPTED, it.Ending.CANCELLED):
            self.released_at_ns[call] = self.now_ns + SETTINGS.release_guard_ns
        self.send_events(it.AttemptEnded(call, attempt, exchange, ending))

    def play_step(self, kind: str, pick: int) -> None:
        """Plays one step of that kind; `pick` determines its details."""
        if kind == "offer":
            call = f"c{len(self.actions)}-{len(self.patience_ends_at_ns)}-{pick}"
            if call not in self.attempt_counts and call not in self.patience_ends_at_ns:
                patience_ns = (pick % 3000) * NS_PER_MS
                self.patience_ends_at_ns[call] = self.now_ns + patience_ns
                transit, class_name = pick % 7 == 0, ("plain", "worthy")[pick % 2]
                self.send_events(
                    it.CallOffered(
                        call, class_name, 1 + pick % 4, patience_ns, f"n{pick % 9}", transit=transit
                    )
                )
        elif kind in ("establish", "end") and self.attempts_in_progress:
            call, (exchange, attempt) = sorted(self.attempts_in_progress.items())[
                pick % len(self.attempts_in_progress)
            ]
            if kind == "end":
                self.end_attempt(call, exchange, attempt, ENDINGS[pick % len(ENDINGS)])
            else:
                del self.attempts_in_progress[call], self.patience_ends_at_ns[call]
                self.send_events(it.CallEstablished(call, attempt, exchange, (pick % 2000) * NS_PER_MS))
        elif kind == "list":
            number = 1 + pick % 4
            is_serving = pick % 3 > 0
            (self.serving.add if is_serving else self.serving.discard)(f"x{number}")
            status = it.ExchangeStatus.SERVING if is_serving else it.ExchangeStatus.DRAINING
            self.send_events(
                it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange(f"x{number}", number, status),))
            )
        elif kind == "free":
            report = it.LoadReport(pick % 30, 30)
            self.send_events(it.ProbeAnswer(f"x{1 + pick % 4}", it.Ending.COMPLETED, 0, report))
        elif kind == "wait":
            self.wait(pick % 400)


def play_steps(steps: list[tuple[str, int]]) -> RuleChecker:
    """Plays all steps against a new policy, then waits until every caller has given up."""
    checker = RuleChecker()
    for kind, pick in steps:
        checker.play_step(kind, pick)
    checker.wait(3100)
    return checker


@settings(max_examples=60, derandomize=True, deadline=None, database=None)
@given(STEPS)
def test_rules_hold_and_equal_input_gives_equal_output(steps: list[tuple[str, int]]) -> None:
    checker = play_steps(steps)
    assert not checker.patience_ends_at_ns, "rule 1: every call got its final answer"
    assert play_steps(steps).actions == checker.actions
