"""Control of the tasks on workers over HTTP."""

import typing
from collections.abc import Sequence

from foxtaillock.adapters import http_session
from foxtaillock.adapters import interfaces
from foxtaillock.adapters import registry
from foxtaillock.model import vms_and_jobs

__all__ = [
    "HttpWorkers",
    "create_http_workers",
    "parse_report",
    "parse_task_report",
    "parse_task_state",
]

_STATES = ("running", "succeeded", "failed", "stopped", "checkpointed")
_USED_LENGTH = 3


class HttpWorkers:
    """Client of the workers; see `interfaces.WorkerService`.

    Args:
        timeout_s: timeout of a request.
        session_factory: creates the client session.
    """

    def __init__(
        self,
        timeout_s: float = 2.0,
        session_factory: http_session.SessionFactory | None = None,
    ) -> None:
        self._timeout_s = timeout_s
        self._session = http_session.LazySession(session_factory)

    async def report(
        self, vm: vms_and_jobs.VmEntry, pool: str, epoch: int
    ) -> interfaces.WorkerReport:
        """Raises the worker's epoch of `pool` and returns its report."""
        body = {"pool": pool, "epoch": epoch}
        return parse_report(await self._post(vm, "report", body))

    async def start(
        self, vm: vms_and_jobs.VmEntry, order: interfaces.TaskOrder
    ) -> interfaces.TaskReport:
        """Starts a task; the same task id is started at most once."""
        body = {
            "name": vm.name,
            "incarnation": vm.incarnation,
            "order": order._asdict(),
        }
        return parse_task_report(await self._post(vm, "start", body))

    async def renew(
        self,
        vm: vms_and_jobs.VmEntry,
        pool: str,
        epoch: int,
        task_ids: Sequence[str],
    ) -> interfaces.WorkerReport:
        """Renews the leases of tasks and returns the worker's report."""
        body = {"pool": pool, "epoch": epoch, "task_ids": list(task_ids)}
        return parse_report(await self._post(vm, "renew", body))

    async def stop(
        self,
        vm: vms_and_jobs.VmEntry,
        epoch: int,
        task_id: str,
        checkpoint: bool,
    ) -> interfaces.TaskState:
        """Stops a task, after a checkpoint if `checkpoint` is set."""
        body = {"epoch": epoch, "task_id": task_id, "checkpoint": checkpoint}
        findings: list[str] = []
        state = parse_task_state(
            await self._post(vm, "stop", body), "stop", findings
        )
        _raise_if_any(findings)
        return state

    async def throttle(
        self,
        vm: vms_and_jobs.VmEntry,
        epoch: int,
        task_id: str,
        cpu_millis: int,
    ) -> None:
        """Lowers the CPU limit of a task."""
        body = {"epoch": epoch, "task_id": task_id, "cpu_millis": cpu_millis}
        await self._post(vm, "throttle", body)

    async def forget(
        self, vm: vms_and_jobs.VmEntry, epoch: int, task_ids: Sequence[str]
    ) -> None:
        """Tells the worker to drop the states of ended tasks."""
        body = {"epoch": epoch, "task_ids": list(task_ids)}
        await self._post(vm, "forget", body)

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def _post(
        self, vm: vms_and_jobs.VmEntry, action: str, body: dict[str, typing.Any]
    ) -> typing.Any:
        url = f"http://{vm.address}/{action}"
        return await self._session.post_json(url, body, self._timeout_s)


@registry.register("worker", "http")
def create_http_workers(
    timeout_s: float = 2.0,
    session_factory: http_session.SessionFactory | None = None,
) -> HttpWorkers:
    """Returns a client of the workers, addressed by their VM entries."""
    return HttpWorkers(timeout_s, session_factory)


def parse_task_report(value: object) -> interfaces.TaskReport:
    """Returns the task report from the decoded answer to an order.

    Raises:
        http_session.PlatformAnswerError: the answer is malformed.
    """
    findings: list[str] = []
    fields = http_session.FieldReader(value, "start", findings)
    report = interfaces.TaskReport(
        fields.boolean("accepted"), fields.text("code", "")
    )
    _raise_if_any(findings)
    return report


def parse_report(value: object) -> interfaces.WorkerReport:
    """Returns the worker report from a decoded answer.

    Raises:
        http_session.PlatformAnswerError: the answer is malformed; the message
            lists every finding with its place.
    """
    findings: list[str] = []
    fields = http_session.FieldReader(value, "report", findings)
    tasks = [
        parse_task_state(task, f"report.tasks[{i}]", findings)
        for i, task in enumerate(fields.array("tasks"))
    ]
    used = fields.integers("used", _USED_LENGTH)
    report = interfaces.WorkerReport(
        fields.text("name"),
        fields.integer("incarnation"),
        fields.number("clock_s"),
        fields.integer("epoch"),
        tasks,
        (used[0], used[1], used[2]),
    )
    _raise_if_any(findings)
    return report


def parse_task_state(
    value: object, place: str, findings: list[str]
) -> interfaces.TaskState:
    """Returns the state of a task and adds any errors to `findings`."""
    fields = http_session.FieldReader(value, place, findings)
    state = fields.text("state")
    if state not in _STATES:
        findings.append(f"{place}.state: not known")
    return interfaces.TaskState(
        task_id=fields.text("task_id"),
        epoch=fields.integer("epoch"),
        state=state,
        result=fields.text("result"),
    )


def _raise_if_any(findings: list[str]) -> None:
    if findings:
        raise http_session.PlatformAnswerError("; ".join(findings))
