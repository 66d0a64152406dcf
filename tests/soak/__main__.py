"""Plays seeds by hand: `python -m tests.soak --seeds 1-50 --jobs 3`. Exits with 1 if a rule was broken."""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.soak.scenario import Result, Run


def play(seed: int, folder: Path) -> Result:
    """One run in this process; the controllers' logs stay in the folder."""

    async def run() -> Result:
        return await Run(seed, folder).play()

    return asyncio.run(run())


def report(result: Result) -> str:
    lines = [f"seed {result.seed}: {len(result.breaches)} breaches, {result.counts}"]
    if result.breaches:
        lines += [f"  {breach}" for breach in result.breaches[:20]]
        lines += [f"  faults: {', '.join(result.faults)}"]
        lines += [f"  play it again: python -m tests.soak --seeds {result.seed}-{result.seed} --keep FOLDER"]
    return "\n".join(lines)


def play_apart(seed: int, keep: Path | None) -> tuple[bool, str]:
    command = [sys.executable, "-m", "tests.soak", "--seeds", f"{seed}-{seed}"]
    if keep is not None:
        command += ["--keep", str(keep / f"seed-{seed}")]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    return ended.returncode == 0, ended.stdout + ended.stderr


def main() -> int:
    parser = argparse.ArgumentParser(description="Play seeded mixes of faults against the real program.")
    parser.add_argument("--seeds", default="1-3", help="first-last")
    parser.add_argument("--jobs", type=int, default=1, help="runs beside each other")
    parser.add_argument("--keep", type=Path, help="a folder for the controllers' logs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if options.jobs > 1:
        with ThreadPoolExecutor(options.jobs) as pool:
            ended = list(pool.map(play_apart, seeds, [options.keep] * len(seeds)))
        for _, text in ended:
            print(text, end="")
        failed = sum(not passed for passed, _ in ended)
    else:
        failed = 0
        for seed in seeds:
            with tempfile.TemporaryDirectory() as scratch:
                folder = options.keep or Path(scratch)
                folder.mkdir(parents=True, exist_ok=True)
                result = play(seed, folder)
            print(report(result), flush=True)
            failed += bool(result.breaches)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
