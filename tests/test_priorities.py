"""Tiers of requests, from the priorities of their routes and customers."""

import msgspec

from bridge.config import decode_config, make_route_table
from bridge.requests import find_route_and_customer, make_call
from plantainwood.core.loads import TIERS

ROUTES = {"urgent": 0, "question": 1, "plan": 2}
HOST = "front.example"


def make_tiers(
    customers: dict[str, int | None], routes: dict[str, int]
) -> dict[tuple[str, str], int]:
    """Return the tier of a request of each customer on each route."""
    config = {
        "version": 1,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": "stream",
                "timeoutMs": 3_000,
                "targetLatencyMs": 400,
                "priority": priority,
                "service": "pool",
                "attempts": 2,
                "public": False,
            }
            for name, priority in routes.items()
        ],
        "services": [{"name": "pool", "healthPath": "/health"}],
        "tenants": [
            {"name": name, "apiKeys": [f"key-{name}"], "priority": priority}
            for name, priority in customers.items()
        ],
    }
    table = make_route_table(decode_config(msgspec.json.encode(config)))
    found: dict[tuple[str, str], int] = {}
    for customer in customers:
        for route in routes:
            headers = [
                (b"Request-Id", b"r-1"),
                (b"Authorization", f"Token key-{customer}".encode()),
            ]
            target = f"/{route}/x"
            matched = find_route_and_customer(table, HOST, target, headers)
            call = make_call(*matched, "POST", target, headers, b"b", 0, "r-1.1")
            found[customer, route] = call.tier
    return found


# Guards against customers' priorities that make all their routes equal (TIER).
def test_routes_differ_in_urgency_though_all_customers_have_one_priority():
    tiers = make_tiers({"norte": 1, "sur": 1}, ROUTES)
    for customer in ("norte", "sur"):
        assert tiers[customer, "urgent"] < tiers[customer, "question"]
        assert tiers[customer, "question"] < tiers[customer, "plan"]
    assert tiers["norte", "plan"] == tiers["sur", "plan"]


def test_a_customers_priority_goes_before_that_of_the_route():
    tiers = make_tiers({"norte": 0, "sur": 1}, ROUTES)
    assert tiers["norte", "plan"] < tiers["sur", "urgent"]


def test_a_customer_without_a_priority_has_that_of_the_route():
    tiers = make_tiers({"norte": 1, "sur": None}, ROUTES)
    assert tiers["sur", "urgent"] < tiers["norte", "urgent"]
    assert tiers["norte", "plan"] < tiers["sur", "plan"]


def test_many_priorities_keep_their_order_within_the_tiers_there_are():
    customers = {f"c{number}": number for number in range(5)}
    routes = {f"r{number}": number for number in range(5)}
    tiers = make_tiers(customers, routes)
    ordered = sorted(tiers, key=lambda pair: (customers[pair[0]], routes[pair[1]]))
    values = [tiers[pair] for pair in ordered]
    assert values == sorted(values)
    assert min(values) == 0 and max(values) < TIERS
    assert len(set(values)) > TIERS / 2
