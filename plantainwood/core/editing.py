"""Catalogue edits: accepted as a whole by compare-and-swap, or not at all."""

from typing import Callable

import msgspec

from plantainwood.core.catalogue import (
    MAX_DOCUMENT_BYTES,
    Catalogue,
    Change,
    Problem,
    apply_changes,
    check_catalogue,
    decode_document,
    encode_catalogue,
    find_conflicts,
    merge_document,
)
from plantainwood.core.effects import CompareAndSwap, Procedure, Read, StoredValue
from plantainwood.core.errors import ErrorCode, Outcome, RequestError, StoreError

CATALOGUE_KEY = "catalogue/current"
HISTORY_PREFIX = "catalogue/history/"
HISTORY_LIFETIME_MS = 90 * 86_400_000
MAX_EDIT_TRIES = 6


class HistoryItem(msgspec.Struct, frozen=True):
    """The history entry of one accepted edit, with the paths that it changed."""

    revision: int
    author: str
    wall_ms: int
    changes: list[str]


class Edit(msgspec.Struct, frozen=True):
    """A requested edit, based on the revision that its author had read.

    `compute_changes` is called at each attempt with the catalogue as it is then.
    """

    change_id: str
    author: str
    wall_ms: int
    base_revision: int
    compute_changes: Callable[[Catalogue], list[Change]]


class InvalidEdit(RequestError):
    """Refuse an edit and list every problem in the resulting catalogue."""

    def __init__(self, problems: list[Problem]) -> None:
        text = "; ".join(f"{item.path}: {item.reason}" for item in problems)
        super().__init__(ErrorCode.INVALID_CATALOGUE, text)
        self.problems = problems


def load_catalogue(stored: StoredValue | None) -> Catalogue:
    """Return the stored catalogue, or an empty one if there is none yet."""
    empty = Catalogue()
    if stored is None:
        return empty
    return merge_document(empty, decode_document(stored.value)) or empty


def apply_edit(edit: Edit) -> Procedure:
    """Apply an edit; return the catalogue that contains it.

    After a lost reply the edit is looked up by its change id, so it is never applied
    twice and never reported as refused once it has taken effect. Raises RequestError
    if it is refused or could not be confirmed.
    """
    for _ in range(MAX_EDIT_TRIES):
        try:
            stored = yield Read(CATALOGUE_KEY)
        except StoreError:
            continue
        current = load_catalogue(stored if isinstance(stored, StoredValue) else None)
        if edit.change_id in current.change_ids:
            return current
        changes = edit.compute_changes(current)
        if not changes:
            return current
        updated = _build_next(edit, current, changes)
        expected = stored.revision if isinstance(stored, StoredValue) else 0
        try:
            if not (
                yield CompareAndSwap(CATALOGUE_KEY, encode_catalogue(updated), expected)
            ):
                continue
        except StoreError:
            continue
        yield from _store_history(edit, updated.revision, changes)
        return updated
    message = "the edit could not be confirmed; it may have been accepted"
    raise RequestError(ErrorCode.STORE_UNAVAILABLE, message, Outcome.UNKNOWN, 2_000)


def _build_next(edit: Edit, current: Catalogue, changes: list[Change]) -> Catalogue:
    """Return the next catalogue; raise RequestError if the edit is refused."""
    conflicts = find_conflicts(current, changes, edit.base_revision)
    if conflicts:
        message = f"changed since revision {edit.base_revision}: {', '.join(conflicts)}"
        raise RequestError(ErrorCode.CONFLICT, message)
    try:
        updated = apply_changes(current, changes, edit.change_id)
    except msgspec.ValidationError as error:
        raise InvalidEdit([Problem("catalogue", str(error))]) from error
    problems = check_catalogue(updated)
    if problems:
        raise InvalidEdit(problems)
    if len(encode_catalogue(updated)) > MAX_DOCUMENT_BYTES:
        reason = f"the catalogue would exceed {MAX_DOCUMENT_BYTES} bytes"
        raise InvalidEdit([Problem("catalogue", reason)])
    return updated


def _store_history(edit: Edit, revision: int, changes: list[Change]) -> Procedure:
    """Store what the edit changed; the edit remains in force even if this fails."""
    item = HistoryItem(
        revision, edit.author, edit.wall_ms, [change.path for change in changes]
    )
    try:
        key = f"{HISTORY_PREFIX}{revision:012d}"
        yield CompareAndSwap(key, msgspec.json.encode(item), 0, HISTORY_LIFETIME_MS)
    except StoreError:
        pass
    return None
