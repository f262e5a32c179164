"""Test command: run all tests without those that KNOWN-RED.txt lists.

Without arguments there are two phases: most files run side by side, then the files of
crowds one after the other. With arguments, pytest runs once with them, as they are.
"""

import contextlib
import os
import signal
import subprocess
import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from typing import Iterator

import pytest

from tests.fileweights import CROWD_FILES, count_cores, count_workers
from tests.known_red import load_known_red

ROOT = Path(__file__).resolve().parent.parent
REPORTS = ROOT / "build" / "tests"
"""Where pytest's XML reports are kept, with the time of each test."""
ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class Phase:
    """One run of pytest over a part of the files, and what came of it."""

    __slots__ = (
        "name",
        "arguments",
        "code",
        "passed",
        "failed",
        "is_interrupted",
        "_pid",
    )

    def __init__(self, name: str, arguments: list[str]) -> None:
        self.name = name
        self.arguments = arguments
        self.code = -1
        self.passed = 0
        self.failed = 0
        self.is_interrupted = False
        self._pid: int | None = None

    def run(self, folder: Path, more: list[str]) -> None:
        """Run pytest in a session of its own and count how its tests ended.

        In the session of a shell that ends, the kernel wakes the processes that a
        test has stopped.
        """
        report = folder / f"{self.name}.xml"
        report.unlink(missing_ok=True)
        command = [sys.executable, "-m", "pytest", f"--junitxml={report}"]
        print(f"tests, {self.name}", flush=True)
        with self._catch_signals():
            process = subprocess.Popen(
                [*command, *self.arguments, *more], cwd=ROOT, start_new_session=True
            )
            self._pid = process.pid
            if self.is_interrupted:
                self._interrupt()
            os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        if self.is_interrupted:
            os.killpg(process.pid, signal.SIGKILL)
        self.code = process.wait()
        if report.exists():
            self.passed, self.failed = count_tests(report.read_text())

    @contextlib.contextmanager
    def _catch_signals(self) -> Iterator[None]:
        """Let the signals that end this process interrupt pytest instead.

        Signals that this process ignores are caught too, and nothing is done: a process
        that is started meanwhile does not ignore them. A shell's job in the background
        and a worker of pytest-xdist ignore SIGINT.
        """
        previous = {}
        for signum in ENDING_SIGNALS:
            is_ignored = signal.getsignal(signum) is signal.SIG_IGN
            handler = pass_over if is_ignored else self._handle_signal
            previous[signum] = signal.signal(signum, handler)
        try:
            yield
        finally:
            for signum, handler in previous.items():
                signal.signal(signum, handler)

    def _handle_signal(self, signum: int, frame) -> None:
        self.is_interrupted = True
        if self._pid is not None:
            self._interrupt()

    def _interrupt(self) -> None:
        os.kill(self._pid, signal.SIGINT)


def pass_over(signum: int, frame) -> None:
    """Do nothing about a signal."""


def count_tests(report: str) -> tuple[int, int]:
    """Return how many tests passed and how many failed, by pytest's XML report."""
    passed = 0
    failed = 0
    for suite in ElementTree.fromstring(report).iter("testsuite"):
        wrong = int(suite.get("failures", 0)) + int(suite.get("errors", 0))
        failed += wrong
        passed += int(suite.get("tests", 0)) - wrong - int(suite.get("skipped", 0))
    return passed, failed


def list_phases(workers: int) -> list[Phase]:
    """Return the phases of a whole run; each file is in exactly one."""
    crowds: list[str] = []
    for stem in CROWD_FILES:
        crowds.append(f"tests/{stem}.py")
    beside = ["-n", str(workers), "--dist", "loadfile", "--no-loadscope-reorder"]
    for path in crowds:
        beside.append(f"--ignore={path}")
    return [Phase("side by side", beside), Phase("crowds", crowds)]


def run_phases(phases: list[Phase], more: list[str], folder: Path = REPORTS) -> int:
    """Run phases one after the other; return 0 if all went well, else 1.

    Pytest's reports are written to `folder`.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for phase in phases:
        phase.run(folder, more)
        if phase.is_interrupted:
            break
    is_well = True
    for phase in phases:
        counts = f"{phase.passed} passed, {phase.failed} failed"
        print(f"{phase.name}: {counts}, exit code {phase.code}")
        is_well = is_well and phase.code == 0 and phase.passed > 0
    passed = sum(phase.passed for phase in phases)
    print(f"{passed} passed, {sum(phase.failed for phase in phases)} failed")
    return 0 if is_well else 1


def main() -> int:
    """Print the listed tests and run all others; return the exit code."""
    deselected: list[str] = []
    for name in load_known_red():
        print(f"known red, passed over: {name}", flush=True)
        deselected.append(f"--deselect={name}")
    if len(sys.argv) > 1:
        return int(pytest.main([*sys.argv[1:], *deselected]))
    workers = int(os.environ.get("TEST_WORKERS", count_workers(count_cores())))
    return run_phases(list_phases(workers), ["--durations=20", *deselected])


if __name__ == "__main__":
    sys.exit(main())
