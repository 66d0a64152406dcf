"""Encoding and decoding of messages, checked against bytes written out by hand from the protocol."""

from __future__ import annotations

import pytest

from arrowkeel.net.codec import Decoder, MalformedMessageError, Message, MessageType, Parameter, encode

CALL = "0011223344556677"
HEADER = b"\x0c\x00\x11\x22\x33\x44\x55\x66\x77"
RELEASE = b"\x00\x0d" + HEADER + b"\x5c\x00\x01\x22"
INCOMPLETE_PARAMETER_HEADER = b"\x00\x0b" + HEADER + b"\x4e\x00"
PARAMETER_TOO_LONG = b"\x00\x0d" + HEADER + b"\x4e\x00\x02x"


def test_a_release_is_encoded_and_decoded() -> None:
    assert encode(MessageType.RELEASE, CALL, {Parameter.CAUSE: b"\x22"}) == RELEASE
    (message,) = Decoder().feed(RELEASE)
    assert message == Message(12, CALL, {92: b"\x22"}) and message.cause() == 34


@pytest.mark.parametrize("step", [1, 2, 7, 40])
def test_messages_are_decoded_however_the_stream_is_split(step: int) -> None:
    decoder, stream = Decoder(), RELEASE * 3
    messages = [
        m for start in range(0, len(stream), step) for m in decoder.feed(stream[start : start + step])
    ]
    assert messages == [Message(12, CALL, {92: b"\x22"})] * 3 and not decoder.buffer


@pytest.mark.parametrize(
    ("raw", "reason"),
    [(b"\x00\x08", "bytes"), (b"\x40\x00", "bytes")],
)
def test_messages_before_a_malformed_one_are_still_yielded(raw: bytes, reason: str) -> None:
    messages = Decoder().feed(RELEASE + raw)
    assert next(messages).cause() == 34
    with pytest.raises(MalformedMessageError, match=reason):
        next(messages)


@pytest.mark.parametrize(
    ("raw", "reason"), [(INCOMPLETE_PARAMETER_HEADER, "header incomplete"), (PARAMETER_TOO_LONG, "longer")]
)
def test_a_message_with_malformed_parameters_still_has_its_type_and_call(raw: bytes, reason: str) -> None:
    malformed, valid = Decoder().feed(raw + RELEASE)
    assert (
        (malformed.type, malformed.call) == (12, CALL)
        and reason in malformed.parameter_error
        and not valid.parameter_error
    )


@pytest.mark.parametrize("value", [b"12x", b"", b"\xff", b"1" * 19, "\u0663".encode(), b"+1"])
def test_an_integer_consists_of_ascii_digits(value: bytes) -> None:
    with pytest.raises(MalformedMessageError, match="66"):
        Message(1, CALL, {66: value}).integer(Parameter.PATIENCE)
