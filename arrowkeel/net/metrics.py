"""Counters and gauges that operators fetch, in the statsd text form.

Counters start at 0 with the process. Label values come from the settings or from the enumerations below, so
that the table is bounded whatever peers send.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TypeVar

from arrowkeel import interface as it

Label = TypeVar("Label", bound=Enum)


class ReleaseReason(Enum):
    """Why a standing call was released without a release from its exchange."""

    DELISTED = "delisted"  # the list of exchanges says that the exchange is gone or replaced
    RESTARTED = "restarted"  # the list says that its process started after the call stood
    LEASE_EXPIRED = "lease_expired"  # nothing has shown for too long that the process holding it is alive
    REFUSING = "refusing"  # its connections were lost and new ones are refused


class ConnectionLoss(Enum):
    """Why a connection to an exchange ended."""

    CLOSED_BY_PEER = "closed_by_peer"
    RESET = "reset"
    UNRESPONSIVE = "mute"
    CLOSED_BY_US = "closed_by_us"


class Metrics:
    """Every counter of one controller; the gauges are handed in when the text is made."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = tuple(classes)
        self.passed, self.dropped, self.bad_gateway = Counter[str](), Counter[str](), Counter[str]()
        self.upstream_tries = 0
        self.attempts_ended = Counter[it.Ending]()
        self.refusals = Counter[it.RefusalReason]()
        self.standing_released = Counter[ReleaseReason]()
        self.exchange_connections_lost = Counter[ConnectionLoss]()
        self.dials_failed = 0

    def text(self, gauges: Mapping[str, int]) -> str:
        lines = [self.counter(name, value) for name, value in self.counters().items()]
        lines += [f"controller.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"

    def counters(self) -> dict[str, int]:
        by_class = {"passed": self.passed, "dropped": self.dropped, "bad_gateway": self.bad_gateway}
        counts = {f"{count}.{name}": by_class[count][name] for count in by_class for name in self.classes}
        counts["upstream_tries"] = self.upstream_tries
        counts |= labelled("attempts_ended", it.Ending, self.attempts_ended)
        counts |= labelled("refusals", it.RefusalReason, self.refusals)
        counts |= labelled("standing_released", ReleaseReason, self.standing_released)
        counts |= labelled("exchange_connections_lost", ConnectionLoss, self.exchange_connections_lost)
        counts["dials_failed"] = self.dials_failed
        return counts

    @staticmethod
    def counter(name: str, value: int) -> str:
        return f"controller.{name}:{value}|c"


def labelled(name: str, labels: type[Label], counts: Mapping[Label, int]) -> dict[str, int]:
    """One counter for each label, also for those that were never counted."""
    return {f"{name}.{label.value.replace(' ', '_')}": counts.get(label, 0) for label in labels}
