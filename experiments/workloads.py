"""Two simulated workloads as request arrivals in virtual time."""

import random

import msgspec

from plantainwood.core.catalogue import Catalogue, Change, apply_changes

ENGINES_PER_DOMAIN = {"paseos": (2, 2, 1), "enigma": (2, 1, 1, 1)}
SLOTS = 8
TOKEN_MS = 30.0
CUSTOMERS = 10
POOL = "model/main"
LONG_QUEUE_TIMEOUT_MS = 600_000


class RequestClass(msgspec.Struct, frozen=True):
    """One class of requests: its tier, share of all tokens, and answer lengths."""

    name: str
    tier: int
    token_share: float
    min_tokens: int
    max_tokens: int
    target_ms: int
    """Target for the first token; in the lowest tiers, enough for a whole answer."""
    queue_timeout_ms: int


WORKLOADS = {
    "paseos": (
        RequestClass("hint", 0, 0.30, 15, 60, 600, 10_000),
        RequestClass("question", 1, 0.30, 60, 200, 2_000, 15_000),
        RequestClass("plan", 3, 0.40, 200, 800, 60_000, LONG_QUEUE_TIMEOUT_MS),
    ),
    "enigma": (
        RequestClass("final-hint", 0, 0.15, 20, 80, 600, 10_000),
        RequestClass("hint", 1, 0.35, 100, 400, 1_000, 10_000),
        RequestClass("check", 2, 0.15, 5, 30, 2_000, 15_000),
        RequestClass("narration", 3, 0.35, 200, 600, 20_000, LONG_QUEUE_TIMEOUT_MS),
    ),
}


class Job(msgspec.Struct, frozen=True):
    """One request: its arrival time, customer, class and answer length in tokens.

    If `crashes_engine` is set, it crashes the engine that runs it.
    """

    at_ms: int
    name: str
    customer: str
    request_class: RequestClass
    tokens: int
    crashes_engine: bool = False


def make_engine_name(domain: int, index: int) -> str:
    """Return the name of an engine by its failure domain and index."""
    return f"d{domain}-e{index}"


def make_catalogue(workload: str) -> Catalogue:
    """Return the catalogue of a workload; the last failure domain is cheap."""
    changes: list[Change] = []
    for request_class in WORKLOADS[workload]:
        body: dict = {"owner": workload, "tier": request_class.tier}
        body["queue_timeout_ms"] = request_class.queue_timeout_ms
        body["first_token_ms"] = request_class.target_ms
        changes.append(Change("classes", request_class.name, body))
    names = [request_class.name for request_class in WORKLOADS[workload]]
    for number in range(CUSTOMERS):
        body = {"owner": workload, "classes": names}
        body |= {"requests_per_s": 1e6, "tokens_per_s": 1e9, "concurrent": 10**6}
        changes.append(Change("customers", f"c{number}", body))
    changes.append(Change("models", "main", {"owner": workload}))
    counts = ENGINES_PER_DOMAIN[workload]
    for domain, count in enumerate(counts):
        for index in range(count):
            name = make_engine_name(domain, index)
            body = {
                "owner": workload,
                "kind": "engine",
                "address": f"http://{name}",
                "domain": f"d{domain}",
                "models": ["main"],
                "slots": SLOTS,
                "cheap": domain == len(counts) - 1,
            }
            changes.append(Change("upstreams", name, body))
    return apply_changes(Catalogue(), changes, "first")


def make_jobs(workload: str, load: float, length_ms: int, seed: int) -> list[Job]:
    """Return requests that need `load` times the capacity in tokens.

    Customer 0 sends nearly half of all, customer 1 a fifth; the others share the rest.
    """
    generator = random.Random(seed)
    engines = sum(ENGINES_PER_DOMAIN[workload])
    tokens_per_ms = engines * SLOTS / TOKEN_MS / 1.2 * load
    weights = [45.0, 20.0] + [35.0 / (CUSTOMERS - 2)] * (CUSTOMERS - 2)
    jobs: list[Job] = []
    for request_class in WORKLOADS[workload]:
        mean_tokens = (request_class.min_tokens + request_class.max_tokens) / 2
        requests_per_ms = tokens_per_ms * request_class.token_share / mean_tokens
        at_ms = generator.expovariate(requests_per_ms)
        while at_ms < length_ms:
            customer = generator.choices(range(CUSTOMERS), weights)[0]
            tokens = generator.randint(
                request_class.min_tokens, request_class.max_tokens
            )
            name = f"{request_class.name}-{len(jobs)}"
            jobs.append(Job(int(at_ms), name, f"c{customer}", request_class, tokens))
            at_ms += generator.expovariate(requests_per_ms)
    return sorted(jobs, key=lambda job: job.at_ms)


def add_burst(
    jobs: list[Job], request_class: RequestClass, length_ms: int, seed: int
) -> list[Job]:
    """Repeat all requests of one class at random times within a tenth of the run."""
    generator = random.Random(seed)
    added: list[Job] = []
    for job in jobs:
        if job.request_class is not request_class:
            continue
        at_ms = int(length_ms * generator.uniform(0.4, 0.5))
        name = f"burst-{job.name}"
        added.append(Job(at_ms, name, job.customer, request_class, job.tokens))
    return sorted(jobs + added, key=lambda job: job.at_ms)
