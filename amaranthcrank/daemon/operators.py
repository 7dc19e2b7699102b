"""The operator interface of a host: tickets, status, owners, queues."""

from collections import abc
from concurrent import futures
import contextlib
import json
import time
import typing

import expression
import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import requests
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.intake import server
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.publish import status
from amaranthcrank.record import record_store
from amaranthcrank.record import store_client
from amaranthcrank.record import tickets
from amaranthcrank.routing import route

STATUS_TIMEOUT_S = 0.5
# Enough to see who changed what today; each one is a read of the store.
LISTED_TICKETS = 20
NO_TICKET = tickets.Ticket(0, '', '', 0, (), model.EMPTY_STATE)

Answer = tuple[int, typing.Any]
Parts = dict[str, str]


class Operators(typing.NamedTuple):
    """What the operator interface needs of the host.

    Attributes:
      node: The request path, for links and view.
      control_ref: The control actor.
      client: The store.
    """

    node: requests.Node
    control_ref: pykka.ActorRef
    client: store_client.StoreClient


def routes_of(
    operators: Operators,
) -> dict[tuple[str, str], server.Route]:
    """Return the function for each method and path."""

    def bind(
        function: abc.Callable[[Operators, Parts, bytes], Answer],
    ) -> server.Route:
        return lambda parts, body: function(operators, parts, body)

    return {
        ('GET', '/status'): bind(_status),
        ('GET', '/owner/{service}/{key}'): bind(_owner),
        ('GET', '/queues'): bind(_queues),
        ('GET', '/tickets'): bind(_list_tickets),
        ('GET', '/tickets/{number}'): bind(_show_ticket),
        ('POST', '/tickets'): bind(_file_ticket),
    }


def on_status_frame(
    operators: Operators, host: str, frame: frames.Frame
) -> None:
    """Answer a host of another cell that asks for this cell's status."""
    view = _own_cell(operators)
    reply = {'type': frames.STATUS_REPLY, 'cell': json.dumps(_packed(view))}
    links_module.reply(operators.node.context.links, host, frame['id'], reply)


def _packed(view: status.CellView) -> dict[str, typing.Any]:
    """Put a cell view into plain values for a frame."""
    packed = view._asdict()
    packed['host_by_id'] = {
        name: tuple(each) for name, each in view.host_by_id.items()
    }
    packed['target_by_id'] = {
        name: tuple(each) for name, each in view.target_by_id.items()
    }
    return packed


def _unpacked(text: str) -> status.CellView:
    packed = json.loads(text)
    packed['host_by_id'] = {
        name: status.HostView(*each)
        for name, each in packed['host_by_id'].items()
    }
    packed['target_by_id'] = {
        name: status.TargetView(*each)
        for name, each in packed['target_by_id'].items()
    }
    return status.CellView(**packed)


def _status(operators: Operators, parts: Parts, body: bytes) -> Answer:
    node = operators.node
    view = node.holder.view
    pending_by_cell = _ask_other_cells(operators)
    view_by_cell = {node.cell: _own_cell(operators)}
    end_at = time.monotonic() + STATUS_TIMEOUT_S
    for cell, pending in pending_by_cell.items():
        left_s = max(0.0, end_at - time.monotonic())
        with contextlib.suppress(
            futures.TimeoutError, links_module.LinkError, KeyError, ValueError
        ):
            reply = pending.result(left_s)
            view_by_cell[cell] = _unpacked(reply['cell'])
    document = status.status_document(
        node.context.host,
        node.cell,
        view.ready,
        view.ticket,
        actors.ask(operators.control_ref, messages.AskStore()),
        view_by_cell,
        view.state,
    )
    return 200, document


def _own_cell(operators: Operators) -> status.CellView:
    return actors.ask(operators.control_ref, messages.AskStatus())


def _ask_other_cells(
    operators: Operators,
) -> dict[str, 'futures.Future[frames.Frame]']:
    node = operators.node
    linked = links_module.connected(node.context.links)
    pending_by_cell = {}
    for cell, hosts in node.holder.view.hosts_by_cell.items():
        if cell == node.cell:
            continue
        reachable = [each for each in hosts if each in linked]
        if not reachable:
            continue
        pending_by_cell[cell] = links_module.call(
            node.context.links, reachable[0], {'type': frames.STATUS}
        )
    return pending_by_cell


def _owner(operators: Operators, parts: Parts, body: bytes) -> Answer:
    node = operators.node
    view = node.holder.view
    service = parts['service']
    key = parts['key']
    if service not in view.table_by_service:
        problem = codes.Problem(codes.UNKNOWN_SERVICE, 'service', service)
        return 404, status.problems_document((problem,))
    home = route.home_of(view.table_by_service, service, key)
    if home is None:
        problem = codes.Problem(codes.NO_OWNER, 'key', key)
        return 404, status.problems_document((problem,))
    record = view.record
    if home.cell != node.cell:
        record = _record_of(operators, home.cell)
    if record is None:
        problem = codes.Problem(codes.CELL_UNREACHABLE, 'cell', home.cell)
        return 503, status.problems_document((problem,))
    slot = route.slot_in_record(record, home, key)
    found = record.assignment_by_slot.get(slot, model.Assignment('', 0, ''))
    return 200, status.owner_document(
        service,
        key,
        home.slot.slot,
        home.cell,
        found.target,
        found.fence,
        slot != home.slot,
    )


