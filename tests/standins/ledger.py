"""Records what the stand-ins observe of each call, and reports violations of the protocol's rules.

The stand-in callers and exchanges write to one ledger. A rule that a single observation can break is checked
as the observation is recorded; `check_unfinished_calls` finds missing messages at the end of the run. Times
are seconds of the event loop's clock. The limits are those of the protocol page, with its tolerance of 50 ms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Tolerance that the protocol page adds to its limits.
TOLERANCE_S = 0.05
# Time after the caller's patience in which an answer only earns nothing; after it the call counts as lost.
ANSWER_GRACE_S = 0.5
# Limit from an exchange's release message to the release towards the caller.
RELEASE_LIMIT_S = 1.0
# The same limit from the end of a call whose release message could not be sent.
UNSENT_RELEASE_LIMIT_S = 8.0
# Set-ups may still be sent to a draining exchange for this long after the controller was notified.
DRAIN_GRACE_S = 0.5
# Minimum time between the end of an attempt whose outcome is unknown and the next attempt of the call.
RELEASE_GUARD_S = 0.2
# Two observers may date the same moment differently by this much.
CLOCK_TOLERANCE_S = 0.005


@dataclass(slots=True)
class Attempt:
    """One set-up that has reached an exchange."""

    exchange: str
    arrived_at_s: float
    ended_at_s: float | None = None
    # The attempt is known to be over; false after a reset, a time-out or a cancellation.
    has_definite_end: bool = True
    # The network or the exchange had a fault during the attempt, so that its end cannot be observed.
    is_unobservable: bool = False


@dataclass(slots=True)
class Call:
    """One set-up of a caller, with everything that was observed of it."""

    controller: int
    offered_at_s: float
    patience_s: float
    attempts: list[Attempt] = field(default_factory=list)
    # Time and kind ("answer", "refused" or "failed") of each final response that the caller received.
    final_responses: list[tuple[float, str]] = field(default_factory=list)
    answer_descriptions: set[bytes] = field(default_factory=set)  # descriptions in the exchanges' answers
    # No final response is owed: the caller cancelled, or the controller was killed with SIGKILL.
    is_exempt: bool = False
    established_at_s: float | None = None  # when an exchange answered the call
    over_at_s: float | None = None  # when the answered call ended at its exchange
    release_was_sent: bool = False  # the exchange's release message left on a working connection
    release_was_held: bool = False  # the release towards the caller was written to a quiet connection
    released_at_s: float | None = None  # when the release reached the caller, or when the caller sent one
    connection_notes: str = ""  # what the caller observed of its connection, for the violation's text


class Ledger:
    """Every call of a run, and the rule violations found so far."""

    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.violations: list[str] = []
        self.standing_calls_released = 0  # calls that a controller released while their exchange held them

    def record_violation(self, rule: str, text: str, now_s: float) -> None:
        """Adds one violation: the rule's name and a sentence that says what broke it."""
        self.violations.append(f"{now_s:.3f} {rule}: {text}")

    # Observations of the callers

    def record_set_up_sent(self, call: str, controller: int, now_s: float, patience_s: float) -> None:
        """Records that a caller has written the last byte of a set-up to the controller of that index."""
        self.calls[call] = Call(controller, now_s, patience_s)

    def record_answer(self, call: str, now_s: float, description: bytes) -> None:
        """Records an answer at the caller; an exchange must have sent its description for this call."""
        record = self.calls[call]
        if description not in record.answer_descriptions:
            self.record_violation(
                "answer origin",
                f"the caller of call {call} received an answer that no exchange sent: {description!r}",
                now_s,
            )
        self.record_final_response(call, now_s, "answer")

    def record_final_response(self, call: str, now_s: float, kind: str) -> None:
        """Records a final response at the caller; there must be exactly one, and in time."""
        record = self.calls[call]
        record.final_responses.append((now_s, kind))
        if len(record.final_responses) > 1:
            self.record_violation(
                "one final response",
                f"the caller of call {call} received several: {record.final_responses}",
                now_s,
            )
        limit_s = record.offered_at_s + record.patience_s + ANSWER_GRACE_S
        if now_s > limit_s and not record.is_exempt:
            self.record_violation(
                "final response in time",
                f"call {call} received its final response {now_s - limit_s:.3f} s after the limit",
                now_s,
            )

    def record_release_to_caller(self, call: str, now_s: float) -> None:
        """Records the release of an answered call to its caller; counts calls that were still standing."""
        record = self.calls.get(call)
        if record is None or record.released_at_s is not None:
            return
        record.released_at_s = now_s
        if record.over_at_s is None and record.established_at_s is not None:
            self.standing_calls_released += 1

    def record_held_release(self, call: str) -> None:
        """Records that the release was written to a connection of callers that was quiet at that moment."""
        self.calls[call].release_was_held = True

    def exempt_call(self, call: str) -> None:
        """Exempts the call from the rules on missing and late messages to its caller."""
        self.calls[call].is_exempt = True

    # Observations of the exchanges

    def record_attempt(self, call: str, exchange: str, now_s: float) -> Attempt:
        """Records that a set-up has reached an exchange, and returns the new attempt.

        No earlier attempt of the call may be in progress, and after one without a definite end the controller
        must have waited for `RELEASE_GUARD_S`. Earlier attempts whose end cannot be observed are not checked.
        """
        attempt = Attempt(exchange, now_s)
        record = self.calls.get(call)
        if record is None:
            self.record_violation(
                "set-up origin",
                f"exchange {exchange} received a set-up of call {call}, which no caller sent",
                now_s,
            )
            return attempt
        for earlier in record.attempts:
            if earlier.is_unobservable:
                continue
            if earlier.ended_at_s is None:
                self.record_violation(
                    "one attempt at a time",
                    f"call {call} is in progress at {earlier.exchange} and was also sent to {exchange}",
                    now_s,
                )
            elif (
                not earlier.has_definite_end
                and now_s - earlier.ended_at_s < RELEASE_GUARD_S - CLOCK_TOLERANCE_S
            ):
                self.record_violation(
                    "release guard",
                    f"call {call} was sent again {now_s - earlier.ended_at_s:.3f} s after an attempt without "
                    "a definite end",
                    now_s,
                )
        record.attempts.append(attempt)
        return attempt

    def record_established(self, call: str, now_s: float, description: bytes) -> None:
        """Records that an exchange has answered the call with this description."""
        record = self.calls.get(call)
        if record is not None:
            record.established_at_s, record.over_at_s, record.release_was_sent = now_s, None, False
            record.answer_descriptions.add(description)

    def record_call_over(self, call: str, now_s: float, release_was_sent: bool) -> None:
        """Records that an answered call has ended at its exchange; only the first end counts."""
        record = self.calls.get(call)
        if record is not None and record.over_at_s is None:
            record.over_at_s, record.release_was_sent = now_s, release_was_sent

    # Checks at the end of a run

    def check_unfinished_calls(self, now_s: float) -> None:
        """Adds a violation for each final response and each release that is overdue by now."""
        for call, record in self.calls.items():
            if record.is_exempt:
                continue
            if not record.final_responses:
                if now_s > record.offered_at_s + record.patience_s + ANSWER_GRACE_S:
                    text = (
                        f"call {call}, offered at {record.offered_at_s:.3f}, received none "
                        f"({record.connection_notes})"
                    )
                    self.record_violation("one final response", text, now_s)
            elif record.final_responses[0][1] == "answer" and record.over_at_s is not None:
                self.check_release_time(call, record, now_s)

    def check_release_time(self, call: str, record: Call, now_s: float) -> None:
        """Adds a violation if an answered call that is over was released too late, or not at all by now."""
        assert record.over_at_s is not None
        could_be_sent = record.release_was_sent and not record.release_was_held
        limit_s = (
            record.over_at_s + (RELEASE_LIMIT_S if could_be_sent else UNSENT_RELEASE_LIMIT_S) + TOLERANCE_S
        )
        if (record.released_at_s or now_s) > limit_s:
            notice = "release sent" if record.release_was_sent else "release not sent"
            notice += ", and held on a quiet connection" if record.release_was_held else ""
            outcome = f"released at {record.released_at_s:.3f}" if record.released_at_s else "not released"
            self.record_violation(
                "release in time",
                f"call {call} was over at {record.over_at_s:.3f} ({notice}), and its caller was {outcome} "
                f"({record.connection_notes})",
                limit_s,
            )
