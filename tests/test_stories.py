"""Stories over loopback sockets: the program between scripted callers, an exchange and a change log."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from arrowkeel import Policy
from arrowkeel.net.codec import Clear, Code, Kind
from arrowkeel.net.config import Clock, read_config
from arrowkeel.net.controller import Controller
from tests.peers import CALL, OTHER, Listener, Program, event, instance, running


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    with running(tmp_path) as program:
        yield program


def test_a_call_stands_and_ends_and_what_it_carries_is_unchanged(program: Program) -> None:
    caller = program.caller()
    caller.set_up(patience_ms=60_000)
    sent = program.exchange.expect(Kind.SET_UP)
    assert (sent.text(Code.CLASS), sent.text(Code.NUMBER)) == ("voice", "7f3a9c21e0b4d655")
    assert sent.parameters[Code.DESCRIPTION] == b"offer \x00\xff" and 0 < sent.whole(Code.PATIENCE) <= 60_000
    program.exchange.send(Kind.ANSWER, CALL, {Code.DESCRIPTION: b"answer"})
    assert caller.expect(Kind.ANSWER).parameters == {Code.DESCRIPTION: b"answer"}
    program.exchange.release(CALL, 16)
    assert caller.expect(Kind.RELEASE).cause() == 16
    program.exchange.release(CALL, 16)  # told again, as on a next connection: not passed again
    program.standing(caller, OTHER)


@pytest.mark.parametrize(("dest", "kind"), [(9, "voice"), (1, "no such class")])
def test_an_unknown_class_or_destination_is_refused_at_once_with_advice(
    program: Program, dest: int, kind: str
) -> None:
    caller = program.caller()
    caller.set_up(dest=dest, kind=kind)
    refusal = caller.expect(Kind.RELEASE)
    assert refusal.cause() in (34, 42, 102) and refusal.whole(Code.REDIAL_AFTER) == 2000
    program.standing(caller, OTHER)


def test_silence_is_given_up_at_the_deadline_and_the_caller_told(program: Program) -> None:
    caller = program.caller()
    caller.set_up(patience_ms=1000)
    program.exchange.expect(Kind.SET_UP)
    assert program.exchange.expect(Kind.RELEASE).cause() == Clear.NORMAL
    assert caller.expect(Kind.RELEASE).cause() not in (34, 42, 102)


def test_a_caller_that_gives_up_before_the_answer_frees_the_exchange(program: Program) -> None:
    caller = program.caller()
    caller.set_up()
    program.exchange.expect(Kind.SET_UP)
    caller.release(CALL, 16)
    assert program.exchange.expect(Kind.RELEASE).cause() == 16
    program.exchange.send(Kind.ANSWER, CALL, {Code.DESCRIPTION: b"crossed"})  # owed to nobody any more
    program.standing(caller, OTHER)


def test_a_malformed_message_closes_its_connection_and_ends_its_calls_only(program: Program) -> None:
    bad, good = program.caller(), program.caller()
    bad.set_up()
    program.exchange.expect(Kind.SET_UP)
    bad.socket.sendall(b"\x00\x03abc")
    assert bad.receive() is None
    assert program.exchange.expect(Kind.RELEASE).cause() == 16
    program.logged("malformed message")
    program.standing(good, OTHER)


def test_a_malformed_report_closes_the_exchanges_connection_and_another_comes(program: Program) -> None:
    program.exchange.send(Kind.GROUP_STATE, CALL, {Code.REPORT: "idle:many"})
    assert program.exchange.receive() is None
    program.exchange = program.far.exchange()
    program.standing(program.caller())


def test_releases_pass_both_ways_for_calls_of_before_the_start(program: Program) -> None:
    program.exchange.release(CALL, 41)  # no caller is connected: kept until one is
    caller = program.caller()
    assert caller.expect(Kind.RELEASE).cause() == 41
    caller.release(OTHER, 16)
    assert program.exchange.expect(Kind.RELEASE, OTHER).cause() == 16


def test_a_standing_call_outlives_its_connections(program: Program) -> None:
    first = program.caller()
    program.standing(first)
    first.socket.close()
    program.exchange.release(OTHER, 16)
    second = program.caller()
    second.expect(Kind.RELEASE, OTHER)
    program.exchange.release(CALL, 16)
    assert second.expect(Kind.RELEASE).cause() == 16


def test_what_a_gone_exchange_cut_is_released_to_its_caller(program: Program) -> None:
    caller = program.caller()
    program.standing(caller)
    gone = {**instance("far", 1, program.far.address), "lifecycle": "removed"}
    program.tell(event(2, gone))
    assert caller.expect(Kind.RELEASE).cause() == 41
    assert program.exchange.receive() is None


def test_a_lost_connection_ends_its_set_ups_and_is_opened_again(program: Program) -> None:
    caller = program.caller()
    caller.set_up()
    program.exchange.expect(Kind.SET_UP)
    program.exchange.reset()
    program.exchange = program.far.exchange()
    program.exchange.expect(Kind.SET_UP)  # the module's further attempt, once the release has been awaited
    program.exchange.send(Kind.ANSWER, CALL, {Code.DESCRIPTION: b"answer"})
    caller.expect(Kind.ANSWER)


def test_the_change_log_is_followed_in_order_and_taken_up_where_it_broke(program: Program) -> None:
    near = Listener()
    program.tell({"seq": 1}, event(1, instance("far", 1, "127.0.0.1:1", "removed")))  # a duplicate
    program.tell(event(2, instance("near", 2, near.address)))
    exchange = near.exchange()
    program.news.socket.sendall(b"{not json\n")
    program.logged("malformed change-log line")
    program.news.socket = program.changelog.accept()
    assert program.news.socket.recv(100) == b"since 2\n"
    program.tell({"seq": 2}, event(4, instance("near", 2, near.address, "removed")))  # 3 is missing
    program.logged("malformed change-log line")
    again = program.changelog.accept()
    assert again.recv(100) == b"since 2\n"
    program.exchange, caller = exchange, program.caller()
    caller.set_up(dest=2)
    exchange.expect(Kind.SET_UP)


def test_sigterm_lets_open_calls_finish_and_takes_more_on_open_connections(program: Program) -> None:
    caller, late = program.caller(), program.caller()
    caller.set_up()
    program.exchange.expect(Kind.SET_UP)
    program.process.send_signal(signal.SIGTERM)
    program.logged("stopping")
    late.set_up(OTHER)
    program.exchange.expect(Kind.SET_UP, OTHER)
    program.exchange.send(Kind.ANSWER, CALL, {Code.DESCRIPTION: b"one"})
    program.exchange.send(Kind.ANSWER, OTHER, {Code.DESCRIPTION: b"two"})
    caller.expect(Kind.ANSWER)
    late.expect(Kind.ANSWER, OTHER)
    assert caller.receive() is None and program.process.wait(20) == 0


def test_a_new_configuration_moves_the_change_log_and_a_bad_one_changes_nothing(program: Program) -> None:
    caller, moved, near = program.caller(), Listener(), Listener()
    program.standing(caller)
    program.config["changelog"] = moved.address
    program.path.write_text(json.dumps(program.config))
    program.process.send_signal(signal.SIGHUP)
    program.news.socket = moved.accept()
    assert program.news.socket.recv(100) == b"since 1\n"
    program.tell(event(2, instance("near", 2, near.address)))
    near.exchange()
    for spoilt in ('{"name":', '{"limits": []}'):
        program.path.write_text(spoilt)
        program.process.send_signal(signal.SIGHUP)
        program.logged("configuration not taken")
    program.tell(event(3, instance("near", 2, near.address, "removed")))
    program.exchange.release(CALL, 16)
    assert caller.expect(Kind.RELEASE).cause() == 16


def test_a_test_of_the_connection_passes(program: Program) -> None:
    program.caller().tested()


def test_connections_are_still_taken_for_a_while_after_the_stop(tmp_path: Path) -> None:
    scripted = Program(tmp_path)

    async def run() -> None:
        config = read_config(json.dumps(scripted.config), Clock.now())
        controller = Controller(config, Policy(config.settings, config.seed))
        await controller.start()
        assert controller.server is not None
        controller.stop()
        assert controller.server.is_serving() and not controller.finished.done()
        await asyncio.wait_for(controller.finished, 20)
        assert not controller.server.is_serving()
        await controller.finish()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": "nowhere"}, "listen"),
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
    process = program.launch()
    said, _ = process.communicate(timeout=20)
    assert process.returncode == 2 and said.count("\n") == 1 and named in said


def test_no_call_stands_for_a_caller_that_has_left(program: Program) -> None:
    """The answer and the end of the caller's connection may be read in the same pass of the loop."""
    caller = program.caller()
    caller.set_up()
    program.exchange.expect(Kind.SET_UP)
    program.process.send_signal(signal.SIGSTOP)
    caller.reset()
    program.exchange.send(Kind.ANSWER, CALL, {Code.DESCRIPTION: b"too late"})
    program.process.send_signal(signal.SIGCONT)
    assert program.exchange.expect(Kind.RELEASE).cause() == 16
    program.standing(program.caller(), OTHER)
