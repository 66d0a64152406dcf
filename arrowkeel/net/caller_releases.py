"""Sends the releases of answered calls to callers, again where they may be unread.

`pending_releases.py` decides when; here it is decided which connection carries each, and what is logged.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import structlog

from arrowkeel.net.callers import CallerConnection
from arrowkeel.net.config import MS, Bounds
from arrowkeel.net.connection import log as limited_log
from arrowkeel.net.metrics import Metrics
from arrowkeel.pending_releases import ConnectionEnd, PendingRelease, PendingReleases, SettledReason

MAX_LOGGED_CALLS = 8  # call identifiers in one log entry
log = structlog.get_logger()


class CallerReleases:
    """The releases that callers may not have read, and those that wait for a connection.

    `carrying_connections` returns the open connections that have carried calls, the one that received data
    last first.
    """

    def __init__(
        self, carrying_connections: Callable[[], list[CallerConnection]], bounds: Bounds, metrics: Metrics
    ) -> None:
        self.carrying_connections, self.metrics = carrying_connections, metrics
        self.pending = PendingReleases(
            bounds.max_pending_release_bytes, bounds.max_pending_release_bytes_per_connection
        )

    def apply_bounds(self, bounds: Bounds) -> None:
        """Applies the bounds of a new configuration."""
        self.pending.set_limits(
            bounds.max_pending_release_bytes, bounds.max_pending_release_bytes_per_connection
        )

    def release(self, release: PendingRelease, connection: CallerConnection | None) -> None:
        """Sends the release of an answered call on the given connection, another one or the next one.

        `connection` is where the call was set up. If it is closed, another connection that has carried
        calls is used, the one that received data last first; if there is none, the release waits for the
        next one. Connections that have carried no call are left out: a client that sends nothing does not
        act on a release. Neither does a front-end process that only tests whether the controller accepts
        calls: it passes releases to nobody.
        """
        self.pending.forget(release.call, SettledReason.SET_UP_AGAIN)
        if connection is None or not self.write_release(release, [connection]):
            self.write_or_wait(release, self.carrying_connections())

    def write_or_wait(self, release: PendingRelease, connections: Iterable[CallerConnection]) -> bool:
        """Writes a release to the first connection that can carry it, or has it wait; returns which."""
        was_written = self.write_release(release, connections)
        if not was_written:
            log.debug("release waits for a caller's connection", call=release.call, unread_on=release.tried)
            self.pending.record_waiting(release, time.monotonic_ns())
        return was_written

    def write_release(self, release: PendingRelease, connections: Iterable[CallerConnection]) -> bool:
        """Writes a release to the first of these connections that may carry it; returns whether one does."""
        for connection in connections:
            if not release.may_go_to(connection.carrier) or not connection.is_open:
                continue
            if connection.send_release(release.call, release.cause):
                log.debug("release written to caller", call=release.call, connection=connection.number)
                self.pending.record_written(release, connection.carrier, time.monotonic_ns())
                return True
        return False

    def repeat(self, releases: list[PendingRelease]) -> None:
        """Sends releases again that may be unread, each on a connection that has not carried it."""
        if not releases:
            return
        connections = self.carrying_connections()
        for release in releases:
            reason = release.repeat_reason
            unread_on = release.tried.copy()
            if self.write_or_wait(release, connections) and unread_on:
                self.metrics.releases_repeated[reason] += 1
                log.debug("release repeated", call=release.call, unread_on=unread_on, reason=reason.value)

    def send_waiting_releases(self) -> None:
        """Sends the releases that wait for a connection, as a new one has carried a call."""
        self.repeat(self.pending.waiting_repetitions(time.monotonic_ns()))

    def repeat_unread(self, connection: CallerConnection, end: ConnectionEnd) -> None:
        """Sends the releases again that may be unread on a connection that has ended or is to be closed."""
        pending_count = len(connection.carrier.releases)
        if not pending_count:
            return
        now_ns = time.monotonic_ns()
        to_repeat = self.pending.connection_ended(connection.carrier, end, now_ns)
        limited_log.info(
            "caller connection ended with releases that may be unread",
            connection=connection.number,
            end=end.value,
            silent_ms=(now_ns - connection.last_received_at_ns) // MS,
            pending=pending_count,
            repeated=len(to_repeat),
            first_calls=[release.call for release in to_repeat[:MAX_LOGGED_CALLS]],
        )
        self.repeat(to_repeat)

    def sweep(self, now_ns: int) -> None:
        """Sends the releases again that are due; called periodically."""
        self.repeat(self.pending.due_repetitions(now_ns))
        self.count_settled()

    def count_settled(self) -> None:
        """Counts and logs the releases that are not kept any longer."""
        for settled in self.pending.take_settled():
            self.metrics.releases_settled[settled.reason] += 1
            log.debug(
                "release settled",
                call=settled.release.call,
                reason=settled.reason.value,
                connections=settled.release.tried,
            )
