"""A stand-in for the platform's store, run in the test's event loop.

It keeps objects by kind and name under one revision counter and serves
watches. Faults can be injected: it refuses calls, does not answer, loses the
responses to writes, discards its history or comes back from an older copy.
"""

import asyncio
import collections
import json
import typing
import urllib.parse

from amaranthcrank.router import http_server
from amaranthcrank.router import model

PREFIX = '/v1/objects/'
# In each response; it rises with each restore.
ERA_HEADER = b'Store-Era'
FIRST_ERA = 1

# Faults of the store.
BUSY = 'busy'
SILENT = 'silent'
LOSES_ANSWERS = 'loses_answers'

_Item = dict[str, typing.Any]


class Copy(typing.NamedTuple):
    """The store's content at a moment.

    Attributes:
      revision: The revision of the last change.
      item_by_path: The objects by kind and name.
    """

    revision: int
    item_by_path: dict[tuple[str, str], _Item]


class PlatformStore:
    """The store's objects of all kinds and its server.

    Attributes:
      fault: BUSY, SILENT, LOSES_ANSWERS or '' for none.
      failing_kinds: Kinds whose reads are refused.
      reads_by_kind: How many lists and watches of each kind arrived.
      writes: How many write calls arrived.
      revision: The revision of the last change of any object.
      era: How often the store has come back from a copy, plus FIRST_ERA.
      on_write: Called with the kind and name of each object that a write call
        has changed, before the response is sent.
    """

    def __init__(self) -> None:
        """Create an empty store at revision 10."""
        self.fault = ''
        self.failing_kinds: set[str] = set()
        self.reads_by_kind: collections.Counter[str] = collections.Counter()
        self.writes = 0
        self.revision = 10
        self.era = FIRST_ERA
        self.on_write: typing.Callable[[str, str], None] | None = None
        self._item_by_path: dict[tuple[str, str], _Item] = {}
        self._events: list[tuple[int, str, _Item, bool]] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self.server = http_server.Server(self._handle)

    async def listen(self, address: model.Address) -> None:
        """Start to accept connections."""
        await self.server.listen(address)

    def put(self, kind: str, name: str, fields: _Item) -> None:
        """Write an object, as the operator or a target would."""
        self._put_item(kind, name, fields)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._item_by_path.pop((kind, name), None)
        if item is not None:
            self._record_event(kind, item, True)

    def get(self, kind: str, name: str) -> _Item | None:
        """Return an object, or None if it does not exist."""
        return self._item_by_path.get((kind, name))

    def revisions(self, kind: str) -> dict[str, int]:
        """Return the revision of each object of a kind, by name."""
        return {
            name: item['metadata']['rev']
            for (of_kind, name), item in self._item_by_path.items()
            if of_kind == kind
        }

    def discard_history(self) -> None:
        """Discard past changes, so that waiting and older watches get 410."""
        self._oldest = self.revision
        self._events = []
        self._wake_watchers()

    def copy(self) -> Copy:
        """Return the present content. Objects are replaced, not changed."""
        return Copy(self.revision, dict(self._item_by_path))

    def restore(
        self, copy: Copy, rewritten_kinds: typing.Collection[str] = ()
    ) -> None:
        """Come back from a copy; what was written since is gone.

        Args:
          copy: The copy.
          rewritten_kinds: Kinds whose present objects their writers write
            again at once.
        """
        rewritten = {
            path: item
            for path, item in self._item_by_path.items()
            if path[0] in rewritten_kinds
        }
        self.era += 1
        self.revision = copy.revision
        self._item_by_path = dict(copy.item_by_path)
        self.discard_history()
        for (kind, name), item in rewritten.items():
            self._put_item(kind, name, item)

    def _put_item(self, kind: str, name: str, fields: _Item) -> _Item:
        self.revision += 1
        current = self._item_by_path.get((kind, name))
        create_revision = (
            current['metadata']['createRevision'] if current else self.revision
        )
        item = dict(fields)
        item['metadata'] = {
            'name': name,
            'rev': self.revision,
            'createRevision': create_revision,
            'finalizers': [],
            'deleting': False,
        }
        self._item_by_path[kind, name] = item
        self._record_event(kind, item, False)
        return item

    def _record_event(self, kind: str, item: _Item, is_deleted: bool) -> None:
        if is_deleted:
            self.revision += 1
        self._events.append((self.revision, kind, item, is_deleted))
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        response = await self._respond(request)
        response.headers.append((ERA_HEADER, str(self.era).encode()))
        return response

    async def _respond(
        self, request: http_server.Request
    ) -> http_server.Response:
        if self.fault == BUSY:
            return http_server.Response(503, [], b'')
        if self.fault == SILENT:
            await asyncio.sleep(3600)
        path, _, query = request.path.decode().partition('?')
        kind, _, name = path.removeprefix(PREFIX).partition('/')
        fields = dict(urllib.parse.parse_qsl(query))
        if request.method == b'GET':
            return await self._read(kind, urllib.parse.unquote(name), fields)
        before = self.revision
        reply = self._write(
            request.method, kind, urllib.parse.unquote(name), request.body
        )
        if self.on_write is not None and self.revision != before:
            self.on_write(kind, urllib.parse.unquote(name))
        if self.fault == LOSES_ANSWERS:
            await asyncio.sleep(3600)
        return reply

    async def _read(
        self, kind: str, name: str, fields: dict[str, str]
    ) -> http_server.Response:
        self.reads_by_kind[kind] += 1
        if kind in self.failing_kinds:
            return http_server.Response(503, [], b'')
        if 'watch' in fields:
            return await self._watch(kind, fields)
        if name:
            item = self._item_by_path.get((kind, name))
            return _json(404 if item is None else 200, item)
        items = [
            item
            for (of_kind, _), item in sorted(self._item_by_path.items())
            if of_kind == kind
        ]
        return _json(
            200, {'items': items, 'hasMore': False, 'asOf': self.revision}
        )

    async def _watch(
        self, kind: str, fields: dict[str, str]
    ) -> http_server.Response:
        since = int(fields['watch'])
        loop = asyncio.get_running_loop()
        end_at = loop.time() + int(fields['waitMs']) / 1000
        while True:
            if not self._oldest <= since <= self.revision:
                return _json(410, None)
            events = [
                {'tombstone': is_deleted, 'object': item}
                for revision, of_kind, item, is_deleted in self._events
                if of_kind == kind and revision > since
            ]
            remaining_s = end_at - loop.time()
            if events or remaining_s <= 0:
                return _json(200, {'events': events, 'asOf': self.revision})
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(
        self, method: bytes, kind: str, name: str, body: bytes
    ) -> http_server.Response:
        self.writes += 1
        content = json.loads(body) if body else {}
        metadata = content.get('metadata', {})
        name = name or metadata.get('name', '')
        current = self._item_by_path.get((kind, name))
        if method == b'POST':
            if current is not None:
                return _json(409, current)
            return _json(
                200, self._put_item(kind, name, {'spec': content.get('spec')})
            )
        if current is None:
            return _json(404, None)
        expected_revision = metadata.get('rev')
        if (
            expected_revision is not None
            and expected_revision != current['metadata']['rev']
        ):
            return _json(409, current)
        if method == b'DELETE':
            self.remove(kind, name)
            return _json(200, current)
        if content.get('spec') == current.get('spec'):
            # What changes nothing has no revision of its own.
            return _json(200, current)
        return _json(
            200, self._put_item(kind, name, {'spec': content.get('spec')})
        )


def _json(status: int, content: typing.Any) -> http_server.Response:
    body = b'' if content is None else json.dumps(content).encode()
    headers = [(b'content-type', b'application/json')]
    return http_server.Response(status, headers, body)
