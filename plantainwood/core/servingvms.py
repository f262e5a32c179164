"""Choice of the VM that serves a request for a node without a path to the upstreams."""

from plantainwood.core.catalogue import ServingVm, UpstreamKind
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.hashing import compute_weighted_score
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.messages import NodeState
from plantainwood.core.requests import Request

VM_PREFIX = "vm/"


def make_load_name(node: str) -> str:
    """Return the name under which a VM stands among the upstreams' loads."""
    return VM_PREFIX + node


def find_serving_vms(
    heartbeats: list[VmHeartbeat], weights: dict[str, int]
) -> dict[str, ServingVm]:
    """Return the VMs that take calls from others, by the names of their loads."""
    found: dict[str, ServingVm] = {}
    for heartbeat in heartbeats:
        if heartbeat.state is not NodeState.LIVE or not heartbeat.caller_address:
            continue
        if not heartbeat.calls_port:
            continue
        host = heartbeat.link_address.removeprefix("tcp://").rpartition(":")[0]
        found[make_load_name(heartbeat.sender)] = ServingVm(
            owner="",
            kind=UpstreamKind.PLAIN,
            address=f"{host}:{heartbeat.calls_port}",
            domain=heartbeat.domain,
            weight=weights[heartbeat.sender],
            path_lost=heartbeat.path_lost,
            unreached_pools=heartbeat.unreached_pools,
        )
    return found


def is_serving_vm(load: UpstreamLoad) -> bool:
    """Tell whether a load is that of another VM and not of an upstream."""
    return isinstance(load.entry, ServingVm)


def list_usable_vms(
    loads: list[UpstreamLoad], request: Request, own_domains: frozenset[str]
) -> list[UpstreamLoad]:
    """Return the VMs that have a path to the upstreams of a request's pool.

    Its body goes only to VMs that are in its regions, or in the region of this node,
    which has taken it from its caller; `own_domains` has the domains of that.
    """
    found: list[UpstreamLoad] = []
    for load in loads:
        if load.leaving or load.entry.path_lost:
            continue
        if request.pool in load.entry.unreached_pools:
            continue
        domain = load.entry.domain
        if domain not in own_domains and not request.may_use_domain(domain):
            continue
        found.append(load)
    return found


def choose_serving_vm(
    request: Request, usable: list[UpstreamLoad], now_ms: int
) -> UpstreamLoad | None:
    """Return the VM for a request, each in proportion to its weight; None to wait.

    A VM that has just failed is left out, and the last one that failed this request
    unless it is the only one.
    """
    allowed = [load for load in usable if now_ms >= load.paused_until_ms]
    others = [load for load in allowed if load.name != request.avoid_upstream]
    best = None
    best_score = 0.0
    for load in others or allowed:
        score = compute_weighted_score(request.id, load.name, load.entry.weight)
        if best is None or score > best_score:
            best = load
            best_score = score
    return best
