"""Bad input and broken connections get an error code, and the daemon keeps serving."""

import json
import socket
import ssl
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest
import yaml

from standins.fleet import ADMIN_KEY, ROOT, Fleet, call, wait_until
from tests.calls import CHAT_PATH, make_chat, send

DATA = Path(__file__).resolve().parent / "data"


@pytest.fixture(scope="module")
def fleet():
    """Run one daemon with low limits on requests and TLS on its administration API."""
    tls = {
        "certificate": str(DATA / "certificate.pem"),
        "key": str(DATA / "key.pem"),
    }
    running = Fleet(
        nodes=1,
        engines=1,
        callers={"body_timeout_ms": 300, "max_header_bytes": 4_096},
        admin={"tls": tls},
    )
    try:
        running.start()
        yield running
    finally:
        running.stop()


def run_plantainctl(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess:
    """Run plantainctl over TLS and return the finished process."""
    address = fleet.url("vm-1/admin").replace("http:", "https:")
    command = [sys.executable, "-m", "plantainctl", "--addresses", address]
    command += ["--ca_file", str(DATA / "certificate.pem"), *arguments]
    return subprocess.run(
        command,
        cwd=ROOT,
        env={"PLANTAINCTL_KEY": ADMIN_KEY, "USER": "test", "PATH": ""},
        capture_output=True,
        text=True,
    )


@pytest.fixture(scope="module")
def key(fleet: Fleet, tmp_path_factory) -> str:
    """Load the catalogue and grant a key with plantainctl, over TLS."""
    path = tmp_path_factory.mktemp("catalogue") / "catalogue.yaml"
    path.write_text(yaml.safe_dump(fleet.make_catalogue()))
    applied = run_plantainctl(fleet, "catalogue", "apply", str(path), "--wait")
    assert applied.returncode == 0, applied.stderr
    granted = run_plantainctl(
        fleet, "--output", "json", "key", "grant", "norte-walkers"
    )
    assert granted.returncode == 0, granted.stderr
    return json.loads(granted.stdout)["key"]


def test_plantainctl_exit_codes_tell_refusal_from_conflict(fleet, key, tmp_path):
    bad = tmp_path / "bad.yaml"
    bad.write_text("models:\n  m: {owner: p, colour: red}\n")
    refused = run_plantainctl(fleet, "catalogue", "apply", str(bad))
    assert (refused.returncode, "line 2" in refused.stderr) == (1, True)
    stale = tmp_path / "stale.yaml"
    content = fleet.make_catalogue()
    content["models"]["rounds"]["max_tokens"] = 99
    stale.write_text(yaml.safe_dump(content))
    conflict = run_plantainctl(fleet, "catalogue", "apply", str(stale))
    assert (conflict.returncode, "models/rounds" in conflict.stderr) == (5, True)
    shown = run_plantainctl(fleet, "--output", "yaml", "catalogue", "show")
    fresh = tmp_path / "fresh.yaml"
    fresh.write_text(shown.stdout)
    assert run_plantainctl(fleet, "catalogue", "apply", str(fresh)).returncode == 0
    assert run_plantainctl(fleet, "key", "withdraw", "none").returncode == 1
    history = run_plantainctl(fleet, "--output", "json", "catalogue", "history")
    assert json.loads(history.stdout)[0]["revision"] == 1


def test_the_administration_api_uses_tls_and_requires_its_key(fleet, key):
    address = fleet.url("vm-1/admin").replace("http:", "https:")
    context = ssl.create_default_context(cafile=str(DATA / "certificate.pem"))
    request = urllib.request.Request(address + "/admin/status")
    request.add_header("Authorization", "Bearer wrong")
    with pytest.raises(urllib.error.HTTPError) as refusal:
        urllib.request.urlopen(request, context=context)
    assert refusal.value.code == 401


def send_raw(fleet: Fleet, *parts: bytes, end: bool = False) -> bytes:
    """Send raw bytes on one connection; return all bytes received until it closes.

    With `end`, shut down the sending side after the last part.
    """
    address = ("127.0.0.1", fleet.ports["vm-1/callers"])
    with socket.create_connection(address, timeout=10) as connection:
        for part in parts:
            connection.sendall(part)
        if end:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := connection.recv(65_536):
            received += chunk
        return received


def make_head(key: str, *lines: str) -> bytes:
    """Return the head of a chat request with additional header lines."""
    head = [f"POST {CHAT_PATH} HTTP/1.1", "Host: x", f"Authorization: Bearer {key}"]
    head += ["Connection: close", *lines, "", ""]
    return "\r\n".join(head).encode()


def test_a_second_content_length_is_refused(fleet, key):
    head = make_head(key, "Content-Length: 5", "Content-Length: 7")
    assert send_raw(fleet, head, b"1234567").split(b" ")[1] == b"400"


# Guards against refusals that are lost in a reset, as the caller was still sending.
@pytest.mark.parametrize(
    "lines",
    [
        ["Content-Length: 5", "Content-Length: 7"],
        ["Bad Name: a"],
        ["X-Large: " + "x" * 10_000],
    ],
    ids=["two lengths", "bad name", "large head"],
)
def test_a_refused_caller_that_still_sends_reads_the_response_to_its_end(
    fleet, key, lines
):
    address = ("127.0.0.1", fleet.ports["vm-1/callers"])
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(make_head(key, *lines))
        received = connection.recv(1)
        for _ in range(5):
            connection.sendall(b"x" * 1_000)
            time.sleep(0.02)
        while chunk := connection.recv(65_536):
            received += chunk
    assert received.split(b" ")[1] in (b"400", b"431")
    assert received.count(b"HTTP/1.") == 1


def test_a_body_that_stalls_is_refused_as_not_run(fleet, key):
    response = send_raw(fleet, make_head(key, "Content-Length: 500"), b"{")
    assert response.startswith(b"HTTP/1.1 400")
    assert b'"bad_request"' in response and b'"not_run"' in response


def test_a_large_header_is_refused(fleet, key):
    head = make_head(key, "X-Large: " + "x" * 10_000, "Content-Length: 0")
    assert send_raw(fleet, head).split(b" ")[1] in (b"400", b"431")


@pytest.mark.parametrize("end", [False, True])
def test_an_incomplete_chunk_is_never_forwarded(fleet, key, end):
    before = call("GET", fleet.url("engine-1") + "/stats")["started"]
    head = make_head(key, "Transfer-Encoding: chunked")
    response = send_raw(fleet, head, b'40\r\n{"model": ', end=end)
    assert not response or response.split(b" ")[1] == b"400"
    assert call("GET", fleet.url("engine-1") + "/stats")["started"] == before
    assert call("GET", fleet.url("vm-1/callers") + "/healthz")["status"] == "ok"


@pytest.mark.parametrize("cut", [0, 4, 40, 90, 140, 200])
def test_a_reset_at_any_byte_leaves_the_daemon_alive(fleet, key, cut):
    body = make_chat("x" * 100, True)
    whole = make_head(key, f"Content-Length: {len(body)}") + body
    address = ("127.0.0.1", fleet.ports["vm-1/callers"])
    connection = socket.create_connection(address)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    connection.sendall(whole[:cut])
    connection.close()
    assert send(fleet, CHAT_PATH, make_chat(), key).status == 200


def test_garbage_from_the_only_engine_is_an_error_with_unknown_outcome(fleet, key):
    fleet.control("engine-1", garbage=True)
    try:
        error = send(fleet, CHAT_PATH, make_chat(), key).get_error()
        assert error["code"] in ("upstream_failed", "queue_timeout")
        assert error["outcome"] == "unknown"
        assert error["retry_after_ms"] > 0
    finally:
        fleet.control("engine-1", garbage=False)
    assert wait_until(lambda: send(fleet, CHAT_PATH, make_chat(), key).status == 200)
