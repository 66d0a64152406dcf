"""The table of callers' connections: who may stay, and which of them carries a release."""

from __future__ import annotations

import asyncio
import time

from arrowkeel.net.callers import CallerLine
from arrowkeel.net.config import MS, Bounds
from arrowkeel.net.line import log

# While connections are to go: how long an idle one stays, since its next set-up may be on its way and new
# ones still come; when set-ups on those that are never idle are turned away; and how long the last one stays
# to carry releases. 4 s after standby was asked no idle one may be left, nor one with a call of the last 2 s.
LEAVE_NS, TURN_AWAY_NS, CARRY_NS = 300 * MS, 1900 * MS, 3800 * MS
HALF_CREDIT_NS = 500 * MS  # half a message is worth more than silence when room has to be made


class CallerLines:
    """Every connection from callers that is not lost yet, and the releases that wait for one."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.lines: dict[CallerLine, None] = {}
        self.kept: dict[str, int] = {}  # releases for the next caller's connection, with their causes
        self.leaving_since_ns = 0  # since when connections are to go; 0 while they may stay
        self.carry_until_ns = 0  # until when the last of them stays nevertheless

    def connected(self, line: CallerLine) -> None:
        if len(self.lines) >= self.bounds.lines and not self.shed():
            log.warning("no idle connection from callers, the newest closed", open=len(self.lines))
            line.abort()
            return
        self.lines[line] = None

    def spoke(self, line: CallerLine) -> None:
        """The releases that no caller's connection was open for."""
        kept, self.kept = self.kept, {}
        for call, cause in kept.items():
            self.release(call, cause, line)

    def lost(self, line: CallerLine) -> None:
        self.lines.pop(line, None)

    def shed(self) -> bool:
        """Make room: the one that never sent a set-up goes first, then the one that was idle for longest.

        Guards usual callers, whose connection is the newest, against those that connect and say no more.
        """
        idle = [line for line in self.lines if line.is_open and not line.open_calls]
        idle.sort(key=self.worth_keeping)
        line = next((line for line in idle if not line.has_unread), None)
        if line is None:
            return False
        log.warning("many connections from callers, an idle one closed", open=len(self.lines))
        line.close()
        return True

    @staticmethod
    def worth_keeping(line: CallerLine) -> tuple[bool, int]:
        return line.taken > 0, line.heard_at_ns + (HALF_CREDIT_NS if line.half_since_ns else 0)

    def leave(self, now_ns: int, carry_until_ns: int) -> None:
        """Each connection goes once nothing is open on it, until they may stay again.

        The last one stays for a while nevertheless. Guards what stands: callers do not come back in standby,
        and without a connection none could be told that its call is over.
        """
        self.leaving_since_ns = now_ns
        self.carry_until_ns = carry_until_ns

    def stay(self) -> None:
        self.leaving_since_ns = 0

    def turns_away(self, now_ns: int) -> bool:
        return bool(self.leaving_since_ns) and now_ns > self.leaving_since_ns + TURN_AWAY_NS

    def send_away(self, line: CallerLine, now_ns: int) -> None:
        """Guards what is on its way: nothing read or half read is lost with the connection."""
        busy = not line.is_open or line.open_calls or line.half_since_ns
        if line.spoke and now_ns < self.carry_until_ns:
            busy = busy or not any(other.is_open and other.spoke for other in self.lines if other is not line)
        due = now_ns > max(self.leaving_since_ns, line.connected_at_ns) + LEAVE_NS
        if due and not busy and not line.has_unread:
            line.close()

    def sweep(self, now_ns: int) -> None:
        for line in list(self.lines):
            line.sweep(now_ns)
            if self.leaving_since_ns:
                self.send_away(line, now_ns)

    def release(self, call: str, cause: int, line: CallerLine | None) -> None:
        """On the line that asked while it is open, else on another caller's; kept until there is one.

        Guards against a release that only a silent client gets, or the front, which tests all the while and
        calls nobody: it passes releases to none. Lines that called last come first.
        """
        if line is not None and line.is_open and line.release(call, cause):
            return
        others = [other for other in self.lines if other.is_open and other.spoke]
        for other in sorted(others, key=lambda other: other.heard_at_ns, reverse=True):
            if other.release(call, cause):
                return
        if len(self.kept) < self.bounds.records:
            self.kept[call] = cause

    async def close(self, until_ns: int) -> None:
        """The last answers leave before the connections close."""
        for line in self.lines:
            line.close()
        while self.lines and time.monotonic_ns() < until_ns:
            await asyncio.sleep(0.005)
