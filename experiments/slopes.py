"""Measure the slopes (costs per unit) behind docs/CAPACITY.md on one host.

Writes docs/measurements/slopes.json: for each slope the median and range of its
repeats.
"""

import asyncio
import json
import random
import sys
import time
import tracemalloc
from pathlib import Path
from statistics import median
from typing import Callable

import aiohttp
import msgspec

from experiments.exchange import measure_all
from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Catalogue,
    Change,
    apply_changes,
    encode_catalogue,
    make_delta,
    merge_document,
)
from plantainwood.core.claims import ClaimRequest, claim_call, complete_claim
from plantainwood.core.clock import SystemClock
from plantainwood.core.dispatcher import Dispatcher
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.frames import decode_frame, encode_frame
from plantainwood.core.gossip import GossipTable
from plantainwood.core.messages import (
    GossipBatch,
    Heartbeat,
    LoadNotice,
    NodeState,
    ShareRequest,
)
from plantainwood.core.usage import UsageLedger, UsageLine, flush_record
from plantainwood.dutycalls import DutyCaller
from plantainwood.engines import OpenAiEngine
from plantainwood.metrics import Metrics
from plantainwood.platform import HttpPlatform
from plantainwood.procedures import Driver
from plantainwood.store import EtcdClient
from standins.fleet import Fleet

OUTPUT = Path(__file__).resolve().parent.parent / "docs/measurements/slopes.json"
REPEATS = 5
SECRET = b"a secret of the fleet"


class Slope(msgspec.Struct):
    """One measured value: its unit, the median of its repeats, and their range."""

    name: str
    unit: str
    value: float
    low: float
    high: float


def make_slope(name: str, unit: str, values: list[float]) -> Slope:
    """Return a slope with the median and the range of repeated measurements."""
    return Slope(name, unit, median(values), min(values), max(values))


def time_calls(name: str, call: Callable[[], None], count: int) -> Slope:
    """Return the slope of the CPU time of one call in microseconds.

    Each of its REPEATS values is a mean over `count` calls.
    """
    values: list[float] = []
    for _ in range(REPEATS):
        start = time.process_time()
        for _ in range(count):
            call()
        values.append((time.process_time() - start) / count * 1e6)
    return make_slope(name, "us", values)


def make_heartbeat(number: int) -> Heartbeat:
    """Return a heartbeat of realistic size."""
    return Heartbeat(f"vm-{number}", 300_000_000, 90_000, NodeState.LIVE, 300_000, 40)


def measure_gossip() -> list[Slope]:
    """Measure the sizes of gossip records and the CPU time of a full and empty batch.

    A full batch has 100 heartbeats; its time includes merging them into a table.
    """
    heartbeats = [make_heartbeat(number) for number in range(100)]
    full = GossipBatch("vm-1", 300_000_000, 300_000, 900, heartbeats)
    empty = GossipBatch("vm-1", 300_000_000, 300_000, 900, [])
    sizes = [len(encode_frame(batch, SECRET)) for batch in (empty, full)]
    notice = LoadNotice("runner-123", 40_000, 1_796_000_000, (4, 0, 2, 1))
    loads = GossipBatch("vm-1", 300_000_000, 300_000, 900, [notice] * 100)
    load_bytes = (len(encode_frame(loads, SECRET)) - sizes[0]) / 100

    def merge_batch() -> None:
        message = decode_frame(encode_frame(full, SECRET), SECRET)
        table = GossipTable()
        table.set_partners(["a", "b"], {"a", "b"})
        for record in message.records:
            table.merge(record, "a")
        table.take_missing("b")

    def decode_empty() -> None:
        decode_frame(encode_frame(empty, SECRET), SECRET)

    batch_slope = time_calls("batch of 100 digests", merge_batch, 200)
    slopes = [
        Slope("bytes of an empty batch", "B", sizes[0], sizes[0], sizes[0]),
        time_calls("codec of an empty batch", decode_empty, 2_000),
        batch_slope,
    ]
    heartbeat_bytes = (sizes[1] - sizes[0]) / 100
    slopes.append(
        Slope("bytes of a beat", "B", heartbeat_bytes, heartbeat_bytes, heartbeat_bytes)
    )
    slopes.append(
        Slope("bytes of a load report", "B", load_bytes, load_bytes, load_bytes)
    )
    return slopes


