"""One connection to an exchange.

It sends set-ups and releases, and turns received messages into calls of `ExchangeEvents`: answers, releases
and reports of the circuit group's state. It also detects when the connection has become unresponsive.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Protocol

import structlog

from arrowkeel import interface as it
from arrowkeel import wire
from arrowkeel.net.codec import MalformedMessageError, Message, MessageType, Parameter, ReleaseCause, encode
from arrowkeel.net.config import MS
from arrowkeel.net.connection import MessageConnection
from arrowkeel.net.metrics import ConnectionLoss

log = structlog.get_logger()
# When a set-up takes a circuit, the exchange reports the group's state on each connection at once. So a
# connection is unresponsive, even if it looks open, once nothing has been received on it for this long after
# a set-up, or once it has lacked for this long a state that another connection has received.
RESPONSE_TIMEOUT_NS = 250 * MS
# How an attempt ended, by the cause in the release of its set-up.
ENDING_BY_CAUSE: dict[int, it.Ending] = {
    ReleaseCause.NO_CIRCUIT: it.Ending.REJECTED,
    ReleaseCause.SET_UP_NOT_SENT: it.Ending.NOT_SENT,
    ReleaseCause.TEMPORARY_FAILURE: it.Ending.INTERRUPTED,
    ReleaseCause.USER_BUSY: it.Ending.NUMBER_BUSY,
    ReleaseCause.RESOURCE_UNAVAILABLE: it.Ending.NUMBER_BUSY,
}
# The codes of these notes in the simulator's protocol: their meaning is defined in `wire` alone.
NOTE_CODES = {
    "group_full": 1,
    "tandem_refused": 2,
    "processor_full": 3,
    "user_busy": 4,
    "destination_full": 18,
}


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A release written to a connection, kept to be sent again if the connection loses it."""

    cause: int
    sent_at_ns: int  # when it was written


@dataclass(frozen=True, slots=True)
class SetUpRequest:
    """A set-up to send to an exchange: what the caller sent, and the latest time to wait for an answer."""

    call: str
    class_name: str
    number_called: str
    description: bytes
    abandon_at_ns: int
    send_by_ns: int  # it must not be sent later; at most `abandon_at_ns`


class ExchangeEvents(Protocol):
    """What a connection reports to its owner: the messages that it has received, and its own start and end.

    `report_names` lists the values of a report in the order of the configuration.
    """

    report_names: tuple[str, ...]

    def connection_opened(self, connection: ExchangeConnection) -> None: ...
    def connection_lost(self, connection: ExchangeConnection, loss: ConnectionLoss) -> None: ...
    def message_received(self, connection: ExchangeConnection) -> None: ...
    def call_answered(self, connection: ExchangeConnection, call: str, description: bytes) -> None: ...
    def attempt_ended(
        self, call: str, ending: it.Ending, cause: it.FailureCause, wait_ns: int, report: it.LoadReport | None
    ) -> None: ...
    def call_released(
        self, connection: ExchangeConnection, call: str, cause: int, report: it.LoadReport | None
    ) -> None: ...
    def group_state_received(self, connection: ExchangeConnection, report: it.LoadReport | None) -> None: ...


