"""Tasks of services that go on after an unexpected error."""

import asyncio
import contextlib
import functools
import logging
import traceback
from pathlib import Path
from typing import Awaitable, Callable, Iterator

from mode import Service

from plantainwood.logs import log_event

RESTART_PAUSE_MS = 200


def guarded_task(method: Callable[[Service], Awaitable[None]]):
    """Make a task of a service that starts again after an unexpected error.

    mode would end the service, and the process would live on without it.
    """

    @functools.wraps(method)
    async def run(service: Service) -> None:
        failures = 0
        while not service.should_stop:
            try:
                await method(service)
                return
            except Exception as error:
                failures += 1
                log_event(
                    "task_failed",
                    logging.ERROR,
                    task=f"{type(service).__name__}.{method.__name__}",
                    error=repr(error),
                    where=_find_place(error),
                    failures=failures,
                )
            await asyncio.sleep(RESTART_PAUSE_MS / 1_000)

    return Service.task(run)


@contextlib.contextmanager
def contain_errors(task: str) -> Iterator[None]:
    """Log an unexpected error in a part of a task, so that the task goes on."""
    try:
        yield
    except Exception as error:
        log_event(
            "task_failed",
            logging.ERROR,
            task=task,
            error=repr(error),
            where=_find_place(error),
        )


def _find_place(error: Exception) -> str:
    """Return the file and the line that raised an error."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno}"
