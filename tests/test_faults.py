"""Faults of real processes: kills, freezes, cuts, lost replies, outages, shutdowns."""

import json
import signal
import threading
import urllib.error

import pytest
import yaml

from standins.fleet import ADMIN_KEY, Fleet, call, wait_until
from tests.calls import CHAT_PATH, StreamedChat, make_chat, send, send_booking

DUTIES = {
    "lease_term_ms": 3_000,
    "lease_margin_ms": 500,
    "billing_window_ms": 3_000,
    "billing_grace_ms": 1_500,
    "usage_copy_ms": 200,
    "usage_flush_ms": 500,
}


@pytest.fixture
def fleet():
    """Run a fleet of its own for each test."""
    running = Fleet(nodes=3, engines=3, duties=DUTIES)
    try:
        running.start()
        running.load_catalogue()
        yield running
    finally:
        running.stop()


def test_a_withdrawn_key_ends_a_running_stream(fleet):
    key, key_id = fleet.grant()
    streams = [StreamedChat(fleet, key, node, 3_000, node) for node in fleet.nodes]
    for stream in streams:
        assert stream.started.wait(20)
    fleet.admin("POST", f"/admin/keys/{key_id}/withdraw", {})
    for stream in streams:
        tokens = stream.wait_for_indexes()
        assert tokens == list(range(len(tokens)))
        assert len(tokens) < 3_000
        last = stream.body.strip().splitlines()[-1]
        error = json.loads(last.removeprefix(b"data: "))["error"]
        assert (error["code"], error["outcome"]) == ("key_withdrawn", "unknown")
    assert (
        send(fleet, CHAT_PATH, make_chat(), key).get_error()["code"] == "key_withdrawn"
    )


def test_a_graceful_shutdown_cuts_no_request(fleet):
    key, _ = fleet.grant()
    streams = [StreamedChat(fleet, key, f"s{n}", 200, "vm-2") for n in range(6)]
    for stream in streams:
        assert stream.started.wait(20)
    fleet.kill("vm-2", signal.SIGTERM)
    during = send(fleet, CHAT_PATH, make_chat("held address"), key, "vm-2")
    assert during.status == 200, "a caller that still uses the address was refused"
    for stream in streams:
        assert stream.wait_for_indexes() == list(range(200))
        assert stream.body.endswith(b"data: [DONE]\n\n")
    assert fleet.processes["vm-2"].wait(30) == 0
    with pytest.raises(urllib.error.URLError):
        send(fleet, CHAT_PATH, make_chat(), key, "vm-2")


def test_streams_of_a_killed_engine_lose_no_token(fleet):
    key, _ = fleet.grant()
    streams = [StreamedChat(fleet, key, f"s{n}", 150) for n in range(6)]
    for stream in streams:
        assert stream.started.wait(20)
    fleet.kill("engine-1")
    for stream in streams:
        assert stream.wait_for_indexes() == list(range(150))


def test_streams_that_are_cut_or_garbled_are_resumed(fleet):
    key, _ = fleet.grant()
    fleet.control("engine-1", cut_after=5)
    fleet.control("engine-2", garbage=True)
    for number in range(6):
        stream = StreamedChat(fleet, key, f"s{number}", 20)
        assert stream.wait_for_indexes() == list(range(20))


