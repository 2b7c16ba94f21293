"""Tests of the limit of starts under way, alone and under load."""

import unittest

from foxtaillock.batch import start_window

_TIMEOUT_S = 0.8
_STEP_S = 0.05
_INTERVAL_S = 0.25


class StartWindowTest(unittest.TestCase):
    """The window follows the lag."""

    def test_prompt_owner_is_not_limited(self) -> None:
        window = start_window.StartWindow()
        for step in range(20):
            window.observe(0.0, 400, step * _INTERVAL_S)
        self.assertGreater(window.room(400), 400)

    def test_late_owner_starts_less_but_never_nothing(self) -> None:
        window = start_window.StartWindow()
        for step in range(40):
            window.observe(0.7, 300, step * _INTERVAL_S)
        self.assertGreater(window.limit, 0)
        self.assertLess(window.limit, 20)

    def test_window_grows_back(self) -> None:
        window = start_window.StartWindow()
        window.observe(0.7, 100, 0.0)
        shrunk = window.limit
        for step in range(1, 20):
            window.observe(0.0, 10, step * _INTERVAL_S)
        self.assertGreater(window.limit, 8 * shrunk)

    def test_single_delay_is_no_starvation(self) -> None:
        window = start_window.StartWindow()
        window.observe(0.0, 5, 0.0)
        window.observe(0.9, 5, 0.25)
        starved = []
        for step in range(2, 40):
            now_s = step * _INTERVAL_S
            window.observe(0.0, 5, now_s)
            starved.append(window.is_starved(now_s))
        self.assertNotIn(True, starved)

    def test_owner_with_a_steady_small_lag_is_not_starved(self) -> None:
        window = start_window.StartWindow()
        window.observe(0.0, 5, 0.0)
        window.observe(0.9, 5, 0.25)
        for step in range(2, 240):
            window.observe(0.1, 5, step * _INTERVAL_S)
        self.assertFalse(window.is_starved(60.0))

    def test_owner_that_stays_late_is_starved(self) -> None:
        window = start_window.StartWindow()
        self.assertFalse(window.is_starved(0.0))
        for step in range(20):
            window.observe(0.3, 5, step * _INTERVAL_S)
        self.assertTrue(window.is_starved(5.0))


class StarvedOwnerTest(unittest.TestCase):
    """An owner that can handle a tenth of the starts that its load asks for.

    Each start costs it one unit of work and each repetition of one that it took
    for lost another two; it does 5 units in 50 ms, first come, first served.
    """

    def _confirmed_in_time(self, is_limited: bool) -> int:
        window = start_window.StartWindow()
        queue: list[float] = []
        confirmed = 0
        for step in range(600):
            now_s = step * _STEP_S
            lag_s = now_s - queue[0] if queue else 0.0
            window.observe(lag_s, len(queue), now_s)
            wanted = 50
            if is_limited:
                wanted = min(wanted, window.room(len(queue)))
            queue += [now_s] * wanted
            units = 5
            while units > 0 and queue:
                sent_s = queue.pop(0)
                is_in_time = now_s - sent_s <= _TIMEOUT_S
                confirmed += is_in_time
                units -= 1 if is_in_time else 3
        return confirmed

    def test_goodput_does_not_collapse(self) -> None:
        possible = 600 * 5
        self.assertGreater(self._confirmed_in_time(True), 0.7 * possible)
        self.assertLess(self._confirmed_in_time(False), 0.1 * possible)
