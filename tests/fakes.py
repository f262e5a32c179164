"""Fakes at the interfaces, shared by all proofs: a store, and runs of procedures."""

from typing import Any

from plantainwood.core.effects import (
    CompareAndSwap,
    Effect,
    Procedure,
    Read,
    Scan,
    ScanKeys,
    StoredValue,
)
from plantainwood.core.errors import NotAppliedError, StoreError

FAULTS = ["ok", "ok", "ok", "slow", "lost_before", "lost_after", "unsent", "late"]
"""What may happen to a key-value call.

'late' takes effect after its failure; 'slow' takes effect now, and its reply comes
with the next step.
"""


class FakeStore:
    """A key-value service in memory, with calls that land late."""

    def __init__(self) -> None:
        self.items: dict[str, StoredValue] = {}
        self.revision = 0
        self.late: list[CompareAndSwap] = []
        self.down = False

    def perform(self, call: Effect) -> Any:
        """Perform a call now and return its reply."""
        match call:
            case Read(key):
                return self.items.get(key)
            case Scan(prefix):
                return {k: v for k, v in self.items.items() if k.startswith(prefix)}
            case ScanKeys(prefix):
                return {key for key in self.items if key.startswith(prefix)}
            case CompareAndSwap(key, value, expected):
                current = self.items.get(key)
                if (current.revision if current else 0) != expected:
                    return 0
                self.revision += 1
                self.items[key] = StoredValue(value, self.revision)
                return self.revision
        raise TypeError(f"not for the store: {call!r}")

    def land(self, index: int) -> None:
        """Let one of the late writes take effect."""
        if self.late:
            self.perform(self.late.pop(index % len(self.late)))


class Run:
    """A procedure that is driven one call at a time, and may be dropped."""

    def __init__(self, steps: Procedure) -> None:
        self.steps = steps
        self.call: Effect | None = None
        self.done = False
        self.result: Any = None
        self.error: Exception | None = None
        self.kept: list[Any] = []
        self._advance(lambda: next(steps))

    def _advance(self, move) -> None:
        try:
            self.call = move()
        except StopIteration as stop:
            self.done, self.call, self.result = True, None, stop.value
        except Exception as error:
            self.done, self.call, self.error = True, None, error

    def reply(self, value: Any) -> None:
        """Give the reply to the pending call."""
        self._advance(lambda: self.steps.send(value))

    def fail(self, error: StoreError) -> None:
        """Let the pending call fail."""
        self._advance(lambda: self.steps.throw(error))

    def step(self, store: FakeStore, fault: str = "ok") -> None:
        """Perform the pending key-value call with a fault."""
        if self.kept:
            self.reply(self.kept.pop())
        elif fault == "slow":
            self.kept.append(store.perform(self.call))
        elif store.down or fault == "unsent":
            self.fail(NotAppliedError("down"))
        elif fault == "ok":
            self.reply(store.perform(self.call))
        else:
            if fault == "lost_after":
                store.perform(self.call)
            elif fault == "late" and isinstance(self.call, CompareAndSwap):
                store.late.append(self.call)
            self.fail(StoreError(fault))

    def go(self, store: FakeStore, count: int, fault: str) -> None:
        """Perform some calls; the last of them meets a fault."""
        for index in range(count):
            if self.done:
                return
            self.step(store, fault if index == count - 1 else "ok")

    def finish(self, store: FakeStore) -> Any:
        """Run to the end without faults; return the result or raise the error."""
        while not self.done:
            self.step(store)
        if self.error is not None:
            raise self.error
        return self.result
