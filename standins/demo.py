"""Demo of a whole fleet: a streamed request, a booking, a withdrawn key."""

import json
import subprocess
import sys
import urllib.error
import urllib.request

import yaml

from standins.fleet import ADMIN_KEY, Fleet, call, wait_until


def print_step(text: str) -> None:
    """Print the heading of one step of the demo."""
    print(f"\n== {text}", flush=True)


def run_plantainctl(fleet: Fleet, *arguments: str) -> str:
    """Run plantainctl as an operator would and return what it printed."""
    addresses = ",".join(fleet.url(f"{node}/admin") for node in fleet.nodes)
    result = subprocess.run(
        [sys.executable, "-m", "plantainctl", "--addresses", addresses, *arguments],
        env={"PLANTAINCTL_KEY": ADMIN_KEY, "PATH": "", "USER": "demo"},
        capture_output=True,
        text=True,
    )
    print(result.stderr + result.stdout, end="", flush=True)
    if result.returncode:
        raise SystemExit(f"plantainctl failed with {result.returncode}")
    return result.stdout


def print_stream(address: str, key: str) -> None:
    """Send a streamed request and print its tokens as they come."""
    body = {
        "model": "rounds",
        "stream": True,
        "max_tokens": 12,
        "messages": [{"role": "user", "content": "Which corner comes next?"}],
    }
    request = urllib.request.Request(
        address + "/v1/chat/completions", json.dumps(body).encode(), method="POST"
    )
    request.add_header("Authorization", f"Bearer {key}")
    request.add_header("Service-Class", "hint")
    with urllib.request.urlopen(request, timeout=10) as response:
        for line in response:
            if not line.startswith(b"data: {"):
                continue
            delta = json.loads(line[6:])["choices"][0].get("delta", {})
            print(delta.get("content", ""), end="", flush=True)
    print()


def send_booking(address: str, key: str, booking: str) -> dict:
    """Send a booking that must not run twice, always with the same Idempotency-Key."""
    request = urllib.request.Request(
        f"{address}/services/booking/rounds", booking.encode(), method="POST"
    )
    request.add_header("Authorization", f"Bearer {key}")
    request.add_header("Service-Class", "booking")
    request.add_header("Idempotency-Key", "round-17")
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


def list_usage_reports(fleet: Fleet) -> list[str]:
    """Return the usage reports so far that have at least one line."""
    reports = call("GET", fleet.url("platform") + "/taken")["reports"]
    return [text for text in reports if json.loads(text)["lines"]]


def run_steps(fleet: Fleet) -> None:
    """Run the steps of the demo against a started fleet."""
    print_step("an operator loads the catalogue and waits until it is in force")
    path = fleet.folder / "catalogue.yaml"
    path.write_text(yaml.safe_dump(fleet.make_catalogue()))
    run_plantainctl(fleet, "catalogue", "apply", str(path), "--wait")
    print_step("... and grants a key")
    output = run_plantainctl(
        fleet, "--output", "json", "key", "grant", "norte-walkers", "--wait"
    )
    granted = json.loads(output)
    key = granted["key"]
    print_step("a caller asks which VM to use")
    response = call("GET", fleet.url("vm-1/callers") + "/v1/addresses", key=key)
    print(json.dumps(response))
    address = response["addresses"][0]["address"]
    print_step(f"a streamed request to {address}")
    print_stream(address, key)
    print_step("a booking, sent twice with one Idempotency-Key, runs once")
    for _ in range(2):
        print(send_booking(address, key, "round 17, six dogs"))
    print("runs at the booking service:", call("GET", fleet.url("plain") + "/runs"))
    print_step("the operator withdraws the key")
    run_plantainctl(fleet, "key", "withdraw", granted["id"], "--wait")
    try:
        print_stream(address, key)
        raise SystemExit("the withdrawn key still works")
    except urllib.error.HTTPError as error:
        print(error.code, error.read().decode())
    print_step("what each VM has in force")
    run_plantainctl(fleet, "status")
    print_step("usage of the window is reported to the platform")
    for text in wait_until(lambda: list_usage_reports(fleet), 40):
        print(text)


def main() -> None:
    """Run the demo and stop all processes; exit with 1 if a daemon failed."""
    duties = {
        "lease_term_ms": 3_000,
        "lease_margin_ms": 500,
        "billing_window_ms": 4_000,
        "billing_grace_ms": 1_500,
        "usage_flush_ms": 500,
    }
    fleet = Fleet(nodes=3, engines=2, duties=duties)
    print_step("starting stand-ins and three daemons as separate processes")
    try:
        fleet.start()
        run_steps(fleet)
    finally:
        print_step("stopping")
        codes = fleet.stop()
        print("exit codes of the daemons:", codes)
    if any(codes.values()):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
