"""The test command: its phases, what they count, and how many processes run."""

import ast
import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from tests.fileweights import (
    CROWD_FILES,
    LONGEST_FILES,
    PROCESSES,
    count_processes,
    count_workers,
    find_place,
)
from tests.processbudget import ProcessBudget
from tests.run import ROOT, Phase, list_phases, run_phases

TESTS = ROOT / "tests"
STARTERS = {"standins.fleet.Fleet", "tests.processsite", "soak.main"}
"""What starts daemons, as it is imported."""
WAIT_S = 10
STAYS_S = 0.3
PASSING = "def test_one(): pass\ndef test_two(): pass\n"
FAILING = "def test_three(): pass\ndef test_four(): assert False\n"
BROKEN_AT_SETUP = """
import pytest
@pytest.fixture
def broken(): raise RuntimeError
def test_five(broken): pass
"""
SESSION = """
import os
def test_the_session():
    assert os.getsid(0) == os.getpgid(0) != int(os.environ["SESSION_OF_THE_START"])
"""
HANGING = """
import pathlib, subprocess, sys, time
def test_that_hangs():
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    pathlib.Path(__file__).with_name("child").write_text(str(child.pid))
    time.sleep(60)
"""
RUN_ONE = """
import sys
from pathlib import Path
from tests.run import Phase, run_phases
phases = [Phase("one", [sys.argv[1]]), Phase("never", [sys.argv[1]])]
sys.exit(run_phases(phases, [], Path(sys.argv[2])))
"""


