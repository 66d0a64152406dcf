"""The simulator's process: the drill on standard input and output."""

from __future__ import annotations

import sys

from arrowkeel.drill import Drill


def main() -> int:
    return Drill(sys.stdout, sys.stderr).run(sys.stdin)


if __name__ == "__main__":
    sys.exit(main())
