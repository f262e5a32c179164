"""Explanations of routes over both interfaces, and the tool that prints them."""

import asyncio
import json
import logging

import msgspec
import pytest

from fakes.runner import FakeRunner
from plantainctl import main as tool
from plantainctl.routes import render_text
from plantainwood.core import events as ev
from plantainwood.explainquery import MAX_FIELD_CHARS, render_explanation
from tests.edgesite import HOST, make_config, make_entry, run
from tests.explainedvm import Driver, make_vm

QUERY = {"host": HOST, "path": "/r/x", "customer": "acme"}
SECRET = "secret-key"
DENIED_KEY = "another-secret-key"
INVALID = [
    ("host", {"host": ""}),
    ("host", {"host": "a b"}),
    ("path", {"path": "r/x"}),
    ("path", {"path": "/r/ä"}),
    ("method", {"method": "get it"}),
    ("customer", {"customer": ""}),
    ("customer", {"customer": "x" * (MAX_FIELD_CHARS + 1)}),
    ("prompt", {"prompt": "p1"}),
    ("prompt", {"prompt": "p1:-5"}),
    ("prompt", {"prompt": ",".join(f"p{n}:1" for n in range(65))}),
    ("tokens", {"tokens": "many,1"}),
    ("tokens", {"tokens": "9" * 17}),
    ("remaining_ms", {"remaining_ms": "nan"}),
    ("remaining_ms", {"remaining_ms": "-1"}),
    ("request_id", {"request_id": "x" * 257}),
    ("query", {DENIED_KEY: "1"}),
]


def make_url(site) -> str:
    """Return the URL of the explanations of a site."""
    port = site.daemon.edge.settings.addresses.metrics_port
    return f"http://127.0.0.1:{port}/explain"


async def ask(site, query, method: str = "GET") -> tuple[int, str]:
    """Send a query; return the status and the body."""
    async with site.session.request(method, make_url(site), params=query) as response:
        return response.status, await response.text()


def find_upstream(site, upstream: str) -> FakeRunner:
    """Return the runner that is registered under the name of an upstream."""
    entry = site.daemon.edge.broker.dispatcher.state.loads[upstream].entry
    return next(item for item in site.runners if item.address == entry.address)


# Guards against an explanation that sends or counts something, or that names another
# upstream than the one that the next request goes to.
def test_the_explained_upstream_gets_the_next_request():
    async def scenario(site):
        state = site.daemon.edge.broker.dispatcher.state
        for number in range(6):
            generator = state.router._random.getstate()
            status, body = await ask(site, QUERY)
            found = json.loads(body)
            assert status == 200 and found["admitted"] and found["refusal"] is None
            assert (found["route"], found["customer"]) == ("r3", "acme")
            assert len(found["candidates"]) == 3
            assert sum(len(runner.received) for runner in site.runners) == number
            assert state.router._random.getstate() == generator
            assert not state.requests and len(state.limits) == min(1, number)
            runner = find_upstream(site, found["upstream"])
            before = len(runner.received)
            status, _, _ = await site.call("GET", "/r/x", Request_Id=f"id-{number}")
            assert status == 200 and len(runner.received) == before + 1

    run(scenario, runners=3)


def test_a_prompt_and_a_deadline_are_explained():
    async def scenario(site):
        prompt = {"prompt": "p:900,s:3000,o:40", "remaining_ms": "500"}
        status, body = await ask(site, {**QUERY, **prompt, "request_id": "r-1"})
        (candidate,) = json.loads(body)["candidates"]
        assert status == 200 and candidate["reason"] == ""
        assert candidate["cached_tokens"] == candidate["backlog_tokens"] == 0
        assert candidate["expected_ms"] > 0 and candidate["score"] is None
        site.store.put("servers/i-0", make_entry(site.runners[0], state="draining"))
        await site.wait_until(lambda: site.usable_upstream_count == 0)
        found = json.loads((await ask(site, QUERY))[1])
        assert not found["admitted"] and found["upstream"] == ""
        assert found["refusal"]["code"] == "no_upstream"
        assert found["refusal"]["retry_after_ms"] > 0
        assert [item["reason"] for item in found["candidates"]] == ["leaving"]

    run(scenario)


# Guards against a malformed query that is answered with a 500 or without the field's
# name, that leaves anything behind, or that writes a key to an answer or a log.
def test_an_invalid_field_is_named_and_costs_one_log_line(caplog):
    caplog.set_level(logging.INFO, logger="plantainwood")

    async def scenario(site):
        await ask(site, QUERY)
        tasks = len(asyncio.all_tasks())
        caplog.clear()
        for field, changes in INVALID:
            status, body = await ask(site, {**QUERY, **changes})
            error = json.loads(body)["error"]
            assert (status, error["code"], error["field"]) == (
                400,
                "bad_request",
                field,
            )
            assert DENIED_KEY not in body
        twice = [*QUERY.items(), ("host", HOST)]
        assert json.loads((await ask(site, twice))[1])["error"]["field"] == "host"
        lines = [r for r in caplog.records if r.getMessage() == "explain_rejected"]
        assert [line.field for line in lines] == [field for field, _ in INVALID] + [
            "host"
        ]
        assert (await ask(site, QUERY, "POST"))[0] == 405
        assert (await ask(site, {**QUERY, "path": "/" + 20_000 * "x"}))[0] == 400
        assert (await ask(site, QUERY))[0] == 200
        await site.wait_until(lambda: len(asyncio.all_tasks()) <= tasks)

    run(scenario)
    assert DENIED_KEY not in caplog.text