def make_catalogue(customers: int, upstreams: int) -> Catalogue:
    """Return a catalogue of some size, with two keys for each customer."""
    changes = [
        Change("classes", f"tier-{tier}", {"owner": "p", "tier": tier})
        for tier in range(4)
    ]
    names = [f"tier-{tier}" for tier in range(4)]
    for number in range(customers):
        body: dict = {"owner": "p", "classes": names}
        changes.append(Change("customers", f"customer-{number}", body))
        for key in range(2):
            body = {
                "customer": f"customer-{number}",
                "salt": f"{number:016x}",
                "digest": f"{key:064x}",
            }
            changes.append(Change("keys", f"{number:06x}{key:06x}", body))
    for number in range(10):
        changes.append(Change("models", f"model-{number}", {"owner": "p"}))
    for number in range(upstreams):
        body = {
            "owner": "p",
            "kind": "engine",
            "address": f"http://10.0.{number // 250}.{number % 250}:8000",
            "domain": f"d{number % 8}",
            "models": [f"model-{number % 10}"],
            "slots": 8,
        }
        changes.append(Change("upstreams", f"runner-{number}", body))
    return apply_changes(Catalogue(), changes, "first")


def measure_catalogue() -> list[Slope]:
    """Measure the memory and size of three catalogues, and the cost of one change."""
    slopes: list[Slope] = []
    for customers, upstreams in ((10, 10), (245, 150), (980, 600)):
        label = f"{customers} customers and {upstreams} upstreams"
        tracemalloc.start()
        catalogue = make_catalogue(customers, upstreams)
        memory = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        size = len(encode_catalogue(catalogue)) / 1e3
        slopes.append(Slope(f"memory of {label}", "MB", memory, memory, memory))
        slopes.append(Slope(f"document of {label}", "kB", size, size, size))
        change = Change("models", "model-0", {"owner": "p", "max_tokens": 7})
        newer = apply_changes(catalogue, [change], "second")
        delta = make_delta(newer, catalogue.revision)
        data = msgspec.json.encode(delta)
        slopes.append(Slope(f"delta at {label}", "B", len(data), len(data), len(data)))

        def merge() -> None:
            assert merge_document(catalogue, delta) is not None

        slopes.append(time_calls(f"merge of a delta at {label}", merge, 5))
    return slopes


class DispatcherLoad:
    """A dispatcher with a queue of steady length, to time its decisions."""

    def __init__(self, customers: int, upstreams: int, waiting: int) -> None:
        self.dispatcher = Dispatcher("vm-1", 1, Options(max_waiting=waiting + 100))
        catalogue = make_catalogue(customers, upstreams)
        for customer in list(catalogue.customers.values()):
            assert customer.concurrent
        self.dispatcher.apply_catalogue(catalogue)
        self.random = random.Random(5)
        self.customers = sorted(catalogue.customers)
        self.now_ms = 0
        self.count = 0
        self.running: list[tuple[str, int]] = []
        for _ in range(waiting + 128):
            self.add_arrival()

    def record_dispatches(self, decisions: list[ev.Decision]) -> None:
        """Record which attempts are dispatched."""
        for decision in decisions:
            if isinstance(decision, ev.Dispatch):
                self.running.append((decision.request_id, decision.attempt))

    def add_arrival(self) -> None:
        """Pass the arrival of a random customer's request to the dispatcher."""
        self.count += 1
        self.now_ms += 1
        customer = self.random.choice(self.customers)
        request_id = f"r{self.count}"
        tier = f"tier-{self.random.randrange(4)}"
        arrival = ev.Arrival(
            request_id, customer, tier, "model/model-0", request_id, request_id
        )
        self.record_dispatches(self.dispatcher.decide(arrival, self.now_ms))

    def run_request(self) -> None:
        """Add an arrival; let a random attempt start, relay a token and end."""
        self.add_arrival()
        position = self.random.randrange(len(self.running))
        request_id, attempt = self.running[position]
        self.running[position] = self.running[-1]
        self.running.pop()
        now_ms = self.now_ms
        self.record_dispatches(
            self.dispatcher.decide(ev.AttemptStarted(request_id, attempt), now_ms)
        )
        self.record_dispatches(
            self.dispatcher.decide(ev.TokensRelayed(request_id, attempt, 1), now_ms)
        )
        self.record_dispatches(
            self.dispatcher.decide(ev.AttemptDone(request_id, attempt), now_ms)
        )


