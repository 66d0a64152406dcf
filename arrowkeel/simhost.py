"""The simulator's process: the adapter on standard input and output."""

from __future__ import annotations

import sys

from arrowkeel.adapter import SimulatorAdapter


def main() -> int:
    return SimulatorAdapter(sys.stdout, sys.stderr).run(sys.stdin)


if __name__ == "__main__":
    sys.exit(main())
