"""Settings of a daemon, read from YAML and validated as a whole at its start."""

import os
from enum import Enum
from typing import Annotated, Mapping

import msgspec

from plantainwood.core.catalogue import Problem
from plantainwood.core.checks import check_struct
from plantainwood.documents import YamlSource, read_yaml

ENV_PREFIX = "env:"
MIN_SECRET_CHARS = 16

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Millis = Annotated[int, msgspec.Meta(ge=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
MachineSize = Annotated[float, msgspec.Meta(ge=64)]
Name = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9][A-Za-z0-9.-]*$")]


class Secret(str):
    """A string with a masked repr, so that logs, traces and errors never show it."""

    def __repr__(self) -> str:
        return "Secret('***')"


class Exporter(Enum):
    """The destination of spans; `none` discards them."""

    NONE = "none"
    CONSOLE = "console"


class PlannerKind(Enum):
    """How the upstreams that should run are chosen; `none` sends no orders."""

    NONE = "none"
    COST = "cost"
    STATIC = "static"


class Section(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all sections: immutable, and an unknown name is an error."""


class Tls(Section, frozen=True):
    """Certificate and key files of an address; TLS is off if they are empty."""

    certificate: str = ""
    key: str = ""


class Callers(Section, frozen=True):
    """The address that callers connect to, and the limits on their requests."""

    host: str
    port: Port
    public_address: str = ""
    tls: Tls = Tls()
    max_body_bytes: Count = 1_048_576
    max_header_bytes: Count = 16_384
    body_timeout_ms: Millis = 10_000
    idle_timeout_ms: Millis = 75_000


class Admin(Section, frozen=True):
    """The address of the administration API and the metrics, and the API's key."""

    host: str
    port: Port
    key: str
    tls: Tls = Tls()


class Links(Section, frozen=True):
    """The address that other daemons send to, and the secret that signs messages."""

    host: str
    port: Port
    secret: str
    round_ms: Millis = 1_000


class Peer(Section, frozen=True):
    """Another daemon, contacted at the start until the list of VMs is known."""

    node: Name
    domain: Name
    link_address: str


class Machine(Section, frozen=True):
    """The resources of the daemon's machine, which bounds on callers follow.

    null: they don't follow its memory; the process's limit of descriptors counts.
    Callers have 6/10 of the descriptors, new connections from other daemons 1/16.
    """

    memory_mb: MachineSize | None = None
    file_descriptors: MachineSize | None = None


class Store(Section, frozen=True):
    """The platform's key-value service."""

    endpoints: list[str]
    timeout_ms: Millis = 1_500
    calls_per_s: Count = 50
    poll_ms: Millis = 500


class Platform(Section, frozen=True):
    """The platform's other interfaces; an empty URL means not used."""

    orders_url: str = ""
    reports_url: str = ""
    vms_url: str = ""
    timeout_ms: Millis = 2_000


class Duties(Section, frozen=True):
    """Timing of leases, of the duties of their single holder, and of usage records."""

    lease_term_ms: Millis = 9_000
    lease_margin_ms: Millis = 1_000
    planner: PlannerKind = PlannerKind.NONE
    plan_every_ms: Millis = 5_000
    billing_window_ms: Millis = 3_600_000
    billing_grace_ms: Millis = 60_000
    usage_copy_ms: Millis = 1_000
    usage_flush_ms: Millis = 10_000


class Drain(Section, frozen=True):
    """Timing of a daemon's shutdown."""

    linger_ms: Millis = 30_000
    """How long new requests are still served after callers stopped being sent here; at
    least the lifetime of an address list."""
    bound_ms: Millis = 120_000


class Logs(Section, frozen=True):
    """The minimum log level, and whether log lines are JSON."""

    level: str = "INFO"
    json: bool = False


class Traces(Section, frozen=True):
    """Export of spans."""

    exporter: Exporter = Exporter.NONE


class Settings(Section, frozen=True):
    """All settings that a daemon reads at its start."""

    node: Name
    domain: Name
    callers: Callers
    admin: Admin
    links: Links
    store: Store
    platform: Platform = Platform()
    machine: Machine = Machine()
    peers: list[Peer] = []
    duties: Duties = Duties()
    drain: Drain = Drain()
    logs: Logs = Logs()
    traces: Traces = Traces()


class SettingsError(Exception):
    """Report invalid settings, with every problem that was found."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def parse_settings(text: str, environment: Mapping[str, str]) -> Settings:
    """Return the settings in a YAML text; raise SettingsError with all problems."""
    source = read_yaml(text)
    problems = check_struct(source.data, Settings, "")
    if problems:
        raise SettingsError([source.format_problem(problem) for problem in problems])
    settings = msgspec.convert(source.data, Settings)
    admin_key = _resolve_secret(settings.admin.key, "admin.key", environment, source)
    secret = _resolve_secret(settings.links.secret, "links.secret", environment, source)
    return msgspec.structs.replace(
        settings,
        admin=msgspec.structs.replace(settings.admin, key=admin_key),
        links=msgspec.structs.replace(settings.links, secret=secret),
    )


def _resolve_secret(
    value: str, path: str, environment: Mapping[str, str], source: YamlSource
) -> Secret:
    """Return a secret; the value 'env:NAME' stands for that environment variable."""
    if value.startswith(ENV_PREFIX):
        name = value.removeprefix(ENV_PREFIX)
        if name not in environment:
            problem = Problem(path, f"environment variable {name} is not set")
            raise SettingsError([source.format_problem(problem)])
        value = environment[name]
    if len(value) < MIN_SECRET_CHARS:
        problem = Problem(path, f"must have at least {MIN_SECRET_CHARS} characters")
        raise SettingsError([source.format_problem(problem)])
    return Secret(value)


def load_settings(path: str) -> Settings:
    """Return the settings in a file, with secrets from this process's environment."""
    with open(path, encoding="utf-8") as file:
        return parse_settings(file.read(), os.environ)
