"""Random legal event sequences against rules 1, 2, 3 and 5, and equal input against equal output."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowkeel import Policy
from arrowkeel import interface as it
from tests.conftest import MS, SETTINGS, S, listed

STEPS = st.lists(
    st.tuples(st.sampled_from(["offer", "stand", "end", "list", "free", "wait"]), st.integers(0, 10**6)),
    max_size=80,
)
SLACK = 20 * MS  # as the settings of the deployments grant it
ENDINGS = [e for e in it.Ending if e is not it.Ending.COMPLETED]


class World:
    """Plays what the steps say against a policy and checks every action as it comes."""

    def __init__(self) -> None:
        self.policy = Policy(SETTINGS, seed=5)
        self.now = 50 * S
        self.log: list[it.Action] = []
        self.out: dict[str, tuple[str, int]] = {}
        self.tries: dict[str, int] = {}
        self.ends: dict[str, int] = {}
        self.released: dict[str, int] = {}
        self.serving = {f"x{n}" for n in range(5)}
        self.tell(it.ExchangeList(it.ListKind.REMEMBERED, listed()))

    def tell(self, *events: it.Event) -> None:
        for action in self.policy.handle(self.now, list(events)):
            self.log.append(action)
            if isinstance(action, it.SetUp):
                assert action.call in self.ends, "rule 1: sent after its end"
                assert action.call not in self.out, "rule 2: two attempts out"
                assert action.exchange in self.serving, "rule 3: sent to a drained exchange"
                assert self.now >= self.released.get(action.call, 0), "rule 5: release not awaited"
                self.out[action.call] = (action.exchange, self.tries.get(action.call, 0))
                self.tries[action.call] = self.tries.get(action.call, 0) + 1
            elif isinstance(action, it.Refuse | it.Fail):
                assert action.call in self.ends, "rule 1: two final answers"
                assert action.call not in self.out
                assert self.now <= self.ends.pop(action.call) + SLACK, "rule 1: too late"

    def wait(self, ms: int) -> None:
        for _ in range(ms // 5):
            self.now += 5 * MS
            for call, (exchange, attempt) in list(self.out.items()):
                if self.now >= self.ends[call]:
                    self.end(call, exchange, attempt, it.Ending.NO_ANSWER)
            self.tell(it.TimerExpired(0))

    def end(self, call: str, exchange: str, attempt: int, ending: it.Ending) -> None:
        del self.out[call]
        if ending in (it.Ending.NO_ANSWER, it.Ending.INTERRUPTED, it.Ending.CANCELLED):
            self.released[call] = self.now + SETTINGS.release_guard_ns
        self.tell(it.AttemptEnded(call, attempt, exchange, ending))

    def step(self, what: str, pick: int) -> None:
        if what == "offer":
            call = f"c{len(self.log)}-{len(self.ends)}-{pick}"
            if call not in self.tries and call not in self.ends:
                patience = (pick % 3000) * MS
                self.ends[call] = self.now + patience
                transit, kind = pick % 7 == 0, ("plain", "worthy")[pick % 2]
                self.tell(it.CallOffered(call, kind, 1 + pick % 4, patience, f"n{pick % 9}", transit=transit))
        elif what in ("stand", "end") and self.out:
            call, (exchange, attempt) = sorted(self.out.items())[pick % len(self.out)]
            if what == "end":
                self.end(call, exchange, attempt, ENDINGS[pick % len(ENDINGS)])
            else:
                del self.out[call], self.ends[call]
                self.tell(it.CallEstablished(call, attempt, exchange, (pick % 2000) * MS))
        elif what == "list":
            number = 1 + pick % 4
            serving = pick % 3 > 0
            (self.serving.add if serving else self.serving.discard)(f"x{number}")
            listing = it.ExchangeStatus.SERVING if serving else it.ExchangeStatus.DRAINING
            self.tell(
                it.ExchangeList(it.ListKind.CHANGES, (it.ListedExchange(f"x{number}", number, listing),))
            )
        elif what == "free":
            report = it.LoadReport(pick % 30, 30)
            self.tell(it.ProbeAnswer(f"x{1 + pick % 4}", it.Ending.COMPLETED, 0, report))
        elif what == "wait":
            self.wait(pick % 400)


def play(steps: list[tuple[str, int]]) -> World:
    world = World()
    for what, pick in steps:
        world.step(what, pick)
    world.wait(3100)
    return world


@settings(max_examples=60, derandomize=True, deadline=None, database=None)
@given(STEPS)
def test_rules_hold_and_equal_input_gives_equal_output(steps: list[tuple[str, int]]) -> None:
    world = play(steps)
    assert not world.ends, "rule 1: every call got its final answer"
    assert play(steps).log == world.log
