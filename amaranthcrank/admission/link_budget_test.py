"""Tests of the byte budget of a link."""

import unittest

from amaranthcrank.admission import link_budget
from amaranthcrank.core import model

SHARES = {model.URGENT: 0.5, model.NORMAL: 0.35, model.BULK: 0.15}
RATE = 100_000.0


def _sent(budget, sizes_by_rank, seconds=20):
    """Offer one message per rank each millisecond; return bytes per second."""
    sent = dict.fromkeys(sizes_by_rank, 0)
    for step in range(seconds * 1_000):
        for rank, size in sizes_by_rank.items():
            if link_budget.take(budget, rank, size, step / 1_000):
                sent[rank] += size
    return {rank: total / seconds for rank, total in sent.items()}


class LinkBudgetTest(unittest.TestCase):
    """Tests of guaranteed shares and of unused shares."""

    def setUp(self):
        """Create a full budget."""
        self.budget = link_budget.open_link_budget(RATE, SHARES, 0.0)

    def test_each_rank_keeps_its_share(self):
        """Guards against a flood of one rank that starves the others."""
        sent = _sent(self.budget, dict.fromkeys(model.RANKS, 500))
        for rank, share in SHARES.items():
            self.assertAlmostEqual(share, sent[rank] / RATE, delta=0.1 * share)

    def test_unused_shares_go_to_other_ranks(self):
        """Guards against an underused link when one rank alone is busy."""
        for rank in (model.BULK, model.URGENT):
            budget = link_budget.open_link_budget(RATE, SHARES, 0.0)
            sent = _sent(budget, {rank: 500})
            self.assertGreater(sent[rank], 0.97 * RATE)

    def test_message_larger_than_the_bucket(self):
        """Guards against a large body that can never be sent."""
        self.assertTrue(
            link_budget.take(self.budget, model.BULK, 1_000_000, 0.0)
        )
        self.assertFalse(link_budget.take(self.budget, model.BULK, 1, 0.1))
        self.assertEqual(
            link_budget.MAX_WAIT_MS,
            link_budget.wait_ms(self.budget, model.BULK, 0.1),
        )
        self.assertEqual(
            0, link_budget.wait_ms(self.budget, model.URGENT, 0.1)
        )

    def test_rank_without_a_share_uses_unused_shares(self):
        """Guards against starving a rank that the ticket does not name."""
        link_budget.set_rate(self.budget, RATE, {model.NORMAL: 0.5}, 0.0)
        self.assertTrue(link_budget.take(self.budget, model.BULK, 10, 9.0))
