"""What waits for a connection, and what becomes of a connection that dies: the pool alone, in its loop."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from arrowkeel import interface as it
from arrowkeel.net import exchange_pool
from arrowkeel.net.codec import MessageType, Parameter
from arrowkeel.net.config import Address
from arrowkeel.net.exchange_connection import ExchangeConnection, SetUpRequest
from arrowkeel.net.exchange_pool import CONNECTIONS_PER_EXCHANGE, ExchangePool
from arrowkeel.net.metrics import ConnectionLoss
from tests.peers import CALL, OTHER, Exchange, Listener, Peer, make_config


class RecordedEvents:
    """Writes down what the pool tells."""

    def __init__(self) -> None:
        self.told: asyncio.Queue[tuple[Any, ...]] = asyncio.Queue()
        self.left = self.failed_dials = 0
        self.losses: list[ConnectionLoss] = []

    def set_up_sent(self) -> None:
        self.left += 1

    def attempt_ended(self, call: str, ending: it.Ending, *_: Any) -> None:
        self.told.put_nowait(("ended", call, ending))

    def call_established(
        self, pool: ExchangePool, connection: ExchangeConnection, call: str, description: bytes
    ) -> None:
        self.told.put_nowait(("stood", call))

    def released_by_exchange(
        self, pool: ExchangePool, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        self.told.put_nowait(("released", call, cause))

    def group_state_reported(self, exchange: str, report: it.LoadReport | None) -> None:
        self.told.put_nowait(("state", report))

    def exchange_connected(self, pool: ExchangePool) -> None:
        self.told.put_nowait(("connected",))

    def dial_failed(self) -> None:
        self.failed_dials += 1

    def exchange_connection_lost(self, loss: ConnectionLoss) -> None:
        self.losses.append(loss)

    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None:
        self.told.put_nowait(("expired", calls))

    def exchange_process_died(self, pool: ExchangePool) -> None:
        self.told.put_nowait(("died",))


def order(call: str, abandon_at_ns: int = 1 << 62) -> SetUpRequest:
    return SetUpRequest(call, "voice", "77", b"x", abandon_at_ns)


def play(address: str, story: Callable[[ExchangePool, RecordedEvents], Any]) -> None:
    async def run() -> None:
        host, _, port = address.rpartition(":")
        events = RecordedEvents()
        pool = ExchangePool("x", Address(host, int(port)), events, make_config())
        try:
            await asyncio.wait_for(story(pool, events), 20)
        finally:
            pool.close()

    asyncio.run(run())


async def accepted(far: Listener) -> Peer:
    return Peer(await asyncio.to_thread(far.accept))


@pytest.mark.parametrize("told", ["draining", "late"])
def test_a_set_up_that_waits_for_a_connection_does_not_leave_once_it_must_not(told: str) -> None:
    far = Listener()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.set_up(order(CALL, 1 if told == "late" else 1 << 62))
        assert events.told.empty(), "it waits"
        if told == "draining":
            pool.set_serving(False)
            assert events.told.get_nowait() == ("ended", CALL, it.Ending.NOT_SENT)
        peer = await accepted(far)
        if told == "late":
            assert await events.told.get() == ("ended", CALL, it.Ending.NOT_SENT)
        assert await events.told.get() == ("connected",)
        pool.release(OTHER, 16)
        first = await asyncio.to_thread(peer.receive)
        assert first is not None and (first.type, first.call) == (MessageType.RELEASE, OTHER)

    play(far.address, story)


def test_a_refused_connection_proves_that_nothing_ran() -> None:
    free = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{free.getsockname()[1]}"
    free.close()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.set_up(order(CALL))
        assert await events.told.get() == ("ended", CALL, it.Ending.NO_CONNECTION)

    play(address, story)


@pytest.mark.parametrize("end", ["reset", "closed"])
def test_a_process_that_is_lost_and_refuses_has_died(monkeypatch: pytest.MonkeyPatch, end: str) -> None:
    """The list may tell of its end ten seconds late, and its calls are to be released within eight."""
    monkeypatch.setattr(exchange_pool, "DEAD_AFTER_NS", 0)
    far = Exchange()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.dial()
        lines = [
            await asyncio.to_thread(far.opened_connections.get, timeout=20)
            for _ in range(CONNECTIONS_PER_EXCHANGE)
        ]
        far.listener.socket.shutdown(socket.SHUT_RDWR)
        far.listener.socket.close()
        far.disconnect(*lines, reset=end == "reset")
        while await events.told.get() != ("died",):
            pass

    play(far.address, story)


def test_a_state_that_each_connection_brings_is_told_once() -> None:
    """The second copy would undo what the module has counted off for the set-ups it has sent since."""
    far = Exchange()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.dial()
        lines = [
            await asyncio.to_thread(far.opened_connections.get, timeout=20)
            for _ in range(CONNECTIONS_PER_EXCHANGE)
        ]
        for line in lines:
            line.send(MessageType.GROUP_STATE, "0" * 16, {Parameter.REPORT: "idle:7;circuits:60"})
            line.release(OTHER, 16)
        told: list[tuple[Any, ...]] = []
        while told.count(("released", OTHER, 16)) < len(lines):
            told.append(await events.told.get())
        assert [fact[1] for fact in told if fact[0] == "state"] == [
            it.LoadReport(40, 60),
            it.LoadReport(7, 60),
        ]

    play(far.address, story)


async def swept(pool: ExchangePool, until: Callable[[], bool]) -> None:
    while not until():
        pool.sweep(time.monotonic_ns())
        await asyncio.sleep(0.01)


def test_a_release_that_a_mute_connection_ate_does_not_end_the_next_attempt() -> None:
    """The call had been given up there and stood on another: the release sent again cut it untold."""
    far, third = Exchange(), "00000000000000c3"

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.dial()
        await swept(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)
        first, second = pool.connections
        for call in (CALL, OTHER, third):
            pool.set_up(order(call))
        assert first.set_ups == {CALL, third}
        pool.cancel_set_up(CALL)
        second.set_ups.clear()
        pool.set_up(order(CALL))
        assert second.set_ups == {CALL}
        first.asked_ns = 1  # mute since long ago
        await swept(pool, lambda: first not in pool.connections)
        pool.release("f" * 16, 16)
        came: list[tuple[int, str]] = []
        while not came or came[-1] != (MessageType.RELEASE, "f" * 16):
            _, message = await asyncio.to_thread(far.received.get, timeout=20)
            came.append((message.type, message.call))
        assert came.count((MessageType.RELEASE, CALL)) == 1 and (MessageType.RELEASE, third) in came

    play(far.address, story)


def test_a_connection_more_than_are_kept_is_closed_and_not_dialled_again() -> None:
    far = Exchange()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.dial()
        await swept(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)
        pool.dial()
        await swept(pool, lambda: len(pool.connections) > CONNECTIONS_PER_EXCHANGE)
        pool.connected_at_ns = 0  # long ago
        await swept(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)
        assert pool.dial_task is None and pool.redial is None

    play(far.address, story)


@pytest.mark.parametrize(
    ("cause", "note", "wanted"),
    [
        (34, "tandem_refused", (it.Ending.REJECTED, it.FailureCause.RETURNED_BY_TANDEM)),
        (34, "destination_full", (it.Ending.REJECTED, it.FailureCause.PROCESSOR_BEYOND_TANDEM_FULL)),
        (34, "processor_full", (it.Ending.REJECTED, it.FailureCause.PROCESSOR_FULL)),
        (102, "group_full", (it.Ending.NOT_SENT, it.FailureCause.NO_CIRCUIT)),
        (17, "user_busy", (it.Ending.NUMBER_BUSY, it.FailureCause.LINES_BUSY)),
        (47, "", (it.Ending.NUMBER_BUSY, it.FailureCause.UNSPECIFIED)),
        (41, "", (it.Ending.INTERRUPTED, it.FailureCause.UNSPECIFIED)),
    ],
)
def test_each_refusal_means_what_the_adapter_would_tell(
    cause: int, note: str, wanted: tuple[it.Ending, it.FailureCause]
) -> None:
    far, ended = Listener(), []

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        events.attempt_ended = lambda *told: (ended.append(told), events.told.put_nowait(("end",)))  # type: ignore
        pool.set_up(order(CALL))
        peer = await accepted(far)
        await asyncio.to_thread(peer.expect, MessageType.SET_UP)
        peer.send(
            MessageType.RELEASE,
            CALL,
            {Parameter.CAUSE: bytes((cause,)), Parameter.NOTE: note, Parameter.REPORT: "idle:3;circuits:9"},
        )
        while await events.told.get() != ("end",):
            pass

    play(far.address, story)
    assert ended == [(CALL, wanted[0], wanted[1], 0, it.LoadReport(3, 9))]


def test_the_normal_end_of_an_earlier_attempt_does_not_end_the_one_that_is_out() -> None:
    """Its answer was lost, and exchanges tell ends again on the next connection: the call went out twice."""
    far = Listener()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.set_up(order(CALL))
        peer = await accepted(far)
        await asyncio.to_thread(peer.expect, MessageType.SET_UP)
        peer.release(CALL, 16)
        peer.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
        told = [await events.told.get()]
        while told[-1][0] not in ("ended", "stood"):
            told.append(await events.told.get())
        assert told[-1] == ("stood", CALL)

    play(far.address, story)


def test_a_peer_that_stops_reading_is_closed_before_it_fills_the_memory() -> None:
    far = Listener()

    async def story(pool: ExchangePool, events: RecordedEvents) -> None:
        pool.dial()
        peer = await accepted(far)
        assert await events.told.get() == ("connected",)
        line = pool.connections[0]
        assert line.transport is not None
        most = sent = 0
        while line.write(bytes(16384)):
            most, sent = max(most, line.transport.get_write_buffer_size()), sent + 1
            assert sent < 10_000, "nothing bounds what is held for it"
        assert most <= pool.bounds.max_unsent_bytes and not line.is_open
        peer.socket.close()

    play(far.address, story)
