"""Requests to runners as bytes."""

from bridge.codec import RunnerCodec
from bridge.requests import make_call
from plantainwood.calls import OutgoingAttempt
from plantainwood.core.catalogue import DiscoveredUpstream, UpstreamKind
from plantainwood.core.routes import ConfiguredCustomer
from tests.samples import ROUTE

ENTRY = DiscoveredUpstream(
    owner="",
    kind=UpstreamKind.ENGINE,
    address="10.0.0.1:80",
    domain="a",
    service="pool",
    slots=8,
    instance="i-1",
)


def encode(*headers: tuple[bytes, bytes], source: str = "") -> list[bytes]:
    """Return the lines of the head that a runner gets for a caller's headers."""
    given = [(b"Host", b"front.example"), (b"Request-Id", b"id-1"), *headers]
    call = make_call(
        ROUTE, ConfiguredCustomer("acme"), "POST", "/s/1", given, b"body", 0, "id-1.1"
    )
    data = RunnerCodec().encode(
        call, OutgoingAttempt(ENTRY, 1_000, kv_source_address=source)
    )
    return data.split(b"\r\n\r\n")[0].split(b"\r\n")


def test_a_source_is_named_to_fetch_from():
    assert b"Kv-Fetch: 10.0.0.2:80" in encode(source="10.0.0.2:80")


def test_a_caller_names_no_source():
    lines = encode((b"Kv-Fetch", b"10.9.9.9:80"), (b"Kv-From", b"10.9.9.9:80/1"))
    assert not any(line.lower().startswith(b"kv-") for line in lines)


def test_the_instance_the_time_left_and_the_customer_are_named():
    lines = encode((b"Authorization", b"Token secret"), (b"Tenant", b"other"))
    assert b"Expect-Instance: i-1" in lines
    assert b"Deadline-Remaining: 1000" in lines
    assert b"Tenant: acme" in lines
    assert b"Tenant: other" not in lines
    assert not any(b"secret" in line for line in lines)
