"""Entry VMs as processes, each with a link to the store of its own."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys
import typing

from foxtaillock.proxy import fault_proxy

__all__ = ["EntryVmProcess", "free_ports", "start_entry_vm"]

_GRACE_S = 4.0

# Time after a kill until the process is started again.
_RESTART_S = 0.3


class EntryVmProcess:
    """One entry VM, started again whenever it ends.

    Args:
        name: its name.
        folder: where its settings and its log go.
        store_link: its link to the store.

    Attributes:
        address: where submitters connect.
        store_link: its link to the store.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_link: fault_proxy.FaultProxy,
    ) -> None:
        self._name = name
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self.store_link = store_link
        callers, readiness, metrics = free_ports(3)
        self.address = f"127.0.0.1:{callers}"
        lines = [
            f"node={name}",
            "zone=z",
            f"listen.front={self.address}",
            f"listen.readiness=127.0.0.1:{readiness}",
            f"internal_ports={metrics - 3},{metrics}",
            f"platform.address={store_link.address}",
            f"bounds.grace_s={_GRACE_S}",
        ]
        self._settings.write_text("\n".join(lines), encoding="utf-8")
        # A process of `asyncio.subprocess`.
        self._process: typing.Any = None
        self._keeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Keeps the process running until `stop`."""
        self._keeper = asyncio.ensure_future(self._keep())

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process for good."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.gather(self._keeper, return_exceptions=True)
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        await self.store_link.close()

    async def _keep(self) -> None:
        while True:
            with self._log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "foxtaillock.platform.daemon",
                    stdout=log,
                    stderr=log,
                    env={
                        **os.environ,
                        "FOXTAILLOCK_SETTINGS": str(self._settings),
                    },
                )
            await self._process.wait()
            await asyncio.sleep(_RESTART_S)


async def start_entry_vm(
    name: str, folder: pathlib.Path, store: str, rng: random.Random
) -> EntryVmProcess:
    """Returns an entry VM that runs.

    Args:
        name: its name.
        folder: where its settings and its log go.
        store: address of the store.
        rng: source of the seed of its link.
    """
    link = await fault_proxy.start_fault_proxy(store, rng.getrandbits(32))
    vm = EntryVmProcess(name, folder, link)
    vm.start()
    return vm


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens at."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
