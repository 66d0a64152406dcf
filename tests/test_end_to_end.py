"""End-to-end tests: the program on loopback sockets with scripted callers, an exchange and a change log."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel.net.callers import MAX_INVALID_SET_UPS
from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode
from arrowkeel.net.config import ClockOffset, read_config
from arrowkeel.net.service import Service
from tests.peers import (
    CALL,
    OTHER,
    SETTINGS,
    Exchange,
    Listener,
    Peer,
    Program,
    change_event,
    instance_entry,
    running_program,
)


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running_program(tmp_path) as program:
        yield program


def test_a_call_is_set_up_answered_and_released_with_its_contents_unchanged(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up(patience_ms=60_000)
    sent = program.exchange.expect(MessageType.SET_UP)
    assert (sent.text(Parameter.CLASS), sent.text(Parameter.NUMBER)) == ("voice", "7f3a9c21e0b4d655")
    assert (
        sent.parameters[Parameter.DESCRIPTION] == b"offer \x00\xff"
        and 0 < sent.integer(Parameter.PATIENCE) <= 60_000
    )
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    assert caller.expect(MessageType.ANSWER).parameters == {Parameter.DESCRIPTION: b"answer"}
    program.exchange.release(CALL, 16)
    assert caller.expect(MessageType.RELEASE).cause() == 16
    program.exchange.release(CALL, 16)  # repeated, as on a new connection; not passed on again
    program.establish_call(caller, OTHER)


@pytest.mark.parametrize(("dest", "kind"), [(9, "voice"), (1, "no such class")])
def test_an_unknown_class_or_destination_is_refused_at_once_with_redial_advice(
    program: Program, dest: int, kind: str
) -> None:
    caller = program.connect_caller()
    caller.set_up(destination=dest, class_name=kind)
    refusal = caller.expect(MessageType.RELEASE)
    assert refusal.cause() in (34, 42, 102) and refusal.integer(Parameter.REDIAL_AFTER) == 2000
    program.establish_call(caller, OTHER)


def test_an_unanswered_set_up_is_released_at_the_deadline_and_the_call_fails(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up(patience_ms=1000)
    program.exchange.expect(MessageType.SET_UP)
    assert program.exchange.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert caller.expect(MessageType.RELEASE).cause() not in (34, 42, 102)


def test_a_callers_release_before_the_answer_is_passed_to_the_exchange(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    caller.release(CALL, 16)
    assert program.exchange.expect(MessageType.RELEASE).cause() == 16
    # This answer crosses the release: the call is over and the answer reaches nobody.
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"crossed"})
    program.establish_call(caller, OTHER)


def test_a_malformed_message_closes_its_connection_and_fails_only_the_calls_on_it(program: Program) -> None:
    invalid, valid = program.connect_caller(), program.connect_caller()
    invalid.set_up()
    program.exchange.expect(MessageType.SET_UP)
    invalid.socket.sendall(b"\x00\x03abc")
    assert invalid.expect(MessageType.RELEASE).cause() == ReleaseCause.TEMPORARY_FAILURE
    assert invalid.receive() is None
    assert program.exchange.expect(MessageType.RELEASE).cause() == 16
    program.establish_call(valid, OTHER)


INVALID_SET_UPS: dict[str, dict[Parameter, bytes | str | None]] = {
    "patience missing": {Parameter.PATIENCE: None},
    "patience negative": {Parameter.PATIENCE: "-5"},
    "patience too long": {Parameter.PATIENCE: "9" * 23},
    "description missing": {Parameter.DESCRIPTION: None},
    "width zero": {Parameter.ROUTING: "dest:1;width:0;via:-1"},
    "destination not a number": {Parameter.ROUTING: "dest:nan;width:1;via:-1"},
}


@pytest.mark.parametrize("defect", [*INVALID_SET_UPS, "call id missing", "parameter incomplete"])
def test_an_invalid_set_up_is_rejected_and_other_calls_of_its_connection_go_on(
    program: Program, defect: str
) -> None:
    """If it were passed on, the exchange would close its connection, with all calls that are open there."""
    caller, third = program.connect_caller(), "0" * 16 if defect == "call id missing" else "00000000000000c3"
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    if defect == "parameter incomplete":
        caller.socket.sendall(b"\x00\x0b\x01" + bytes.fromhex(third) + b"\x40\x00")
    else:
        caller.set_up(third, changes=INVALID_SET_UPS.get(defect))
    assert caller.expect(MessageType.RELEASE, third).cause() == ReleaseCause.INVALID_CONTENTS
    caller.set_up(OTHER)
    program.exchange.expect(MessageType.SET_UP, OTHER)
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)


def test_a_call_id_that_is_in_use_is_rejected_and_the_call_on_the_other_connection_goes_on(
    program: Program,
) -> None:
    caller, duplicate = program.connect_caller(), program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    duplicate.set_up()  # the id of a call that is open on another connection
    assert duplicate.expect(MessageType.RELEASE).cause() == ReleaseCause.INVALID_CONTENTS
    for _ in range(2):
        duplicate.set_up(OTHER)
    assert duplicate.expect(MessageType.RELEASE, OTHER).cause() == ReleaseCause.TEMPORARY_FAILURE
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)


@pytest.mark.parametrize("sent", [b"", b"\x00\x40\x01"])
def test_a_connection_without_a_complete_message_is_closed_in_time(program: Program, sent: bytes) -> None:
    caller, idle = program.connect_caller(), program.connect_caller()
    program.establish_call(caller)
    idle.socket.sendall(sent)
    started = time.monotonic()
    assert idle.receive() is None and time.monotonic() - started < 3
    program.exchange.release(CALL, 16)
    caller.expect(MessageType.RELEASE)


def test_a_set_up_that_takes_two_seconds_to_write_is_accepted(program: Program) -> None:
    """Under heavy load some callers write their set-ups this slowly, each on a new connection."""
    caller = program.connect_caller()
    message = encode(
        MessageType.SET_UP,
        CALL,
        {
            Parameter.CLASS: "voice",
            Parameter.PATIENCE: "60000",
            Parameter.NUMBER: "7f3a9c21e0b4d655",
            Parameter.ROUTING: "dest:1",
            Parameter.DESCRIPTION: b"offer",
        },
    )
    for start in range(0, len(message), 30):
        caller.socket.sendall(message[start : start + 30])
        time.sleep(2.2 * 30 / len(message))
    program.exchange.expect(MessageType.SET_UP)


def test_at_the_connection_limit_an_idle_connection_is_closed_and_the_newest_kept(
    tmp_path: Path,
) -> None:
    with running_program(tmp_path, limits={"cores": 1.0, "memory_mb": 64, "sockets": 32}) as program:
        active = program.connect_caller()
        active.set_up()
        program.exchange.expect(MessageType.SET_UP)
        idle = [program.connect_caller() for _ in range(30)]  # more than the program may keep open
        newest = program.connect_caller()
        program.establish_call(newest, OTHER)
        assert idle[0].receive() is None
        program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
        active.expect(MessageType.ANSWER)


def test_a_call_released_before_it_was_processed_reaches_neither_policy_nor_exchange(
    program: Program,
) -> None:
    caller = program.connect_caller()
    program.process.send_signal(signal.SIGSTOP)  # so that both messages are read in one event batch
    caller.set_up()
    caller.release(CALL, 16)
    program.process.send_signal(signal.SIGCONT)
    caller.wait_until_processed()
    program.establish_call(caller, OTHER)  # the first set-up that the exchange receives


def test_after_a_stall_beyond_the_deadline_the_policy_still_answers(program: Program) -> None:
    """Guards against calls that are ended as overdue although the policy had no turn since the deadline."""
    caller = program.connect_caller()
    caller.set_up(patience_ms=300)
    program.exchange.expect(MessageType.SET_UP)
    program.process.send_signal(signal.SIGSTOP)
    time.sleep(0.5)
    program.process.send_signal(signal.SIGCONT)
    assert caller.expect(MessageType.RELEASE).cause() not in (34, 42, 102)
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(20) == 0 and program.process.stdout is not None
    assert not [line for line in program.process.stdout if "past its deadline" in line]


def test_a_flood_of_invalid_set_ups_is_answered_disconnected_and_logged_sparsely(program: Program) -> None:
    for _ in range(3):
        invalid = program.connect_caller()
        for _ in range(MAX_INVALID_SET_UPS + 1):
            invalid.set_up(changes={Parameter.DESCRIPTION: None})
        for _ in range(MAX_INVALID_SET_UPS + 1):
            invalid.expect(MessageType.RELEASE)
        assert invalid.receive() is None
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(20) == 0 and program.process.stdout is not None
    assert len(program.process.stdout.readlines()) < 10


def test_a_malformed_report_closes_the_exchanges_connection_and_another_is_opened(program: Program) -> None:
    program.exchange.send(MessageType.GROUP_STATE, CALL, {Parameter.REPORT: "idle:many"})
    program.exchange.closed_connections.get(timeout=20)
    program.exchange.opened_connections.get(timeout=20)
    program.establish_call(program.connect_caller())


def test_releases_of_calls_from_before_the_start_pass_both_ways(program: Program) -> None:
    program.exchange.release(CALL, 41)  # no caller is connected: the release waits until one is
    caller = program.connect_caller()
    caller.release(OTHER, 16)
    assert caller.expect(MessageType.RELEASE).cause() == 41
    assert program.exchange.expect(MessageType.RELEASE, OTHER).cause() == 16


def test_a_standing_call_outlives_its_callers_connection(program: Program) -> None:
    first = program.connect_caller()
    program.establish_call(first)
    first.socket.close()
    second = program.connect_caller()
    second.release(OTHER, 16)
    program.exchange.expect(MessageType.RELEASE, OTHER)  # the end of the first connection has been read too
    program.exchange.release(CALL, 16)
    assert second.expect(MessageType.RELEASE).cause() == 16


def test_a_release_goes_to_a_connection_that_has_carried_calls(program: Program) -> None:
    silent, first, active = program.connect_caller(), program.connect_caller(), program.connect_caller()
    program.establish_call(first)
    program.establish_call(active, OTHER)
    first.socket.close()
    silent.wait_until_processed()  # the end of the first connection has been read too
    program.exchange.release(CALL, 16)
    active.expect(MessageType.RELEASE)


def test_the_calls_of_a_removed_exchange_are_released_to_their_caller(program: Program) -> None:
    caller = program.connect_caller()
    program.establish_call(caller)
    removed = {**instance_entry("x1", 1, program.exchange.address), "lifecycle": "removed"}
    program.publish(change_event(2, removed))
    assert caller.expect(MessageType.RELEASE).cause() == 41
    assert program.exchange.closed_connections.get(timeout=20)


def test_a_lost_exchange_connection_is_reopened_and_its_set_up_attempted_again(program: Program) -> None:
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    program.exchange.disconnect(program.exchange.connection_of[CALL], reset=True)
    program.exchange.expect(MessageType.RELEASE)  # in case the call was answered and the answer was lost
    program.exchange.expect(MessageType.SET_UP)  # the next attempt, after the time that the release may take
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)


def test_an_unresponsive_connection_is_replaced_and_its_calls_and_releases_are_kept(program: Program) -> None:
    """A connection may stay open and deliver nothing: set-ups on it would time out and releases be lost."""
    caller, exchange = program.connect_caller(), program.exchange
    program.establish_call(caller)
    exchange.unresponsive = exchange.connection_of[CALL]
    caller.set_up(OTHER)
    caller.set_up("00000000000000c3")  # one of the two is sent on the other connection
    sent = [exchange.received.get(timeout=20) for _ in range(2)]
    assert {connection for connection, _ in sent} == set(exchange.connections)
    (lost,) = [message.call for connection, message in sent if connection is exchange.unresponsive]
    assert exchange.closed_connections.get(timeout=20) is exchange.unresponsive
    exchange.opened_connections.get(timeout=20)
    exchange.expect(MessageType.RELEASE, lost)
    exchange.expect(MessageType.SET_UP, lost)
    exchange.send(MessageType.ANSWER, lost, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER, lost)
    exchange.release(CALL, 16)  # as exchanges repeat it on the next connection that opens
    caller.expect(MessageType.RELEASE)


def test_a_malformed_answer_ends_only_the_set_ups_of_its_connection(program: Program) -> None:
    caller, exchange = program.connect_caller(), program.exchange
    caller.set_up()
    caller.set_up(OTHER)
    (malformed, first), (valid, second) = (exchange.received.get(timeout=20) for _ in range(2))
    assert malformed is not valid
    malformed.socket.sendall(b"\xff" * 100)
    exchange.expect(MessageType.RELEASE, first.call)
    valid.send(MessageType.ANSWER, second.call, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER, second.call)
    exchange.expect(MessageType.SET_UP, first.call)
    exchange.send(MessageType.ANSWER, first.call, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER, first.call)


def test_the_change_log_is_followed_in_order_and_resumed_after_a_malformed_line(program: Program) -> None:
    other_exchange = Exchange()
    # An event that is known already is ignored.
    program.publish({"seq": 1}, change_event(1, instance_entry("x1", 1, "127.0.0.1:1", "removed")))
    program.publish(change_event(2, instance_entry("x2", 2, other_exchange.address)))
    other_exchange.opened_connections.get(timeout=20)
    program.changelog_connection.socket.sendall(b"{not json\n")
    program.wait_for_log("malformed change log line")
    program.changelog_connection.socket = program.changelog_listener.accept()
    assert program.changelog_connection.socket.recv(100) == b"since 2\n"
    # Event 3 is missing.
    program.publish({"seq": 2}, change_event(4, instance_entry("x2", 2, other_exchange.address, "removed")))
    program.wait_for_log("malformed change log line")
    reconnected = program.changelog_listener.accept()
    assert reconnected.recv(100) == b"since 2\n"
    caller = program.connect_caller()  # it stays: the set-up of a caller that has left is not sent on
    caller.set_up(destination=2)
    other_exchange.expect(MessageType.SET_UP)


def test_a_slow_change_log_connection_stays_in_use_once_it_delivers(program: Program) -> None:
    other_exchange = Exchange()
    # The program opens this one once it has received nothing on the first for 2.2 s.
    second = Peer(program.changelog_listener.accept())
    assert second.socket.recv(100) == b"since 1\n"
    program.publish(change_event(2, instance_entry("x2", 2, other_exchange.address)))  # on the first
    other_exchange.opened_connections.get(timeout=20)
    assert second.receive() is None
    program.publish(change_event(3, instance_entry("x2", 2, other_exchange.address, "removed")))
    other_exchange.closed_connections.get(timeout=20)


def test_sigterm_lets_open_calls_finish_and_accepts_more_on_open_connections(program: Program) -> None:
    caller, late = program.connect_caller(), program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    program.process.send_signal(signal.SIGTERM)
    program.wait_for_log("stopping")
    late.set_up(OTHER)
    program.exchange.expect(MessageType.SET_UP, OTHER)
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"one"})
    program.exchange.send(MessageType.ANSWER, OTHER, {Parameter.DESCRIPTION: b"two"})
    caller.expect(MessageType.ANSWER)
    late.expect(MessageType.ANSWER, OTHER)
    assert caller.receive() is None and program.process.wait(20) == 0


def test_a_new_configuration_moves_the_change_log_and_an_invalid_one_changes_nothing(
    program: Program,
) -> None:
    caller, moved, other_exchange = program.connect_caller(), Listener(), Exchange()
    program.establish_call(caller)
    program.config["changelog"] = moved.address
    program.path.write_text(json.dumps(program.config))
    program.process.send_signal(signal.SIGHUP)
    program.changelog_connection.socket = moved.accept()
    assert program.changelog_connection.socket.recv(100) == b"since 1\n"
    program.publish(change_event(2, instance_entry("x2", 2, other_exchange.address)))
    other_exchange.opened_connections.get(timeout=20)
    for invalid in ('{"name":', '{"limits": []}'):
        program.path.write_text(invalid)
        program.process.send_signal(signal.SIGHUP)
        program.wait_for_log("configuration rejected")
    program.publish(change_event(3, instance_entry("x2", 2, other_exchange.address, "removed")))
    program.exchange.release(CALL, 16)
    assert caller.expect(MessageType.RELEASE).cause() == 16


def test_a_test_of_the_connection_is_answered(program: Program) -> None:
    program.connect_caller().wait_until_processed()


def test_connections_are_still_accepted_for_a_while_after_the_stop(tmp_path: Path) -> None:
    scripted = Program(tmp_path)

    async def run() -> None:
        config = read_config(json.dumps(scripted.config), ClockOffset.measure())
        service = Service(config)
        await service.start()
        assert service.server is not None
        service.stop()
        assert service.server.is_serving() and not service.finished.done()
        await asyncio.wait_for(service.finished, 20)
        assert not service.server.is_serving()
        await service.shut_down()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"listen": "in use"}, "listen"),
        ({"settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "onTimeNs": 1e999}]}}, "settings"),
        ({"operator": "nowhere"}, "operator"),
        ({"operator": "in use"}, "operator"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "limits.sockets"),
        ({"settings": {"permissions": {}}}, "classes"),
        ({"known": {"seq": 1, "results": [change_event(1, {"cell": 1})]}}, "instanceId"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_the_field(
    tmp_path: Path, changes: dict[str, object], field: str
) -> None:
    program = Program(tmp_path)
    program.config.update(changes)
    for name in ("listen", "operator"):
        if changes.get(name) == "in use":
            program.config[name] = program.changelog_listener.address
    process = program.launch()
    output, _ = process.communicate(timeout=20)
    assert process.returncode == 2 and output.count("\n") == 1 and field in output


def test_a_call_answered_after_its_caller_disconnected_is_released(program: Program) -> None:
    """The answer and the end of the caller's connection may be read in the same event batch."""
    caller = program.connect_caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    program.process.send_signal(signal.SIGSTOP)
    caller.reset()
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"too late"})
    program.process.send_signal(signal.SIGCONT)
    assert program.exchange.expect(MessageType.RELEASE).cause() == 16
    program.establish_call(program.connect_caller(), OTHER)
