"""Experiment: spending and shortage of the planner against its baselines.

A day of demand in slots, with a morning and an evening peak, noise and one burst;
upstreams take a while to start, and cheap ones are evicted or unavailable at times.
The clairvoyant plan knows the demand of each step and pays for no more than it.
"""

import math
import random
from pathlib import Path

import matplotlib
import msgspec

from experiments.figures import render_markdown
from plantainwood.core.planner import (
    CostPlanner,
    Demand,
    Planner,
    StaticPlanner,
    UpstreamState,
)

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

OUTPUT = Path(__file__).resolve().parent.parent / "docs/measurements"
STEP_MS = 5_000
DAY_MS = 24 * 3_600_000
START_MS = 40_000
SLOTS = 8
SEEDS = (1, 2, 3, 4, 5)
URGENT_SHARE = 0.35
EVICTIONS_PER_DAY = 6
EVICTED_MS = 600_000


class Entry(msgspec.Struct, frozen=True):
    """One upstream that may run."""

    name: str
    domain: str
    cost: float
    cheap: bool


ENTRIES = [
    *(Entry(f"safe-{n}", f"d{n % 2}", 4.0, False) for n in range(12)),
    *(Entry(f"cheap-{n}", f"d{2 + n % 2}", 1.3, True) for n in range(12)),
]


class Day(msgspec.Struct):
    """What a day cost, and how much of the wanted slots was missing."""

    cost: float
    missing: float
    urgent_at_risk: float


def make_demand(seed: int) -> list[float]:
    """Return the wanted slots at each step of a day."""
    generator = random.Random(seed)
    noise = 0.0
    found: list[float] = []
    steps = DAY_MS // STEP_MS
    burst = generator.randrange(steps)
    for step in range(steps):
        hour = step * STEP_MS / 3_600_000
        base = 12 + 30 * math.exp(-(((hour - 9) / 2) ** 2))
        base += 45 * math.exp(-(((hour - 19) / 2.5) ** 2))
        noise += 0.02 * (generator.gauss(0, 4) - noise)
        extra = 30 if 0 <= step - burst < 60 else 0
        found.append(max(1.0, base + 3 * noise + extra))
    return found


def make_outages(seed: int) -> list[tuple[int, str]]:
    """Return when each cheap failure domain vanishes."""
    generator = random.Random(seed + 1_000)
    outages: list[tuple[int, str]] = []
    for _ in range(EVICTIONS_PER_DAY):
        domain = generator.choice(["d2", "d3"])
        outages.append((generator.randrange(DAY_MS), domain))
    return outages


def run_day(planner: Planner, seed: int) -> Day:
    """Run one day under a planner."""
    demand = make_demand(seed)
    outages = make_outages(seed)
    ready_ms: dict[str, int] = {}
    day = Day(0.0, 0.0, 0.0)
    wanted_sum = 0.0
    for step, wanted in enumerate(demand):
        now_ms = step * STEP_MS
        down = {d for at, d in outages if at <= now_ms < at + EVICTED_MS}
        for entry in ENTRIES:
            if entry.domain in down:
                ready_ms.pop(entry.name, None)
        states: list[UpstreamState] = []
        slots = 0
        safe = 0
        for entry in ENTRIES:
            running = entry.name in ready_ms
            states.append(
                UpstreamState(
                    entry.name, entry.domain, SLOTS, entry.cost, entry.cheap, running
                )
            )
            if running:
                day.cost += entry.cost * STEP_MS / 3_600_000
                if ready_ms[entry.name] <= now_ms:
                    slots += SLOTS
                    safe += 0 if entry.cheap else SLOTS
        urgent = wanted * URGENT_SHARE
        wanted_sum += wanted
        day.missing += max(0.0, wanted - slots)
        day.urgent_at_risk += max(0.0, urgent - safe)
        plan = planner.plan(states, Demand(urgent, wanted), now_ms)
        for name in plan.stop:
            del ready_ms[name]
        for name in plan.start:
            entry = next(item for item in ENTRIES if item.name == name)
            if entry.domain in down:
                planner.record_unavailable(name, now_ms)
            else:
                ready_ms[name] = now_ms + START_MS
    day.missing /= wanted_sum
    day.urgent_at_risk /= wanted_sum * URGENT_SHARE
    return day


def cost_clairvoyant(seed: int) -> float:
    """Return the least cost: at each step the cheapest upstreams that carry it.

    Urgent work is carried by safe upstreams, the rest by cheap ones that are up.
    """
    outages = make_outages(seed)
    cost = 0.0
    for step, wanted in enumerate(make_demand(seed)):
        now_ms = step * STEP_MS
        down = {d for at, d in outages if at <= now_ms < at + EVICTED_MS}
        cheap = [e for e in ENTRIES if e.cheap and e.domain not in down]
        safe_count = math.ceil(wanted * URGENT_SHARE / SLOTS)
        rest = max(0.0, wanted - safe_count * SLOTS)
        cheap_count = min(len(cheap), math.ceil(rest / SLOTS))
        rest -= cheap_count * SLOTS
        safe_count += max(0, math.ceil(rest / SLOTS))
        cost += (safe_count * 4.0 + cheap_count * 1.3) * STEP_MS / 3_600_000
    return cost


def main() -> None:
    """Write the table and the plot."""
    rows: list[list] = []
    for label, maker in (("static", StaticPlanner), ("product", CostPlanner)):
        ratios: list[float] = []
        missing: list[float] = []
        risk: list[float] = []
        for seed in SEEDS:
            day = run_day(maker(), seed)
            ratios.append(day.cost / cost_clairvoyant(seed))
            missing.append(day.missing)
            risk.append(day.urgent_at_risk)
        count = len(SEEDS)
        rows.append(
            [label, sum(ratios) / count, sum(missing) / count, sum(risk) / count]
        )
    names = ["planner", "cost / clairvoyant", "slots missing", "urgent not on safe"]
    title = "Spending against a clairvoyant plan"
    text = f"# {title}\n\nMade by `make experiment`. A day of demand in steps of 5 s, "
    text += f"means over seeds {', '.join(map(str, SEEDS))}. Both baselines keep the "
    text += "same upstreams to choose from.\n\n" + render_markdown(names, rows)
    text += f"\n\n![{title}](spending.png)\n"
    (OUTPUT / "spending.md").write_text(text)
    figure, axes = pyplot.subplots(figsize=(7, 2.5))
    axes.barh([row[0] for row in rows], [row[1] for row in rows])
    axes.axvline(1.15, linestyle="--", color="black", label="aim: 1.15")
    axes.set_xlabel("cost as a multiple of the clairvoyant plan's")
    axes.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT / "spending.png", dpi=90)
    pyplot.close(figure)
    print(text)


if __name__ == "__main__":
    main()
