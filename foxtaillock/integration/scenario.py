"""Common steps of the proofs: a note, keys, jobs and calls."""

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
    "WORLD",
    "accept_note",
    "give_key",
    "make_job",
    "submit",
    "until",
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
WORLD: dict[str, typing.Any] = {
    "zones": ["a", "b", "c"],
    "workers": 3,
    "services": ["quotes"],
    "runners_per_zone": 2,
    "list_lag_s": 0.3,
}
_POLL_S = 0.05


async def until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, what: str
) -> None:
    """Waits until a check holds.

    Raises:
        TimeoutError: it does not hold in time; the message says what.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not await check():
        if loop.time() > end_s:
            raise TimeoutError(f"not in {timeout_s} s: {what}")
        await asyncio.sleep(_POLL_S)


async def accept_note(fleet: processes.ProcessFleet) -> None:
    """Accepts the note and waits until the workers stand in their pool."""
    admin = fleet.client()
    answer = await admin.send("POST", "/admin/v1/notes/accept", NOTE)
    assert answer.status == 200, answer

    async def _all_joined() -> bool:
        vms = await admin.send("GET", "/admin/v1/vms?limit=500")
        rows = [row for row in vms.body["items"] if row["role"] == "worker"]
        return bool(rows) and all(row["step"] == "joined" for row in rows)

    await until(_all_joined, 20.0, "workers stand in their pool")


async def give_key(fleet: processes.ProcessFleet, team: str) -> tuple[str, str]:
    """Gives a team a key and waits until it works on every entry VM.

    Returns:
        Its id and its secret.
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
        return all(row.code == "not-found" for row in answers)

    await until(_works, 8.0, "the key works on every entry VM")
    return answer.body["key_id"], answer.body["secret"]


def make_job(duration_s: float, idempotent: bool) -> dict[str, typing.Any]:
    """Returns the body of a submission; the stand-in runs it so long."""
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
    tries: int = 200,
) -> str:
    """Submits a job to the queue `bend` until it is accepted.

    Returns:
        The id of the job.
    """
    body = make_job(duration_s, idempotent)
    extra = {"Idempotency-Key": idempotency_key}
    answer = None
    for _ in range(tries):
        try:
            answer = await sender.send_json(
                "POST", "/v1/queues/bend/jobs", body, extra
            )
        except (OSError, aiohttp.ClientError):
            answer = None
        if answer is not None and answer.status == 202:
            return str(answer.body["job_id"])
        await asyncio.sleep(_POLL_S)
    raise TimeoutError(f"job {idempotency_key} was not accepted: {answer}")
