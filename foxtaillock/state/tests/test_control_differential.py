"""Differential test of the fold of the control stream against a model."""

import random
import unittest

from foxtaillock.model import grant_records
from foxtaillock.model import key_records
from foxtaillock.model import note_records
from foxtaillock.model import pool_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import session_records
from foxtaillock.model import vm_records
from foxtaillock.state import control_state
from foxtaillock.state.tests import control_model

_RUNS = 400
_BATCHES = 120
_NODES = ("a", "b", "c")
_POOLS = ("p", "r")
_CLAIMED = (*_POOLS, pool_records.FLEET_POOL)
_TEAMS = ("t", "u")
_STEPS = ("joined", "withdrawn", "drained", "left")


class _Generator:
    """Generates records that are often, but not always, acceptable."""

    def __init__(self, rng: random.Random, model: control_model.ControlModel):
        self._rng = rng
        self._model = model
        self._count = 0

    def generate(self) -> records.Record:
        """Returns the next random record."""
        self._count += 1
        choice = self._rng.choice
        methods = (
            self._note,
            self._note,
            self._key,
            self._session,
            self._session,
            self._claim,
            self._grant,
            self._move,
            self._move,
            self._wave,
            self._carry,
            self._carry,
            self._retire,
            self._retire,
        )
        return choice(methods)()

    def _note(self) -> records.Record:
        changes = [self._change() for _ in range(self._rng.randint(1, 3))]
        name = f"n{self._rng.randrange(self._count + 1)}"
        return note_records.NoteAccepted(name, "op", "", tuple(changes))

    def _change(self) -> note_records.Change:
        kind, names = self._rng.choice(
            (("team", _TEAMS), ("pool", _POOLS), ("queue", ("q",)))
        )
        name = self._rng.choice(names)
        body: dict[str, object] = {"limit": self._rng.randrange(12)}
        if kind == "queue":
            body = {
                "pool": self._rng.choice(_POOLS),
                "teams": [self._rng.choice(_TEAMS)],
            }
        stored = self._model.objects().get((kind, name))
        if stored is None:
            action = self._rng.choice(("added", "added", "changed"))
            return note_records.Change(action, kind, name, 0, body)
        action = self._rng.choice(("changed",) * 6 + ("withdrawn", "added"))
        revision = stored[0] - (self._rng.random() < 0.2)
        body = {} if action == "withdrawn" else body
        return note_records.Change(action, kind, name, revision, body)

    def _key(self) -> records.Record:
        key_id = f"k{self._rng.randrange(12)}"
        if self._rng.random() < 0.5:
            return key_records.KeyWithdrawn(key_id, "op")
        team = self._rng.choice((*_TEAMS, ""))
        return key_records.KeyGiven(key_id, "d", team, "op")

    def _node(self) -> tuple[str, str]:
        live = self._model.live_sessions()
        if live and self._rng.random() < 0.7:
            return self._rng.choice(live)
        return self._rng.choice(_NODES), self._rng.choice("uvwxyz")

    def _session(self) -> records.Record:
        node, incarnation = self._node()
        counter = self._rng.randint(1, 30)
        if self._rng.random() < 0.8:
            return session_records.SessionRenewed(
                node, incarnation, counter, "z", "", ""
            )
        pool = self._rng.choice(_POOLS)
        source = (
            self._model.carryover_source(pool) or self._model.claim(pool)[:2]
        )
        return session_records.SessionEnded(*source, counter + 5, "b")

    def _claim(self) -> records.Record:
        pool = self._rng.choice(_CLAIMED)
        claim = self._model.claim(pool)
        if self._rng.random() < 0.2:
            return pool_records.PoolReleased(pool, *claim)
        epoch = claim[2] + self._rng.choice((0, 1, 1, 1, 2))
        return pool_records.PoolClaimed(pool, *self._node(), epoch)

    def _grant(self) -> records.Record:
        if self._rng.random() < 0.2:
            kinds = (
                grant_records.GrantReclaimed,
                grant_records.LentGrantsReclaimed,
            )
            return self._rng.choice(kinds)(*self._node())
        amount = self._rng.randrange(9)
        team = self._rng.choice(_TEAMS)
        change = grant_records.GrantChanged(team, *self._node(), amount, 1)
        if self._rng.random() < 0.3:
            return change
        return grant_records.StandingGrantChanged(
            *change, self._rng.randrange(6), 60.0
        )

    def _carry(self) -> records.Record:
        pool = min(
            self._rng.sample(_POOLS, 2),
            key=lambda name: self._model.carryover_source(name) is None,
        )
        node, incarnation, epoch = self._model.claim(pool)
        source = self._model.carryover_source(pool) or self._node()
        amounts = {
            team: self._rng.choice((0, 0, 1, 3))
            for team in _TEAMS
            if self._rng.random() < 0.5
        }
        return grant_records.GrantsCarried(
            pool, epoch, *source, node, incarnation, amounts
        )

    def _retire(self) -> records.Record:
        pool = self._rng.choice(_POOLS)
        stored = self._model.all_objects().get(("pool", pool), (0, {}))
        is_drained = stored[1].get("withdrawal") == "drained"
        step = "removed" if is_drained else "drained"
        revision = stored[0] - (self._rng.random() < 0.1)
        claim = self._model.claim(pool)
        return pool_records.PoolRetired(pool, *claim, revision, step)

    def _move(self) -> records.Record:
        pool = self._rng.choice(_POOLS)
        epoch = self._fleet_epoch() - (self._rng.random() < 0.1)
        vm = self._rng.choice(("v", "w"))
        kind = self._rng.random()
        if kind < 0.2:
            return vm_records.DisruptionGranted(vm, pool, "k", "z", "", epoch)
        if kind < 0.4:
            return vm_records.DisruptionEnded(vm, pool, epoch)
        if kind < 0.5:
            ended_at_s = {vm: self._rng.randrange(9)}
            return vm_records.MaintenanceRecorded(pool, ended_at_s, epoch)
        step = self._rng.choice(_STEPS)
        return vm_records.VmStep(vm, self._rng.randint(1, 2), pool, step, epoch)

    def _fleet_epoch(self) -> int:
        return self._model.claim(pool_records.FLEET_POOL)[2]

    def _wave(self) -> records.Record:
        pool = self._rng.choice(_POOLS)
        state = self._rng.choice(("running", "paused", "done", "cancelled"))
        wave_id = f"w{self._rng.randrange(4)}"
        epoch = self._fleet_epoch()
        return vm_records.WaveChanged(wave_id, pool, state, "", epoch)


