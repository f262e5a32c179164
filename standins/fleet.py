"""A fleet on loopback for the demo, the tests and the measurements.

Starts the stand-ins and daemons as separate processes and ends each of them through
its own process handle.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import yaml

from standins.ports import find_ports

ADMIN_KEY = "admin-key-of-the-demo"
LINK_SECRET = "link-secret-of-the-demo"
DOMAINS = ["ba-norte", "ba-oeste", "ba-sur"]
START_TIMEOUT_S = 20.0
ROOT = Path(__file__).resolve().parent.parent


def call(method: str, url: str, body: dict | None = None, key: str = "") -> dict:
    """Return the JSON response to one HTTP call; raise OSError if there is none."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


def wait_until(check, timeout_s: float = START_TIMEOUT_S, pause_s: float = 0.05):
    """Poll a check and return its first true result.

    OSError and KeyError count as false. Raise TimeoutError after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            result = check()
        except (OSError, KeyError):
            result = None
        if result:
            return result
        time.sleep(pause_s)
    raise TimeoutError(f"no result within {timeout_s} s")


class Fleet:
    """Processes of one fleet on loopback, and their ports."""

    def __init__(
        self, nodes: int = 3, engines: int = 2, slots: int = 8, **overrides
    ) -> None:
        self.slots = slots
        self.folder = Path(tempfile.mkdtemp(prefix="plantainwood-"))
        self.nodes = [f"vm-{index + 1}" for index in range(nodes)]
        self.engines = [f"engine-{index + 1}" for index in range(engines)]
        self.processes: dict[str, subprocess.Popen] = {}
        self.roots: dict[str, Path] = {}
        """The source trees of processes that don't run this one, by name."""
        self.overrides = overrides
        ports = iter(find_ports(3 + engines + 3 * nodes))
        self.ports: dict[str, int] = {}
        for name in ["keyvalue", "plain", "platform", *self.engines]:
            self.ports[name] = next(ports)
        for node in self.nodes:
            for role in ("callers", "admin", "links"):
                self.ports[f"{node}/{role}"] = next(ports)

    def url(self, name: str) -> str:
        """Return the address of a stand-in, or of a node's role as 'vm-1/admin'."""
        return f"http://127.0.0.1:{self.ports[name]}"

    def get_domain(self, index: int) -> str:
        """Return the failure domain of the node or engine at an index."""
        return DOMAINS[index % len(DOMAINS)]

    def spawn(self, name: str, arguments: list[str]) -> None:
        """Start one process, with its output in a file of the fleet's folder."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=self.roots.get(name, ROOT),
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
                stdout=log,
                stderr=log,
            )

    def start_standin(self, name: str, kind: str) -> None:
        """Start a stand-in of a kind under a name that has a port."""
        port = str(self.ports[name])
        arguments = ["standins.main", "--kind", kind, "--port", port]
        self.spawn(name, [*arguments, "--slots", str(self.slots)])

    def start_standins(self) -> None:
        """Start all stand-ins and wait until they listen."""
        for kind in ("keyvalue", "plain", "platform"):
            self.start_standin(kind, kind)
        for name in self.engines:
            self.start_standin(name, "engine")
        wait_until(lambda: call("GET", self.url("keyvalue") + "/calls") is not None)
        for name in ("plain", "platform", *self.engines):
            wait_until(lambda: call("POST", self.url(name) + "/control", {}))

    def make_settings(self, node: str) -> dict:
        """Return the settings of a node, with the fleet's overrides."""
        index = self.nodes.index(node)
        host = "127.0.0.1"
        peers = []
        for position, other in enumerate(self.nodes):
            if other == node:
                continue
            address = f"tcp://{host}:{self.ports[f'{other}/links']}"
            domain = self.get_domain(position)
            peers.append({"node": other, "domain": domain, "link_address": address})
        settings = {
            "node": node,
            "domain": self.get_domain(index),
            "callers": {"host": host, "port": self.ports[f"{node}/callers"]},
            "admin": {
                "host": host,
                "port": self.ports[f"{node}/admin"],
                "key": ADMIN_KEY,
            },
            "links": {
                "host": host,
                "port": self.ports[f"{node}/links"],
                "secret": LINK_SECRET,
            },
            "store": {"endpoints": [self.url("keyvalue")]},
            "platform": {
                "orders_url": self.url("platform") + "/orders",
                "reports_url": self.url("platform") + "/reports",
                "vms_url": "",
            },
            "peers": peers,
            "drain": {"linger_ms": 300, "bound_ms": 20_000},
        }
        for section, values in self.overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def start_node(self, node: str) -> None:
        """Write a node's settings and start its daemon."""
        path = self.folder / f"{node}.yaml"
        path.write_text(yaml.safe_dump(self.make_settings(node)))
        self.spawn(node, ["plantainwood", "--settings", str(path)])

    def start(self) -> None:
        """Start stand-ins and daemons and wait until they answer."""
        self.start_standins()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_until_listening(node)

    def wait_until_listening(self, node: str) -> None:
        """Wait until a daemon answers /healthz."""
        wait_until(lambda: call("GET", self.url(f"{node}/callers") + "/healthz"))

    def admin(self, method: str, path: str, body: dict | None = None, node="") -> dict:
        """Call the administration API of a node, the first by default."""
        url = self.url(f"{node or self.nodes[0]}/admin") + path
        return call(method, url, body, ADMIN_KEY)

    def control(self, name: str, **faults) -> None:
        """Set faults of a stand-in."""
        call("POST", self.url(name) + "/control", faults)

    def make_catalogue(self) -> dict:
        """Return a small catalogue of the fleet's upstreams and two customers."""
        owner = "paseos"
        upstreams: dict[str, dict] = {
            "booking-1": {
                "owner": owner,
                "kind": "plain",
                "address": self.url("plain"),
                "domain": DOMAINS[0],
                "service": "booking",
            }
        }
        for index, name in enumerate(self.engines):
            upstreams[name] = {
                "owner": owner,
                "kind": "engine",
                "address": self.url(name),
                "domain": self.get_domain(index),
                "models": ["rounds"],
                "slots": self.slots,
            }
        classes = ["hint", "question", "plan", "booking"]
        return {
            "classes": {
                "hint": {"owner": owner, "tier": 0, "queue_timeout_ms": 20_000},
                "question": {"owner": owner, "tier": 1},
                "plan": {"owner": owner, "tier": 3, "queue_timeout_ms": 120_000},
                "booking": {"owner": owner, "tier": 0, "repeatable": False},
            },
            "customers": {
                "norte-walkers": {
                    "owner": owner,
                    "classes": classes,
                    "requests_per_s": 10_000,
                    "tokens_per_s": 1_000_000,
                    "concurrent": 2_000,
                },
                "sur-walkers": {"owner": owner, "classes": classes},
            },
            "models": {"rounds": {"owner": owner}},
            "services": {"booking": {"owner": owner, "repeatable": False}},
            "upstreams": upstreams,
        }

    def load_catalogue(self) -> int:
        """Apply the small catalogue and wait until each node has it in force."""
        body = {"text": yaml.safe_dump(self.make_catalogue()), "author": "fleet"}
        body["base_revision"] = self.admin("GET", "/admin/status")["revision"]
        revision = self.admin("POST", "/admin/catalogue", body)["revision"]
        self.wait_until_in_force(revision)
        return revision

    def wait_until_in_force(self, revision: int) -> None:
        """Wait until each running node has a revision in force."""
        for node in self.nodes:
            if self.processes[node].poll() is not None:
                continue
            wait_until(lambda: self.serves_revision(node, revision))

    def serves_revision(self, node: str, revision: int) -> bool:
        """Return whether a node has a revision in force and may serve it."""
        status = self.admin("GET", "/admin/status", node=node)
        return status["may_serve"] and status["revision"] >= revision

    def find_holder(self, duty: str, nodes: list[str]) -> str:
        """Return which of some nodes holds a duty, or an empty string."""
        for node in nodes:
            for item in self.admin("GET", "/admin/status", node=node)["duties"]:
                if item["duty"] == duty and item["held"]:
                    return node
        return ""

    def grant(self, customer: str = "norte-walkers") -> tuple[str, str]:
        """Grant a key, wait until it is in force, return its text and id."""
        response = self.admin("POST", "/admin/keys", {"customer": customer})
        self.wait_until_in_force(response["revision"])
        return response["key"], response["id"]

    def kill(self, name: str, signum: int = signal.SIGKILL) -> None:
        """Send a signal to one of the fleet's own processes."""
        self.processes[name].send_signal(signum)

    def terminate(self, name: str, timeout_s: float = 30.0) -> int:
        """End a process with SIGTERM and return its exit code."""
        self.processes[name].terminate()
        return self.processes[name].wait(timeout_s)

    def stop(self) -> dict[str, int]:
        """End all processes, paused ones too; return the daemons' exit codes."""
        codes: dict[str, int] = {}
        for name in self.nodes:
            if name in self.processes:
                self.processes[name].send_signal(signal.SIGCONT)
                self.processes[name].terminate()
        for name in self.nodes:
            if name in self.processes:
                codes[name] = self._wait(self.processes[name])
        for name, process in self.processes.items():
            if name not in self.nodes:
                process.kill()
                process.wait()
        return codes

    def _wait(self, process: subprocess.Popen) -> int:
        try:
            return process.wait(30)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.folder / f"{name}.log").read_text()
