"""Client of the advisor, which tells which workers may run a step."""

import typing
from collections.abc import Sequence

import msgspec

from foxtaillock import exceptions
from foxtaillock.batch import interfaces
from foxtaillock.batch import model
from foxtaillock.platform import http_client
from foxtaillock.platform import json_codec

__all__ = ["HttpAdvisor"]

# The service checks the workers one after the other, so the latency grows with
# their number.
_ANSWER_TIMEOUT_S = 2.0

_OK = 200


class _Answer(typing.TypedDict):
    good: list[tuple[str, str]]
    valid_ms: typing.NotRequired[float]


_decoder = json_codec.Decoder(_Answer)


class HttpAdvisor:
    """Requests advice over HTTP; the service serializes requests.

    Args:
        client: HTTP client.
        address: `HOST:PORT` of the service.
        default_valid_s: validity of advice that does not state one.
    """

    def __init__(
        self,
        client: http_client.PlatformHttpClient,
        address: str,
        default_valid_s: float = 1.0,
    ) -> None:
        self._client = client
        self._address = address
        self._default_valid_s = default_valid_s

    async def advise(
        self, step_id: model.StepId, worker_ids: Sequence[str]
    ) -> interfaces.Advice | None:
        """Returns the advice; see `interfaces.Advisor`."""
        name = f"{step_id.job_id}.{step_id.occurrence}.{step_id.step}"
        body = {"step_id": name, "workers": list(worker_ids)}
        try:
            answer = await self._client.request(
                "POST",
                f"http://{self._address}/-/advise",
                _ANSWER_TIMEOUT_S,
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
            )
        except (http_client.NotSentError, http_client.NoAnswerError):
            return None
        if answer.status != _OK:
            return None
        try:
            decoded = _decoder.decode(answer.body)
        except exceptions.InvalidInputError:
            return None
        valid_ms = decoded.get("valid_ms")
        valid_s = self._default_valid_s if valid_ms is None else valid_ms / 1000
        return interfaces.Advice(dict(decoded["good"]), valid_s)
