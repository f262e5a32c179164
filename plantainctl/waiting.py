"""Wait until a revision is in force on every live VM."""

import sys
import time
from typing import Any

from plantainctl.client import ApiError, Client

POLL_S = 0.1


def find_lagging_vms(status: dict[str, Any], revision: int) -> list[str]:
    """Return the live VMs that do not have a revision in force yet."""
    lagging: list[str] = []
    for vm in status["vms"]:
        if vm["alive"] and vm["state"] == "live" and vm["revision"] < revision:
            lagging.append(vm["node"])
    return lagging


def wait_until_in_force(client: Client, revision: int, timeout_s: float) -> list[str]:
    """Wait, at most timeout_s, until no VM lags; return those that still do.

    The list is printed to standard error whenever it changes.
    """
    deadline_s = time.monotonic() + timeout_s
    shown: list[str] | None = None
    while True:
        try:
            lagging = find_lagging_vms(client.get("/admin/status"), revision)
        except ApiError:
            lagging = ["(no response)"]
        if lagging != shown:
            shown = lagging
            names = ", ".join(lagging) or "none"
            print(f"revision {revision}: waiting for: {names}", file=sys.stderr)
        if not lagging or time.monotonic() >= deadline_s:
            return lagging
        time.sleep(POLL_S)
