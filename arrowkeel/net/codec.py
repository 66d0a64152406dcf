"""Messages and parameters to bytes and back: pure, incremental, without sockets or clock.

message   = length:2 type:1 call:8 parameters    length counts all that follows it, big-endian
parameter = code:1 length:2 value
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

MESSAGE_LIMIT = 16 * 1024  # bytes of a whole message, its length field included
HEAD = struct.Struct(">HB8s")
PARAMETER = struct.Struct(">BH")
LENGTH_BYTES = 2
NO_CALL_ID = "0" * 16  # what is sent where no call is meant: it is the id of none


class MessageType(IntEnum):
    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


class Parameter(IntEnum):
    CLASS = 64
    PATIENCE = 66
    REDIAL = 70
    NUMBER = 72
    ROUTING = 74
    REDIAL_AFTER = 76
    NOTE = 78
    REPORT = 82
    CAUSE = 92
    DESCRIPTION = 94


class ReleaseCause(IntEnum):
    """Causes of a release; the numbers are those of the protocol page."""

    NORMAL = 16
    USER_BUSY = 17
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    NO_CIRCUIT = 34
    RESOURCE_UNAVAILABLE = 47
    SET_UP_NOT_SENT = 102
    INVALID_CONTENTS = 100  # contents of a set-up that cannot be used


class MalformedMessageError(ValueError):
    """Bytes that are no message, or a parameter that cannot be read; the text names what."""


@dataclass(frozen=True, slots=True)
class Message:
    type: int
    call: str
    parameters: Mapping[int, bytes] = field(default_factory=dict)
    parameter_error: str = ""  # what cannot be read in a message whose length, type and call can

    def text(self, code: Parameter, default: str | None = None) -> str:
        value = self.parameters.get(code)
        if value is None:
            if default is None:
                raise MalformedMessageError(f"parameter {code.value}: missing")
            return default
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise MalformedMessageError(f"parameter {code.value}: not text") from None

    def integer(self, code: Parameter) -> int:
        return parse_integer(self.text(code), f"parameter {code.value}")

    def cause(self) -> int:
        value = self.parameters.get(Parameter.CAUSE)
        if value is None or len(value) != 1:
            raise MalformedMessageError(f"parameter {Parameter.CAUSE.value}: one byte is needed")
        return value[0]

    def named_values(self, code: Parameter) -> dict[str, str]:
        """The name:value pairs of a parameter, as in `dest:2;width:1`."""
        pairs: dict[str, str] = {}
        for part in filter(None, self.text(code, "").split(";")):
            name, colon, value = part.partition(":")
            if not colon or not name:
                raise MalformedMessageError(f"parameter {code.value}: {part[:40]!r} is no name:value pair")
            pairs[name] = value
        return pairs


def parse_integer(value: str, where: str) -> int:
    """A decimal whole number; digits only and few, so that no text is a number by accident."""
    digits = value.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > 18:
        raise MalformedMessageError(f"{where}: {value[:40]!r} is not a whole number")
    return int(value)


def encode(kind: int, call: str, parameters: Mapping[int, bytes | str] | None = None) -> bytes:
    parts = [bytes((kind,)), bytes.fromhex(call)]
    for code, value in (parameters or {}).items():
        raw = value.encode() if isinstance(value, str) else value
        parts += (PARAMETER.pack(code, len(raw)), raw)
    body = b"".join(parts)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class Decoder:
    """Bytes as they come, split and joined as they may be, to messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.completed_count = 0  # messages that the latest bytes made whole

    def feed(self, data: bytes) -> Iterator[Message]:
        """Every message that is whole by now; what came before a malformed one is yielded first."""
        self.buffer += data
        self.completed_count = at = 0
        try:
            while len(self.buffer) - at >= LENGTH_BYTES:
                end = at + LENGTH_BYTES + int.from_bytes(self.buffer[at : at + LENGTH_BYTES], "big")
                # Checked before the rest has come: a wrong length must not make us wait or hoard.
                if not HEAD.size <= end - at <= MESSAGE_LIMIT:
                    raise MalformedMessageError(f"message of {end - at} bytes")
                if len(self.buffer) < end:
                    break
                message = parse_message(bytes(self.buffer[at:end]))
                at, self.completed_count = end, self.completed_count + 1
                yield message
        finally:
            del self.buffer[:at]


def parse_message(raw: bytes) -> Message:
    _, kind, call = HEAD.unpack_from(raw)
    parameters: dict[int, bytes] = {}
    at = HEAD.size
    while at < len(raw):
        if at + PARAMETER.size > len(raw):
            return Message(kind, call.hex(), {}, "parameter cut off in its head")
        code, length = PARAMETER.unpack_from(raw, at)
        at += PARAMETER.size
        if at + length > len(raw):
            return Message(kind, call.hex(), {}, f"parameter {code}: longer than its message")
        parameters[code] = raw[at : at + length]
        at += length
    return Message(kind, call.hex(), parameters)