def test_a_booking_sent_to_all_vms_at_once_runs_once(fleet):
    key, _ = fleet.grant()
    fleet.control("plain", token_ms=300)
    fleet.control("keyvalue", lose_replies=2)
    responses = []
    threads = []

    def send_and_record(vm: str) -> None:
        responses.append(send_booking(fleet, key, "r", vm))

    for node in fleet.nodes * 2:
        threads.append(threading.Thread(target=send_and_record, args=(node,)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(responses) == 6
    runs = call("GET", fleet.url("plain") + "/runs")
    assert runs.get("r", 0) <= 1
    for response in responses:
        if response.status == 200:
            assert runs["r"] == 1
        else:
            assert response.get_error()["code"] in ("in_progress", "claim_unavailable")


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_a_booking_whose_reply_is_lost_is_unknown_and_never_repeated(fleet, method):
    key, _ = fleet.grant()
    fleet.control("plain", lose_replies=1)
    first = send_booking(fleet, key, "r", method=method)
    assert first.get_error()["outcome"] == "unknown"
    for node in fleet.nodes:
        again = send_booking(fleet, key, "r", node, method)
        assert again.get_error()["outcome"] == "unknown"
    assert call("GET", fleet.url("plain") + "/runs") == {"r": 1}


def test_a_store_outage_refuses_bookings_but_not_chat_requests(fleet):
    """Serve chat requests and refuse bookings as not run while the store is down.

    A VM that restarts during the outage gets the catalogue from its peers.
    """
    key, _ = fleet.grant()
    fleet.control("keyvalue", down=True)
    refused = send_booking(fleet, key, "r")
    assert refused.get_error()["code"] == "claim_unavailable"
    assert refused.get_error()["outcome"] == "not_run"
    assert "Retry-After" in refused.headers
    assert send(fleet, CHAT_PATH, make_chat(), key).status == 200
    fleet.kill("vm-3")
    fleet.processes["vm-3"].wait()
    fleet.start_node("vm-3")
    fleet.wait_until_listening("vm-3")
    assert wait_until(
        lambda: send(fleet, CHAT_PATH, make_chat(), key, "vm-3").status == 200
    )
    fleet.control("keyvalue", down=False)
    assert wait_until(lambda: send_booking(fleet, key, "r").status == 200)
    assert call("GET", fleet.url("plain") + "/runs") == {"r": 1}


def test_an_isolated_vm_refuses_requests_and_ends_streams(fleet):
    key, _ = fleet.grant()
    stream = StreamedChat(fleet, key, "long", 4_000)
    assert stream.started.wait(20)
    fleet.control("keyvalue", down=True)
    for node in ("vm-2", "vm-3"):
        fleet.kill(node, signal.SIGSTOP)

    def is_isolated() -> bool:
        response = send(fleet, CHAT_PATH, make_chat(), key)
        return response.status == 503 and response.get_error()["code"] == "isolated"

    assert wait_until(is_isolated, 30)
    stream.wait_for_indexes()
    assert b'"isolated"' in stream.body
    for node in ("vm-2", "vm-3"):
        fleet.kill(node, signal.SIGCONT)
    assert wait_until(
        lambda: send(fleet, CHAT_PATH, make_chat(), key).status == 200, 30
    )


def read_reports(fleet: Fleet) -> dict[tuple[str, int], set[str]]:
    """Return the distinct report bodies by firm and window."""
    found: dict[tuple[str, int], set[str]] = {}
    for text in call("GET", fleet.url("platform") + "/taken")["reports"]:
        body = json.loads(text)
        found.setdefault((body["firm"], body["window"]), set()).add(text)
    return found


def sum_tokens(fleet: Fleet) -> int:
    """Return the sum of the reported tokens, counting each window once."""
    total = 0
    for texts in read_reports(fleet).values():
        for line in json.loads(next(iter(texts)))["lines"].values():
            total += line[2]
    return total


def test_usage_is_reported_once_despite_lost_replies_and_a_frozen_holder(fleet):
    key, _ = fleet.grant()
    fleet.control("platform", lose_replies=2)
    holder = wait_until(lambda: fleet.find_holder("billing", fleet.nodes))
    other_nodes = [node for node in fleet.nodes if node != holder]
    for node in other_nodes:
        assert send(fleet, CHAT_PATH, make_chat(tokens=30), key, node).status == 200
    fleet.kill(holder, signal.SIGSTOP)
    assert wait_until(lambda: fleet.find_holder("billing", other_nodes), 40)
    fleet.kill(holder, signal.SIGCONT)
    assert wait_until(lambda: sum_tokens(fleet) == 60, 40)
    assert all(len(texts) == 1 for texts in read_reports(fleet).values())


def test_usage_of_a_killed_vm_is_reported_from_its_peers_copies(fleet):
    key, _ = fleet.grant()
    fleet.control("keyvalue", down=True)
    assert send(fleet, CHAT_PATH, make_chat(tokens=40), key, "vm-3").status == 200
    wait_until(lambda: count_copied_tokens(fleet) == 2 * 40)
    fleet.kill("vm-3")
    fleet.processes["vm-3"].wait()
    fleet.control("keyvalue", down=False)
    assert wait_until(lambda: sum_tokens(fleet) == 40, 60)


def count_copied_tokens(fleet: Fleet) -> int:
    """Return the number of tokens in the usage copies that the peers of vm-3 hold."""
    total = 0
    for node in ("vm-1", "vm-2"):
        total += fleet.admin("GET", "/admin/status", node=node)["copied_tokens"]
    return total


def test_a_leaving_upstream_gets_no_new_work():
    running = Fleet(nodes=3, engines=2, duties=DUTIES)
    url = running.url("platform") + "/vms"
    running.overrides["platform"] = {"vms_url": url}
    try:
        running.start()
        running.load_catalogue()
        key, _ = running.grant()
        entry = {"domain": "ba-norte", "link_address": "", "leaving": True}
        call("PUT", url, {"engine-1": entry})

        def is_leaving_everywhere() -> bool:
            for node in running.nodes:
                rows = running.admin("GET", "/admin/upstreams", node=node)["upstreams"]
                leaving = {row["upstream"] for row in rows if row["leaving"]}
                if "engine-1" not in leaving:
                    return False
            return True

        assert wait_until(is_leaving_everywhere)
        call("PUT", url, {"engine-1": {**entry, "leaving": False}})
        running.load_catalogue()
        before = call("GET", running.url("engine-1") + "/stats")["started"]
        for number in range(12):
            node = running.nodes[number % 3]
            assert send(running, CHAT_PATH, make_chat(), key, node).status == 200
        after = call("GET", running.url("engine-1") + "/stats")["started"]
        assert after == before
    finally:
        running.stop()


def test_the_later_of_two_conflicting_edits_is_refused(fleet):
    catalogue = fleet.make_catalogue()
    base = fleet.admin("GET", "/admin/catalogue")["revision"]
    catalogue["models"]["rounds"]["max_tokens"] = 100
    body = {"text": yaml.safe_dump(catalogue), "base_revision": base}
    fleet.admin("POST", "/admin/catalogue", body)
    catalogue["models"]["rounds"]["max_tokens"] = 200
    body["text"] = yaml.safe_dump(catalogue)
    with pytest.raises(urllib.error.HTTPError) as refusal:
        call("POST", fleet.url("vm-2/admin") + "/admin/catalogue", body, ADMIN_KEY)
    assert refusal.value.code == 409
    shown = fleet.admin("GET", "/admin/catalogue", node="vm-3")
    assert shown["models"]["rounds"]["max_tokens"] == 100
