"""Cold upstreams: which are known to be slow after a start, and what they may receive.

A cold upstream crashes if it receives far more than a given rate from all nodes
together. core/coldshares.py divides this rate among the nodes.
"""

from enum import Enum

import msgspec

from plantainwood.core.coldshares import (
    WINDOW_S,
    ColdBounds,
    SenderNames,
    compute_share,
)
from plantainwood.core.upstreamlimits import NodeRate

ENTRY_LAG_MS = 2_000
"""How late an upstream's entry may be known here: it is written every 1.2 s, and nodes
are notified up to 0.5 s later."""
MAX_COLD_MS = 600_000
"""The longest time that an upstream is believed to stay cold."""
MAX_NAMES = 2_000
"""Names of upstreams that are remembered, those that are gone included."""
UNTIL_RESPONSE_MS = 2**62
"""Stands for the end of a time that begins with the upstream's next response."""


class ColdSource(Enum):
    """Where it is known from that an upstream is cold."""

    ENTRY = "entry"
    """Its entry in the store."""
    NEW = "new"
    """Its name was not known before."""
    RESPONSE = "response"
    """A response of it to this node."""
    BROKEN = "broken"
    """A connection to it broke or was refused: it may have restarted."""
    REPORT = "report"
    """Another node."""


class ColdLimit(msgspec.Struct, frozen=True):
    """How long a service's upstreams are cold, and what one may receive meanwhile."""

    address: str
    """The upstream's address; a process that replaces another keeps its senders."""
    start_ms: int
    per_s: float
    """Requests per second from all nodes together."""


class ColdState:
    """Until when an upstream is cold, by the source of the knowledge."""

    __slots__ = ("until_ms", "broken_ms", "responded_ms")

    def __init__(self) -> None:
        self.until_ms: dict[ColdSource, int] = {}
        self.broken_ms = 0
        self.responded_ms: int | None = None
        """Since when it listens again after its connection broke; None if unknown."""

    def find_source(self, now_ms: int) -> ColdSource | None:
        """Return the source by which it is cold for longest; None if it is warm."""
        if not self.until_ms:
            return None
        source = max(self.until_ms, key=self.until_ms.__getitem__)
        return source if self.until_ms[source] > now_ms else None

    def drop_guesses(self, now_ms: int) -> None:
        """Forget what the entry in the store now says better."""
        self.until_ms.pop(ColdSource.NEW, None)
        if now_ms - self.broken_ms > ENTRY_LAG_MS:
            self.until_ms.pop(ColdSource.BROKEN, None)