def _record_of(operators: Operators, cell: str) -> model.CellRecord | None:
    result = record_store.read_record(operators.client, cell)
    return result.ok if result.is_ok() else None


def _queues(operators: Operators, parts: Parts, body: bytes) -> Answer:
    node = operators.node
    live = node.holder.view.live_hosts
    view_by_target = {}
    for target, ref in list(node.ref_by_target.items()):
        if hashing.rendezvous(target, live, 1) != (node.context.host,):
            continue
        report = actors.ask(ref, dispatcher.GetLoad())
        view_by_target[target] = status.QueueView(*report)
    return 200, status.queues_document(view_by_target)


def _list_tickets(operators: Operators, parts: Parts, body: bytes) -> Answer:
    listing = store_client.list_objects(operators.client, record_store.TICKETS)
    if listing.is_error():
        return _store_error(listing.error)
    numbers = []
    for name in listing.ok.version_by_name:
        if name.isdigit():
            numbers.append(int(name))
    found = []
    for number in sorted(numbers)[-LISTED_TICKETS:]:
        result = record_store.read_ticket(operators.client, number)
        if result.is_error():
            return _store_error(result.error)
        if result.ok is not None:
            found.append(_shown(result.ok, False))
    return 200, {'tickets': found}


def _show_ticket(operators: Operators, parts: Parts, body: bytes) -> Answer:
    number = parts['number']
    if number == 'current':
        return _show_current(operators)
    if not number.isdigit():
        problem = codes.Problem(codes.TICKET_NOT_FOUND, 'number', number)
        return 404, status.problems_document((problem,))
    result = record_store.read_ticket(operators.client, int(number))
    if result.is_error():
        return _store_error(result.error)
    if result.ok is None:
        problem = codes.Problem(codes.TICKET_NOT_FOUND, 'number', number)
        return 404, status.problems_document((problem,))
    return 200, _shown(result.ok, True)


def _show_current(operators: Operators) -> Answer:
    """Show the newest ticket; during a store outage the one in force."""
    result = record_store.read_newest_ticket(operators.client)
    if result.is_ok():
        found = result.ok
    else:
        found = actors.ask(operators.control_ref, messages.AskTicket())
        if found is None:
            return _store_error(result.error)
    if found is None:
        problem = codes.Problem(codes.TICKET_NOT_FOUND, 'number', 'current')
        return 404, status.problems_document((problem,))
    return 200, _shown(found, True)


def _shown(ticket: tickets.Ticket, whole: bool) -> dict[str, typing.Any]:
    shown = ticket._asdict()
    shown['touches'] = list(ticket.touches)
    if not whole:
        del shown['state']
    return shown


def _file_ticket(operators: Operators, parts: Parts, body: bytes) -> Answer:
    document, problems = tickets.parse_document(body)
    if document is None:
        return 400, status.problems_document(problems)
    newest = record_store.read_newest_ticket(operators.client)
    if newest.is_error():
        return _store_error(newest.error)
    current = newest.ok or NO_TICKET
    if tickets.is_filed_from(current, document):
        # The answer to this very document was lost before.
        return 201, {'number': current.number}
    problems = tickets.check_document(document, current.state, current.number)
    if problems:
        earlier = _read_earlier(operators, document, current.number)
        if earlier.is_error():
            return _store_error(earlier.error)
        if tickets.is_filed_from(earlier.ok, document):
            return 201, {'number': earlier.ok.number}
        return _refusal(problems, current)
    ticket = tickets.make_ticket(
        document, current.state, current.number, time.time_ns() // 1_000_000
    )
    filed = record_store.file_ticket(operators.client, ticket)
    if filed.is_error():
        return _store_error(filed.error)
    if filed.ok is None or filed.ok.uid != ticket.uid:
        detail = f'ticket {ticket.number} is taken'
        problem = codes.Problem(codes.TICKET_CONFLICT, 'expected', detail)
        return _refusal((problem,), filed.ok or current)
    operators.control_ref.tell(messages.TicketIn(ticket, True))
    return 201, {'number': ticket.number}


def _read_earlier(
    operators: Operators, document: tickets.Document, number: int
) -> record_store.TicketResult:
    """Read the ticket that followed the one that a document expects.

    It may be this very document, filed when an answer was lost, with another
    ticket filed after it. A refusal would make its author file it again.
    """
    if document.expected is None or document.expected >= number:
        return expression.Ok(None)
    return record_store.read_ticket(operators.client, document.expected + 1)


def _refusal(
    problems: tuple[codes.Problem, ...], current: tickets.Ticket
) -> Answer:
    http_status = max(each.code.http_status for each in problems)
    shown = _shown(current, True) if current.number else None
    return http_status, status.problems_document(problems, shown)


def _store_error(error: codes.Problem) -> Answer:
    code = codes.TICKET_STORE_DOWN
    if error.code in (codes.STORE_ANSWER_LOST, codes.STORE_OVERTAKEN):
        code = codes.TICKET_OUTCOME_UNKNOWN
    problem = codes.Problem(code, 'store', error.detail)
    return code.http_status, status.problems_document((problem,))
