"""A short soak: a few seeds of the mixes of faults; `python -m tests.soak` plays more by hand."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.__main__ import play, report


@pytest.mark.parametrize("seed", [3, 54, 73])
def test_no_rule_is_broken_under_a_mix_of_faults(tmp_path: Path, seed: int) -> None:
    result = play(seed, tmp_path)
    assert not result.breaches, report(result)
    assert result.counts["answered"] > 100
