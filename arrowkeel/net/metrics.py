"""Counters of one controller, and the statsd text in which operators fetch counters and gauges.

Counters start at 0 with the process. Label values come from the settings or from the enumerations used here,
so that the number of metrics is bounded whatever peers send.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TypeVar

from arrowkeel import interface as it
from arrowkeel.caller_release import IGNORED_RELEASES, ReleaseVerdict
from arrowkeel.pending_releases import RepeatReason, SettledReason
from arrowkeel.release_delivery import Clearance

Label = TypeVar("Label", bound=Enum)


class ReleaseReason(Enum):
    """Why a standing call was released though its exchange sent no release; label of `standing_released`."""

    DELISTED = "delisted"  # the exchange list says that the exchange is gone or replaced
    RESTARTED = "restarted"  # the list says that the exchange's process started after the call was answered
    LEASE_EXPIRED = "lease_expired"  # for too long there was no evidence that the process holding it is alive
    RELEASE_LOST = "release_lost"  # its release may have been lost with two connections in a row
    REFUSING = "refusing"  # the exchange's connections were lost and new ones are refused


class ConnectionLoss(Enum):
    """Why a connection to an exchange ended; label of `exchange_connections_lost`."""

    CLOSED_BY_PEER = "closed_by_peer"
    RESET = "reset"
    UNRESPONSIVE = "mute"  # open, but something that was due on it did not arrive in time
    MALFORMED = "malformed"  # the exchange sent what cannot be read
    CLOSED_BY_US = "closed_by_us"

    @property
    def is_by_peer(self) -> bool:
        """Whether the exchange ended the connection, and so knows of its end."""
        return self in (ConnectionLoss.CLOSED_BY_PEER, ConnectionLoss.RESET)


class IgnoredExchangeRelease(Enum):
    """Why a release from an exchange was not passed on; label of `exchange_releases_ignored`."""

    CALL_ENDED = "call_ended"  # a repetition, or one that crossed the end of the call
    CALL_OPEN = "call_open"  # the call has not been answered, so this release is of an earlier attempt
    OTHER_EXCHANGE = "other_exchange"  # the call stands at another exchange


class Metrics:
    """The counters of one controller; the gauges are passed in when the text is rendered."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = tuple(classes)
        # Calls by class: answered, refused, and failed.
        self.passed, self.dropped, self.bad_gateway = Counter[str](), Counter[str](), Counter[str]()
        self.upstream_tries = 0  # set-ups sent to exchanges
        self.set_ups_skipped = 0  # their caller had closed the connection before they were handled
        self.attempts_ended = Counter[it.Ending]()
        self.refusals = Counter[it.RefusalReason]()
        self.failures = Counter[it.FailureReason]()
        self.standing_released = Counter[ReleaseReason]()
        self.suspicions_cleared = Counter[Clearance]()
        self.exchange_connections_lost = Counter[ConnectionLoss]()
        self.dials_failed = 0
        self.exchange_releases_ignored = Counter[IgnoredExchangeRelease]()
        self.caller_releases_ignored = Counter[ReleaseVerdict]()
        self.releases_repeated = Counter[RepeatReason]()  # to callers, on another connection
        self.releases_settled = Counter[SettledReason]()  # to callers, and not kept any longer

    def render(self, gauges: Mapping[str, int]) -> str:
        """Returns one line for each counter and gauge: `controller.NAME:VALUE|c`, or `|g` for a gauge."""
        lines = [self.render_counter(name, value) for name, value in self.counters().items()]
        lines += [f"controller.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"

    def counters(self) -> dict[str, int]:
        """Returns every counter by its metric name without the prefix, in the order of the text."""
        by_class = {"passed": self.passed, "dropped": self.dropped, "bad_gateway": self.bad_gateway}
        counts = {
            f"{metric}.{class_name}": by_class[metric][class_name]
            for metric in by_class
            for class_name in self.classes
        }
        counts["upstream_tries"] = self.upstream_tries
        counts["set_ups_skipped"] = self.set_ups_skipped
        counts |= counters_by_label("attempts_ended", it.Ending, self.attempts_ended)
        counts |= counters_by_label("refusals", it.RefusalReason, self.refusals)
        counts |= counters_by_label("failures", it.FailureReason, self.failures)
        counts |= counters_by_label("standing_released", ReleaseReason, self.standing_released)
        counts |= counters_by_label("suspicions_cleared", Clearance, self.suspicions_cleared)
        counts |= counters_by_label(
            "exchange_connections_lost", ConnectionLoss, self.exchange_connections_lost
        )
        counts["dials_failed"] = self.dials_failed
        counts |= counters_by_label(
            "exchange_releases_ignored", IgnoredExchangeRelease, self.exchange_releases_ignored
        )
        counts |= counters_by_label("caller_releases_ignored", IGNORED_RELEASES, self.caller_releases_ignored)
        counts |= counters_by_label("releases_repeated", RepeatReason, self.releases_repeated)
        counts |= counters_by_label("releases_settled", SettledReason, self.releases_settled)
        return counts

    @staticmethod
    def render_counter(name: str, value: int) -> str:
        return f"controller.{name}:{value}|c"


def counters_by_label(name: str, labels: Iterable[Label], counts: Mapping[Label, int]) -> dict[str, int]:
    """Returns one counter for each label, also for those that were never counted.

    A space in a label's value is written as `_` in the metric name.
    """
    return {f"{name}.{label.value.replace(' ', '_')}": counts.get(label, 0) for label in labels}
