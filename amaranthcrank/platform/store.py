"""Calls of the platform's store: objects by kind and name, and watches."""

import json
import typing
import urllib.parse

from amaranthcrank.router import clock
from amaranthcrank.router import connection_pool
from amaranthcrank.router import headers as fields
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from amaranthcrank.router import store_history

OBJECTS_PATH = '/v1/objects/'
CONNECT_TIMEOUT_S = 0.5
# A long answer over a busy link is not given up while it arrives: asking
# anew would send all of it again.
READ_IDLE_TIMEOUT_S = 1.5


class StoreError(Exception):
    """The store did not answer, or refused for a passing reason.

    A call that changes something may have been carried out, unless
    `refused` is set.

    Attributes:
      refused: Whether nothing was done.
      silent: Whether nothing came from the store for a while before.
    """

    def __init__(
        self, reason: str, refused: bool = False, silent: bool = False
    ) -> None:
        """Give the reason."""
        super().__init__(reason)
        self.refused = refused
        self.silent = silent


class RevisionExpiredError(Exception):
    """The store no longer knows the revision that was asked for."""


class ConflictError(Exception):
    """The object is at another revision, or exists already.

    Attributes:
      item: The object as it is, or None where the store did not send it.
    """

    def __init__(self, item: typing.Any) -> None:
        """Give the object as it is."""
        super().__init__('conflict')
        self.item = item


class Change(typing.NamedTuple):
    """One change of an object.

    Attributes:
      name: The object's name.
      item: The whole object.
      deleted: Whether it is gone.
    """

    name: str
    item: typing.Any
    deleted: bool


class Listing(typing.NamedTuple):
    """All objects of a kind.

    Attributes:
      item_by_name: The objects.
      revision: The revision to watch from.
    """

    item_by_name: dict[str, typing.Any]
    revision: int


