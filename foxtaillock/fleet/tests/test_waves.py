"""Tests of waves, disruption budgets and the steps of moves."""

import itertools
import random
import unittest

from scipy import stats

from foxtaillock.fleet import budgets
from foxtaillock.fleet import model
from foxtaillock.fleet import pool_membership
from foxtaillock.fleet import wave_controller
from foxtaillock.fleet import waves
from foxtaillock.model import note_records
from foxtaillock.model import record_batches
from foxtaillock.model import records
from foxtaillock.model import vm_records
from foxtaillock.state import control_state

_SPEC = model.PoolSpec("p", 6, ("a", "b"), 4)


def _members(count: int = 6) -> list[model.Vm]:
    return [
        model.Vm(f"v{n}", "ab"[n % 2], f"r{n // 2 % 2}", "p")
        for n in range(count)
    ]


def _is_allowed_naively(
    spec: model.PoolSpec,
    vms: list[model.Vm],
    disrupted: set[str],
    candidate: model.Vm,
) -> bool:
    if candidate.name in disrupted or candidate.is_busy:
        return False
    stopped = disrupted | {candidate.name}
    places = {(vm.zone, vm.rack) for vm in vms if vm.name in stopped}
    available = [
        vm
        for vm in vms
        if vm.name not in stopped
        and not vm.is_busy
        and vm.health is model.VmHealth.SERVING
    ]
    return len(available) >= spec.min_available and len(places) == 1


class BudgetTest(unittest.TestCase):

    def test_against_naive_recount(self) -> None:
        rng = random.Random(5)
        for _ in range(500):
            spec = _SPEC._replace(min_available=rng.randrange(5))
            vms = [
                vm._replace(
                    health=rng.choice(list(model.VmHealth)),
                    is_busy=rng.random() < 0.1,
                )
                for vm in _members(rng.randrange(1, 9))
            ]
            disrupted: set[str] = set()
            for vm in rng.sample(vms, len(vms)):
                disruptions = [
                    budgets.ActiveDisruption(v.name, "p", v.rack, v.zone)
                    for v in vms
                    if v.name in disrupted
                ]
                budget = budgets.PoolBudget(spec, vms, disruptions)
                expected = _is_allowed_naively(spec, vms, disrupted, vm)
                self.assertEqual(budget.check(vm).accepted, expected)
                if expected:
                    disrupted.add(vm.name)

    def test_failures_revoke_the_latest_disruptions_first(self) -> None:
        vms = _members()
        vms[1] = vms[1]._replace(health=model.VmHealth.UNKNOWN)
        disruptions = [
            budgets.ActiveDisruption("v0", "p", "r0", "a", 1),
            budgets.ActiveDisruption("v4", "p", "r0", "a", 2),
        ]
        budget = budgets.PoolBudget(_SPEC, vms, disruptions)
        self.assertEqual(
            budgets.find_revocable(_SPEC, budget, disruptions), disruptions[1:]
        )


class WavesTest(unittest.TestCase):

    def test_canary_is_stopped_alone_and_then_one_rack(self) -> None:
        spec = _SPEC._replace(min_available=0)
        vms = _members(8)

        def _pick(is_done: bool, is_canary_stopped: bool) -> list[str]:
            budget = budgets.PoolBudget(spec, vms, [])
            picked = waves.pick_next(
                vms, [], budget, is_done, is_canary_stopped
            )
            return [vm.name for vm in picked]

        self.assertEqual(_pick(False, False), ["v0"])
        self.assertEqual(_pick(False, True), [])
        self.assertEqual(_pick(True, True), ["v0", "v4"])

    def test_one_zone_of_a_pool_at_a_time(self) -> None:
        spec = _SPEC._replace(min_available=0)
        budget = budgets.PoolBudget(spec, _members(), [])
        picked = waves.pick_next(_members(), ["b"], budget, True, True)
        self.assertEqual({vm.zone for vm in picked}, {"b"})

    def test_poisson_tail_against_scipy(self) -> None:
        for mean, count in itertools.product((0.001, 0.3, 4.0, 30.0), range(9)):
            expected = stats.poisson.sf(count - 1, mean)
            self.assertAlmostEqual(waves.poisson_tail(mean, count), expected)

    def test_pause_needs_evidence_beyond_the_base_rate(self) -> None:
        def _reason(
            done: int, failures: int, mean: float, acknowledged: int
        ) -> str:
            evidence = waves.Evidence(done, failures, mean, 1.0, acknowledged)
            return waves.find_pause_reason(evidence)

        self.assertIn("first VM", _reason(0, 1, 0.1, 0))
        self.assertEqual(_reason(9, 1, 0.001, 0), "")
        self.assertIn("2 failures", _reason(9, 2, 0.01, 0))
        self.assertEqual(_reason(9, 2, 1.0, 0), "")
        self.assertEqual(_reason(9, 2, 0.01, 2), "")

    def test_maintenance_days_are_even_and_stable(self) -> None:
        sizes = [random.Random(2).randrange(10, 120) for _ in range(220)]
        pools = {
            f"p{n}": model.PoolSpec(
                f"p{n}", size, ("a",), 0, maintenance_days=21
            )
            for n, size in enumerate(sizes)
        }
        days = waves.assign_maintenance_days(pools, {})
        loads = [
            sum(pools[n].size for n, day in days.items() if day == d)
            for d in range(21)
        ]
        self.assertLessEqual(max(loads) - min(loads), max(sizes))
        del pools["p7"]
        again = waves.assign_maintenance_days(pools, days)
        self.assertEqual(again, {n: d for n, d in days.items() if n != "p7"})


