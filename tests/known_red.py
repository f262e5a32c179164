"""Tests that KNOWN-RED.txt lists: they fail because of a fault not fixed yet."""

from pathlib import Path

LIST_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def parse_known_red(text: str) -> list[str]:
    """Return the test ids in the list: the lines that begin with 'test: '."""
    found: list[str] = []
    for line in text.splitlines():
        if line.startswith("test: "):
            found.append(line.removeprefix("test: ").strip())
    return found


def load_known_red() -> list[str]:
    """Return the listed test ids, or none if there is no KNOWN-RED.txt."""
    if not LIST_PATH.exists():
        return []
    return parse_known_red(LIST_PATH.read_text())
