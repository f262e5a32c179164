"""Command line of the operators' tool.

Examples:
  plantainctl --output yaml catalogue show > catalogue.yaml
  plantainctl catalogue diff catalogue.yaml
  plantainctl catalogue apply catalogue.yaml --wait
  plantainctl key grant paseos-rounds
  plantainctl key withdraw 5f0c3a --wait
  plantainctl --output json status
  plantainctl route explain --address 10.0.0.1:9464 --host api.example --path /v1/x \
    --customer acme --prompt p1:900,s7:2000,own:300 --tokens 3200,200
"""

import argparse
import getpass
import os
import sys
from typing import Any, Callable

from absl import app
from absl.flags import argparse_flags

from plantainctl.client import ApiError, Client
from plantainctl.output import Format, render
from plantainctl.routes import (
    UsageError,
    add_arguments,
    ask_explanation,
    render_text,
)
from plantainctl.waiting import wait_until_in_force

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_IN_FORCE = 3
EXIT_UNREACHABLE = 4
EXIT_CONFLICT = 5

ADDRESS_VARIABLE = "PLANTAINCTL_ADDRESSES"
KEY_VARIABLE = "PLANTAINCTL_KEY"
DEFAULT_WAIT_S = 10.0

CommandResult = tuple[int, Any]


def show_catalogue(client: Client, args: argparse.Namespace) -> CommandResult:
    """Show the catalogue with its revision."""
    return EXIT_OK, client.get("/admin/catalogue")


def _make_edit_body(args: argparse.Namespace) -> dict[str, Any]:
    with open(args.file, encoding="utf-8") as file:
        return {"text": file.read(), "author": args.author}


def diff_catalogue(client: Client, args: argparse.Namespace) -> CommandResult:
    """Show what applying a file would change."""
    body = {**_make_edit_body(args), "dry_run": True}
    return EXIT_OK, _make_change_rows(client.post("/admin/catalogue", body))


def apply_catalogue(client: Client, args: argparse.Namespace) -> CommandResult:
    """Apply a file; it is accepted or refused as a whole."""
    body = {**_make_edit_body(args), "base_revision": args.base}
    response = client.post("/admin/catalogue", body)
    print(f"accepted as revision {response['revision']}", file=sys.stderr)
    return _wait_if_requested(
        client, args, response["revision"], _make_change_rows(response)
    )


def _make_change_rows(response: dict[str, Any]) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for change in response["changes"]:
        kind = "change"
        if change["before"] is None:
            kind = "add"
        if change["after"] is None:
            kind = "delete"
        rows.append({"change": kind, "entry": change["path"], "to": change["after"]})
    return rows


def _wait_if_requested(
    client: Client, args: argparse.Namespace, revision: int, data: Any
) -> CommandResult:
    """Wait if asked to, and print the VMs that still lack the revision."""
    if not args.wait:
        return EXIT_OK, data
    lagging = wait_until_in_force(client, revision, args.wait_s)
    if not lagging:
        return EXIT_OK, data
    print(f"not in force on: {', '.join(lagging)}", file=sys.stderr)
    return EXIT_NOT_IN_FORCE, data


def show_history(client: Client, args: argparse.Namespace) -> CommandResult:
    """Show the accepted edits."""
    return EXIT_OK, client.get("/admin/history")["history"]


def grant_key(client: Client, args: argparse.Namespace) -> CommandResult:
    """Grant a key to a customer and show it once."""
    body = {"customer": args.customer, "author": args.author}
    response = client.post("/admin/keys", body)
    return _wait_if_requested(client, args, response["revision"], response)


def withdraw_key(client: Client, args: argparse.Namespace) -> CommandResult:
    """Withdraw a key by its id."""
    response = client.post(f"/admin/keys/{args.id}/withdraw?author={args.author}", {})
    print(f"accepted as revision {response['revision']}", file=sys.stderr)
    return _wait_if_requested(client, args, response["revision"], response)


def list_keys(client: Client, args: argparse.Namespace) -> CommandResult:
    """List the keys."""
    return EXIT_OK, client.get("/admin/keys")["keys"]


def show_status(client: Client, args: argparse.Namespace) -> CommandResult:
    """Show what each VM has in force."""
    status = client.get("/admin/status")
    if args.output is Format.TABLE:
        return EXIT_OK, status["vms"]
    return EXIT_OK, status


