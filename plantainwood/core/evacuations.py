"""Failure domains that are evacuated, and their gradual return to service.

Every node decides from the same list, which the operator writes. Nothing is sent to the
upstreams of an evacuated domain. When it leaves the list, its upstreams may be cold, so
for RETURN_RAMP_MS only a growing part of the requests may go there. Whether a request
belongs to that part follows from its id, so the parts of all nodes add up without any
message, and a request once admitted stays admitted.
"""

from typing import Iterable

import msgspec

from plantainwood.core.hashing import HASH_RANGE, compute_rank

RETURN_RAMP_MS = 4_000


class EvacuationChange(msgspec.Struct, frozen=True):
    """The domains whose evacuation began or ended with an update, sorted."""

    begun: list[str]
    ended: list[str]


class ReturnRamp:
    """The growing part of a pool's requests that a returning domain may take."""

    __slots__ = ("_domain", "_began_ms", "_slot_share")

    def __init__(self, domain: str, began_ms: int, slot_share: float) -> None:
        self._domain = domain
        self._began_ms = began_ms
        self._slot_share = slot_share
        """The domain's share of the pool's slots: its part of the requests when the
        ramp ends. Its idle upstreams would attract more than that before."""

    def is_over(self, now_ms: int) -> bool:
        """Tell whether the domain takes all requests again."""
        return now_ms - self._began_ms >= RETURN_RAMP_MS

    def admits(self, request_id: str, now_ms: int) -> bool:
        """Tell whether a request may go to the domain."""
        if self.is_over(now_ms):
            return True
        progress = max(0, now_ms - self._began_ms) / RETURN_RAMP_MS
        point = compute_rank(f"return\0{self._domain}", request_id) / HASH_RANGE
        return point < progress * self._slot_share


class Evacuations:
    """The domains that are evacuated, and those that return to service."""

    __slots__ = ("_evacuated", "_ended_ms")

    def __init__(self) -> None:
        self._evacuated: set[str] = set()
        self._ended_ms: dict[str, int] = {}
        """When the last evacuation of a domain ended, by domain."""

    def update(self, domains: Iterable[str], now_ms: int) -> EvacuationChange:
        """Replace the list of evacuated domains; return what changed."""
        evacuated = set(domains)
        begun = sorted(evacuated - self._evacuated)
        ended = sorted(self._evacuated - evacuated)
        self._evacuated = evacuated
        self._forget_returned(now_ms)
        for domain in begun:
            self._ended_ms.pop(domain, None)
        for domain in ended:
            self._ended_ms[domain] = now_ms
        return EvacuationChange(begun, ended)

    def _forget_returned(self, now_ms: int) -> None:
        """Delete the domains whose ramp is over."""
        for domain, ended_ms in list(self._ended_ms.items()):
            if now_ms - ended_ms >= RETURN_RAMP_MS:
                del self._ended_ms[domain]

    def is_evacuated(self, domain: str) -> bool:
        """Tell whether nothing may be sent to a domain's upstreams."""
        return domain in self._evacuated

    def list_in_service(self, domains: Iterable[str], now_ms: int) -> list[str]:
        """Return the domains whose upstreams count as capacity, in the given order.

        Those that return count once their ramp is over: until then the others need what
        they were given in their place.
        """
        found: list[str] = []
        for domain in domains:
            if domain in self._evacuated:
                continue
            ended_ms = self._ended_ms.get(domain)
            if ended_ms is None or now_ms - ended_ms >= RETURN_RAMP_MS:
                found.append(domain)
        return found

    def make_ramps(self, slots: dict[str, int]) -> dict[str, ReturnRamp]:
        """Return the ramps of a pool's domains that return, by domain.

        `slots` has the slots of the pool's upstreams by domain.
        """
        total = max(1, sum(slots.values()))
        ramps: dict[str, ReturnRamp] = {}
        for domain in slots.keys() & self._ended_ms.keys():
            share = slots[domain] / total
            ramps[domain] = ReturnRamp(domain, self._ended_ms[domain], share)
        return ramps
