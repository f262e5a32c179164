"""Administration API and metrics, served on an address and key of their own."""

import asyncio
import hmac
import secrets

import msgspec
from aiohttp import web
from mode import Service

from plantainwood.adminexplain import explain_query
from plantainwood.answers import make_error_response, render_error
from plantainwood.callers import make_tls_context
from plantainwood.catalogue_texts import CatalogueTextError, parse_catalogue
from plantainwood.clientlistener import listen_for_clients
from plantainwood.clientrunner import ClientRunner
from plantainwood.core.catalogue import (
    EDITABLE_SECTIONS,
    EVACUATED_SECTION,
    Catalogue,
    Change,
    Entry,
    diff_catalogue,
    make_delta,
)
from plantainwood.core.decoding import MalformedError, decode_json, decode_record
from plantainwood.core.editing import (
    HISTORY_PREFIX,
    Edit,
    HistoryItem,
    InvalidEdit,
    apply_edit,
)
from plantainwood.core.errors import ErrorCode, RequestError, StoreError
from plantainwood.core.keys import SALT_BYTES, SECRET_BYTES, make_key
from plantainwood.core.usage import USAGE_PREFIX, UsageLine, UsageRecord
from plantainwood.explainquery import FieldError, render_field_error
from plantainwood.node import Node
from plantainwood.watcher import refresh_catalogue

KEY_ID_BYTES = 6
MAX_BODY_BYTES = 4_000_000
IDLE_S = 75.0


class ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an apply request: the whole editable catalogue, as YAML text."""

    text: str
    author: str = "unknown"
    base_revision: int | None = None
    """Revision that the edit is based on; None takes the one in the text, else 0."""
    change_id: str = ""
    dry_run: bool = False


class GrantBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to grant a customer a new key."""

    customer: str
    author: str = "unknown"


