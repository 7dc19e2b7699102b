"""A stand-in for the platform's store, run in the test's event loop.

It keeps objects by kind and name under one revision counter and serves
watches. Faults can be injected, for all machines or for some: it refuses
calls, does not answer, loses the responses to writes, carries writes out late,
answers reads from an older copy, discards its history or comes back from an
older copy.
"""

import asyncio
import collections
import functools
import json
import random
import typing
import urllib.parse

from amaranthcrank.router import http_server
from amaranthcrank.router import model

PREFIX = '/v1/objects/'
STATUS_PART = 'status'
# Its objects are removed whatever their finalizers.
TARGETS_KIND = 'servers'
# In each response; it rises with each restore.
ERA_HEADER = b'Store-Era'
FIRST_ERA = 1

# Faults of the store.
BUSY = 'busy'
SILENT = 'silent'
THROTTLED = 'throttled'
RESETTING = 'resetting'
SLOW = 'slow'
LOSES_ANSWERS = 'loses_answers'
# Writes get no response and are carried out seconds later.
LATE_WRITES = 'late_writes'
# From and to, in seconds.
LATE_WRITE_S = (1.0, 6.0)
# How long a slow store takes before it carries out a call, and again before
# it responds, from and to, in seconds.
SLOW_S = (0.05, 0.5)
# What a page of a list has at most.
PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000

