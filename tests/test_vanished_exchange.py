"""Incident 8: calls that stand on an exchange which vanishes are released in time, whoever is silent."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import nullcontext
from pathlib import Path

import pytest

from arrowkeel.net.codec import Kind
from tests.peers import CALL, OTHER, Program, event, instance, running
from tests.standins.fault_proxy import FaultProxy, threaded

RELEASE_LIMIT_S = 8.0  # the protocol's limit from a call's end to the release towards its caller
Network = tuple[FaultProxy, Callable[[Callable[[], None]], None]]


@pytest.fixture
def between(tmp_path: Path) -> Iterator[tuple[Program, Network]]:
    """The program, with a fault proxy between it and its exchange."""
    program = Program(tmp_path)
    with threaded(program.exchange.address) as network:
        known = [event(1, instance("far", 1, network[0].address), reset=True)]
        with running(tmp_path, program, known={"seq": 1, "results": known}):
            yield program, network


@pytest.mark.parametrize("discovery", ["follows", "down"])
def test_calls_on_a_vanished_exchange_are_released_in_time(
    between: tuple[Program, Network], discovery: str
) -> None:
    program, (proxy, run) = between
    caller = program.caller()
    caller.socket.settimeout(RELEASE_LIMIT_S + 1.0)
    program.standing(caller)
    program.standing(caller, OTHER)
    if discovery == "down":
        program.changelog.socket.close()
        program.news.socket.close()
    with program.heartbeat() if discovery == "follows" else nullcontext():
        run(proxy.cut)
        vanished = time.monotonic()
        released = [caller.receive() for _ in range(2)]
    took_s = time.monotonic() - vanished
    assert {(message.kind, message.call) for message in released if message is not None} == {
        (Kind.RELEASE, CALL),
        (Kind.RELEASE, OTHER),
    }
    assert took_s < RELEASE_LIMIT_S
