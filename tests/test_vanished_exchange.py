"""End-to-end tests of standing calls whose end is not reported (incident 8, and issue 17 case 3).

The machine of their exchange vanishes, or their releases are lost. Yet they must be released within the
protocol's limit, and only if they have really ended.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext, suppress
from pathlib import Path

import pytest

from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause
from tests.peers import CALL, OTHER, Peer, Program, change_event, instance_entry, running_program
from tests.standins.fault_proxy import FaultProxy, proxy_in_thread

RELEASE_LIMIT_S = 8.0  # the protocol's limit from a call's end to the release towards its caller
Network = tuple[FaultProxy, Callable[[Callable[[], None]], None]]


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


@pytest.fixture
def program_behind_proxy(tmp_path: Path) -> Iterator[tuple[Program, Network]]:
    """The program, with a fault proxy between it and its exchange."""
    program = Program(tmp_path)
    with proxy_in_thread(program.exchange.address) as network:
        known = [change_event(1, instance_entry("far", 1, network[0].address), reset=True)]
        with running_program(tmp_path, program, known={"seq": 1, "results": known}):
            yield program, network


@pytest.mark.parametrize("change_log", ["up", "down"])
def test_calls_on_a_vanished_exchange_are_released_in_time(
    program_behind_proxy: tuple[Program, Network], change_log: str
) -> None:
    program, (proxy, run) = program_behind_proxy
    caller = establish_two_calls(program)
    if change_log == "down":
        program.changelog_listener.socket.close()
        program.changelog_connection.socket.close()
    with program.heartbeat() if change_log == "up" else nullcontext():
        run(proxy.cut)
        expect_both_released(caller, since_s=time.monotonic())


def test_calls_of_a_machine_that_returns_as_a_new_process_are_released_in_time(
    program_behind_proxy: tuple[Program, Network],
) -> None:
    """Its new connections report an idle group, but nothing reports the end of the calls that it has lost."""
    program, (proxy, run) = program_behind_proxy
    caller = establish_two_calls(program)
    run(proxy.cut)
    vanished_at_s = time.monotonic()
    program.exchange.state = {Parameter.REPORT: "idle:60;circuits:60;max_rate:-1"}
    program.exchange.disconnect(*program.exchange.connections, reset=True)
    time.sleep(4.0)
    run(proxy.heal)
    expect_both_released(caller, since_s=vanished_at_s)


@pytest.mark.parametrize("disturbance", ["cut for six seconds", "all connections reset", "idle for long"])
def test_calls_of_a_process_that_lives_on_are_not_released(
    program_behind_proxy: tuple[Program, Network], disturbance: str
) -> None:
    program, (proxy, run) = program_behind_proxy
    caller = establish_two_calls(program)
    if disturbance == "cut for six seconds":
        run(proxy.cut)
        time.sleep(6.0)
        program.exchange.send_state(*program.exchange.connections)  # as it does when the free circuits change
        run(proxy.heal)
    elif disturbance == "all connections reset":
        run(proxy.reset_all)
    time.sleep(RELEASE_LIMIT_S + 1.0)
    for call in (CALL, OTHER):
        program.exchange.release(call, ReleaseCause.NORMAL)
        assert caller.expect(MessageType.RELEASE, call).cause() == ReleaseCause.NORMAL


def establish_two_calls(program: Program) -> Peer:
    caller = program.connect_caller()
    caller.socket.settimeout(RELEASE_LIMIT_S + 1.0)
    program.establish_call(caller)
    program.establish_call(caller, OTHER)
    return caller


def establish_calls_on_one_connection(
    program: Program, changes: dict[Parameter, bytes | str | None] | None = None
) -> Peer:
    """Establishes two calls; the second one comes on the same connection, as the other one is busier."""
    caller = program.connect_caller()
    caller.socket.settimeout(RELEASE_LIMIT_S + 1.0)
    program.establish_call(caller, changes=changes)
    program.establish_call(caller, OTHER, changes=changes)
    assert program.exchange.connection_of[CALL] is program.exchange.connection_of[OTHER]
    return caller


def set_busy_circuits(program: Program, busy: int, *connections: Peer) -> None:
    """Changes the state of the group and sends it on these connections, else on all."""
    program.exchange.state = {Parameter.REPORT: f"idle:{60 - busy};circuits:60;max_rate:-1"}
    program.exchange.send_state(*(connections or program.exchange.connections))


@contextmanager
def states_of_other_calls(program: Program, far_end_calls: int) -> Iterator[None]:
    """Takes and frees a circuit for other calls again and again, so that the exchange is never silent."""
    done = threading.Event()

    def report_states() -> None:
        turn = 0
        while not done.wait(1.0 if turn == 0 else 0.5):
            turn += 1
            set_busy_circuits(program, far_end_calls + turn % 2)

    thread = threading.Thread(target=report_states, daemon=True)
    thread.start()
    try:
        yield
    finally:
        done.set()
        thread.join()


def expect_both_released(caller: Peer, since_s: float) -> None:
    released = [caller.receive() for _ in range(2)]
    took_s = time.monotonic() - since_s
    assert {(message.type, message.call) for message in released if message is not None} == {
        (MessageType.RELEASE, CALL),
        (MessageType.RELEASE, OTHER),
    }
    assert took_s < RELEASE_LIMIT_S


@pytest.mark.parametrize("far_end_calls", [0, 20])
def test_calls_whose_release_was_lost_twice_are_released_in_time(
    program: Program, far_end_calls: int
) -> None:
    """Guards against calls that are never released because both connections with their release were reset."""
    exchange = program.exchange
    set_busy_circuits(program, far_end_calls + 2)
    caller = establish_calls_on_one_connection(program)
    carrying = exchange.connection_of[CALL]
    # The calls end. What the exchange sends of it on this connection and on the next one is lost.
    ended_at_s = time.monotonic()
    set_busy_circuits(
        program, far_end_calls, *[each for each in exchange.connections if each is not carrying]
    )
    exchange.resets_next_connection = True
    exchange.disconnect(carrying, reset=True)
    with states_of_other_calls(program, far_end_calls):
        expect_both_released(caller, since_s=ended_at_s)


@pytest.mark.parametrize("routing", ["dest:1;width:1;via:-1", "dest:1;width:1;via:2;transit:1"])
def test_releases_on_a_connection_whose_end_the_exchange_learns_late_are_not_lost(
    program: Program, routing: str
) -> None:
    """Guards against calls that stand for ever, as their releases went out on a connection closed here."""
    exchange = program.exchange
    caller = establish_calls_on_one_connection(program, {Parameter.ROUTING: routing})
    carrying = exchange.connection_of[CALL]
    while not exchange.opened_connections.empty():
        exchange.opened_connections.get()
    exchange.unresponsive, exchange.notice_delay_s = carrying, 0.6
    caller.set_up("00000000000000c3", patience_ms=500)  # no answer: the connection becomes unresponsive
    exchange.opened_connections.get(timeout=RELEASE_LIMIT_S)  # the one in its place: nothing to repeat yet
    ended_at_s = time.monotonic()
    for call in (CALL, OTHER):
        with suppress(OSError):  # as far as the exchange knows, the connection is open
            exchange.release(call, ReleaseCause.NORMAL)
    assert exchange.connection_of[CALL] is carrying
    with states_of_other_calls(program, far_end_calls=18):
        ends = [caller.receive() for _ in range(3)]  # one is the end of the set-up
    assert {CALL, OTHER} < {message.call for message in ends if message is not None}
    assert time.monotonic() - ended_at_s < RELEASE_LIMIT_S


def test_calls_that_go_on_are_kept_though_two_connections_in_a_row_were_reset(program: Program) -> None:
    """Guards the promise beside the fault: no circuit became free, so none of the calls can have ended."""
    exchange = program.exchange
    caller = establish_calls_on_one_connection(program)
    exchange.resets_next_connection = True
    exchange.disconnect(exchange.connection_of[CALL], reset=True)
    with states_of_other_calls(program, far_end_calls=18):
        time.sleep(RELEASE_LIMIT_S + 1.0)
    for call in (CALL, OTHER):
        exchange.release(call, ReleaseCause.NORMAL)
        assert caller.expect(MessageType.RELEASE, call).cause() == ReleaseCause.NORMAL
