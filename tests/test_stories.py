"""Stories over loopback sockets: the program between scripted callers, an exchange and a change log."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel.net.callers import BAD_SET_UPS_LIMIT
from arrowkeel.net.codec import MessageType, Parameter, ReleaseCause, encode
from arrowkeel.net.config import ClockOffset, read_config
from arrowkeel.net.service import Service
from tests.peers import CALL, OTHER, SETTINGS, Exchange, Listener, Peer, Program, event, instance, running


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running(tmp_path) as program:
        yield program


def test_a_call_stands_and_ends_and_what_it_carries_is_unchanged(program: Program) -> None:
    caller = program.caller()
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
    program.exchange.release(CALL, 16)  # told again, as on a next connection: not passed again
    program.standing(caller, OTHER)


@pytest.mark.parametrize(("dest", "kind"), [(9, "voice"), (1, "no such class")])
def test_an_unknown_class_or_destination_is_refused_at_once_with_advice(
    program: Program, dest: int, kind: str
) -> None:
    caller = program.caller()
    caller.set_up(dest=dest, kind=kind)
    refusal = caller.expect(MessageType.RELEASE)
    assert refusal.cause() in (34, 42, 102) and refusal.integer(Parameter.REDIAL_AFTER) == 2000
    program.standing(caller, OTHER)


def test_silence_is_given_up_at_the_deadline_and_the_caller_told(program: Program) -> None:
    caller = program.caller()
    caller.set_up(patience_ms=1000)
    program.exchange.expect(MessageType.SET_UP)
    assert program.exchange.expect(MessageType.RELEASE).cause() == ReleaseCause.NORMAL
    assert caller.expect(MessageType.RELEASE).cause() not in (34, 42, 102)


def test_a_caller_that_gives_up_before_the_answer_frees_the_exchange(program: Program) -> None:
    caller = program.caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    caller.release(CALL, 16)
    assert program.exchange.expect(MessageType.RELEASE).cause() == 16
    program.exchange.send(
        MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"crossed"}
    )  # owed to nobody any more
    program.standing(caller, OTHER)


def test_a_malformed_message_closes_its_connection_and_ends_its_calls_only(program: Program) -> None:
    bad, good = program.caller(), program.caller()
    bad.set_up()
    program.exchange.expect(MessageType.SET_UP)
    bad.socket.sendall(b"\x00\x03abc")
    assert bad.expect(MessageType.RELEASE).cause() == ReleaseCause.TEMPORARY_FAILURE
    assert bad.receive() is None
    assert program.exchange.expect(MessageType.RELEASE).cause() == 16
    program.standing(good, OTHER)


BAD_SET_UPS: dict[str, dict[Parameter, bytes | str | None]] = {
    "no patience": {Parameter.PATIENCE: None},
    "patience of the past": {Parameter.PATIENCE: "-5"},
    "patience beyond number": {Parameter.PATIENCE: "9" * 23},
    "no description": {Parameter.DESCRIPTION: None},
    "no width": {Parameter.ROUTING: "dest:1;width:0;via:-1"},
    "no number": {Parameter.ROUTING: "dest:nan;width:1;via:-1"},
}


@pytest.mark.parametrize("bad", [*BAD_SET_UPS, "no id", "cut off"])
def test_a_bad_set_up_is_turned_down_and_the_good_calls_of_its_connection_go_on(
    program: Program, bad: str
) -> None:
    """Guards the exchanges too: they close on what they cannot read, whatever else is open there."""
    caller, third = program.caller(), "0" * 16 if bad == "no id" else "00000000000000c3"
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    if bad == "cut off":
        caller.socket.sendall(b"\x00\x0b\x01" + bytes.fromhex(third) + b"\x40\x00")
    else:
        caller.set_up(third, changes=BAD_SET_UPS.get(bad))
    assert caller.expect(MessageType.RELEASE, third).cause() == ReleaseCause.INVALID_CONTENTS
    caller.set_up(OTHER)
    program.exchange.expect(MessageType.SET_UP, OTHER)
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)


def test_two_set_ups_under_one_id_never_stand_and_another_callers_id_is_left_alone(program: Program) -> None:
    caller, bad = program.caller(), program.caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    bad.set_up()  # the id of a call that is open on another connection
    assert bad.expect(MessageType.RELEASE).cause() == ReleaseCause.INVALID_CONTENTS
    for _ in range(2):
        bad.set_up(OTHER)
    assert bad.expect(MessageType.RELEASE, OTHER).cause() == ReleaseCause.TEMPORARY_FAILURE
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)


@pytest.mark.parametrize("sent", [b"", b"\x00\x40\x01"])
def test_a_connection_that_says_nothing_or_half_a_message_is_closed_in_time(
    program: Program, sent: bytes
) -> None:
    caller, bad = program.caller(), program.caller()
    program.standing(caller)
    bad.socket.sendall(sent)
    began = time.monotonic()
    assert bad.receive() is None and time.monotonic() - began < 3
    program.exchange.release(CALL, 16)
    caller.expect(MessageType.RELEASE)


def test_a_set_up_that_takes_two_seconds_to_write_is_taken(program: Program) -> None:
    """On crowded days some usual callers write theirs so slowly, each on a fresh connection."""
    caller = program.caller()
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
    for at in range(0, len(message), 30):
        caller.socket.sendall(message[at : at + 30])
        time.sleep(2.2 * 30 / len(message))
    program.exchange.expect(MessageType.SET_UP)


def test_at_the_share_of_descriptors_an_idle_connection_goes_and_a_callers_newest_stays(
    tmp_path: Path,
) -> None:
    with running(tmp_path, limits={"cores": 1.0, "memory_mb": 64, "sockets": 32}) as program:
        usual = program.caller()
        usual.set_up()
        program.exchange.expect(MessageType.SET_UP)
        idle = [program.caller() for _ in range(30)]  # more than the program may hold
        newest = program.caller()
        program.standing(newest, OTHER)
        assert idle[0].receive() is None
        program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
        usual.expect(MessageType.ANSWER)


def test_a_call_taken_back_before_it_was_looked_at_reaches_neither_module_nor_exchange(
    program: Program,
) -> None:
    caller = program.caller()
    program.process.send_signal(signal.SIGSTOP)  # so that both are read at once
    caller.set_up()
    caller.release(CALL, 16)
    program.process.send_signal(signal.SIGCONT)
    caller.tested()
    program.standing(caller, OTHER)  # the first that the exchange hears of


def test_a_flood_of_bad_set_ups_is_answered_ended_and_logged_once(program: Program) -> None:
    for _ in range(3):
        bad = program.caller()
        for _ in range(BAD_SET_UPS_LIMIT + 1):
            bad.set_up(changes={Parameter.DESCRIPTION: None})
        for _ in range(BAD_SET_UPS_LIMIT + 1):
            bad.expect(MessageType.RELEASE)
        assert bad.receive() is None
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(20) == 0 and program.process.stdout is not None
    assert len(program.process.stdout.readlines()) < 10


def test_a_malformed_report_closes_the_exchanges_connection_and_another_comes(program: Program) -> None:
    program.exchange.send(MessageType.GROUP_STATE, CALL, {Parameter.REPORT: "idle:many"})
    program.exchange.ended.get(timeout=20)
    program.exchange.opened.get(timeout=20)
    program.standing(program.caller())


def test_releases_pass_both_ways_for_calls_of_before_the_start(program: Program) -> None:
    program.exchange.release(CALL, 41)  # no caller is connected: kept until one is
    caller = program.caller()
    caller.release(OTHER, 16)
    assert caller.expect(MessageType.RELEASE).cause() == 41
    assert program.exchange.expect(MessageType.RELEASE, OTHER).cause() == 16


def test_a_standing_call_outlives_its_connections(program: Program) -> None:
    first = program.caller()
    program.standing(first)
    first.socket.close()
    second = program.caller()
    second.release(OTHER, 16)
    program.exchange.expect(MessageType.RELEASE, OTHER)  # by now the first one's end has been read as well
    program.exchange.release(CALL, 16)
    assert second.expect(MessageType.RELEASE).cause() == 16


def test_a_release_goes_to_a_caller_that_calls_rather_than_to_a_silent_one(program: Program) -> None:
    silent, first, usual = program.caller(), program.caller(), program.caller()
    program.standing(first)
    program.standing(usual, OTHER)
    first.socket.close()
    silent.tested()  # by now the first one's end has been read as well
    program.exchange.release(CALL, 16)
    usual.expect(MessageType.RELEASE)


def test_what_a_gone_exchange_cut_is_released_to_its_caller(program: Program) -> None:
    caller = program.caller()
    program.standing(caller)
    gone = {**instance("far", 1, program.exchange.address), "lifecycle": "removed"}
    program.tell(event(2, gone))
    assert caller.expect(MessageType.RELEASE).cause() == 41
    assert program.exchange.ended.get(timeout=20)


def test_a_lost_connection_ends_its_set_ups_and_is_opened_again(program: Program) -> None:
    caller = program.caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    program.exchange.drop(program.exchange.line_of[CALL], reset=True)
    program.exchange.expect(MessageType.RELEASE)  # in case it stood, and the answer was lost
    program.exchange.expect(
        MessageType.SET_UP
    )  # the module's further attempt, once the release has been awaited
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER)


def test_a_mute_connection_is_replaced_and_its_calls_and_releases_saved(program: Program) -> None:
    """A connection may say nothing more and stay open: its set-ups would time out, its releases be lost."""
    caller, exchange = program.caller(), program.exchange
    program.standing(caller)
    exchange.mute = exchange.line_of[CALL]
    caller.set_up(OTHER)
    caller.set_up("00000000000000c3")  # the other connection carries one of the two
    sent = [exchange.came.get(timeout=20) for _ in range(2)]
    assert {line for line, _ in sent} == set(exchange.lines)
    (lost,) = [message.call for line, message in sent if line is exchange.mute]
    assert exchange.ended.get(timeout=20) is exchange.mute
    exchange.opened.get(timeout=20)
    exchange.expect(MessageType.RELEASE, lost)
    exchange.expect(MessageType.SET_UP, lost)
    exchange.send(MessageType.ANSWER, lost, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER, lost)
    exchange.release(CALL, 16)  # as exchanges do on the next connection that opens
    caller.expect(MessageType.RELEASE)


def test_a_spoilt_answer_ends_the_set_ups_of_its_connection_only(program: Program) -> None:
    caller, exchange = program.caller(), program.exchange
    caller.set_up()
    caller.set_up(OTHER)
    (spoilt, first), (good, second) = (exchange.came.get(timeout=20) for _ in range(2))
    assert spoilt is not good
    spoilt.socket.sendall(b"\xff" * 100)
    exchange.expect(MessageType.RELEASE, first.call)
    good.send(MessageType.ANSWER, second.call, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER, second.call)
    exchange.expect(MessageType.SET_UP, first.call)
    exchange.send(MessageType.ANSWER, first.call, {Parameter.DESCRIPTION: b"answer"})
    caller.expect(MessageType.ANSWER, first.call)


def test_the_change_log_is_followed_in_order_and_taken_up_where_it_broke(program: Program) -> None:
    near = Exchange()
    program.tell({"seq": 1}, event(1, instance("far", 1, "127.0.0.1:1", "removed")))  # a duplicate
    program.tell(event(2, instance("near", 2, near.address)))
    near.opened.get(timeout=20)
    program.news.socket.sendall(b"{not json\n")
    program.logged("malformed change-log line")
    program.news.socket = program.changelog.accept()
    assert program.news.socket.recv(100) == b"since 2\n"
    program.tell({"seq": 2}, event(4, instance("near", 2, near.address, "removed")))  # 3 is missing
    program.logged("malformed change-log line")
    again = program.changelog.accept()
    assert again.recv(100) == b"since 2\n"
    program.caller().set_up(dest=2)
    near.expect(MessageType.SET_UP)


def test_a_change_log_that_answers_slowly_is_not_hung_up_on(program: Program) -> None:
    near = Exchange()
    second = Peer(program.changelog.accept())  # once the first has said nothing for 2.2 s
    assert second.socket.recv(100) == b"since 1\n"
    program.tell(event(2, instance("near", 2, near.address)))  # on the first
    near.opened.get(timeout=20)
    assert second.receive() is None
    program.tell(event(3, instance("near", 2, near.address, "removed")))
    near.ended.get(timeout=20)


def test_sigterm_lets_open_calls_finish_and_takes_more_on_open_connections(program: Program) -> None:
    caller, late = program.caller(), program.caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    program.process.send_signal(signal.SIGTERM)
    program.logged("stopping")
    late.set_up(OTHER)
    program.exchange.expect(MessageType.SET_UP, OTHER)
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"one"})
    program.exchange.send(MessageType.ANSWER, OTHER, {Parameter.DESCRIPTION: b"two"})
    caller.expect(MessageType.ANSWER)
    late.expect(MessageType.ANSWER, OTHER)
    assert caller.receive() is None and program.process.wait(20) == 0


def test_a_new_configuration_moves_the_change_log_and_a_bad_one_changes_nothing(program: Program) -> None:
    caller, moved, near = program.caller(), Listener(), Exchange()
    program.standing(caller)
    program.config["changelog"] = moved.address
    program.path.write_text(json.dumps(program.config))
    program.process.send_signal(signal.SIGHUP)
    program.news.socket = moved.accept()
    assert program.news.socket.recv(100) == b"since 1\n"
    program.tell(event(2, instance("near", 2, near.address)))
    near.opened.get(timeout=20)
    for spoilt in ('{"name":', '{"limits": []}'):
        program.path.write_text(spoilt)
        program.process.send_signal(signal.SIGHUP)
        program.logged("configuration rejected")
    program.tell(event(3, instance("near", 2, near.address, "removed")))
    program.exchange.release(CALL, 16)
    assert caller.expect(MessageType.RELEASE).cause() == 16


def test_a_test_of_the_connection_passes(program: Program) -> None:
    program.caller().tested()


def test_connections_are_still_taken_for_a_while_after_the_stop(tmp_path: Path) -> None:
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
    ("changes", "named"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"listen": "taken"}, "listen"),
        ({"settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "onTimeNs": 1e999}]}}, "settings"),
        ({"operator": "nowhere"}, "operator"),
        ({"operator": "taken"}, "operator"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "limits.sockets"),
        ({"settings": {"permissions": {}}}, "classes"),
        ({"known": {"seq": 1, "results": [event(1, {"cell": 1})]}}, "instanceId"),
    ],
)
def test_a_bad_configuration_is_named_in_one_sentence(
    tmp_path: Path, changes: dict[str, object], named: str
) -> None:
    program = Program(tmp_path)
    program.config.update(changes)
    for name in ("listen", "operator"):
        if changes.get(name) == "taken":
            program.config[name] = program.changelog.address
    process = program.launch()
    said, _ = process.communicate(timeout=20)
    assert process.returncode == 2 and said.count("\n") == 1 and named in said


def test_no_call_stands_for_a_caller_that_has_left(program: Program) -> None:
    """The answer and the end of the caller's connection may be read in the same pass of the loop."""
    caller = program.caller()
    caller.set_up()
    program.exchange.expect(MessageType.SET_UP)
    program.process.send_signal(signal.SIGSTOP)
    caller.reset()
    program.exchange.send(MessageType.ANSWER, CALL, {Parameter.DESCRIPTION: b"too late"})
    program.process.send_signal(signal.SIGCONT)
    assert program.exchange.expect(MessageType.RELEASE).cause() == 16
    program.standing(program.caller(), OTHER)
