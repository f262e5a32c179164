"""What is known of an attempt that failed."""

from plantainwood.core.events import FAILED_PAUSE_MS


class AttemptError(Exception):
    """Report a failed attempt and what is known of its effect.

    `crashed` is set if the upstream seems to have crashed while it ran the attempt,
    `proved_not_run` if the attempt certainly did not run, `reached` unless it is also
    certain that no byte of it arrived.
    """

    def __init__(
        self,
        reason: str,
        crashed: bool,
        proved_not_run: bool,
        pause_ms: int = FAILED_PAUSE_MS,
        reached: bool = True,
    ) -> None:
        super().__init__(reason)
        self.reached = reached
        self.broken = False
        """Whether the upstream broke the connection or refused it."""
        self.crashed = crashed
        self.proved_not_run = proved_not_run
        self.pause_ms = pause_ms
        """How long the upstream gets no new attempt if it did not run this one."""


def make_not_run_error(reason: str, pause_ms: int) -> AttemptError:
    """Return the error of an attempt that provably did not run."""
    return AttemptError(reason, crashed=False, proved_not_run=True, pause_ms=pause_ms)


def make_unreached_error(reason: str) -> AttemptError:
    """Return the error of an attempt of which no byte arrived at its upstream."""
    return AttemptError(reason, crashed=False, proved_not_run=True, reached=False)
