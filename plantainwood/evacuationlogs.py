"""Log lines and the metric of failure domains whose evacuation begins or ends."""

import logging

from plantainwood.core.evacuations import RETURN_RAMP_MS, EvacuationChange
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics


def record_evacuations(
    change: EvacuationChange,
    revisions: dict[str, int],
    known_domains: set[str],
    metrics: Metrics,
) -> None:
    """Log what changed, and set the metric of each domain that it concerns.

    `revisions` has the revisions since which the domains are evacuated. A domain that
    is not known gets a log line only, so that a typing error makes no time series.
    """
    for domain in change.begun:
        revision = revisions[domain]
        if domain not in known_domains:
            log_event(
                "evacuation_of_unknown_domain",
                logging.WARNING,
                domain=domain,
                revision=revision,
            )
            continue
        log_event("domain_evacuated", domain=domain, revision=revision)
        metrics.evacuated.set({"domain": domain}, 1)
    for domain in change.ended:
        if domain not in known_domains:
            continue
        log_event("domain_returns", domain=domain, ramp_ms=RETURN_RAMP_MS)
        metrics.evacuated.set({"domain": domain}, 0)
