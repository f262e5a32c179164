"""Log lines and the metric of failure domains whose evacuation begins or ends."""

import logging

from plantainwood.core.evacuations import RETURN_RAMP_MS, EvacuationChange
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics


class EvacuationReporter:
    """Log evacuations, and set the metric of each domain that they concern.

    A domain that is not known gets a log line only, so that a typing error makes no
    time series.
    """

    __slots__ = ("_metrics", "_shown")

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._shown: set[str] = set()
        """The evacuated domains whose metric is 1."""

    def record(
        self,
        change: EvacuationChange,
        revisions: dict[str, int],
        known_domains: set[str],
    ) -> None:
        """Report what changed.

        `revisions` has the revisions since which domains are evacuated.
        """
        for domain in change.begun:
            if domain not in known_domains:
                log_event(
                    "evacuation_of_unknown_domain",
                    logging.WARNING,
                    domain=domain,
                    revision=revisions[domain],
                )
        for domain in sorted(revisions.keys() & known_domains - self._shown):
            log_event("domain_evacuated", domain=domain, revision=revisions[domain])
            self._metrics.evacuated.set({"domain": domain}, 1)
            self._shown.add(domain)
        for domain in change.ended:
            if domain not in self._shown:
                continue
            log_event("domain_returns", domain=domain, ramp_ms=RETURN_RAMP_MS)
            self._metrics.evacuated.set({"domain": domain}, 0)
            self._shown.discard(domain)
