"""90 VMs and a pool of engines in virtual time, where one customer's load surges.

Work reports travel with relayed heartbeats: each VM sends one every 500 ms, which the
others have 500 ms later.
"""

import msgspec

from plantainwood.core.catalogue import ServiceClass
from tests.unevenengines import POOL, STEP_MS, Caller, Fleet, make_options

VMS = 90
ENGINES = 24
REPORT_STEPS = 100
SESSIONS = 40
SHARED = 2_000
TIMEOUT_MS = 5_000
FIRST_TOKEN_TARGET_MS = 600
SURGING = "c0"
SURGE = 7.5
LOADS = {"c0": 0.12, "c1": 0.3, "c2": 0.18, "c3": 0.14, "c4": 0.1, "c5": 0.08}
LOADS |= {"c6": 0.05, "c7": 0.03}
"""Each customer's part of the usual load."""
USUAL_PER_S = 220.0
"""The usual load of all customers, which keeps the engines nearly full."""


class CustomerFleet(Fleet):
    """A fleet whose VMs report the work of their customers to each other."""

    def __init__(self, shares: bool, seed: int, reporting: bool = True) -> None:
        options = msgspec.structs.replace(make_options(), customer_shares=shares)
        classes = {
            "k": ServiceClass(
                owner="",
                tier=1,
                first_token_ms=FIRST_TOKEN_TARGET_MS,
                completion_ms=TIMEOUT_MS,
                queue_timeout_ms=TIMEOUT_MS,
            )
        }
        super().__init__(VMS, [1.0] * ENGINES, classes, options, seed)
        for dispatcher in self.dispatchers:
            dispatcher.state.least_urgent_tiers = {POOL: 1}
        self._reporting = shares and reporting
        self.single_vms: dict[str, int] = {}
        """The VMs of customers whose requests all come to one."""
        self._reports: list[dict[str, int]] = [{}] * VMS

    def choose_vm(self, customer: str) -> int:
        """Return a random VM, or the only one of a customer."""
        vm = super().choose_vm(customer)
        return self.single_vms.get(customer, vm)

    def advance(self) -> None:
        """Advance the time by one step."""
        super().advance()
        if self._reporting and self._steps % REPORT_STEPS == 0:
            self._exchange_reports()

    def _exchange_reports(self) -> None:
        arriving, self._reports = self._reports, []
        for number, dispatcher in enumerate(self.dispatchers):
            shares = dispatcher.state.shares
            for sender, report in enumerate(arriving):
                if sender != number:
                    shares.record_remote(report, 500, self.now_ms)
            shares.update(self.now_ms)
            self._reports.append(shares.take_report())

    def play(self, loads: dict[str, float], duration_ms: int, per_s: float) -> None:
        """Let customers send their parts of a load, with prompts that all differ."""
        names = list(loads)
        due = 0.0
        rate = per_s * sum(loads.values()) * STEP_MS / 1_000
        for _ in range(duration_ms // STEP_MS):
            due += self.random.expovariate(1.0) * rate
            while due >= 1:
                due -= 1
                name = self.random.choices(names, list(loads.values()))[0]
                tokens = 500 + int(1_000 * 8 ** self.random.random())
                session = f"{name}-{self.random.randrange(SESSIONS)}"
                shared = min(tokens - 100, SHARED)
                self.arrive(
                    "k", name, tokens, 40, session=session, shared_tokens=shared
                )
            self.advance()

    def play_surge(self) -> list[Caller]:
        """Let one customer's load surge; return the others' requests in that time."""
        self.play(LOADS, 4_000, USUAL_PER_S)
        began_ms = self.now_ms
        surge = LOADS | {SURGING: SURGE * LOADS[SURGING]}
        self.play(surge, 10_000, USUAL_PER_S)
        ended_ms = self.now_ms
        self.play(LOADS, TIMEOUT_MS, USUAL_PER_S)
        found: list[Caller] = []
        for caller in self.callers.values():
            if began_ms + 1_000 <= caller.arrives_ms < ended_ms:
                found.append(caller)
        return found


def list_waits(callers: list[Caller]) -> list[int]:
    """Return the sorted times until the last dispatch; the time-out if unserved."""
    waits: list[int] = []
    for caller in callers:
        served = caller.done_ms and not caller.left
        waits.append(caller.dispatched_ms - caller.arrives_ms if served else TIMEOUT_MS)
    return sorted(waits)


def count_served(callers: list[Caller]) -> int:
    """Return the number of requests answered whole in time."""
    return sum(1 for caller in callers if caller.done_ms and not caller.left)