def show_upstreams(client: Client, args: argparse.Namespace) -> CommandResult:
    """Show the upstreams as one VM sees them."""
    return EXIT_OK, client.get("/admin/upstreams")["upstreams"]


def show_usage(client: Client, args: argparse.Namespace) -> CommandResult:
    """Show the stored usage by window."""
    return EXIT_OK, client.get("/admin/usage")["usage"]


def explain_route(client: Client, args: argparse.Namespace) -> CommandResult:
    """Explain where a request would be routed now, without sending it."""
    try:
        found = ask_explanation(client, args)
    except ApiError as error:
        if error.code == "bad_request":
            raise UsageError(str(error)) from error
        raise
    if args.json:
        args.output = Format.JSON
    return EXIT_OK, render_text(found) if args.output is Format.TABLE else found


def parse_flags(argv: list[str]) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse_flags.ArgumentParser(
        prog="plantainctl",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--addresses",
        default=os.environ.get(ADDRESS_VARIABLE, ""),
        help=f"administration URLs, separated by commas; default ${ADDRESS_VARIABLE}",
    )
    parser.add_argument(
        "--ca_file", default="", help="file of CA certificates to trust"
    )
    parser.add_argument(
        "--output", type=Format, choices=list(Format), default=Format.TABLE
    )
    parser.add_argument(
        "--author",
        default=getpass.getuser(),
        help="the author to record in the history",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_catalogue(commands)
    _add_key(commands)
    _add_route(commands)
    _add_command(commands, "status", show_status)
    _add_command(commands, "upstreams", show_upstreams)
    _add_command(commands, "usage", show_usage)
    return parser.parse_args(argv[1:])


def _add_command(
    commands: Any,
    name: str,
    function: Callable[..., CommandResult],
    waits: bool = False,
) -> argparse.ArgumentParser:
    command = commands.add_parser(name, help=function.__doc__)
    command.set_defaults(function=function)
    if waits:
        command.add_argument(
            "--wait",
            action="store_true",
            help="wait until the revision is in force on each live VM",
        )
        command.add_argument("--wait_s", type=float, default=DEFAULT_WAIT_S)
    return command


def _add_catalogue(commands: Any) -> None:
    parser = commands.add_parser("catalogue", help="show and edit the catalogue")
    actions = parser.add_subparsers(dest="action", required=True)
    _add_command(actions, "show", show_catalogue)
    _add_command(actions, "history", show_history)
    _add_command(actions, "diff", diff_catalogue).add_argument("file")
    apply = _add_command(actions, "apply", apply_catalogue, waits=True)
    apply.add_argument("file")
    apply.add_argument(
        "--base",
        type=int,
        default=None,
        help="the revision that the file is based on, if the file does not give it",
    )


def _add_key(commands: Any) -> None:
    parser = commands.add_parser("key", help="grant and withdraw keys")
    actions = parser.add_subparsers(dest="action", required=True)
    _add_command(actions, "list", list_keys)
    _add_command(actions, "grant", grant_key, waits=True).add_argument("customer")
    _add_command(actions, "withdraw", withdraw_key, waits=True).add_argument("id")


def _add_route(commands: Any) -> None:
    parser = commands.add_parser("route", help="explain routes")
    actions = parser.add_subparsers(dest="action", required=True)
    add_arguments(_add_command(actions, "explain", explain_route))


def _make_client(args: argparse.Namespace) -> Client:
    """Return the client for a command; raise UsageError if arguments are missing."""
    if getattr(args, "address", ""):
        return Client([f"http://{args.address}"], "")
    addresses = [item for item in args.addresses.split(",") if item]
    key = os.environ.get(KEY_VARIABLE, "")
    if not addresses or not key:
        raise UsageError(f"--addresses and ${KEY_VARIABLE} are required")
    return Client(addresses, key, args.ca_file)


def main(args: argparse.Namespace) -> int:
    """Run one command and return its exit code."""
    try:
        code, data = args.function(_make_client(args), args)
    except (OSError, UsageError) as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except ApiError as error:
        print(error, file=sys.stderr)
        if error.code == "unreachable":
            return EXIT_UNREACHABLE
        return EXIT_CONFLICT if error.code == "conflict" else EXIT_REFUSED
    print(render(data, args.output))
    return code


def run() -> None:
    """Run the command."""
    app.run(main, flags_parser=parse_flags)
