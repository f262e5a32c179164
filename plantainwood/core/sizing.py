"""How many engines run where: orders by number for each failure domain."""

import msgspec


class Scaling(msgspec.Struct, frozen=True):
    """What may be ordered of a service, for each failure domain."""

    min: int = 1
    max: int = 1
    boot_ms: int = 4_000
    spot_price: float = 0.0
    """Relative to the others; 0 where there are none."""
    domain_prices: dict[str, float] = {}


class CountOrder(msgspec.Struct, frozen=True):
    """A wanted number of upstreams of one sort in a failure domain."""

    service: str
    domain: str
    desired: int
    spot: bool


class EngineCensus(msgspec.Struct, frozen=True):
    """The upstreams of one service that serve in a failure domain."""

    regular: int = 0
    spot: int = 0


def plan_counts(
    service: str,
    scaling: Scaling,
    domains: list[str],
    census: dict[str, EngineCensus],
    wanted: int,
) -> list[CountOrder]:
    """Return the orders for `wanted` engines in all: spot ones, spread over domains.

    The regular ones are given back in a domain only once a spot one serves there,
    and each domain keeps what the platform asks for at least.
    """
    spots = _spread(wanted, scaling, domains)
    orders: list[CountOrder] = []
    for domain in domains:
        counted = census.get(domain, EngineCensus())
        spot = spots[domain] if scaling.spot_price else 0
        regular = 0 if spot else max(scaling.min, spots[domain])
        if counted.spot < min(1, spot):
            regular = max(regular, min(counted.regular, scaling.max - spot))
        if spot:
            orders.append(CountOrder(service, domain, spot, True))
        orders.append(CountOrder(service, domain, regular, False))
    return orders


def _spread(wanted: int, scaling: Scaling, domains: list[str]) -> dict[str, int]:
    """Return how many run in each domain: evenly, the cheaper domains first."""
    ordered = sorted(domains, key=lambda name: scaling.domain_prices.get(name, 1.0))
    counts = {name: scaling.min for name in ordered}
    left = wanted - sum(counts.values())
    while left > 0:
        lowest = min(counts.values())
        if lowest >= scaling.max:
            break
        for name in ordered:
            if left > 0 and counts[name] == lowest:
                counts[name] += 1
                left -= 1
    return counts
