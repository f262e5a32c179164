"""A runner hands out wrong bytes: the line with the seal is spoiled."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import smallsite as lab  # noqa: E402

VMS = 3
RUNNERS = 3
CALLS = 900
CALLS_PER_S = 45
SPOILED_EVERY = 50
"""x = .02 of `garble`, at one of three runners (share .5 at most)."""


class Runner:
    """A script: answers soundly, but spoils each SPOILED_EVERY-th answer if told to."""

    def __init__(self, garbles: bool, record: lab.Record) -> None:
        self.garbles = garbles
        self.record = record
        self.answers = 0

    async def __call__(self, request, writer) -> None:
        await asyncio.sleep(0.015)
        self.answers += 1
        answer = lab.make_answer(request, b"the walks of today")
        if self.garbles and self.answers % SPOILED_EVERY == 0:
            answer = answer.replace(b"\r\nResponse-Seal: ", b"\r\nResponse-Sea\x2d: ")
            self.record.add(f"run {request.request_id.decode()}: its answer is spoiled")
        writer.write(answer)


async def read_answer(vm: lab.Vm, request_id: str) -> tuple[int, bool]:
    """Send a request; return the status, and whether the answer bears a seal."""
    host, _, port = vm.address.rpartition(":")
    try:
        async with asyncio.timeout(2.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    lab.make_head("GET", "/r/x", request_id, "Deadline-Remaining: 1500")
                )
                head = await reader.readuntil(b"\r\n\r\n")
                return int(head.split()[1]), b"\r\nresponse-seal: " in head.lower()
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, False


async def scenario(site: lab.Site, record: lab.Record) -> int:
    for number in range(RUNNERS):
        garbles = lab.trouble() and number == 0
        await site.add_runner(Runner(garbles, record), f"i-agenda-{number}")
    config = lab.make_config(
        [lab.make_route("consulta-agenda", "/r/", "safe", timeoutMs=800)],
        [{"name": "agenda-app", "connectionLimit": 100}],
    )
    await site.start(VMS, config)
    counts: dict[tuple[int, bool], int] = {}

    async def call(number: int) -> None:
        vm = site.vms[number % VMS]
        found = await read_answer(vm, f"read-{number}")
        counts[found] = counts.get(found, 0) + 1
        if found != (200, True):
            record.add(
                f"read-{number} at {vm.name}: status {found[0]}, seal {found[1]}"
            )

    tasks = []
    for number in range(CALLS):
        tasks.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1 / CALLS_PER_S)
    await asyncio.gather(*tasks)
    record.add(f"answers by status and whether they bear a seal: {counts}")
    return lab.BROKEN if counts.get((200, False)) else lab.HELD


lab.run(scenario, FOLDER)
