"""Programs that benchmarks run beside themselves, and their processor time."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import typing

__all__ = ["Program", "start_program", "start_standins"]

_STOP_TIMEOUT_S = 5.0
_STAT_USER, _STAT_SYSTEM = 11, 12


class Program:
    """A Python program that has printed one line of JSON when ready.

    Attributes:
        ready: decoded line.
    """

    def __init__(
        self, process: "asyncio.subprocess.Process", ready: typing.Any
    ) -> None:
        self._process = process
        self.ready = ready

    def cpu_s(self) -> float:
        """Returns the processor time that it has used so far."""
        path = pathlib.Path(f"/proc/{self._process.pid}/stat")
        fields = path.read_text(encoding="ascii").rpartition(")")[2].split()
        ticks = int(fields[_STAT_USER]) + int(fields[_STAT_SYSTEM])
        return ticks / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        """Ends the program."""
        if self._process.returncode is not None:
            return
        self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def start_program(module: str, *arguments: str) -> Program:
    """Returns a program of this module once it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    line = await process.stdout.readline()
    return Program(process, json.loads(line))


async def start_standins(**fields: typing.Any) -> Program:
    """Returns the stand-ins with these fields of their config."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "world.json"
        path.write_text(json.dumps(fields), encoding="utf-8")
        module = "foxtaillock.standins.main"
        return await start_program(module, "--config", str(path))
