"""The module that decides which releases written to callers may be unread, and when each is repeated."""

from __future__ import annotations

import pytest

from arrowkeel.pending_releases import (
    EARLY_REPEAT_TIMES_NS,
    EVIDENCE_DELAY_NS,
    LAST_REPEAT_TIMES_NS,
    LATE_REPEAT_DELAY_NS,
    MAX_WRITES,
    MS,
    PENDING_RELEASE_BYTES,
    RELEASE_LIMIT_NS,
    Carrier,
    ConnectionEnd,
    PendingRelease,
    PendingReleases,
    RepeatReason,
    SettledReason,
)

ENDED_AT_NS = 100_000 * MS


class Table:
    """A table of pending releases with one connection, on which nothing was received since the call ended."""

    def __init__(self, max_releases: int = 100, max_per_connection: int = 100) -> None:
        self.releases = PendingReleases(
            max_releases * PENDING_RELEASE_BYTES, max_per_connection * PENDING_RELEASE_BYTES
        )
        self.carrier = Carrier(1, last_received_at_ns=ENDED_AT_NS)

    def write(
        self, call: str = "a", ended_at_ns: int = ENDED_AT_NS, waits_until_ns: int = 0
    ) -> PendingRelease:
        release = PendingRelease(call, 16, ended_at_ns, waits_until_ns)
        self.releases.record_written(release, self.carrier, max(ended_at_ns, ENDED_AT_NS))
        return release

    def receive(self, after_ns: int) -> None:
        self.carrier.last_received_at_ns = ENDED_AT_NS + after_ns

    def end(self, end: ConnectionEnd, after_ns: int) -> list[str]:
        """Ends the connection; returns the calls whose releases are to be repeated."""
        ended = self.releases.connection_ended(self.carrier, end, ENDED_AT_NS + after_ns)
        return [release.call for release in ended]

    def due(self, after_ns: int) -> list[str]:
        return [release.call for release in self.releases.due_repetitions(ENDED_AT_NS + after_ns)]

    def settled(self) -> dict[str, SettledReason]:
        return {settled.release.call: settled.reason for settled in self.releases.take_settled()}


@pytest.mark.parametrize("after_ns", [100 * MS, 2500 * MS, 4000 * MS, RELEASE_LIMIT_NS - MS])
@pytest.mark.parametrize(
    ("end", "data_after_ns", "is_repeated"),
    [
        (ConnectionEnd.RESET, None, True),
        (ConnectionEnd.RESET, EVIDENCE_DELAY_NS, True),
        (ConnectionEnd.CLOSED_BY_CALLER, None, True),
        (ConnectionEnd.CLOSED_BY_CALLER, EVIDENCE_DELAY_NS - MS, True),
        (ConnectionEnd.CLOSED_BY_CALLER, EVIDENCE_DELAY_NS, False),
        (ConnectionEnd.CLOSED_HERE, None, True),
        (ConnectionEnd.CLOSED_HERE, EVIDENCE_DELAY_NS, False),
    ],
)
def test_the_end_of_a_connection_repeats_what_it_may_have_lost(
    end: ConnectionEnd, data_after_ns: int | None, is_repeated: bool, after_ns: int
) -> None:
    """Guards against a release that counts as delivered because it was written (issue 28)."""
    table = Table()
    table.write()
    if data_after_ns is not None:
        table.receive(data_after_ns)
    assert table.end(end, after_ns) == (["a"] if is_repeated else [])
    assert table.settled() == ({} if is_repeated else {"a": SettledReason.LATER_DATA})


@pytest.mark.parametrize(
    ("has_calls", "times_ns"),
    [(False, EARLY_REPEAT_TIMES_NS + LAST_REPEAT_TIMES_NS), (True, LAST_REPEAT_TIMES_NS)],
)
def test_a_silent_connection_has_its_releases_repeated_at_times_counted_from_the_end_of_the_call(
    has_calls: bool, times_ns: tuple[int, ...]
) -> None:
    """Guards against releases lost on a connection that stays quiet for ever, and on the next one too.

    One without calls would have been closed by its caller, and is suspected sooner.
    """
    table = Table()
    release = table.write()
    for number, time_ns in enumerate(times_ns):
        if has_calls:
            table.carrier.standing_calls.add("another")
        assert time_ns < RELEASE_LIMIT_NS and table.due(time_ns - MS) == []
        assert table.due(time_ns) == ["a"] and release.repeat_reason is RepeatReason.SILENT
        table.carrier = Carrier(number + 2, last_received_at_ns=ENDED_AT_NS - LATE_REPEAT_DELAY_NS)
        table.releases.record_written(release, table.carrier, ENDED_AT_NS + time_ns)
        table.carrier.last_written_at_ns = 0
    assert table.due(release.keep_until_ns - ENDED_AT_NS) == []
    assert table.settled() == {"a": SettledReason.LIMIT_PASSED} and not len(table.releases)


def test_a_release_repeated_in_silence_goes_on_only_to_a_connection_that_has_brought_data_since() -> None:
    """Guards against several repetitions of each release when callers stop calling and their calls end."""
    table = Table()
    release = table.write()
    other, third = (Carrier(number, last_received_at_ns=ENDED_AT_NS) for number in (2, 3))
    assert not release.may_go_to(table.carrier) and release.may_go_to(other) and release.may_go_to(third)
    table.releases.record_written(release, other, ENDED_AT_NS + LAST_REPEAT_TIMES_NS[0])
    assert not release.may_go_to(third)
    third.last_received_at_ns = ENDED_AT_NS + LAST_REPEAT_TIMES_NS[0] + MS
    assert release.may_go_to(third)
    third.last_received_at_ns = ENDED_AT_NS
    table.carrier = other
    assert table.end(ConnectionEnd.RESET, LAST_REPEAT_TIMES_NS[1]) == ["a"] and release.may_go_to(third)


