"""Stand-in for an engine: OpenAI-style streams, resumption, priorities and load."""

import asyncio
import hashlib
import json
import os
import time
from collections import deque

from aiohttp import web

from standins.faults import FAULTS, drop_connection, make_app

ENGINE = web.AppKey("engine", "Engine")
DEFAULT_TOKENS = 20


class Engine:
    """Slots, waiting requests by priority, and the bytes that were received."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.by_tier = [0] * 10
        self.received = bytearray()
        self.load_history: deque[tuple[float, list[int]]] = deque(maxlen=1_000)
        self.started = 0
        self.cancelled = 0
        self._waiting: list[tuple[int, int, asyncio.Future]] = []
        self._running = 0
        self._sequence = 0

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a slot; the lowest priority number goes first."""
        self._record_change(priority, 1)
        if self._running < self.slots:
            self._running += 1
            return
        self._sequence += 1
        future = asyncio.get_running_loop().create_future()
        item = (priority, self._sequence, future)
        self._waiting.append(item)
        self._waiting.sort(key=lambda entry: entry[:2])
        try:
            await future
        except asyncio.CancelledError:
            if item in self._waiting:
                self._waiting.remove(item)
            else:
                self._free_slot()
            self._record_change(priority, -1)
            raise

    def release_slot(self, priority: int) -> None:
        """Release a slot, to the first waiting request if there is one."""
        self._record_change(priority, -1)
        self._free_slot()

    def _free_slot(self) -> None:
        if self._waiting:
            self._waiting.pop(0)[2].set_result(None)
        else:
            self._running -= 1

    def _record_change(self, priority: int, change: int) -> None:
        self.by_tier[priority] += change
        self.load_history.append((time.monotonic(), list(self.by_tier)))

    def get_load(self, lag_ms: int) -> list[int]:
        """Return the load by tier as it was `lag_ms` ago."""
        as_of = time.monotonic() - lag_ms / 1_000
        found = [0] * 10
        for at, by_tier in self.load_history:
            if at > as_of:
                break
            found = by_tier
        return found


def make_token(prompt: str, index: int) -> str:
    """Return the token at an index; an answer is a function of its prompt."""
    digest = hashlib.sha256(f"{prompt}:{index}".encode()).hexdigest()[:6]
    return f"{index}-{digest} "


async def handle_chat(request: web.Request) -> web.StreamResponse:
    """Stream an answer, starting at the token index in `resume_from`."""
    engine = request.app[ENGINE]
    faults = request.app[FAULTS]
    raw = await request.read()
    engine.received += str(request.rel_url).encode() + b"\n"
    engine.received += repr(request.raw_headers).encode() + raw
    body = json.loads(raw)
    prompt = json.dumps(body.get("messages") or body.get("prompt"))
    if faults.crash_on and faults.crash_on in prompt:
        os._exit(1)
    priority = int(body.get("priority", 9))
    engine.started += 1
    await engine.acquire_slot(priority)
    try:
        return await _stream(request, body, prompt)
    except (asyncio.CancelledError, ConnectionError):
        engine.cancelled += 1
        raise
    finally:
        engine.release_slot(priority)


async def _stream(request: web.Request, body: dict, prompt: str) -> web.StreamResponse:
    faults = request.app[FAULTS]
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    total = int(body.get("max_tokens", DEFAULT_TOKENS))
    for index in range(int(body.get("resume_from", 0)), total):
        if 0 <= faults.cut_after <= index:
            drop_connection(request)
            raise ConnectionResetError()
        if faults.garbage:
            await response.write(b"data: {not json\n\n")
            return response
        if faults.token_ms > 0:
            await asyncio.sleep(faults.token_ms / 1_000)
        delta = {"choices": [{"delta": {"content": make_token(prompt, index)}}]}
        await _write_event(response, json.dumps(delta))
    last = {
        "choices": [{"delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": total},
    }
    await _write_event(response, json.dumps(last))
    await _write_event(response, "[DONE]")
    return response


async def _write_event(response: web.StreamResponse, text: str) -> None:
    await response.write(f"data: {text}\n\n".encode())


async def handle_load(request: web.Request) -> web.Response:
    """Answer /load with the load by tier as it was `lag_ms` ago."""
    lag_ms = request.app[FAULTS].lag_ms
    body = {"by_tier": request.app[ENGINE].get_load(lag_ms), "lag_ms": lag_ms}
    return web.json_response(body)


async def handle_received(request: web.Request) -> web.Response:
    """Answer /received with every byte of every request so far."""
    return web.Response(body=bytes(request.app[ENGINE].received))


async def handle_stats(request: web.Request) -> web.Response:
    """Answer /stats with the numbers of started and cancelled requests."""
    engine = request.app[ENGINE]
    return web.json_response({"started": engine.started, "cancelled": engine.cancelled})


def build_app(slots: int = 8) -> web.Application:
    """Return the engine stand-in as a web application."""
    app = make_app()
    app[ENGINE] = Engine(slots)
    app.router.add_post("/v1/chat/completions", handle_chat)
    app.router.add_post("/v1/completions", handle_chat)
    app.router.add_get("/load", handle_load)
    app.router.add_get("/received", handle_received)
    app.router.add_get("/stats", handle_stats)
    return app
