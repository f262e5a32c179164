"""A small catalogue for tests of the pure core."""

from plantainwood.core.catalogue import (
    Catalogue,
    Change,
    apply_changes,
    check_catalogue,
)

TIERS = {"hint": 0, "question": 1, "plan": 3, "booking": 0, "answer": 2}
CLASSES = sorted(TIERS)
CUSTOMERS = ["norte", "sur", "oeste"]
ENGINES = {
    "e1": ("ba-norte", False),
    "e2": ("ba-norte", False),
    "e3": ("ba-oeste", False),
    "e4": ("ba-sur", True),
    "e5": ("ba-sur", True),
}


def make_changes(slots: int = 2) -> list[Change]:
    """Return the changes that build the small catalogue."""
    changes: list[Change] = []
    for name, tier in TIERS.items():
        body: dict = {"owner": "paseos", "tier": tier, "queue_timeout_ms": 20_000}
        body["repeatable"] = name != "booking"
        changes.append(Change("classes", name, body))
    for name in CUSTOMERS:
        body = {"owner": "paseos", "classes": CLASSES}
        changes.append(Change("customers", name, body))
    changes.append(Change("models", "rounds", {"owner": "paseos"}))
    for name, (domain, cheap) in ENGINES.items():
        body = {
            "owner": "paseos",
            "kind": "engine",
            "address": f"http://{name}",
            "domain": domain,
            "models": ["rounds"],
            "slots": slots,
            "cheap": cheap,
        }
        changes.append(Change("upstreams", name, body))
    return changes


def make_catalogue(slots: int = 2) -> Catalogue:
    """Return the small catalogue at its first revision."""
    catalogue = apply_changes(Catalogue(), make_changes(slots), "first")
    assert check_catalogue(catalogue) == []
    return catalogue
