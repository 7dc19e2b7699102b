"""Tests that no datagram ends a process.

Anything may arrive at the port between hosts: datagrams of other programs, of
hosts of another version, or cut ones.
"""

import asyncio
import contextlib
import os
import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from amaranthcrank.router import main
from amaranthcrank.router import message_checks
from amaranthcrank.router import message_kinds
from amaranthcrank.router import peers
from standins import mutations
from standins import platform_site

ENTRY = ['i-1', 'desk', ['10.0.0.1', 80], 'a', 3, 'ready', 0.0, 5]
RANGE = [0, 99, 'i-1', 5, 2, True, 'i-2/4']
CONTENT_BY_KIND = {
    message_kinds.LOAD: {'i-1': 2},
    message_kinds.HEARTBEAT: [7, {'book': 3}, ['book']],
    message_kinds.RESIGNED: None,
    message_kinds.KEY_LOAD: [['book', 5, 0.1]],
    message_kinds.OWNER_USAGE: {'i-1': [1, 2]},
    message_kinds.MISDIRECTED: 'i-1',
    message_kinds.CRASHED: [b'12345678', 'i-1/5'],
    message_kinds.CRASH_CLEARED: b'12345678',
    message_kinds.CRASH_WITHDRAWN: 'i-1/5',
    message_kinds.BLOCKED: [b'12345678', [['i-1/5', 1500], ['i-2/5', 20]]],
    message_kinds.MOVE_COMPLETED: ['book', 0, 99, 2],
    message_kinds.KEY_MAP_CHANGE: ['book', 3, 8, 0, 1, [RANGE]],
    message_kinds.HELLO: ['10.0.0.2', 7200, 'a'],
    message_kinds.USAGE_BY_OTHERS: {'i-1': [1, 2]},
    message_kinds.TICKET: 3,
    message_kinds.TARGETS: [
        4,
        7,
        0,
        1,
        [['i-1', ENTRY], ['i-2', None]],
        500,
    ],
    message_kinds.MISSING_TARGETS: ['i-1/5'],
    message_kinds.DEPARTED_TARGETS: ['i-1/5'],
    message_kinds.CHANGES_AFTER: 4,
    message_kinds.CHANGES: [4, 7, 0, 1, [['i-1', ENTRY]]],
    message_kinds.TICKET_AFTER: -1,
    message_kinds.NEWER_TICKET: 3,
    message_kinds.LEAVING: 'i-1/5',
    message_kinds.EVACUATIONS: [7, ['a', 'b']],
    message_kinds.EVACUATIONS_CHANGED: [7, []],
    message_kinds.EVACUATIONS_AFTER: -1,
}


class WellFormedTest(unittest.TestCase):
    def test_each_kind(self):
        for name, kind in vars(message_kinds).items():
            if name.startswith('_'):
                continue
            content = CONTENT_BY_KIND[kind]
            self.assertTrue(
                message_checks.is_well_formed(kind, 'h-1', content), name
            )

    def test_sender_without_a_usable_id(self):
        for host_id in (None, 5, '', 'x' * 1000, '\n'):
            self.assertFalse(
                message_checks.is_well_formed(
                    message_kinds.RESIGNED, host_id, None
                )
            )

    def test_an_entry_is_checked_like_one_of_the_store(self):
        entry = [*ENTRY]
        entry[2] = ['10.0.0.1', 70_000]
        content = [4, 7, 0, 1, [['i-1', entry]], 500]
        self.assertFalse(
            message_checks.is_well_formed(
                message_kinds.TARGETS, 'h-1', content
            )
        )


class RouterTest(unittest.TestCase):
    """A router that receives malformed datagrams; no socket is opened."""

    def _router(self, stack):
        site = platform_site.Site(stack)
        descriptor = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, descriptor)
        return main.Router(site.settings('h-1'), '', descriptor)

    async def _deliver(self, kind, content):
        async with contextlib.AsyncExitStack() as stack:
            router = self._router(stack)
            sender = peers.Messenger('h-2', 'a')
            data = sender._encode(kind, content)
            router.peers.receive(data)
            # What is done regularly with the values that were stored.
            router.targets.drop_expired()
            router.reports.apply_load()
            router.reports._report_in_domain(0.0)
            router.reports._report_owner_usage(0.0)
            router.reports.read_schedule.is_due()
            router.controller.load.window('book')
            await asyncio.sleep(0)

    def test_valid_messages(self):
        for kind, content in CONTENT_BY_KIND.items():
            asyncio.run(self._deliver(kind, content))

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.sampled_from(sorted(CONTENT_BY_KIND)), strategies.data()
    )
    def test_mutated_messages(self, kind, data):
        content = mutations.mutate(data, CONTENT_BY_KIND[kind])
        with contextlib.suppress(UnicodeEncodeError):
            cbor2.dumps(content)
            asyncio.run(self._deliver(kind, content))

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_random_bytes(self, data):
        messenger = peers.Messenger('h-1', 'a')
        messenger.receive(data)

    def test_deep_nesting(self):
        messenger = peers.Messenger('h-1', 'a')
        for data in (b'\x81' * 1200, b'\xa1' * 1200, b'\xd8\x1d' * 600):
            messenger.receive(data)
        self.assertEqual(messenger.malformed, 3)
