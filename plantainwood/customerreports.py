"""Customers' shares on an edge node: other VMs' reports, metrics and log lines."""

import logging

from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.edge import Edge
from plantainwood.logs import log_event

MAX_LOGGED_CUSTOMERS = 12
"""Lines at once; more only if many customers' loads change together."""
SHARE_INTERVAL_MS = 2_000
"""How often the metric of the shares is updated."""


class WorkReports:
    """Apply the work of customers that other VMs report."""

    __slots__ = ("_edge", "_malformed")

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._malformed: set[str] = set()
        """The VMs whose malformed reports were logged."""

    def apply(self, heartbeat: VmHeartbeat, age_ms: int) -> None:
        """Record a report; log a VM once whose reports have impossible numbers."""
        shares = self._edge.broker.dispatcher.state.shares
        if shares is None or not heartbeat.customer_work:
            return
        now_ms = self._edge.clock.now_ms()
        valid = shares.record_remote(heartbeat.customer_work, age_ms, now_ms)
        if valid or heartbeat.sender in self._malformed:
            return
        self._malformed.add(heartbeat.sender)
        log_event("customer_work_malformed", logging.WARNING, vm=heartbeat.sender)


class ShareReporter:
    """Report the largest customers' shares of recent work, and who is limited."""

    __slots__ = ("_edge", "_named", "_reported_ms", "_rejections")

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._named: set[str] = set()
        self._reported_ms = 0
        self._rejections = 0

    def report(self, now_ms: int) -> None:
        """Log who became limited or no longer is, and update the metrics."""
        shares = self._edge.broker.dispatcher.state.shares
        if shares is None:
            return
        changes = shares.take_changes(now_ms)
        for customer, limited in changes[:MAX_LOGGED_CUSTOMERS]:
            log_event("customer_limited", customer=customer, limited=limited)
        if len(changes) > MAX_LOGGED_CUSTOMERS:
            log_event("customers_limited", changed=len(changes))
        rejections = shares.rejections - self._rejections
        if rejections:
            self._rejections = shares.rejections
            self._edge.metrics.share_rejections.add({}, rejections)
        if now_ms - self._reported_ms >= SHARE_INTERVAL_MS:
            self._reported_ms = now_ms
            self._update_shares(dict(shares.list_largest()))

    def _update_shares(self, largest: dict[str, float]) -> None:
        """Set the shares; a customer that is none of the largest is taken out."""
        gauge = self._edge.metrics.customer_share
        for customer in self._named - set(largest):
            del gauge.values[{"customer": customer}]
        for customer, share in largest.items():
            gauge.set({"customer": customer}, round(share, 4))
        self._named = set(largest)
