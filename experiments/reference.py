"""Generate the reference pages of the settings and the catalogue from their types."""

import inspect
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import msgspec

from experiments.figures import render_markdown
from plantainwood.core.catalogue import EDITABLE_SECTIONS, SECTIONS
from plantainwood.edgesettings import EdgeSettings
from plantainwood.settings import Secret, Settings

DOCS = Path(__file__).resolve().parent.parent / "docs"

SETTINGS_HEAD = """# Settings

Made by `make reference` from plantainwood/settings.py. A name ending in `_ms` is in
milliseconds, in `_bytes` in bytes, in `_s` in seconds or per second. Unknown names
are errors; all errors are shown with line, path, value and what is allowed, and the
daemon exits with 2. `--check_settings` only checks. `admin.key` and `links.secret`
may say `env:NAME` and are never printed.
"""

EDGE_HEAD = """
## On the users' platform

From plantainwood/edgesettings.py; `deploy/settings.yaml` renders them. In the section
`overflow`, a change of which takes effect at the next start, `path_ms` is the latency
between failure domains one way, `price_per_gb` the price of 10^9 bytes between them
(null: only time counts) and `wait_price_per_s` what one second of a request's wait is
worth, in the same currency. `request_bytes` are those of a request without a prompt
with its answer, `kv_token_bytes` those of one token's KV cache in a transfer between
engines. `slow_vm.enabled`, too, takes effect at the next start
(docs/design/slow-vms.md).
"""

CATALOGUE_HEAD = """# Catalogue

Made by `make reference` from plantainwood/core/catalogue.py. A file holds the sections
below, each a mapping of names to entries, and `evacuated` a list of names. It is
accepted whole or refused whole, with the line and reason of each problem. Tier 0 is the
most urgent. Keys are not in the file; see `plantainctl key`.

Names of entries have a revision each: an edit is refused as a conflict where somebody
changed the same entry after the revision that the edit is based on. What a file leaves
out is deleted.
"""


def describe_type(annotation: Any) -> str:
    """Return a type as the reference pages show it, with its bounds."""
    if get_origin(annotation) is list:
        return f"list of {describe_type(get_args(annotation)[0])}"
    if get_origin(annotation) in (Union, UnionType):
        parts = [describe_type(part) for part in get_args(annotation)]
        return " or ".join(parts)
    if annotation is NoneType:
        return "null"
    if hasattr(annotation, "__metadata__"):
        meta = annotation.__metadata__[0]
        base = describe_type(get_args(annotation)[0])
        bounds: list[str] = []
        if meta.ge is not None:
            bounds.append(f"from {meta.ge}")
        if meta.le is not None:
            bounds.append(f"to {meta.le}")
        return " ".join([base, *bounds])
    if get_origin(annotation) in (Union, UnionType):
        kinds: list[str] = []
        for kind in get_args(annotation):
            kinds.append("null" if kind is NoneType else describe_type(kind))
        return " or ".join(kinds)
    if isinstance(annotation, type) and hasattr(annotation, "__members__"):
        return " or ".join(member.value for member in annotation)
    return getattr(annotation, "__name__", str(annotation))


def describe_default(field: msgspec.structs.FieldInfo) -> str:
    """Return a field's default, or `required`; the value of a secret is hidden."""
    if field.required:
        return "required"
    if field.default is msgspec.NODEFAULT:
        return "[]"
    value = field.default
    if hasattr(value, "value"):
        value = value.value
    if isinstance(value, Secret):
        return "***"
    if value is None:
        return "`null`"
    return f"`{value!r}`" if not isinstance(value, str) else f"`{value or '(empty)'}`"


def list_fields(struct: type, prefix: str) -> list[list[str]]:
    """Return a row of name, type and default for each scalar field of a struct."""
    rows: list[list[str]] = []
    for field in msgspec.structs.fields(struct):
        name = f"{prefix}{field.name}"
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            rows.extend(list_fields(field.type, f"{name}."))
            continue
        item = get_args(field.type)[0] if get_origin(field.type) is list else None
        if isinstance(item, type) and issubclass(item, msgspec.Struct):
            rows.extend(list_fields(item, f"{name}[]."))
            continue
        rows.append([name, describe_type(field.type), describe_default(field)])
    return rows


def render_settings() -> str:
    """Return the settings page as Markdown."""
    head = ["name", "type", "default"]
    table = render_markdown(head, list_fields(Settings, ""))
    edge_table = render_markdown(head, list_fields(EdgeSettings, ""))
    return f"{SETTINGS_HEAD}\n{table}\n{EDGE_HEAD}\n{edge_table}\n"


def render_catalogue() -> str:
    """Return the catalogue page as Markdown."""
    text = [CATALOGUE_HEAD]
    for section in EDITABLE_SECTIONS:
        struct = SECTIONS[section]
        rows = list_fields(struct, "")
        text += [f"## {section}", "", inspect.getdoc(struct) or "", ""]
        text += [render_markdown(["name", "type", "default"], rows), ""]
    return "\n".join(text)


def main() -> None:
    """Write docs/SETTINGS.md and docs/CATALOGUE.md."""
    (DOCS / "SETTINGS.md").write_text(render_settings())
    (DOCS / "CATALOGUE.md").write_text(render_catalogue())


if __name__ == "__main__":
    main()
