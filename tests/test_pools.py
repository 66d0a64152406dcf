"""The pool of connections to one exchange: queued set-ups, lost connections and repeated releases."""

from __future__ import annotations

import asyncio
import select
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
from arrowkeel.release_delivery import Clearance
from tests.peers import CALL, OTHER, Exchange, Listener, Peer, make_config


class RecordingHandler:
    """Records what the pool reports."""

    def __init__(self) -> None:
        self.reported: asyncio.Queue[tuple[Any, ...]] = asyncio.Queue()
        self.sent_set_ups = self.failed_dials = 0
        self.losses: list[ConnectionLoss] = []

    def set_up_sent(self) -> None:
        self.sent_set_ups += 1

    def attempt_ended(self, call: str, ending: it.Ending, *_: Any) -> None:
        self.reported.put_nowait(("ended", call, ending))

    def call_established(
        self, pool: ExchangePool, connection: ExchangeConnection, call: str, description: bytes
    ) -> None:
        self.reported.put_nowait(("established", call))

    def released_by_exchange(
        self, pool: ExchangePool, call: str, cause: int, report: it.LoadReport | None
    ) -> None:
        self.reported.put_nowait(("released", call, cause))

    def group_state_reported(self, exchange: str, report: it.LoadReport | None) -> None:
        self.reported.put_nowait(("state", report))

    def exchange_connected(self, pool: ExchangePool) -> None:
        self.reported.put_nowait(("connected",))

    def dial_failed(self) -> None:
        self.failed_dials += 1

    def exchange_connection_lost(self, loss: ConnectionLoss) -> None:
        self.losses.append(loss)

    def leases_expired(self, pool: ExchangePool, calls: list[str]) -> None:
        self.reported.put_nowait(("expired", calls))

    def releases_lost(self, pool: ExchangePool, calls: list[str]) -> None:
        self.reported.put_nowait(("lost", calls))

    def exchange_process_died(self, pool: ExchangePool) -> None:
        self.reported.put_nowait(("died",))

    def suspicion_cleared(self, clearance: Clearance) -> None:
        self.reported.put_nowait(("cleared", clearance))


def set_up_request(call: str, abandon_at_ns: int = 1 << 62) -> SetUpRequest:
    return SetUpRequest(call, "voice", "77", b"x", abandon_at_ns, abandon_at_ns)


def run_with_pool(address: str, scenario: Callable[[ExchangePool, RecordingHandler], Any]) -> None:
    async def run() -> None:
        host, _, port = address.rpartition(":")
        handler = RecordingHandler()
        pool = ExchangePool("x", Address(host, int(port)), handler, make_config())
        try:
            await asyncio.wait_for(scenario(pool, handler), 20)
        finally:
            pool.close()

    asyncio.run(run())


async def accept_peer(listener: Listener) -> Peer:
    return Peer(await asyncio.to_thread(listener.accept))


@pytest.mark.parametrize("reason", ["draining", "late"])
def test_a_queued_set_up_that_must_not_be_sent_any_more_is_not_sent(reason: str) -> None:
    listener = Listener()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.set_up(set_up_request(CALL, 1 if reason == "late" else 1 << 62))
        assert handler.reported.empty(), "the set-up is queued"
        if reason == "draining":
            pool.set_serving(False)
            assert handler.reported.get_nowait() == ("ended", CALL, it.Ending.NOT_SENT)
        peer = await accept_peer(listener)
        if reason == "late":
            assert await handler.reported.get() == ("ended", CALL, it.Ending.NOT_SENT)
        assert await handler.reported.get() == ("connected",)
        pool.release(OTHER, 16)
        first = await asyncio.to_thread(peer.receive)
        assert first is not None and (first.type, first.call) == (MessageType.RELEASE, OTHER)

    run_with_pool(listener.address, scenario)


def test_a_refused_dial_shows_that_the_set_up_was_not_sent() -> None:
    free = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{free.getsockname()[1]}"
    free.close()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.set_up(set_up_request(CALL))
        assert await handler.reported.get() == ("ended", CALL, it.Ending.NO_CONNECTION)

    run_with_pool(address, scenario)