_REFUSAL_BY_FAULT = {BUSY: 503, THROTTLED: 429}

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
      fault: A fault for all machines, or '' for none.
      fault_by_machine: Further faults for single machines, by the names
        under which `listen` was called for them.
      stale_copy: What reads are answered from that may be stale; None for
        the present content.
      page_objects: How many objects a page of a list has at most.
      page_bytes: How many bytes of objects a page of a list has at most,
        unless its first object alone is longer.
      failing_kinds: Kinds whose reads are refused.
      reads_by_kind: How many lists and watches of each kind arrived.
      writes: How many write calls arrived.
      revision: The revision of the last change of any object.
      era: How often the store has come back from a copy, plus FIRST_ERA.
      on_write: Called with the kind and name of each object that a write call
        has changed, before the response is sent.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        """Create an empty store at revision 10.

        Args:
          rng: Draws how late writes are carried out.
        """
        self.fault = ''
        self.fault_by_machine: dict[str, str] = {}
        self.stale_copy: Copy | None = None
        self.page_objects = PAGE_OBJECTS
        self.page_bytes = PAGE_BYTES
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
        self._rng = rng or random.Random(0)
        self._late_writes: set[asyncio.Task[None]] = set()
        self._server_by_machine: dict[str, http_server.Server] = {}
        self.server = http_server.Server(self._handle)

    async def listen(self, address: model.Address, machine: str = '') -> None:
        """Start to accept connections.

        Args:
          address: The address.
          machine: The machine that alone calls this address; '' for any.
        """
        if not machine:
            await self.server.listen(address)
            return
        server = http_server.Server(
            functools.partial(self._handle_machine, machine)
        )
        await server.listen(address)
        self._server_by_machine[machine] = server

    def close(self) -> None:
        """Close all servers, and carry out no further late writes."""
        for task in list(self._late_writes):
            task.cancel()
        for server in (self.server, *self._server_by_machine.values()):
            server.close()

    def reset_connections(self, machine: str) -> None:
        """Reset the connections of one machine."""
        for connection in list(self._server_by_machine[machine].connections):
            connection.abort()

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
            again at once, or remove again.
        """
        former = self._item_by_path
        self.era += 1
        self.revision = copy.revision
        self._item_by_path = dict(copy.item_by_path)
        self.stale_copy = None
        for task in list(self._late_writes):
            task.cancel()
        self.discard_history()
        for kind, name in {**copy.item_by_path, **former}:
            if kind not in rewritten_kinds:
                continue
            if (kind, name) not in former:
                self.remove(kind, name)
                continue
            item = former[kind, name]
            if item != self._item_by_path.get((kind, name)):
                self._put_item(kind, name, item)

    def _put_item(self, kind: str, name: str, fields: _Item) -> _Item:
        self.revision += 1
        current = self._item_by_path.get((kind, name))
        create_revision = (
            current['metadata']['createRevision'] if current else self.revision
        )
        item = dict(fields)
        metadata = fields.get('metadata', {})
        item['metadata'] = {
            'name': name,
            'rev': self.revision,
            'createRevision': create_revision,
            'finalizers': metadata.get('finalizers', []),
            'deleting': metadata.get('deleting', False),
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
        return await self._handle_machine('', request)

    async def _handle_machine(
        self, machine: str, request: http_server.Request
    ) -> http_server.Response:
        await self._pause_if_slow(machine)
        response = await self._respond(machine, request)
        await self._pause_if_slow(machine)
        response.headers.append((ERA_HEADER, str(self.era).encode()))
        return response

    async def _respond(
        self, machine: str, request: http_server.Request
    ) -> http_server.Response:
        refusal = await self._refuse(machine)
        if refusal is not None:
            return refusal
        path, _, query = request.path.decode().partition('?')
        kind, _, name = path.removeprefix(PREFIX).partition('/')
        fields = dict(urllib.parse.parse_qsl(query))
        if request.method == b'GET':
            reply = await self._read(kind, urllib.parse.unquote(name), fields)
            # A watch may have waited until a fault began.
            return await self._refuse(machine) or reply
        self.writes += 1
        write = functools.partial(
            self._write, request.method, kind, name, fields, request.body
        )
        faults = self._faults(machine)
        if LATE_WRITES in faults:
            self._start_late(write)
            await asyncio.sleep(3600)
        before = self.revision
        reply = write()
        if self.on_write is not None and self.revision != before:
            self.on_write(kind, urllib.parse.unquote(name))
        if LOSES_ANSWERS in faults:
            await asyncio.sleep(3600)
        return reply

    def _faults(self, machine: str) -> set[str]:
        return {self.fault, self.fault_by_machine.get(machine, '')}

    async def _pause_if_slow(self, machine: str) -> None:
        if SLOW in self._faults(machine):
            await asyncio.sleep(self._rng.uniform(*SLOW_S))

    async def _refuse(self, machine: str) -> http_server.Response | None:
        """Refuse a call, or give no response, if a fault has it so."""
        faults = self._faults(machine)
        for fault, status in _REFUSAL_BY_FAULT.items():
            if fault in faults:
                return http_server.Response(status, [], b'')
        if RESETTING in faults and machine:
            self.reset_connections(machine)
        if SILENT in faults or RESETTING in faults:
            await asyncio.sleep(3600)
        return None

    def _start_late(
        self, write: typing.Callable[[], http_server.Response]
    ) -> None:
        """Carry out a write later, also if its connection is closed."""
        delay_s = self._rng.uniform(*LATE_WRITE_S)

        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            write()

        task = asyncio.create_task(carry_out())
        self._late_writes.add(task)
        task.add_done_callback(self._late_writes.discard)

    async def _read(
        self, kind: str, name: str, fields: dict[str, str]
    ) -> http_server.Response:
        self.reads_by_kind[kind] += 1
        if kind in self.failing_kinds:
            return http_server.Response(503, [], b'')
        if 'watch' in fields:
            return await self._watch(kind, fields)
        content = Copy(self.revision, self._item_by_path)
        if self.stale_copy is not None and fields.get('serializable') == '1':
            content = self.stale_copy
        if name:
            item = content.item_by_path.get((kind, name))
            return _json(404 if item is None else 200, item)
        return self._list(content, kind, fields.get('after', ''))

    def _list(
        self, content: Copy, kind: str, after: str
    ) -> http_server.Response:
        """Return the page of a list that begins after a name."""
        items: list[_Item] = []
        length = 0
        has_more = False
        for (of_kind, name), item in sorted(content.item_by_path.items()):
            if of_kind != kind or name <= after:
                continue
            length += len(json.dumps(item))
            is_full = (
                len(items) >= self.page_objects or length > self.page_bytes
            )
            if items and is_full:
                has_more = True
                break
            items.append(item)
        return _json(
            200,
            {'items': items, 'hasMore': has_more, 'asOf': content.revision},
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
        self,
        method: bytes,
        kind: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
    ) -> http_server.Response:
        content = json.loads(body) if body else {}
        metadata = content.get('metadata', {})
        quoted_name, _, part = path.partition('/')
        name = urllib.parse.unquote(quoted_name) or metadata.get('name', '')
        current = self._item_by_path.get((kind, name))
        if method == b'POST':
            if current is not None:
                return _json(409, current)
            return _json(200, self._put_item(kind, name, content))
        if current is None:
            return _json(404, None)
        expected_revision = metadata.get('rev')
        if 'rev' in fields:
            expected_revision = int(fields['rev'])
        if (
            expected_revision is not None
            and expected_revision != current['metadata']['rev']
        ):
            return _json(409, current)
        if method == b'DELETE':
            return _json(200, self._delete(kind, name, current))
        changed = {**current, 'spec': content.get('spec')}
        changed['metadata'] = {
            **current['metadata'],
            'finalizers': metadata.get('finalizers', []),
        }
        if part == STATUS_PART:
            changed = {**current, 'status': content.get('status')}
        return _json(200, self._replace(kind, name, current, changed))

    def _replace(
        self, kind: str, name: str, current: _Item, changed: _Item
    ) -> _Item:
        if changed == current:
            # What changes nothing has no revision of its own.
            return current
        if _is_removable(kind, changed) and changed['metadata']['deleting']:
            self.remove(kind, name)
            return changed
        return self._put_item(kind, name, changed)

    def _delete(self, kind: str, name: str, current: _Item) -> _Item:
        """Remove an object, or mark it while it has finalizers."""
        if _is_removable(kind, current):
            self.remove(kind, name)
            return current
        metadata = {**current['metadata'], 'deleting': True}
        changed = {**current, 'metadata': metadata}
        return self._replace(kind, name, current, changed)


def _is_removable(kind: str, item: _Item) -> bool:
    return kind == TARGETS_KIND or not item['metadata']['finalizers']


def _json(status: int, content: typing.Any) -> http_server.Response:
    body = b'' if content is None else json.dumps(content).encode()
    headers = [(b'content-type', b'application/json')]
    return http_server.Response(status, headers, body)
