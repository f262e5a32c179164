"""Experiment: scheduling decisions against baselines, under load and faults.

Writes a table and a plot for each comparison and workload into docs/measurements/.
"""

import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import matplotlib
import msgspec

from experiments.figures import render_markdown
from experiments.simulation import Fault, Simulation
from experiments.workloads import (
    CUSTOMERS,
    WORKLOADS,
    Job,
    add_burst,
    make_engine_name,
    make_jobs,
)
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.fairness import FifoQueue
from plantainwood.core.retries import UnlimitedRetries
from plantainwood.core.router import LeastLoadedRouter, RoundRobinRouter

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

OUTPUT = Path(__file__).resolve().parent.parent / "docs/measurements"
LENGTH_MS = 90_000
DRAIN_MS = 20_000
LOAD = 1.5
SEEDS = (1, 2, 3, 4, 5)


def make_fifo_queue(counters) -> FifoQueue:
    """Return a queue in order of arrival, without fairness between customers."""
    return FifoQueue()


def make_round_robin_router(generator, hints) -> RoundRobinRouter:
    """Return the baseline router that uses the upstreams in turn."""
    return RoundRobinRouter()


def make_least_loaded_router(generator, hints) -> LeastLoadedRouter:
    """Return the baseline router that picks the least loaded upstream."""
    return LeastLoadedRouter()


VARIANTS: dict[str, Options] = {
    "product": Options(),
    "first come, no tiers": Options(
        make_queue=make_fifo_queue,
        strict_tiers=False,
        guard_starvation=False,
        preempt=False,
    ),
    "no fairness": Options(make_queue=make_fifo_queue),
    "round robin": Options(make_router=make_round_robin_router),
    "least reported": Options(make_router=make_least_loaded_router),
    "no preemption": Options(preempt=False),
    "no straggler ejection": Options(eject_stragglers=False),
    "no moving": Options(move_unstarted=False),
    "no retry budget": Options(make_budget=UnlimitedRetries),
    "no starvation guard": Options(guard_starvation=False),
}


def slow_one_engine(simulation: Simulation) -> None:
    """Slow one engine down fourfold for the rest of the run."""
    simulation.engines[make_engine_name(0, 0)].slowdown = 4.0


def evict_cheap_domain(simulation: Simulation) -> None:
    """Crash all engines of the cheap failure domain."""
    cheap = [n for n, upstream in simulation.upstreams.items() if upstream.cheap]
    for name in cheap:
        simulation.crash(name)


def crash_one_engine(simulation: Simulation) -> None:
    """Crash one engine."""
    simulation.crash(make_engine_name(1, 0))


def crash_engines_in_turn(simulation: Simulation) -> None:
    """Crash the engines in turn, one every 2 s, 30 times in all."""
    names = sorted(simulation.engines)
    for turn in range(30):
        name = names[turn % len(names)]
        at_ms = simulation.now_ms + turn * 2_000
        simulation.schedule(at_ms, lambda n=name: simulation.crash(n))


FAULTS: dict[str, list[Fault]] = {
    "none": [],
    "burst": [],
    "straggler": [Fault(0.2, slow_one_engine)],
    "crash": [Fault(0.5, crash_one_engine)],
    "eviction": [Fault(0.4, evict_cheap_domain), Fault(0.7, evict_cheap_domain)],
    "late reports": [],
    "flapping engines": [Fault(0.2, crash_engines_in_turn)],
    "killer": [],
    "straggler + eviction + late reports": [
        Fault(0.2, slow_one_engine),
        Fault(0.4, evict_cheap_domain),
        Fault(0.7, evict_cheap_domain),
    ],
    "burst + eviction": [Fault(0.45, evict_cheap_domain)],
    "crash + straggler": [Fault(0.2, slow_one_engine), Fault(0.5, crash_one_engine)],
}


class Case(msgspec.Struct, frozen=True):
    """Workload, variant, fault and seed of one simulated run."""

    workload: str
    variant: str
    fault: str
    seed: int


class Score(msgspec.Struct):
    """Measures of how well one run served its requests and customers."""

    case: Case
    attainment: dict[str, float]
    """By class: the share of requests whose target was met."""
    worst_customer_ratio: float
    """The lowest ratio of a customer's tokens to its fair share of all tokens."""
    worst_ratio_in_tiers: float
    """The same ratio, with fair shares computed within each tier's tokens."""
    wasted_share: float
    goodput_tokens_per_s: float
    lowest_tier_share: float
    """Tokens of the lowest tier as a share of all generated tokens."""
    crash_count: int
    cheap_share: float


