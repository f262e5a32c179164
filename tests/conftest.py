"""Hypothesis profiles of the property tests, and the fixture of a running fleet.

In a worker of a run side by side, also the order of the files and a bound on their
processes.
"""

import os

import pytest
from hypothesis import HealthCheck, Phase, settings

from standins.fleet import Fleet
from tests.fileweights import PROCESSES, count_cores, count_processes, find_place
from tests.processbudget import ProcessBudget

COMMON_SETTINGS = dict(
    deadline=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
    database=None,
    stateful_step_count=60,
    report_multiple_bugs=False,
)
QUICK_PHASES = (Phase.explicit, Phase.generate)
settings.register_profile(
    "ci", derandomize=True, max_examples=100, phases=QUICK_PHASES, **COMMON_SETTINGS
)
settings.register_profile(
    "explore",
    max_examples=int(os.environ.get("FUZZ_STEPS", "200")),
    phases=QUICK_PHASES if "FUZZ_QUICK" in os.environ else tuple(Phase),
    **COMMON_SETTINGS,
)
settings.load_profile("explore" if "FUZZ_SEED" in os.environ else "ci")


def pytest_configure(config: pytest.Config) -> None:
    """Seed an exploring run with the seed of `make fuzz SEED=...`."""
    seed = os.environ.get("FUZZ_SEED")
    if seed is not None:
        config.option.hypothesis_seed = seed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the files that take longest begin first in a run side by side."""
    if "PYTEST_XDIST_WORKER" in os.environ:
        items.sort(key=lambda item: find_place(item.path.stem))


@pytest.fixture(scope="module", autouse=True)
def room_for_processes(request, tmp_path_factory):
    """Hold room for the processes of a file while it runs beside others."""
    count = PROCESSES.get(request.path.stem, 0)
    if count == 0 or "PYTEST_XDIST_WORKER" not in os.environ:
        yield
        return
    # The folder of the whole run, which its workers share.
    folder = tmp_path_factory.getbasetemp().parent / "processes"
    with ProcessBudget(folder, count_processes(count_cores())).take(count):
        yield


@pytest.fixture(scope="module")
def fleet():
    """Run a fleet of three daemons with a catalogue; stop it afterwards."""
    running = Fleet(nodes=3, engines=2)
    try:
        running.start()
        running.load_catalogue()
        yield running
    finally:
        running.stop()
