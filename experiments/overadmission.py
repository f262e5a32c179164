"""Experiment: how far a customer exceeds its rate limit, against the formula.

One customer sends continuously to N nodes, which request shares of its limit from its
allocator as daemons do. Replies are lost at a given rate, and for a time two nodes
both act as the allocator.
"""

import random
from pathlib import Path

from experiments.figures import render_markdown
from plantainwood.core.catalogue import Customer
from plantainwood.core.limits import BURST_S, CustomerLimit, ShareAllocator
from plantainwood.shares import SHARE_REQUEST_INTERVAL_MS, compute_limit_floor

OUTPUT = Path(__file__).resolve().parent.parent / "docs/measurements/overadmission.md"
RATE_PER_S = 100.0
STEP_MS = 20
LENGTH_MS = 60_000
SPLIT_MS = (20_000, 40_000)


def measure_overadmission(
    nodes: int, loss_rate: float, split: bool, seed: int
) -> tuple[float, float]:
    """Return admitted requests and the formula's bound, as multiples of the limit."""
    generator = random.Random(seed)
    customer = Customer("p", [], requests_per_s=RATE_PER_S, concurrent=10**9)
    limits = [CustomerLimit(customer, 0) for _ in range(nodes)]
    allocators = [ShareAllocator(), ShareAllocator()]
    floor = compute_limit_floor(nodes - 1)
    admitted = 0
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        is_split = split and SPLIT_MS[0] <= now_ms < SPLIT_MS[1]
        for number, limit in enumerate(limits):
            for _ in range(8):
                if limit.admit(floor, now_ms) is None:
                    admitted += 1
                    limit.end_request()
            if (now_ms + number * 97) % SHARE_REQUEST_INTERVAL_MS >= STEP_MS:
                continue
            allocator = allocators[number % 2 if is_split else 0]
            share = allocator.grant(str(number), limit.demand, now_ms)
            limit.demand = 0.0
            if generator.random() >= loss_rate:
                limit.set_share(share, now_ms)
    allowed = RATE_PER_S * LENGTH_MS / 1_000
    allocator_count = 1.0
    if split:
        allocator_count += (SPLIT_MS[1] - SPLIT_MS[0]) / LENGTH_MS
    burst = BURST_S * 1_000 / LENGTH_MS * (nodes + 1)
    return admitted / allowed, allocator_count + nodes * floor + burst


def main() -> None:
    """Write docs/measurements/overadmission.md."""
    rows: list[list] = []
    for nodes in (1, 3, 7, 40):
        for loss_rate, split in ((0.0, False), (0.3, False), (0.0, True), (0.3, True)):
            runs = [
                measure_overadmission(nodes, loss_rate, split, seed)
                for seed in (1, 2, 3)
            ]
            worst = max(run[0] for run in runs)
            rows.append([nodes, loss_rate, "yes" if split else "no", worst, runs[0][1]])
    text = "# Over-admission of a limit leased in shares\n\n"
    text += "Made by `make experiment`. Admitted requests as a multiple of the limit's "
    text += "yield in a minute, the worst of seeds 1 to 3; one customer sends without "
    text += "end to all nodes. The formula: H homes + N nodes * floor, plus the burst "
    text += "of 2 s with which the home and each node may begin.\n\n"
    names = ["nodes", "replies lost", "two homes for 20 s", "admitted", "formula"]
    text += render_markdown(names, rows) + "\n"
    OUTPUT.write_text(text)
    print(text)


if __name__ == "__main__":
    main()
