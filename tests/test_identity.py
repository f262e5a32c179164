"""Points 3 and 4 of PROOFS.md: the key decides the customer and is not passed on."""

import base64
import http.client
import json
import urllib.request

import pytest

from standins.fleet import ADMIN_KEY, Fleet, call, wait_until
from tests.calls import CHAT_PATH, make_chat, send, send_booking


@pytest.fixture(scope="module")
def fleet():
    """Run a fleet that writes usage to the store often and its spans to its logs."""
    running = Fleet(
        nodes=2,
        engines=2,
        duties={"usage_flush_ms": 200},
        traces={"exporter": "console"},
    )
    try:
        running.start()
        running.load_catalogue()
        yield running
    finally:
        running.stop()


def read_usage(fleet: Fleet) -> dict[str, int]:
    """Return the tokens that the store has counted for each customer."""
    tokens: dict[str, int] = {}
    for row in fleet.admin("GET", "/admin/usage")["usage"]:
        customer = row["line"].split("/")[1]
        tokens[customer] = tokens.get(customer, 0) + row["tokens"]
    return tokens


def test_requests_on_one_connection_count_for_the_customer_of_their_key(fleet):
    keys = {name: fleet.grant(name)[0] for name in ("norte-walkers", "sur-walkers")}
    others = {"norte-walkers": "sur-walkers", "sur-walkers": "norte-walkers"}
    connection = http.client.HTTPConnection("127.0.0.1", fleet.ports["vm-1/callers"])
    for turn in range(6):
        customer = sorted(keys)[turn % 2]
        headers = {
            "Authorization": f"Bearer {keys[customer]}",
            "X-Customer": others[customer],
        }
        tokens = 3 if customer == "norte-walkers" else 5
        body = make_chat(f"{customer} {turn}", tokens=tokens)
        connection.request("POST", CHAT_PATH, body, headers)
        answer = json.loads(connection.getresponse().read())
        assert answer["usage"]["completion_tokens"] == tokens
    connection.close()
    expected = {"norte-walkers": 9, "sur-walkers": 15}
    wait_until(lambda: read_usage(fleet) == expected)


def test_a_key_reaches_no_upstream_log_metric_or_stored_item(fleet):
    key = fleet.grant()[0]
    secret = key.rpartition("_")[2].encode()
    send(fleet, CHAT_PATH, make_chat(), key, X_Api_Key=key, Cookie=f"k={key}")
    send(fleet, CHAT_PATH, make_chat(stream=True), key, traceparent=f"00-{key}-1-01")
    assert send_booking(fleet, key, "round 3").status == 200
    in_body = send(fleet, CHAT_PATH, make_chat(f"my key is {key}"), key)
    assert in_body.get_error()["code"] == "bad_request"
    path = f"/services/booking/rounds?api_key={key}"
    in_query = send(fleet, path, b"", key, Idempotency_Key="q", Service_Class="booking")
    assert in_query.get_error()["code"] == "bad_request"
    wait_until(lambda: '"name": "relay"' in fleet.read_log("vm-1"))
    for name in (*fleet.engines, "plain"):
        with urllib.request.urlopen(fleet.url(name) + "/received") as response:
            assert secret not in response.read(), f"{name} received the key"
    for name in fleet.nodes:
        assert secret not in fleet.read_log(name).encode(), f"{name} logged the key"
        request = urllib.request.Request(fleet.url(f"{name}/admin") + "/metrics")
        request.add_header("Authorization", f"Bearer {ADMIN_KEY}")
        with urllib.request.urlopen(request) as response:
            assert secret not in response.read()
    full_range = {
        "key": base64.b64encode(b"\x01").decode(),
        "range_end": base64.b64encode(b"\xff").decode(),
    }
    stored = call("POST", fleet.url("keyvalue") + "/v3/kv/range", full_range)
    assert int(stored["count"]) > 0
    for item in stored["kvs"]:
        assert secret not in base64.b64decode(item["value"])
        assert secret not in base64.b64decode(item["key"])


def test_a_caller_that_goes_away_cancels_its_upstream_work(fleet):
    key = fleet.grant()[0]
    fleet.control("engine-1", token_ms=20)
    fleet.control("engine-2", token_ms=20)
    connection = http.client.HTTPConnection("127.0.0.1", fleet.ports["vm-1/callers"])
    headers = {"Authorization": f"Bearer {key}"}
    connection.request("POST", CHAT_PATH, make_chat("long", True, 1_000), headers)
    connection.getresponse().read1(10)
    connection.close()

    def count_cancelled() -> int:
        stats = [call("GET", fleet.url(name) + "/stats") for name in fleet.engines]
        return sum(item["cancelled"] for item in stats)

    assert wait_until(count_cancelled) == 1
