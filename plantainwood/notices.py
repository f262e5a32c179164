"""What VMs tell each other of crashes, of rates that upstreams name and of streams."""

from plantainwood.core import events as ev
from plantainwood.core.fleetmessages import (
    BegunStreamsNotice,
    CrashNotice,
    Message,
    PartCrashNotice,
    PartsClearedNotice,
    VmHeartbeat,
)
from plantainwood.core.messages import CrashMark
from plantainwood.core.upstreamlimits import LimitReport
from plantainwood.edge import Edge
from plantainwood.logs import log_event

NOTICE_SENDERS = 4
"""How many VMs send what they know to a VM that is new to them."""


def apply_notice(
    edge: Edge,
    notice: CrashNotice | PartCrashNotice | PartsClearedNotice | BegunStreamsNotice,
) -> None:
    """Pass a notice from another VM to the dispatcher."""
    match notice:
        case CrashNotice():
            mark = notice.mark
            event = ev.CrashMarkReceived(
                mark.fingerprint, mark.upstream, mark.lifted, notice.age_ms
            )
            edge.broker.feed(event)
        case PartCrashNotice():
            for crash in notice.crashes:
                edge.broker.feed(ev.PartCrashReceived(crash))
        case PartsClearedNotice():
            edge.broker.feed(ev.PartsClearedReceived(notice.parts))
        case BegunStreamsNotice():
            state = edge.broker.dispatcher.state
            state.stream_versions.record_remote(notice.streams, edge.clock.now_ms())


def list_notices(edge: Edge, name: str) -> list[Message]:
    """Return notices of all marks and streams for a VM that started or was cut off.

    Only the VMs that run longest send them, since they know most; none on the others.
    """
    now_ms = edge.clock.now_ms()
    own = (edge.incarnation, edge.settings.node)
    senders = [own]
    for heartbeat in edge.vms.list_live(edge.awake_clock.now_ms()):
        if heartbeat.sender != name:
            senders.append((heartbeat.incarnation, heartbeat.sender))
    if own not in sorted(senders)[:NOTICE_SENDERS]:
        return []
    node = edge.settings.node
    state = edge.broker.dispatcher.state
    notices: list[Message] = []
    for mark in state.quarantine.list_marks(now_ms):
        crash_mark = CrashMark(mark.fingerprint, mark.upstream)
        notices.append(CrashNotice(node, crash_mark, mark.age_ms))
    crashes = state.part_quarantine.list_crashes(now_ms)
    if crashes:
        notices.append(PartCrashNotice(node, crashes))
    streams = state.stream_versions.list_streams(now_ms)
    if streams:
        notices.append(BegunStreamsNotice(node, streams))
    return notices


def apply_brittleness_reports(edge: Edge, heartbeat: VmHeartbeat, age_ms: int) -> None:
    """Record which pools an answer to another VM named brittle."""
    for pool, said_age_ms in heartbeat.brittle_pools.items():
        edge.broker.feed(ev.BrittlenessReported(pool, said_age_ms + age_ms))


def apply_limit_reports(edge: Edge, heartbeat: VmHeartbeat, age_ms: int) -> None:
    """Record the request rates that upstreams named to another VM; log changes."""
    limits = edge.broker.dispatcher.state.upstream_limits
    for report in heartbeat.limits:
        before = limits.find_limit(report.upstream)
        aged = LimitReport(report.upstream, report.per_s, report.age_ms + age_ms)
        edge.broker.feed(ev.LimitReported(aged))
        if limits.find_limit(report.upstream) != before:
            log_event(
                "upstream_limit",
                upstream=report.upstream,
                vm=heartbeat.sender,
                age_ms=aged.age_ms,
                per_s=report.per_s,
                before=before,
            )
