"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
import time
import typing
import urllib.parse

import wire

PAGE = 500
SILENT_INTERVALS = 3
MAX_WAIT_MS = 30000

Item = dict[str, typing.Any]


class Store:
    """Objects by kind and name under one revision counter.

    Entries of targets are removed after three intervals of silence.

    Attributes:
      on_change: Called with the kind, the name and the object of each change
        by the operator, a target or another writer.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.revision = 100
        self._heartbeat_s = heartbeat_s
        self._items: dict[tuple[str, str], Item] = {}
        self._events: list[tuple[int, str, Item, bool]] = []
        self._changed = asyncio.Event()
        self._heard_at: dict[str, float] = {}
        self.server = wire.Server(self._handle)

    def put(
        self, kind: str, name: str, spec: typing.Any, status: typing.Any = None
    ) -> int:
        """Write an object as the operator, a target or another writer."""
        current = self._items.get((kind, name))
        if current is not None:
            if current['spec'] == spec and current['status'] == status:
                return self.revision
        self.revision += 1
        created = self.revision
        if current is not None:
            created = current['metadata']['createRevision']
        item = {
            'metadata': {
                'name': name,
                'rev': self.revision,
                'createRevision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self._items[kind, name] = item
        self._record(kind, item, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        item = self._items.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)

    def hear(self, name: str) -> None:
        """Record the heartbeat of a target."""
        self._heard_at[name] = time.monotonic()

    async def expire(self) -> None:
        """Remove the entries of silent targets, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in list(self._heard_at.items()):
                silent_s = time.monotonic() - at
                if silent_s > SILENT_INTERVALS * self._heartbeat_s:
                    del self._heard_at[name]
                    self.remove('servers', name)

    def _record(self, kind: str, item: Item, is_gone: bool) -> None:
        self._events.append((self.revision, kind, item, is_gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: wire.Request) -> wire.Response:
        path, _, query = request.path.partition('?')
        kind, _, name = path.removeprefix('/v1/objects/').partition('/')
        name = urllib.parse.unquote(name)
        fields = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        if request.method == 'GET':
            if name:
                item = self._items.get((kind, name))
                return _json(404 if item is None else 200, item)
            if 'watch' in fields:
                return await self._watch(kind, fields)
            return self._list(kind, fields.get('after', ''))
        return self._write(request.method, kind, name, fields, request.body)

    def _list(self, kind: str, after: str) -> wire.Response:
        names = sorted(
            name
            for of_kind, name in self._items
            if of_kind == kind and name > after
        )
        content = {
            'items': [self._items[kind, name] for name in names[:PAGE]],
            'hasMore': len(names) > PAGE,
            'asOf': self.revision,
        }
        return _json(200, content)

    async def _watch(self, kind: str, fields: dict[str, str]) -> wire.Response:
        since = int(fields['watch'])
        wait_s = min(MAX_WAIT_MS, int(fields.get('waitMs', 0))) / 1000
        end_at = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [
                {'tombstone': is_gone, 'object': item}
                for revision, of_kind, item, is_gone in self._events
                if of_kind == kind and revision > since
            ]
            left_s = end_at - time.monotonic()
            if events or left_s <= 0:
                return _json(200, {'events': events, 'asOf': self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        fields: dict[str, str],
        body: bytes,
    ) -> wire.Response:
        content = json.loads(body) if body else {}
        metadata = content.get('metadata', {})
        name = name or metadata.get('name', '')
        current = self._items.get((kind, name))
        if method == 'POST':
            if current is not None:
                return _json(409, current)
            self.put(kind, name, content.get('spec'))
            return _json(200, self._items[kind, name])
        if current is None:
            return _json(404, None)
        expected = metadata.get('rev', fields.get('rev'))
        if expected is not None:
            if int(expected) != current['metadata']['rev']:
                return _json(409, current)
        if method == 'DELETE':
            self.remove(kind, name)
            return _json(200, current)
        self.put(kind, name, content.get('spec'), current['status'])
        return _json(200, self._items[kind, name])


def _json(status: int, content: typing.Any) -> wire.Response:
    body = b'' if content is None else json.dumps(content).encode()
    return wire.Response(status, {'Content-Type': 'application/json'}, body)
