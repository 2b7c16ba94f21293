"""Runs the stand-ins of the platform in their own process.

`python -m foxtaillock.standins.main --config file.json` prints one line of
JSON with the URLs once all servers listen, and exits on SIGTERM or SIGINT.
"""

import asyncio
import json
import pathlib
import signal
import typing

import fire

from foxtaillock import exceptions
from foxtaillock.standins import platform as platform_lib

__all__ = ["main", "read_config"]


def read_config(path: str) -> platform_lib.PlatformConfig:
    """Reads a config from a JSON file; missing fields take their defaults.

    Raises:
        exceptions.InvalidInputError: the file has an unknown field.
    """
    fields = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    unknown = sorted(set(fields) - set(platform_lib.PlatformConfig._fields))
    if unknown:
        raise exceptions.InvalidInputError(
            f"{path}: unknown fields: {', '.join(unknown)}"
        )
    values: dict[str, typing.Any] = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in fields.items()
    }
    return platform_lib.PlatformConfig(**values)


async def _serve(config: platform_lib.PlatformConfig, host: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    platform = await platform_lib.start_platform(config, host)
    print(json.dumps(platform.urls()), flush=True)
    await stopped.wait()
    await platform.close()


def main(config: str = "", host: str = "127.0.0.1") -> None:
    """Runs the stand-ins until SIGTERM or SIGINT.

    Args:
        config: path of a JSON file with fields of `PlatformConfig`.
        host: IP address to listen on.
    """
    chosen = read_config(config) if config else platform_lib.PlatformConfig()
    asyncio.run(_serve(chosen, host))


if __name__ == "__main__":
    fire.Fire(main)
