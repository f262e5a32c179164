"""The whole path over real processes and sockets."""

import json
import urllib.error
import urllib.request

import pytest

from standins.fleet import Fleet, call


def post(
    fleet: Fleet, path: str, body: bytes, key: str = "", node: str = "vm-1", **headers
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of the answer to a POST."""
    request = urllib.request.Request(
        fleet.url(f"{node}/callers") + path, body, method="POST"
    )
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    for name, value in headers.items():
        request.add_header(name.replace("_", "-"), value)
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def make_chat(text: str = "hello", stream: bool = False, tokens: int = 10) -> bytes:
    """Return the body of a chat request."""
    body = {
        "model": "rounds",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
        "max_tokens": tokens,
    }
    return json.dumps(body).encode()


@pytest.fixture(scope="module")
def key(fleet: Fleet) -> str:
    """Return a granted key that is in force everywhere."""
    return fleet.grant()[0]


def read_tokens(stream: bytes) -> list[str]:
    """Return the tokens of a streamed chat answer."""
    tokens: list[str] = []
    for line in stream.splitlines():
        if not line.startswith(b"data: {"):
            continue
        for choice in json.loads(line[6:]).get("choices", []):
            if choice["delta"].get("content"):
                tokens.append(choice["delta"]["content"])
    return tokens


def test_streamed_answer_is_whole(fleet, key):
    status, headers, body = post(
        fleet, "/v1/chat/completions", make_chat(stream=True), key
    )
    assert status == 200
    assert headers["Content-Type"] == "text/event-stream"
    assert [token.split("-")[0] for token in read_tokens(body)] == [
        str(index) for index in range(10)
    ]
    assert body.endswith(b"data: [DONE]\n\n")


def test_collected_answer_equals_streamed_one(fleet, key):
    streamed = post(fleet, "/v1/chat/completions", make_chat(stream=True), key)[2]
    status, _, body = post(fleet, "/v1/chat/completions", make_chat(), key, "vm-2")
    answer = json.loads(body)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == "".join(read_tokens(streamed))
    assert answer["usage"]["completion_tokens"] == 10


def test_booking_runs_once_over_several_vms(fleet, key):
    for node in fleet.nodes:
        status, _, body = post(
            fleet,
            "/services/booking/rounds",
            b"round 1",
            key,
            node,
            Service_Class="booking",
            Idempotency_Key="round-1",
        )
        assert status == 200
        assert json.loads(body)["booked"]
    assert call("GET", fleet.url("plain") + "/runs")["round 1"] == 1


def test_no_upstream_received_the_key(fleet, key):
    post(fleet, "/v1/chat/completions", make_chat(), key, X_Api_Key=key)
    for name in ("engine-1", "engine-2", "plain"):
        with urllib.request.urlopen(fleet.url(name) + "/received") as answer:
            assert key.rpartition("_")[2].encode() not in answer.read()


REFUSALS = [
    ("no key", make_chat(), {}, 401, "no_key"),
    ("unknown key", make_chat(), {"Authorization": "Bearer x"}, 401, "unknown_key"),
    ("not JSON", b"{", {}, 400, "bad_request"),
    ("wrong type", b'{"model": 7, "messages": []}', {}, 400, "bad_request"),
    ("not UTF-8", b'{"model": "\xff\xfe"}', {}, 400, "bad_request"),
    ("no messages", b'{"model": "rounds"}', {}, 400, "bad_request"),
    ("unknown model", b'{"model": "x", "messages": []}', {}, 404, "unknown_model"),
    ("too many tokens", make_chat(tokens=10**6), {}, 400, "bad_request"),
    ("oversized", b" " * 2_000_000, {}, 413, "body_too_large"),
    ("class", make_chat(), {"Service-Class": "x"}, 403, "forbidden_class"),
]


@pytest.mark.parametrize("name,body,headers,status,code", REFUSALS)
def test_bad_input_is_refused_with_a_code(
    fleet, key, name, body, headers, status, code
):
    sent_key = key if status != 401 else ""
    got, _, text = post(fleet, "/v1/chat/completions", body, sent_key, **headers)
    error = json.loads(text)["error"]
    assert (got, error["code"], error["outcome"]) == (status, code, "not_run")
