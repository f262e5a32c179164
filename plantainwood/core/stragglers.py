"""Stragglers: upstreams slower than their group, by this node's own timings."""

from statistics import median

from plantainwood.core.loads import UpstreamLoad

SLOW_RATIO = 2.0
RECOVERED_RATIO = 1.5
RAW_TIME_FACTOR = 4 / 3
"""An upstream with a slow scaled time counts as slow only if its raw time, times this
factor, is slow as well."""
MIN_SAMPLES = 3
MAX_EJECTED_SHARE = 1 / 3
MIN_TYPICAL_MS = 5.0


def update_ejections(group: list[UpstreamLoad]) -> None:
    """Eject the slow members of a group, at most a third of it; restore the rest.

    A straggler keeps getting one request at a time, so that it can recover.
    """
    measured = [load for load in group if load.samples >= MIN_SAMPLES]
    allowed = int(len(group) * MAX_EJECTED_SHARE)
    if len(measured) < 3 or allowed < 1:
        for load in group:
            load.ejected = False
        return
    typical_first_ms = max(
        MIN_TYPICAL_MS, median(load.first_token_ms for load in measured)
    )
    typical_scaled_ms = max(
        MIN_TYPICAL_MS, median(load.scaled_first_token_ms for load in measured)
    )
    typical_between_ms = max(
        MIN_TYPICAL_MS, median(load.between_tokens_ms for load in measured)
    )
    ranked: list[tuple[float, UpstreamLoad]] = []
    for load in measured:
        # Long prompts alone raise only the raw time, and many streams beside short
        # prompts only the scaled one; neither makes an upstream a straggler.
        ratio_first = min(
            RAW_TIME_FACTOR * load.first_token_ms / typical_first_ms,
            load.scaled_first_token_ms / typical_scaled_ms,
        )
        ratio = max(ratio_first, load.between_tokens_ms / typical_between_ms)
        ranked.append((ratio, load))
    ranked.sort(key=lambda pair: -pair[0])
    for position, (ratio, load) in enumerate(ranked):
        limit = RECOVERED_RATIO if load.ejected else SLOW_RATIO
        load.ejected = position < allowed and ratio > limit
