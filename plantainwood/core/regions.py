"""The failure domains that a request may be served in, by the regions allowed to it."""

Regions = tuple[str, ...]
"""Names of regions; None in its place means all."""


def make_allowed_regions(names: list[str] | None) -> Regions | None:
    """Return the regions of a list in the configuration; None if it allows all."""
    return tuple(names) if names else None


def intersect_regions(one: Regions | None, other: Regions | None) -> Regions | None:
    """Return the regions that two lists allow together; there may be none."""
    if one is None or other is None:
        return other if one is None else one
    return tuple(name for name in one if name in other)


class DomainRegions:
    """The regions of the failure domains, and the domain of this node."""

    __slots__ = ("_own_domain", "_regions")

    def __init__(self, own_domain: str, regions: dict[str, str]) -> None:
        self._own_domain = own_domain
        self._regions = {domain: regions[domain] for domain in regions}

    def find_domains(self, allowed: Regions | None) -> frozenset[str] | None:
        """Return the domains of the allowed regions; None if all are allowed.

        A domain of unknown region is in none of them.
        """
        if allowed is None:
            return None
        found: set[str] = set()
        for domain, region in self._regions.items():
            if region and region in allowed:
                found.add(domain)
        return frozenset(found)

    def list_own(self) -> frozenset[str]:
        """Return the domains in the region of this node, its own included."""
        own_region = self._regions.get(self._own_domain, "")
        found = {self._own_domain}
        for domain, region in self._regions.items():
            if region and region == own_region:
                found.add(domain)
        return frozenset(found)
