"""Clients that send messages without effect as fast as they can, beside callers who must not notice it."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from arrowkeel.message_budget import FREE_MESSAGES_PER_CALL, FREE_MESSAGES_PER_S, NS_PER_S, MessageBudget
from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode
from arrowkeel.net.connection import MESSAGES_PER_TURN
from tests.peers import CALL, OTHER, TIMEOUT_S, Peer, Program, make_config, running_program

CLOSE_LIMIT_S = 3.0  # the pages: a bad client is owed a refusal, an error or a close within 3 s of connecting
ANSWER_LIMIT_S = 1.0  # far below any patience, far above a turn of each connection
NORMAL: dict[int, bytes | str] = {Parameter.CAUSE: bytes((ReleaseCause.NORMAL,))}
ID_COUNT = 300
CALL_INTERVAL_S = 0.15  # the exchange reports no circuit free again, so the group has room for 40 calls


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def messages_without_effect(kind: str, count: int = ID_COUNT) -> bytes:
    ids = random.Random(5)
    match kind:
        case "releases":
            return b"".join(encode(MessageType.RELEASE, ids.randbytes(8).hex(), NORMAL) for _ in range(count))
        case "tests":
            return encode(MessageType.TEST, OTHER, {Parameter.CAUSE: b"\x00"}) * count
        case "progress":
            return encode(MessageType.PROGRESS, OTHER) * count
        case _:
            return encode(MessageType.RELEASE_COMPLETE, OTHER) * count


class Flood:
    """Sends the same bytes on one connection, again and again, and reads what is sent to it."""

    def __init__(self, connection: socket.socket, data: bytes) -> None:
        self.connection, self.data = connection, data
        self.started_at_s = time.monotonic()
        self.closed_after_s: float | None = None  # None while it is open
        self.is_stopped = threading.Event()
        self.threads = [threading.Thread(target=run, daemon=True) for run in (self.send, self.receive)]
        for thread in self.threads:
            thread.start()

    def send(self) -> None:
        with suppress(OSError):
            while not self.is_stopped.is_set():
                self.connection.sendall(self.data)

    def receive(self) -> None:
        with suppress(OSError):
            while self.connection.recv(65536):
                pass
        self.closed_after_s = time.monotonic() - self.started_at_s

    def stop(self) -> None:
        self.is_stopped.set()
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
        self.connection.close()
        for thread in self.threads:
            thread.join(10)


@contextmanager
def flood(program: Program, kind: str, connection: socket.socket | None = None) -> Iterator[Flood]:
    connection = connection or socket.create_connection(program.listen_address)
    running = Flood(connection, messages_without_effect(kind) * 20)
    try:
        yield running
    finally:
        running.stop()


def expect_prompt_answers(program: Program, caller: Peer, seconds: float) -> None:
    """Places calls one after the other for a time; each has to be answered soon."""
    until_s, count = time.monotonic() + seconds, 0
    while time.monotonic() < until_s:
        count += 1
        call = f"{count:016x}"
        sent_at_s = time.monotonic()
        caller.set_up(call)
        # The exchange also receives releases that the bad client's messages cause, until those are limited.
        while (received := program.exchange.received.get(timeout=TIMEOUT_S)[1]).type != MessageType.SET_UP:
            pass
        assert received.call == call
        program.exchange.send(MessageType.ANSWER, call, {Parameter.DESCRIPTION: b"answer"})
        caller.expect(MessageType.ANSWER, call)
        assert time.monotonic() - sent_at_s < ANSWER_LIMIT_S
        caller.release(call, ReleaseCause.NORMAL)
        time.sleep(CALL_INTERVAL_S)


def unroutable_set_up(call: str) -> bytes:
    """Returns a valid set-up to an exchange that does not exist, which is refused without any other party."""
    parameters: dict[int, bytes | str] = {
        Parameter.CLASS: "voice",
        Parameter.PATIENCE: "60000",
        Parameter.NUMBER: call,
        Parameter.ROUTING: "dest:9",
        Parameter.DESCRIPTION: b"offer",
    }
    return encode(MessageType.SET_UP, call, parameters)


@pytest.mark.parametrize("kind", ["releases", "tests", "progress", "receipts"])
def test_a_client_that_never_stops_sending_is_closed_and_delays_no_caller(
    program: Program, kind: str
) -> None:
    """Guards against one client that holds up all callers, and is not closed, as long as it keeps sending."""
    caller = program.connect_caller()
    with flood(program, kind) as bad_client:
        expect_prompt_answers(program, caller, CLOSE_LIMIT_S + 0.5)
        assert bad_client.closed_after_s is not None and bad_client.closed_after_s < CLOSE_LIMIT_S


def test_a_client_with_a_standing_call_that_never_stops_sending_delays_no_other_caller(
    program: Program,
) -> None:
    """Guards against the same through a connection that is not closed because it carries a call."""
    caller, mixed = program.connect_caller(), program.connect_caller()
    program.establish_call(mixed)
    with flood(program, "releases", mixed.socket) as bad_client:
        expect_prompt_answers(program, caller, 3.0)
        assert bad_client.closed_after_s is None


def test_a_busy_connection_is_neither_closed_nor_slowed(program: Program) -> None:
    """Guards the promise beside the fault: many good callers may share one connection, and send in bursts."""
    front = program.connect_caller()
    calls = [f"{number:016x}" for number in range(1, 20 * MESSAGES_PER_TURN)]
    for _ in range(3):
        started_at_s = time.monotonic()
        front.socket.sendall(b"".join(unroutable_set_up(call) for call in calls))
        answers = [front.receive() for _ in calls]
        assert {answer.call for answer in answers if answer is not None} == set(calls)
        assert time.monotonic() - started_at_s < ANSWER_LIMIT_S
        front.socket.sendall(b"".join(encode(MessageType.RELEASE_COMPLETE, call) for call in calls))
    program.establish_call(front, CALL)


def test_after_a_restart_one_connection_may_release_every_call_from_before(program: Program) -> None:
    """Guards the promise beside the fault: releases of unknown calls are not all bad."""
    front = program.connect_caller()
    count = make_config().bounds.max_calls
    front.socket.sendall(messages_without_effect("releases", count))
    for _ in range(count):
        assert program.exchange.received.get(timeout=TIMEOUT_S)[1].type == MessageType.RELEASE
    program.establish_call(front)


def test_what_was_received_before_a_reset_is_still_handled(program: Program) -> None:
    """Guards against a release that is lost because its connection ends before its turn comes."""
    front, other = program.connect_caller(), program.connect_caller()
    program.establish_call(front)
    many = messages_without_effect("progress", 10 * MESSAGES_PER_TURN)
    front.socket.sendall(many + encode(MessageType.RELEASE, CALL, NORMAL))
    other.wait_until_processed()
    front.reset()
    assert program.exchange.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL


def test_a_budget_allows_a_burst_a_steady_rate_and_some_messages_for_each_call() -> None:
    budget = MessageBudget.full(capacity=10, now_ns=NS_PER_S)
    for _ in range(10):
        assert not budget.is_exhausted
        budget.spend()
    assert budget.is_exhausted
    budget.earn_call()
    for _ in range(FREE_MESSAGES_PER_CALL):
        assert not budget.is_exhausted
        budget.spend()
    assert budget.is_exhausted
    budget.refill(NS_PER_S + NS_PER_S // FREE_MESSAGES_PER_S)
    assert not budget.is_exhausted
    budget.refill(100 * NS_PER_S)
    assert budget.left == budget.capacity
    budget.earn_call()
    budget.refill(101 * NS_PER_S)
    assert budget.left == budget.capacity + FREE_MESSAGES_PER_CALL