def list_imports(path: Path) -> set[str]:
    """Return what a file imports, by module and by name."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        found.add(node.module)
        for alias in node.names:
            found.add(f"{node.module}.{alias.name}")
    return found


def uses_fleet_fixture(path: Path) -> bool:
    """Return whether a test of a file takes the running fleet of conftest.py."""
    text = path.read_text()
    if "\ndef fleet(" in text:
        return False
    for node in ast.parse(text).body:
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        names = [argument.arg for argument in node.args.args]
        if node.name.startswith("test_") and "fleet" in names:
            return True
    return False


def starts_daemons(path: Path, seen: set[Path]) -> bool:
    """Return whether a file, or a file of tests that it imports, starts daemons."""
    seen.add(path)
    if path.stem.startswith("test_") and uses_fleet_fixture(path):
        return True
    for name in list_imports(path):
        if name in STARTERS:
            return True
        other = ROOT / (name.replace(".", "/") + ".py")
        if not name.startswith("tests.") or not other.exists() or other in seen:
            continue
        if starts_daemons(other, seen):
            return True
    return False


# Guards against daemons that don't listen within their bound, since too many files that
# start some run at once: each of these files has a weight.
def test_each_file_that_starts_daemons_has_a_weight_or_runs_alone():
    missing: list[str] = []
    for path in sorted(TESTS.glob("**/test_*.py")):
        if path.stem in PROCESSES or path.stem in CROWD_FILES:
            continue
        if path.stem not in STARTING_NONE and starts_daemons(path, set()):
            missing.append(path.stem)
    assert missing == []


STARTING_NONE = {"test_run", "test_ended_processes"}
"""These use the machinery alone, with processes that only sleep."""


def test_the_tables_name_files_that_exist_each_once():
    stems = [path.stem for path in TESTS.glob("**/test_*.py")]
    assert len(stems) == len(set(stems))
    assert {*CROWD_FILES, *PROCESSES, *LONGEST_FILES} <= set(stems)
    assert not set(CROWD_FILES) & {*PROCESSES, *LONGEST_FILES}


# Guards against a file that is in no phase, or in both.
def test_the_second_phase_has_the_files_that_the_first_ignores():
    beside, crowds = list_phases(4)
    ignored: list[str] = []
    for argument in beside.arguments:
        if argument.startswith("--ignore="):
            ignored.append(argument.removeprefix("--ignore="))
    assert ignored == crowds.arguments
    assert len(ignored) == len(CROWD_FILES)


def test_the_longest_files_begin_first_and_then_those_with_daemons():
    stems = ["test_texts", "test_path", LONGEST_FILES[1], LONGEST_FILES[0]]
    stems.sort(key=find_place)
    assert stems == [LONGEST_FILES[0], LONGEST_FILES[1], "test_path", "test_texts"]


def test_the_number_of_workers_follows_the_cores_up_to_a_cap():
    assert [count_workers(cores) for cores in (1, 2, 4, 8, 64)] == [1, 1, 2, 4, 8]
    assert [count_processes(cores) for cores in (1, 8)] == [3, 24]


def make_phase(folder: Path, name: str, text: str) -> Phase:
    """Return a phase of one file with a text."""
    path = folder / f"test_{name}.py"
    path.write_text(text)
    return Phase(name, [str(path)])


# Guards against a failure in one phase that the other's success hides, and against
# counts that don't add up.
def test_a_failure_in_any_phase_fails_the_run(tmp_path, capfd):
    phases = [
        make_phase(tmp_path, "failing", FAILING),
        make_phase(tmp_path, "broken", BROKEN_AT_SETUP),
        make_phase(tmp_path, "passing", PASSING),
    ]
    assert run_phases(phases, [], tmp_path) == 1
    lines = capfd.readouterr().out.splitlines()
    assert "passing: 2 passed, 0 failed, exit code 0" in lines
    assert "failing: 1 passed, 1 failed, exit code 1" in lines
    assert "broken: 0 passed, 1 failed, exit code 1" in lines
    assert lines[-1] == "3 passed, 2 failed"


def test_a_run_without_failures_succeeds(tmp_path, capfd):
    assert run_phases([make_phase(tmp_path, "one", PASSING)], [], tmp_path) == 0
    assert capfd.readouterr().out.splitlines()[-1] == "2 passed, 0 failed"


# Guards against a phase that runs no test and counts as a success, also with the report
# of an earlier run still there.
def test_a_phase_without_tests_fails_the_run(tmp_path, capfd):
    assert run_phases([make_phase(tmp_path, "one", PASSING)], [], tmp_path) == 0
    assert run_phases([make_phase(tmp_path, "one", "")], [], tmp_path) == 1
    assert run_phases([Phase("one", ["--no-such-option"])], [], tmp_path) == 1
    assert capfd.readouterr().out.splitlines()[-1] == "0 passed, 0 failed"


# Guards against listed tests that run, and against others that are passed over.
def test_the_listed_tests_are_passed_over_in_each_phase(tmp_path, capfd):
    phase = make_phase(tmp_path, "failing", FAILING)
    more = [f"--rootdir={tmp_path}", "--deselect=test_failing.py::test_four"]
    assert run_phases([phase], more, tmp_path) == 0
    assert capfd.readouterr().out.splitlines()[-1] == "1 passed, 0 failed"


# Guards against frozen processes that run on as the shell that started the tests ends:
# the kernel wakes the stopped ones of a group that loses its last shell.
@pytest.mark.parametrize("options", [[], ["-n", "1"]], ids=["alone", "side by side"])
def test_a_phase_has_a_session_of_its_own(options, tmp_path, monkeypatch):
    monkeypatch.setenv("SESSION_OF_THE_START", str(os.getsid(0)))
    text = SESSION
    if options:
        text = text.replace("os.getsid(0) == os.getpgid(0)", "os.getsid(0)")
    phase = make_phase(tmp_path, "session", text)
    assert run_phases([phase], options, tmp_path) == 0


# Guards against processes of a phase that live on after the run was interrupted, and
# against one that can't be, since a shell's job in the background ignores SIGINT.
@pytest.mark.parametrize("signals", ["-", "''"], ids=["heeded", "ignored"])
def test_an_interrupted_run_ends_its_processes_and_fails(signals, tmp_path):
    phase = make_phase(tmp_path, "hanging", HANGING)
    start = f'trap {signals} INT; exec "$@"'
    arguments = ["-c", RUN_ONE, phase.arguments[0], str(tmp_path)]
    run = subprocess.Popen(
        ["bash", "-c", start, "bash", sys.executable, *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    noted = tmp_path / "child"
    deadline = threading.Event()
    for _ in range(WAIT_S * 20):
        if noted.exists() and noted.read_text():
            break
        deadline.wait(0.05)
    child = int(noted.read_text())
    run.terminate()
    output, _ = run.communicate(timeout=WAIT_S)
    assert run.returncode == 1
    assert "tests, never" not in output
    for _ in range(WAIT_S * 20):
        if not is_running(child):
            return
        deadline.wait(0.05)
    raise AssertionError("the process of the test lives on")


def is_running(pid: int) -> bool:
    """Return whether a process lives and is no zombie."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


# Guards against more processes at a time than the machine should have, and against a
# file that waits for good since it needs more than there may be in all.
def test_files_wait_until_there_is_room_for_their_processes(tmp_path):
    budget = ProcessBudget(tmp_path, 3)
    has_room = threading.Event()

    def take_all() -> None:
        with ProcessBudget(tmp_path, 3).take(5):
            has_room.set()

    taker = threading.Thread(target=take_all)
    with budget.take(1):
        taker.start()
        assert not has_room.wait(STAYS_S)
    assert has_room.wait(WAIT_S)
    taker.join()
    with budget.take(3):
        pass
