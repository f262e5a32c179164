"""Benchmark of the latency that a daemon adds and of one process's capacity.

Writes docs/measurements/bench.md and bench.json. All load goes to loopback and is
bounded.
"""

import asyncio
import json
import time
from pathlib import Path

import aiohttp
import msgspec

from experiments.figures import compute_percentile, render_markdown
from experiments.processes import read_cpu_s, read_rss_mb
from standins.fleet import Fleet

OUTPUT = Path(__file__).resolve().parent.parent / "docs/measurements/bench.md"
DATA = OUTPUT.with_suffix(".json")
CHAT_PATH = "/v1/chat/completions"
SLOTS = 700
MIN_SAMPLES = 32


class Sample(msgspec.Struct):
    """Time to the first token and between tokens of one streamed request, in ms."""

    first_ms: float
    between_ms: list[float]


class LoadResult(msgspec.Struct):
    """Samples of one load run and its duration."""

    samples: list[Sample]
    duration_s: float

    def compute_first_ms(self, percent: int) -> float:
        """Return a percentile of the time to the first token in ms."""
        return compute_percentile([item.first_ms for item in self.samples], percent)

    def compute_between_ms(self, percent: int) -> float:
        """Return a percentile of the time between tokens in ms."""
        gaps: list[float] = []
        for item in self.samples:
            gaps.extend(item.between_ms)
        return compute_percentile(gaps, percent)

    def compute_tokens_per_s(self) -> float:
        """Return the mean number of tokens received per second."""
        tokens = sum(len(item.between_ms) + 1 for item in self.samples)
        return tokens / self.duration_s


async def time_stream(
    session: aiohttp.ClientSession, url: str, key: str, number: int, tokens: int
) -> Sample:
    """Send one streamed request and time its tokens."""
    body = {
        "model": "rounds",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"request {number}"}],
    }
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    start = time.perf_counter()
    times: list[float] = []
    async with session.post(url + CHAT_PATH, json=body, headers=headers) as response:
        response.raise_for_status()
        async for line in response.content:
            if b'"content"' in line:
                times.append(time.perf_counter())
    gaps = [(b - a) * 1_000 for a, b in zip(times, times[1:], strict=False)]
    return Sample((times[0] - start) * 1_000, gaps)


async def run_load(
    url: str, key: str, streams: int, rounds: int, tokens: int, stagger_s: float = 0.0
) -> LoadResult:
    """Run concurrent streams that each send `rounds` requests, one after the other.

    The starts of the streams are spread over `stagger_s` seconds.
    """

    async def run_stream(number: int) -> list[Sample]:
        await asyncio.sleep(stagger_s * number / streams)
        samples: list[Sample] = []
        for round_number in range(rounds):
            unique = number * 1_000 + round_number
            samples.append(await time_stream(session, url, key, unique, tokens))
        return samples

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = time.perf_counter()
        results = await asyncio.gather(*(run_stream(n) for n in range(streams)))
        duration_s = time.perf_counter() - start
    samples = [sample for result in results for sample in result]
    return LoadResult(samples, duration_s)


def measure_added_latency(
    fleet: Fleet, key: str, streams: int, token_ms: float
) -> list:
    """Return a table row of the latency that the daemon adds at `streams` streams."""
    fleet.control("engine-1", token_ms=token_ms)
    runs: list[LoadResult] = []
    for url, sent_key in (
        (fleet.url("engine-1"), ""),
        (fleet.url("vm-1/callers"), key),
    ):
        rounds = max(4, MIN_SAMPLES // streams)
        stagger_s = token_ms * 40 / 1_000
        load = asyncio.run(run_load(url, sent_key, streams, rounds, 40, stagger_s))
        runs.append(load)
    direct, routed = runs
    row: list = [streams, round(routed.compute_tokens_per_s())]
    for percent in (50, 95, 99):
        row.append(routed.compute_first_ms(percent) - direct.compute_first_ms(percent))
    for percent in (50, 95, 99):
        row.append(
            routed.compute_between_ms(percent) - direct.compute_between_ms(percent)
        )
    return row


def measure_capacity(fleet: Fleet, key: str) -> list[list]:
    """Return throughput and CPU use of one daemon while the engine adds no delay."""
    pid = fleet.processes["vm-1"].pid
    rows: list[list] = []
    for streams, tokens, rounds in ((64, 1, 30), (32, 200, 3)):
        fleet.control("engine-1", token_ms=0)
        before = read_cpu_s(pid)
        load = asyncio.run(
            run_load(fleet.url("vm-1/callers"), key, streams, rounds, tokens)
        )
        cpu_s = read_cpu_s(pid) - before
        requests = len(load.samples)
        rows.append(
            [
                f"{tokens} tokens an answer",
                round(requests / load.duration_s),
                round(load.compute_tokens_per_s()),
                cpu_s / load.duration_s * 100,
                cpu_s / requests * 1e6,
                cpu_s / (requests * tokens) * 1e6,
            ]
        )
    return rows


def measure_memory(fleet: Fleet, key: str) -> list:
    """Return idle memory, peak with 500 open streams (MB), and kB per stream."""
    pid = fleet.processes["vm-1"].pid
    fleet.control("engine-1", token_ms=250)
    before = read_rss_mb(pid)
    peak = before

    async def run() -> None:
        nonlocal peak
        url = fleet.url("vm-1/callers")
        task = asyncio.create_task(run_load(url, key, 500, 1, 20, 1.0))
        while not task.done():
            await asyncio.sleep(0.2)
            peak = max(peak, read_rss_mb(pid))
        await task

    asyncio.run(run())
    return [before, peak, (peak - before) * 1_000 / 500]


def main() -> None:
    """Run all measurements and write bench.md and bench.json."""
    fleet = Fleet(nodes=1, engines=1, slots=SLOTS)
    try:
        fleet.start()
        fleet.load_catalogue()
        key, _ = fleet.grant()
        latency = [measure_added_latency(fleet, key, n, 20) for n in (1, 8, 24, 48)]
        capacity = measure_capacity(fleet, key)
        memory = measure_memory(fleet, key)
    finally:
        fleet.stop()
    names = ["streams", "tokens/s", "first p50", "p95", "p99"]
    names += ["between p50", "p95", "p99"]
    text = [
        "# Benchmark of one daemon",
        "",
        "Made by `make bench`; client, engine stand-in and daemon share one machine.",
        "",
        "## Added latency, in ms (through the daemon, less directly to the engine)",
        "",
        render_markdown(names, latency),
        "",
        "## What one process carries",
        "",
        render_markdown(
            [
                "load",
                "requests/s",
                "tokens/s",
                "% of a core",
                "us a request",
                "us a token",
            ],
            capacity,
        ),
        "",
        "## Memory, in MB",
        "",
        render_markdown(["idle", "500 open streams", "kB a stream"], [memory]),
        "",
    ]
    OUTPUT.write_text("\n".join(text))
    print("\n".join(text))
    data = {"latency": latency, "capacity": capacity, "memory": memory}
    DATA.write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    main()
