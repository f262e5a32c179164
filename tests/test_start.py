"""What a start on the hosting platform leaves out, since callers wait for it."""

import asyncio
import gc
import os
import signal
import subprocess
import sys
from pathlib import Path

from bridge import daemon
from tests.samples import SETTINGS

MAIN = Path(__file__).resolve().parent.parent / "platform" / "main.py"


def run_after_imports(code: str) -> str:
    """Return what code prints in a process that has imported the daemon's modules."""
    program = f"import runpy; runpy.run_path({str(MAIN)!r}); {code}"
    # The folder "platform" has to be on the path as it is for a script in it.
    program = f"import sys; sys.path.insert(0, {str(MAIN.parent)!r}); " + program
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return result.stdout.strip()


# Guards against a start that a change of the settings ends (SIGHUP's default).
def test_a_signal_of_changed_settings_during_the_imports_does_not_end_the_process():
    code = f"""
import builtins, os, runpy, signal, sys
sys.path.insert(0, {str(MAIN.parent)!r})
original = builtins.__import__
def signal_and_import(name, *arguments, **options):
    if name == "bridge.daemon":
        os.kill(os.getpid(), signal.SIGHUP)
    return original(name, *arguments, **options)
builtins.__import__ = signal_and_import
runpy.run_path({str(MAIN)!r})
print("imported")
"""
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False
    )
    assert result.stdout.strip() == "imported"


class LeavingDaemon(daemon.EdgeDaemon):
    """A daemon without services that is told to leave as soon as it has started."""

    async def start(self) -> None:
        """Send this process the signal to leave."""
        os.kill(os.getpid(), signal.SIGTERM)

    async def drain(self) -> None:
        """Do nothing: there are no calls."""

    async def stop(self) -> None:
        """Do nothing: there are no services."""


def test_a_start_loads_no_certificates():
    code = (
        "from aiohttp import connector; "
        "print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509_ca'])"
    )
    assert run_after_imports(code) == "0"


# Guards against modules that only the product's own interface needs: each is paid for
# with time without service after a loss of all VMs.
def test_a_start_loads_no_routes_of_the_http_library():
    code = "import sys; print('aiohttp.web_app' in sys.modules)"
    assert run_after_imports(code) == "False"
    code = "import sys; print('plantainwood.engines' in sys.modules)"
    assert run_after_imports(code) == "False"


def test_imports_run_without_garbage_collection():
    assert run_after_imports("import gc; print(gc.isenabled())") == "False"


def test_a_serving_daemon_collects_garbage(monkeypatch):
    gc.disable()
    monkeypatch.setattr(daemon, "EdgeDaemon", LeavingDaemon)
    try:
        asyncio.run(daemon.serve(SETTINGS, os.devnull))
        assert gc.isenabled()
    finally:
        gc.enable()


class ObservedDaemon(LeavingDaemon):
    """Record whether the start finds what imports have made kept from collections."""

    imports_are_frozen = False

    async def start(self) -> None:
        """Compare the objects that collections look at with all others."""
        type(self).imports_are_frozen = gc.get_freeze_count() > len(gc.get_objects())
        await super().start()


# Guards against a standstill just as all callers return: a collection of garbage that
# looks at all that imports have made took 60 ms of the processor.
def test_a_start_collects_nothing_that_imports_have_made(monkeypatch):
    gc.unfreeze()
    monkeypatch.setattr(daemon, "EdgeDaemon", ObservedDaemon)
    asyncio.run(daemon.serve(SETTINGS, os.devnull))
    assert ObservedDaemon.imports_are_frozen
