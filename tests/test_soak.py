"""A short soak: a few seeds of random faults against the real program; `python -m tests.soak` runs more."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.__main__ import format_result, run_seed


@pytest.mark.parametrize("seed", [3, 54, 73])
def test_no_rule_is_broken_under_a_mix_of_faults(tmp_path: Path, seed: int) -> None:
    result = run_seed(seed, tmp_path)
    assert not result.violations, format_result(result)
    assert result.counts["answered"] > 100
