"""Entries of upstreams, as others may write them, are read or refused, never more."""

import json
import random

import pytest

from bridge.servers import decode_server, strip_heartbeat
from plantainwood.core.decoding import MalformedError
from plantainwood.core.errors import Outcome
from tests.edgesite import run
from tests.test_odd_entries import ENTRY, ODD_ENTRIES, make_odd_entry, nest

MUTATIONS = 4_000
NUMBERS = ("-1", "1e999", "1.5", "true", "null", '"8"', "[]", "{}", "9" * 19, "9" * 400)
HOSTS = (
    "localhost",
    "[::1]",
    "0.0.0.0",
    "224.0.0.1",
    "1.2.3",
    "127.0.0.01",
    " 10.0.0.1",
)
PORTS = ("", "0", "-1", "+1", "1_0", " 80", "65536", "99999", "\u0663")


def decode(value: bytes, instance: str = "i-1"):
    """Return an entry as the reader of the store does, then a VM that gets it."""
    return decode_server(instance, strip_heartbeat(instance, value))


def test_a_sound_entry_is_read_and_its_heartbeat_count_removed():
    entry = json.dumps({**ENTRY, "sequence": 7, "later": [1]}).encode()
    assert decode(entry).address == ENTRY["address"]
    assert b"sequence" not in strip_heartbeat("i-1", entry)


def test_two_heartbeats_of_an_entry_are_equal():
    first = json.dumps({**ENTRY, "sequence": 7}).encode()
    second = json.dumps({"sequence": 8, **ENTRY}).encode()
    assert strip_heartbeat("i-1", first) == strip_heartbeat("i-1", second)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entries_name_no_upstream(name):
    for entry in ODD_ENTRIES[name]:
        with pytest.raises(MalformedError):
            decode(entry)


@pytest.mark.parametrize("field", ["slots", "born"])
@pytest.mark.parametrize("number", NUMBERS)
def test_a_number_of_another_type_or_size_names_no_upstream(field, number):
    with pytest.raises(MalformedError):
        decode(make_odd_entry(field, number))


@pytest.mark.parametrize("host", HOSTS)
def test_a_host_that_is_no_machines_ipv4_address_names_no_upstream(host):
    with pytest.raises(MalformedError):
        decode(make_odd_entry("address", json.dumps(f"{host}:80")))


@pytest.mark.parametrize("port", PORTS)
def test_a_port_out_of_range_names_no_upstream(port):
    with pytest.raises(MalformedError):
        decode(make_odd_entry("address", json.dumps(f"10.0.0.1:{port}")))


# Guards against an id that adds headers to the requests that name it.
@pytest.mark.parametrize("instance", ["", "i\r\nTenant: x", "i\0", "i-\u00e9"])
def test_an_id_that_cannot_stand_in_a_header_names_no_upstream(instance):
    with pytest.raises(MalformedError):
        decode(json.dumps(ENTRY).encode(), instance)


# Guards against any other error than the one that the reader of the store expects.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_mutated_entries_are_read_or_refused(seed):
    source = random.Random(seed)
    texts = [json.dumps(ENTRY).encode(), make_odd_entry("extra", nest(990))]
    pieces = [
        b"[" * 1_200,
        b"9" * 5_000,
        b'"',
        b"\xff",
        b"\\ud800",
        b"1e400",
        b"}",
        b"",
    ]
    for _ in range(MUTATIONS):
        text = bytearray(source.choice(texts))
        for _ in range(source.randint(1, 4)):
            at = source.randrange(len(text) + 1)
            text[at : at + source.randint(0, 6)] = source.choice(pieces)
        try:
            decode(bytes(text))
        except MalformedError:
            continue


# Guards against "outcome unknown" for a request of which nothing was sent.
def test_an_unexpected_error_before_anything_is_sent_is_answered_as_not_run():
    async def scenario(site):
        def fail(*_arguments, **_options):
            raise KeyError("unexpected")

        site.daemon.edge.connection_pool.acquire = fail
        status, _, body = await site.call("POST", "/u/x", b"b")
        assert status == 500
        assert json.loads(body)["outcome"] == Outcome.NOT_RUN.value

    run(scenario)
