"""Output of rows as a table, JSON or YAML."""

import json
from enum import Enum
from typing import Any

import yaml


class Format(Enum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


def render(data: Any, output: Format) -> str:
    """Return data as text; in table format, a list of mappings becomes a table.

    Text is returned as it is.
    """
    if isinstance(data, str):
        return data
    if output is Format.JSON:
        return json.dumps(data, indent=2)
    if output is Format.YAML:
        return yaml.safe_dump(data, sort_keys=False).rstrip()
    if isinstance(data, list):
        return render_table(data)
    return "\n".join(f"{key}: {value}" for key, value in data.items())


def render_table(rows: list[dict[str, Any]]) -> str:
    """Return rows as aligned columns; the first row's keys are the header."""
    if not rows:
        return "(none)"
    names = list(rows[0])
    lines = [names]
    for row in rows:
        lines.append([str(row.get(name, "")) for name in names])
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    rendered: list[str] = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        rendered.append("  ".join(cells).rstrip())
    return "\n".join(rendered)