@pytest.mark.parametrize("end", ["reset", "closed"])
def test_a_process_whose_connections_are_lost_and_that_refuses_dials_is_dead(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """The list may report its end ten seconds late, and its calls must be released within eight."""
    monkeypatch.setattr(exchange_pool, "PROCESS_DEAD_AFTER_NS", 0)
    exchange = Exchange()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.dial()
        connections = [
            await asyncio.to_thread(exchange.opened_connections.get, timeout=20)
            for _ in range(CONNECTIONS_PER_EXCHANGE)
        ]
        exchange.listener.socket.shutdown(socket.SHUT_RDWR)
        exchange.listener.socket.close()
        exchange.disconnect(*connections, reset=end == "reset")
        while await handler.reported.get() != ("died",):
            pass

    run_with_pool(exchange.address, scenario)


def test_a_group_state_received_on_each_connection_is_reported_once() -> None:
    """A second copy would undo the circuits that the policy has subtracted for set-ups sent since."""
    exchange = Exchange()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.dial()
        connections = [
            await asyncio.to_thread(exchange.opened_connections.get, timeout=20)
            for _ in range(CONNECTIONS_PER_EXCHANGE)
        ]
        for connection in connections:
            connection.send(MessageType.GROUP_STATE, "0" * 16, {Parameter.REPORT: "idle:7;circuits:60"})
            connection.release(OTHER, 16)
        reports: list[tuple[Any, ...]] = []
        while reports.count(("released", OTHER, 16)) < len(connections):
            reports.append(await handler.reported.get())
        assert [report[1] for report in reports if report[0] == "state"] == [
            it.LoadReport(40, 60),
            it.LoadReport(7, 60),
        ]

    run_with_pool(exchange.address, scenario)


async def sweep_until(pool: ExchangePool, condition: Callable[[], bool]) -> None:
    while not condition():
        pool.sweep(time.monotonic_ns())
        await asyncio.sleep(0.01)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def test_a_release_lost_on_an_unresponsive_connection_does_not_end_the_next_attempt() -> None:
    """Releases that may be lost are sent again when their connection closes. The call of a cancelled attempt
    may have been set up on another connection by then: the repeated release must not interrupt it.
    """
    exchange, third = Exchange(), "00000000000000c3"

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.dial()
        await sweep_until(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)
        first, second = pool.connections
        for call in (CALL, OTHER, third):
            pool.set_up(set_up_request(call))
        assert first.open_set_ups == {CALL, third}
        pool.cancel_set_up(CALL)
        second.open_set_ups.clear()
        pool.set_up(set_up_request(CALL))
        assert second.open_set_ups == {CALL}
        first.awaiting_since_ns = 1  # unresponsive for a long time
        await sweep_until(pool, lambda: first not in pool.connections)
        pool.release("f" * 16, 16)
        received: list[tuple[int, str]] = []
        while not received or received[-1] != (MessageType.RELEASE, "f" * 16):
            _, message = await asyncio.to_thread(exchange.received.get, timeout=20)
            received.append((message.type, message.call))
        assert received.count((MessageType.RELEASE, CALL)) == 1 and (MessageType.RELEASE, third) in received

    run_with_pool(exchange.address, scenario)


def test_a_surplus_connection_is_closed_and_not_replaced() -> None:
    exchange = Exchange()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.dial()
        await sweep_until(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)
        pool.dial()
        await sweep_until(pool, lambda: len(pool.connections) > CONNECTIONS_PER_EXCHANGE)
        pool.connected_at_ns = 0  # long ago
        await sweep_until(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)
        assert pool.dial_task is None and pool.reconnect_timer is None

    run_with_pool(exchange.address, scenario)


def test_a_release_that_crosses_the_closing_of_a_surplus_connection_is_received() -> None:
    """Guards against a release that is lost with a connection which this side closes as it is not needed."""
    listener = Listener()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        loop = asyncio.get_running_loop()
        while len(pool.connections) <= CONNECTIONS_PER_EXCHANGE:
            pool.dial()
            await asyncio.sleep(0.001)
        await wait_until(lambda: pool.dial_task is None)
        # Any of them may be the one that is closed, also one that was dialled beside the others.
        peers = [Peer(await loop.run_in_executor(None, listener.accept)) for _ in pool.connections]
        await sweep_until(pool, lambda: any(each.finishing_since_ns for each in pool.connections))
        readable, _, _ = await loop.run_in_executor(
            None, select.select, [each.socket for each in peers], [], []
        )
        closing = next(each for each in peers if each.socket in readable)
        closing.release(CALL, 16)
        closing.socket.close()
        while await handler.reported.get() != ("released", CALL, 16):
            pass
        await sweep_until(pool, lambda: len(pool.connections) == CONNECTIONS_PER_EXCHANGE)

    run_with_pool(listener.address, scenario)


@pytest.mark.parametrize(
    ("cause", "note", "expected"),
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
def test_each_rejection_has_the_meaning_that_the_simulator_adapter_gives_it(
    cause: int, note: str, expected: tuple[it.Ending, it.FailureCause]
) -> None:
    listener, ended = Listener(), []

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        handler.attempt_ended = lambda *args: (ended.append(args), handler.reported.put_nowait(("end",)))  # type: ignore
        pool.set_up(set_up_request(CALL))
        peer = await accept_peer(listener)
        await asyncio.to_thread(peer.expect, MessageType.SET_UP)
        peer.send(
            MessageType.RELEASE,
            CALL,
            {Parameter.CAUSE: bytes((cause,)), Parameter.NOTE: note, Parameter.REPORT: "idle:3;circuits:9"},
        )
        while await handler.reported.get() != ("end",):
            pass

    run_with_pool(listener.address, scenario)
    assert ended == [(CALL, expected[0], expected[1], 0, it.LoadReport(3, 9))]


def test_the_normal_end_of_an_earlier_attempt_does_not_end_the_current_one() -> None:
    """The answer of an earlier attempt may be lost with its connection, and exchanges report its end again on
    the next one. Taken for the end of the current attempt, it would cause a second set-up of the call.
    """
    listener = Listener()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.set_up(set_up_request(CALL))
        peer = await accept_peer(listener)
        await asyncio.to_thread(peer.expect, MessageType.SET_UP)
        peer.release(CALL, 16)
        peer.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
        reports = [await handler.reported.get()]
        while reports[-1][0] not in ("ended", "established"):
            reports.append(await handler.reported.get())
        assert reports[-1] == ("established", CALL)

    run_with_pool(listener.address, scenario)


def test_a_peer_that_stops_reading_is_disconnected_before_it_fills_the_memory() -> None:
    listener = Listener()

    async def scenario(pool: ExchangePool, handler: RecordingHandler) -> None:
        pool.dial()
        peer = await accept_peer(listener)
        assert await handler.reported.get() == ("connected",)
        connection = pool.connections[0]
        assert connection.transport is not None
        max_buffered = sent = 0
        while connection.write(bytes(16384)):
            max_buffered, sent = max(max_buffered, connection.transport.get_write_buffer_size()), sent + 1
            assert sent < 10_000, "the output buffered for the peer is not bounded"
        assert max_buffered <= pool.bounds.max_unsent_bytes and not connection.is_open
        peer.socket.close()

    run_with_pool(listener.address, scenario)
