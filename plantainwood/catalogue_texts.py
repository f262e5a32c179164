"""Parsing and validation of the YAML catalogue that operators edit."""

from plantainwood.core.catalogue import (
    EDITABLE_SECTIONS,
    EVACUATED_SECTION,
    SECTIONS,
    Catalogue,
    Change,
    Problem,
    apply_changes,
    check_catalogue,
)
from plantainwood.core.checks import check_struct
from plantainwood.documents import InvalidYamlError, YamlSource, read_yaml

REVISION_KEY = "revision"


class CatalogueTextError(Exception):
    """Report all problems found in a catalogue text, each with its line."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class CatalogueText:
    """A validated catalogue: its sections and the revision that it is based on."""

    __slots__ = ("sections", "revision")

    def __init__(self, sections: dict[str, dict], revision: int) -> None:
        self.sections = sections
        self.revision = revision


def parse_catalogue(text: str) -> CatalogueText:
    """Return a parsed catalogue text; raise CatalogueTextError if it is invalid."""
    try:
        source = read_yaml(text)
    except InvalidYamlError as error:
        raise CatalogueTextError([str(error)]) from error
    revision = 0
    if isinstance(source.data, dict):
        revision = source.data.pop(REVISION_KEY, 0)
        _read_evacuated(source.data)
    if not isinstance(revision, int):
        raise CatalogueTextError([f"{REVISION_KEY}: expected an integer"])
    problems = _check_entries(source)
    if not problems:
        problems = _check_across_entries(source.data)
    if problems:
        raise CatalogueTextError(
            [source.format_problem(problem) for problem in problems]
        )
    return CatalogueText(source.data, revision)


def _read_evacuated(data: dict) -> None:
    """Replace the list of evacuated failure domains by a mapping like other sections.

    Anything else is left for `_check_entries`, which reports it.
    """
    names = data.get(EVACUATED_SECTION)
    if names is None:
        data.pop(EVACUATED_SECTION, None)
    elif isinstance(names, list) and all(isinstance(name, str) for name in names):
        data[EVACUATED_SECTION] = {name: {} for name in names}


def _check_entries(source: YamlSource) -> list[Problem]:
    """Return the problems found in each entry on its own."""
    if not isinstance(source.data, dict):
        return [Problem("", "expected a mapping of sections")]
    problems: list[Problem] = []
    for section, entries in source.data.items():
        if section not in EDITABLE_SECTIONS:
            allowed = ", ".join(EDITABLE_SECTIONS)
            reason = f"unknown section; allowed are: {allowed}"
            problems.append(Problem(str(section), reason))
            continue
        if section == EVACUATED_SECTION and not isinstance(entries, dict):
            problems.append(Problem(section, "expected a list of failure domains"))
            continue
        if not isinstance(entries, dict):
            problems.append(Problem(section, "expected a mapping of names to entries"))
            continue
        for name, body in entries.items():
            path = f"{section}.{name}"
            problems.extend(check_struct(body, SECTIONS[section], path))
    return problems


def _check_across_entries(data: dict[str, dict]) -> list[Problem]:
    """Return the problems found between entries, such as names that do not exist."""
    changes: list[Change] = []
    for section, entries in data.items():
        for name, body in entries.items():
            changes.append(Change(section, name, body))
    catalogue = apply_changes(Catalogue(), changes, "")
    problems: list[Problem] = []
    for problem in check_catalogue(catalogue):
        path = problem.path.replace("/", ".")
        problems.append(Problem(path, problem.reason))
    return problems
