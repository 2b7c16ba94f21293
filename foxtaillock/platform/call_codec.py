"""Decodes submitted jobs and encodes the answers to submitters' calls."""

import typing

import msgspec

from foxtaillock import exceptions
from foxtaillock.batch import model
from foxtaillock.batch import outcomes
from foxtaillock.platform import json_codec
from foxtaillock.platform import record_codec

__all__ = ["create_spec", "encode_outcome"]

_MAX_JOB_TASKS = 20_000
_MAX_PAYLOAD_BYTES = 4_000


class _Step(typing.TypedDict):
    count: typing.NotRequired[json_codec.Count]
    cpu: typing.NotRequired[json_codec.Count]
    mem_mb: typing.NotRequired[json_codec.Mebibytes]
    gpu: typing.NotRequired[json_codec.Count]
    estimate_ms: typing.NotRequired[json_codec.Duration]
    depends_on: typing.NotRequired[list[int]]
    checkpoint: typing.NotRequired[bool]
    gang: typing.NotRequired[bool]
    same_rack: typing.NotRequired[bool]
    needs: typing.NotRequired[str]
    affinity: typing.NotRequired[str]
    max_per_server: typing.NotRequired[json_codec.Count]
    speculative: typing.NotRequired[bool]
    persistent: typing.NotRequired[bool]
    image: typing.NotRequired[str]
    target_ms: typing.NotRequired[json_codec.Duration]
    filled: typing.NotRequired[bool]
    may_miss: typing.NotRequired[json_codec.Count]


class _Job(typing.TypedDict):
    workload: str
    steps: list[_Step]
    times: typing.NotRequired[json_codec.Count]
    first_ms: typing.NotRequired[json_codec.Count]
    interval_ms: typing.NotRequired[json_codec.Count]


_job_decoder = json_codec.Decoder(_Job)


class EncodedAnswer(typing.NamedTuple):
    """Status, body and `Retry-After` of an HTTP response."""

    status: int
    body: bytes
    retry_after_s: float | None = None


def create_spec(
    body: bytes, job_id: str, queue: str, team: str, accepted_ms: int
) -> model.JobSpec:
    """Returns the job that a body describes.

    Raises:
        ValueError: the body is malformed or the job is too large.
    """
    try:
        job = _job_decoder.decode(body)
    except exceptions.InvalidInputError as error:
        raise ValueError(str(error)) from error
    if len(job["workload"].encode()) > _MAX_PAYLOAD_BYTES:
        raise ValueError("the payload is too long")
    steps = tuple(
        _decode_step(step, number) for number, step in enumerate(job["steps"])
    )
    occurrences = job.get("times", 0)
    tasks = sum(step.task_count for step in steps) * max(1, occurrences)
    if not 0 < tasks <= _MAX_JOB_TASKS:
        raise ValueError(f"a job of {tasks} tasks")
    return model.JobSpec(
        job_id,
        queue,
        team,
        accepted_ms,
        job["workload"],
        steps,
        occurrences,
        job.get("first_ms", 0),
        job.get("interval_ms", 0),
    )


def encode_outcome(outcome: outcomes.CallOutcome) -> EncodedAnswer:
    """Returns the HTTP response for the outcome of a call."""
    match outcome:
        case outcomes.Accepted() | outcomes.Cancelled():
            return EncodedAnswer(200, b"{}")
        case outcomes.State(state):
            return EncodedAnswer(200, msgspec.json.encode({"state": state}))
        case outcomes.WaitingCount(count):
            return EncodedAnswer(200, msgspec.json.encode({"waiting": count}))
        case outcomes.NoSuchJob():
            return EncodedAnswer(410, _error_body("no such job"))
        case outcomes.NoSuchQueue():
            return EncodedAnswer(404, _error_body("no such queue"))
        case outcomes.NoKey():
            return EncodedAnswer(401, _error_body("no valid key"))
        case outcomes.Malformed(reason):
            return EncodedAnswer(400, _error_body(reason))
        case outcomes.NotStored(code, retry_after_s, is_overload):
            status = 429 if is_overload else 503
            return EncodedAnswer(status, _error_body(code), retry_after_s)
        case outcomes.Unknown(code):
            return EncodedAnswer(504, _error_body(code))


def _error_body(text: str) -> bytes:
    return msgspec.json.encode({"error": text})


def _decode_step(step: _Step, number: int) -> model.StepSpec:
    dependencies = tuple(step.get("depends_on", ()))
    if any(not 0 <= earlier < number for earlier in dependencies):
        raise ValueError(f"step {number} depends on a step that is not earlier")
    task_count = step.get("count", 0)
    if task_count < 1:
        raise ValueError(f"step {number} has no tasks")
    return model.StepSpec(
        task_count,
        record_codec.decode_size(step),
        int(step.get("estimate_ms", 0)),
        dependencies,
        step.get("checkpoint", False),
        step.get("gang", False),
        step.get("same_rack", False),
        step.get("needs", ""),
        step.get("affinity", ""),
        step.get("max_per_server", 0),
        step.get("speculative", False),
        step.get("persistent", False),
        step.get("image", ""),
        int(step.get("target_ms", 0)),
        # Tasks with `filled` only get resources that other tasks leave unused.
        step.get("filled", False),
        step.get("may_miss", 0),
    )