def make_case_jobs(case: Case) -> list[Job]:
    """Return the requests of a run, with those that its fault adds."""
    jobs = make_jobs(case.workload, LOAD, LENGTH_MS, case.seed)
    if "burst" in case.fault:
        request_class = WORKLOADS[case.workload][0]
        jobs = add_burst(jobs, request_class, LENGTH_MS, case.seed)
    if "killer" in case.fault:
        for turn in range(4):
            request_class = WORKLOADS[case.workload][1]
            at_ms = LENGTH_MS // 3 + turn * 5_000
            jobs.append(
                Job(
                    at_ms,
                    f"killer-{turn}",
                    "c1",
                    request_class,
                    50,
                    crashes_engine=True,
                )
            )
    return jobs


def run_case(case: Case) -> Score:
    """Run one case and score it."""
    lag_ms = 4_000 if "late reports" in case.fault else 500
    jobs = make_case_jobs(case)
    simulation = Simulation(
        case.workload, jobs, VARIANTS[case.variant], FAULTS[case.fault], lag_ms=lag_ms
    )
    simulation.run(DRAIN_MS)
    return compute_score(case, simulation)


def compute_score(case: Case, simulation: Simulation) -> Score:
    """Compute the score of a finished run."""
    lowest_class = WORKLOADS[case.workload][-1]
    attainment: dict[str, float] = {}
    for request_class in WORKLOADS[case.workload]:
        met = 0
        total = 0
        for name, job in simulation.jobs.items():
            # Late arrivals of slow classes count, though the run ends too early for
            # them to meet their target.
            if job.request_class is not request_class or job.crashes_engine:
                continue
            total += 1
            outcome = simulation.outcomes[name]
            took_ms = outcome.first_ms - job.at_ms
            if outcome.done_ms >= 0 and took_ms <= request_class.target_ms:
                met += 1
        attainment[request_class.name] = met / max(1, total)
    served = {f"c{number}": 0.0 for number in range(CUSTOMERS)}
    demanded_tokens = dict(served)
    lowest_tokens = 0
    done_tokens = 0
    cheap_tokens = 0
    for name, job in simulation.jobs.items():
        outcome = simulation.outcomes[name]
        demanded_tokens[job.customer] += job.tokens
        served[job.customer] += outcome.tokens
        if outcome.done_ms >= 0:
            done_tokens += outcome.tokens
            cheap_tokens += outcome.tokens if outcome.cheap else 0
        if job.request_class is lowest_class:
            lowest_tokens += outcome.tokens
    generated_tokens = max(1, simulation.generated_tokens)
    return Score(
        case,
        attainment,
        compute_worst_ratio(served, compute_fair_shares(served, demanded_tokens)),
        compute_worst_ratio(
            served, compute_tier_fair_shares(case.workload, simulation)
        ),
        simulation.wasted_tokens / generated_tokens,
        done_tokens / (simulation.length_ms / 1_000),
        lowest_tokens / generated_tokens,
        len(simulation.crashed_engines),
        cheap_tokens / max(1, done_tokens),
    )


def compute_fair_shares(
    served: dict[str, float], demanded_tokens: dict[str, float]
) -> dict[str, float]:
    """Compute each customer's max-min fair share of all served tokens."""
    remaining_tokens = sum(served.values())
    shares: dict[str, float] = {}
    pending = sorted(demanded_tokens, key=demanded_tokens.__getitem__)
    while pending:
        equal_share = remaining_tokens / len(pending)
        name = pending.pop(0)
        shares[name] = min(demanded_tokens[name], equal_share)
        remaining_tokens -= shares[name]
    return shares


def compute_tier_fair_shares(workload: str, simulation: Simulation) -> dict[str, float]:
    """Compute each customer's fair share of each tier's tokens, summed over tiers."""
    total = {f"c{number}": 0.0 for number in range(CUSTOMERS)}
    for request_class in WORKLOADS[workload]:
        served = dict.fromkeys(total, 0.0)
        demanded_tokens = dict.fromkeys(total, 0.0)
        for name, job in simulation.jobs.items():
            if job.request_class is request_class:
                demanded_tokens[job.customer] += job.tokens
                served[job.customer] += simulation.outcomes[name].tokens
        for name, share in compute_fair_shares(served, demanded_tokens).items():
            total[name] += share
    return total


def compute_worst_ratio(served: dict[str, float], shares: dict[str, float]) -> float:
    """Compute the lowest ratio of a customer's served tokens to its share."""
    return min(served[name] / max(1.0, shares[name]) for name in shares)


