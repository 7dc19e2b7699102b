"""Tests of when requests go to other failure domains, without a network.

Load: requests that are limited to one region fill its targets, while those of
the other region have free slots.
"""

import unittest

from amaranthcrank.router import demand
from amaranthcrank.router import directory
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import reported_load
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_selection
from amaranthcrank.router import wait_order

GOAL_S = 1.0
SERVICE_S = 0.2


def _entry(target_id, domain):
    return model.TargetEntry(
        target_id,
        'desk',
        model.Address('10.0.0.1', 1),
        domain,
        2,
        model.READY,
        0.0,
        1,
    )


class SpilloverTest(unittest.TestCase):
    def setUp(self):
        targets = directory.Directory(lambda: 0.0, 2.0, lambda *_, **__: None)
        targets.replace_all([_entry('home', 'a'), _entry('remote', 'c')])
        self.home = targets.by_id['home']
        self.remote = targets.by_id['remote']
        self.home.in_flight_elsewhere = 2
        self.selection = target_selection.TargetSelection(
            targets,
            key_table.KeyTable(),
            target_choice.Locality('a', 'n', {'a': 'n', 'c': 's'}),
            lambda: 0.5,
        )

    def _choose(self, waited_s):
        return self.selection.choose(
            target_selection.SelectionPass(SERVICE_S, waited_s, {}),
            demand.Demand('desk', wait_order.Priority(0, GOAL_S, 5 * GOAL_S)),
            0.0,
        )

    def _report(self, running, at):
        fields = reported_load.LoadFields(running, 0, 2, 100)
        self.remote.reported_load = reported_load.arrived(fields, 0, at)

    def test_free_slot_in_another_region_is_used_early(self):
        # Waiting for the full targets at home would make the request late.
        self._report(1, 0.1)
        self.assertIs(self._choose(0.2), self.remote)

    def test_without_a_report_the_region_is_kept(self):
        # Of a target of another region nothing is known without a report.
        self.assertIsNone(self._choose(0.2))
        self.assertIs(self._choose(0.7), self.remote)

    def test_reported_load_without_room(self):
        # The other region is as full as this one.
        self._report(2, 0.15)
        self.assertIsNone(self._choose(0.2))

    def test_old_report(self):
        # The slot that was free may have been taken since.
        self._report(0, 0.2 - reported_load.ROOM_AGE_S - 0.1)
        self.assertIsNone(self._choose(0.2))

    def test_free_slot_at_home_goes_first(self):
        # Bytes between regions are billed.
        self._report(0, 0.2)
        self.home.in_flight_elsewhere = 0
        self.assertIs(self._choose(0.2), self.home)
