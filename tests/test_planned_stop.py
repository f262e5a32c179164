"""A planned stop under load cuts off no request that the VM has read."""

import asyncio
import socket

import msgspec
import pytest

from bridge.callers import EdgeCallerServer
from fakes.runner import make_response
from plantainwood.edgesettings import EdgeDrain
from tests.edgesite import AUTHORIZATION, HOST, run

CLIENTS = 24
ANSWERS = 10 * CLIENTS
"""More than these have come before the stop begins, however slow the machine is."""
ANSWER_S = 0.15
GRACE_MS = 3_000
OPEN = 12
LEFT_OPEN_S = 0.5
BODY = b"x" * 2_000


async def answer_slowly(request, writer) -> None:
    """Answer after a while, so that requests are in progress at any moment."""
    await asyncio.sleep(ANSWER_S)
    writer.write(make_response(request, request.request_id))


class Client:
    """Send requests on open connections until the VM is gone; count what is cut."""

    def __init__(self, address: str, number: int, pipelined: bool) -> None:
        self.address = address
        self.number = number
        self.pipelined = pipelined
        self.sent = 0
        self.answered: set[bytes] = set()
        self.cut: list[str] = []

    def _make_request(self) -> tuple[str, bytes]:
        self.sent += 1
        name = f"c{self.number}-{self.sent}"
        head = (
            f"POST /u/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
            f"Authorization: {AUTHORIZATION}\r\nDeadline-Remaining: 3000\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        return name, head.encode() + BODY

    async def run(self, gone: asyncio.Event) -> None:
        """Open connections and use each until the VM closes it."""
        while not gone.is_set():
            host, _, port = self.address.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return
            try:
                await self._use(reader, writer, gone)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

    async def _use(self, reader, writer, gone: asyncio.Event) -> None:
        while not gone.is_set():
            requests = [self._make_request() for _ in range(1 + self.pipelined)]
            for _, data in requests:
                writer.write(data[: len(data) // 2])
                await asyncio.sleep(0.005 * (self.number % 5))
                writer.write(data[len(data) // 2 :])
            await writer.drain()
            for name, _ in requests:
                closes = await self._read_answer(reader, name)
                if closes:
                    return
            await asyncio.sleep(0.01 * (self.number % 7))

    async def _read_answer(self, reader, name: str) -> bool:
        """Read one answer; return whether the VM closes the connection after it."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                self.cut.append(name)
            raise
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        try:
            await reader.readexactly(length)
        except asyncio.IncompleteReadError:
            self.cut.append(name)
            raise
        self.answered.add(name.encode())
        return b"connection: close" in head.lower()


# Guards against requests that are cut off without an answer in a planned stop (LOST).
def test_each_request_that_a_stopping_vm_has_read_is_answered(monkeypatch):
    read: set[bytes] = set()
    read_body = EdgeCallerServer._read_body

    async def read_and_record(server, request, until_ms, reservation):
        body = await read_body(server, request, until_ms, reservation)
        read.add(request.headers["Request-Id"].encode())
        return body

    monkeypatch.setattr(EdgeCallerServer, "_read_body", read_and_record)

    async def scenario(site):
        edge = site.daemon.edge
        drain = EdgeDrain(grace_ms=GRACE_MS, address_lifetime_ms=200)
        edge.settings = msgspec.structs.replace(edge.settings, drain=drain)
        address = edge.settings.addresses.callers
        gone = asyncio.Event()
        clients = [Client(address, n, pipelined=n % 3 == 0) for n in range(CLIENTS)]
        tasks = [asyncio.create_task(client.run(gone)) for client in clients]
        await asyncio.sleep(0.5)
        while sum(len(client.answered) for client in clients) <= ANSWERS:
            await asyncio.sleep(0.05)
        await site.daemon.drain()
        await site.daemon.stop()
        gone.set()
        # The end of the process closes connections that the listener's end overtook,
        # unread; here they stay open.
        await asyncio.wait(tasks, timeout=LEFT_OPEN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        answered = {name for client in clients for name in client.answered}
        assert len(answered) > ANSWERS
        assert [name for client in clients for name in client.cut] == []
        assert read - answered == set()
        received = {request.request_id for request in site.runners[0].received}
        assert received - answered == set()

    run(scenario, script=answer_slowly)


# Guards against requests that wait in a stopping VM and are closed unanswered (LOST).
def test_a_request_that_waits_in_a_stopping_vm_is_answered_as_not_run():
    async def never_answer(request, writer):
        await asyncio.sleep(60)

    async def scenario(site):
        edge = site.daemon.edge
        drain = EdgeDrain(grace_ms=GRACE_MS, address_lifetime_ms=200)
        edge.settings = msgspec.structs.replace(edge.settings, drain=drain)
        state = edge.broker.dispatcher.state
        calls = []
        for number in range(OPEN):
            name = f"w-{number}"
            headers = {"Request_Id": name, "Deadline_Remaining": "9000"}
            calls.append(
                asyncio.create_task(site.call("POST", "/n/x", b"b", **headers))
            )
        await site.wait_until(lambda: len(state.requests) == OPEN)
        await asyncio.sleep(0.2)
        received = {r.request_id.decode() for r in site.runners[0].received}
        assert len(received) < OPEN
        await site.daemon.drain()
        await site.daemon.stop()
        answers = await asyncio.gather(*calls, return_exceptions=True)
        for number, answer in enumerate(answers):
            if f"w-{number}" in received:
                continue
            assert not isinstance(answer, Exception), answer
            assert answer[0] == 503 and float(answer[1]["Retry-After"]) > 0
        assert received == {r.request_id.decode() for r in site.runners[0].received}

    run(scenario, script=never_answer)


# Guards against a reset of what has connected when a stop closes the address (LOST).
def test_what_has_connected_before_the_address_closes_is_answered():
    async def scenario(site):
        host, _, port = site.daemon.edge.settings.addresses.callers.rpartition(":")
        address = (host, int(port))
        # The daemon shares this loop, so it accepts nothing in this step.
        connections = [socket.create_connection(address) for _ in range(OPEN)]
        site.daemon._caller_server.close_address()
        for connection in connections:
            reader, writer = await asyncio.open_connection(sock=connection)
            writer.write(
                f"GET /o/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: z\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == b"200"
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)

    run(scenario)


# Guards against a stop that takes a kept connection for idle in the middle of a head.
def test_a_head_that_began_before_idle_connections_are_closed_is_answered():
    async def scenario(site):
        host, _, port = site.daemon.edge.settings.addresses.callers.rpartition(":")
        request = f"GET /o/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: z\r\n\r\n".encode()
        connections = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection(host, int(port))
            connections.append((reader, writer))
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(b"GET /o/x HTTP/1.1"))
        (began, writer), (idle, _) = connections
        writer.write(request[:20])
        await asyncio.sleep(0.1)
        site.daemon._caller_server.close_idle()
        writer.write(request[20:])
        head = await began.readuntil(b"\r\n\r\n")
        assert head.split()[1] == b"200"
        assert await idle.read() == b""
        for _, writer in connections:
            writer.close()

    run(scenario)
