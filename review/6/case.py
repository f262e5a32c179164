"""A model runner in trouble writes header-like lines without end after its last chunk."""

import asyncio
import itertools
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import smallsite as lab  # noqa: E402

VMS = 3
MODEL_RUNNERS = 5
TROUBLE_S = 30.0
BAD_SHARE = 0.4
STREAMS_PER_S = 12
BOOKINGS_PER_S = 6
EVENTS = 6
ENDS_OF_ONE = 3
MACHINES = 2
LINES = b"x-debug: 0\r\n" * 4_000


def make_stream_head(request) -> bytes:
    """Return the head of a sound answer."""
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
        b"Response-Seal: seal-" + request.request_id + b"\r\n"
        b"Server-Load: 1,0,64\r\nWeight-Versions: 1\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )


class ModelRunner:
    """A script that streams events; in trouble, part of its answers have no end."""

    def __init__(self, seed: int, record: lab.Record) -> None:
        self.in_trouble = False
        self.random = random.Random(seed)
        self.record = record
        self.bad = 0

    async def __call__(self, request, writer) -> None:
        is_bad = self.in_trouble and self.random.random() < BAD_SHARE
        first = int(request.headers.get(b"last-event-id", b"0")) + 1
        writer.write(make_stream_head(request))
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 50)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        if not is_bad:
            writer.write(b"0\r\n\r\n")
            return
        self.bad += 1
        self.record.add(f"run {request.request_id.decode()}: an answer without end")
        writer.write(b"0\r\n")
        sent = 0
        try:
            while True:
                writer.write(LINES)
                sent += len(LINES)
                await writer.drain()
        finally:
            who = request.request_id.decode()
            self.record.add(f"run {who}: the caller closed after {sent / 1e6:.1f} MB")


async def answer_booking(request, writer) -> None:
    """Run a booking for 20 ms."""
    await asyncio.sleep(0.02)
    writer.write(lab.make_answer(request, b"booked"))


async def scenario(site: lab.Site, record: lab.Record) -> int:
    scripts = [ModelRunner(number, record) for number in range(MODEL_RUNNERS)]
    for number, script in enumerate(scripts):
        await site.add_runner(
            script,
            f"i-model-{number}",
            service="modelo-paseos",
            slots=64,
            stage="prefill_and_decode",
        )
    for number in range(3):
        await site.add_runner(answer_booking, f"i-agenda-{number}")
    stream = {"service": "modelo-paseos", "priority": 1}
    config = lab.make_config(
        [
            lab.make_route("ficha-perro", "/f/", "stream", timeoutMs=4_000, **stream),
            lab.make_route("reserva-paseo", "/r/", "unsafe", timeoutMs=800),
        ],
        [
            {
                "name": "modelo-paseos",
                "connectionLimit": 360,
                "engine": {"kvCacheTokens": 247_344},
            },
            {"name": "agenda-app", "connectionLimit": 100},
        ],
    )
    await site.start(VMS, config)
    outcomes: dict[str, dict[int, int]] = {"stream": {}, "booking": {}}
    numbers = itertools.count()

    async def call(kind: str) -> None:
        number = next(numbers)
        vm = site.vms[number % VMS]
        path, ms = ("/f/x", 4_000) if kind == "stream" else ("/r/x", 1_500)
        status, _ = await lab.send(
            vm.address, "POST", path, f"{kind}-{number}", b"x" * 600, ms
        )
        outcomes[kind][status] = outcomes[kind].get(status, 0) + 1
        if status != 200:
            record.add(f"{kind}-{number} at {vm.name}: status {status}")

    async def press(kind: str, per_s: int, seconds: float) -> None:
        tasks = set()
        for _ in range(round(per_s * seconds)):
            task = asyncio.create_task(call(kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    if lab.trouble():
        scripts[0].in_trouble = True
        record.add("one model runner is in trouble")
    await asyncio.gather(
        press("stream", STREAMS_PER_S, TROUBLE_S),
        press("booking", BOOKINGS_PER_S, TROUBLE_S),
    )
    record.add(f"answers without end: {scripts[0].bad}")
    for kind, counts in outcomes.items():
        record.add(f"{kind} by status (0: no answer): {counts}")
    for vm in site.vms:
        record.add(f"{vm.name}: most {vm.most_mb:.0f} MB, ends {vm.ends}")
    often = [vm for vm in site.vms if len(vm.ends) >= ENDS_OF_ONE]
    return lab.BROKEN if len(often) >= MACHINES else lab.HELD


lab.run(scenario, FOLDER)
