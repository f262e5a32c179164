"""Settings, a route and heartbeats that several tests share."""

from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.messages import NodeState
from plantainwood.core.routes import RetrySafety, Route, WeightedService
from plantainwood.edgesettings import EdgeAddresses, EdgeSettings, EdgeStore

SETTINGS = EdgeSettings(
    node="vm-1",
    domain="a",
    domains=["a", "b"],
    addresses=EdgeAddresses("h:1", "h:2", "h:3", "h:4", metrics_port=5),
    store=EdgeStore("h:6", "h:7"),
    fleet="0123456789abcdef",
)
ROUTE = Route(
    name="r1",
    host="front.example",
    prefix="/s/",
    retry_safety=RetrySafety.STREAM,
    timeout_ms=3_000,
    first_byte_target_ms=400,
    gap_target_ms=150,
    tier=1,
    attempts=2,
    open_to_all=False,
    resumable=True,
    weighted_services=(WeightedService("pool", 1),),
)


def make_heartbeat(name: str, weight: int) -> VmHeartbeat:
    """Return the heartbeat of a live VM with the given weight."""
    return VmHeartbeat(name, 1, 1, NodeState.LIVE, "a", "", "", 1, 0, 0, weight, {}, {})