class ExchangeConnection(MessageConnection):
    """One connection to an exchange, created before it is dialled."""

    def __init__(self, exchange: str, unsent_limit_bytes: int, events: ExchangeEvents) -> None:
        super().__init__(f"exchange {exchange}", unsent_limit_bytes)
        self.events = events
        self.open_set_ups: set[str] = set()  # call ids; sent here and neither answered nor released
        self.unconfirmed_releases: dict[str, SentRelease] = {}  # by call id; they may still be lost
        self.raw_group_state = b""  # the parameter of the last group state received here
        self.last_received_at_ns = time.monotonic_ns()
        # When the first set-up was sent after the last received message; 0 if none was.
        self.awaiting_since_ns = 0
        # Since when another connection has received a state that this one lacks; 0 if none has.
        self.state_missing_since_ns = 0
        self.loss: ConnectionLoss | None = None  # why it ends, if this side ends it
        # Since when nothing more is sent and the exchange is expected to close the connection; 0 before.
        self.finishing_since_ns = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.events.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports why the connection ended, after what was received on it."""
        super().connection_lost(exc)
        loss = self.loss or (ConnectionLoss.CLOSED_BY_PEER if exc is None else ConnectionLoss.RESET)
        self.events.connection_lost(self, loss)

    def abort_as(self, loss: ConnectionLoss) -> None:
        """Closes the connection at once, for this reason; output that has not been sent is discarded."""
        self.loss = loss
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once; keeps a reason that is already set."""
        self.loss = self.loss or ConnectionLoss.CLOSED_BY_US
        super().abort()

    def handle_protocol_error(self, reason: str) -> None:
        """Closes the connection after malformed input."""
        self.loss = self.loss or ConnectionLoss.MALFORMED
        super().handle_protocol_error(reason)

    @property
    def unacknowledged_since_ns(self) -> int:
        """Since when what was sent, the end of the connection included, may not have reached the exchange."""
        since_ns = [ns for ns in (self.awaiting_since_ns, self.finishing_since_ns) if ns]
        return min(since_ns, default=time.monotonic_ns())

    def close(self) -> None:
        """Closes the connection once its output has been sent; keeps a reason that is already set."""
        self.loss = self.loss or ConnectionLoss.CLOSED_BY_US
        super().close()

    @property
    def is_open(self) -> bool:
        """Whether messages may be sent on the connection."""
        return super().is_open and not self.finishing_since_ns

    def finish(self) -> None:
        """Closes the sending side only; the connection ends once the exchange has closed it too.

        A release that is on its way here is thus still received.
        """
        if self.transport is not None and self.is_open:
            self.finishing_since_ns = time.monotonic_ns()
            self.loss = self.loss or ConnectionLoss.CLOSED_BY_US
            self.transport.write_eof()

    def is_unresponsive(self, now_ns: int) -> bool:
        """Whether a message has been due on it for so long that the connection must be taken for dead."""
        overdue_since_ns = [
            ns for ns in (self.awaiting_since_ns, self.state_missing_since_ns, self.incomplete_since_ns) if ns
        ]
        return bool(overdue_since_ns) and now_ns - min(overdue_since_ns) > RESPONSE_TIMEOUT_NS

    def send_set_up(self, request: SetUpRequest, now_ns: int) -> bool:
        """Sends a set-up and returns whether it was written.

        Even if it was not, the set-up counts as open on this connection: the end of the connection, which
        follows, then ends the attempt.
        """
        self.open_set_ups.add(request.call)
        self.awaiting_since_ns = self.awaiting_since_ns or now_ns
        parameters: dict[int, bytes | str] = {
            Parameter.CLASS: request.class_name,
            Parameter.PATIENCE: str((request.abandon_at_ns - now_ns) // MS),
            Parameter.NUMBER: request.number_called,
            Parameter.DESCRIPTION: request.description,
        }
        return self.write(encode(MessageType.SET_UP, request.call, parameters))

    def send_release(self, call: str, cause: int, max_kept: int) -> bool:
        """Sends a release and returns whether it was written.

        Up to `max_kept` releases are kept while the connection may still lose them, to be sent again.
        """
        if not self.write(encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))})):
            return False
        if len(self.unconfirmed_releases) < max_kept:
            self.unconfirmed_releases[call] = SentRelease(cause, time.monotonic_ns())
        return True

    def handle_message(self, message: Message) -> None:
        """Passes a message on to the owner; raises `MalformedMessageError` if its contents can't be used."""
        if message.parameter_error:
            raise MalformedMessageError(message.parameter_error)
        self.record_received()
        match message.type:
            case MessageType.ANSWER:
                self.handle_answer(message)
            case MessageType.RELEASE:
                self.handle_release(message)
            case MessageType.GROUP_STATE:
                report = self.decode_report(message)
                self.raw_group_state = message.parameters.get(Parameter.REPORT, b"")
                self.events.group_state_received(self, report)
            case MessageType.PROGRESS | MessageType.RELEASE_COMPLETE | MessageType.TEST_RESULT:
                pass
            case _:
                raise MalformedMessageError(f"type {message.type} is not sent by exchanges")

    def record_received(self) -> None:
        """Notes that a message was received: the connection works.

        Releases that were sent RESPONSE_TIMEOUT_NS ago or earlier count as arrived and are not kept.
        """
        self.last_received_at_ns, self.awaiting_since_ns = time.monotonic_ns(), 0
        self.unconfirmed_releases = {
            call: release
            for call, release in self.unconfirmed_releases.items()
            if self.last_received_at_ns - release.sent_at_ns < RESPONSE_TIMEOUT_NS
        }
        self.events.message_received(self)

    def handle_answer(self, message: Message) -> None:
        """Passes on the answer to an open set-up.

        An answer that crossed the cancellation of its set-up is ignored: the release that was sent for the
        cancellation ends the call at the exchange.
        """
        if message.call not in self.open_set_ups:
            return
        description = message.parameters.get(Parameter.DESCRIPTION)
        if description is None:
            raise MalformedMessageError(f"parameter {Parameter.DESCRIPTION.value}: missing")
        self.open_set_ups.discard(message.call)
        self.events.call_answered(self, message.call, description)

    def handle_release(self, message: Message) -> None:
        """Passes on the end of an open set-up, or of a standing call."""
        cause, report = message.cause(), self.decode_report(message)
        note = NOTE_CODES.get(message.text(Parameter.NOTE, ""), 0)
        if message.call not in self.open_set_ups:
            self.events.call_released(self, message.call, cause, report)
            return
        if cause == ReleaseCause.NORMAL:
            # Exchanges send this cause only after an answer: an earlier attempt of this call was answered,
            # the answer was lost, and that call has ended. If this were taken for the end of the current
            # attempt, the call would be sent a second time while its set-up is still open.
            log.info(
                "normal release of an earlier attempt ignored", call=message.call, connection=self.number
            )
            return
        self.open_set_ups.discard(message.call)
        ending = ENDING_BY_CAUSE.get(cause, it.Ending.NUMBER_BUSY)
        self.events.attempt_ended(message.call, ending, *wire.read_cause(note), report)

    def decode_report(self, message: Message) -> it.LoadReport | None:
        """The report in a message, or None if it has none; values that are missing count as unknown."""
        values = message.named_values(Parameter.REPORT)
        if not values:
            return None
        names = self.events.report_names
        load = ",".join(values.get(name, "-1") for name in names)
        try:
            return wire.read_report({"load": load}, names)
        except (wire.MalformedInputError, ValueError) as error:
            raise MalformedMessageError(f"parameter {Parameter.REPORT.value}: {error}") from None
