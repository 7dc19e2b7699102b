"""Blocking calls to the store and to peers, away from the control actor."""

from collections import abc
from concurrent import futures
import contextlib
import threading
import typing

import expression

from amaranthcrank.core import codes
from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.daemon import messages
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.record import cell_record
from amaranthcrank.record import record_store
from amaranthcrank.record import store_client
from amaranthcrank.record import tickets

log = logs.logger('store')

STORE_THREADS = 4
# One watch for each cell: the acting controller's. It is renewed this often.
WATCH_WAIT_MS = 10_000
RETRY_INTERVAL_S = 0.3
# The host list lags anyway. At 700 nodes the two rates add up to about 140
# reads a second.
HOST_LIST_INTERVAL_CONTROLLER_S = 2.0
HOST_LIST_INTERVAL_S = 10.0
UNREACHABLE_CODES = (codes.STORE_UNREACHABLE, codes.STORE_ANSWER_LOST)


class Tasks:
    """Threads that talk to the store, and what is under way.

    Attributes:
      controlling: Whether this host is the acting controller of its cell.
      settled: Whether this host knows the newest ticket and all hosts.
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        store_address: str,
        links: links_module.Links,
        tell: abc.Callable[[typing.Any], None],
    ) -> None:
        self.links = links
        self.tell = tell
        self.is_controller = False
        self.recovered = False
        self.stopped = threading.Event()
        self.running: set[tuple[str, ...]] = set()
        self.client = stack.enter_context(
            store_client.StoreClient(store_address)
        )
        self.executor = futures.ThreadPoolExecutor(STORE_THREADS, 'store')
        stack.callback(self.executor.shutdown, False, cancel_futures=True)
        stack.callback(self.stopped.set)


def start(tasks: Tasks) -> None:
    """Start to watch tickets and to read the host list."""
    for function in (_watch_tickets, _read_hosts):
        thread = threading.Thread(
            target=function, args=(tasks,), name=function.__name__, daemon=True
        )
        thread.start()


def read_record(tasks: Tasks, cell: str) -> None:
    """Read a cell record; told as RecordIn."""

    def read() -> None:
        result = record_store.read_record(tasks.client, cell)
        if _report_reachability(tasks, result):
            tasks.tell(messages.RecordReceived(cell, result.ok, True))

    _submit(tasks, ('read', cell), read)


def write_record(tasks: Tasks, record: model.CellRecord) -> None:
    """Write a record; told as RecordIn with what the store holds then."""

    def write() -> None:
        try:
            result = record_store.write_record(tasks.client, record)
            if _report_reachability(tasks, result):
                tasks.tell(
                    messages.RecordReceived(record.cell, result.ok, True)
                )
                return
            # Retries are paced here, so that an outage is not met with a
            # write on every tick.
            tasks.stopped.wait(RETRY_INTERVAL_S)
        finally:
            tasks.tell(messages.WriteDone())

    tasks.executor.submit(_run_logged, write)


def read_other_records(
    tasks: Tasks, cell: str, create: tuple[str, ...], ticket: int
) -> None:
    """Read the records of the other cells, and create the empty ones.

    All records of the store count, also of a cell that the ticket removes:
    it may still hold slots that the ticket gives away.

    Args:
      tasks: The threads.
      cell: The own cell, which is left out.
      create: Cells whose record is created if it does not exist.
      ticket: The settled ticket of a record that is created.
    """

    def read() -> None:
        listing = store_client.list_objects(tasks.client, record_store.CELLS)
        if not _report_reachability(tasks, listing):
            return
        record_by_cell = {}
        for name in sorted({*listing.ok.version_by_name, *create} - {cell}):
            result = record_store.read_record(tasks.client, name)
            if _report_reachability(tasks, result) and result.ok is None:
                empty = cell_record.empty_record(name, ticket)
                result = record_store.write_record(tasks.client, empty)
            if not _report_reachability(tasks, result):
                return
            record_by_cell[name] = result.ok
        tasks.tell(messages.OtherRecordsReceived(ticket, record_by_cell))

    _submit(tasks, ('others',), read)


def fetch_record(tasks: Tasks, peer: str, cell: str) -> None:
    """Ask a peer for its record of a cell; told as RecordIn."""
    call = links_module.call(
        tasks.links, peer, {'type': frames.RECORD, 'cell': cell}
    )

    def receive(done: futures.Future) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        data = done.result().get('record')
        if not isinstance(data, bytes) or not data:
            return
        record, _ = cell_record.decode(data)
        if record is not None:
            tasks.tell(messages.RecordReceived(cell, record, False))

    call.add_done_callback(receive)


def fetch_ticket(tasks: Tasks, peer: str) -> None:
    """Ask a peer for its newest ticket; told as TicketIn."""
    call = links_module.call(tasks.links, peer, {'type': frames.TICKET})

    def receive(done: futures.Future) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        data = done.result().get('ticket')
        if not isinstance(data, bytes) or not data:
            return
        try:
            ticket = tickets.decode(data)
        except ValueError:
            return
        tasks.tell(messages.TicketReceived(ticket, False))

    call.add_done_callback(receive)


def host_list_interval_s(tasks: Tasks) -> float:
    """Return how long to wait between two readings of the host list."""
    if not tasks.recovered:
        return RETRY_INTERVAL_S
    if tasks.is_controller:
        return HOST_LIST_INTERVAL_CONTROLLER_S
    return HOST_LIST_INTERVAL_S


def _submit(
    tasks: Tasks, name: tuple[str, ...], function: abc.Callable[[], None]
) -> None:
    """Run a task unless the same one is under way."""
    if name in tasks.running:
        return
    tasks.running.add(name)

    def run() -> None:
        try:
            _run_logged(function)
        finally:
            tasks.running.discard(name)

    tasks.executor.submit(run)


def _run_logged(function: abc.Callable[[], None]) -> None:
    try:
        function()
    except Exception:
        log.exception('A store task failed.')


def _report_reachability(
    tasks: Tasks, result: expression.Result[typing.Any, codes.Problem]
) -> bool:
    """Report whether the store answered; True where the call worked."""
    if result.is_ok():
        tasks.tell(messages.StoreReachability(True))
        return True
    reachable = result.error.code not in UNREACHABLE_CODES
    tasks.tell(messages.StoreReachability(reachable))
    return False


def _watch_tickets(tasks: Tasks) -> None:
    revision = -1
    while not tasks.stopped.is_set():
        if tasks.recovered and not tasks.is_controller:
            tasks.stopped.wait(RETRY_INTERVAL_S)
            revision = -1
            continue
        if revision < 0:
            result = store_client.list_objects(
                tasks.client, record_store.TICKETS
            )
        else:
            result = store_client.watch_kind(
                tasks.client, record_store.TICKETS, revision, WATCH_WAIT_MS
            )
        if not _report_reachability(tasks, result):
            tasks.stopped.wait(RETRY_INTERVAL_S)
            continue
        if result.ok.revision == revision:
            continue
        if _read_newest_ticket(tasks, result.ok):
            revision = result.ok.revision
            continue
        tasks.stopped.wait(RETRY_INTERVAL_S)


def _read_newest_ticket(tasks: Tasks, listing: store_client.Listing) -> bool:
    number = record_store.newest_number(listing)
    if number == 0:
        tasks.tell(messages.TicketReceived(None, True))
        return True
    result = record_store.read_ticket(tasks.client, number)
    if not _report_reachability(tasks, result):
        return False
    tasks.tell(messages.TicketReceived(result.ok, True))
    return True


def _read_hosts(tasks: Tasks) -> None:
    while not tasks.stopped.is_set():
        result = store_client.list_hosts(tasks.client)
        if _report_reachability(tasks, result):
            tasks.tell(messages.HostListReceived(result.ok.hosts))
        tasks.stopped.wait(host_list_interval_s(tasks))
