"""The platform's end of orders and reports, and what breaks the rules for them."""

import json
import time

import msgspec

from fakes.runner import FakeRunner, make_response

SERVICE = {
    "name": "pool",
    "healthPath": "/health",
    "engine": {"kvCacheTokens": 400_000},
    "scaling": {
        "min": 0,
        "max": 4,
        "bootS": 4.0,
        "spotPrice": 0.4,
        "zonePrices": {"a": 1.0, "b": 1.0},
    },
}
SETTINGS = """bootstrap: {bootstrap}
duties:
  enabled: {duties}
  window_ms: 1000
  report_late_ms: 10000
drain:
  grace_ms: 8000
"""
LEASE_S = 3.0
"""How long after a holder's call no other holder may have acted in between."""


def make_duty_settings(duties: list[str], bootstrap: bool) -> str:
    """Return the sections of a VM's settings that concern its duties."""
    return SETTINGS.format(duties=json.dumps(duties), bootstrap=json.dumps(bootstrap))


class DutyCall(msgspec.Struct, frozen=True):
    """An order or a report that the platform got, `at_s` on the test's clock.

    `fence` is 0 where the interface has none, `window` empty for an order. All calls of
    one `duty` are those of one holder at a time.
    """

    at_s: float
    vm: str
    fence: int
    duty: str
    subject: str
    window: str
    body: str


def find_faults(calls: list[DutyCall], passes_once: bool = True) -> list[str]:
    """Return what breaks the rules for duties, in the calls' order of arrival.

    No call with a fence has a lower one than a call before; no two VMs send the same
    fence; and a report that is sent again is the same. Where a duty passes on once, no
    VM acts again after another one did.
    """
    last: dict[str, DutyCall] = {}
    earlier_holders: dict[str, set[str]] = {}
    reports: dict[str, str] = {}
    faults: list[str] = []
    for call in calls:
        holders = earlier_holders.setdefault(call.duty, set())
        before = last.setdefault(call.duty, call)
        if call.fence < before.fence:
            faults.append(f"lower fence than {before.fence}: {call}")
            continue
        if passes_once and call.vm in holders:
            faults.append(f"acts again after {before.vm}: {call}")
            continue
        if call.vm != before.vm:
            holders.add(before.vm)
            if call.fence and call.fence == before.fence:
                faults.append(f"the fence of {before.vm} too: {call}")
        last[call.duty] = call
        if call.window and reports.setdefault(call.window, call.body) != call.body:
            faults.append(f"other counts for a window: {call}")
    return faults


def find_turns(calls: list[DutyCall]) -> list[str]:
    """Return where holders act in the order A, B, A within LEASE_S."""
    last: dict[str, DutyCall] = {}
    before: DutyCall | None = None
    faults: list[str] = []
    for call in calls:
        own = last.get(call.vm)
        is_change = before is not None and before.vm != call.vm
        if is_change and own is not None and call.at_s - own.at_s < LEASE_S:
            faults.append(f"{call.at_s - own.at_s:.2f} s after its last call: {call}")
        last[call.vm] = before = call
    return faults


class FakePlatform:
    """Take orders and reports; spot engines in the failure domain b can't be had."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.calls: list[DutyCall] = []
        self._runner = FakeRunner(self._take_call)

    async def start(self) -> None:
        """Listen on a free port."""
        await self._runner.start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.stop()

    @property
    def address(self) -> str:
        """Return where the platform listens."""
        return self._runner.address

    async def _take_call(self, request, writer) -> None:
        body = json.loads(request.body)
        path = request.line.split()[1].decode()
        subject = "usage" if path == "/usage" else f"{body['service']}/{body['zone']}"
        self.calls.append(
            DutyCall(
                time.monotonic() - self.began_s,
                request.headers[b"duty-holder"].decode(),
                int(request.headers[b"fencing-token"]),
                "fleet",
                subject,
                str(body.get("window", "")),
                request.body.decode(),
            )
        )
        refused = body.get("spot") and body.get("zone") == "b"
        writer.write(make_response(request, b"", 409 if refused else 200))
