from concurrent import futures
import time
import unittest

import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import work as work_module
from amaranthcrank.publish import view as view_module
from standins import samples

SLOT = model.SlotId('soaklog', 3)
TARGET = model.Target('t1', 'soaklog', 'c', '127.0.0.1:9', 2, 8, True, False)


def _view():
    record = model.CellRecord(
        'c', 1, ('h',), ('h',), (), 1, {SLOT: model.Assignment('t1', 1, '')}
    )
    granted = view_module.TargetGrant('i1', 1e12, frozenset({SLOT}))
    return view_module.View(
        ready=True,
        ticket=1,
        record=record,
        host_lease_until=time.monotonic() + 60,
        granted_by_target={'t1': granted},
    )


def _work(repeatable=True):
    request = samples.LOOKUP._replace(repeatable=repeatable)
    return work_module.Work(
        '1', request, SLOT, SLOT, time.monotonic() + 2, futures.Future()
    )


class DispatcherTest(unittest.TestCase):
    def setUp(self):
        self.view_holder = view_module.ViewHolder()
        self.view_holder.view = _view()
        ledger_ref = ledger_actor.start('h')
        self.addCleanup(ledger_ref.stop)
        context = work_module.Context(
            'h', 'i', self.view_holder, None, ledger_ref, lambda: 1
        )
        self.ref = dispatcher.start(TARGET, {}, context, lambda suspect: None)

    def submit(self, work):
        self.ref.tell(dispatcher.Submit(work))
        return work.reply.result(5)

    def test_refused_connection_is_not_run(self):
        """Guards against the outcome `unknown` for work never sent."""
        self.addCleanup(self.ref.stop)
        outcome = self.submit(_work())
        self.assertEqual(codes.NOT_RUN, outcome.code.outcome)

    def test_slot_without_grant_has_no_owner(self):
        """Guards against work sent to a target without a grant."""
        self.addCleanup(self.ref.stop)
        self.view_holder.view = self.view_holder.view._replace(
            granted_by_target={}
        )
        self.assertEqual(codes.NO_OWNER, self.submit(_work()).code)

    def test_no_work_without_host_lease(self):
        """Guards against sends by a host whose lease has ended."""
        self.addCleanup(self.ref.stop)
        self.view_holder.view = self.view_holder.view._replace(
            host_lease_until=0.0
        )
        self.assertEqual(codes.NO_STANDING, self.submit(_work(False)).code)

    def test_ticket_changes_slots_and_floors(self):
        """Guards against a target that keeps its initial limits."""
        self.addCleanup(self.ref.stop)
        target = TARGET._replace(slots=9, connections=20)
        reply = actors.ask(
            self.ref, dispatcher.SetTarget(target, {model.BULK: 0.2})
        )
        self.assertIsNone(reply)
        report = actors.ask(self.ref, dispatcher.GetLoad())
        self.assertIsInstance(report, dispatcher.LoadReport)

    def test_actor_of_removed_target_stops(self):
        """Guards against leaked threads of removed targets."""
        self.ref.tell(dispatcher.Stop())
        with self.assertRaises(pykka.ActorDeadError):
            while True:
                actors.ask(self.ref, dispatcher.GetLoad())
