"""Mutation check: a proof or test must fail when the mechanism it covers is broken.

Each mutant is applied to a copy of the tree; its test is run there and must fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from experiments.mutantcases import MUTANTS, Mutant

ROOT = Path(__file__).resolve().parent.parent
COPIED_PATHS = (
    "plantainwood",
    "plantainctl",
    "platform",
    "deploy",
    "standins",
    "tests",
    "pyproject.toml",
)
TEST_TIMEOUT_S = 300
WORKER_COUNT = 4


def is_caught(mutant: Mutant) -> bool:
    """Return whether the mutant's test fails on a mutated copy of the tree."""
    with tempfile.TemporaryDirectory(prefix="plantainwood-mutant-") as folder:
        for name in COPIED_PATHS:
            source = ROOT / name
            target = Path(folder) / name
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, target, ignore=ignored)
            else:
                shutil.copy(source, target)
        path = Path(folder) / mutant.file
        text = path.read_text()
        if text.count(mutant.before) != 1:
            raise SystemExit(
                f"{mutant.name}: the text to replace must occur exactly once"
            )
        path.write_text(text.replace(mutant.before, mutant.after))
        result = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", mutant.test],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": folder},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
        )
    return result.returncode == 1


def main() -> int:
    """Check all mutants, or those whose name contains or point equals the argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen: list[Mutant] = []
    for mutant in MUTANTS:
        if pattern in mutant.name or pattern == str(mutant.point):
            chosen.append(mutant)
    missed = 0
    with ThreadPoolExecutor(WORKER_COUNT) as pool:
        for mutant, caught in zip(chosen, pool.map(is_caught, chosen), strict=True):
            missed += not caught
            verdict = "caught" if caught else "MISSED"
            print(f"{verdict}: point {mutant.point}: {mutant.name}", flush=True)
    print(f"{len(chosen) - missed} passed, {missed} failed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
