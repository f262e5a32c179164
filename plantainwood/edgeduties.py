"""Duties of the fleet's single lease holder: counts and usage reports."""

import asyncio

from mode import Service

from plantainwood.calls import Call, StartObserver
from plantainwood.core.fleetmessages import CountsReport, FrozenReportNotice
from plantainwood.core.reports import report_window
from plantainwood.core.windows import NodeCounts
from plantainwood.edge import Edge
from plantainwood.edgesettings import Duty
from plantainwood.fleet import FleetLinks
from plantainwood.fleetlease import find_holder, find_lease_candidates
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event

SEND_INTERVAL_MS = 800
SEND_INTERVAL_MS_PER_VM = 20
"""Limits the messages to the holder to some tens per second in a large fleet."""
HOLDER_CHECK_PAUSE_MS = 100
"""How often to check whether the holder changed."""
REPORT_PAUSE_MS = 400
COUNTS_GRACE_MS = 2_200
"""How long to wait for a window's counts after its end."""
LATE_MARGIN_MS = 2_000
"""How long after its deadline a window is still reported."""
NEW_HOLDER_DELAY_MS = 800
"""How long a new holder waits for the counts that other VMs know."""


class StartRecorder(StartObserver):
    """Count the requests that upstreams start, for the usage reports."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge

    def record_start(self, call: Call) -> None:
        """Count a request as started now, if its customer is known."""
        if not call.authenticated:
            return
        edge = self._edge
        edge.start_counter.count(
            call.customer, edge.agreed_time.now(edge.clock.now_ms())
        )


class CountsSender(Service):
    """Send this node's counts to the lease holder and its possible successors."""

    def __init__(self, edge: Edge, fleet_links: FleetLinks, **kwargs) -> None:
        self.edge = edge
        self._fleet_links = fleet_links
        self._sent_sequences: dict[int, int] = {}
        """The sequence number last sent, by window."""
        self._last_holder = ""
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        waited_ms = 0
        while not self.should_stop:
            await asyncio.sleep(HOLDER_CHECK_PAUSE_MS / 1_000)
            waited_ms += HOLDER_CHECK_PAUSE_MS
            if (
                waited_ms >= self._compute_interval_ms()
                or find_holder(self.edge) != self._last_holder
            ):
                waited_ms = 0
                self.send_changes()

    def _compute_interval_ms(self) -> int:
        count = len(self.edge.vms.list_live(self.edge.awake_clock.now_ms()))
        return max(SEND_INTERVAL_MS, SEND_INTERVAL_MS_PER_VM * count)

    def send_changes(self) -> None:
        """Send changed counts; send a new holder the known counts of all VMs."""
        edge = self.edge
        holder = find_holder(edge)
        changed: list[NodeCounts] = []
        for record in edge.start_counter.list_records():
            edge.window_totals.put(record)
            if self._sent_sequences.get(record.window, 0) < record.sequence:
                changed.append(record)
                self._sent_sequences[record.window] = record.sequence
        if changed:
            message = CountsReport(edge.settings.node, changed)
            for name in {holder, *find_lease_candidates(edge)} - {
                edge.settings.node,
                "",
            }:
                self._fleet_links.send(name, message)
        if holder not in (self._last_holder, edge.settings.node, ""):
            known = edge.window_totals.list_records()
            if known:
                self._fleet_links.send(holder, CountsReport(edge.settings.node, known))
        self._last_holder = holder

    def broadcast_counts(self) -> None:
        """Send all of this node's counts to every VM, before this one stops."""
        edge = self.edge
        records = edge.start_counter.list_records()
        if records:
            self._fleet_links.broadcast(CountsReport(edge.settings.node, records))


class UsageReporter(Service):
    """Report the usage of each window that ended, while the lease is held."""

    def __init__(self, edge: Edge, fleet_links: FleetLinks, **kwargs) -> None:
        self.edge = edge
        self._fleet_links = fleet_links
        self._last_processed_window = 0
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        edge = self.edge
        if Duty.USAGE not in edge.settings.duties.enabled:
            return
        if not self._last_processed_window:
            self._last_processed_window = self._compute_current_window() - 1
        while not self.should_stop:
            await asyncio.sleep(REPORT_PAUSE_MS / 1_000)
            if not edge.lease.is_held():
                # Another holder reports meanwhile. After taking over, this node
                # reports only windows that may still be in time.
                self._last_processed_window = max(
                    self._last_processed_window, self._compute_current_window() - 4
                )
                continue
            if edge.clock.now_ms() - edge.lease.acquired_at_ms < NEW_HOLDER_DELAY_MS:
                continue
            await self._report_ended_windows()

    def _compute_current_window(self) -> int:
        edge = self.edge
        return edge.start_counter.compute_window(
            edge.agreed_time.now(edge.clock.now_ms())
        )

    def _tell_successors(self, key: str, counts: bytes) -> None:
        """Send frozen counts to the nodes that may report next."""
        edge = self.edge
        notice = FrozenReportNotice(edge.settings.node, key, counts)
        for name in find_lease_candidates(edge):
            if name != edge.settings.node:
                self._fleet_links.send(name, notice)

    async def _report_ended_windows(self) -> None:
        edge = self.edge
        window_ms = edge.settings.duties.window_ms
        agreed_ms = edge.agreed_time.now(edge.clock.now_ms())
        newest = edge.start_counter.compute_window(agreed_ms - COUNTS_GRACE_MS) - 1
        for window in range(self._last_processed_window + 1, newest + 1):
            late_ms = agreed_ms - (window + 1) * window_ms
            if late_ms > edge.settings.duties.report_late_ms + LATE_MARGIN_MS:
                log_event("usage_report_too_late", window=window, late_ms=late_ms)
                self._last_processed_window = window
                continue
            accepted = await edge.driver.run(
                report_window(
                    window,
                    edge.window_totals,
                    edge.lease,
                    edge.frozen_reports,
                    self._tell_successors,
                )
            )
            log_event(
                "usage_report",
                window=window,
                taken=accepted,
                late_ms=late_ms,
                fence=edge.lease.fence,
            )
            if not accepted:
                return
            self._last_processed_window = window
        edge.window_totals.forget_before(newest - 6)
