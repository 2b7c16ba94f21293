"""Tests which ends of requests count as cut by planned work."""

import unittest

from foxtaillock.soak import lost_answers

_BOUNDS = lost_answers.Bounds(grace_s=4.0, patience_s=10.0)
_VM = "vm-1"


def _exchange(
    sent_s: float,
    ended_s: float,
    ending: lost_answers.Ending = lost_answers.Ending.RESET,
    vm: str = _VM,
) -> lost_answers.Exchange:
    return lost_answers.Exchange(vm, "GET /", sent_s, ended_s, ending)


def _work(
    kind: lost_answers.WorkKind, began_s: float, vm: str = _VM
) -> lost_answers.PlannedWork:
    return lost_answers.PlannedWork(kind, vm, began_s, began_s)


def _count(
    exchanges: list[lost_answers.Exchange],
    works: list[lost_answers.PlannedWork],
    impairments: tuple[lost_answers.Impairment, ...] = (),
) -> int:
    return len(
        lost_answers.find_lost_answers(exchanges, works, impairments, _BOUNDS)
    )


class StopTest(unittest.TestCase):
    """A stop of the entry VM at 10 s; SIGKILL follows at 14 s."""

    def setUp(self) -> None:
        self.stop = _work(lost_answers.WorkKind.STOP, 10.0)

    def test_cut_beside_a_stop_counts_until_a_second_after_the_grace(
        self,
    ) -> None:
        for sent_s, ended_s, expected in (
            (9.0, 9.9, 0),
            (9.0, 10.0, 1),
            (13.0, 15.0, 1),
            (13.0, 15.1, 0),
        ):
            with self.subTest(ended_s=ended_s):
                count = _count([_exchange(sent_s, ended_s)], [self.stop])
                self.assertEqual(count, expected)

    def test_request_that_is_cut_at_once_may_have_crossed_the_close(
        self,
    ) -> None:
        for age_s, expected in ((0.19, 0), (0.21, 1)):
            exchange = _exchange(11.0, 11.0 + age_s)
            self.assertEqual(_count([exchange], [self.stop]), expected)

    def test_each_way_to_end_without_an_answer_counts(self) -> None:
        for ending, expected in (
            (lost_answers.Ending.ANSWERED, 0),
            (lost_answers.Ending.TIMED_OUT, 0),
            (lost_answers.Ending.CLOSED, 1),
            (lost_answers.Ending.RESET, 1),
        ):
            exchange = _exchange(11.0, 12.0, ending)
            self.assertEqual(_count([exchange], [self.stop]), expected)

    def test_stop_of_another_vm_does_not_count(self) -> None:
        exchange = _exchange(11.0, 12.0, vm="vm-2")
        self.assertEqual(_count([exchange], [self.stop]), 0)

    def test_unplanned_impairment_near_the_request_excuses_its_cut(
        self,
    ) -> None:
        for vm, began_s, ended_s, expected in (
            (_VM, 7.0, 7.9, 1),
            (_VM, 7.0, 8.0, 0),
            ("", 11.5, 11.6, 0),
            ("vm-2", 11.5, 11.6, 1),
            (_VM, 12.1, 12.2, 1),
        ):
            impairment = lost_answers.Impairment(vm, began_s, ended_s)
            count = _count([_exchange(11.0, 12.0)], [self.stop], (impairment,))
            self.assertEqual(count, expected)


class OtherWorkTest(unittest.TestCase):
    """Reloads and configurations at 10 s."""

    def test_cut_after_a_reload_counts_if_sent_until_it_is_applied(
        self,
    ) -> None:
        reload = _work(lost_answers.WorkKind.RELOAD, 10.0)
        for sent_s, ended_s, expected in (
            (9.0, 9.9, 0),
            (9.0, 10.1, 1),
            (12.0, 16.0, 1),
            (12.1, 16.0, 0),
        ):
            count = _count([_exchange(sent_s, ended_s)], [reload])
            self.assertEqual(count, expected)

    def test_cut_beside_a_config_counts_if_it_is_unusual(self) -> None:
        config = _work(lost_answers.WorkKind.CONFIG, 10.0, "")
        beside = [_exchange(11.0, 12.0)]
        answered = lost_answers.Ending.ANSWERED
        usual = [_exchange(21.0, 22.0), _exchange(23.0, 24.0, answered)]
        self.assertEqual(_count(beside, [config]), 1)
        self.assertEqual(_count(beside + usual, [config]), 0)
        rare = usual + [_exchange(25.0, 26.0, answered)] * 2
        self.assertEqual(_count(beside + rare, [config]), 1)

    def test_request_near_its_end_may_be_cut_beside_a_config(self) -> None:
        config = _work(lost_answers.WorkKind.CONFIG, 10.0, "")
        for sent_s, expected in ((4.0, 0), (6.0, 1)):
            count = _count([_exchange(sent_s, 11.5)], [config])
            self.assertEqual(count, expected)

    def test_cut_is_reported_once_with_all_work_beside_it(self) -> None:
        works = [_work(kind, 10.0) for kind in lost_answers.WorkKind]
        (finding,) = lost_answers.find_lost_answers(
            [_exchange(10.0, 11.0)], works, [], _BOUNDS
        )
        self.assertIn("stop, reload, config", finding)
