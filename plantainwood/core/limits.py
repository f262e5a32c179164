"""Fleet-wide limits: each node leases a share of each customer's limits."""

import copy

import msgspec

from plantainwood.core.catalogue import Customer

BURST_S = 2.0
SHARE_LIFETIME_MS = 6_000
MIN_RETRY_MS = 200


class Bucket:
    """A token bucket; usage that is charged afterwards may take it below zero."""

    __slots__ = ("level", "_at_ms")

    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self._at_ms = now_ms

    def refill(self, rate_per_s: float, now_ms: int) -> None:
        """Refill for the time since the last call, up to BURST_S at this rate."""
        gained = rate_per_s * (now_ms - self._at_ms) / 1_000
        self.level = min(max(1.0, rate_per_s * BURST_S), self.level + gained)
        self._at_ms = now_ms


class CustomerLimit:
    """One customer's limits on one node.

    The node admits at most share * limit, where the share is leased from the node
    that holds the customer's ShareAllocator; without a valid lease the floor applies.
    """

    __slots__ = (
        "running",
        "demand",
        "_customer",
        "_share",
        "_share_until_ms",
        "_request_bucket",
        "_token_bucket",
    )

    def __init__(self, customer: Customer, now_ms: int) -> None:
        self.running = 0
        self.demand = 0.0
        """Requests since the owner last reset this, refused ones included."""
        self._customer = customer
        self._share = 0.0
        self._share_until_ms = 0
        self._request_bucket = Bucket(customer.requests_per_s * BURST_S, now_ms)
        self._token_bucket = Bucket(customer.tokens_per_s * BURST_S, now_ms)

    def copy(self) -> "CustomerLimit":
        """Return a limit in which requests count without effect on this one."""
        found = copy.copy(self)
        found._request_bucket = copy.copy(self._request_bucket)
        found._token_bucket = copy.copy(self._token_bucket)
        return found

    def set_customer(self, customer: Customer) -> None:
        """Apply the limits of a newer catalogue."""
        self._customer = customer

    def set_share(self, share: float, now_ms: int) -> None:
        """Set a leased share, between 0 and 1, for SHARE_LIFETIME_MS."""
        self._share = share
        self._share_until_ms = now_ms + SHARE_LIFETIME_MS

    def get_share(self, floor: float, now_ms: int) -> float:
        """Return the leased share, but at least the floor."""
        if now_ms < self._share_until_ms:
            return max(self._share, floor)
        return floor

    def admit(self, floor: float, now_ms: int) -> int | None:
        """Admit a request and return None, or return the ms after which to retry."""
        share = self.get_share(floor, now_ms)
        self.demand += 1.0
        request_rate = self._customer.requests_per_s * share
        token_rate = self._customer.tokens_per_s * share
        self._request_bucket.refill(request_rate, now_ms)
        self._token_bucket.refill(token_rate, now_ms)
        if self.running >= max(1, round(self._customer.concurrent * share)):
            return MIN_RETRY_MS
        if self._request_bucket.level < 1.0:
            wait_s = (1.0 - self._request_bucket.level) / request_rate
            return max(MIN_RETRY_MS, round(wait_s * 1_000))
        if self._token_bucket.level < 0.0:
            wait_s = -self._token_bucket.level / token_rate
            return max(MIN_RETRY_MS, round(wait_s * 1_000))
        self._request_bucket.level -= 1.0
        self.running += 1
        return None

    def charge_tokens(self, count: int) -> None:
        """Charge tokens as they are relayed."""
        self._token_bucket.level -= count

    def end_request(self) -> None:
        """Count a request as ended."""
        self.running -= 1


class Grant(msgspec.Struct, frozen=True):
    """A share leased to a node until a time on the allocator's clock."""

    share: float
    until_ms: int


class ShareAllocator:
    """Lease shares of one customer's limits to the nodes that serve it.

    The shares granted and not yet expired never sum to more than 1, even if the reply
    that lowered one is lost. With H nodes that each act as the customer's allocator
    and N nodes at the floor, a customer gets at most H + N * floor times its limit.
    """

    __slots__ = ("_demand", "_grants", "_unreported_tokens")

    def __init__(self) -> None:
        self._demand: dict[str, tuple[float, int]] = {}
        self._grants: dict[str, list[Grant]] = {}
        self._unreported_tokens: dict[str, int] = {}

    def grant(self, node: str, demand: float, now_ms: int) -> float:
        """Record a node's demand, as in ShareRequest, and return its new share."""
        self._demand[node] = (demand + 1.0, now_ms)
        wanted = (demand + 1.0) / self._sum_demand(now_ms)
        taken = 0.0
        for name in list(self._grants):
            if name != node:
                taken += self._find_held_share(name, now_ms)
        share = max(0.0, min(wanted, 1.0 - taken))
        # The node's lease starts when the reply arrives, so it is counted longer here.
        grant = Grant(share, now_ms + 2 * SHARE_LIFETIME_MS)
        self._grants.setdefault(node, []).append(grant)
        return share

    def _sum_demand(self, now_ms: int) -> float:
        total = 0.0
        for name, (wanted, at_ms) in list(self._demand.items()):
            if now_ms - at_ms > SHARE_LIFETIME_MS:
                del self._demand[name]
                continue
            total += wanted
        return total

    def _find_held_share(self, node: str, now_ms: int) -> float:
        """Return the largest unexpired share of a node."""
        unexpired = [grant for grant in self._grants[node] if grant.until_ms > now_ms]
        if not unexpired:
            del self._grants[node]
            return 0.0
        self._grants[node] = unexpired
        return max(grant.share for grant in unexpired)

    def exchange_served_tokens(self, node: str, tokens: int) -> int:
        """Add tokens that a node served; return others' that it was not told of yet."""
        unreported = self._unreported_tokens.get(node, 0)
        for name in self._unreported_tokens:
            self._unreported_tokens[name] += tokens
        self._unreported_tokens[node] = 0
        return unreported
