"""Requests that wait in a machine when it stops end without an answer."""

import asyncio
import signal

from sitelib import (
    GRACE_S,
    encode_chunk,
    encode_head,
    encode_request,
    has_trouble,
    make_event,
    run_case,
    send,
)

SLOTS = 4
RUNNERS = 2
LONG_EVENTS = 90
SHORT_EVENTS = 10
EVENT_S = 0.1
WAITING = 6
LOSS_SLACK_S = 0.2
CHUNKED = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"


def make_script(site, name: str, began: set[str]):
    """Return what a sound runner does."""

    async def answer(request, writer) -> None:
        label = request.request_id.decode()
        began.add(label)
        site.record.write(f"runner {name}: runs {label}")
        if request.line.startswith(b"POST /u/"):
            await asyncio.sleep(0.05)
            head = "Content-Length: 6\r\n"
            writer.write(encode_head(request, 200, head) + b"booked")
            return
        events = LONG_EVENTS if label.startswith("long") else SHORT_EVENTS
        writer.write(encode_head(request, 200, CHUNKED))
        for number in range(1, events + 1):
            writer.write(encode_chunk(make_event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    return answer


async def main(site) -> bool:
    began: set[str] = set()
    site.configure()
    for number in range(1, RUNNERS + 1):
        name = f"i-{number}"
        script = make_script(site, name, began)
        await site.add_runner(name, script, zone="ab"[number - 1], slots=SLOTS)
    await site.start_vms()
    vm = site.vms[0]
    long_calls = []
    for number in range(RUNNERS * SLOTS):
        label = f"long-{number}"
        data = encode_request("POST", "/n/x", label, b"{}")
        long_calls.append(asyncio.create_task(send(vm, data, label=label)))
    await asyncio.sleep(0.5)
    waiting: dict[str, asyncio.Task] = {}
    for number in range(WAITING):
        label = f"waiting-{number}"
        path = "/u/book" if number % 2 else "/n/x"
        data = encode_request("POST", path, label, b"{}")
        waiting[label] = asyncio.create_task(send(vm, data, label=label))
    await asyncio.sleep(0.5)
    if began & waiting.keys():
        raise RuntimeError("a request that was to wait has begun")
    sent_at = site.record.now()
    if has_trouble():
        vm.signal(signal.SIGTERM)
        ended = asyncio.create_task(vm.process.wait())
        ended.add_done_callback(
            lambda _: site.record.write(f"{vm.name}: the process has ended")
        )
        await asyncio.wait([ended], timeout=GRACE_S)
        vm.signal(signal.SIGKILL)
    answers = dict(zip(waiting, await asyncio.gather(*waiting.values()), strict=True))
    await asyncio.gather(*long_calls)
    lost = 0
    for label, answer in answers.items():
        held_s = answer.ended_at - sent_at
        was_lost = not answer.complete and label not in began and held_s > LOSS_SLACK_S
        lost += was_lost
        site.record.write(
            f"client: {label}: "
            + (
                f"connection closed {held_s:.1f} s after the SIGTERM, no answer, not run"
                if was_lost
                else f"status {answer.status}"
            )
        )
    site.record.write(f"requests that ended without an answer: {lost} of {WAITING}")
    if not has_trouble() and any(a.status != 200 for a in answers.values()):
        raise RuntimeError("requests without the planned stop were not served")
    return lost == 0


run_case(__file__, main, vms=3)
