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
        self.late_writes: list[CompareAndSwap] = []
        self.down = False

    def perform(self, effect: Effect) -> Any:
        """Perform a call now and return its reply."""
        match effect:
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
        raise TypeError(f"not for the store: {effect!r}")

    def apply_late_write(self, index: int) -> None:
        """Let one of the late writes take effect."""
        if self.late_writes:
            self.perform(self.late_writes.pop(index % len(self.late_writes)))


class ProcedureRun:
    """A procedure that is driven one call at a time, and may be dropped."""

    def __init__(self, procedure: Procedure) -> None:
        self.procedure = procedure
        self.effect: Effect | None = None
        self.done = False
        self.result: Any = None
        self.error: Exception | None = None
        self.delayed_replies: list[Any] = []
        self._advance(lambda: next(procedure))

    def _advance(self, resume) -> None:
        try:
            self.effect = resume()
        except StopIteration as stop:
            self.done, self.effect, self.result = True, None, stop.value
        except Exception as error:
            self.done, self.effect, self.error = True, None, error

    def reply(self, value: Any) -> None:
        """Give the reply to the pending call."""
        self._advance(lambda: self.procedure.send(value))

    def fail(self, error: StoreError) -> None:
        """Let the pending call fail."""
        self._advance(lambda: self.procedure.throw(error))

    def step(self, store: FakeStore, fault: str = "ok") -> None:
        """Perform the pending key-value call with a fault."""
        if self.delayed_replies:
            self.reply(self.delayed_replies.pop())
        elif fault == "slow":
            self.delayed_replies.append(store.perform(self.effect))
        elif store.down or fault == "unsent":
            self.fail(NotAppliedError("down"))
        elif fault == "ok":
            self.reply(store.perform(self.effect))
        else:
            if fault == "lost_after":
                store.perform(self.effect)
            elif fault == "late" and isinstance(self.effect, CompareAndSwap):
                store.late_writes.append(self.effect)
            self.fail(StoreError(fault))

    def step_many(self, store: FakeStore, count: int, fault: str) -> None:
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
