import json
import unittest

from tools import capacity
from tools import measure
from tools import measure_control


def _read_figures() -> dict:
    return json.loads(capacity.FIGURES_PATH.read_text())


class ArithmeticTest(unittest.TestCase):
    # Guards against a sum with a missing or an additional term.
    def test_sum_adds_products_of_slope_and_size(self):
        terms = (capacity.Term(2.0, 3), capacity.Term(0.5, 8))
        self.assertEqual(capacity.sum_terms(terms), 10.0)

    # Guards against a value at its limit shown as not met, or a value above
    # its limit shown as met.
    def test_value_at_and_above_the_limit(self):
        self.assertEqual(capacity.compare_with_limit(7000.0, 7000.0), 'met')
        self.assertEqual(
            capacity.compare_with_limit(14000.0, 7000.0), 'NOT MET (2.0 times)'
        )
        self.assertEqual(capacity.compare_with_limit(1.0, None), '-')

    # Guards against a figure of another set-up, or one of several that match.
    def test_figure_must_be_unique(self):
        figures = {
            'control': [
                {'figure': 'a', 'value': 1.0, 'setup': '3 hosts'},
                {'figure': 'a', 'value': 2.0, 'setup': '5 hosts'},
                {'figure': 'b', 'value': None, 'setup': ''},
            ]
        }
        value = capacity.find_value(figures, 'control', 'a', '5')
        self.assertEqual(value, 2.0)
        for name in ('a', 'b', 'c'):
            with self.assertRaises(KeyError):
                capacity.find_value(figures, 'control', name)

    # Guards against slopes multiplied by wrong sizes: all hosts outside the
    # own cell are remote, and the targets of the own cell are not.
    def test_host_cost_multiplies_each_slope_by_its_size(self):
        parts = {
            capacity.FIXED: 100.0,
            capacity.PEER: 10.0,
            capacity.TARGET: 1.0,
            capacity.SLOT: -1.0,
            capacity.REMOTE_HOST: 0.5,
            capacity.REMOTE_TARGET: 0.25,
        }
        figures = {
            'control': [
                {'figure': f'{part}: x', 'value': value, 'setup': ''}
                for part, value in parts.items()
            ]
        }
        terms = capacity.host_cost(figures, 'x', 5)
        expected = 100 + 4 * 10 + 3 * 1 + 695 * 0.5 + 2085 * 0.25
        self.assertEqual(capacity.sum_terms(terms), expected)

    # Guards against a wrong slope or intercept of the fitted line.
    def test_fits_line_through_points(self):
        slope, fixed = measure_control.fit_line((1, 2, 4), (5, 7, 11))
        self.assertAlmostEqual(slope, 2.0)
        self.assertAlmostEqual(fixed, 3.0)


class PagesTest(unittest.TestCase):
    # Guards against a capacity page that does not match the stored figures.
    def test_capacity_page_shows_the_committed_figures(self):
        page = capacity.PAGE_PATH.read_text()
        self.assertEqual(
            capacity.extract_tables(page),
            capacity.render_tables(_read_figures()),
        )

    # Guards against a measurements page that does not match them.
    def test_measurements_page_shows_the_committed_figures(self):
        self.assertEqual(
            measure.PAGE_PATH.read_text(), measure.render_page(_read_figures())
        )


if __name__ == '__main__':
    unittest.main()
