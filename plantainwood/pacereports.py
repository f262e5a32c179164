"""Metrics and log lines on how the engines differ in pace."""

from plantainwood.core.enginepace import EnginePaces
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

MAX_LOGGED_ENGINES = 12
"""Lines at once; after a start, most engines of a mixed pool change together."""


def report_paces(paces: EnginePaces, metrics: Metrics, now_ms: int) -> None:
    """Set the metric, and log the engines that became notable or usual again."""
    fastest, slowest = paces.find_extremes(now_ms)
    metrics.engine_slowness.set({"engine": "fastest"}, fastest)
    metrics.engine_slowness.set({"engine": "slowest"}, slowest)
    changes = paces.take_changes(now_ms)
    for engine, slowness in changes[:MAX_LOGGED_ENGINES]:
        log_event("engine_pace", upstream=engine, slowness=round(slowness, 2))
    if len(changes) > MAX_LOGGED_ENGINES:
        log_event("engine_paces", changed=len(changes))
