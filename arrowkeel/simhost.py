"""Entry point for the simulator: runs the adapter on standard input, output and error."""

from __future__ import annotations

import sys

from arrowkeel.drill import SimulatorAdapter


def main() -> int:
    """Processes all input and returns the exit status."""
    return SimulatorAdapter(sys.stdout, sys.stderr).run(sys.stdin)


if __name__ == "__main__":
    sys.exit(main())
