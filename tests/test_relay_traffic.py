"""Bytes that VMs with thin links spend on heartbeats in a large fleet under load."""

import random

from plantainwood.core.prompts import Part, Prompt
from plantainwood.core.relays import RELAYED_HEARTBEAT_INTERVAL_MS
from tests.largefleet import LargeFleet

VM_COUNT = 74
STRONG_COUNT = 8
STRONG_MBPS = 100.0
THIN_MBPS = 5.0
ENGINE_COUNT = 30
PROMPTS_PER_ROUND = 2
SHARED_PARTS = 40
ROUNDS = 16
MAX_SENT_BYTES_PER_S = 24_000
"""What a VM may send to other VMs for the control of the fleet."""
MAX_LINK_SHARE = 0.2
"""The share of its link that a relay may use for heartbeats."""


class Load:
    """Prompts that every VM sends in each round, prefilled in the next one."""

    def __init__(self, fleet: LargeFleet) -> None:
        self._fleet = fleet
        self._generator = random.Random(7)
        self._pending: list[tuple[str, str, str]] = []

    def run_round(self) -> None:
        """Finish the prompts of the last round, and send new ones."""
        for name, engine, request_id in self._pending:
            states = self._fleet.edges[name].router.engine_states
            states.record_prefilled(engine, request_id)
        self._pending.clear()
        for name in self._fleet.edges:
            for _ in range(PROMPTS_PER_ROUND):
                self._send_prompt(name)
        self._fleet.run(1)

    def _send_prompt(self, name: str) -> None:
        number = self._generator.randrange(ENGINE_COUNT)
        engine = f"i-{number:010x}@10.3.64.{number}:8006@1769746710143"
        shared = self._generator.randrange(SHARED_PARTS)
        parts = (
            Part(f"5c1e07{shared % 8:06x}", 2_520),
            Part(f"91bd3f{shared:06x}", 3_780),
            Part(f"{self._generator.getrandbits(48):012x}", 2_890),
        )
        request_id = f"{self._generator.getrandbits(64):016x}"
        states = self._fleet.edges[name].router.engine_states
        states.record_sent(engine, request_id, Prompt(parts, 9_190, 80), 3_300)
        self._pending.append((name, engine, request_id))


def measure_sent_bytes(links_mbps: list[float]) -> tuple[LargeFleet, dict[str, float]]:
    """Return a fleet after some seconds of load, and the bytes/s that each VM sent."""
    fleet = LargeFleet(VM_COUNT, links_mbps)
    load = Load(fleet)
    fleet.run(6)
    fleet.network.sent_bytes.clear()
    for _ in range(ROUNDS):
        load.run_round()
    seconds = ROUNDS * RELAYED_HEARTBEAT_INTERVAL_MS / 1_000
    sent = fleet.network.sent_bytes
    return fleet, {name: sent[name] / seconds for name in fleet.edges}


# Guards against relays on thin links, whose VMs then can't serve their callers (GONE).
def test_vms_with_thin_links_leave_the_relaying_to_stronger_ones():
    links = [STRONG_MBPS] * STRONG_COUNT + [THIN_MBPS] * (VM_COUNT - STRONG_COUNT)
    fleet, sent = measure_sent_bytes(links)
    assert fleet.all_vms_list_each_other()
    for name, edge in fleet.edges.items():
        if edge.settings.link_mbps == THIN_MBPS:
            assert sent[name] <= MAX_SENT_BYTES_PER_S, name


# Guards against relays that fill their links where no VM has a strong one.
def test_a_relay_on_a_thin_link_leaves_most_of_it_to_callers():
    fleet, sent = measure_sent_bytes([THIN_MBPS] * VM_COUNT)
    assert fleet.all_vms_list_each_other()
    for name in fleet.edges:
        assert sent[name] * 8 <= MAX_LINK_SHARE * THIN_MBPS * 1e6, name
