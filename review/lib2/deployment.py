"""A small deployment: the project's processes, stand-ins and a client."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import tomllib
import traceback
import typing
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
from aiohttp import web

from review.lib2 import record as records
from review.lib2 import runner as runners
from review.lib2 import store as stores

__all__ = ["Deployment", "HOST", "Reply", "main", "is_troubled"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
_TIME_LIMIT_S = 112.0
_RESTART_DELAY_S = 0.5
_START_TIMEOUT_S = 25.0

_SETTINGS = """\
node={node}
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=region-1
zones.zone-a=region-1
zones.zone-b=region-1
zones.zone-c=region-1
listen.front={front}
listen.readiness={readiness}
listen.control={control}
internal_ports={internal},{internal_end}
seeds={control}
bootstrap=true
counts_in_loss=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing
tolerate.machines=1
tolerate.zones=1
tolerate.regions=0
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.quota_overrun=0.1
bounds.hold_max_ms=6000
bounds.stop_ms=200
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.lease_ms=3000
orders=call
platform.address={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
cloud.address={cloud}
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
"""


class Reply(typing.NamedTuple):
    """Answer to a client's call; the status is 0 if there was none."""

    status: int
    body: typing.Any


def is_troubled() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class _Vm:
    """Process of one entry VM, started again whenever it ends."""

    def __init__(
        self, name: str, settings: pathlib.Path, record: records.Record
    ) -> None:
        self.name = name
        self.front = ""
        self.readiness = ""
        self._settings = settings
        self._record = record
        self._process: typing.Any = None
        self._supervisor: asyncio.Task[None] | None = None
        self.ends = 0

    def start(self) -> None:
        """Starts the process, and again whenever it ends."""
        self._supervisor = asyncio.ensure_future(self._supervise())

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._record.write("signal", vm=self.name, number=number.name)
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process for good."""
        if self._supervisor is not None:
            self._supervisor.cancel()
            await asyncio.gather(self._supervisor, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def _supervise(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["FOXTAILLOCK_SETTINGS"] = str(self._settings)
        while True:
            with self._settings.with_suffix(".log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *command, stdout=log, stderr=log, cwd=ROOT, env=env
                )
            self._record.write("process-started", vm=self.name)
            status = await self._process.wait()
            self.ends += 1
            self._record.write("process-ended", vm=self.name, status=status)
            await asyncio.sleep(_RESTART_DELAY_S)


class Deployment:
    """Entry VMs, the store, runners and a client.

    Attributes:
        record: what was sent, answered and run.
        store: the store.
        runners: runners by id.
        vms: entry VMs.
    """

    def __init__(self, record: records.Record, folder: pathlib.Path) -> None:
        self.record = record
        self.store = stores.Store(record)
        self.runners: dict[str, runners.Runner] = {}
        self.vms: list[_Vm] = []
        self._folder = folder
        self._session: aiohttp.ClientSession | None = None
        self._cloud: web.ServerRunner | None = None

    async def add_runner(
        self,
        runner_id: str,
        service: str,
        zone: str = "zone-a",
        cpu: int = 16_000,
        port: int = 0,
    ) -> runners.Runner:
        """Starts a runner."""
        capacity = {"cpu": cpu, "mem_mb": 65_536, "gpu": 0}
        added = runners.Runner(
            runner_id, service, zone, capacity, self.record, self.store
        )
        await added.start(port)
        self.runners[runner_id] = added
        return added

    async def restart_runner(
        self, ended: runners.Runner, first_beat_s: float = 0.0
    ) -> runners.Runner:
        """Starts a runner again under its id, at its address."""
        again = runners.Runner(
            ended.runner_id, ended.service, ended.zone, ended.capacity,
            self.record, self.store, ended.machine,
        )
        again.duration_s = ended.duration_s
        again.first_beat_s = first_beat_s
        await again.start(int(ended.address.rpartition(":")[2]))
        self.runners[ended.runner_id] = again
        return again

    async def start(self, vm_count: int, config: dict[str, typing.Any]) -> None:
        """Writes the config, starts the entry VMs, waits until all are ready."""
        self.store.write("keyed.op", "config", config)
        cloud = await self._start_cloud()
        timeout = aiohttp.ClientTimeout(total=3.0)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(force_close=True)
        )
        for number in range(vm_count):
            self.vms.append(await self._create_vm(number, cloud))
        for vm in self.vms:
            vm.start()
        async with asyncio.timeout(_START_TIMEOUT_S):
            for vm in self.vms:
                while not await self._is_ready(vm):
                    await asyncio.sleep(0.1)
            while not self.store.last_writer:
                await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(3.0)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for vm in self.vms:
            await vm.stop()
        if self._session is not None:
            await self._session.close()
        for runner in self.runners.values():
            await runner.crash()
        if self._cloud is not None:
            await self._cloud.cleanup()
        await self.store.close()

    def leader(self) -> _Vm:
        """Returns the VM that last wrote to the store under a condition."""
        return next(v for v in self.vms if v.name == self.store.last_writer)

    async def call(
        self,
        vm: _Vm,
        method: str,
        path: str,
        body: typing.Any = None,
        key: str = "",
    ) -> Reply:
        """Sends a client's call to one entry VM."""
        assert self._session is not None
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        self.record.write("call", vm=vm.name, method=method, path=path)
        try:
            async with self._session.request(
                method, f"http://{vm.front}{path}", json=body, headers=headers
            ) as response:
                text = await response.read()
                reply = Reply(response.status, json.loads(text or b"{}"))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            reply = Reply(0, {})
        self.record.write(
            "answer", vm=vm.name, method=method, path=path,
            status=reply.status, body=json.dumps(reply.body),
        )
        return reply

    async def _is_ready(self, vm: _Vm) -> bool:
        assert self._session is not None
        url = f"http://{vm.readiness}/-/readiness"
        try:
            async with self._session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def _create_vm(self, number: int, cloud: str) -> _Vm:
        name = f"edge-{number + 1}"
        settings = self._folder / f"{name}.conf"
        vm = _Vm(name, settings, self.record)
        front, readiness, control, internal = _free_ports()
        vm.front = f"127.0.0.1:{front}"
        vm.readiness = f"127.0.0.1:{readiness}"
        settings.write_text(
            _SETTINGS.format(
                node=name,
                zone=f"zone-{'abc'[number % 3]}",
                front=vm.front,
                readiness=vm.readiness,
                control=f"127.0.0.1:{control}",
                internal=internal,
                internal_end=internal + 15,
                store=await self.store.listen(name),
                cloud=cloud,
            ),
            encoding="utf-8",
        )
        return vm

    async def _start_cloud(self) -> str:
        """Starts the list of machines; no machine can be moved here."""
        self._cloud = web.ServerRunner(
            web.Server(self._serve_cloud), shutdown_timeout=0.05
        )
        await self._cloud.setup()
        await web.TCPSite(self._cloud, "127.0.0.1", 0).start()
        host, port = self._cloud.addresses[0][:2]
        return f"{host}:{port}"

    async def _serve_cloud(self, request: web.BaseRequest) -> web.Response:
        if request.path != "/-/machines":
            busy = json.dumps({"reason": "busy"}).encode()
            return web.Response(status=409, body=busy)
        rows = [
            {
                "machine": each.machine,
                "pool": each.service,
                "state": "up",
                "zone": each.zone,
                "labels": ["a", "r1"],
                "capacity": each.capacity,
                "id": each.runner_id,
            }
            for each in self.runners.values()
        ]
        body = json.dumps({"machines": rows, "next_token": None}).encode()
        return web.Response(body=body, content_type="application/json")


def main(case: Callable[[Deployment], Awaitable[list[str]]], folder: str) -> None:
    """Plays a case and exits with 1 if a rule was broken.

    Args:
        case: plays it on a deployment and returns the findings.
        folder: folder of the case, for `record.txt`.
    """
    record = records.Record(pathlib.Path(folder) / "record.txt")
    record.write("case", trouble=int(is_troubled()))
    try:
        findings = asyncio.run(_play(case, record))
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        record.write("not-run", error=repr(sys.exc_info()[1]))
        record.close()
        sys.exit(EXIT_NOT_RUN)
    for finding in findings:
        record.write("BROKEN", what=finding)
        print(f"broken: {finding}")
    if not findings:
        record.write("HELD")
        print("held")
    record.close()
    sys.exit(EXIT_BROKEN if findings else EXIT_HELD)


async def _play(
    case: Callable[[Deployment], Awaitable[list[str]]], record: records.Record
) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the script ends its processes too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        deployment = Deployment(record, path)
        try:
            async with asyncio.timeout(_TIME_LIMIT_S):
                return await case(deployment)
        finally:
            await deployment.close()
            with contextlib.suppress(KeyError):
                kept = pathlib.Path(os.environ["KEEP_LOGS"])
                kept.mkdir(parents=True, exist_ok=True)
                for log in path.glob("*.log"):
                    (kept / log.name).write_bytes(log.read_bytes())


def _free_ports() -> tuple[int, int, int, int]:
    """Returns three free ports and the first of sixteen for the VM itself."""
    opened = []
    try:
        for _ in range(4):
            each = socket.socket()
            each.bind(("127.0.0.1", 0))
            opened.append(each)
        front, readiness, control, last = (s.getsockname()[1] for s in opened)
    finally:
        for each in opened:
            each.close()
    # Of the range, the program uses the fourth port, for its metrics.
    return front, readiness, control, last - 3
