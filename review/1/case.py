"""Streams that another machine serves go on, after its end, at another version."""

import asyncio
import signal

from sitelib import (
    encode_chunk,
    encode_head,
    encode_request,
    has_trouble,
    make_event,
    run_case,
    send,
)

VERSIONS = {"i-1": "v1", "i-2": "v2", "i-3": "v1", "i-4": "v2"}
STREAMS = 16
EVENTS = 80
EVENT_S = 0.1
CUT_S = 3.0
CHUNKED = (
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    "Keep-Alive: timeout=30\r\n"
)


def make_script(site, name: str):
    """Return what a sound runner does; its events name its version."""

    async def answer(request, writer) -> None:
        label = request.request_id.decode()
        last_id = int(request.headers.get(b"last-event-id", b"0"))
        version = VERSIONS[name]
        site.record.write(
            f"runner {name} ({version}): runs {label} after event {last_id}"
        )
        if request.line.startswith(b"GET"):
            await asyncio.sleep(0.3)
            head = "Content-Length: 2\r\nKeep-Alive: timeout=30\r\n"
            writer.write(encode_head(request, 200, head) + b"ok")
            return
        writer.write(encode_head(request, 200, CHUNKED, "seal-" + name))
        for number in range(last_id + 1, EVENTS + 1):
            event = make_event(number).replace(b"piece", version.encode() + b" piece")
            writer.write(encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    return answer


class Path:
    """The paths of machines to all runners: open ones live on, new ones are refused."""

    def __init__(self, site) -> None:
        self._site = site

    def cut(self) -> None:
        for runner in self._site.runners.values():
            runner._server.close()
        self._site.record.write("disruption: new connections to runners are refused")

    async def heal(self) -> None:
        for runner in self._site.runners.values():
            port = int(runner.address.rpartition(":")[2])
            runner._server = await asyncio.start_server(
                runner._serve, "127.0.0.1", port
            )
        self._site.record.write("disruption: the path to the runners is back")


async def warm(site, vm) -> None:
    """Let a machine open connections to the runners, which it keeps."""
    calls = []
    for number in range(3 * STREAMS):
        data = encode_request("GET", f"/r/{number}", f"warm-{number}")
        calls.append(send(vm, data, label=f"warm-{number}"))
    answers = await asyncio.gather(*calls)
    if any(answer.status != 200 for answer in answers):
        raise RuntimeError("a machine could not be warmed")


async def main(site) -> bool:
    site.configure()
    for number, name in enumerate(VERSIONS):
        await site.add_runner(
            name,
            make_script(site, name),
            zone="ab"[number // 2],
            version=VERSIONS[name],
            slots=64,
        )
    await site.start_vms()
    taker, server = site.vms
    path = Path(site)
    if has_trouble():
        await warm(site, server)
        path.cut()
        await send(taker, encode_request("GET", "/r/first", "first"), label="first")
    calls = []
    for number in range(STREAMS):
        data = encode_request("POST", "/s/x", f"stream-{number}", b"{}")
        calls.append(asyncio.create_task(send(taker, data, label=f"stream-{number}")))
    if has_trouble():
        await asyncio.sleep(CUT_S)
        await path.heal()
        await asyncio.sleep(2.0)
        server.signal(signal.SIGKILL)
    answers = await asyncio.gather(*calls)
    mixed = 0
    for number, answer in enumerate(answers):
        versions = [text for text in ("v1", "v2") if text.encode() in answer.body]
        site.record.write(
            f"client: stream-{number}: events of {versions},"
            f" {'complete' if answer.complete else 'not complete'}"
        )
        mixed += len(versions) == 2
    site.record.write(f"streams with events of two versions: {mixed} of {STREAMS}")
    if not has_trouble() and not all(answer.complete for answer in answers):
        raise RuntimeError("streams without disruption are not complete")
    return mixed <= 2


run_case(__file__, main, vms=2)
