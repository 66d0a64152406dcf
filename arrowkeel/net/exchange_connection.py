"""One connection to an exchange: set-ups out, their ends and the group's states back."""

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
from arrowkeel.net.connection import MessageConnection, SentRelease
from arrowkeel.net.metrics import ConnectionLoss

log = structlog.get_logger()
# A set-up takes a circuit, and the group's state comes at once on each connection: one that brings nothing
# for so long after a set-up, or lacks a state that another has, is mute, however open it looks.
MUTE_NS = 250 * MS
ENDINGS: dict[int, it.Ending] = {
    ReleaseCause.NO_CIRCUIT: it.Ending.REJECTED,
    ReleaseCause.SET_UP_NOT_SENT: it.Ending.NOT_SENT,
    ReleaseCause.TEMPORARY_FAILURE: it.Ending.INTERRUPTED,
    ReleaseCause.USER_BUSY: it.Ending.NUMBER_BUSY,
    ReleaseCause.RESOURCE_UNAVAILABLE: it.Ending.NUMBER_BUSY,
}
# The codes that the simulator's wire has for these notes, so that `wire` alone says what they mean.
NOTES = {"group_full": 1, "tandem_refused": 2, "processor_full": 3, "user_busy": 4, "destination_full": 18}


@dataclass(frozen=True, slots=True)
class SetUpRequest:
    """A set-up to pass on: what the caller sent, and when it is abandoned at the latest."""

    call: str
    class_name: str
    number_called: str
    description: bytes
    abandon_at_ns: int


class ExchangeEvents(Protocol):
    """What a connection tells of what comes on it, and of its own life."""

    report_names: tuple[str, ...]

    def connection_opened(self, connection: ExchangeConnection) -> None: ...
    def connection_lost(self, connection: ExchangeConnection, loss: ConnectionLoss) -> None: ...
    def connection_heard(self, connection: ExchangeConnection) -> None: ...
    def answered(self, connection: ExchangeConnection, call: str, description: bytes) -> None: ...
    def attempt_ended(
        self, call: str, ending: it.Ending, cause: it.FailureCause, wait_ns: int, report: it.LoadReport | None
    ) -> None: ...
    def released(
        self, connection: ExchangeConnection, call: str, cause: int, report: it.LoadReport | None
    ) -> None: ...
    def state_told(self, connection: ExchangeConnection, report: it.LoadReport | None) -> None: ...


class ExchangeConnection(MessageConnection):
    """One connection to an exchange, from its dial on."""

    def __init__(self, exchange: str, unsent_limit: int, events: ExchangeEvents) -> None:
        super().__init__(f"exchange {exchange}", unsent_limit)
        self.events = events
        self.set_ups: set[str] = set()  # sent here and not yet answered
        self.releases: dict[str, SentRelease] = {}  # that this connection may still lose
        self.state = b""  # the group's state as last told here
        self.heard_ns = time.monotonic_ns()
        self.asked_ns = 0  # when the first set-up left that nothing has been heard after
        self.behind_ns = 0  # since when another connection knows a state that this one does not
        self.loss: ConnectionLoss | None = None  # why it ends, where we end it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.events.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        loss = self.loss or (ConnectionLoss.CLOSED_BY_PEER if exc is None else ConnectionLoss.RESET)
        self.events.connection_lost(self, loss)

    def abort_as(self, loss: ConnectionLoss) -> None:
        """End it at once; what was written and not sent is dropped."""
        self.loss = loss
        self.abort()

    def close(self) -> None:
        self.loss = self.loss or ConnectionLoss.CLOSED_BY_US
        super().close()

    def is_mute(self, now_ns: int) -> bool:
        """Whether something is due on it for so long that it must be taken to be dead."""
        since_ns = [ns for ns in (self.asked_ns, self.behind_ns, self.incomplete_since_ns) if ns]
        return bool(since_ns) and now_ns - min(since_ns) > MUTE_NS

    def set_up(self, request: SetUpRequest, now_ns: int) -> bool:
        """Whether the set-up was written; it counts as open here in any case, until the connection ends."""
        self.set_ups.add(request.call)
        self.asked_ns = self.asked_ns or now_ns
        parameters: dict[int, bytes | str] = {
            Parameter.CLASS: request.class_name,
            Parameter.PATIENCE: str((request.abandon_at_ns - now_ns) // MS),
            Parameter.NUMBER: request.number_called,
            Parameter.DESCRIPTION: request.description,
        }
        return self.write(encode(MessageType.SET_UP, request.call, parameters))

    def release(self, call: str, cause: int, most_held: int) -> bool:
        """Whether the release was written; up to `most_held` are held while they can still be lost."""
        if not self.write(encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))})):
            return False
        if len(self.releases) < most_held:
            self.releases[call] = SentRelease(cause, time.monotonic_ns())
        return True

    def handle_message(self, message: Message) -> None:
        if message.parameter_error:
            raise MalformedMessageError(message.parameter_error)
        self.hear()
        match message.type:
            case MessageType.ANSWER:
                self.take_answer(message)
            case MessageType.RELEASE:
                self.take_release(message)
            case MessageType.GROUP_STATE:
                report = self.report(message)
                self.state = message.parameters.get(Parameter.REPORT, b"")
                self.events.state_told(self, report)
            case MessageType.PROGRESS | MessageType.RELEASE_COMPLETE | MessageType.TEST_RESULT:
                pass
            case _:
                raise MalformedMessageError(f"type {message.type} is nothing an exchange sends")

    def hear(self) -> None:
        """Something was read: the connection is not mute, and what was written a while ago has arrived."""
        self.heard_ns, self.asked_ns = time.monotonic_ns(), 0
        self.releases = {
            call: release
            for call, release in self.releases.items()
            if self.heard_ns - release.sent_ns < MUTE_NS
        }
        self.events.connection_heard(self)

    def take_answer(self, message: Message) -> None:
        """An answer that crossed our give-up is of no call any more: the give-up releases it there."""
        if message.call not in self.set_ups:
            return
        description = message.parameters.get(Parameter.DESCRIPTION)
        if description is None:
            raise MalformedMessageError(f"parameter {Parameter.DESCRIPTION.value}: missing")
        self.set_ups.discard(message.call)
        self.events.answered(self, message.call, description)

    def take_release(self, message: Message) -> None:
        cause, report = message.cause(), self.report(message)
        note = NOTES.get(message.text(Parameter.NOTE, ""), 0)
        if message.call not in self.set_ups:
            self.events.released(self, message.call, cause, report)
            return
        if cause == ReleaseCause.NORMAL:
            # Told after an answer only: an earlier attempt of this call stood, with its answer lost, and has
            # ended. Taken for this one's end it would send the call a second time while it is out.
            log.info("end of an earlier attempt", call=message.call, connection=self.number)
            return
        self.set_ups.discard(message.call)
        ending = ENDINGS.get(cause, it.Ending.NUMBER_BUSY)
        self.events.attempt_ended(message.call, ending, *wire.read_cause(note), report)

    def report(self, message: Message) -> it.LoadReport | None:
        figures = message.named_values(Parameter.REPORT)
        if not figures:
            return None
        names = self.events.report_names
        row = ",".join(figures.get(name, "-1") for name in names)
        try:
            return wire.read_report({"load": row}, names)
        except (wire.MalformedError, ValueError) as error:
            raise MalformedMessageError(f"parameter {Parameter.REPORT.value}: {error}") from None
