"""Percentiles and Markdown tables for reports."""

from statistics import quantiles


def compute_percentile(values: list[float], percent: int) -> float:
    """Return a percentile (1 to 99) of some values, or 0 if there are none."""
    if not values:
        return 0.0
    if len(values) == 1:
        return values[0]
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def render_markdown(names: list[str], rows: list[list]) -> str:
    """Return rows as a Markdown table."""
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for row in rows:
        lines.append("| " + " | ".join(_render_cell(cell) for cell in row) + " |")
    return "\n".join(lines)


def _render_cell(cell) -> str:
    if isinstance(cell, float):
        return f"{cell:.3g}" if abs(cell) < 100 else f"{cell:,.0f}"
    return str(cell)
