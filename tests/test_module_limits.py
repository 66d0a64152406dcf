"""Limits of the decision modules: no input, output or clock, and lines of at most 110 characters."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "arrowkeel"
POLICY = PACKAGE / "policy.py"
DECISION_MODULES = (
    "policy",
    "processor",
    "state",
    "interface",
    "liveness",
    "departure",
    "caller_release",
    "close_notice",
    "group_state_order",
    "repeat_rule",
    "release_delivery",
    "message_budget",
)
# A whole module, or one name of a module. Of `random` only the seeded generator: the functions of that module
# share a generator that is seeded by the system.
ALLOWED_IMPORTS = {
    "__future__",
    "arrowkeel.close_notice",
    "arrowkeel.interface",
    "arrowkeel.liveness",
    "arrowkeel.processor",
    "arrowkeel.repeat_rule",
    "arrowkeel.state",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "hashlib.blake2b",
    "itertools",
    "random.Random",
    "typing",
}
FORBIDDEN_BUILTINS = {"open", "print", "input", "exec", "eval", "__import__"}


def imported_names(path: Path) -> set[str]:
    """What a module imports, anywhere in its text: `a.b` of `import a.b` and of `from a import b`."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.update(f"{'.' * node.level}{node.module or ''}.{alias.name}" for alias in node.names)
    return names


def called_builtins(path: Path) -> set[str]:
    calls = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)]
    return {call.func.id for call in calls if isinstance(call.func, ast.Name)}


@pytest.mark.parametrize("module", DECISION_MODULES)
def test_decision_module_has_no_input_output_or_clock(module: str) -> None:
    path = PACKAGE / f"{module}.py"
    forbidden = {
        name
        for name in imported_names(path)
        if name not in ALLOWED_IMPORTS and name.rpartition(".")[0] not in ALLOWED_IMPORTS
    }
    assert not forbidden
    assert not called_builtins(path) & FORBIDDEN_BUILTINS


@pytest.mark.parametrize("module", DECISION_MODULES)
def test_decision_module_is_at_most_110_characters_wide(module: str) -> None:
    assert max(map(len, (PACKAGE / f"{module}.py").read_text().splitlines())) <= 110


def test_policy_names_its_interface_file_at_the_top() -> None:
    assert "arrowkeel/interface.py" in POLICY.read_text().split('"""')[1]


def test_readme_example_runs() -> None:
    example = (ROOT / "README.md").read_text().split("```python\n")[1].split("```")[0]
    names: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), names)
    assert names["actions"]
