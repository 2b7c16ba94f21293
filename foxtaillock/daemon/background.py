"""Background tasks of the daemon."""

import asyncio
import typing

from loguru import logger

__all__ = ["Background"]

_Coroutine = typing.Coroutine[typing.Any, typing.Any, typing.Any]


class Background:
    """Set of tasks that are cancelled together; their errors are logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(self, coroutine: _Coroutine) -> "asyncio.Task[typing.Any]":
        """Starts a coroutine as a task; an error of it is logged."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: "asyncio.Task[typing.Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                "background task failed"
            )

    async def close(self) -> None:
        """Cancels all tasks and waits for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
