"""Experiment: cost and slot shortage of the planner against its baselines.

Simulates a day of demand in slots with a morning and an evening peak, noise and one
burst. Upstreams take BOOT_MS to start, and cheap ones are evicted or unavailable at
times. The clairvoyant plan knows the demand of each step and pays for no more than it.
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
BOOT_MS = 40_000
SLOTS = 8
SEEDS = (1, 2, 3, 4, 5)
URGENT_SHARE = 0.35
EVICTIONS_PER_DAY = 6
EVICTION_MS = 600_000


class CandidateUpstream(msgspec.Struct, frozen=True):
    """An upstream that a planner may start, and its cost per hour."""

    name: str
    domain: str
    cost: float
    cheap: bool


CANDIDATES = [
    *(CandidateUpstream(f"safe-{n}", f"d{n % 2}", 4.0, False) for n in range(12)),
    *(CandidateUpstream(f"cheap-{n}", f"d{2 + n % 2}", 1.3, True) for n in range(12)),
]


class DayResult(msgspec.Struct):
    """Cost of a day and the shares of its demand that were not covered.

    `urgent_at_risk_share` is the part of the urgent demand without safe slots.
    """

    cost: float
    missing_share: float
    urgent_at_risk_share: float


def make_demand(seed: int) -> list[float]:
    """Return the demanded slots at each step of a day."""
    generator = random.Random(seed)
    noise = 0.0
    slots_by_step: list[float] = []
    steps = DAY_MS // STEP_MS
    burst = generator.randrange(steps)
    for step in range(steps):
        hour = step * STEP_MS / 3_600_000
        base = 12 + 30 * math.exp(-(((hour - 9) / 2) ** 2))
        base += 45 * math.exp(-(((hour - 19) / 2.5) ** 2))
        noise += 0.02 * (generator.gauss(0, 4) - noise)
        extra = 30 if 0 <= step - burst < 60 else 0
        slots_by_step.append(max(1.0, base + 3 * noise + extra))
    return slots_by_step


def make_outages(seed: int) -> list[tuple[int, str]]:
    """Return the start in ms and the cheap failure domain of each eviction."""
    generator = random.Random(seed + 1_000)
    outages: list[tuple[int, str]] = []
    for _ in range(EVICTIONS_PER_DAY):
        domain = generator.choice(["d2", "d3"])
        outages.append((generator.randrange(DAY_MS), domain))
    return outages


def run_day(planner: Planner, seed: int) -> DayResult:
    """Simulate one day under a planner."""
    demand = make_demand(seed)
    outages = make_outages(seed)
    ready_ms: dict[str, int] = {}
    day = DayResult(0.0, 0.0, 0.0)
    total_demanded_slots = 0.0
    for step, demanded_slots in enumerate(demand):
        now_ms = step * STEP_MS
        down = {d for at, d in outages if at <= now_ms < at + EVICTION_MS}
        for candidate in CANDIDATES:
            if candidate.domain in down:
                ready_ms.pop(candidate.name, None)
        states: list[UpstreamState] = []
        slots = 0
        safe_slots = 0
        for candidate in CANDIDATES:
            running = candidate.name in ready_ms
            states.append(
                UpstreamState(
                    candidate.name,
                    candidate.domain,
                    SLOTS,
                    candidate.cost,
                    candidate.cheap,
                    running,
                )
            )
            if running:
                day.cost += candidate.cost * STEP_MS / 3_600_000
                if ready_ms[candidate.name] <= now_ms:
                    slots += SLOTS
                    safe_slots += 0 if candidate.cheap else SLOTS
        urgent = demanded_slots * URGENT_SHARE
        total_demanded_slots += demanded_slots
        day.missing_share += max(0.0, demanded_slots - slots)
        day.urgent_at_risk_share += max(0.0, urgent - safe_slots)
        plan = planner.plan(states, Demand(urgent, demanded_slots), now_ms)
        for name in plan.stop:
            del ready_ms[name]
        for name in plan.start:
            candidate = next(item for item in CANDIDATES if item.name == name)
            if candidate.domain in down:
                planner.record_unavailable(name, now_ms)
            else:
                ready_ms[name] = now_ms + BOOT_MS
    day.missing_share /= total_demanded_slots
    day.urgent_at_risk_share /= total_demanded_slots * URGENT_SHARE
    return day


def compute_clairvoyant_cost(seed: int) -> float:
    """Compute the lowest cost of a day: the cheapest sufficient upstreams at each step.

    Urgent demand runs on safe upstreams, the rest on cheap ones that are up and then
    on safe ones.
    """
    outages = make_outages(seed)
    cost = 0.0
    for step, demanded_slots in enumerate(make_demand(seed)):
        now_ms = step * STEP_MS
        down = {d for at, d in outages if at <= now_ms < at + EVICTION_MS}
        cheap = [c for c in CANDIDATES if c.cheap and c.domain not in down]
        safe_count = math.ceil(demanded_slots * URGENT_SHARE / SLOTS)
        rest = max(0.0, demanded_slots - safe_count * SLOTS)
        cheap_count = min(len(cheap), math.ceil(rest / SLOTS))
        rest -= cheap_count * SLOTS
        safe_count += max(0, math.ceil(rest / SLOTS))
        cost += (safe_count * 4.0 + cheap_count * 1.3) * STEP_MS / 3_600_000
    return cost


def main() -> None:
    """Write spending.md and spending.png."""
    rows: list[list] = []
    for label, make_planner in (("static", StaticPlanner), ("product", CostPlanner)):
        ratios: list[float] = []
        missing_shares: list[float] = []
        risk_shares: list[float] = []
        for seed in SEEDS:
            day = run_day(make_planner(), seed)
            ratios.append(day.cost / compute_clairvoyant_cost(seed))
            missing_shares.append(day.missing_share)
            risk_shares.append(day.urgent_at_risk_share)
        count = len(SEEDS)
        rows.append(
            [
                label,
                sum(ratios) / count,
                sum(missing_shares) / count,
                sum(risk_shares) / count,
            ]
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
