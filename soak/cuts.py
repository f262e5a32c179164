"""Check that nothing cuts begun streams but time, runners and the ends of VMs."""

from soak.clients import Call
from soak.faults import Operator
from soak.runners import STREAM_MS

MARGIN_S = 0.3
"""How much before its deadline the end of a stream counts as by the deadline."""


def list_cut(calls: list[Call], operator: Operator) -> list[str]:
    """Return the streams that were cut though their runners sent on."""
    broken: set[str] = set()
    for run in operator.runs:
        if run.broke_off:
            broken.add(run.request_id)
    found: list[str] = []
    for call in calls:
        if call.kind != "s" or call.status or not call.body:
            continue
        took_s = call.ended_s - call.sent_s
        if took_s > STREAM_MS / 1_000 - MARGIN_S or call.request_id in broken:
            continue
        vm = call.vm.name
        if operator.disturbances.may_cut(vm, call.sent_s, call.ended_s):
            continue
        found.append(f"CUT: {call.request_id} at {vm} after {took_s:.2f} s")
    return found
