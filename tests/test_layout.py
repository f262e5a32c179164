"""The core stays pure, and the reference pages match the types.

The core imports no I/O and no outer package, reads the clock only in core/clock.py
and uses no global randomness.
"""

import ast
from pathlib import Path

import pytest

from experiments.reference import DOCS, render_catalogue, render_settings

ROOT = Path(__file__).resolve().parent.parent
CORE = sorted((ROOT / "plantainwood/core").glob("*.py"))
IO_MODULES = {
    "aiohttp",
    "asyncio",
    "mode",
    "pynng",
    "socket",
    "threading",
    "subprocess",
}
NONDETERMINISTIC_MODULES = {"time", "datetime", "secrets"}


def list_imports(path: Path) -> set[str]:
    """Return the modules that a file imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
    return found


@pytest.mark.parametrize("path", CORE, ids=lambda path: path.stem)
def test_the_core_imports_no_io_no_clock_and_no_outer_package(path):
    imports = list_imports(path)
    roots = {name.split(".")[0] for name in imports}
    assert not roots & IO_MODULES
    if path.stem != "clock":
        assert not roots & NONDETERMINISTIC_MODULES
    for name in imports:
        if name.startswith("plantainwood"):
            assert name.startswith("plantainwood.core"), name


@pytest.mark.parametrize("path", CORE, ids=lambda path: path.stem)
def test_the_core_uses_no_global_randomness(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Attribute) or not isinstance(node.value, ast.Name):
            continue
        if node.value.id == "random":
            assert node.attr == "Random"


def test_the_reference_pages_are_up_to_date():
    assert (DOCS / "SETTINGS.md").read_text() == render_settings()
    assert (DOCS / "CATALOGUE.md").read_text() == render_catalogue()
