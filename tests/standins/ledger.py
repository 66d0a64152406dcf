"""What happened to each call, as the stand-ins saw it, and which of the protocol's rules that breaks.

Times are seconds of the loop's clock. The limits are those of the protocol page, with its slack of 50 ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SLACK_S = 0.05
ANSWER_LIMIT_S = 0.5  # past the caller's time an answer only earns nothing; after this the call is lost
TOLD_RELEASE_S = 1.0  # from an exchange's release to the release towards the caller
UNTOLD_RELEASE_S = 8.0  # the same from the end of a call whose release could not be sent
DRAIN_S = 0.5  # sends may go on for so long after the controller was told
GUARD_S = 0.2  # after an attempt without a clear end, before the call may be sent again
CLOCK_S = 0.005  # two observers of one moment


@dataclass(slots=True)
class Attempt:
    """One set-up that has reached an exchange."""

    exchange: str
    reached: float
    ended: float | None = None
    is_clear: bool = True  # it is known to be over: not reset, timed out or taken back
    is_excused: bool = False  # the network or the exchange was in trouble: its end can't be seen


@dataclass(slots=True)
class Call:
    """One set-up of a caller."""

    controller: int
    offered: float
    patience: float
    attempts: list[Attempt] = field(default_factory=list)
    finals: list[tuple[float, str]] = field(default_factory=list)
    answers: set[bytes] = field(default_factory=set)  # descriptions that exchanges gave
    is_void: bool = False  # no answer is owed: given up, or its controller was killed outright
    established: float | None = None  # by an exchange
    over: float | None = None  # of a standing call
    was_told: bool = False  # the exchange's release has left on a working connection
    released: float | None = None  # towards the caller, or by the caller
    note: str = ""  # what its caller saw of its connection


class Ledger:
    """Every call of a run, and the breaches that were seen at once."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.breaches: list[str] = []
        self.cut_live = 0  # standing calls that a controller released though they stood

    def breach(self, rule: str, text: str, at: float) -> None:
        self.breaches.append(f"{at:.3f} {rule}: {text}")

    # Callers

    def offered(self, call: str, controller: int, at: float, patience: float) -> None:
        self.calls[call] = Call(controller, at, patience)

    def answered(self, call: str, at: float, description: bytes) -> None:
        record = self.calls[call]
        if description not in record.answers:
            self.breach(
                "served", f"call {call} has an answer that no exchange made for it: {description!r}", at
            )
        self.final(call, at, "answer")

    def final(self, call: str, at: float, kind: str) -> None:
        record = self.calls[call]
        record.finals.append((at, kind))
        if len(record.finals) > 1:
            self.breach("answers", f"call {call} has the answers {record.finals}", at)
        limit = record.offered + record.patience + ANSWER_LIMIT_S
        if at > limit and not record.is_void:
            self.breach("lost", f"call {call} was answered {at - limit:.3f} s too late", at)

    def released_to_caller(self, call: str, at: float) -> None:
        record = self.calls.get(call)
        if record is None or record.released is not None:
            return
        record.released = at
        if record.over is None and record.established is not None:
            self.cut_live += 1

    def void(self, call: str) -> None:
        self.calls[call].is_void = True

    # Exchanges

    def reached(self, call: str, exchange: str, at: float) -> Attempt:
        attempt = Attempt(exchange, at)
        record = self.calls.get(call)
        if record is None:
            self.breach("set-up", f"exchange {exchange} has a set-up {call} that no caller sent", at)
            return attempt
        for earlier in record.attempts:
            if earlier.is_excused:
                continue
            if earlier.ended is None:
                self.breach("duplicate", f"call {call} is out at {earlier.exchange} and {exchange}", at)
            elif not earlier.is_clear and at - earlier.ended < GUARD_S - CLOCK_S:
                self.breach("release", f"call {call} was sent again after {at - earlier.ended:.3f} s", at)
        record.attempts.append(attempt)
        return attempt

    def established(self, call: str, at: float, description: bytes) -> None:
        record = self.calls.get(call)
        if record is not None:
            record.established, record.over, record.was_told = at, None, False
            record.answers.add(description)

    def over(self, call: str, at: float, was_told: bool) -> None:
        record = self.calls.get(call)
        if record is not None and record.over is None:
            record.over, record.was_told = at, was_told

    # The end

    def check(self, at: float) -> None:
        """Add what is missing by now."""
        for call, record in self.calls.items():
            if record.is_void:
                continue
            if not record.finals:
                if at > record.offered + record.patience + ANSWER_LIMIT_S:
                    text = f"call {call}, offered at {record.offered:.3f}, has no answer ({record.note})"
                    self.breach("lost", text, at)
            elif record.finals[0][1] == "answer" and record.over is not None:
                self.check_release(call, record, at)

    def check_release(self, call: str, record: Call, at: float) -> None:
        assert record.over is not None
        limit = record.over + (TOLD_RELEASE_S if record.was_told else UNTOLD_RELEASE_S) + SLACK_S
        if (record.released or at) > limit:
            told = "told" if record.was_told else "not told"
            late = f"released at {record.released:.3f}" if record.released else "never released"
            self.breach(
                "lost",
                f"call {call} was over at {record.over:.3f} ({told}) and {late} ({record.note})",
                limit,
            )
