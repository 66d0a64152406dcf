"""Connections from callers: their messages to offers and releases, final answers to their messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from arrowkeel.net.codec import Clear, Code, Kind, MalformedMessageError, Message, encode, whole_number
from arrowkeel.net.line import Line

MS = 1_000_000
MOST_PATIENCE_MS = 3_600_000  # no caller waits an hour: a longer figure is cut to that
TEST_PASSED = b"\x01"


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


class CallerDesk(Protocol):
    """What the controller does for connections from callers, whatever protocol they speak."""

    def caller_connected(self, line: CallerLine) -> None: ...
    def caller_lost(self, line: CallerLine) -> None: ...
    def offered(self, line: CallerLine, offer: Offer) -> bool: ...
    def caller_ended(self, call: str, cause: int) -> None: ...


def read_offer(message: Message) -> Offer:
    figures = message.figures(Code.FIGURES)

    def figure(name: str, default: int | None = None) -> int:
        if name not in figures and default is not None:
            return default
        return whole_number(figures.get(name, ""), f"parameter {Code.FIGURES.value}: {name}")

    width = figure("width", 1)
    if width < 1:
        raise MalformedMessageError(f"parameter {Code.FIGURES.value}: width: {width} circuits")
    return Offer(
        call=message.call,
        class_name=message.text(Code.CLASS),
        number_called=message.text(Code.NUMBER),
        destination=figure("dest"),
        width=width,
        via=figure("via", -1),
        patience_ms=min(max(0, message.whole(Code.PATIENCE)), MOST_PATIENCE_MS),
        redial=message.text(Code.REDIAL, "0") == "1",
        transit=figure("transit", 0) == 1,
        was_cut=figure("again", 0) == 1,
        description=message.parameters.get(Code.DESCRIPTION, b""),
    )


class CallerLine(Line):
    """One connection from callers; answers go back on the line that asked."""

    def __init__(self, desk: CallerDesk) -> None:
        super().__init__("caller")
        self.desk = desk
        self.open_calls: set[str] = set()

    def connection_made(self, transport: object) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        self.desk.caller_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.desk.caller_lost(self)

    def take(self, message: Message) -> None:
        match message.kind:
            case Kind.SET_UP:
                if not self.desk.offered(self, read_offer(message)):
                    raise MalformedMessageError("set-up of a call that is already here")
            case Kind.RELEASE:
                self.desk.caller_ended(message.call, message.cause())
            case Kind.TEST:
                self.write(encode(Kind.TEST_RESULT, message.call, {Code.CAUSE: TEST_PASSED}))
            case Kind.PROGRESS | Kind.RELEASE_HEARD:
                pass
            case _:
                raise MalformedMessageError(f"type {message.kind} is nothing a caller sends")

    def answer(self, call: str, description: bytes) -> bool:
        return self.write(encode(Kind.ANSWER, call, {Code.DESCRIPTION: description}))

    def refuse(self, call: str, redial_after_ns: int) -> None:
        parameters: dict[int, bytes | str] = {Code.CAUSE: bytes((Clear.CONGESTION,))}
        if redial_after_ns > 0:
            parameters[Code.REDIAL_AFTER] = str(-(-redial_after_ns // MS))
        self.write(encode(Kind.RELEASE, call, parameters))

    def fail(self, call: str) -> None:
        self.release(call, Clear.TEMPORARY_FAILURE)

    def release(self, call: str, cause: int) -> bool:
        return self.write(encode(Kind.RELEASE, call, {Code.CAUSE: bytes((cause,))}))