class AdminServer(Service):
    """Serve the administration API; every request must carry its key."""

    def __init__(self, node: Node, **kwargs) -> None:
        self.node = node
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Start listening on the administration address."""
        admin = self.node.settings.admin
        app = web.Application(
            middlewares=[self._check_key], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_get("/metrics", self.handle_metrics)
        app.router.add_get("/admin/status", self.handle_status)
        app.router.add_get("/admin/catalogue", self.handle_show)
        app.router.add_post("/admin/catalogue", self.handle_apply)
        app.router.add_get("/admin/history", self.handle_history)
        app.router.add_get("/admin/keys", self.handle_keys)
        app.router.add_post("/admin/keys", self.handle_grant)
        app.router.add_post("/admin/keys/{id}/withdraw", self.handle_withdraw)
        app.router.add_get("/admin/upstreams", self.handle_upstreams)
        app.router.add_get("/admin/usage", self.handle_usage)
        app.router.add_get("/admin/explain", self.handle_explain)
        self._runner = ClientRunner(
            app, self.node.client_guard, keepalive_timeout=IDLE_S
        )
        await self._runner.setup()
        assert self._runner.server is not None
        self._listener = await listen_for_clients(
            self._runner.server, admin.host, admin.port, make_tls_context(admin.tls)
        )

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _check_key(self, request: web.Request, handler) -> web.StreamResponse:
        """Reject requests without the API's key; turn coded errors into responses."""
        given = request.headers.get("Authorization", "")
        wanted = f"Bearer {str(self.node.settings.admin.key)}"
        try:
            if not hmac.compare_digest(given.encode(), wanted.encode()):
                raise RequestError(ErrorCode.NO_KEY, "wrong administration key")
            return await handler(request)
        except InvalidEdit as error:
            body = render_error(error, "")
            body["error"]["problems"] = [
                {"path": item.path, "reason": item.reason} for item in error.problems
            ]
            return web.json_response(body, status=error.status)
        except RequestError as error:
            response = make_error_response(error, "")
            if request.content.exception() is not None:
                response.force_close()
            return response
        except StoreError as error:
            failure = RequestError(
                ErrorCode.STORE_UNAVAILABLE, str(error), retry_after_ms=2_000
            )
            return make_error_response(failure, "")

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the format that the Accept header asks for."""
        content, headers = self.node.metrics.render(
            request.headers.getall("Accept", [])
        )
        return web.Response(body=content, headers=headers)

    async def handle_status(self, request: web.Request) -> web.Response:
        """Return this node's condition and what it knows of every VM it has heard from.

        Each VM is listed with its active catalogue revision and whether it is alive.
        """
        node = self.node
        now_ms = node.clock.now_ms()
        vms = [
            {
                "node": node.settings.node,
                "domain": node.settings.domain,
                "revision": node.catalogue.revision,
                "state": node.state.name.lower(),
                "heard_ms": 0,
                "alive": True,
            }
        ]
        for member in node.members.list_known():
            if member.heartbeat is None:
                continue
            vms.append(
                {
                    "node": member.profile.origin,
                    "domain": member.profile.domain,
                    "revision": member.heartbeat.revision,
                    "state": member.heartbeat.state.name.lower(),
                    "heard_ms": now_ms - member.heard_ms,
                    "alive": node.members.is_live(member.profile.origin, now_ms),
                }
            )
        duties = []
        for lease in node.leases.values():
            duties.append(
                {"duty": lease.duty, "held": lease.is_held(), "fence": lease.fence}
            )
        body = {
            "revision": node.catalogue.revision,
            "confirm_age_ms": node.confirmation.compute_age_ms(now_ms),
            "may_serve": node.may_serve(),
            "evacuated": node.catalogue.evacuated,
            "copied_tokens": node.usage_copies.count_tokens(),
            "vms": sorted(vms, key=lambda vm: str(vm["node"])),
            "duties": duties,
        }
        return web.json_response(body)

    async def handle_show(self, request: web.Request) -> web.Response:
        """Return the current catalogue, without keys, in the form of an edit."""
        await refresh_catalogue(self.node)
        catalogue = self.node.catalogue
        sections: dict[str, dict | list] = {}
        for entry in catalogue.entries.values():
            if entry.section in EDITABLE_SECTIONS and entry.body is not None:
                sections.setdefault(entry.section, {})[entry.name] = entry.body
        if catalogue.evacuated:
            sections[EVACUATED_SECTION] = sorted(catalogue.evacuated)
        return web.json_response({"revision": catalogue.revision, **sections})

    async def handle_apply(self, request: web.Request) -> web.Response:
        """Apply an edit; with dry_run only return the changes that it would make."""
        body = _decode(await request.read(), ApplyBody)
        await refresh_catalogue(self.node)
        try:
            wanted = parse_catalogue(body.text)
        except CatalogueTextError as error:
            raise RequestError(ErrorCode.INVALID_CATALOGUE, str(error)) from error
        current = self.node.catalogue
        base = body.base_revision
        if base is None:
            base = wanted.revision
        sections = wanted.sections
        changes = _render_changes(current, diff_catalogue(current, sections))
        if body.dry_run:
            preview = {"revision": current.revision, "changes": changes}
            return web.json_response(preview)
        edit = Edit(
            change_id=body.change_id or secrets.token_hex(8),
            author=body.author,
            wall_ms=self.node.clock.wall_ms(),
            base_revision=base,
            compute_changes=lambda catalogue: diff_catalogue(catalogue, sections),
        )
        revision = await self._commit_edit(edit)
        return web.json_response({"revision": revision, "changes": changes})

    async def _commit_edit(self, edit: Edit) -> int:
        """Commit an edit and return its revision.

        It is applied to this node immediately, and from here sent to the others.
        """
        requested_ms = self.node.clock.now_ms()
        accepted = await self.node.clients.driver.run(apply_edit(edit))
        self.node.apply_document(make_delta(accepted, 0))
        self.node.confirmation.record_store_read(accepted.revision, requested_ms)
        return accepted.revision

    async def handle_history(self, request: web.Request) -> web.Response:
        """Return the accepted edits, oldest first."""
        stored = await self.node.clients.driver.store.scan(HISTORY_PREFIX)
        items = [
            decode_record(item.value, HistoryItem) for _, item in sorted(stored.items())
        ]
        return web.json_response({"history": msgspec.to_builtins(items)})

    async def handle_keys(self, request: web.Request) -> web.Response:
        """Return the id, customer and state of each key; secrets are never stored."""
        keys = []
        for key_id, key in self.node.catalogue.keys.items():
            keys.append(
                {"id": key_id, "customer": key.customer, "withdrawn": key.withdrawn}
            )
        return web.json_response({"keys": keys})

    async def handle_grant(self, request: web.Request) -> web.Response:
        """Grant a key; its text is returned only here and is never stored."""
        body = _decode(await request.read(), GrantBody)
        key_id = secrets.token_hex(KEY_ID_BYTES)
        secret = secrets.token_hex(SECRET_BYTES)
        salt = secrets.token_hex(SALT_BYTES)
        text, key = make_key(body.customer, key_id, secret, salt)
        change = Change("keys", key_id, msgspec.to_builtins(key))
        revision = await self._commit_edit(self._make_key_edit(body.author, [change]))
        return web.json_response({"key": text, "id": key_id, "revision": revision})

    async def handle_withdraw(self, request: web.Request) -> web.Response:
        """Withdraw a key; success means that the key-value service has stored it."""
        key_id = request.match_info["id"]
        await refresh_catalogue(self.node)
        entry = self.node.catalogue.entries.get(f"keys/{key_id}")
        if entry is None or entry.body is None:
            raise RequestError(ErrorCode.NOT_FOUND, f"no key {key_id!r}")
        change = Change("keys", key_id, {**entry.body, "withdrawn": True})
        author = request.query.get("author", "unknown")
        revision = await self._commit_edit(self._make_key_edit(author, [change]))
        return web.json_response({"id": key_id, "revision": revision})

    def _make_key_edit(self, author: str, changes: list[Change]) -> Edit:
        return Edit(
            change_id=secrets.token_hex(8),
            author=author,
            wall_ms=self.node.clock.wall_ms(),
            base_revision=self.node.catalogue.revision,
            compute_changes=lambda catalogue: _drop_applied(catalogue, changes),
        )

    async def handle_upstreams(self, request: web.Request) -> web.Response:
        """Return the load of each upstream as this node estimates it."""
        now_ms = self.node.clock.now_ms()
        upstreams = []
        evacuated = self.node.catalogue.evacuated
        for name, load in self.node.broker.dispatcher.state.loads.items():
            upstreams.append(
                {
                    "upstream": name,
                    "domain": load.entry.domain,
                    "slots": load.entry.slots,
                    "load": load.estimate_in_flight(9, now_ms),
                    "leaving": load.leaving,
                    "evacuated_at": evacuated.get(load.entry.domain, 0),
                    "straggler": load.ejected,
                    "first_token_ms": round(load.first_token_ms, 1),
                }
            )
        return web.json_response({"upstreams": upstreams})

    async def handle_explain(self, request: web.Request) -> web.Response:
        """Return where a request would be routed now; nothing is sent or counted."""
        try:
            return web.json_response(explain_query(self.node, request.query))
        except FieldError as error:
            return web.json_response(render_field_error(error), status=error.status)

    async def handle_usage(self, request: web.Request) -> web.Response:
        """Return the usage that the key-value service holds, by window and line."""
        stored = await self.node.clients.driver.store.scan(USAGE_PREFIX)
        windows: dict[int, dict[str, UsageLine]] = {}
        for item in stored.values():
            record = decode_record(item.value, UsageRecord)
            lines = windows.setdefault(record.window, {})
            for key, line in record.lines.items():
                total = lines.setdefault(key, UsageLine())
                total.requests += line.requests
                total.tokens += line.tokens
        usage = []
        for window, lines in sorted(windows.items()):
            for key, line in sorted(lines.items()):
                usage.append(
                    {
                        "window": window,
                        "line": key,
                        "requests": line.requests,
                        "tokens": line.tokens,
                    }
                )
        return web.json_response({"usage": usage})


def _decode(data: bytes, body_type: type):
    try:
        return decode_json(data, body_type)
    except MalformedError as error:
        raise RequestError(ErrorCode.BAD_REQUEST, str(error)) from error


def _drop_applied(catalogue: Catalogue, changes: list[Change]) -> list[Change]:
    """Return the changes that the catalogue does not contain yet."""
    remaining: list[Change] = []
    for change in changes:
        entry: Entry | None = catalogue.entries.get(change.path)
        if entry is None or entry.body != change.body:
            remaining.append(change)
    return remaining


def _render_changes(current: Catalogue, changes: list[Change]) -> list[dict]:
    """Return each change with its entry's body before and after."""
    rendered: list[dict] = []
    for change in changes:
        entry = current.entries.get(change.path)
        before = entry.body if entry is not None else None
        rendered.append({"path": change.path, "before": before, "after": change.body})
    return rendered