# Guards against keys in answers and logs, if one is given instead of a name.
def test_an_unknown_route_or_customer_is_not_found(caplog):
    async def scenario(site):
        for changes in ({"path": "/none"}, {"host": "other"}, {"customer": SECRET}):
            status, body = await ask(site, {**QUERY, **changes})
            assert status == 404 and json.loads(body)["error"]["code"] == "not_found"
            assert SECRET not in body
        without = {"host": HOST, "path": "/o/x"}
        assert json.loads((await ask(site, without))[1])["customer"] == "-"

    run(scenario)
    assert SECRET not in caplog.text


def test_a_vm_without_a_configuration_answers_503():
    async def scenario(site):
        status, body = await ask(site, QUERY)
        assert status == 503
        assert json.loads(body)["error"]["code"] == "catalogue_missing"
        site.store.put("op/config", make_config())
        await site.wait_until(lambda: site.daemon.edge.view.routes is not None)
        assert (
            json.loads((await ask(site, QUERY))[1])["refusal"]["code"] == "no_upstream"
        )

    run(scenario, configured=False, runners=0)


# The tool


def run_tool(*arguments: str) -> int:
    """Run the tool; return its exit code."""
    try:
        return tool.main(tool.parse_flags(["plantainctl", *arguments]))
    except SystemExit as error:
        return int(error.code or 0)


def explain(address: str, **fields: str) -> int:
    """Run `plantainctl route explain`; return its exit code."""
    arguments = [f"--{name}={text}" for name, text in fields.items()]
    return run_tool("route", "explain", f"--address={address}", *arguments)


@pytest.mark.parametrize(
    "address, name, text",
    [
        ("10.0.0.1", "address", ""),
        ("10.0.0.1:99999", "address", ""),
        ("10.0.0.1:1", "tokens", "x"),
        ("10.0.0.1:1", "prompt", "p1"),
        ("10.0.0.1:1", "remaining_ms", "1.5"),
        ("10.0.0.1:1", "path", "x"),
        ("10.0.0.1:1", "host", ""),
        ("10.0.0.1:1", "model", "m"),
    ],
)
def test_the_tool_names_an_invalid_argument(address, name, text, capsys):
    fields = {"host": HOST, "path": "/r/x"}
    if name != "address":
        fields[name] = text
    assert explain(address, **fields) == tool.EXIT_USAGE
    assert f"--{name}" in capsys.readouterr().err


def test_the_tool_prints_an_explanation_and_its_exit_code_tells_errors_apart(capsys):
    async def scenario(site):
        address = make_url(site).removeprefix("http://").removesuffix("/explain")

        async def call(**fields: str) -> tuple[int, str]:
            fields = {"host": HOST, "path": "/r/x", **fields}
            code = await asyncio.to_thread(explain, address, **fields)
            output = capsys.readouterr()
            return code, output.out + output.err

        code, text = await call(customer="acme")
        assert code == tool.EXIT_OK and "goes to i-0@" in text and "chosen" in text
        code, text = await call(customer="nobody")
        assert code == tool.EXIT_REFUSED and "not_found" in text
        code, text = await call()
        assert code == tool.EXIT_USAGE and "customer: missing" in text
        arguments = ["--host", HOST, "--path", "/o/x", "--json"]
        code = await asyncio.to_thread(
            run_tool, "route", "explain", "--address", address, *arguments
        )
        assert code == tool.EXIT_OK
        assert json.loads(capsys.readouterr().out)["customer"] == "-"

    run(scenario)


# Guards against a key that the tool sends to an address that needs none.
def test_the_tool_sends_no_key_to_the_metrics_address(monkeypatch):
    monkeypatch.setenv(tool.KEY_VARIABLE, "admin-key")
    heads: list[bytes] = []

    async def answer(reader, writer) -> None:
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def scenario() -> int:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        fields = {"host": HOST, "path": "/r/x"}
        code = await asyncio.to_thread(explain, f"{host}:{port}", **fields)
        server.close()
        return code

    assert asyncio.run(scenario()) == tool.EXIT_REFUSED
    assert heads and b"authorization" not in heads[0].lower()
    assert b"admin-key" not in heads[0]


# Guards against a table that leaves out a figure or a reason.
def test_an_explanation_is_rendered_as_lines_and_a_table(snapshot):
    vm = make_vm(upstreams=6, overflow=True)
    vm.state.loads["e1"].leaving = True
    driver = Driver([vm], 3, True)
    for _ in range(4):
        driver.feed(driver.make_arrival())
    context = {"node": "vm-1", "route": "r3", "service": "pool"}
    found = render_explanation(vm.explain(driver.make_arrival(), 10_000), **context)
    assert render_text(msgspec.json.decode(msgspec.json.encode(found))) == snapshot
    plain = vm.explain(ev.Arrival("r", "c1", "k1", "service/other"), 10_000)
    assert render_text(render_explanation(plain, **context)) == snapshot
