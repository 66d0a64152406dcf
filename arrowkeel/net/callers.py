"""Connections from callers: their messages to offers and releases, final answers to their messages."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Protocol

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
from arrowkeel.net.connection import MessageConnection, SentRelease, log

MS = 1_000_000
MOST_PATIENCE_MS = 3_600_000  # no caller waits an hour: a longer figure is cut to that
TEST_PASSED = b"\x01"
TEST_FAILED = b"\x00"
# A caller that sends nothing of use is owed a close within 3 s: it comes at a sweep after these. Half a
# message has longer than silence, as some callers take 2 s to write one.
SILENT_NS, HALF_NS, LINGER_NS = 2000 * MS, 2700 * MS, 1000 * MS
BAD_SET_UPS_LIMIT = 16  # on one connection; beyond it the connection goes once no good call is open there


RELEASES_HELD = 1024  # of those that a connection may lose as its caller ends it


@dataclass(frozen=True, slots=True)
class Offer:
    """A set-up as a caller sent it; the call's end is absolute from here on."""

    call: str
    class_name: str
    number_called: str
    destination: int
    width: int
    via: int
    patience_ms: int
    redial: bool
    transit: bool
    was_cut: bool
    description: bytes


class CallerHandler(Protocol):
    """What the controller does for connections from callers, whatever protocol they speak."""

    @property
    def accepts_calls(self) -> bool: ...
    def caller_connected(self, connection: CallerConnection) -> None: ...
    def caller_recognised(self, connection: CallerConnection) -> None: ...
    def caller_lost(self, connection: CallerConnection) -> None: ...
    def offered(self, connection: CallerConnection, offer: Offer) -> bool: ...
    def caller_ended(self, call: str, cause: int) -> None: ...
    def caller_broke(self, connection: CallerConnection, call: str) -> None: ...


def read_offer(message: Message) -> Offer:
    """Guards the exchanges, which close on what they can't read whatever else is open there."""
    if message.parameter_error:
        raise MalformedMessageError(message.parameter_error)
    if message.call == NO_CALL_ID:
        raise MalformedMessageError("a set-up of no call")
    figures = message.named_values(Parameter.ROUTING)

    def figure(name: str, default: int | None = None) -> int:
        if name not in figures and default is not None:
            return default
        return parse_integer(figures.get(name, ""), f"parameter {Parameter.ROUTING.value}: {name}")

    width = figure("width", 1)
    if width < 1:
        raise MalformedMessageError(f"parameter {Parameter.ROUTING.value}: width: {width} circuits")
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
        destination=figure("dest"),
        width=width,
        via=figure("via", -1),
        patience_ms=min(patience_ms, MOST_PATIENCE_MS),
        redial=message.text(Parameter.REDIAL, "0") == "1",
        transit=figure("transit", 0) == 1,
        was_cut=figure("again", 0) == 1,
        description=description,
    )


