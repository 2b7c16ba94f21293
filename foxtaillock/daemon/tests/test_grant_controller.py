"""Tests of the records that the grant controller commits, and when."""

import asyncio
import typing
import unittest

from foxtaillock.daemon import grant_controller
from foxtaillock.limits import grants as limits
from foxtaillock.model import clock as clocks
from foxtaillock.model import grant_records
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import verdicts
from foxtaillock.state import control_state

_HOLD_S = 60.0
_WAIT_S = 10.0


class _FakeSession:
    """Session of the controller's process, which is always valid."""

    incarnation = "x1"
    drift = 0.0

    def __init__(self, clock: clocks.ManualClock) -> None:
        self._clock = clock

    def grants_until_s(self) -> float:
        """Returns a time in the future."""
        return self._clock.monotonic_s() + 3.0

    def reserved_until_s(self, hold_s: float) -> float:
        """Returns the end of a hold that starts now."""
        return self._clock.monotonic_s() + hold_s


class _FakeReplica:
    """Replica that folds each record at once, as one writer."""

    def __init__(self, state: control_state.ControlState) -> None:
        self._state = state
        self.written: list[records.Record] = []

    async def commit(
        self, record: records.Record, urgent: bool = False
    ) -> verdicts.Verdict:
        """Folds one record."""
        del urgent
        self.written.append(record)
        number = len(self.written)
        batch = record_batches.RecordBatch("e", "x", number, (record,))
        return self._state.apply(number, batch)[0]


class _Fixture:
    """A grant controller with its dependencies."""

    def __init__(self, hold_s: float, is_open: bool = True) -> None:
        self.clock = clocks.ManualClock()
        self.state = control_state.ControlState()
        self.replica = _FakeReplica(self.state)
        self.session = _FakeSession(self.clock)
        self.local = limits.LocalGrants(self.clock, "e1", "x1", hold_s)
        self.controller = grant_controller.GrantController(
            "e1",
            typing.cast(typing.Any, self.session),
            typing.cast(typing.Any, self.replica),
            self.state,
            self.local,
            self.clock,
            calls_waiting=lambda: {},
            attempts_waiting=lambda: {},
            reclaim_wait_s=_WAIT_S,
            hold_s=hold_s,
        )
        service = {"slots": 8, "open": is_open, "team": "t"}
        self.initial_changes = (
            note_records.Change("added", "team", "t", 0, {"limit": 8}),
            note_records.Change("added", "service", "s", 0, service),
        )

    async def start(self) -> None:
        """Adds a team and a service, and opens the session."""
        await self.replica.commit(
            note_records.NoteAccepted("n", "op", "", self.initial_changes)
        )
        await self.open_session("x1")

    async def open_session(self, incarnation: str) -> None:
        """Opens a session of the controller's node."""
        await self.replica.commit(
            session_records.SessionRenewed("e1", incarnation, 1, "z", "", "")
        )

    async def step(self, after_s: float = 0.0) -> list[str]:
        """Returns the types of the records that one step committed."""
        count = len(self.replica.written)
        self.clock.advance(after_s)
        self.controller.step()
        for _ in range(5):
            await asyncio.sleep(0)
        return [type(row).__name__ for row in self.replica.written[count:]]


class GrantControllerTest(unittest.IsolatedAsyncioTestCase):

    async def test_open_team_gets_a_reserved_part(self) -> None:
        fixture = _Fixture(_HOLD_S)
        await fixture.start()
        self.assertEqual(await fixture.step(), ["StandingGrantChanged"])
        self.assertEqual(fixture.state.grant("t", "e1", "x1"), 8)
        self.assertEqual(fixture.state.unreserved_grant("t", "e1", "x1"), 6)
        self.assertEqual(fixture.local.find_reserved_cap("t"), 2)

    async def test_team_without_open_services_gets_no_standing_part(
        self,
    ) -> None:
        fixture = _Fixture(_HOLD_S, is_open=False)
        await fixture.start()
        await fixture.step()
        self.assertEqual(fixture.state.unreserved_grant("t", "e1", "x1"), 8)

    async def test_without_a_hold_older_versions_can_read_the_records(
        self,
    ) -> None:
        fixture = _Fixture(0.0)
        await fixture.start()
        self.assertEqual(await fixture.step(), ["GrantChanged"])

    async def test_own_former_session_is_reclaimed_without_the_hold(
        self,
    ) -> None:
        fixture = _Fixture(_HOLD_S)
        await fixture.start()
        await fixture.step()
        await fixture.replica.commit(
            session_records.SessionEnded("e1", "x1", 1, "e2")
        )
        fixture.session.incarnation = "x2"
        await fixture.open_session("x2")
        await fixture.step()
        self.assertIn("GrantReclaimed", await fixture.step(_WAIT_S))

    async def test_reserved_part_of_another_is_kept_for_its_hold(self) -> None:
        fixture = _Fixture(_HOLD_S)
        await fixture.start()
        other = ("e2", "y")
        for record in (
            session_records.SessionRenewed(*other, 1, "z", "", ""),
            grant_records.StandingGrantChanged("t", *other, 5, 5, 2, _HOLD_S),
            session_records.SessionEnded(*other, 1, "e1"),
        ):
            await fixture.replica.commit(record)
        await fixture.step()
        self.assertIn("LentGrantsReclaimed", await fixture.step(_WAIT_S))
        self.assertEqual(fixture.state.grant("t", *other), 2)
        self.assertNotIn("GrantReclaimed", await fixture.step(_HOLD_S - 1.0))
        self.assertIn("GrantReclaimed", await fixture.step(1.0))
        self.assertEqual(fixture.state.grant("t", *other), 0)
