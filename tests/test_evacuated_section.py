"""The catalogue's list of evacuated failure domains, on the product's own interface."""

import time

import msgspec
import pytest
import yaml

from plantainwood.catalogue_texts import CatalogueTextError, parse_catalogue
from plantainwood.core.catalogue import (
    Catalogue,
    Change,
    Document,
    Entry,
    apply_changes,
    decode_document,
    diff_catalogue,
    encode_catalogue,
    find_conflicts,
    make_delta,
    merge_document,
)
from plantainwood.core.clock import VirtualClock
from plantainwood.core.evacuations import RETURN_RAMP_MS
from plantainwood.duties import OrderIssuer
from plantainwood.metrics import Metrics
from plantainwood.node import Node
from plantainwood.settings import parse_settings
from standins.fleet import Fleet
from tests.calls import CHAT_PATH, make_chat, send
from tests.catalogues import make_catalogue
from tests.test_settings import ENVIRONMENT, VALID_SETTINGS

TEXT = "evacuated: [ba-norte]\n"
BOUND_S = 5.0


class EarlierDocument(msgspec.Struct, frozen=True):
    """A document as earlier builds know it."""

    revision: int
    base: int
    floor: int
    change_ids: tuple[str, ...]
    entries: list[Entry]


def evacuate(catalogue: Catalogue, text: str = TEXT) -> Catalogue:
    """Return the next catalogue, in which a file's list is in force."""
    wanted = parse_catalogue(text).sections.get("evacuated", {})
    changes: list[Change] = []
    for change in diff_catalogue(catalogue, {"evacuated": wanted}):
        if change.section == "evacuated":
            changes.append(change)
    return apply_changes(catalogue, changes, "next")


def test_a_list_is_in_force_with_its_revision_until_it_is_removed():
    first = make_catalogue()
    second = evacuate(first)
    assert first.evacuated == {}
    assert second.evacuated == {"ba-norte": second.revision}
    assert evacuate(second, "evacuated: []\n").evacuated == {}
    assert evacuate(second, "").evacuated == {}


def test_documents_and_deltas_carry_the_list_and_its_end():
    first = make_catalogue()
    second = evacuate(first)
    third = evacuate(second, "")
    whole = merge_document(Catalogue(), decode_document(encode_catalogue(second)))
    assert whole.evacuated == second.evacuated
    merged = merge_document(first, make_delta(second, first.revision))
    assert merged.evacuated == second.evacuated
    merged = merge_document(merged, make_delta(third, second.revision))
    assert merged.evacuated == {}


# Guards against a document that earlier builds refuse, for its unknown section.
def test_earlier_builds_read_the_rest_of_a_document():
    catalogue = evacuate(make_catalogue())
    document = msgspec.json.decode(encode_catalogue(catalogue), type=EarlierDocument)
    assert {entry.section for entry in document.entries} == {
        "classes",
        "customers",
        "models",
        "upstreams",
    }
    earlier = msgspec.json.encode(
        EarlierDocument(1, 0, 0, (), list(make_catalogue().entries.values()))
    )
    assert msgspec.json.decode(earlier, type=Document).evacuated == []


def test_an_edit_of_an_older_file_does_not_end_an_evacuation():
    first = make_catalogue()
    second = evacuate(first)
    changes = [Change("evacuated", "ba-norte", None)]
    assert find_conflicts(second, changes, first.revision)


@pytest.mark.parametrize(
    "value", ["5", "[5]", "ba-norte", "[[a]]", "{a: {b: 1}}", '[""]']
)
def test_a_malformed_list_is_refused_with_its_line(value):
    with pytest.raises(CatalogueTextError) as caught:
        parse_catalogue(f"\nevacuated: {value}\n")
    assert caught.value.problems[0].startswith("line 2: evacuated")


# Guards against engines that an evacuation of seconds stops, or orders there.
def test_engines_of_an_evacuated_domain_are_neither_started_nor_stopped():
    clock = VirtualClock(10_000)
    node = Node(parse_settings(VALID_SETTINGS, ENVIRONMENT), clock, Metrics())
    node.catalogue = evacuate(make_catalogue())
    issuer = OrderIssuer(node, lambda name, message: None)

    def list_names() -> set[str]:
        states = issuer._list_upstream_states("rounds", clock.now_ms())
        return {state.name for state in states}

    assert list_names() == {"e1", "e2", "e3", "e4", "e5"}
    node._apply_evacuations(node.catalogue)
    assert list_names() == {"e3", "e4", "e5"}
    node._apply_evacuations(make_catalogue())
    assert list_names() == {"e3", "e4", "e5"}
    clock.advance(RETURN_RAMP_MS)
    assert len(list_names()) == 5


def count_requests(fleet: Fleet, key: str) -> int:
    """Send some requests and return how many were answered with 200."""
    answered = 0
    for number in range(12):
        node = fleet.nodes[number % len(fleet.nodes)]
        response = send(fleet, CHAT_PATH, make_chat(f"n{number}"), key, node)
        answered += response.status == 200
    return answered


# Guards against an evacuation that only the platform's interface knows.
def test_a_fleet_sends_nothing_to_an_evacuated_domain_and_shows_it():
    fleet = Fleet(nodes=2, engines=4)
    try:
        fleet.start()
        fleet.load_catalogue()
        key, _ = fleet.grant()
        rows = fleet.admin("GET", "/admin/upstreams")["upstreams"]
        domain = next(row["domain"] for row in rows if row["upstream"] != "booking-1")
        wanted = {**fleet.make_catalogue(), "evacuated": [domain]}
        revision = apply(fleet, wanted)
        for node in fleet.nodes:
            status = fleet.admin("GET", "/admin/status", node=node)
            assert status["evacuated"] == {domain: revision}
            rows = fleet.admin("GET", "/admin/upstreams", node=node)["upstreams"]
            for row in rows:
                expected = revision if row["domain"] == domain else 0
                assert row["evacuated_at"] == expected
            assert "domain_evacuated" in fleet.read_log(node)
        shown = fleet.admin("GET", "/admin/catalogue")
        assert shown["evacuated"] == [domain]
        assert count_requests(fleet, key) == 12
        assert count_used(fleet, domain) == 0
        apply(fleet, fleet.make_catalogue())
        assert fleet.admin("GET", "/admin/status")["evacuated"] == {}
    finally:
        fleet.stop()


def apply(fleet: Fleet, wanted: dict) -> int:
    """Apply a catalogue and wait until it is in force; return its revision."""
    body = {"text": yaml.safe_dump(wanted), "author": "test"}
    body["base_revision"] = fleet.admin("GET", "/admin/status")["revision"]
    revision = fleet.admin("POST", "/admin/catalogue", body)["revision"]
    began_s = time.monotonic()
    fleet.wait_until_in_force(revision)
    assert time.monotonic() - began_s < BOUND_S
    return revision


def count_used(fleet: Fleet, domain: str) -> int:
    """Return how many upstreams of a domain have given a first token to some node."""
    used = 0
    for node in fleet.nodes:
        for row in fleet.admin("GET", "/admin/upstreams", node=node)["upstreams"]:
            used += row["domain"] == domain and row["first_token_ms"] > 0
    return used
