"""The decision module stays small enough to be ported by hand."""

from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = ROOT / "arrowkeel" / "policy.py"
PROCESSOR = ROOT / "arrowkeel" / "processor.py"


def test_policy_is_within_550_lines_of_110_characters() -> None:
    text = POLICY.read_text() + PROCESSOR.read_text()
    lines = [line for line in text.splitlines() if line.strip()]
    assert len(lines) <= 550
    assert max(map(len, lines)) <= 110


def test_policy_names_its_interface_file_at_the_top() -> None:
    assert "arrowkeel/interface.py" in POLICY.read_text().split('"""')[1]


def test_readme_example_runs() -> None:
    example = (ROOT / "README.md").read_text().split("```python\n")[1].split("```")[0]
    names: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), names)
    assert names["actions"]