def measure_decisions() -> list[Slope]:
    """Measure the CPU time of a request's decisions as the sizes grow."""
    slopes: list[Slope] = []
    sizes = ((10, 20, 20), (245, 150, 100), (980, 600, 100), (980, 600, 1_000))
    for customers, upstreams, waiting in sizes:
        load = DispatcherLoad(customers, upstreams, waiting)
        label = f"{customers} customers, {upstreams} upstreams, {waiting} waiting"
        slopes.append(time_calls(f"decisions: {label}", load.run_request, 2_000))
    return slopes


def measure_request_memory() -> list[Slope]:
    """Measure the dispatcher's memory per waiting request, with its customer's limits.

    The limits of the random customers are created as their requests arrive.
    """
    load = DispatcherLoad(980, 600, 10)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    load.dispatcher.state.options.max_waiting = 5_000
    for _ in range(2_000):
        load.add_arrival()
    grown = (tracemalloc.get_traced_memory()[0] - before) / 2_000 / 1e3
    tracemalloc.stop()
    return [Slope("core memory of a waiting request", "kB", grown, grown, grown)]


async def measure_client_calls(fleet: Fleet) -> list[Slope]:
    """Measure the client's CPU time for key-value calls and load polls."""
    clock = SystemClock()
    slopes: list[Slope] = []
    async with aiohttp.ClientSession() as session:
        store = EtcdClient(
            session, [fleet.url("keyvalue")], 5_000, 1_000_000, clock, Metrics()
        )
        caller = DutyCaller(clock, 1_000)
        driver = Driver(store, HttpPlatform(session, caller, "", "", ""))
        engine = OpenAiEngine(session)
        numbers = iter(range(1_000_000))

        async def claim() -> None:
            name = f"k{next(numbers)}"
            request = ClaimRequest("c", name, "hash", name, 1, 1_000)
            await driver.run(claim_call(request))
            await driver.run(complete_claim(request, 200, "", b"{}"))

        async def flush() -> None:
            ledger = UsageLedger("vm-1", next(numbers), 1_000)
            for customer in range(30):
                ledger.count(f"p/customer-{customer}/tier-1", 1, UsageLine(1, 2, 3))
            for record in ledger.collect_pending(1):
                await driver.run(flush_record(record))

        async def read() -> None:
            await store.read_revision("catalogue/current")

        async def poll() -> None:
            await engine.read_load(fleet.url("engine-1"))

        calls = {
            "claim and settling": claim,
            "usage flush of 30 customers": flush,
            "key-value read": read,
            "load poll": poll,
        }
        for name, call in calls.items():
            values: list[float] = []
            for _ in range(REPEATS):
                start = time.process_time()
                for _ in range(100):
                    await call()
                values.append((time.process_time() - start) / 100 * 1e6)
            slopes.append(make_slope(name, "us", values))
    return slopes


def measure_shares() -> list[Slope]:
    """Measure the size and codec time of a share request for 30 customers."""
    demand = {f"customer-{number}": 4.0 for number in range(30)}
    served = {name: 900 for name in demand}
    request = ShareRequest("vm-1", demand, served)
    size = len(encode_frame(request, SECRET))

    def encode_and_decode() -> None:
        decode_frame(encode_frame(request, SECRET), SECRET)

    return [
        Slope("bytes of a share call for 30 customers", "B", size, size, size),
        time_calls("codec of a share call for 30 customers", encode_and_decode, 500),
    ]


def main() -> None:
    """Run all measurements and write slopes.json.

    With `--no-exchange` the earlier results of the exchange are kept.
    """
    slopes = measure_gossip() + measure_shares() + measure_catalogue()
    slopes += measure_decisions() + measure_request_memory()
    fleet = Fleet(nodes=1, engines=1)
    try:
        fleet.start()
        slopes += asyncio.run(measure_client_calls(fleet))
    finally:
        fleet.stop()
    exchange = [] if "--no-exchange" in sys.argv else measure_all()
    data: dict = {"slopes": msgspec.to_builtins(slopes)}
    if exchange:
        data["exchange"] = msgspec.to_builtins(exchange)
    elif OUTPUT.exists():
        data["exchange"] = json.loads(OUTPUT.read_text()).get("exchange", [])
    OUTPUT.write_text(json.dumps(data, indent=1) + "\n")
    for slope in slopes:
        print(f"{slope.name}: {slope.value:.4g} {slope.unit}")


if __name__ == "__main__":
    main()
