import json
import unittest
from unittest import mock

from amaranthcrank.platform import store
from amaranthcrank.router import http_client
from amaranthcrank.router import model


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
