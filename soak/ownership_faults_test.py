import asyncio
import collections
import itertools
import random
import unittest
from unittest import mock

from soak import ownership_faults
from soak import store_faults


class InRoundsTest(unittest.TestCase):
    def test_each_fault_in_each_round(self):
        """Guards against short plays in which some faults never begin."""
        rounds = ownership_faults.in_rounds('abc', random.Random(1))
        for _ in range(3):
            first = list(itertools.islice(rounds, 3))
            self.assertEqual(sorted(first), ['a', 'b', 'c'])


class InjectTest(unittest.TestCase):
    def test_short_play(self):
        """Guards against plays whose faults depend on random gaps.

        Gaps that were longer than usual left some of the faults out.
        """

        async def stall(_):
            pass

        site = mock.MagicMock(
            rng=random.Random(1), faults=collections.Counter()
        )
        names = (
            'stop_controller',
            'kill_controller',
            'suspend_controller',
            'delay_calls',
            'change_controller_amid_late_calls',
            'shift_busy_keys',
            'drain_target',
            'remove_entry',
            'crash_target',
            'restart_target',
            'lose_store_answers',
            'lose_store',
            'restore_store',
            'restore_store_amid_change',
        )
        for name in names:
            fault = mock.AsyncMock()
            fault.__name__ = name
            setattr(site, name, fault)

        async def disrupt_store(_):
            pass

        with (
            mock.patch.object(ownership_faults, 'STALLS', (stall,)),
            mock.patch.object(ownership_faults, 'HOST_FAULTS', ()),
            mock.patch.object(store_faults, 'FAULTS', (disrupt_store,)),
        ):
            asyncio.run(ownership_faults.inject(site, 0.0, 0.001))
        self.assertEqual(set(site.faults), {*names, 'stall', 'disrupt_store'})
        self.assertEqual(site.faults['change_controller_amid_late_calls'], 2)
