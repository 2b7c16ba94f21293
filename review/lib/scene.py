"""A small installation on loopback addresses: store, entry VMs and runners.

The entry VMs are processes of the project, started as the deploy file says.
Everything that a case starts is ended by `Scene.close`.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp

from review.lib import store as stores

__all__ = ["Scene", "free_ports"]

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_ZONES = ("zone-a", "zone-b", "zone-c")
_HOST = "jobs.example"
_KEY = "key-of-the-tenant"
_PREFIX = "/queue/"
_START_TIMEOUT_S = 30
_PATIENT_S = 3.0


def free_ports(count):
    """Returns ports that are free at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Scene:
    """A running installation.

    Args:
        folder: folder of the case, in which `record.txt` is written.
        queue: fields of the queue's route, beside the usual ones.
        cap: limit of the tenant.
        settings: further lines of the entry VMs' settings.
        fleet: whether there is a service that lists machines.
    """

    def __init__(
        self, folder, queue=None, cap=None, settings=(), fleet=False
    ):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.run_log = self.temp / "runs.jsonl"
        self.run_log.touch()
        self.began_s = time.time()
        self._lines = []
        self._queue = queue or {}
        self._cap = cap or {}
        self._settings = list(settings)
        self._has_fleet = fleet
        self.store = stores.Store(record=self.note)
        self.vms = {}
        self.runners = {}
        self._runner_options = {}
        self._session = None
        self._job_count = 0

    def note(self, event, **fields):
        """Notes what the case did or saw."""
        self._lines.append(
            {"at": round(time.time(), 4), "event": event, **fields}
        )

    # Processes.

    async def start(self, vms=3):
        """Starts the store and the entry VMs, and waits until they serve."""
        await self.store.start()
        self.store.write("keyed.op", "config", self.config(1))
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_PATIENT_S)
        )
        for number in range(vms):
            await self.start_vm(f"edge-{number}", _ZONES[number % len(_ZONES)])
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        for name in list(self.vms):
            while not await self._is_ready(name):
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f"{name} did not become ready")
                await asyncio.sleep(0.1)

    def config(self, version):
        """Returns a configuration of the installation."""
        route = {
            "name": "r-1",
            "host": _HOST,
            "path_prefix": _PREFIX,
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_duration_ms": 600,
            "priority": 0,
            "service": "service-1",
            "max_attempts": 3,
            "stretch": 1.6,
            "public": False,
            **self._queue,
        }
        tenant = {
            "name": "tenant-1",
            "api_keys": [_KEY],
            "priority": 1,
            "weight": 24,
            "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0, **self._cap},
        }
        service = {
            "name": "service-1",
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "admission_check": False,
            "spare": False,
        }
        return {
            "version": version,
            "routes": [route],
            "services": [service],
            "limits": {"max_body_bytes": 262144},
            "tenants": [tenant],
        }

    async def start_vm(self, name, zone):
        """Starts an entry VM with the command of the deploy file."""
        front, ready, internal = free_ports(3)
        settings = self.temp / f"{name}.conf"
        lines = [
            f"node={name}",
            "role=entry",
            "machine_class=edge",
            "serves=edge",
            "ip=127.0.0.1",
            f"zone={zone}",
            "region=region-1",
            f"listen.front=127.0.0.1:{front}",
            f"listen.readiness=127.0.0.1:{ready}",
            f"internal_ports={internal},{internal + 15}",
            "bootstrap=true",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "heartbeat_ms=1500",
            "tolerate.machines=1",
            "tolerate.zones=1",
            "bounds.contact_ms=3000",
            "bounds.ack_ms=4000",
            "bounds.grace_s=6",
            "bounds.config_apply_ms=2000",
            "bounds.strict_revoke=true",
            "bounds.revoke_ms=5000",
            "bounds.hold_max_ms=6000",
            "bounds.stop_ms=200",
            "bounds.gang_ms=3000",
            "bounds.cancel_ms=3000",
            "orders=call",
            f"platform.address={self.store.address}",
            "platform.form=log",
            "platform.record_bytes=262144",
            "platform.call_bytes=2097152",
            *self._settings,
        ]
        if self._has_fleet:
            lines.append(f"cloud.address={self.store.address}")
        settings.write_text("\n".join(lines) + "\n")
        deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name_: os.environ[name_]
            for name_ in ("PATH", "HOME", "LANG")
            if name_ in os.environ
        }
        environment["PYTHONPATH"] = str(_ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["FOXTAILLOCK_SETTINGS"] = str(settings)
        log = open(self.temp / f"{name}.log", "ab")
        process = await asyncio.create_subprocess_exec(
            *command, cwd=_ROOT, env=environment, stdout=log, stderr=log
        )
        self.vms[name] = {
            "process": process,
            "front": front,
            "ready": ready,
            "metrics": internal + 3,
            "zone": zone,
        }

    async def start_runner(self, runner_id, **options):
        """Starts a runner; the same options again start its next boot."""
        if runner_id not in self._runner_options:
            number = len(self._runner_options)
            self._runner_options[runner_id] = {
                "id": runner_id,
                "port": free_ports(1)[0],
                "store": self.store.address,
                "service": "service-1",
                "zone": _ZONES[number % len(_ZONES)],
                "labels": ["a", f"r-{number // 4}"],
                "cpu": 16000,
                "mem_mb": 65536,
                "beat_s": self.store.beat_s,
                "log": str(self.run_log),
                **options,
            }
        environment = {
            **os.environ,
            "PYTHONPATH": f"{_ROOT}{os.pathsep}{_ROOT / 'target' / 'deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.runners[runner_id] = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__).parent / "runner.py"),
            json.dumps(self._runner_options[runner_id]),
            env=environment,
            cwd=_ROOT,
        )
        self.note("runner-started", runner=runner_id)

    def address_of(self, runner_id):
        """Returns the address of a runner."""
        return f"127.0.0.1:{self._runner_options[runner_id]['port']}"

    async def until_served(self, runner_ids):
        """Waits until runners listen."""
        for runner_id in runner_ids:
            url = f"http://{self.address_of(runner_id)}/health"
            deadline_s = time.monotonic() + _START_TIMEOUT_S
            while True:
                try:
                    async with self._session.get(url):
                        break
                except (aiohttp.ClientError, TimeoutError):
                    if time.monotonic() > deadline_s:
                        raise
                    await asyncio.sleep(0.02)

    async def kill_runner(self, runner_id):
        """Kills a runner."""
        process = self.runners[runner_id]
        process.send_signal(signal.SIGKILL)
        await process.wait()
        self.note("runner-killed", runner=runner_id)

    def signal_vm(self, name, number):
        """Sends a signal to an entry VM."""
        self.note("vm-signalled", vm=name, signal=signal.Signals(number).name)
        self.vms[name]["process"].send_signal(number)

    async def close(self):
        """Ends all processes and writes the record."""
        for process in [
            *(vm["process"] for vm in self.vms.values()),
            *self.runners.values(),
        ]:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        if self._session is not None:
            await self._session.close()
        await self.store.stop()
        lines = [json.dumps(line) for line in self._lines]
        lines += self.run_log.read_text().splitlines()
        lines.sort(key=lambda line: json.loads(line)["at"])
        (self.folder / "record.txt").write_text("\n".join(lines) + "\n")
        if os.environ.get("KEEP"):
            shutil.copytree(
                self.temp, os.environ["KEEP"], dirs_exist_ok=True
            )
        shutil.rmtree(self.temp)

    # Calls.

    async def _is_ready(self, name):
        url = f"http://127.0.0.1:{self.vms[name]['ready']}/-/readiness"
        try:
            async with self._session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def metric(self, name, metric):
        """Returns a metric of an entry VM, or None."""
        url = f"http://127.0.0.1:{self.vms[name]['metrics']}/metrics"
        try:
            async with self._session.get(url) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError):
            return None
        for line in text.splitlines():
            words = line.split()
            if len(words) == 2 and words[0].endswith(metric):
                return float(words[1])
        return None

    async def call(self, vm, method, suffix, body=None):
        """Sends one call; returns its status and body, 0 for no answer."""
        url = f"http://127.0.0.1:{self.vms[vm]['front']}{_PREFIX}{suffix}"
        headers = {"Host": _HOST, "Authorization": f"Bearer {_KEY}"}
        try:
            async with self._session.request(
                method, url, headers=headers, json=body
            ) as response:
                status, answer = response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            status, answer = 0, {"error": repr(error)}
        self.note(
            "call",
            method=method,
            path=suffix,
            vm=vm,
            status=status,
            answer=answer,
        )
        return status, answer

    def new_id(self):
        """Returns the id of a new job."""
        self._job_count += 1
        return f"{0xABC00000 + self._job_count:016x}"

    async def submit(self, workload, steps, tries=5, **fields):
        """Hands a job in; returns its id, or None if it was not accepted."""
        job_id = self.new_id()
        names = list(self.vms)
        for attempt in range(tries):
            vm = names[(self._job_count + attempt) % len(names)]
            body = {"workload": workload, "steps": steps, **fields}
            status, _ = await self.call(vm, "POST", job_id, body)
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.3)
        return None

    async def state(self, job_id, vm=None):
        """Returns the state of a job, or None."""
        vm = vm or next(iter(self.vms))
        status, answer = await self.call(vm, "GET", job_id)
        return answer.get("state") if status == 200 else None

    async def until_finished(self, job_ids, timeout_s):
        """Waits until all jobs have ended; returns those that have not."""
        open_ids = list(job_ids)
        deadline_s = time.monotonic() + timeout_s
        while open_ids and time.monotonic() < deadline_s:
            await asyncio.sleep(0.3)
            states = [await self.state(job_id) for job_id in open_ids]
            open_ids = [
                job_id
                for job_id, state in zip(open_ids, states)
                if state not in ("completed", "failed", "cancelled")
            ]
        return open_ids

    # What the runners saw.

    def runs(self):
        """Returns the events that the runners have logged."""
        return [
            json.loads(line) for line in self.run_log.read_text().splitlines()
        ]
