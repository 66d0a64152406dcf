"""Runs the soak from the command line: `python -m tests.soak --seeds 1-50 --jobs 3`.

Each seed is one run of `scenario`. The exit status is 1 if a run has found a rule violation.
"""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.soak.scenario import RunResult, SoakRun


def run_seed(seed: int, log_folder: Path) -> RunResult:
    """Runs one seed in this process; the controllers' logs and configurations are left in the folder."""

    async def execute_run() -> RunResult:
        return await SoakRun(seed, log_folder).execute()

    return asyncio.run(execute_run())


def format_result(result: RunResult) -> str:
    """Returns the lines to print for one run.

    They hold its counts and, if it failed, 20 violations at most, its faults and the command to run it again.
    """
    lines = [f"seed {result.seed}: {len(result.violations)} violations, {result.counts}"]
    if result.violations:
        lines += [f"  {violation}" for violation in result.violations[:20]]
        lines += [f"  faults: {', '.join(result.faults)}"]
        lines += [f"  run it again: python -m tests.soak --seeds {result.seed}-{result.seed} --keep FOLDER"]
    return "\n".join(lines)


def run_seed_in_subprocess(seed: int, log_folder: Path | None) -> tuple[bool, str]:
    """Runs one seed in a process of its own, and returns whether it passed and what it printed."""
    command = [sys.executable, "-m", "tests.soak", "--seeds", f"{seed}-{seed}"]
    if log_folder is not None:
        command += ["--keep", str(log_folder / f"seed-{seed}")]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.returncode == 0, completed.stdout + completed.stderr


def main() -> int:
    parser = argparse.ArgumentParser(description="Run seeded mixes of faults against the real program.")
    parser.add_argument("--seeds", default="1-3", help="range of seeds: first-last")
    parser.add_argument("--jobs", type=int, default=1, help="number of runs at the same time")
    parser.add_argument("--keep", type=Path, help="folder in which the controllers' logs are kept")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if options.jobs > 1:
        with ThreadPoolExecutor(options.jobs) as pool:
            outcomes = list(pool.map(run_seed_in_subprocess, seeds, [options.keep] * len(seeds)))
        for _, output in outcomes:
            print(output, end="")
        failed = sum(not passed for passed, _ in outcomes)
    else:
        failed = 0
        for seed in seeds:
            with tempfile.TemporaryDirectory() as scratch:
                folder = options.keep or Path(scratch)
                folder.mkdir(parents=True, exist_ok=True)
                result = run_seed(seed, folder)
            print(format_result(result), flush=True)
            failed += bool(result.violations)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
