"""Calls to the store and to peers, outside the control actor."""

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
# Tickets are watched by one host of each cell, the acting controller. It
# renews the watch this often.
WATCH_WAIT_MS = 10_000
RETRY_INTERVAL_S = 0.3
# The host list lags in any case. At 700 nodes the two rates add up to about
# 140 reads a second.
HOST_LIST_INTERVAL_CONTROLLER_S = 2.0
HOST_LIST_INTERVAL_S = 10.0
UNREACHABLE_CODES = (codes.STORE_UNREACHABLE, codes.STORE_ANSWER_LOST)


class Tasks:
    """Threads for calls to the store, and the tasks that are running.

    Attributes:
      tell: Sends a message to the control actor.
      is_controller: Whether this host is the acting controller of its cell.
      recovered: Whether this host has a ticket and has recovered the state of
        its quorum; before, it reads the store more often.
      stopped: Set when the threads have to end.
      running: The names of the tasks that are queued or running.
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
    """Read a cell record; it arrives as RecordReceived."""

    def read() -> None:
        result = record_store.read_record(tasks.client, cell)
        if _report_reachability(tasks, result):
            tasks.tell(messages.RecordReceived(cell, result.ok, True))

    _submit(tasks, ('read', cell), read)


def write_record(tasks: Tasks, record: model.CellRecord) -> None:
    """Write a record; what the store then has arrives as RecordReceived."""

    def write() -> None:
        try:
            result = record_store.write_record(tasks.client, record)
            if _report_reachability(tasks, result):
                tasks.tell(
                    messages.RecordReceived(record.cell, result.ok, True)
                )
                return
            # Delay WriteDone, so that during an outage the next attempt does
            # not follow on every tick.
            tasks.stopped.wait(RETRY_INTERVAL_S)
        finally:
            tasks.tell(messages.WriteDone())

    tasks.executor.submit(_run_logged, write)


def read_other_records(
    tasks: Tasks, cell: str, create: tuple[str, ...], ticket: int
) -> None:
    """Read the records of the other cells; create missing ones empty.

    All records in the store are read, also of a cell that the ticket removes:
    it may still hold slots that the ticket assigns to other cells.

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
    """Request a cell record from a peer; it arrives as RecordReceived."""
    call = links_module.call(
        tasks.links, peer, {'type': frames.RECORD, 'cell': cell}
    )

    def on_reply(done: futures.Future) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        data = done.result().get('record')
        if not isinstance(data, bytes) or not data:
            return
        record, _ = cell_record.decode(data)
        if record is not None:
            tasks.tell(messages.RecordReceived(cell, record, False))

    call.add_done_callback(on_reply)


def fetch_ticket(tasks: Tasks, peer: str) -> None:
    """Request the newest ticket of a peer; it arrives as TicketReceived."""
    call = links_module.call(tasks.links, peer, {'type': frames.TICKET})

    def on_reply(done: futures.Future) -> None:
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

    call.add_done_callback(on_reply)


def host_list_interval_s(tasks: Tasks) -> float:
    """Return how long to wait between two reads of the host list."""
    if not tasks.recovered:
        return RETRY_INTERVAL_S
    if tasks.is_controller:
        return HOST_LIST_INTERVAL_CONTROLLER_S
    return HOST_LIST_INTERVAL_S


def _submit(
    tasks: Tasks, name: tuple[str, ...], function: abc.Callable[[], None]
) -> None:
    """Run a task unless it is queued or running already."""
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
    """Report whether the store answered; True if the call succeeded."""
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