class Client:
    """The one client of the store; it keeps idle connections.

    Attributes:
      calls: How many calls were made.
      history: Learns when the store answered and when it did not.
    """

    def __init__(
        self,
        address: model.Address,
        pool: connection_pool.Pool,
        history: store_history.StoreHistory | None = None,
    ) -> None:
        """Use a pool of connections to the store's address."""
        self.history = history or store_history.StoreHistory()
        self._address = address
        self._pool = pool
        self._host = f'{address.ip}:{address.port}'.encode()
        self.calls = 0

    def set_address(self, address: model.Address) -> None:
        """Use another address from now on."""
        self._address = address
        self._host = f'{address.ip}:{address.port}'.encode()

    async def list_all(self, kind: str, timeout_s: float) -> Listing:
        """List all objects of a kind, over as many pages as it takes.

        Raises:
          StoreError: The store does not answer or refuses.
        """
        item_by_name: dict[str, typing.Any] = {}
        revision = 0
        after = ''
        while True:
            query = f'?after={urllib.parse.quote(after)}' if after else ''
            _, body = await self._call('GET', kind + query, None, timeout_s)
            # Watching from the first page's revision misses no change that
            # happened while the further pages were read.
            revision = revision or body['asOf']
            for item in body['items']:
                after = _name_of(item) or after
                item_by_name[_name_of(item)] = item
            if not body.get('hasMore') or not body['items']:
                item_by_name.pop('', None)
                return Listing(item_by_name, revision)

    async def watch(
        self, kind: str, revision: int, wait_s: float, timeout_s: float
    ) -> tuple[tuple[Change, ...], int]:
        """Wait for changes after a revision.

        Returns:
          The changes, none if there were none in time, and the revision to
          watch from next.

        Raises:
          StoreError: The store does not answer or refuses.
          RevisionExpiredError: The changes since are not known any more.
        """
        query = f'{kind}?watch={revision}&waitMs={int(wait_s * 1000)}'
        _, body = await self._call('GET', query, None, wait_s + timeout_s)
        changes = []
        for event in body.get('events') or ():
            item = event['object']
            gone = bool(event.get('tombstone'))
            changes.append(Change(_name_of(item), item, gone))
        return tuple(changes), body['asOf']

    async def get(self, kind: str, name: str, timeout_s: float) -> typing.Any:
        """Return one object, or None.

        Raises:
          StoreError: The store does not answer or refuses.
        """
        status, body = await self._call(
            'GET', f'{kind}/{urllib.parse.quote(name)}', None, timeout_s
        )
        return None if status == 404 else body

    async def create(
        self, kind: str, name: str, spec: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Create an object and return it.

        Raises:
          StoreError: The store does not answer or refuses.
          ConflictError: It exists already.
        """
        content = {'metadata': {'name': name}, 'spec': spec}
        _, body = await self._call('POST', kind, content, timeout_s)
        return body

    async def replace(
        self,
        kind: str,
        name: str,
        revision: int,
        spec: typing.Any,
        timeout_s: float,
    ) -> typing.Any:
        """Replace an object's spec if it is at a revision, and return it.

        Raises:
          StoreError: The store does not answer or refuses.
          ConflictError: It is at another revision.
        """
        content = {'metadata': {'name': name, 'rev': revision}, 'spec': spec}
        path = f'{kind}/{urllib.parse.quote(name)}'
        status, body = await self._call('PUT', path, content, timeout_s)
        if status == 404:
            raise ConflictError(None)
        return body

    async def delete(self, kind: str, name: str, timeout_s: float) -> None:
        """Remove an object; one that does not exist is no error.

        Raises:
          StoreError: The store does not answer or refuses.
        """
        path = f'{kind}/{urllib.parse.quote(name)}'
        await self._call('DELETE', path, None, timeout_s)

    async def _call(
        self, method: str, path: str, content: typing.Any, timeout_s: float
    ) -> tuple[int, typing.Any]:
        self.calls += 1
        body = b''
        headers = [(b'host', self._host)]
        if content is not None:
            body = json.dumps(content, separators=(',', ':')).encode()
            headers.append((b'content-type', b'application/json'))
            headers.append((b'content-length', str(len(body)).encode()))
        sent_at = clock.now()
        try:
            answer = await self._exchange(
                method, OBJECTS_PATH + path, headers, body, timeout_s
            )
            _raise_if_refused(answer)
        except StoreError:
            self.history.note_failure(sent_at)
            raise
        self.history.note_answer()
        return _parse_response(answer)

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: fields.Headers,
        body: bytes,
        timeout_s: float,
    ) -> http_client.Answer:
        try:
            answer = await connection_pool.request(
                self._pool,
                self._address,
                method.encode(),
                path.encode(),
                headers,
                body,
                CONNECT_TIMEOUT_S,
                timeout_s,
                READ_IDLE_TIMEOUT_S,
            )
        except http_client.ConnectError as error:
            raise StoreError(f'unreachable: {error}', refused=True) from error
        except http_client.ExchangeError as error:
            raise StoreError(str(error), silent=error.silent) from error
        except TimeoutError as error:
            raise StoreError('no answer in time', silent=True) from error
        return answer


def _raise_if_refused(answer: http_client.Answer) -> None:
    if answer.status in (429, 503):
        raise StoreError(f'refused with {answer.status}', refused=True)


def _parse_response(answer: http_client.Answer) -> tuple[int, typing.Any]:
    if answer.status == 410:
        raise RevisionExpiredError
    try:
        body = json.loads(answer.body) if answer.body else None
    except ValueError as error:
        raise StoreError('the answer is no JSON') from error
    if answer.status == 409:
        raise ConflictError(body)
    if answer.status >= 400 and answer.status != 404:
        raise StoreError(f'answered {answer.status}')
    if answer.status != 404 and not isinstance(body, dict | None):
        raise StoreError('the answer is no object')
    return answer.status, body


def _name_of(item: typing.Any) -> str:
    try:
        return str(item['metadata']['name'])
    except (KeyError, TypeError):
        return ''
