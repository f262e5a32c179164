"""Fakes shared by the property tests: a store, and a driver of procedures."""

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
"""What may happen to a call of the key-value store; 'ok' is drawn most often.

'slow' takes effect now, but its reply arrives with the next step. The others fail:
'lost_before' has no effect, 'lost_after' takes effect before the failure, and a write
that is 'late' takes effect some time after it. Only 'unsent' is known to the caller to
have had no effect.
"""


class FakeStore:
    """A key-value store in memory, with writes that take effect late."""

    def __init__(self) -> None:
        self.items: dict[str, StoredValue] = {}
        self.revision = 0
        self.late_writes: list[CompareAndSwap] = []
        self.down = False

    def perform(self, effect: Effect) -> Any:
        """Perform an effect now and return its reply."""
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
        raise TypeError(f"not an effect of the store: {effect!r}")

    def apply_late_write(self, index: int) -> None:
        """Let one of the late writes take effect, if there are any."""
        if self.late_writes:
            self.perform(self.late_writes.pop(index % len(self.late_writes)))


class ProcedureRun:
    """A procedure that is driven one effect at a time, and may be abandoned."""

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
        """Send the reply of the pending effect to the procedure."""
        self._advance(lambda: self.procedure.send(value))

    def fail(self, error: StoreError) -> None:
        """Let the pending effect fail."""
        self._advance(lambda: self.procedure.throw(error))

    def step(self, store: FakeStore, fault: str = "ok") -> None:
        """Perform the pending effect of the store with a fault."""
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
        """Perform some effects, the last one with a fault."""
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
