import asyncio
import time
import unittest

from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_availability
from amaranthcrank.router import store_sync


class _Log:
    def event(self, name, **inputs):
        """Ignore the event."""


class _Client:
    """A store whose calls fail while it is unavailable."""

    def __init__(self):
        self.is_unavailable = True
        self.calls_by_kind = {}
        self.allowed_stale = []

    async def list_all(self, kind, timeout_s, allow_stale):
        await self._count(kind)
        self.allowed_stale.append(allow_stale)
        return store.Listing({}, 1)

    async def watch(self, kind, revision, wait_s, timeout_s):
        await self._count(kind)
        await asyncio.sleep(wait_s)
        return (), revision

    async def _count(self, kind):
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        await asyncio.sleep(0)
        if self.is_unavailable:
            raise store.StoreError('unreachable')


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """The store is unavailable, and failed calls cost money too."""

    async def asyncSetUp(self):
        self.client = _Client()
        self.first = store_sync.Reachability('first', _Log())
        self.listed = []

    def _follow(self, kind, reachability, retry_gate):
        follower = store_sync.Follower(
            self.client,
            kind,
            store_sync.Sink(
                lambda *read: self.listed.append(kind),
                lambda *read: None,
            ),
            reachability,
            _Log(),
            reader_election.ReaderElection(
                'h-1', lambda: 1, time.monotonic, lambda: 0.0
            ),
            store_sync.pause_after_changes(lambda: 0.0),
            retry_gate,
        )
        task = asyncio.create_task(follower.follow())
        self.addCleanup(task.cancel)

    async def test_only_one_kind_retries_in_an_outage(self):
        self._follow('first', self.first, store_sync.no_gate)
        second = store_sync.Reachability('second', _Log())
        self._follow('second', second, store_sync.gate_on(self.first))
        await asyncio.sleep(1.2)
        self.assertGreater(self.client.calls_by_kind['first'], 2)
        self.assertEqual(self.client.calls_by_kind['second'], 1)
        self.client.is_unavailable = False
        async with asyncio.timeout(2.0):
            while 'second' not in self.listed:
                await asyncio.sleep(0.02)
        self.assertEqual(self.listed[0], 'first')

    async def test_outage_of_the_first_kind_only(self):
        # The other kinds must not wait for it without limit.
        self.first.record_failure('unreachable', False)
        retry_gate = store_sync.gate_on(self.first)
        started_at = time.monotonic()
        async with asyncio.timeout(store_sync.MAX_GATE_S + 1.0):
            await retry_gate()
        waited_s = time.monotonic() - started_at
        self.assertGreaterEqual(waited_s, store_sync.MAX_GATE_S - 0.01)


class StaleStartTest(unittest.IsolatedAsyncioTestCase):
    """All hosts of a fleet list the targets when they start."""

    async def test_only_the_first_list_may_be_stale(self):
        # A later list replaces what a broken watch has missed, and a stale
        # one could bring back targets that are gone.
        client = _Client()
        client.is_unavailable = False
        follower = store_sync.Follower(
            client,
            'any',
            store_sync.Sink(lambda *read: None, lambda *read: None),
            store_sync.Reachability('any', _Log()),
            _Log(),
            reader_election.ReaderElection(
                'h-1', lambda: 1, time.monotonic, lambda: 0.0
            ),
            store_sync.pause_after_changes(lambda: 0.0),
            store_sync.no_gate,
            stale_start=True,
        )
        await follower._read_list()
        await follower._read_list()
        self.assertEqual(client.allowed_stale, [True, False])


class ReachabilityTest(unittest.TestCase):
    """The time of unreachability decides whether entries may have expired."""

    def test_silence_counts_from_its_beginning(self):
        lost = []
        reachability = store_sync.Reachability('any', _Log(), lost.append)
        reachability.record_failure('no answer in time', True)
        reachability.record_answer()
        self.assertGreaterEqual(
            clock.now() - lost[0], store_availability.SILENCE_DETECTION_S
        )
