"""Entry VM processes, each with its own proxied link to the store."""

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

_SHUTDOWN_GRACE_S = 4.0

_RESTART_DELAY_S = 0.3


class EntryVmProcess:
    """Process of an entry VM that is restarted whenever it exits.

    Args:
        name: name of the VM.
        folder: folder for its settings and its log.
        store_link: proxy to the store.
        fleet_address: `host:port` of the service that maintains the workers'
            VMs; empty for none.
        code_folder: folder whose code the process runs; empty for this one.

    Attributes:
        name: name of the VM.
        address: `host:port` that submitters connect to.
        store_link: proxy to the store.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_link: fault_proxy.FaultProxy,
        fleet_address: str = "",
        code_folder: str = "",
    ) -> None:
        self.name = name
        self._code_folder = code_folder
        self._settings_path = folder / f"{name}.conf"
        self._log_path = folder / f"{name}.log"
        self.store_link = store_link
        callers_port, readiness_port, metrics_port = free_ports(3)
        self.address = f"127.0.0.1:{callers_port}"
        lines = [
            f"node={name}",
            "zone=z",
            f"listen.front={self.address}",
            f"listen.readiness=127.0.0.1:{readiness_port}",
            f"internal_ports={metrics_port - 3},{metrics_port}",
            f"platform.address={store_link.address}",
            f"bounds.grace_s={_SHUTDOWN_GRACE_S}",
        ]
        if fleet_address:
            lines.append(f"cloud.address={fleet_address}")
        self._settings_path.write_text("\n".join(lines), encoding="utf-8")
        # An `asyncio.subprocess.Process`.
        self._process: typing.Any = None
        self._supervisor: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the process and restarts it until `stop`."""
        self._supervisor = asyncio.ensure_future(self._supervise())

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def stop(self) -> None:
        """Kills the process without a restart and closes its link."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        await self.store_link.close()

    async def _supervise(self) -> None:
        while True:
            with self._log_path.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "foxtaillock.platform",
                    stdout=log,
                    stderr=log,
                    cwd=self._code_folder or None,
                    env={
                        **os.environ,
                        "FOXTAILLOCK_SETTINGS": str(self._settings_path),
                    },
                )
            await self._process.wait()
            await asyncio.sleep(_RESTART_DELAY_S)


async def start_entry_vm(
    name: str,
    folder: pathlib.Path,
    store_address: str,
    rng: random.Random,
    fleet_address: str = "",
    code_folder: str = "",
) -> EntryVmProcess:
    """Starts an entry VM and its link to the store.

    Args:
        name: name of the VM.
        folder: folder for its settings and its log.
        store_address: `host:port` of the store.
        rng: source of the seed of the link.
        fleet_address: `host:port` of the service that maintains the workers'
            VMs; empty for none.
        code_folder: folder whose code the process runs; empty for this one.
    """
    link = await fault_proxy.start_fault_proxy(
        store_address, rng.getrandbits(32)
    )
    vm = EntryVmProcess(name, folder, link, fleet_address, code_folder)
    vm.start()
    return vm


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
