import json
import unittest

from tools import capacity
from tools import measure
from tools import measure_control


def _figures() -> dict:
    return json.loads(capacity.FIGURES.read_text())


class ArithmeticTest(unittest.TestCase):
    # Guards against a sum that leaves out or adds a term.
    def test_total_adds_slope_times_size(self):
        terms = (capacity.Term(2.0, 3), capacity.Term(0.5, 8))
        self.assertEqual(capacity.total(terms), 10.0)

    # Guards against a value at its limit shown as not met, or one above it
    # shown as met.
    def test_verdict_at_and_above_the_limit(self):
        self.assertEqual(capacity.verdict(7000.0, 7000.0), 'met')
        self.assertEqual(
            capacity.verdict(14000.0, 7000.0), 'NOT MET (2.0 times)'
        )
        self.assertEqual(capacity.verdict(1.0, None), '-')

    # Guards against the use of a figure of another set-up, or of two.
    def test_figure_must_be_the_only_one(self):
        figures = {
            'control': [
                {'figure': 'a', 'value': 1.0, 'setup': '3 hosts'},
                {'figure': 'a', 'value': 2.0, 'setup': '5 hosts'},
                {'figure': 'b', 'value': None, 'setup': ''},
            ]
        }
        found = capacity.figure(figures, 'control', 'a', '5')
        self.assertEqual(found, 2.0)
        for name in ('a', 'b', 'c'):
            with self.assertRaises(KeyError):
                capacity.figure(figures, 'control', name)

    # Guards against a size that is not that of the target: all hosts but the
    # own cell are far, and the targets of the own cell are not.
    def test_cost_of_host_multiplies_each_part_by_its_size(self):
        parts = {
            capacity.FIXED: 100.0,
            capacity.PEER: 10.0,
            capacity.TARGET: 1.0,
            capacity.SLOT: -1.0,
            capacity.FAR_HOST: 0.5,
            capacity.FAR_TARGET: 0.25,
        }
        figures = {
            'control': [
                {'figure': f'{part}: x', 'value': value, 'setup': ''}
                for part, value in parts.items()
            ]
        }
        terms = capacity.cost_of_host(figures, 'x', 5)
        expected = 100 + 4 * 10 + 3 * 1 + 695 * 0.5 + 2085 * 0.25
        self.assertEqual(capacity.total(terms), expected)

    # Guards against slopes that do not fit the points.
    def test_line_through_points(self):
        slope, fixed = measure_control.line_through((1, 2, 4), (5, 7, 11))
        self.assertAlmostEqual(slope, 2.0)
        self.assertAlmostEqual(fixed, 3.0)


class PagesTest(unittest.TestCase):
    # Guards against a page whose tables are not those of the figures.
    def test_capacity_page_shows_the_committed_figures(self):
        page = capacity.PAGE.read_text()
        self.assertEqual(
            capacity.tables_in(page), capacity.tables_of(_figures())
        )

    # Guards against the same of the page of measurements.
    def test_measurements_page_shows_the_committed_figures(self):
        self.assertEqual(measure.PAGE.read_text(), measure.page_of(_figures()))


if __name__ == '__main__':
    unittest.main()
