"""Runs the stand-ins of the platform as a program of their own.

`python -m foxtaillock.standins.main --config file.json` prints one line of
JSON with the URLs when everything listens, and ends on SIGTERM or SIGINT.
"""

import asyncio
import json
import pathlib
import signal
import typing

import fire

from foxtaillock import exceptions
from foxtaillock.standins import world

__all__ = ["main", "read_config"]


def read_config(path: str) -> world.WorldConfig:
    """Returns the config in a JSON file; missing fields have defaults.

    Raises:
        exceptions.InvalidInputError: a field is not known.
    """
    fields = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    unknown = sorted(set(fields) - set(world.WorldConfig._fields))
    if unknown:
        raise exceptions.InvalidInputError(
            f"{path}: unknown fields: {', '.join(unknown)}"
        )
    values: dict[str, typing.Any] = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in fields.items()
    }
    return world.WorldConfig(**values)


async def _serve(config: world.WorldConfig, host: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    platform = await world.start_world(config, host)
    print(json.dumps(platform.urls()), flush=True)
    await stopped.wait()
    await platform.close()


def main(config: str = "", host: str = "127.0.0.1") -> None:
    """Runs the stand-ins until a signal.

    Args:
        config: JSON file with fields of `WorldConfig`.
        host: IP number to listen on.
    """
    chosen = read_config(config) if config else world.WorldConfig()
    asyncio.run(_serve(chosen, host))


if __name__ == "__main__":
    fire.Fire(main)