class PoolMembershipTest(unittest.TestCase):

    def test_move_continues_from_its_last_recorded_step(self) -> None:
        recorded = pool_membership.PoolMembership("p", 2, "joined")
        observation = pool_membership.Observation(2, False, 1, False)
        steps = []
        for step, later in (
            ("withdrawn", observation),
            ("", observation._replace(is_draining=True)),
            (
                "drained",
                observation._replace(is_draining=True, running_tasks=0),
            ),
            ("left", observation),
        ):
            action = pool_membership.next_action("v", recorded, later, "q", 7)
            if step:
                assert isinstance(action, vm_records.VmStep)
                steps.append(action.step)
                self.assertEqual((action.pool, action.incarnation), ("p", 2))
                recorded = recorded._replace(step=step)
            else:
                self.assertIsNone(action)
        self.assertEqual(steps, ["withdrawn", "drained", "left"])

    def test_vm_is_drained_only_if_certainly_without_tasks(self) -> None:
        recorded = pool_membership.PoolMembership("p", 1, "withdrawn")
        for observation in (
            pool_membership.Observation(1, False, None, False),
            pool_membership.Observation(0, False, None, False),
            pool_membership.Observation(1, False, 0, False),
            pool_membership.Observation(1, False, 2, True),
        ):
            action = pool_membership.next_action(
                "v", recorded, observation, "", 7
            )
            self.assertIn(action, (pool_membership.Drain(), None))
        absent = pool_membership.Observation(0, True, None, False)
        action = pool_membership.next_action("v", recorded, absent, "", 7)
        assert isinstance(action, vm_records.VmStep)
        self.assertEqual(action.step, "drained")

    def test_free_vm_that_drains_is_undrained(self) -> None:
        observation = pool_membership.Observation(1, False, 0, True)
        action = pool_membership.next_action("v", None, observation, "", 7)
        self.assertEqual(action, pool_membership.Undrain())


class WaveControllerTest(unittest.TestCase):

    def setUp(self) -> None:
        self.state = control_state.ControlState()
        self._offset = 0
        body = {"size": 6, "zones": ["a", "b"], "min_available": 4}
        change = note_records.Change("added", "pool", "p", 0, body)
        self._fold(note_records.NoteAccepted("n", "op", "", (change,)))
        self.vms = {vm.name: vm for vm in _members()}
        for vm in self.vms:
            self._fold(vm_records.VmStep(vm, 1, "p", "joined", 0))
        base = wave_controller.encode_incarnations(self.vms.values())
        self._fold(vm_records.WaveChanged("w", "p", "running", "", 0, base))
        self.controller = wave_controller.WaveController(
            self.state, wave_controller.BASE_RATE_PER_S
        )

    def _fold(self, record: records.Record) -> None:
        self._offset += 1
        batch = record_batches.RecordBatch("e", "x", self._offset, (record,))
        self.assertTrue(self.state.apply(self._offset, batch)[0].accepted)

    def _decide(self, now_s: float) -> list[records.Record]:
        members = {"p": self.vms}
        disruptions = [
            budgets.ActiveDisruption(
                vm, row.pool, row.rack, row.zone, row.offset
            )
            for vm, row in self.state.disruptions.items()
        ]
        pool_budgets = budgets.PoolBudgets({"p": _SPEC}, members, disruptions)
        pools = {"p": _SPEC}
        decided = self.controller.decide(pools, members, pool_budgets, now_s, 0)
        return list(decided.commits)

    def test_vm_that_restarts_in_time_has_not_failed(self) -> None:
        (granted,) = self._decide(0.0)
        self._fold(granted)
        self.controller.record_reboot_request("v0", 0.0)
        late_s = wave_controller.REBOOT_TIMEOUT_S
        self.vms["v0"] = self.vms["v0"]._replace(incarnation=2)
        self.assertEqual(self._decide(late_s), [])
        self.vms["v0"] = self.vms["v0"]._replace(health=model.VmHealth.FAILED)
        (paused,) = self._decide(late_s)
        self.assertEqual(paused.state, "paused")

    def test_failure_of_a_vm_that_was_not_stopped_is_no_evidence(self) -> None:
        for vm in ("v1", "v2", "v3"):
            self.vms[vm] = self.vms[vm]._replace(
                incarnation=2, health=model.VmHealth.FAILED
            )
        self.assertNotIn(
            "WaveChanged", [type(row).__name__ for row in self._decide(0.0)]
        )
