"""The streams of a play: how many of which form, and what callers got of each."""

import re

from tests.processsite import VmProcess

REASON = re.compile(r'reason="([^"]*)"')


class Plan:
    """How many streams of which form a play has."""

    def __init__(self, **changes) -> None:
        self.seconds = 4.0
        """How long requests come."""
        self.rate_per_s = 12.0
        self.events = 30
        self.event_s = 0.2
        self.attempts = 2
        self.resumable_of_4 = 3
        self.chunked_of_5 = 1
        """How many of five bodies come in chunks."""
        self.take_ups = 0
        """How often a caller takes up a stream that was cut."""
        self.through_others = False
        """Whether the first VM reaches no runner, and needs the others."""
        for name, value in changes.items():
            assert hasattr(self, name), name
            setattr(self, name, value)


class Stream:
    """One request of a caller, and what came back."""

    def __init__(self, name: str, vm: VmProcess, resumable: bool) -> None:
        self.name = name
        self.vm = vm
        self.resumable = resumable
        self.status = 0
        self.body = b""
        self.sent_s = 0.0
        self.last_event_s = 0.0
        self.ended_s = 0.0
        self.is_complete = False
        """Whether the answer ended as its framing says."""

    @property
    def outcome(self) -> str:
        """Return whole, cut or refused."""
        if self.status == 200:
            return "whole" if self.is_complete else "cut"
        return "refused" if self.status else "closed before a head"

    def count_events(self) -> int:
        """Return the number of whole events that came."""
        return self.body.count(b"\n\n") if self.status == 200 else 0

    def find_reason(self) -> str:
        """Return what the log of the VM says of the end, or of what came before it."""
        reasons: list[str] = []
        for event in ("answer_cut", "attempt_failed", "refused"):
            lines = [line for line in self.vm.list_events(event) if self._is_of(line)]
            if lines and event == "answer_cut":
                return lines[-1][lines[-1].index(event) :]
            found = [REASON.search(line) for line in lines[-1:]]
            reasons += [f"{event}: {match[1]}" for match in found if match]
        return "; ".join(reasons) or "nothing logged"

    def _is_of(self, line: str) -> bool:
        return f" request={self.name} " in line
