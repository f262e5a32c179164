"""YAML parsing that keeps the line of each value for error messages."""

from typing import Any

import yaml

from plantainwood.core.catalogue import Problem


class YamlSource:
    """Data parsed from YAML, and the line of each dotted path in it."""

    __slots__ = ("data", "lines")

    def __init__(self, data: Any, lines: dict[str, int]) -> None:
        self.data = data
        self.lines = lines

    def find_line(self, path: str) -> int:
        """Return the line of a path or of its nearest parent that has one, else 1."""
        while path:
            if path in self.lines:
                return self.lines[path]
            path = path.rpartition(".")[0]
        return 1

    def format_problem(self, problem: Problem) -> str:
        """Return a problem as one line of text, with its line number and path."""
        return f"line {self.find_line(problem.path)}: {problem.path}: {problem.reason}"


class InvalidYamlError(Exception):
    """Report a text that is not valid YAML or contains a duplicate name."""


def read_yaml(text: str) -> YamlSource:
    """Return a YAML text's data and lines; raise InvalidYamlError if it is malformed.

    An empty text gives an empty mapping.
    """
    lines: dict[str, int] = {}
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InvalidYamlError(f"not valid YAML: {error}") from error
    if root is not None:
        _record_lines(root, "", lines)
    return YamlSource(data if data is not None else {}, lines)


def _record_lines(node: yaml.Node, path: str, lines: dict[str, int]) -> None:
    if not isinstance(node, yaml.MappingNode):
        return
    for key, value in node.value:
        name = f"{path}.{key.value}" if path else str(key.value)
        if name in lines:
            line = key.start_mark.line + 1
            raise InvalidYamlError(f"line {line}: {name}: the name stands twice")
        lines[name] = key.start_mark.line + 1
        _record_lines(value, name, lines)