def run_all(cases: list[Case]) -> list[Score]:
    """Run cases in parallel processes, leaving two cores free."""
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 2)) as pool:
        return list(pool.map(run_case, cases, chunksize=1))


def compute_mean(values: list[float]) -> float:
    """Return the mean of at least one value."""
    return sum(values) / len(values)


def select_scores(scores: list[Score], **field_values: str) -> list[Score]:
    """Return the scores whose case has these field values."""
    found: list[Score] = []
    for item in scores:
        if all(
            getattr(item.case, name) == value for name, value in field_values.items()
        ):
            found.append(item)
    return found


def make_row(workload: str, label: str, scores: list[Score]) -> list:
    """Return a table row of scores, each a mean over the seeds."""
    row: list = [label]
    for request_class in WORKLOADS[workload]:
        row.append(
            compute_mean([item.attainment[request_class.name] for item in scores])
        )
    row.append(compute_mean([item.worst_customer_ratio for item in scores]))
    row.append(compute_mean([item.worst_ratio_in_tiers for item in scores]))
    row.append(compute_mean([item.wasted_share for item in scores]))
    row.append(compute_mean([item.goodput_tokens_per_s for item in scores]))
    row.append(compute_mean([item.lowest_tier_share for item in scores]))
    row.append(compute_mean([item.cheap_share for item in scores]))
    row.append(compute_mean([float(item.crash_count) for item in scores]))
    return row


def write_comparison(
    name: str, title: str, workload: str, rows: list[list], note: str
) -> None:
    """Write a table of all scores, and a plot of attainment and fairness.

    The plot shows the attainment of the first class and the worst ratio within tiers.
    """
    class_names = [request_class.name for request_class in WORKLOADS[workload]]
    columns = ["case", *class_names, "worst customer", "worst within tiers"]
    columns += ["wasted", "goodput tok/s"]
    columns += ["lowest tier's share", "cheap share", "crashes"]
    text = f"# {title}\n\nMade by `make experiment`. {note}\n\n"
    text += render_markdown(columns, rows) + f"\n\n![{title}]({name}.png)\n"
    (OUTPUT / f"{name}.md").write_text(text)
    figure, axes = pyplot.subplots(figsize=(9, 0.5 * len(rows) + 1.5))
    labels = [row[0] for row in rows][::-1]
    for offset, (column, label) in enumerate(
        (
            (1, f"attainment of {class_names[0]}"),
            (len(class_names) + 2, "worst customer within tiers"),
        )
    ):
        values = [row[column] for row in rows][::-1]
        positions = [index + 0.35 * offset for index in range(len(rows))]
        axes.barh(positions, values, height=0.33, label=label)
    axes.set_yticks([index + 0.17 for index in range(len(rows))], labels)
    axes.set_xlabel("share")
    axes.set_title(f"{title} ({workload})")
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(OUTPUT / f"{name}.png", dpi=90)
    pyplot.close(figure)


def main() -> None:
    """Run both comparisons for both workloads and write their pages."""
    cases: list[Case] = []
    combined_fault = "straggler + eviction + late reports"
    for workload in WORKLOADS:
        for seed in SEEDS:
            for fault in FAULTS:
                cases.append(Case(workload, "product", fault, seed))
            for variant in VARIANTS:
                if variant != "product":
                    cases.append(Case(workload, variant, combined_fault, seed))
    scores = run_all(cases)
    note = (
        f"{LOAD} times the capacity in tokens, {LENGTH_MS // 1_000} s, three VMs, "
        f"means over seeds {', '.join(map(str, SEEDS))}."
    )
    for workload in WORKLOADS:
        rows = []
        for fault in FAULTS:
            chosen = select_scores(
                scores, workload=workload, variant="product", fault=fault
            )
            rows.append(make_row(workload, fault, chosen))
        title = f"The product under each fault, {workload}"
        write_comparison(f"faults-{workload}", title, workload, rows, note)
        rows = []
        for variant in VARIANTS:
            chosen = select_scores(
                scores, workload=workload, variant=variant, fault=combined_fault
            )
            rows.append(make_row(workload, variant, chosen))
        title = f"The product against its baselines, {workload}"
        text = f"Fault: {combined_fault}. {note}"
        write_comparison(f"baselines-{workload}", title, workload, rows, text)
        print((OUTPUT / f"faults-{workload}.md").read_text())
        print((OUTPUT / f"baselines-{workload}.md").read_text())


if __name__ == "__main__":
    main()