class ControlDifferentialTest(unittest.TestCase):

    def test_fold_agrees_with_model(self) -> None:
        accepted: dict[str, int] = {}
        for seed in range(_RUNS):
            self._compare_folds(random.Random(seed), accepted)
        self.assertGreater(min(accepted.values()), 20, accepted)
        self.assertEqual(len(accepted), 18)

    def _compare_folds(
        self, rng: random.Random, accepted: dict[str, int]
    ) -> None:
        model = control_model.ControlModel()
        state = control_state.ControlState()
        generate = _Generator(rng, model).generate
        for offset in range(_BATCHES):
            rows = tuple(generate() for _ in range(rng.randint(1, 3)))
            sequence = offset + 1 - rng.choice((0, 0, 0, 0, 1, 2))
            batch = record_batches.RecordBatch("e", "x", sequence, rows)
            expected = model.apply(offset, batch)
            results = state.apply(offset, batch)
            self.assertEqual(
                [result.accepted for result in results], expected, rows
            )
            for row, result in zip(rows, results):
                name = type(row).__name__
                accepted[name] = accepted.get(name, 0) + result.accepted
            if offset % 30 == 0:
                state = control_state.ControlState.decode(state.encode())
        self._compare_views(model, state)

    def _compare_views(
        self,
        model: control_model.ControlModel,
        state: control_state.ControlState,
    ) -> None:
        for kind in ("team", "pool", "queue"):
            for name, stored in state.objects(kind).items():
                expected_row = model.all_objects()[kind, name]
                self.assertEqual(tuple(stored), expected_row)
        for pool in _POOLS:
            self.assertEqual(state.epoch(pool), model.claim(pool)[2])
            self.assertEqual(
                state.carryover_source(pool), model.carryover_source(pool)
            )
        for team in _TEAMS:
            parts = {
                (key.node, key.incarnation): (row.amount, row.reserved)
                for key, row in state.session_grants(team).items()
            }
            expected = model.parts(team)
            for session in {*parts, *expected}:
                self.assertEqual(
                    parts.get(session, (0, 0)), expected.get(session, (0, 0))
                )
        self._compare_vms(model, state)

    def _compare_vms(
        self,
        model: control_model.ControlModel,
        state: control_state.ControlState,
    ) -> None:
        for vm in ("v", "w"):
            step = model.vm(vm)
            self.assertEqual(state.vm_pool(vm), step.pool if step else None)
            row = state.last_maintenance.get(vm)
            ended_at_s = row.ended_at_s if row else None
            self.assertEqual(ended_at_s, model.last_maintenance(vm))
