"""The figures that operators fetch: counts since the process began, and what is held at that moment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

COUNTS = ("passed", "dropped", "bad_gateway")  # calls that stood, were refused, failed: one of each a class


class Figures:
    """Plain counts in the statsd form. Only classes of the settings are counted, so the table is bounded."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = tuple(classes)
        self.passed, self.dropped, self.bad_gateway = Counter[str](), Counter[str](), Counter[str]()
        self.upstream_tries = 0

    def text(self, in_progress: int, known: int, skipped: int) -> str:
        lines = [
            f"controller.{count}.{name}:{getattr(self, count)[name]}|c"
            for count in COUNTS
            for name in self.classes
        ]
        lines.append(f"controller.upstream_tries:{self.upstream_tries}|c")
        gauges = {"in_progress": in_progress, "known_exchanges": known, "skipped_exchanges": skipped}
        lines += [f"controller.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"
