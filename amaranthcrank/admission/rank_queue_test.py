"""Tests of the rank queue."""

import unittest

from amaranthcrank.admission import rank_queue
from amaranthcrank.core import codes
from amaranthcrank.core import model

FLOORS = {model.NORMAL: 0.15, model.BULK: 0.05}


def _entry(request_id, rank=model.NORMAL, caller='c', deadline_at=100.0):
    return rank_queue.Entry(str(request_id), rank, caller, deadline_at)


def _open(service_s=0.01, max_entries=4096):
    return rank_queue.open_queue(FLOORS, 4, service_s, max_entries)


def _pop_ids(queue, count, now=0.0):
    popped = []
    for _ in range(count):
        entry, _ = rank_queue.pop(queue, now)
        popped.append(entry.request_id)
    return popped


class OrderTest(unittest.TestCase):
    """Tests of the order in which entries are sent."""

    def test_urgent_first(self):
        """Guards against urgent entries behind earlier ones of lower ranks."""
        queue = _open()
        for rank in reversed(model.RANKS):
            rank_queue.push(queue, _entry(rank, rank), 0.0)
        self.assertEqual(list(model.RANKS), _pop_ids(queue, 3))
        self.assertEqual((None, ()), rank_queue.pop(queue, 0.0))

    def test_floors_are_exact_when_all_ranks_are_busy(self):
        """Under a flood of urgent entries, other ranks get their floors."""
        queue = _open(service_s=0.0)
        for rank in model.RANKS:
            for number in range(1_000):
                rank_queue.push(queue, _entry(f'{rank}{number}', rank), 0.0)
        popped = [rank_queue.pop(queue, 0.0)[0].rank for _ in range(1_000)]
        self.assertAlmostEqual(150, popped.count(model.NORMAL), delta=2)
        self.assertAlmostEqual(50, popped.count(model.BULK), delta=2)

    def test_callers_are_served_round_robin(self):
        """Guards against a caller with many requests that delays others."""
        queue = _open()
        for number in range(5):
            rank_queue.push(queue, _entry(number, caller='many'), 0.0)
        rank_queue.push(queue, _entry('few', caller='few'), 0.0)
        self.assertEqual(['0', 'few', '1'], _pop_ids(queue, 3))


class BoundsTest(unittest.TestCase):
    """Tests of the entries that are dropped."""

    def test_arrival_that_would_wait_too_long(self):
        """An entry that cannot start in time is refused on arrival."""
        queue = _open(service_s=4.0)
        for number in range(3):
            entry = _entry(number, deadline_at=2.5)
            self.assertEqual((), rank_queue.push(queue, entry, 0.0))
        entry = _entry('late', deadline_at=2.5)
        self.assertEqual(
            ((entry, codes.OVERLOADED),), rank_queue.push(queue, entry, 0.0)
        )
        entry = _entry('other caller', caller='d', deadline_at=2.5)
        self.assertEqual((), rank_queue.push(queue, entry, 0.0))

    def test_urgent_arrivals_drop_the_newest_bulk(self):
        """Bulk entries that cannot be served in time are refused early."""
        queue = _open(service_s=4.0)
        for number in range(3):
            entry = _entry(number, model.BULK, deadline_at=10.0)
            self.assertEqual((), rank_queue.push(queue, entry, 0.0))
        dropped = ()
        for number in range(10):
            entry = _entry(f'u{number}', model.URGENT, deadline_at=60.0)
            dropped += rank_queue.push(queue, entry, 0.0)
        self.assertEqual(
            ['2', '1'], [each.entry.request_id for each in dropped[:2]]
        )

    def test_late_entries_are_dropped_at_the_head(self):
        """No slot goes to a request that would finish after its deadline."""
        queue = _open(service_s=1.0)
        late = _entry('late', deadline_at=1.5)
        rank_queue.push(queue, late, 0.0)
        rank_queue.push(queue, _entry('next'), 0.0)
        entry, dropped = rank_queue.pop(queue, 1.0)
        self.assertEqual('next', entry.request_id)
        self.assertEqual(((late, codes.EXPIRED),), dropped)

    def test_wrong_estimate_is_corrected(self):
        """Guards against dropping all entries for an estimate too high."""
        queue = _open(service_s=50.0)
        sent = 0
        for number in range(100):
            rank_queue.push(queue, _entry(number, deadline_at=5.0), 0.0)
            entry, _ = rank_queue.pop(queue, 0.0)
            sent += entry is not None
        self.assertEqual(100 // (rank_queue.DROPS_PER_PROBE + 1), sent)

    def test_length_bound_drops_the_lowest_rank(self):
        """A full queue drops the newest entry of the lowest rank."""
        queue = _open(service_s=0.0, max_entries=2)
        rank_queue.push(queue, _entry('b', model.BULK), 0.0)
        rank_queue.push(queue, _entry('n'), 0.0)
        dropped = rank_queue.push(queue, _entry('u', model.URGENT), 0.0)
        self.assertEqual(['b'], [each.entry.request_id for each in dropped])
        dropped = rank_queue.push(queue, _entry('m'), 0.0)
        self.assertEqual(['m'], [each.entry.request_id for each in dropped])

    def test_entries_that_are_never_sent(self):
        """Cancelled, expired and duplicate entries are removed once."""
        queue = _open()
        rank_queue.push(queue, _entry('a'), 0.0)
        rank_queue.push(queue, _entry('b', deadline_at=1.0), 0.0)
        again = rank_queue.push(queue, _entry('a'), 0.0)
        self.assertEqual(codes.DUPLICATE, again[0].code)
        self.assertEqual('a', rank_queue.remove(queue, 'a').request_id)
        self.assertIsNone(rank_queue.remove(queue, 'a'))
        expired = rank_queue.drop_expired(queue, 2.0)
        self.assertEqual(['b'], [each.entry.request_id for each in expired])
        self.assertEqual(0, rank_queue.length(queue))

    def test_retry_after_grows_with_the_queue(self):
        """The retry delay of refused callers grows with the queue."""
        queue = _open(service_s=0.4)
        least = rank_queue.retry_after_ms(queue, model.NORMAL)
        for number in range(20):
            rank_queue.push(queue, _entry(number), 0.0)
        more = rank_queue.retry_after_ms(queue, model.NORMAL)
        self.assertEqual(rank_queue.MIN_RETRY_AFTER_MS, least)
        self.assertGreater(more, least)
        self.assertEqual(0, rank_queue.length(queue, model.BULK))
