"""Settings of an edge node, which serves callers and finds upstreams by discovery."""

from enum import Enum
from typing import Annotated

import msgspec

from plantainwood.core.checks import check_struct
from plantainwood.documents import read_yaml
from plantainwood.settings import (
    Logs,
    MachineSize,
    Millis,
    Name,
    Port,
    Section,
    SettingsError,
    Traces,
)

LINK_PERCENT_PER_MBPS = 4
"""Below 25 Mbit/s for each core, the link rather than the CPU limits long prompts."""

NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PathMillis = Annotated[float, msgspec.Meta(ge=0, le=1_000)]
Price = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
PositivePrice = Annotated[float, msgspec.Meta(ge=1e-9, le=1_000_000)]
Size = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Overage = Annotated[float, msgspec.Meta(ge=0, le=1_000)]
RequestCount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$")]


class EdgeAddresses(Section, frozen=True):
    """The addresses this node listens on, as host:port."""

    callers: Address
    ready: Address
    directory: Address
    links: Address
    metrics_port: Port
    calls: Address | None = None
    """Where other nodes send the calls that they can't serve; null: they can't."""


class EdgeStore(Section, frozen=True):
    """The platform's store and its API for scaling orders and usage reports."""

    address: Address
    orders_address: str = ""
    timeout_ms: Millis = 700


class Duty(Enum):
    """A duty that only the lease holder performs."""

    USAGE = "usage_reporting"
    SCALING = "scaling"


class EdgeDuties(Section, frozen=True):
    """The duties of the lease holder and their timing."""

    enabled: list[Duty] = []
    window_ms: Millis = 5_000
    report_late_ms: Millis = 10_000
    least_lease_ms: Millis = 3_000


class EdgeRetries(Section, frozen=True):
    """The fleet-wide budget for attempts after the first."""

    ratio: NonNegativeFloat = 0.2
    slack: NonNegativeFloat = 50.0


class EdgeDrain(Section, frozen=True):
    """How the node shuts down."""

    grace_ms: Millis = 8_000
    address_lifetime_ms: Millis = 1_000


class EdgeCold(Section, frozen=True):
    """What a cold upstream may receive from the fleet beyond its rate in a second.

    The platform may give neither; null counts as absent.
    """

    overage: Overage | None = None
    """A factor on the rate; 1 if absent."""
    slack: RequestCount | None = None
    """Requests beyond that; 0 if absent."""


class EdgeOverflow(Section, frozen=True):
    """Use of other failure domains' upstreams only when it reduces cost.

    While disabled, all domains' upstreams are alike.
    """

    enabled: bool = False
    path_ms: PathMillis = 1.0
    """The latency between two failure domains, one way, in ms."""
    price_per_gb: Price | None = None
    """The price of 10^9 bytes between failure domains; null: only time counts."""
    wait_price_per_s: PositivePrice = 0.01
    """The price of one second that a request waits, in the same currency."""
    request_bytes: Size = 16_384
    """The bytes of a request without a prompt, with its answer."""
    kv_token_bytes: Size = 0
    """The bytes of one token's KV cache in a transfer between engines."""


class EdgeSlowVm(Section, frozen=True):
    """Recognition of VMs that get a fraction of their usual CPU for some seconds."""

    enabled: bool = False
    """Whether a slow VM lowers its weight and hands its duties over."""


class EdgeCustomerShares(Section, frozen=True):
    """Fair shares of customers by their recent work over all VMs, under contention."""

    enabled: bool = False


class EdgeSettings(Section, frozen=True):
    """All settings that an edge node reads at its start."""

    node: Name
    domain: Name
    domains: list[str]
    addresses: EdgeAddresses
    store: EdgeStore
    fleet: Annotated[str, msgspec.Meta(min_length=16)]
    """The shared secret that authenticates messages between the fleet's nodes."""
    bootstrap: bool = True
    """Whether the whole fleet starts for the first time: nobody holds a duty yet."""
    seeds: list[str] = []
    """Addresses of some nodes, which may be gone; all nodes use the same link port."""
    cpu_share: NonNegativeFloat = 1.0
    cores: NonNegativeFloat = 1.0
    link_mbps: NonNegativeFloat = 1_000.0
    memory_mb: MachineSize | None = None
    """The machine's memory; null: bounds on clients don't follow it."""
    file_descriptors: MachineSize | None = None
    """The descriptors that the process may open; null: its limit when it starts.

    Clients have 6/10 of them, new connections from other nodes 1/16.
    """
    duties: EdgeDuties = EdgeDuties()
    retries: EdgeRetries = EdgeRetries()
    drain: EdgeDrain = EdgeDrain()
    cold: EdgeCold = EdgeCold()
    regions: dict[str, str] = {}
    """The regions of the failure domains; a domain without one is in no region."""
    overflow: EdgeOverflow = EdgeOverflow()
    slow_vm: EdgeSlowVm = EdgeSlowVm()
    customer_shares: EdgeCustomerShares = EdgeCustomerShares()
    logs: Logs = Logs()
    traces: Traces = Traces()

    @property
    def capacity_percent(self) -> int:
        """Return this VM's capacity, in hundredths of a core.

        A slow network link limits it to the CPU that the link can keep busy.
        """
        processor = 100 * self.cpu_share * self.cores
        return round(min(processor, LINK_PERCENT_PER_MBPS * self.link_mbps))

    def list_seed_links(self) -> list[str]:
        """Return the link addresses of the seeds, as host:port."""
        port = self.addresses.links.rpartition(":")[2]
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds]


def parse_edge_settings(text: str) -> EdgeSettings:
    """Return the settings in a YAML text; raise SettingsError with all problems."""
    source = read_yaml(text)
    problems = check_struct(source.data, EdgeSettings, "")
    if problems:
        raise SettingsError([source.format_problem(problem) for problem in problems])
    return msgspec.convert(source.data, EdgeSettings)


def load_edge_settings(path: str) -> EdgeSettings:
    """Return the settings in a file.

    Raise OSError or UnicodeDecodeError if the file can't be read, and the errors of
    parse_edge_settings if its text is invalid.
    """
    with open(path, encoding="utf-8") as file:
        return parse_edge_settings(file.read())
