"""The bytes of requests to runners: added and removed headers."""

from bridge.codec import RunnerCodec
from bridge.requests import make_call
from plantainwood.answerparser import ResponseHead
from plantainwood.calls import OutgoingAttempt
from plantainwood.core.catalogue import DiscoveredUpstream, UpstreamKind
from plantainwood.core.routes import ConfiguredCustomer
from tests.samples import ROUTE

UPSTREAM = DiscoveredUpstream(
    owner="",
    kind=UpstreamKind.ENGINE,
    address="10.0.0.1:80",
    domain="a",
    service="pool",
    slots=8,
    instance="i-1",
)


def encode_head(*headers: tuple[bytes, bytes], kv_source: str = "") -> list[bytes]:
    """Return the lines of the head sent to a runner for a caller's headers."""
    all_headers = [(b"Host", b"front.example"), (b"Request-Id", b"id-1"), *headers]
    call = make_call(
        ROUTE,
        ConfiguredCustomer("acme"),
        "POST",
        "/s/1",
        all_headers,
        b"body",
        0,
        "id-1.1",
    )
    request = RunnerCodec().encode(
        call, OutgoingAttempt(UPSTREAM, 1_000, kv_source_address=kv_source)
    )
    return request.split(b"\r\n\r\n")[0].split(b"\r\n")


def test_the_kv_source_is_sent_to_the_runner():
    assert b"Kv-Fetch: 10.0.0.2:80" in encode_head(kv_source="10.0.0.2:80")


def test_kv_headers_from_a_caller_are_dropped():
    lines = encode_head((b"Kv-Fetch", b"10.9.9.9:80"), (b"Kv-From", b"10.9.9.9:80/1"))
    assert not any(line.lower().startswith(b"kv-") for line in lines)


def test_the_instance_the_remaining_time_and_the_customer_are_sent():
    lines = encode_head((b"Authorization", b"Token secret"), (b"Tenant", b"other"))
    assert b"Expect-Instance: i-1" in lines
    assert b"Deadline-Remaining: 1000" in lines
    assert b"Tenant: acme" in lines
    assert b"Tenant: other" not in lines
    assert not any(b"secret" in line for line in lines)


def make_limit_head(value: bytes) -> ResponseHead:
    """Return the head of a response whose runner names a limit."""
    return ResponseHead(200, [(b"Server-Limit", value)])


def test_a_limit_is_a_decimal_number_of_requests_per_second():
    codec = RunnerCodec()
    assert codec.read_rate_limit(make_limit_head(b"1.5")) == 1.5
    assert codec.read_rate_limit(make_limit_head(b"0")) == 0.0
    assert codec.read_rate_limit(ResponseHead(200, [])) is None
    for value in (b"", b"many", b"-1", b"nan", b"inf"):
        assert codec.read_rate_limit(make_limit_head(value)) is None