class ColdUpstreams:
    """What one node knows of cold upstreams, and its share of their rates."""

    __slots__ = (
        "bounds",
        "has_sent",
        "sent_count",
        "_node",
        "_members",
        "_limits",
        "_states",
        "_seen_names",
        "_rates",
        "_shares",
        "_addresses",
        "_sent_ms",
    )

    def __init__(self, node: str) -> None:
        self.bounds = ColdBounds()
        self.has_sent = False
        """Whether this node has sent any request to an upstream."""
        self.sent_count = 0
        """Requests sent to cold upstreams."""
        self._node = node
        self._members = SenderNames(node)
        self._limits: dict[str, ColdLimit] = {}
        """By name, of the upstreams that are cold after their start."""
        self._states: dict[str, ColdState] = {}
        self._seen_names: dict[str, None] = {}
        self._rates: dict[str, NodeRate] = {}
        """This node's part of the rates of cold upstreams, by address."""
        self._shares: dict[ColdLimit, float] = {}
        """This node's requests per second, until the bounds or the nodes change."""
        self._addresses: set[str] = set()
        """The addresses with a limit."""
        self._sent_ms: dict[str, int] = {}
        """When this node last sent a request, by address."""

    def set_bounds(self, bounds: ColdBounds) -> None:
        """Set what cold upstreams may receive beyond their rates."""
        self.bounds = bounds
        self._shares.clear()

    def set_members(self, live: set[str], known: set[str], now_ms: int) -> None:
        """Set the live nodes, and those that are known or registered."""
        if self._members.update(live, known, now_ms):
            self._shares.clear()

    def set_limits(
        self,
        names: set[str],
        limits: dict[str, ColdLimit],
        new_are_cold: bool,
        now_ms: int,
    ) -> None:
        """Set the upstreams, and the limits of those that are cold after their start.

        `new_are_cold` is whether a name that was not known before is that of an
        upstream that has just started.
        """
        self._limits = limits
        for name in sorted(names):
            is_new = self._seen_names.pop(name, True)
            self._seen_names[name] = None
            if is_new and new_are_cold and name in limits:
                until_ms = now_ms + limits[name].start_ms
                self._get_state(name).until_ms[ColdSource.NEW] = until_ms
        while len(self._seen_names) > max(MAX_NAMES, len(names)):
            del self._seen_names[next(iter(self._seen_names))]
        for name in self._states.keys() - limits.keys():
            self._states[name].until_ms.pop(ColdSource.BROKEN, None)
        self._addresses = {limit.address for limit in limits.values()}
        for address in self._sent_ms.keys() - self._addresses:
            del self._sent_ms[address]

    def _get_state(self, name: str) -> ColdState:
        return self._states.setdefault(name, ColdState())

    def record_entry(self, name: str, remaining_ms: int, now_ms: int) -> None:
        """Record how much longer an upstream is cold by its entry; 0 if it is warm."""
        if remaining_ms == 0 and name not in self._states:
            return
        state = self._get_state(name)
        state.drop_guesses(now_ms)
        state.until_ms[ColdSource.ENTRY] = now_ms + min(MAX_COLD_MS, remaining_ms)

    def record_response(self, name: str, remaining_ms: int | None, now_ms: int) -> None:
        """Record a response; `remaining_ms` is None if it says nothing of this.

        The upstream's own word replaces all that was known of it.
        """
        if remaining_ms is None:
            self._end_wait(name, now_ms)
            return
        if remaining_ms == 0 and name not in self._states:
            return
        state = self._get_state(name)
        until_ms = now_ms + min(MAX_COLD_MS, remaining_ms)
        state.until_ms = {ColdSource.RESPONSE: until_ms}

    def _end_wait(self, name: str, now_ms: int) -> None:
        """Start the time for which an upstream that may have restarted is cold."""
        state = self._states.get(name)
        if state is None or name not in self._limits:
            return
        if state.until_ms.get(ColdSource.BROKEN) != UNTIL_RESPONSE_MS:
            return
        state.responded_ms = now_ms
        state.until_ms[ColdSource.BROKEN] = now_ms + self._limits[name].start_ms

    def record_broken(
        self, name: str, refused: bool, crashed: bool, now_ms: int
    ) -> None:
        """Record that an upstream broke a connection, or refused one.

        `crashed` is whether nothing listened at its address just afterwards. One that
        refused a connection is probed, so its next response will be known here.
        """
        if name not in self._limits:
            return
        state = self._get_state(name)
        until_ms = now_ms + self._limits[name].start_ms
        state.until_ms[ColdSource.BROKEN] = UNTIL_RESPONSE_MS if refused else until_ms
        state.broken_ms = now_ms
        state.responded_ms = None if refused or crashed else now_ms

    def record_report(self, name: str, remaining_ms: int, now_ms: int) -> None:
        """Record that an upstream is cold as another node found out itself."""
        if remaining_ms <= 0:
            return
        if name not in self._states and len(self._states) >= MAX_NAMES:
            return
        state = self._get_state(name)
        until_ms = now_ms + min(MAX_COLD_MS, remaining_ms)
        known_ms = state.until_ms.get(ColdSource.REPORT, until_ms)
        state.until_ms[ColdSource.REPORT] = max(known_ms, until_ms)

    def confirm_entries(self, read_ms: int) -> None:
        """Count upstreams as not restarted that still have the same entry.

        `read_ms` is since when no later entry is known in the store.
        """
        for state in self._states.values():
            if ColdSource.BROKEN not in state.until_ms or state.responded_ms is None:
                continue
            if read_ms >= state.responded_ms + ENTRY_LAG_MS:
                del state.until_ms[ColdSource.BROKEN]

    def list_reports(self, now_ms: int) -> dict[str, int]:
        """Return how much longer upstreams are cold by their responses to this node.

        Broken connections are left out: a bad path of this node would slow down the
        whole fleet.
        """
        found: dict[str, int] = {}
        for name, state in self._states.items():
            left_ms = state.until_ms.get(ColdSource.RESPONSE, 0) - now_ms
            if left_ms > 0 and name in self._limits:
                found[name] = left_ms
        return found

    def list_cold(self, now_ms: int) -> dict[str, ColdSource]:
        """Return the upstreams that are cold now, with the source of the knowledge."""
        found: dict[str, ColdSource] = {}
        for name, state in list(self._states.items()):
            source = state.find_source(now_ms)
            if source is None:
                del self._states[name]
            elif name in self._limits:
                found[name] = source
        return found

    def find_rate(self, name: str, now_ms: int) -> NodeRate:
        """Return this node's part of a cold upstream's rate."""
        share = self.compute_share(name)
        if share == 0.0 or not self._members.is_settled(now_ms):
            return NodeRate(now_ms)
        address = self._limits[name].address
        rate = self._rates.get(address)
        if rate is None:
            sent_ms = self._sent_ms.get(address)
            is_idle = sent_ms is None or now_ms - sent_ms > WINDOW_S * 1_000
            rate = self._rates[address] = NodeRate(now_ms, 1.0 if is_idle else 0.0)
        rate.set_rate(share, now_ms)
        return rate

    def forget_rates(self, cold: set[str]) -> None:
        """Delete this node's parts of the rates of all upstreams that are not cold."""
        addresses = {self._limits[name].address for name in cold}
        for address in self._rates.keys() - addresses:
            del self._rates[address]

    def compute_share(self, name: str) -> float:
        """Return the requests per second that this node may send to an upstream."""
        limit = self._limits[name]
        share = self._shares.get(limit)
        if share is not None:
            return share
        if len(self._shares) >= MAX_NAMES:
            self._shares.clear()
        most = self.bounds.compute_most(limit.per_s)
        share = self._shares[limit] = compute_share(
            self._node, self._members.names, limit.address, limit.per_s, most
        )
        return share

    def record_sent(self, address: str, now_ms: int) -> None:
        """Count a request that this node sends to the upstream at an address."""
        self.has_sent = True
        if address not in self._addresses:
            return
        self._sent_ms[address] = now_ms
        rate = self._rates.get(address)
        if rate is not None:
            rate.record_sent(now_ms)
            self.sent_count += 1
