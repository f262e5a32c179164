"""The queue that serves the customer with the least recent work in the fleet first."""

import heapq
from collections import OrderedDict

from plantainwood.core.customershares import CustomerShares
from plantainwood.core.fairness import FairQueue, find_newest_unattempted
from plantainwood.core.requests import Request

PASSED_OVER_TURNS = 2
"""How many turns of all waiting customers one may be passed over before it is served.

A customer that had all engines for itself would otherwise get nothing until its usage
has decayed to that of the others, which takes several seconds.
"""


class ShareQueue(FairQueue):
    """Serve the customer with the least recent work in the fleet, by weight."""

    __slots__ = ("_shares", "_generation", "_turns", "_served", "_is_popping")

    def __init__(self, shares: CustomerShares) -> None:
        super().__init__(shares)
        self._shares = shares
        self._generation = shares.generation
        self._served = 0
        self._is_popping = False
        self._turns: OrderedDict[str, int] = OrderedDict()
        """What `_served` was when each customer began to wait or was served last."""

    def push(self, request: Request, front: bool = False) -> None:
        """Add a request; a customer that had none waiting begins its turn."""
        customer = request.customer
        waited = customer in self._queues or (front and customer in self._turns)
        if not waited:
            self._restart_turn(customer)
        super().push(request, front)

    def _restart_turn(self, customer: str) -> None:
        self._turns[customer] = self._served
        self._turns.move_to_end(customer)

    def pop(self) -> Request | None:
        """Return the first request of the customer passed over too often or due."""
        passed_over = self._find_passed_over()
        self._is_popping = True
        if passed_over is None:
            request = super().pop()
        else:
            request = next(iter(self._queues[passed_over].values()))
            super().remove(request.id)
        self._is_popping = False
        if request is not None:
            request.was_passed_over = passed_over is not None
        return request

    def remove(self, request_id: str) -> bool:
        """Remove a request; a customer's turn ends with the last one that is given up.

        One that is taken to be sent keeps the turn until it is.
        """
        request = self._order.get(request_id)
        removed = super().remove(request_id)
        if request is None or self._is_popping:
            return removed
        if request.customer not in self._queues:
            self._turns.pop(request.customer, None)
        return removed

    def _find_passed_over(self) -> str | None:
        """Return the customer that has waited longest for its turn, if for too long."""
        for customer, since in self._turns.items():
            # Its only request may have been taken and found no upstream; it comes back.
            if customer not in self._queues:
                continue
            bound = PASSED_OVER_TURNS * len(self._queues)
            return customer if self._served - since >= bound else None
        return None

    def _refresh_heap(self) -> None:
        if self._generation != self._shares.generation:
            self._generation = self._shares.generation
            self._heap = [(self._shares.get_value(name), name) for name in self._queues]
            heapq.heapify(self._heap)
            self._in_heap = set(self._queues)
        super()._refresh_heap()

    def record_dispatch(self, request: Request, now_ms: int) -> None:
        """Record that a request was sent; a customer above its share waits for it."""
        self._served += 1
        if request.customer in self._queues:
            self._restart_turn(request.customer)
        else:
            self._turns.pop(request.customer, None)
        oldest = self.find_oldest()
        if oldest is None or oldest.customer == request.customer:
            return
        if oldest.queued_ms <= request.queued_ms and self._shares.is_above_share(
            oldest.customer
        ):
            self._shares.record_limited(oldest.customer, now_ms)

    def estimate_ahead(self, customer: str) -> int:
        """Estimate how many requests of customers with less work are served before."""
        value = self._shares.get_value(customer)
        ahead = len(self._queues.get(customer, ()))
        for name, queue in self._queues.items():
            if self._shares.get_value(name) < value:
                ahead += len(queue)
        return min(ahead, super().estimate_ahead(customer))

    def find_request_above_share(self, customer: str) -> Request | None:
        """Return the newest unattempted request of the customer furthest above."""
        furthest = self._find_furthest_above(customer)
        if not furthest or furthest == customer:
            return None
        if self._shares.get_value(furthest) <= self._shares.get_value(customer):
            return None
        return find_newest_unattempted(self._queues[furthest])

    def _find_furthest_above(self, arriving: str = "") -> str:
        """Return the waiting customer furthest above its share; empty if none is.

        It keeps an equal part of the waiting room, so that it gets its turns.
        """
        furthest = max(self._queues, key=self._shares.get_value, default="")
        if not self._shares.is_above_share(furthest):
            return ""
        count = len(self._queues)
        if arriving and arriving not in self._queues:
            count += 1
        if len(self._queues[furthest]) * count <= len(self._order):
            return ""
        return furthest

    def find_excess_request(self, customer: str) -> Request | None:
        """Return the one to shed as without shares, unless the customer is above."""
        if self._shares.is_above_share(customer):
            return None
        return super().find_excess_request(customer)

    def find_newest_unattempted(self) -> Request | None:
        """Return that of the customer furthest above its share, else the newest."""
        furthest = self._find_furthest_above()
        request = None
        if furthest:
            request = find_newest_unattempted(self._queues[furthest])
        return request or super().find_newest_unattempted()
