"""What a VM assumes in the first seconds after its start, before it hears the others.

Load: all VMs start within some seconds, and all clients return at once. A VM that has
heard none would take the whole of what the fleet shares, and the first VM that listens
would get all clients for as long as they use an address. So the VMs that are registered
in the store, which outlasts them, count as if they ran, for a bounded time: many may
never return. Times are those of an awake clock (core/awake.py): a VM that stands still
just after its start hears the others later.
"""

from plantainwood.core.hashing import HASH_RANGE, compute_rank

HEARING_MS = 1_500
"""How long after its first configuration a VM may not have heard all that serve.

A heartbeat over relays takes three hops of up to 500 ms each.
"""
RETURN_MS = 4_000
"""How long after its first configuration a VM expects registered VMs to return."""
MIN_LIFETIME_MS = 250
"""The shortest lifetime of a directory answer; a look-up costs a VM about 0.5 ms."""
MAX_SPREAD_WAIT_MS = 2_000
"""The longest wait of a refused client that is spread; upstreams name longer ones."""


class Returning:
    """How long ago this VM got its first configuration."""

    __slots__ = ("_began_ms",)

    def __init__(self) -> None:
        self._began_ms: int | None = None

    def begin(self, now_ms: int) -> None:
        """Record that a configuration is known; only the first time counts."""
        if self._began_ms is None:
            self._began_ms = now_ms

    def _is_within(self, duration_ms: int, now_ms: int) -> bool:
        return self._began_ms is None or now_ms - self._began_ms < duration_ms

    def expects_others(self, now_ms: int) -> bool:
        """Tell whether registered VMs may still return."""
        return self._is_within(RETURN_MS, now_ms)

    def find_unheard(
        self, live: set[str], registered: set[str], now_ms: int
    ) -> set[str]:
        """Return the registered VMs that count as live, though none was heard yet."""
        if not self._is_within(HEARING_MS, now_ms):
            return set()
        return registered - live

    def compute_lifetime_ms(
        self, lifetime_ms: int, heard: int, registered: int, now_ms: int
    ) -> int:
        """Return the lifetime of a directory answer.

        It is shorter the fewer of the registered VMs, this one included, are heard: so
        clients that only found the first VMs soon use the next ones too. Before the
        first configuration it is not known which are registered.
        """
        if self._began_ms is None:
            return min(lifetime_ms, MIN_LIFETIME_MS)
        if heard >= registered or not self._is_within(RETURN_MS, now_ms):
            return lifetime_ms
        part_ms = lifetime_ms * heard // registered
        return min(lifetime_ms, max(MIN_LIFETIME_MS, part_ms))

    def spread_retry_ms(self, retry_ms: int, request_id: str, now_ms: int) -> int:
        """Return after how long the client of a refused request should retry.

        Clients that were refused at the same time get different waits, up to twice as
        long.
        """
        if retry_ms > MAX_SPREAD_WAIT_MS or not self._is_within(RETURN_MS, now_ms):
            return retry_ms
        part = compute_rank("retry", request_id) / HASH_RANGE
        return round(retry_ms * (1 + part))
