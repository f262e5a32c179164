"""The sums of the backlogs that nodes report: kept up to date, not added up each time.

Load: 90 nodes that report on 70 engines, while each choice of an engine reads the
backlogs of all engines.
"""

import random

from plantainwood.core.enginestates import REMOTE_LIFETIME_MS, EngineStates

ENGINES = ["e0", "e1", "e2", "e3"]


def add_up(reports: dict[str, tuple[int, dict[str, int]]], engine: str, now_ms: int):
    """Return what the newest reports say of an engine, without those that expired."""
    total = 0
    for heard_ms, backlog in reports.values():
        if now_ms - heard_ms <= REMOTE_LIFETIME_MS:
            total += backlog.get(engine, 0)
    return total


def test_sums_equal_the_newest_reports_that_have_not_expired():
    """Guards against a report that is counted twice, or on after it has expired."""
    generator = random.Random(5)
    states = EngineStates()
    reports: dict[str, tuple[int, dict[str, int]]] = {}
    now_ms = 0
    for _ in range(3_000):
        now_ms += generator.choice((0, 3, 40, 900))
        node = f"vm-{generator.randrange(6)}"
        if generator.random() < 0.6:
            backlog = {engine: generator.randrange(9) for engine in ENGINES[:3]}
            states.record_remote(node, backlog, {}, now_ms)
            reports[node] = (now_ms, backlog)
        for engine in ENGINES:
            expected = add_up(reports, engine, now_ms)
            assert states.count_backlog_tokens(engine, now_ms) == expected