def test_a_connection_whose_next_call_ends_later_is_suspected_later() -> None:
    """Guards against repetitions for each connection whose calls end one after the other."""
    table = Table()
    table.write("a")
    table.carrier.last_written_at_ns += 1000 * MS  # of the last call
    assert table.due(EARLY_REPEAT_TIMES_NS[0]) == [] and table.due(EARLY_REPEAT_TIMES_NS[1]) == ["a"]


@pytest.mark.parametrize(
    ("ended_ms_before", "repeated_after_ns"),
    [(7200, LAST_REPEAT_TIMES_NS[1] - 7200 * MS), (8000, LATE_REPEAT_DELAY_NS)],
)
def test_a_release_that_comes_late_is_repeated_at_times_that_count_from_the_end_of_the_call(
    ended_ms_before: int, repeated_after_ns: int
) -> None:
    """Guards against limits that count from the writing: a lease expires 7.2 s after the end at most."""
    table = Table()
    release = table.write(ended_at_ns=ENDED_AT_NS - ended_ms_before * MS)
    assert table.due(repeated_after_ns - MS) == [] and table.due(repeated_after_ns) == ["a"]
    table.releases.record_written(release, Carrier(2, ENDED_AT_NS), ENDED_AT_NS + repeated_after_ns)
    assert table.due(60_000 * MS) == [] and not len(table.releases)


def test_data_received_later_stops_the_repetitions_and_the_limit_the_keeping() -> None:
    table = Table()
    table.write()
    table.receive(EVIDENCE_DELAY_NS)
    assert table.due(RELEASE_LIMIT_NS - MS) == [] and len(table.releases) == 1
    assert table.due(RELEASE_LIMIT_NS) == [] and table.settled() == {"a": SettledReason.LATER_DATA}


def test_a_release_is_not_repeated_before_the_answer_of_its_call_can_arrive() -> None:
    """Guards against a repetition that is taken for the answer, and a second answer behind it."""
    table, patience_ns = Table(), 7800 * MS
    for call in ("a", "b"):
        table.write(call, waits_until_ns=ENDED_AT_NS + patience_ns)
    assert table.due(patience_ns - MS) == []
    assert table.due(patience_ns) == ["a", "b"]
    table = Table()
    table.write(waits_until_ns=ENDED_AT_NS + patience_ns)
    assert table.end(ConnectionEnd.CLOSED_HERE, MS) == [] and table.due(patience_ns) == ["a"]
    table.write(waits_until_ns=ENDED_AT_NS + patience_ns)
    assert table.end(ConnectionEnd.RESET, MS) == ["a"], "no answer can arrive on it any more"


def test_a_receipt_proves_all_that_was_written_before_it_to_the_same_connection() -> None:
    table = Table()
    for call in ("a", "b", "c"):
        table.write(call)
    table.releases.record_receipt(Carrier(2, last_received_at_ns=0), "b")
    assert table.settled() == {}, "a connection that has not carried the release proves nothing"
    table.releases.record_receipt(table.carrier, "b")
    assert table.settled() == {"a": SettledReason.RECEIPT, "b": SettledReason.RECEIPT}
    assert table.end(ConnectionEnd.RESET, MS) == ["c"]


def test_a_release_waits_for_a_connection_until_data_suggests_that_it_was_read() -> None:
    table = Table()
    releases = [table.write(call) for call in ("a", "b")]
    assert table.due(LAST_REPEAT_TIMES_NS[0]) == ["a", "b"]
    for release in releases:
        table.releases.record_waiting(release, ENDED_AT_NS + LAST_REPEAT_TIMES_NS[0])
    now_ns = ENDED_AT_NS + 60_000 * MS
    assert table.due(60_000 * MS) == [] and len(table.releases.waiting_repetitions(now_ns)) == 2
    table.receive(50_000 * MS)
    assert table.releases.waiting_repetitions(now_ns) == []
    assert table.settled().keys() == {"a", "b"}


def test_the_number_of_connections_that_one_release_is_written_to_is_limited() -> None:
    table = Table()
    release = table.write()
    while table.end(ConnectionEnd.RESET, MS):
        table.releases.record_written(release, table.carrier, ENDED_AT_NS + MS)
    assert len(release.tried) == MAX_WRITES and table.settled() == {"a": SettledReason.LIMIT_PASSED}


def test_beyond_a_limit_of_bytes_the_release_that_was_written_first_goes_and_waiting_ones_last() -> None:
    """Guards against a client that fills the memory, or the share of the others, with calls of its own."""
    table = Table(max_releases=4, max_per_connection=2)
    waiting = PendingRelease("waits", 16, ENDED_AT_NS)
    table.releases.record_waiting(waiting, ENDED_AT_NS)
    for call in ("a", "b", "c"):
        table.write(call)
    assert table.settled() == {"a": SettledReason.TABLE_FULL}
    table.carrier = Carrier(2, last_received_at_ns=ENDED_AT_NS)
    for call in ("d", "e"):
        table.write(call)
    assert table.settled() == {"b": SettledReason.TABLE_FULL} and waiting.call in table.releases.waiting
    for number in range(1000):
        table.write(f"{number}")
    assert len(table.releases.checks) <= 100, "checks of releases that are gone are dropped"
