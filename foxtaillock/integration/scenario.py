"""Common steps of integration tests: a release note, keys and jobs."""

import asyncio
import json
import typing
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp

from foxtaillock.demo import client
from foxtaillock.integration import processes

__all__ = [
    "NOTE",
    "PLATFORM_CONFIG",
    "accept_note",
    "issue_key",
    "make_job_body",
    "submit",
    "wait_until",
]

NOTE = """
note: a small market
added:
  teams:
    trinidad: {share: 3, limit: 12}
    estimators: {share: 1, limit: 4}
  pools:
    bending: {size: 3, zones: [a, b, c], min_available: 2}
  queues:
    bend: {pool: bending}
  services:
    quotes: {slots: 8, connections: 64}
"""
PLATFORM_CONFIG: dict[str, typing.Any] = {
    "zones": ["a", "b", "c"],
    "workers": 3,
    "services": ["quotes"],
    "runners_per_zone": 2,
    "list_lag_s": 0.3,
}
_POLL_INTERVAL_S = 0.05


async def wait_until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, condition: str
) -> None:
    """Polls a check until it returns true.

    Args:
        check: check to poll.
        timeout_s: maximum time to wait.
        condition: description of the check for the error message.

    Raises:
        TimeoutError: the check did not return true in time.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not await check():
        if loop.time() > end_s:
            raise TimeoutError(f"not in {timeout_s} s: {condition}")
        await asyncio.sleep(_POLL_INTERVAL_S)


async def accept_note(fleet: processes.ProcessFleet) -> None:
    """Accepts the note and waits until the workers have joined their pool."""
    admin = fleet.client()
    answer = await admin.send("POST", "/admin/v1/notes/accept", NOTE)
    assert answer.status == 200, answer

    async def _all_joined() -> bool:
        vms = await admin.send("GET", "/admin/v1/vms?limit=500")
        rows = [row for row in vms.body["items"] if row["role"] == "worker"]
        return bool(rows) and all(row["step"] == "joined" for row in rows)

    await wait_until(_all_joined, 20.0, "workers have joined their pool")


async def issue_key(
    fleet: processes.ProcessFleet, team: str
) -> tuple[str, str]:
    """Issues a key to a team and waits until it works on every entry VM.

    Returns:
        Id and secret of the key.
    """
    body = {"team": team}
    answer = await fleet.client().send_json("POST", "/admin/v1/keys", body)
    assert answer.status == 201, answer
    sender = fleet.client(answer.body["secret"])

    async def _works() -> bool:
        answers = [
            await sender.send("GET", "/v1/jobs/none.0", entry=i)
            for i in range(len(fleet.entries))
        ]
        return all(answer.code == "not-found" for answer in answers)

    await wait_until(_works, 8.0, "the key works on every entry VM")
    return answer.body["key_id"], answer.body["secret"]


def make_job_body(duration_s: float, idempotent: bool) -> dict[str, typing.Any]:
    """Returns the body of a submission whose job runs for `duration_s`."""
    return {
        "cpu_millis": 1000,
        "run_time_s": duration_s,
        "idempotent": idempotent,
        "payload": json.dumps({"duration_s": duration_s}),
    }


async def submit(
    sender: client.Client,
    idempotency_key: str,
    duration_s: float = 0.1,
    idempotent: bool = False,
    max_attempts: int = 200,
) -> str:
    """Submits a job to the queue `bend` until it is accepted.

    Returns:
        The id of the job.

    Raises:
        TimeoutError: no attempt was accepted.
    """
    body = make_job_body(duration_s, idempotent)
    extra = {"Idempotency-Key": idempotency_key}
    answer = None
    for _ in range(max_attempts):
        try:
            answer = await sender.send_json(
                "POST", "/v1/queues/bend/jobs", body, extra
            )
        except (OSError, aiohttp.ClientError):
            answer = None
        if answer is not None and answer.status == 202:
            return str(answer.body["job_id"])
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"job {idempotency_key} was not accepted: {answer}")
