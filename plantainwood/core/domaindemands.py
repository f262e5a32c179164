"""Demand of each failure domain, by the heartbeats of its VMs, and its age."""

import copy
import math

from plantainwood.core.routes import make_service_pool

STALE_MS = 2_000
"""How old the last heartbeat of a domain may be for a share to be sent there.

It is shorter than the time after which a silent VM's backlog counts as gone.
"""
UNHEARD_MS = 10_000
"""After how long without any heartbeat a domain counts as one without VMs."""
DEMAND_MEAN_MS = 1_500
"""The time constant of the mean of a domain's demand."""


class DemandMeter:
    """A mean rate in units per ms over about DEMAND_MEAN_MS."""

    __slots__ = ("_units", "_updated_ms")

    def __init__(self, now_ms: int) -> None:
        self._units = 0.0
        self._updated_ms = now_ms

    def record(self, units: int, now_ms: int) -> None:
        """Add units of work that was sent."""
        self._units = self._decay(now_ms) + units
        self._updated_ms = max(self._updated_ms, now_ms)

    def compute_rate(self, now_ms: int) -> float:
        """Return the mean rate in units per ms."""
        return self._decay(now_ms) / DEMAND_MEAN_MS

    def _decay(self, now_ms: int) -> float:
        passed_ms = max(0, now_ms - self._updated_ms)
        return self._units * math.exp(-passed_ms / DEMAND_MEAN_MS)


class DomainDemands:
    """What each failure domain's VMs send, and when they were last heard."""

    __slots__ = ("own", "_heard_ms", "_meters")

    def __init__(self, own: str) -> None:
        self.own = own
        self._heard_ms: dict[str, int] = {}
        """When the newest heartbeat of each other domain was made."""
        self._meters: dict[tuple[str, str], DemandMeter] = {}
        """By pool and domain."""

    def copy(self) -> "DomainDemands":
        """Return an object that may be asked about new domains; meters are shared."""
        found = copy.copy(self)
        found._heard_ms = dict(self._heard_ms)
        return found

    def record(
        self, domain: str, demand: dict[str, int], made_ms: int, now_ms: int
    ) -> None:
        """Record, by service, the tokens that a VM of a domain sent in one interval."""
        if domain != self.own:
            heard_ms = self._heard_ms.get(domain, made_ms)
            self._heard_ms[domain] = max(made_ms, heard_ms)
        for service, tokens in demand.items():
            key = (make_service_pool(service), domain)
            self._meters.setdefault(key, DemandMeter(now_ms)).record(tokens, now_ms)

    def compute_rate(self, pool: str, domain: str, now_ms: int) -> float:
        """Return the demand of a domain for a pool, in tokens per ms."""
        meter = self._meters.get((pool, domain))
        return meter.compute_rate(now_ms) if meter is not None else 0.0

    def list_heard(self) -> list[str]:
        """Return this VM's own domain and the others that were heard or asked about."""
        return [self.own, *sorted(self._heard_ms)]

    def is_stale(self, domain: str, now_ms: int) -> bool:
        """Tell whether the figures of a domain are too old for a share to be sent.

        After UNHEARD_MS the domain counts as one without VMs: then what the other VMs
        send there is all that is sent.
        """
        if domain == self.own:
            return False
        age_ms = now_ms - self._find_heard_ms(domain, now_ms)
        return STALE_MS < age_ms <= UNHEARD_MS

    def is_unheard(self, domain: str, now_ms: int) -> bool:
        """Tell whether a domain counts as one without VMs."""
        if domain == self.own:
            return False
        return now_ms - self._find_heard_ms(domain, now_ms) > UNHEARD_MS

    def _find_heard_ms(self, domain: str, now_ms: int) -> int:
        """Return when a domain was last heard; a new one counts as just gone stale."""
        return self._heard_ms.setdefault(domain, now_ms - STALE_MS - 1)