class CallerConnection(MessageConnection):
    """One connection from callers; answers go back on the connection that asked."""

    def __init__(self, handler: CallerHandler, unsent_limit: int) -> None:
        super().__init__("caller", unsent_limit)
        self.handler = handler
        self.open_calls: set[str] = set()  # set up here, without their final answer yet
        self.standing_calls: set[str] = set()  # set up here and not over
        self.releases: dict[str, SentRelease] = {}  # of standing calls, the latest written here
        self.taken = self.bad = 0  # set-ups that were offered on, that were not
        self.has_carried_calls = False  # as callers' do; those that only test whether we are there do not
        self.heard_at_ns = self.connected_at_ns = time.monotonic_ns()

    def connection_made(self, transport: object) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        self.handler.caller_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.handler.caller_lost(self)

    def data_received(self, data: bytes) -> None:
        self.heard_at_ns = time.monotonic_ns()
        super().data_received(data)

    def handle_message(self, message: Message) -> None:
        match message.type:
            case MessageType.SET_UP:
                self.take_set_up(message)
            case _ if message.parameter_error:
                raise MalformedMessageError(message.parameter_error)
            case MessageType.RELEASE:
                self.handler.caller_ended(message.call, message.cause())
                self.recognise()
            case MessageType.TEST:
                result = TEST_PASSED if self.handler.accepts_calls else TEST_FAILED
                self.write(encode(MessageType.TEST_RESULT, message.call, {Parameter.CAUSE: result}))
            case MessageType.PROGRESS | MessageType.RELEASE_COMPLETE:
                pass
            case _:
                raise MalformedMessageError(f"type {message.type} is nothing a caller sends")

    def take_set_up(self, message: Message) -> None:
        """One that can't be used is turned down by itself: the good calls of this connection go on."""
        try:
            offer = read_offer(message)
        except MalformedMessageError as error:
            log.warning("bad set-up turned down", reason=str(error))
            if message.call in self.open_calls:
                self.handler.caller_broke(self, message.call)
            else:
                self.release(message.call, ReleaseCause.INVALID_CONTENTS)
        else:
            if self.handler.offered(self, offer):
                self.taken += 1
                self.recognise()
                return
        self.bad += 1
        if self.bad > BAD_SET_UPS_LIMIT and not self.open_calls:
            self.close()

    def recognise(self) -> None:
        if not self.has_carried_calls:
            self.has_carried_calls = True
            self.handler.caller_recognised(self)

    def handle_protocol_error(self, reason: str) -> None:
        """Each call that is open here gets its final answer before the connection goes."""
        for call in sorted(self.open_calls):
            self.handler.caller_broke(self, call)
        log.warning("caller's connection closed", reason=reason)
        self.close()

    @property
    def first_set_up_ns(self) -> int:
        return HALF_NS if self.incomplete_since_ns else SILENT_NS

    def sweep(self, now_ns: int) -> None:
        """Close what says nothing, or half a message, while the caller is still owed its close."""
        if not self.is_open:
            if self.closing_since_ns and now_ns > self.closing_since_ns + LINGER_NS:
                self.abort()
        elif self.has_unread_bytes:
            pass  # what has come is read first: it may be the set-up that was waited for
        elif self.incomplete_since_ns and now_ns > self.incomplete_since_ns + HALF_NS:
            self.handle_protocol_error("half a message, and no more")
        elif not self.taken and now_ns > self.connected_at_ns + self.first_set_up_ns:
            self.handle_protocol_error("no set-up yet")

    def answer(self, call: str, description: bytes) -> bool:
        return self.write(encode(MessageType.ANSWER, call, {Parameter.DESCRIPTION: description}))

    def refuse(self, call: str, redial_after_ns: int) -> None:
        parameters: dict[int, bytes | str] = {Parameter.CAUSE: bytes((ReleaseCause.CONGESTION,))}
        if redial_after_ns > 0:
            parameters[Parameter.REDIAL_AFTER] = str(-(-redial_after_ns // MS))
        self.write(encode(MessageType.RELEASE, call, parameters))

    def fail(self, call: str) -> None:
        self.release(call, ReleaseCause.TEMPORARY_FAILURE)

    def release(self, call: str, cause: int) -> bool:
        return self.write(encode(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))}))

    def release_standing(self, call: str, cause: int) -> bool:
        """Whether the release of a call that stood was written; it is held in case it goes unread."""
        if not self.release(call, cause):
            return False
        self.releases.pop(call, None)
        self.releases[call] = SentRelease(cause, time.monotonic_ns())
        if len(self.releases) > RELEASES_HELD:
            del self.releases[next(iter(self.releases))]
        return True

    def unread_releases(self, since_ns: int) -> dict[str, int]:
        """The releases written since then, with their causes, where the caller has ended the connection."""
        if self.closing_since_ns:
            return {}  # closed here, after all that was written had left
        return {call: release.cause for call, release in self.releases.items() if release.sent_ns > since_ns}
