"""When the VMs and the store of a soak were disturbed."""

import asyncio
import math

CONTACT_S = 3.0
STORE = "store"
LAST_ANSWERS_S = 6.6
"""How long after SIGTERM requests that run are not cut: most of the grace time."""


class Disturbances:
    """When each VM and the store were disturbed; the timed rules rest then."""

    def __init__(self) -> None:
        self._spans: dict[str, list[list[float]]] = {}
        self.stops: dict[str, list[tuple[float, float]]] = {}
        """By VM, from SIGTERM to the end of its process, if that came in the grace."""
        self.terms_s: dict[str, list[float]] = {}
        """By VM, when it was sent SIGTERM."""
        self._kills_s: dict[str, list[float]] = {}

    def begin(self, name: str) -> None:
        """Record that a disturbance begins, and lasts until its end is recorded."""
        now_s = asyncio.get_running_loop().time()
        self._spans.setdefault(name, []).append([now_s, math.inf])

    def end(self, name: str) -> None:
        """Record that the last disturbance that began has ended."""
        self._spans[name][-1][1] = asyncio.get_running_loop().time()

    def record_kill(self, name: str) -> None:
        """Record that a VM's process is ended at once."""
        now_s = asyncio.get_running_loop().time()
        self._kills_s.setdefault(name, []).append(now_s)

    def may_cut(self, name: str, sent_s: float, ended_s: float) -> bool:
        """Return whether a VM's end excuses that it cut a request of this span."""
        for killed_s in self._kills_s.get(name, []):
            if sent_s <= killed_s <= ended_s:
                return True
        for term_s in self.terms_s.get(name, []):
            if sent_s <= term_s + LAST_ANSWERS_S <= ended_s:
                return True
        return False

    def find_stop(self, name: str, at_s: float) -> tuple[float, float] | None:
        """Return the span of the planned stop that a VM was in at a time, if any."""
        for began_s, ended_s in self.stops.get(name, []):
            if began_s <= at_s <= ended_s:
                return began_s, ended_s
        return None

    def was_calm_since(self, name: str, since_s: float) -> bool:
        """Return whether nothing disturbed a VM since a time."""
        return all(ended_s < since_s for _, ended_s in self._spans.get(name, []))

    def was_calm(self, name: str, at_s: float) -> bool:
        """Return whether a VM and the store were calm for CONTACT_S before a time."""
        for began_s, ended_s in self._spans.get(name, []) + self._spans.get(STORE, []):
            if began_s <= at_s and ended_s > at_s - CONTACT_S:
                return False
        return True
