"""Input that is no HTTP, on all addresses that clients can reach."""

import random
from functools import partial

import pytest

from tests.edgesite import HOST
from tests.excessclients import (
    connect_clients,
    count_descriptors,
    make_head,
    send_once,
    send_without_end,
)
from tests.processsite import ProcessSite, run_processes
from tests.test_client_limits import (
    CONFIG_S,
    CONFIG_VERSION,
    answer,
    check_process,
    configure,
    send_ordinary,
    state_machine,
    wait_until_gone,
)

CLIENTS = 60
MAX_LOG_BYTES = 2_000_000
PORTS = {"callers": 0, "ready": 1, "directory": 2, "links": 3, "metrics": 4, "calls": 5}
TLS_HELLO = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + random.Random(
    1
).randbytes(501)
NOISE = random.Random(2).randbytes(16_384)
CHUNKED = make_head(HOST, "/u/x", "Transfer-Encoding: chunked", "")
KINDS = {
    "tls-hello": partial(send_once, TLS_HELLO),
    "half-tls-hello": partial(send_once, TLS_HELLO[:5]),
    "zeros": partial(send_once, bytes(64)),
    "zeros-without-end": partial(send_without_end, bytes(64), bytes(65_536)),
    "noise-without-end": partial(send_without_end, NOISE, NOISE),
    "line-without-end": partial(send_without_end, b"x", b"x" * 65_536),
    "line-ends": partial(send_without_end, b"\r\n", b"\r\n" * 8_192),
    "no-chunks": partial(send_without_end, CHUNKED, NOISE),
    "no-header": partial(send_without_end, CHUNKED[:-2], bytes(65_536)),
    "http2": partial(send_once, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(27)),
}


# Guards against input that is no HTTP and keeps its connection, or what was read of it,
# for as long as the client stays, or fills the log.
@pytest.mark.parametrize("kind", KINDS)
def test_input_that_is_no_http_holds_nothing_for_long(tmp_path, kind):
    async def scenario(site: ProcessSite) -> None:
        await configure(site)
        await site.wait_for_config(CONFIG_VERSION, CONFIG_S)
        vm = site.vms[0]
        descriptors = count_descriptors(vm.process.pid)
        for name, port in PORTS.items():
            address = f"127.0.0.1:{vm.ports[port]}"
            async with connect_clients(address, CLIENTS, KINDS[kind]):
                check_process(vm)
                print(name)
                await wait_until_gone(vm, descriptors)
        assert await send_ordinary(vm.caller_url + "/u/x") == 200
        check_process(vm)
        log_bytes = (tmp_path / f"{vm.name}.log").stat().st_size
        print("log_bytes:", log_bytes)
        assert log_bytes < MAX_LOG_BYTES

    run_processes(scenario, answer, tmp_path, 4, 1, more_settings=state_machine())
