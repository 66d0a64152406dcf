"""Decides what a release from a caller may end.

Decisions only: no input or output and no clock.

An answered call belongs to no connection, so any connection from callers may carry its release. A set-up
that has no final answer yet belongs to the connection that brought it, and can be given up only there. A
set-up that was declined (rejected or refused on arrival) never became a call, so a release that follows it on
the same connection ends nothing, even if its identifier is that of another caller's call.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum


class ReleaseVerdict(Enum):
    """What is done with a release from a caller."""

    END_CALL = "end call"
    PASS_ON = "pass on"  # to an exchange: the call may be from before the start of this process
    # The release is ignored; these values are labels of the metric `caller_releases_ignored`.
    SET_UP_DECLINED = "set_up_declined"  # it gives up a set-up that was declined on this connection
    OTHER_CONNECTION = "other_connection"  # it gives up an open set-up of another connection
    CALL_ENDED = "call_ended"  # the call has ended already
    OVER_BUDGET = "over_budget"  # no such call is known, and the connection has named too many of that kind


IGNORED_RELEASES = (
    ReleaseVerdict.SET_UP_DECLINED,
    ReleaseVerdict.OTHER_CONNECTION,
    ReleaseVerdict.CALL_ENDED,
    ReleaseVerdict.OVER_BUDGET,
)


class DeclinedSetUps:
    """The set-ups that were declined on one connection and not given up there since, within a limit.

    Beyond the limit the one declined longest ago is forgotten.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        # By identifier; a client may repeat a declined set-up.
        self.counts: OrderedDict[str, int] = OrderedDict()

    def add(self, call: str) -> None:
        """Adds a declined set-up."""
        self.counts[call] = self.counts.pop(call, 0) + 1
        if len(self.counts) > self.limit:
            self.counts.popitem(last=False)

    def take(self, call: str) -> bool:
        """Removes one declined set-up with this identifier; returns whether there was one."""
        count = self.counts.pop(call, 0)
        if count > 1:
            self.counts[call] = count - 1
        return count > 0

    def discard(self, call: str) -> None:
        """Removes all declined set-ups with this identifier."""
        self.counts.pop(call, None)


@dataclass(frozen=True, slots=True)
class CallerRelease:
    """A release from a caller, compared with what is known of the call that it names."""

    was_declined: bool  # a set-up with this identifier was declined on the release's connection
    is_open: bool  # the call has no final answer yet
    is_standing: bool  # the call is answered and not over
    is_own_connection: bool  # the release came on the connection that brought the set-up
    has_ended: bool  # the call is one of those that ended recently
    is_over_budget: bool  # the connection has sent too many messages without effect


def decide_caller_release(release: CallerRelease) -> ReleaseVerdict:
    """Returns what is done with a release from a caller."""
    if release.was_declined:
        return ReleaseVerdict.SET_UP_DECLINED
    if release.is_standing:
        return ReleaseVerdict.END_CALL
    if release.is_open:
        return ReleaseVerdict.END_CALL if release.is_own_connection else ReleaseVerdict.OTHER_CONNECTION
    if release.has_ended:
        return ReleaseVerdict.CALL_ENDED
    return ReleaseVerdict.OVER_BUDGET if release.is_over_budget else ReleaseVerdict.PASS_ON
