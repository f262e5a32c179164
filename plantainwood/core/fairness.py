"""Fair queueing among customers by tokens served.

After "Fairness in Serving Large Language Models" (Sheng et al., OSDI 2024):
answer lengths are unknown, so a customer is charged as tokens are generated.
"""

import heapq
from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import Iterator

from plantainwood.core.requests import Request

REQUEST_CHARGE_TOKENS = 16


class WaitingQueue(ABC):
    """Hold the waiting requests of one tier in one pool."""

    __slots__ = ()

    @abstractmethod
    def push(self, request: Request, front: bool = False) -> None:
        """Add a request; `front` puts it ahead of its customer's other requests."""

    @abstractmethod
    def pop(self) -> Request | None:
        """Remove and return the request to serve next."""

    @abstractmethod
    def remove(self, request_id: str) -> bool:
        """Remove a request that no longer waits; return whether it was queued."""

    @abstractmethod
    def iter_requests(self) -> Iterator[Request]:
        """Yield the waiting requests, oldest in the queue first."""

    @abstractmethod
    def estimate_ahead(self, customer: str) -> int:
        """Estimate how many requests are served before the customer's next one."""

    @abstractmethod
    def find_excess_request(self, customer: str) -> Request | None:
        """Return the request to shed for a customer with fewer waiting, or None."""

    @abstractmethod
    def __len__(self) -> int: ...

    @abstractmethod
    def find_newest_unattempted(self) -> Request | None:
        """Return the newest request that has had no attempt."""

    def find_oldest(self) -> Request | None:
        """Return the request that has waited longest."""
        return next(self.iter_requests(), None)

    def record_dispatch(self, request: Request, now_ms: int) -> None:
        """Record that a request that was removed has been sent to an upstream."""

    def find_request_above_share(self, customer: str) -> Request | None:
        """Return the request to reject for a customer's, by shares of recent work."""
        return None


def find_newest_unattempted(requests: OrderedDict[str, Request]) -> Request | None:
    """Return the last request without an attempt; most queues end with one."""
    for request in reversed(requests.values()):
        if request.attempts_made == 0:
            return request
    return None


class TokenCounters:
    """Tokens served to each customer, divided by its weight."""

    __slots__ = ("_counters", "_weights", "_floor")

    def __init__(self) -> None:
        self._counters: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._floor = 0.0

    def get_value(self, customer: str) -> float:
        """Return a customer's counter."""
        return self._counters.get(customer, self._floor)

    def set_weight(self, customer: str, weight: float) -> None:
        """Set a customer's weight: its share of service relative to other customers."""
        self._weights[customer] = weight

    def charge(self, customer: str, tokens: float) -> None:
        """Charge a customer for tokens served to it, on this or another node."""
        weight = self._weights.get(customer, 1.0)
        self._counters[customer] = self.get_value(customer) + tokens / weight

    def raise_to(self, customer: str, minimum: float) -> None:
        """Raise the counter of a customer that was idle, so that it gains no credit."""
        self._floor = max(self._floor, minimum)
        self._counters[customer] = max(self.get_value(customer), minimum)


class FairQueue(WaitingQueue):
    """Serve the customer with the lowest counter first, in queue order within each."""

    __slots__ = ("_counters", "_queues", "_heap", "_in_heap", "_order", "_last_value")

    def __init__(self, counters: TokenCounters) -> None:
        self._counters = counters
        self._queues: dict[str, OrderedDict[str, Request]] = {}
        self._heap: list[tuple[float, str]] = []
        self._in_heap: set[str] = set()
        self._order: OrderedDict[str, Request] = OrderedDict()
        self._last_value = 0.0

    def push(self, request: Request, front: bool = False) -> None:
        """Add a request; raise its customer's counter if it had none waiting."""
        queue = self._queues.get(request.customer)
        if queue is None:
            queue = self._queues[request.customer] = OrderedDict()
            self._counters.raise_to(request.customer, self._find_minimum())
            if request.customer not in self._in_heap:
                value = self._counters.get_value(request.customer)
                heapq.heappush(self._heap, (value, request.customer))
                self._in_heap.add(request.customer)
        queue[request.id] = request
        if front:
            queue.move_to_end(request.id, last=False)
        self._order[request.id] = request

    def _find_minimum(self) -> float:
        self._refresh_heap()
        return self._heap[0][0] if self._heap else self._last_value

    def _refresh_heap(self) -> None:
        """Update the heap until its first entry is current; counters never decrease."""
        while self._heap:
            value, customer = self._heap[0]
            if customer not in self._queues:
                heapq.heappop(self._heap)
                self._in_heap.discard(customer)
                continue
            current = self._counters.get_value(customer)
            if current == value:
                return
            heapq.heapreplace(self._heap, (current, customer))

    def pop(self) -> Request | None:
        """Remove and return the first request of the least served customer."""
        self._refresh_heap()
        if not self._heap:
            return None
        value, customer = self._heap[0]
        self._last_value = value
        request = next(iter(self._queues[customer].values()))
        self.remove(request.id)
        return request

    def remove(self, request_id: str) -> bool:
        """Remove a request; `_refresh_heap` later drops its customer's stale entry."""
        request = self._order.pop(request_id, None)
        if request is None:
            return False
        queue = self._queues[request.customer]
        del queue[request_id]
        if not queue:
            del self._queues[request.customer]
        return True

    def iter_requests(self) -> Iterator[Request]:
        """Yield the waiting requests in the order in which they were queued."""
        return iter(self._order.values())

    def find_newest_unattempted(self) -> Request | None:
        """Return the newest request that has had no attempt."""
        return find_newest_unattempted(self._order)

    def estimate_ahead(self, customer: str) -> int:
        """Estimate as if the waiting customers took turns, one request each."""
        own = len(self._queues.get(customer, ()))
        turns = len(self._queues) + (0 if own else 1)
        return min(len(self._order), (own + 1) * turns)

    def find_excess_request(self, customer: str) -> Request | None:
        """Return the newest unattempted request of the longest customer queue."""
        longest = max(
            self._queues, key=lambda name: len(self._queues[name]), default=""
        )
        if not longest or longest == customer:
            return None
        own = len(self._queues.get(customer, ()))
        if len(self._queues[longest]) <= own + 1:
            return None
        return find_newest_unattempted(self._queues[longest])

    def __len__(self) -> int:
        return len(self._order)


class FifoQueue(WaitingQueue):
    """Serve in order of arrival; the baseline without fairness."""

    __slots__ = ("_order",)

    def __init__(self) -> None:
        self._order: OrderedDict[str, Request] = OrderedDict()

    def push(self, request: Request, front: bool = False) -> None:
        """Add a request at the end, or at the front."""
        self._order[request.id] = request
        if front:
            self._order.move_to_end(request.id, last=False)

    def pop(self) -> Request | None:
        """Remove and return the oldest request."""
        if not self._order:
            return None
        return self._order.popitem(last=False)[1]

    def remove(self, request_id: str) -> bool:
        """Remove a request."""
        return self._order.pop(request_id, None) is not None

    def iter_requests(self) -> Iterator[Request]:
        """Yield the waiting requests in order."""
        return iter(self._order.values())

    def find_newest_unattempted(self) -> Request | None:
        """Return the newest request that has had no attempt."""
        return find_newest_unattempted(self._order)

    def estimate_ahead(self, customer: str) -> int:
        """Return the number of waiting requests."""
        return len(self._order)

    def find_excess_request(self, customer: str) -> Request | None:
        """Return None: the arriving request is the one refused."""
        return None

    def __len__(self) -> int:
        return len(self._order)
