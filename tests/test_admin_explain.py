"""Explanations of routes by the product's own administration API."""

import json
import os

import pytest

from plantainctl import main as tool
from plantainwood.adminexplain import explain_query
from plantainwood.core import events as ev
from plantainwood.core.errors import RequestError
from plantainwood.explainquery import FieldError
from standins.fleet import ADMIN_KEY, Fleet
from tests.catalogues import make_catalogue
from tests.test_node import PEERS, make_node
from tests.test_settings import VALID_SETTINGS

QUERY = {"customer": "norte", "model": "rounds", "class": "hint"}


def make_serving_node(peers: str = ""):
    """Return a node that has the small catalogue."""
    node = make_node(VALID_SETTINGS + peers)
    node.catalogue = make_catalogue()
    node.catalogue.revision = 1
    node.broker.dispatcher.apply_catalogue(node.catalogue)
    return node


def test_the_explained_engine_gets_the_next_request():
    node = make_serving_node()
    for number in range(5):
        found = explain_query(node, QUERY)
        assert found["admitted"] and found["tier"] == 0
        assert found == explain_query(node, QUERY)
        arrival = ev.Arrival(f"r{number}", "norte", "hint", "model/rounds")
        dispatch = node.broker.dispatcher.decide(arrival, node.clock.now_ms())[-1]
        assert dispatch.upstream == found["upstream"]


def test_a_node_that_may_be_cut_off_would_refuse():
    found = explain_query(make_serving_node(PEERS), QUERY)
    assert not found["admitted"] and found["refusal"]["code"] == "isolated"


@pytest.mark.parametrize(
    "changes, status, field",
    [
        ({"customer": ""}, 400, "customer"),
        ({"class": ""}, 400, "class"),
        ({"model": ""}, 400, "model"),
        ({"service": "booking"}, 400, "model"),
        ({"some-key": "x"}, 400, "query"),
        ({"model": "other"}, 404, ""),
        ({"customer": "a-key"}, 404, ""),
        ({"class": "other"}, 403, ""),
    ],
)
def test_invalid_and_unknown_names_are_errors(changes, status, field):
    with pytest.raises(RequestError) as caught:
        explain_query(make_serving_node(), {**QUERY, **changes})
    assert caught.value.status == status
    assert "key" not in caught.value.message
    if field:
        assert isinstance(caught.value, FieldError) and caught.value.field == field


# Guards against an address that answers without the administration key, and against a
# tool that asks for something that the API does not know.
def test_the_tool_asks_the_administration_api(capsys, monkeypatch):
    fleet = Fleet(nodes=1, engines=2)
    try:
        fleet.start()
        fleet.load_catalogue()
        catalogue = fleet.make_catalogue()
        customer = sorted(catalogue["customers"])[0]
        arguments = ["--model", sorted(catalogue["models"])[0], "--customer", customer]
        arguments += ["--class", catalogue["customers"][customer]["classes"][0]]
        monkeypatch.setenv(tool.KEY_VARIABLE, ADMIN_KEY)
        monkeypatch.setitem(
            os.environ, tool.ADDRESS_VARIABLE, fleet.url(f"{fleet.nodes[0]}/admin")
        )

        def explain(*more: str) -> int:
            command = ["plantainctl", "route", "explain", *arguments, *more]
            return tool.main(tool.parse_flags(command))

        assert explain("--json") == tool.EXIT_OK
        found = json.loads(capsys.readouterr().out)
        assert found["admitted"] and len(found["candidates"]) == 2
        assert explain("--service", "booking") == tool.EXIT_USAGE
        assert explain("--path", "/x") == tool.EXIT_USAGE
        monkeypatch.setenv(tool.KEY_VARIABLE, "wrong")
        assert explain() == tool.EXIT_REFUSED
    finally:
        fleet.stop()
