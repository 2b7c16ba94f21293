"""Tests of the line fits behind the capacity tables."""

import unittest

from bench import capacity_figures


class FitLineTest(unittest.TestCase):

    def test_line_through_scattered_points(self) -> None:
        fit = capacity_figures.fit_line([(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)])
        self.assertAlmostEqual(fit.base, 0.5)
        self.assertAlmostEqual(fit.slope, 0.5)
        self.assertAlmostEqual(fit.r_squared, 0.25)

    def test_constant_points_fit_exactly(self) -> None:
        fit = capacity_figures.fit_line([(0.0, 3.0), (1.0, 3.0)])
        self.assertEqual(fit, (3.0, 0.0, 1.0))
