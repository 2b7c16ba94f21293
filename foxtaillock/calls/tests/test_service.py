"""Tests of the driver of calls."""

import random
import unittest

from foxtaillock.adapters import interfaces as adapters
from foxtaillock.calls import interfaces
from foxtaillock.calls import service
from foxtaillock.model import clock
from foxtaillock.model import outcomes
from foxtaillock.model import world


class FakeRunners:
    """Answers from a script; by default each call ran."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, str]] = []

    async def call(
        self, vm: world.VmEntry, request: adapters.CallRequest
    ) -> adapters.RunnerAnswer:
        """Answers that the call ran."""
        self.sent.append((vm.name, request.request_id))
        return adapters.RunnerAnswer(outcomes.Ran(body=b"ok"), 1, 1)


class FakeGrants:
    """Grants one amount to every team."""

    def __init__(self, amount: int) -> None:
        self.free = amount

    def try_start(self, team: str) -> bool:
        """Takes one of the amount."""
        del team
        if self.free <= 0:
            return False
        self.free -= 1
        return True

    def finish(self, team: str) -> None:
        """Gives one back."""
        del team
        self.free += 1


class FakeClaims:
    """Claims in one process; `refusal` stands for a log that is down."""

    def __init__(self, refusal: str = "") -> None:
        self.refusal = refusal
        self.ended: dict[str, str] = {}

    async def claim(
        self, service_name: str, team: str, key: str, request_id: str
    ) -> interfaces.ClaimResult:
        """Answers as the log would."""
        del service_name, team, request_id
        if self.refusal:
            return interfaces.Refused(self.refusal)
        if key in self.ended:
            return interfaces.Already(self.ended[key])
        return interfaces.Won()

    async def end(
        self, service_name: str, team: str, key: str, rid: str, outcome: str
    ) -> None:
        """Keeps the outcome."""
        del service_name, team, rid
        self.ended[key] = outcome


def _make_runners(count: int) -> list[world.VmEntry]:
    return [
        world.VmEntry(
            f"r{i}", 1, world.VmRole.RUNNER, "z1", "", "", service="quote"
        )
        for i in range(count)
    ]


def _make_request(number: int, **fields: object) -> adapters.CallRequest:
    request = adapters.CallRequest(f"q{number}", "quote", "/", b"", 2.0, True)
    return request._replace(**fields)  # type: ignore[arg-type]


class CallServiceTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self) -> None:
        self.runners = FakeRunners()

    def _make(self, claims: interfaces.Claims) -> service.CallService:
        calls = service.CallService(
            self.runners,
            clock.SystemClock(),
            random.Random(1),
            node="e1",
            zone="z1",
            grants=FakeGrants(4),
            claims=claims,
        )
        calls.update_runners(_make_runners(2), {"quote": {"slots": 8}})
        return calls

    async def test_call_runs(self) -> None:
        calls = self._make(FakeClaims())
        outcome = await calls.call(_make_request(1), "nesting")
        self.assertEqual(outcome, outcomes.Ran(body=b"ok"))
        self.assertEqual(calls.stats()["outcomes"], {"ran/": 1})

    async def test_second_try_with_same_key_does_not_run(self) -> None:
        calls = self._make(FakeClaims())
        charge = {"idempotent": False, "idempotency_key": "k1"}
        await calls.call(_make_request(1, **charge), "nesting")
        second = await calls.call(_make_request(2, **charge), "nesting")
        self.assertEqual(second.tag, outcomes.OutcomeTag.UNKNOWN)
        self.assertEqual(len(self.runners.sent), 1)

    async def test_nothing_is_sent_while_the_log_is_down(self) -> None:
        calls = self._make(FakeClaims("log-unavailable"))
        charge = {"idempotent": False, "idempotency_key": "k1"}
        outcome = await calls.call(_make_request(1, **charge), "nesting")
        self.assertEqual(outcome.tag, outcomes.OutcomeTag.NOT_RUN)
        self.assertEqual(self.runners.sent, [])

    async def test_draining_refuses(self) -> None:
        calls = self._make(FakeClaims())
        calls.start_draining()
        outcome = await calls.call(_make_request(1), "nesting")
        self.assertEqual(outcome.tag, outcomes.OutcomeTag.NOT_RUN)
