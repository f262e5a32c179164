"""The catalogue: typed entries, revisions, deltas and validation as a whole."""

from enum import Enum
from typing import Iterator

import msgspec

from plantainwood.core.decoding import MalformedError, decode_json

MAX_DOCUMENT_BYTES = 1_000_000
MAX_TOMBSTONES = 2_000
MAX_CHANGE_IDS = 64


class UpstreamKind(Enum):
    """Whether an upstream is a model engine or a plain service."""

    ENGINE = "engine"
    PLAIN = "plain"


class EntryBase(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all catalogue entries: immutable and without unknown fields."""


class ServiceClass(EntryBase, frozen=True, gc=False):
    """A class of service; tier 0 is the most urgent.

    A request attains its target when its first token, the mean time between tokens
    and its completion are each within their limits. It waits at most
    queue_timeout_ms; after starvation_ms its tier is entitled to its min_share of
    the tokens.
    """

    owner: str
    tier: int
    first_token_ms: int = 600
    between_tokens_ms: int = 50
    completion_ms: int = 60_000
    queue_timeout_ms: int = 30_000
    starvation_ms: int = 10_000
    min_share: float = 0.05
    repeatable: bool = True


class Customer(EntryBase, frozen=True):
    """A customer, its weight and its limits over the whole fleet."""

    owner: str
    classes: list[str]
    weight: float = 1.0
    requests_per_s: float = 100.0
    tokens_per_s: float = 10_000.0
    concurrent: int = 100


class Model(EntryBase, frozen=True):
    """A model by the name that callers use."""

    owner: str
    max_tokens: int = 4_096


class Service(EntryBase, frozen=True):
    """A plain service; calls to one that is not repeatable run at most once."""

    owner: str
    repeatable: bool = True
    open_to_all: bool = False


class Upstream(EntryBase, frozen=True):
    """An engine or plain service process that requests are sent to."""

    owner: str
    kind: UpstreamKind
    address: str
    domain: str
    models: list[str] = []
    service: str = ""
    slots: int = 8
    cost_per_hour: float = 1.0
    cheap: bool = False
    checks_fencing: bool = True

    @property
    def software_version(self) -> str:
        """Return the version of the process, not of its weights; empty if unknown."""
        return ""


class DiscoveredUpstream(Upstream, frozen=True):
    """An upstream that registered itself; operators don't write such entries."""

    memory_tokens: int = 0
    """Tokens that fit in the engine's KV cache; 0 if not known."""
    instance: str = ""
    """The instance id that the process at the address must have."""
    max_connections: int = 0
    """Connections that it accepts from all nodes together; 0 if no limit is known."""
    leaving: bool = False
    """Whether it finishes its running requests and accepts no new ones."""
    version: str = ""
    """The version of its software; empty if not known."""
    cold_start_ms: int = 0
    """How long it is cold after its start; 0: never."""
    cold_per_s: float = 0.0
    """Requests per second that it takes from all nodes while cold; 0: no bound."""

    @property
    def software_version(self) -> str:
        """Return the version that the process registered."""
        return self.version


class ServingVm(Upstream, frozen=True):
    """Another VM, which serves calls for nodes that have lost their own path.

    Operators don't write such entries; they come from the VMs' heartbeats.
    """

    weight: int = 1
    """Its capacity in hundredths of a core."""
    path_lost: bool = False
    """Whether it reaches no upstreams itself."""
    unreached_pools: tuple[str, ...] = ()
    """The pools of which it reaches no upstream."""


class Key(EntryBase, frozen=True):
    """A caller's API key, stored only as a salted hash."""

    customer: str
    salt: str
    digest: str
    withdrawn: bool = False


class Evacuation(EntryBase, frozen=True):
    """A failure domain, by name, to whose upstreams nothing is sent.

    In a file, the section is a list of names.
    """


EntryBody = ServiceClass | Customer | Model | Service | Upstream | Key | Evacuation

SECTIONS: dict[str, type] = {
    "classes": ServiceClass,
    "customers": Customer,
    "models": Model,
    "services": Service,
    "upstreams": Upstream,
    "keys": Key,
    "evacuated": Evacuation,
}
EVACUATED_SECTION = "evacuated"
EDITABLE_SECTIONS = (
    "classes",
    "customers",
    "models",
    "services",
    "upstreams",
    EVACUATED_SECTION,
)


class Entry(msgspec.Struct, frozen=True):
    """One entry as stored: its section, name, revision and body."""

    section: str
    name: str
    revision: int
    body: dict | None
    """The body as plain data, or None for a deleted entry (a tombstone)."""

    @property
    def path(self) -> str:
        """Return 'section/name', which is unique in the catalogue."""
        return f"{self.section}/{self.name}"


class Problem(msgspec.Struct, frozen=True):
    """A reason why a catalogue or a settings file is refused, and where."""

    path: str
    reason: str


class Catalogue:
    """Hold one revision of the whole catalogue, decoded for lookup."""

    __slots__ = ("revision", "change_ids", "entries", "_typed", "floor")

    def __init__(
        self,
        revision: int = 0,
        entries: dict[str, Entry] | None = None,
        change_ids: tuple[str, ...] = (),
        floor: int = 0,
    ) -> None:
        self.revision = revision
        self.change_ids = change_ids
        self.entries = entries or {}
        self.floor = floor
        self._typed: dict[str, dict[str, EntryBody]] = {name: {} for name in SECTIONS}
        for entry in self.entries.values():
            if entry.body is None:
                continue
            typed = msgspec.convert(entry.body, SECTIONS[entry.section])
            self._typed[entry.section][entry.name] = typed

    @property
    def classes(self) -> dict[str, ServiceClass]:
        """Return the service classes by name."""
        return self._typed["classes"]  # type: ignore[return-value]

    @property
    def customers(self) -> dict[str, Customer]:
        """Return the customers by name."""
        return self._typed["customers"]  # type: ignore[return-value]

    @property
    def models(self) -> dict[str, Model]:
        """Return the models by name."""
        return self._typed["models"]  # type: ignore[return-value]

    @property
    def services(self) -> dict[str, Service]:
        """Return the plain services by name."""
        return self._typed["services"]  # type: ignore[return-value]

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """Return the upstreams by name."""
        return self._typed["upstreams"]  # type: ignore[return-value]

    @property
    def keys(self) -> dict[str, Key]:
        """Return the keys by their public id."""
        return self._typed["keys"]  # type: ignore[return-value]

    @property
    def evacuated(self) -> dict[str, int]:
        """Return the revisions at which the evacuated failure domains became so."""
        found: dict[str, int] = {}
        for name in self._typed[EVACUATED_SECTION]:
            found[name] = self.entries[f"{EVACUATED_SECTION}/{name}"].revision
        return found

    def list_entries_since(self, revision: int) -> list[Entry] | None:
        """Return the entries newer than a revision.

        Returns None for a revision below `floor`: newer tombstones may have been
        dropped, so the deletions since then are not all known.
        """
        if revision < self.floor:
            return None
        return [entry for entry in self.entries.values() if entry.revision > revision]


def assemble_catalogue(
    revision: int,
    classes: dict[str, ServiceClass],
    customers: dict[str, Customer],
    services: dict[str, Service],
    upstreams: dict[str, Upstream],
) -> Catalogue:
    """Return a catalogue without stored entries, since its source is elsewhere."""
    catalogue = Catalogue(revision)
    catalogue._typed["classes"] = dict(classes)
    catalogue._typed["customers"] = dict(customers)
    catalogue._typed["services"] = dict(services)
    catalogue._typed["upstreams"] = dict(upstreams)
    return catalogue


class Document(msgspec.Struct, frozen=True):
    """The stored and transmitted form of a catalogue, or of a delta to one."""

    revision: int
    base: int
    """Zero for a whole document, else the revision that the delta applies to."""
    floor: int
    change_ids: tuple[str, ...]
    entries: list[Entry]
    """All entries of the sections that earlier builds know."""
    evacuated: list[Entry] = []
    """Those of the section EVACUATED_SECTION, which earlier builds ignore."""


def encode_catalogue(catalogue: Catalogue) -> bytes:
    """Return the whole catalogue as JSON bytes."""
    return msgspec.json.encode(
        _make_document(catalogue, 0, list(catalogue.entries.values()))
    )


def _make_document(catalogue: Catalogue, base: int, entries: list[Entry]) -> Document:
    """Return the document with some of a catalogue's entries."""
    return Document(
        revision=catalogue.revision,
        base=base,
        floor=catalogue.floor,
        change_ids=catalogue.change_ids,
        entries=[entry for entry in entries if entry.section != EVACUATED_SECTION],
        evacuated=[entry for entry in entries if entry.section == EVACUATED_SECTION],
    )


def decode_document(data: bytes) -> Document:
    """Decode a JSON document; raise ValueError if it is malformed."""
    try:
        return decode_json(data, Document)
    except MalformedError as error:
        raise ValueError(f"malformed catalogue document: {error}") from error


def make_delta(catalogue: Catalogue, base: int) -> Document:
    """Return the delta from a base revision, or the whole document if there is none."""
    entries = catalogue.list_entries_since(base)
    if entries is None or base == 0:
        entries = list(catalogue.entries.values())
        base = 0
    return _make_document(catalogue, base, entries)


def merge_document(current: Catalogue, document: Document) -> Catalogue | None:
    """Return the catalogue with the document applied, or None if it can't be applied.

    A revision never goes backwards, a delta applies only to its own base or to a
    later revision, and the result must be valid.
    """
    if document.revision <= current.revision:
        return None
    if document.base > current.revision:
        return None
    entries: dict[str, Entry] = {}
    if document.base:
        entries.update(current.entries)
    for entry in (*document.entries, *document.evacuated):
        entries[entry.path] = entry
    merged = Catalogue(
        document.revision, entries, document.change_ids, floor=document.floor
    )
    if check_catalogue(merged):
        return None
    return merged


class Change(msgspec.Struct, frozen=True):
    """A requested change of one entry; a body of None deletes it."""

    section: str
    name: str
    body: dict | None

    @property
    def path(self) -> str:
        """Return the path of the entry to change."""
        return f"{self.section}/{self.name}"


def diff_catalogue(catalogue: Catalogue, wanted: dict[str, dict]) -> list[Change]:
    """Return the changes that make the editable sections equal to `wanted`."""
    changes: list[Change] = []
    for section in EDITABLE_SECTIONS:
        bodies = wanted.get(section, {})
        for name, body in bodies.items():
            entry = catalogue.entries.get(f"{section}/{name}")
            if entry is not None and entry.body == body:
                continue
            changes.append(Change(section, name, body))
        for name in catalogue._typed[section]:
            if name in bodies:
                continue
            changes.append(Change(section, name, None))
    return changes


def apply_changes(
    current: Catalogue, changes: list[Change], change_id: str
) -> Catalogue:
    """Return the next catalogue; entries that don't change keep their revisions."""
    revision = current.revision + 1
    entries = dict(current.entries)
    for change in changes:
        entries[change.path] = Entry(change.section, change.name, revision, change.body)
    floor = _trim_tombstones(entries, current.floor)
    change_ids = (*current.change_ids, change_id)[-MAX_CHANGE_IDS:]
    return Catalogue(revision, entries, change_ids, floor)


def _trim_tombstones(entries: dict[str, Entry], floor: int) -> int:
    """Drop the oldest tombstones beyond MAX_TOMBSTONES; return the new floor."""
    tombstones = [entry for entry in entries.values() if entry.body is None]
    tombstones.sort(key=lambda entry: entry.revision)
    while len(tombstones) > MAX_TOMBSTONES:
        oldest = tombstones.pop(0)
        floor = max(floor, oldest.revision)
        del entries[oldest.path]
    return floor


def find_conflicts(
    current: Catalogue, changes: list[Change], base_revision: int
) -> list[str]:
    """Return the paths that someone else changed after the base revision."""
    conflicts: list[str] = []
    for change in changes:
        entry = current.entries.get(change.path)
        if entry is None or entry.revision <= base_revision:
            continue
        conflicts.append(change.path)
    return conflicts


def check_catalogue(catalogue: Catalogue) -> list[Problem]:
    """Return every reason to refuse the catalogue; empty if it is valid."""
    problems: list[Problem] = []
    problems.extend(_check_classes(catalogue))
    problems.extend(_check_customers(catalogue))
    problems.extend(_check_upstreams(catalogue))
    if "" in catalogue.evacuated:
        problems.append(Problem(EVACUATED_SECTION, "a failure domain has a name"))
    for name, key in catalogue.keys.items():
        if key.customer not in catalogue.customers:
            reason = f"unknown customer {key.customer!r}; withdraw the key first"
            if not key.withdrawn:
                problems.append(Problem(f"keys/{name}", reason))
    return problems


def _check_classes(catalogue: Catalogue) -> Iterator[Problem]:
    shares: dict[int, float] = {}
    for name, item in catalogue.classes.items():
        path = f"classes/{name}"
        if not 0 <= item.tier <= 9:
            yield Problem(f"{path}/tier", f"{item.tier} is not within 0 to 9")
        if not 0 < item.min_share <= 0.25:
            yield Problem(f"{path}/min_share", "must be above 0 and at most 0.25")
        if item.queue_timeout_ms <= 0 or item.starvation_ms <= 0:
            yield Problem(path, "queue_timeout_ms and starvation_ms must be above 0")
        shares[item.tier] = max(shares.get(item.tier, 0.0), item.min_share)
    if sum(shares.values()) > 0.9:
        yield Problem("classes", "min_share over all tiers must stay within 0.9")


def _check_customers(catalogue: Catalogue) -> Iterator[Problem]:
    for name, item in catalogue.customers.items():
        path = f"customers/{name}"
        if item.weight <= 0:
            yield Problem(f"{path}/weight", f"{item.weight} must be above 0")
        if item.requests_per_s <= 0 or item.tokens_per_s <= 0 or item.concurrent <= 0:
            yield Problem(path, "limits must be above 0")
        if not item.classes:
            yield Problem(f"{path}/classes", "must name at least one class")
        for class_name in item.classes:
            if class_name not in catalogue.classes:
                yield Problem(f"{path}/classes", f"unknown class {class_name!r}")


def _check_upstreams(catalogue: Catalogue) -> Iterator[Problem]:
    for name, item in catalogue.upstreams.items():
        path = f"upstreams/{name}"
        if not item.address.startswith(("http://", "https://")):
            yield Problem(f"{path}/address", f"{item.address!r} is not an http(s) URL")
        if item.slots <= 0:
            yield Problem(f"{path}/slots", f"{item.slots} must be above 0")
        if item.kind is UpstreamKind.PLAIN and item.service not in catalogue.services:
            yield Problem(f"{path}/service", f"unknown service {item.service!r}")
        for model in item.models:
            if model not in catalogue.models:
                yield Problem(f"{path}/models", f"unknown model {model!r}")
