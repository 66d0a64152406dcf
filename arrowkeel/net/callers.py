"""Connections from callers: turns their messages into offered calls and releases, and sends the replies.

Invalid set-ups are rejected here, and connections that carry nothing of use are closed in time.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, replace
from typing import Protocol

from arrowkeel.caller_release import DeclinedSetUps, ReleaseVerdict
from arrowkeel.message_budget import MessageBudget
from arrowkeel.net.codec import (
    NO_CALL_ID,
    MalformedMessageError,
    Message,
    MessageType,
    Parameter,
    ReleaseCause,
    encode,
    parse_integer,
)
from arrowkeel.net.config import Bounds
from arrowkeel.net.connection import MessageConnection, SharedTurns, log
from arrowkeel.pending_releases import Carrier, ConnectionEnd

MS = 1_000_000  # nanoseconds in a millisecond
MAX_PATIENCE_MS = 3_600_000  # no caller waits for an hour; a larger value is reduced to this
TEST_PASSED = b"\x01"  # test result: calls are accepted
TEST_FAILED = b"\x00"  # test result: no calls are accepted
# A caller that sends nothing of use must be disconnected within 3 s; this happens at the next sweep after one
# of these times. The first is how long a connection may bring no set-up. The second is how long a message may
# stay incomplete, the first set-up included; it is longer, as some callers take 2 s to write one. The third
# is how long an orderly close may take before the connection is aborted.
FIRST_SET_UP_TIMEOUT_NS, INCOMPLETE_MESSAGE_TIMEOUT_NS, CLOSE_TIMEOUT_NS = 2000 * MS, 2700 * MS, 1000 * MS
# Invalid set-ups on one connection; beyond it the connection is closed once no call is open on it.
MAX_INVALID_SET_UPS = 16
caller_turns = SharedTurns()


@dataclass(frozen=True, slots=True)
class Offer:
    """A valid set-up as a caller sent it."""

    call: str
    class_name: str
    number_called: str
    destination: int
    circuits: int  # how many circuits the call needs
    sender_or_tandem: int  # the sender of a transit call, else the advised tandem, or -1
    patience_ms: int  # from the arrival of the set-up; the controller turns it into an absolute deadline
    redial: bool
    transit: bool
    was_interrupted: bool  # the call is set up again after an interruption
    description: bytes  # of the call, opaque; passed on unchanged

    @property
    def kept_bytes(self) -> int:
        """The memory that the call takes as long as it may be sent, apart from a fixed part."""
        return len(self.description) + sys.getsizeof(self.number_called)

    def without_contents(self) -> Offer:
        """Returns what is needed of an answered call."""
        return replace(self, number_called="", description=b"")


class CallerHandler(Protocol):
    """What the controller does for connections from callers, whatever protocol they speak.

    - `accepts_calls` is the result of a test that a caller asks for.
    - `first_call_carried` follows the first valid set-up or release on a connection.
    - `caller_left` gives up the open calls of a caller that has closed its connection.
    - `call_offered` returns False if the set-up turns out not to be valid.
    - `release_received` ends a call before or after its answer, as the caller on that connection asks, and
      returns what was done with the release.
    - `receipt_received` names a call whose release the caller has read.
    - `set_up_skipped` follows a set-up that is not accepted, as its caller has closed the connection.
    - `abort_call` ends an open call with a final answer, because its caller cannot go on with it.
    """

    @property
    def accepts_calls(self) -> bool: ...
    def caller_connected(self, connection: CallerConnection) -> None: ...
    def first_call_carried(self, connection: CallerConnection) -> None: ...
    def caller_left(self, connection: CallerConnection) -> None: ...
    def caller_disconnected(self, connection: CallerConnection) -> None: ...
    def call_offered(self, connection: CallerConnection, offer: Offer) -> bool: ...
    def release_received(self, connection: CallerConnection, call: str, cause: int) -> ReleaseVerdict: ...
    def receipt_received(self, connection: CallerConnection, call: str) -> None: ...
    def set_up_skipped(self) -> None: ...
    def abort_call(self, connection: CallerConnection, call: str) -> None: ...


def parse_offer(message: Message) -> Offer:
    """Returns the call that a set-up offers, or raises MalformedMessageError.

    Prevents an invalid set-up from being passed on: an exchange closes a connection on which it receives
    something malformed, whatever other calls are open there.
    """
    if message.parameter_error:
        raise MalformedMessageError(message.parameter_error)
    if message.call == NO_CALL_ID:
        raise MalformedMessageError("a set-up without a call identifier")
    routing = message.named_values(Parameter.ROUTING)

    def routing_value(name: str, default: int | None = None) -> int:
        if name not in routing and default is not None:
            return default
        return parse_integer(routing.get(name, ""), f"parameter {Parameter.ROUTING.value}: {name}")

    circuits = routing_value("width", 1)
    if circuits < 1:
        raise MalformedMessageError(f"parameter {Parameter.ROUTING.value}: width: {circuits} circuits")
    patience_ms = message.integer(Parameter.PATIENCE)
    if patience_ms < 1:
        raise MalformedMessageError(f"parameter {Parameter.PATIENCE.value}: {patience_ms} milliseconds")
    number, description = message.text(Parameter.NUMBER), message.parameters.get(Parameter.DESCRIPTION, b"")
    if not number or not description:
        raise MalformedMessageError("a set-up without number called or description")
    return Offer(
        call=message.call,
        class_name=message.text(Parameter.CLASS),
        number_called=number,
        destination=routing_value("dest"),
        circuits=circuits,
        sender_or_tandem=routing_value("via", -1),
        patience_ms=min(patience_ms, MAX_PATIENCE_MS),
        redial=message.text(Parameter.REDIAL, "0") == "1",
        transit=routing_value("transit", 0) == 1,
        was_interrupted=routing_value("again", 0) == 1,
        description=description,
    )


class CallerConnection(MessageConnection):
    """One connection from callers; the reply to a set-up goes out on the connection that brought it."""

    def __init__(self, handler: CallerHandler, bounds: Bounds) -> None:
        super().__init__("caller", bounds.max_unsent_bytes, caller_turns)
        self.handler, self.bounds = handler, bounds
        self.open_call_bytes = 0  # of the calls in `open_calls`
        # Set-ups that were rejected or refused on arrival, in case their caller gives them up.
        self.declined_set_ups = DeclinedSetUps(bounds.max_ids_per_connection)
        # Set-ups that were accepted, or refused for no fault of their own; and those that were not valid.
        self.valid_set_ups = self.invalid_set_ups = 0
        # Connections that only test whether the controller accepts calls never carry one.
        self.has_carried_calls = False
        self.connected_at_ns = time.monotonic_ns()
        self.carrier = Carrier(self.number, last_received_at_ns=self.connected_at_ns)
        self.open_calls, self.standing_calls = self.carrier.open_calls, self.carrier.standing_calls
        self.end = ConnectionEnd.RESET  # how the connection ended, once it is lost
        self.message_budget = MessageBudget.full(bounds.max_calls, self.connected_at_ns)

    @property
    def last_received_at_ns(self) -> int:
        """When data was last received; when the connection was opened, before that."""
        return self.carrier.last_received_at_ns

    def connection_made(self, transport: object) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        self.handler.caller_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.decoder.skips_set_ups = True
        super().connection_lost(exc)
        self.end = self.find_end(was_reset=exc is not None or self.was_aborted)
        self.handler.caller_disconnected(self)

    def find_end(self, was_reset: bool) -> ConnectionEnd:
        """Returns how the connection has ended."""
        if was_reset:
            return ConnectionEnd.RESET
        if self.closing_since_ns:
            return ConnectionEnd.CLOSED_HERE
        return ConnectionEnd.CLOSED_BY_CALLER if self.was_read_to_end else ConnectionEnd.RESET

    def data_received(self, data: bytes) -> None:
        if data:
            self.carrier.last_received_at_ns = time.monotonic_ns()
            self.message_budget.refill(self.last_received_at_ns)
        if not self.decoder.skips_set_ups and self.has_peer_closed:
            self.handle_caller_left()
        super().data_received(data)

    def handle_caller_left(self) -> None:
        """Gives up the caller's open calls and its further set-ups, for whose answers it does not wait.

        Its releases still count, so the connection is read to its end.
        """
        self.decoder.skips_set_ups = True
        self.handler.caller_left(self)

    def messages_per_turn(self) -> int | None:
        return None if self.decoder.skips_set_ups else super().messages_per_turn()

    def handle_message(self, message: Message) -> None:
        match message.type:
            case MessageType.SET_UP if self.decoder.skips_set_ups:
                self.handler.set_up_skipped()
                self.declined_set_ups.add(message.call)
            case MessageType.SET_UP:
                self.handle_set_up(message)
            case _ if message.parameter_error:
                raise MalformedMessageError(message.parameter_error)
            case MessageType.RELEASE:
                self.handle_release(message)
            case MessageType.TEST:
                result = TEST_PASSED if self.handler.accepts_calls else TEST_FAILED
                self.write(encode(MessageType.TEST_RESULT, message.call, {Parameter.CAUSE: result}))
                self.count_message_without_effect()
            case MessageType.RELEASE_COMPLETE:
                self.handler.receipt_received(self, message.call)
                self.count_message_without_effect()
            case MessageType.PROGRESS:
                self.count_message_without_effect()
            case _:
                raise MalformedMessageError(f"message type {message.type} is not valid from a caller")

    def handle_set_up(self, message: Message) -> None:
        """Offers the call to the controller.

        An invalid set-up is rejected by itself: the other calls of this connection go on.
        """
        try:
            offer = parse_offer(message)
        except MalformedMessageError as error:
            log.warning("invalid set-up rejected", reason=str(error))
            if message.call in self.open_calls:
                self.handler.abort_call(self, message.call)
            else:
                self.reject_set_up(message.call)
        else:
            if self.handler.call_offered(self, offer):
                self.valid_set_ups += 1
                self.message_budget.earn_call()
                self.mark_as_carrying_calls()
                return
        self.invalid_set_ups += 1
        if self.invalid_set_ups > MAX_INVALID_SET_UPS and not self.open_calls:
            self.close()

    def handle_release(self, message: Message) -> None:
        """Passes a release on to the controller."""
        verdict = self.handler.release_received(self, message.call, message.cause())
        if verdict not in (ReleaseVerdict.SET_UP_DECLINED, ReleaseVerdict.OTHER_CONNECTION):
            self.mark_as_carrying_calls()
        if verdict is not ReleaseVerdict.END_CALL:
            self.count_message_without_effect()

    def count_message_without_effect(self) -> None:
        """Closes the connection if it has sent too many of these and carries no call that would suffer."""
        if not self.message_budget.is_exhausted:
            self.message_budget.spend()
        elif not self.carrier.has_calls:
            self.handle_protocol_error("too many messages without effect")
        else:
            log.warning("messages without effect over the limit", connection=self.number)

    def reject_set_up(self, call: str) -> None:
        """Rejects a set-up that is not valid; the identifier may be that of another caller's call."""
        self.declined_set_ups.add(call)
        self.send_release(call, ReleaseCause.INVALID_CONTENTS)

    def mark_as_carrying_calls(self) -> None:
        """Notifies the controller when the connection carries a call for the first time."""
        if not self.has_carried_calls:
            self.has_carried_calls = True
            self.handler.first_call_carried(self)

    def handle_protocol_error(self, reason: str) -> None:
        """Closes the connection after each call that is open on it has had its final answer."""
        for call in sorted(self.open_calls):
            self.handler.abort_call(self, call)
        log.warning("caller's connection closed", reason=reason)
        self.close()

    def sweep(self, now_ns: int) -> None:
        """Closes the connection if a set-up or the rest of a message is overdue; called periodically."""
        if not self.is_open:
            if self.closing_since_ns and now_ns > self.closing_since_ns + CLOSE_TIMEOUT_NS:
                self.abort()
        elif self.incomplete_since_ns and self.is_overdue(
            self.incomplete_since_ns + INCOMPLETE_MESSAGE_TIMEOUT_NS, now_ns
        ):
            self.handle_protocol_error("message not completed in time")
        elif not self.valid_set_ups and self.is_overdue(
            self.connected_at_ns + self.first_set_up_timeout_ns, now_ns
        ):
            self.handle_protocol_error("no valid set-up in time")

    @property
    def first_set_up_timeout_ns(self) -> int:
        """How long the connection may bring no valid set-up; longer while a message is incomplete."""
        return INCOMPLETE_MESSAGE_TIMEOUT_NS if self.incomplete_since_ns else FIRST_SET_UP_TIMEOUT_NS

    def is_overdue(self, due_at_ns: int, now_ns: int) -> bool:
        """Whether that moment has passed and what had arrived by then has been read.

        A client that never stops sending always has unread bytes, so those that came later do not count.
        """
        has_read_since = self.last_received_at_ns > due_at_ns
        return now_ns > due_at_ns and (has_read_since or not self.has_unread_bytes)

    def send_answer(self, call: str, description: bytes) -> bool:
        """Returns whether the answer was written."""
        return self.write(encode(MessageType.ANSWER, call, {Parameter.DESCRIPTION: description}))

    def send_refusal(self, call: str, redial_after_ns: int) -> None:
        """Refuses a call because of congestion, with advice when to redial unless that is 0."""
        parameters: dict[int, bytes | str] = {Parameter.CAUSE: bytes((ReleaseCause.CONGESTION,))}
        if redial_after_ns > 0:
            parameters[Parameter.REDIAL_AFTER] = str(-(-redial_after_ns // MS))
        self.write(encode(MessageType.RELEASE, call, parameters))

    def send_failure(self, call: str) -> None:
        """Sends the final answer of a failed call: a release with the cause of a temporary failure."""
        self.send_release(call, ReleaseCause.TEMPORARY_FAILURE)

    def send_release(self, call: str, cause: int) -> bool:
        """Returns whether the release was written."""
        return self.write(encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))}))
