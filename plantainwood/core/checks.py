"""Validation of plain data against typed structs: every problem, with its path."""

from typing import Any, get_args, get_origin

import msgspec

from plantainwood.core.catalogue import Problem


def check_struct(data: Any, kind: type, path: str) -> list[Problem]:
    """Return every reason why plain data is not a valid struct of a type."""
    if not isinstance(data, dict):
        return [Problem(path, f"expected a mapping, got {type(data).__name__}")]
    problems: list[Problem] = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in data:
        if name not in fields:
            allowed = ", ".join(sorted(fields))
            reason = f"unknown name; allowed are: {allowed}"
            problems.append(Problem(_join(path, str(name)), reason))
    for name, field in fields.items():
        if name in data:
            problems.extend(_check_value(data[name], field.type, _join(path, name)))
        elif field.required:
            problems.append(Problem(_join(path, name), "is required"))
    return problems


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _check_value(value: Any, kind: Any, path: str) -> list[Problem]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return check_struct(value, kind, path)
    item = _get_item_type(kind)
    if item is not None and isinstance(value, list):
        problems: list[Problem] = []
        for index, entry in enumerate(value):
            problems.extend(check_struct(entry, item, f"{path}[{index}]"))
        return problems
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        return [Problem(path, f"{value!r} is not allowed: {error}")]
    return []


def _get_item_type(kind: Any) -> type | None:
    """Return the struct type of a list type's items, or None for other types."""
    if get_origin(kind) is not list:
        return None
    item = get_args(kind)[0]
    if isinstance(item, type) and issubclass(item, msgspec.Struct):
        return item
    return None
