"""Bytes of the protocol page, written out by hand."""

from __future__ import annotations

import pytest

from arrowkeel.net.codec import Decoder, MalformedMessageError, Message, MessageType, Parameter, encode

CALL = "0011223344556677"
HEAD = b"\x0c\x00\x11\x22\x33\x44\x55\x66\x77"
RELEASE = b"\x00\x0d" + HEAD + b"\x5c\x00\x01\x22"
CUT_OFF = b"\x00\x0b" + HEAD + b"\x4e\x00"
TOO_LONG = b"\x00\x0d" + HEAD + b"\x4e\x00\x02x"


def test_a_release_is_these_bytes_and_comes_back_from_them() -> None:
    assert encode(MessageType.RELEASE, CALL, {Parameter.CAUSE: b"\x22"}) == RELEASE
    (message,) = Decoder().feed(RELEASE)
    assert message == Message(12, CALL, {92: b"\x22"}) and message.cause() == 34


@pytest.mark.parametrize("step", [1, 2, 7, 40])
def test_reads_come_split_and_joined(step: int) -> None:
    decoder, stream = Decoder(), RELEASE * 3
    found = [m for at in range(0, len(stream), step) for m in decoder.feed(stream[at : at + step])]
    assert found == [Message(12, CALL, {92: b"\x22"})] * 3 and not decoder.buffer


@pytest.mark.parametrize(
    ("raw", "named"),
    [(b"\x00\x08", "bytes"), (b"\x40\x00", "bytes")],
)
def test_what_came_before_a_malformed_message_is_still_given(raw: bytes, named: str) -> None:
    feed = Decoder().feed(RELEASE + raw)
    assert next(feed).cause() == 34
    with pytest.raises(MalformedMessageError, match=named):
        next(feed)


@pytest.mark.parametrize(("raw", "named"), [(CUT_OFF, "cut off"), (TOO_LONG, "longer")])
def test_a_message_whose_parameters_are_no_parameters_still_tells_its_call(raw: bytes, named: str) -> None:
    bad, good = Decoder().feed(raw + RELEASE)
    assert (bad.type, bad.call) == (12, CALL) and named in bad.parameter_error and not good.parameter_error


@pytest.mark.parametrize("value", [b"12x", b"", b"\xff", b"1" * 19, "\u0663".encode(), b"+1"])
def test_a_number_is_decimal_digits(value: bytes) -> None:
    with pytest.raises(MalformedMessageError, match="66"):
        Message(1, CALL, {66: value}).integer(Parameter.PATIENCE)
