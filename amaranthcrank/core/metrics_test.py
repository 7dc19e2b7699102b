import threading
import unittest

from amaranthcrank.core import metrics


class MetricsTest(unittest.TestCase):
    def test_quantiles_are_accurate_to_two_digits(self):
        registry = metrics.Registry()
        for each in range(1, 101):
            registry.record_request('soaklog', 'urgent', 100, each / 1000)
        text = registry.render()
        values = {}
        for line in text.splitlines():
            name, _, value = line.rpartition(' ')
            values[name] = value
        labels = 'rank="urgent",service="soaklog"'
        name = 'amaranthcrank_request_seconds'
        for quantile in (0.5, 0.9, 0.99):
            shown = float(values[f'{name}{{{labels},quantile="{quantile}"}}'])
            self.assertLess(abs(shown / (quantile * 0.1) - 1), 0.02)
        self.assertLess(
            abs(float(values[f'{name}_max{{{labels}}}']) - 0.1), 0.002
        )
        self.assertEqual(values[f'{name}_count{{{labels}}}'], '100')
        counted = f'{{code="100",outcome="served",{labels}}}'
        self.assertEqual(
            values['amaranthcrank_requests_total' + counted], '100'
        )

    def test_old_latencies_drop_out_of_the_window(self):
        now = [0.0]
        registry = metrics.Registry(lambda: now[0])
        registry.record_request('a', 'bulk', 100, 1.0)
        now[0] = metrics.WINDOW_S * 1.5
        self.assertNotIn(
            'seconds_max{rank="bulk",service="a"} 0\n', registry.render()
        )
        now[0] = metrics.WINDOW_S * 3
        text = registry.render()
        self.assertIn('seconds_max{rank="bulk",service="a"} 0\n', text)
        self.assertIn('seconds_count{rank="bulk",service="a"} 1\n', text)

    def test_gauges_counters_and_escapes(self):
        registry = metrics.Registry()
        registry.set_gauge('limit', 2, target='a"b\n')
        registry.set_gauge('limit', 3, target='c')
        registry.remove_gauge('limit', target='c')
        registry.add('retries', 2)
        registry.add('retries')
        text = registry.render()
        self.assertIn('amaranthcrank_limit{target="a\\"b\\n"} 2\n', text)
        self.assertNotIn('target="c"', text)
        self.assertIn('amaranthcrank_retries_total 3\n', text)

    def test_number_of_services_is_bounded(self):
        registry = metrics.Registry()
        for each in range(metrics.MAX_SERVICES * 2):
            registry.record_request(f's{each}', 'normal', 201, 0.001)
        self.assertIn('service="other"} 128\n', registry.render())

    def test_concurrent_updates_are_all_counted(self):
        registry = metrics.Registry()

        def work():
            for _ in range(2000):
                registry.record_request('a', 'bulk', 100, 0.001)
                registry.add('n')

        threads = [threading.Thread(target=work) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        text = registry.render()
        self.assertIn('service="a"} 8000\n', text)
        self.assertIn('amaranthcrank_n_total 8000\n', text)
