"""Waiting until every live VM has a revision in force."""

import sys
import time
from typing import Any

from plantainctl.client import ApiError, Client

POLL_S = 0.1


def find_missing(status: dict[str, Any], revision: int) -> list[str]:
    """Return the live VMs that do not have a revision in force yet."""
    missing: list[str] = []
    for vm in status["vms"]:
        if vm["alive"] and vm["state"] == "live" and vm["revision"] < revision:
            missing.append(vm["node"])
    return missing


def wait_in_force(client: Client, revision: int, bound_s: float) -> list[str]:
    """Wait until no VM is missing or the bound has passed; return the missing ones.

    Progress goes to standard error whenever it changes.
    """
    end = time.monotonic() + bound_s
    shown: list[str] | None = None
    while True:
        try:
            missing = find_missing(client.get("/admin/status"), revision)
        except ApiError:
            missing = ["(no answer)"]
        if missing != shown:
            shown = missing
            names = ", ".join(missing) or "none"
            print(f"revision {revision}: waiting for: {names}", file=sys.stderr)
        if not missing or time.monotonic() >= end:
            return missing
        time.sleep(POLL_S)
