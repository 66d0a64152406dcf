"""Encoder and incremental decoder of the binary call-control protocol; no sockets and no clock.

    message   = length:2 type:1 call:8 parameters
    parameter = code:1 length:2 value

Sizes are in bytes, integers are big-endian, and each length counts the bytes that follow it.
"""

from __future__ import annotations

import struct
from collections.abc import Generator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

MAX_MESSAGE_BYTES = 16 * 1024  # the length field included
MESSAGE_HEADER = struct.Struct(">HB8s")  # length, type, call identifier
PARAMETER_HEADER = struct.Struct(">BH")  # code, length
LENGTH_BYTES = 2  # size of a message's length field
# No message of the protocol has half as many; one with thousands would cost as much time as hundreds.
MAX_PARAMETERS = 32
MAX_NAMED_VALUES = 64  # name:value pairs of one parameter
NO_CALL_ID = "0" * 16  # sent in messages that concern no call; never the identifier of a call


class MessageType(IntEnum):
    """Types of message; the numbers are those of the protocol."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    GROUP_STATE = 43  # the state of a circuit group, in the REPORT parameter
    TEST = 52  # asks whether the other side accepts calls; answered with TEST_RESULT
    TEST_RESULT = 53


class Parameter(IntEnum):
    """Codes of the parameters of a message; the numbers are those of the protocol."""

    CLASS = 64
    PATIENCE = 66  # how long the caller still waits, in milliseconds
    REDIAL = 70  # "1" where the caller repeats an earlier call
    NUMBER = 72  # the number called
    ROUTING = 74  # name:value pairs such as destination, width and advised tandem
    REDIAL_AFTER = 76  # advice to redial no sooner than after so many milliseconds
    NOTE = 78  # why an exchange rejected a set-up, in more detail than CAUSE
    REPORT = 82  # name:value pairs with the load of an exchange and the state of its circuit group
    CAUSE = 92  # one byte: a ReleaseCause, or the result of a test
    DESCRIPTION = 94  # opaque description of the call, passed on unchanged


class ReleaseCause(IntEnum):
    """Causes of a release; the numbers are those of the protocol."""

    NORMAL = 16
    USER_BUSY = 17
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    NO_CIRCUIT = 34
    RESOURCE_UNAVAILABLE = 47
    SET_UP_NOT_SENT = 102  # the set-up was never sent over the circuit group
    INVALID_CONTENTS = 100  # a set-up with missing or malformed parameters


class MalformedMessageError(ValueError):
    """Bytes that do not form a message, or a parameter that cannot be read; the text says which."""


@dataclass(frozen=True, slots=True)
class Message:
    """A decoded message. The accessors raise MalformedMessageError where a parameter cannot be read."""

    type: int  # a MessageType, or a number that the protocol does not define
    call: str  # the call identifier, in hexadecimal
    parameters: Mapping[int, bytes] = field(default_factory=dict)  # raw values by parameter code
    parameter_error: str = ""  # why the parameters could not be split, although the header could be read

    def text(self, parameter: Parameter, default: str | None = None) -> str:
        """Returns a parameter as UTF-8 text; an absent one without a default is an error."""
        value = self.parameters.get(parameter)
        if value is None:
            if default is None:
                raise MalformedMessageError(f"parameter {parameter.value}: missing")
            return default
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise MalformedMessageError(f"parameter {parameter.value}: not UTF-8 text") from None

    def integer(self, parameter: Parameter) -> int:
        """Returns a required parameter as a decimal integer."""
        return parse_integer(self.text(parameter), f"parameter {parameter.value}")

    def cause(self) -> int:
        """Returns the one byte of the required CAUSE parameter."""
        value = self.parameters.get(Parameter.CAUSE)
        if value is None or len(value) != 1:
            raise MalformedMessageError(f"parameter {Parameter.CAUSE.value}: must be one byte")
        return value[0]

    def named_values(self, parameter: Parameter) -> dict[str, str]:
        """Returns the name:value pairs of a parameter, as in `dest:2;width:1`; empty if it is absent."""
        pairs: dict[str, str] = {}
        parts = self.text(parameter, "").split(";", MAX_NAMED_VALUES)
        if len(parts) > MAX_NAMED_VALUES:
            raise MalformedMessageError(
                f"parameter {parameter.value}: more than {MAX_NAMED_VALUES} name:value pairs"
            )
        for part in filter(None, parts):
            name, colon, value = part.partition(":")
            if not colon or not name:
                raise MalformedMessageError(
                    f"parameter {parameter.value}: {part[:40]!r} is not a name:value pair"
                )
            pairs[name] = value
        return pairs


def parse_integer(value: str, where: str) -> int:
    """Parses a decimal integer, or raises MalformedMessageError with `where` at its start.

    Only ASCII digits after an optional minus sign are accepted, and at most 18 of them, so that no other text
    counts as a number: `int()` also takes other scripts, underscores, spaces and numbers of any length.
    """
    digits = value.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > 18:
        raise MalformedMessageError(f"{where}: {value[:40]!r} is not an integer")
    return int(value)


def encode(message_type: int, call: str, parameters: Mapping[int, bytes | str] | None = None) -> bytes:
    """Returns the bytes of a message; text values are encoded as UTF-8."""
    parts = [bytes((message_type,)), bytes.fromhex(call)]
    for code, value in (parameters or {}).items():
        raw = value.encode() if isinstance(value, str) else value
        parts += (PARAMETER_HEADER.pack(code, len(raw)), raw)
    body = b"".join(parts)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class Decoder:
    """Decodes a stream of bytes, which may be split and joined anywhere, into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.skips_set_ups = False  # their parameters are not split: they are only named
        self.completed_count = 0  # messages completed by the latest call of `feed`

    @property
    def has_message(self) -> bool:
        """Whether `feed` would yield a message, or raise an error, without further bytes."""
        if len(self.buffer) < LENGTH_BYTES:
            return False
        size = LENGTH_BYTES + int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
        return len(self.buffer) >= size or not MESSAGE_HEADER.size <= size <= MAX_MESSAGE_BYTES

    def feed(self, data: bytes) -> Generator[Message, None, None]:
        """Yields each message that is complete with these bytes.

        Raises MalformedMessageError at a message of invalid length, after yielding those before it.
        """
        self.buffer += data
        self.completed_count = start = 0
        try:
            while len(self.buffer) - start >= LENGTH_BYTES:
                end = start + LENGTH_BYTES + int.from_bytes(self.buffer[start : start + LENGTH_BYTES], "big")
                # Checked before the rest has arrived, so that a wrong length causes neither waiting nor
                # unbounded buffering.
                if not MESSAGE_HEADER.size <= end - start <= MAX_MESSAGE_BYTES:
                    raise MalformedMessageError(f"message of {end - start} bytes")
                if len(self.buffer) < end:
                    break
                message = self.parse(bytes(self.buffer[start:end]))
                start, self.completed_count = end, self.completed_count + 1
                yield message
        finally:
            del self.buffer[:start]

    def parse(self, raw: bytes) -> Message:
        """Returns the message of these bytes, without the parameters of a set-up that is skipped."""
        if self.skips_set_ups:
            _, message_type, call = MESSAGE_HEADER.unpack_from(raw)
            if message_type == MessageType.SET_UP:
                return Message(message_type, call.hex())
        return parse_message(raw)


def parse_message(raw: bytes) -> Message:
    """Returns the message of these bytes, with `parameter_error` set where its parameters are malformed.

    Its type and call identifier are known even then, so that a malformed set-up can be rejected by itself.
    """
    _, message_type, call = MESSAGE_HEADER.unpack_from(raw)
    parameters: dict[int, bytes] = {}
    offset, count = MESSAGE_HEADER.size, 0
    while offset < len(raw):
        count += 1
        if count > MAX_PARAMETERS:
            return Message(message_type, call.hex(), {}, f"more than {MAX_PARAMETERS} parameters")
        if offset + PARAMETER_HEADER.size > len(raw):
            return Message(message_type, call.hex(), {}, "parameter header incomplete")
        code, length = PARAMETER_HEADER.unpack_from(raw, offset)
        offset += PARAMETER_HEADER.size
        if offset + length > len(raw):
            return Message(message_type, call.hex(), {}, f"parameter {code}: longer than its message")
        parameters[code] = raw[offset : offset + length]
        offset += length
    return Message(message_type, call.hex(), parameters)
