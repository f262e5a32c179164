"""Explanations of routes: the query, and the answer as text."""

import argparse
import re
from typing import Any
from urllib.parse import urlencode

from plantainctl.client import Client
from plantainctl.output import render_table

PLATFORM_FIELDS = (
    "host",
    "path",
    "method",
    "customer",
    "prompt",
    "tokens",
    "remaining_ms",
    "request_id",
)
OWN_FIELDS = ("model", "service", "class", "customer")
REQUIRED_FIELDS = {"platform": ("host", "path"), "own": ("customer", "class")}
ADDRESS_PATTERN = re.compile(
    r"[A-Za-z0-9._\-]+:[0-9]{1,5}|\[[0-9a-fA-F:]+\]:[0-9]{1,5}"
)
MAX_PORT = 65_535
COUNT_PATTERN = r"[0-9]{1,18}"
PATTERNS = {
    "path": re.compile(r"/\S*"),
    "prompt": re.compile(rf"[^:,\s]+:{COUNT_PATTERN}(,[^:,\s]+:{COUNT_PATTERN})*"),
    "tokens": re.compile(rf"{COUNT_PATTERN}(,{COUNT_PATTERN})?"),
    "remaining_ms": re.compile(COUNT_PATTERN),
}
COLUMNS = (
    "upstream",
    "domain",
    "reason",
    "score",
    "expected_ms",
    "backlog_tokens",
    "cached_tokens",
    "own_in_flight",
    "in_flight",
    "slots",
    "slowness",
)
CHOSEN = "chosen"


class UsageError(Exception):
    """An argument that is missing or invalid."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that describe a request."""
    parser.add_argument(
        "--address",
        default="",
        help="HOST:PORT of the metrics of a VM on the users' platform; without it, the "
        "administration API is asked",
    )
    parser.add_argument("--host", help="the request's host")
    parser.add_argument("--path", help="the request's path")
    parser.add_argument("--method", help="the request's method; default GET")
    parser.add_argument("--customer", help="the customer's name, never a key")
    parser.add_argument("--prompt", help="its parts as ID:TOKENS,..., its own one last")
    parser.add_argument("--tokens", help="PROMPT,MAX_OUTPUT")
    parser.add_argument("--remaining_ms", help="how long the caller still waits")
    parser.add_argument("--request_id", help="the request's id, if that matters")
    parser.add_argument("--model", help="without --address: the model")
    parser.add_argument("--service", help="without --address: the plain service")
    parser.add_argument("--class", dest="class", help="without --address: the class")
    parser.add_argument("--json", action="store_true", help="print the whole answer")


def ask_explanation(client: Client, args: argparse.Namespace) -> dict[str, Any]:
    """Return the explanation; raise UsageError if an argument is invalid."""
    return client.get(f"{_find_path(args)}?{urlencode(make_query(args))}")


def _find_path(args: argparse.Namespace) -> str:
    return "/explain" if args.address else "/admin/explain"


def make_query(args: argparse.Namespace) -> dict[str, str]:
    """Return the fields of the query; raise UsageError if one is invalid."""
    if args.address:
        _check_address(args.address)
    kind, allowed = (
        ("platform", PLATFORM_FIELDS) if args.address else ("own", OWN_FIELDS)
    )
    found: dict[str, str] = {}
    for name in dict.fromkeys(PLATFORM_FIELDS + OWN_FIELDS):
        text = getattr(args, name)
        if text is None:
            continue
        if name not in allowed:
            needed = "without" if args.address else "with"
            raise UsageError(f"--{name}: only {needed} --address")
        pattern = PATTERNS.get(name)
        if not text or pattern is not None and not pattern.fullmatch(text):
            raise UsageError(f"--{name}: not a valid value")
        found[name] = text
    for name in REQUIRED_FIELDS[kind]:
        if name not in found:
            raise UsageError(f"--{name}: missing")
    if kind == "own" and ("model" in found) == ("service" in found):
        raise UsageError("--model: either this or --service is needed")
    return found


def _check_address(address: str) -> None:
    port = address.rpartition(":")[2]
    if not ADDRESS_PATTERN.fullmatch(address) or not 0 < int(port) <= MAX_PORT:
        raise UsageError("--address: not HOST:PORT")


def render_text(found: dict[str, Any]) -> str:
    """Return an explanation as lines and a table of the candidates."""
    lines = [_render_admission(found), _render_target(found)]
    names = ("route", "service", "pool", "class_name", "customer", "tier", "node")
    lines.append(" ".join(f"{name}={found[name]}" for name in names if name in found))
    lines.append(f"waiting={found['waiting']} ahead={found['ahead']}")
    shares = found.get("domain_shares")
    if shares is not None:
        parts = [f"{name}={share:.2f}" for name, share in sorted(shares.items())]
        lines.append(f"served in other domains: {' '.join(parts) or 'none'}")
    return "\n".join([*lines, "", render_table(_make_rows(found["candidates"]))])


def _render_admission(found: dict[str, Any]) -> str:
    refusal = found["refusal"]
    if refusal is None:
        return "admitted, another is shed" if found["sheds_other"] else "admitted"
    retry_ms = refusal["retry_after_ms"]
    retry = f", retry after {retry_ms} ms" if retry_ms is not None else ""
    return f"refused: {refusal['code']} ({refusal['reason']}){retry}"


def _render_target(found: dict[str, Any]) -> str:
    target = found["upstream"]
    if found["serving_vm"]:
        target = f"VM {found['serving_vm']}"
    if not target:
        return "no upstream would take it now"
    if found["refusal"] is not None:
        return f"would go to {target}"
    return (
        f"goes to {target} when it is its turn"
        if found["ahead"]
        else f"goes to {target}"
    )


def _make_rows(candidates: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the rows of the table, without the columns that no candidate has."""
    used: list[str] = []
    for name in COLUMNS:
        if any(item[name] is not None for item in candidates):
            used.append(name)
    rows: list[dict[str, Any]] = []
    for item in candidates:
        row = {name: "-" if item[name] is None else item[name] for name in used}
        row["reason"] = item["reason"] or CHOSEN
        rows.append(row)
    return rows
