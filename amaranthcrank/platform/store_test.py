import asyncio
import json
import unittest
from unittest import mock

from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import http_client
from amaranthcrank.router import model

ITEM = {'metadata': {'name': 'a', 'rev': 5}, 'spec': {}}


def _page(name, revision, has_more):
    return {
        'items': [{'metadata': {'name': name, 'rev': 1}}],
        'hasMore': has_more,
        'asOf': revision,
    }


class StaleListTest(unittest.IsolatedAsyncioTestCase):
    """A list whose pages come from replicas that lag behind differently."""

    async def test_watch_starts_from_the_oldest_page(self):
        # Changes between the revisions of two pages would be lost.
        client = store.Client(model.Address('127.0.0.1', 1), None)
        bodies = [_page('i-1', 9, True), _page('i-2', 7, False)]
        paths = []

        async def exchange(method, path, headers, body, timeout_s):
            paths.append(path)
            content = json.dumps(bodies[len(paths) - 1]).encode()
            return http_client.Response(200, [], content)

        with mock.patch.object(client, '_exchange', exchange):
            listing = await client.list_all('servers', 1.0, allow_stale=True)
        self.assertEqual(listing.revision, 7)
        self.assertEqual(
            paths,
            [
                '/v1/objects/servers?serializable=1',
                '/v1/objects/servers?after=i-1&serializable=1',
            ],
        )


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """A store that comes back from an older copy."""

    async def asyncSetUp(self):
        self.client = store.Client(model.Address('127.0.0.1', 1), None)
        self.responses = []
        self.sent = []
        self.eras = []
        self.client.on_restored.append(
            lambda former, era: self.eras.append((former, era))
        )
        patch = mock.patch.object(self.client, '_exchange', self._exchange)
        patch.start()
        self.addCleanup(patch.stop)

    async def _exchange(self, method, path, headers, body, timeout_s):
        self.sent.append((method, path, json.loads(body) if body else None))
        status, era, content = self.responses.pop(0)
        if content is None:
            await asyncio.sleep(timeout_s)
        fields = [] if era is None else [(b'store-era', era)]
        return http_client.Response(
            status, fields, json.dumps(content).encode()
        )

    async def _get(self, era, content=ITEM):
        self.responses.append((200, era, content))
        return await self.client.get('kind', 'a', 1.0)

    async def test_revisions_of_a_later_era_are_later(self):
        """Guards against news of before a restore that passes for the newest.

        Revisions go back and are given out again.
        """
        before = await self._get(b'3', {'metadata': {'rev': 900}})
        after = await self._get(b'4')
        self.assertGreater(after['metadata']['rev'], before['metadata']['rev'])
        self.assertEqual(self.eras, [(3, 4)])

    async def test_response_of_an_earlier_era(self):
        """Guards against a late response that brings back what was lost."""
        await self._get(b'4')
        with self.assertRaises(store.StoreError):
            await self._get(b'3')

    async def test_response_without_a_readable_era(self):
        """Guards against a restore that is seen where none was."""
        expected = (await self._get(b'4'))['metadata']['rev']
        for era in (None, b'', b'x', b'-1', b'4.5', b'9' * 40):
            with self.subTest(era=era):
                found = await self._get(era)
                self.assertEqual(found['metadata']['rev'], expected)
        self.assertEqual(self.eras, [])

    async def test_first_response_without_an_era(self):
        """Guards against a restore that is seen when the first era is named.

        A service without a map would wait for the end of unknown grants. A
        host of another version names positions without an era.
        """
        self.client.record_position(5)
        await self._get(None)
        await self._get(b'4')
        self.assertFalse(self.client.has_seen_restore)
        self.assertEqual(self.eras, [])

    async def test_write_with_a_revision_of_an_earlier_era(self):
        """Guards against a write on an object that it was not meant for."""
        revision = (await self._get(b'3'))['metadata']['rev']
        await self._get(b'4')
        sent = len(self.sent)
        with self.assertRaises(store.RestoredError):
            await self.client.replace('kind', 'a', revision, {}, 1.0)
        self.assertEqual(len(self.sent), sent)

    async def test_write_during_a_restore(self):
        """Guards against a write that counts as stored and may be lost."""
        revision = (await self._get(b'3'))['metadata']['rev']
        self.responses.append((200, b'4', ITEM))
        with self.assertRaises(store.StoreError):
            await self.client.replace('kind', 'a', revision, {}, 1.0)

    async def test_revision_is_sent_as_the_store_gave_it(self):
        """Guards against writes and watches that a store cannot follow."""
        revision = (await self._get(b'3'))['metadata']['rev']
        self.responses.append((200, b'3', ITEM))
        item = await self.client.replace('kind', 'a', revision, {}, 1.0)
        self.assertEqual(self.sent[-1][2]['metadata']['rev'], 5)
        self.assertEqual(item['metadata']['rev'], revision)
        self.responses.append((200, b'3', {'events': [], 'asOf': 6}))
        _, read_until = await self.client.watch('kind', revision, 1.0, 1.0)
        self.assertIn('?watch=5&', self.sent[-1][1])
        self.assertEqual(read_until, store_position.position(3, 6))

    async def test_conflict_with_a_later_write(self):
        """Guards against a conflict whose object cannot be written again."""
        revision = (await self._get(b'3'))['metadata']['rev']
        self.responses.append((409, b'3', {'metadata': {'rev': 8}}))
        with self.assertRaises(store.ConflictError) as caught:
            await self.client.replace('kind', 'a', revision, {}, 1.0)
        self.assertEqual(
            caught.exception.item['metadata']['rev'],
            store_position.position(3, 8),
        )

    async def test_open_watch_ends(self):
        """Guards against news that is missed after a restore.

        The store may have the revision again, and wait for a later one.
        """
        revision = (await self._get(b'3'))['metadata']['rev']
        self.responses.append((200, b'3', None))
        watch = asyncio.ensure_future(
            self.client.watch('kind', revision, 60.0, 1.0)
        )
        await asyncio.sleep(0.01)
        self.client.record_position(store_position.position(4, 1))
        with self.assertRaises(store.RevisionExpiredError):
            async with asyncio.timeout(1.0):
                await watch
        with self.assertRaises(store.RevisionExpiredError):
            await self.client.watch('kind', revision, 60.0, 1.0)

    async def test_restore_between_two_pages(self):
        """Guards against a list of objects of two eras."""
        self.responses += [
            (200, b'3', _page('i-1', 900, True)),
            (200, b'4', _page('i-2', 7, False)),
        ]
        with self.assertRaises(store.StoreError):
            await self.client.list_all('kind', 1.0)
