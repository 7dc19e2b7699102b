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
# Enough to see the changes of a day; each one is a read of the store.
MAX_LISTED_TICKETS = 20
NO_TICKET = tickets.Ticket(0, '', '', 0, (), model.EMPTY_STATE)

Response = tuple[int, typing.Any]
PathParameters = dict[str, str]


class OperatorInterface(typing.NamedTuple):
    """Dependencies of the operator interface.

    Attributes:
      node: The request path, which has the links and the view.
      control_ref: The control actor.
      client: The client of the store.
    """

    node: requests.Node
    control_ref: pykka.ActorRef
    client: store_client.StoreClient


def build_routes(
    interface: OperatorInterface,
) -> dict[tuple[str, str], server.Route]:
    """Return the handler of each method and path."""

    def bind(
        function: abc.Callable[
            [OperatorInterface, PathParameters, bytes], Response
        ],
    ) -> server.Route:
        return lambda parameters, body: function(interface, parameters, body)

    return {
        ('GET', '/status'): bind(_show_status),
        ('GET', '/owner/{service}/{key}'): bind(_show_owner),
        ('GET', '/queues'): bind(_show_queues),
        ('GET', '/tickets'): bind(_list_tickets),
        ('GET', '/tickets/{number}'): bind(_show_ticket),
        ('POST', '/tickets'): bind(_file_ticket),
    }


def on_status_frame(
    interface: OperatorInterface, host: str, frame: frames.Frame
) -> None:
    """Reply to a host of another cell that requests this cell's status."""
    view = _own_cell_view(interface)
    reply = {
        'type': frames.STATUS_REPLY,
        'cell': json.dumps(_encode_cell_view(view)),
    }
    links_module.reply(interface.node.context.links, host, frame['id'], reply)


def _encode_cell_view(view: status.CellView) -> dict[str, typing.Any]:
    """Convert a cell view to plain values for a frame."""
    fields = view._asdict()
    fields['host_by_id'] = {
        name: tuple(each) for name, each in view.host_by_id.items()
    }
    fields['target_by_id'] = {
        name: tuple(each) for name, each in view.target_by_id.items()
    }
    return fields


def _decode_cell_view(text: str) -> status.CellView:
    fields = json.loads(text)
    fields['host_by_id'] = {
        name: status.HostView(*each)
        for name, each in fields['host_by_id'].items()
    }
    fields['target_by_id'] = {
        name: status.TargetView(*each)
        for name, each in fields['target_by_id'].items()
    }
    return status.CellView(**fields)


def _show_status(
    interface: OperatorInterface, parameters: PathParameters, body: bytes
) -> Response:
    node = interface.node
    view = node.view_holder.view
    pending_by_cell = _request_other_cell_views(interface)
    view_by_cell = {node.cell: _own_cell_view(interface)}
    end_at = time.monotonic() + STATUS_TIMEOUT_S
    for cell, pending in pending_by_cell.items():
        left_s = max(0.0, end_at - time.monotonic())
        with contextlib.suppress(
            futures.TimeoutError, links_module.LinkError, KeyError, ValueError
        ):
            reply = pending.result(left_s)
            view_by_cell[cell] = _decode_cell_view(reply['cell'])
    document = status.status_document(
        node.context.host,
        node.cell,
        view.ready,
        view.ticket,
        actors.ask(interface.control_ref, messages.GetStoreView()),
        view_by_cell,
        view.state,
    )
    return 200, document


def _own_cell_view(interface: OperatorInterface) -> status.CellView:
    return actors.ask(interface.control_ref, messages.GetCellView())


def _request_other_cell_views(
    interface: OperatorInterface,
) -> dict[str, 'futures.Future[frames.Frame]']:
    node = interface.node
    linked = links_module.connected(node.context.links)
    pending_by_cell = {}
    for cell, hosts in node.view_holder.view.hosts_by_cell.items():
        if cell == node.cell:
            continue
        reachable = [each for each in hosts if each in linked]
        if not reachable:
            continue
        pending_by_cell[cell] = links_module.call(
            node.context.links, reachable[0], {'type': frames.STATUS}
        )
    return pending_by_cell


def _show_owner(
    interface: OperatorInterface, parameters: PathParameters, body: bytes
) -> Response:
    node = interface.node
    view = node.view_holder.view
    service = parameters['service']
    key = parameters['key']
    if service not in view.table_by_service:
        problem = codes.Problem(codes.UNKNOWN_SERVICE, 'service', service)
        return 404, status.problems_document((problem,))
    home = route.home_of(view.table_by_service, service, key)
    if home is None:
        problem = codes.Problem(codes.NO_OWNER, 'key', key)
        return 404, status.problems_document((problem,))
    record = view.record
    if home.cell != node.cell:
        record = _read_record(interface, home.cell)
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


def _read_record(
    interface: OperatorInterface, cell: str
) -> model.CellRecord | None:
    result = record_store.read_record(interface.client, cell)
    return result.ok if result.is_ok() else None


def _show_queues(
    interface: OperatorInterface, parameters: PathParameters, body: bytes
) -> Response:
    node = interface.node
    live = node.view_holder.view.live_hosts
    view_by_target = {}
    for target, ref in list(node.dispatcher_by_target.items()):
        if hashing.rendezvous(target, live, 1) != (node.context.host,):
            continue
        report = actors.ask(ref, dispatcher.GetLoad())
        view_by_target[target] = status.QueueView(*report)
    return 200, status.queues_document(view_by_target)


def _list_tickets(
    interface: OperatorInterface, parameters: PathParameters, body: bytes
) -> Response:
    listing = store_client.list_objects(interface.client, record_store.TICKETS)
    if listing.is_error():
        return _store_error(listing.error)
    numbers = []
    for name in listing.ok.version_by_name:
        if name.isdigit():
            numbers.append(int(name))
    found = []
    for number in sorted(numbers)[-MAX_LISTED_TICKETS:]:
        result = record_store.read_ticket(interface.client, number)
        if result.is_error():
            return _store_error(result.error)
        if result.ok is not None:
            found.append(_ticket_document(result.ok, False))
    return 200, {'tickets': found}


def _show_ticket(
    interface: OperatorInterface, parameters: PathParameters, body: bytes
) -> Response:
    number = parameters['number']
    if number == 'current':
        return _show_current(interface)
    if not number.isdigit():
        problem = codes.Problem(codes.TICKET_NOT_FOUND, 'number', number)
        return 404, status.problems_document((problem,))
    result = record_store.read_ticket(interface.client, int(number))
    if result.is_error():
        return _store_error(result.error)
    if result.ok is None:
        problem = codes.Problem(codes.TICKET_NOT_FOUND, 'number', number)
        return 404, status.problems_document((problem,))
    return 200, _ticket_document(result.ok, True)


def _show_current(interface: OperatorInterface) -> Response:
    """Show the newest ticket; in a store outage the newest one known here."""
    result = record_store.read_newest_ticket(interface.client)
    if result.is_ok():
        found = result.ok
    else:
        found = actors.ask(interface.control_ref, messages.GetTicket())
        if found is None:
            return _store_error(result.error)
    if found is None:
        problem = codes.Problem(codes.TICKET_NOT_FOUND, 'number', 'current')
        return 404, status.problems_document((problem,))
    return 200, _ticket_document(found, True)


def _ticket_document(
    ticket: tickets.Ticket, with_state: bool
) -> dict[str, typing.Any]:
    document = ticket._asdict()
    document['touches'] = list(ticket.touches)
    if not with_state:
        del document['state']
    return document


def _file_ticket(
    interface: OperatorInterface, parameters: PathParameters, body: bytes
) -> Response:
    document, problems = tickets.parse_document(body)
    if document is None:
        return 400, status.problems_document(problems)
    newest = record_store.read_newest_ticket(interface.client)
    if newest.is_error():
        return _store_error(newest.error)
    current = newest.ok or NO_TICKET
    if tickets.is_filed_from(current, document):
        # This document was filed before, but the response was lost.
        return 201, {'number': current.number}
    problems = tickets.check_document(document, current.state, current.number)
    if problems:
        earlier = _read_following_ticket(interface, document, current.number)
        if earlier.is_error():
            return _store_error(earlier.error)
        if tickets.is_filed_from(earlier.ok, document):
            return 201, {'number': earlier.ok.number}
        return _refusal(problems, current)
    ticket = tickets.make_ticket(
        document, current.state, current.number, time.time_ns() // 1_000_000
    )
    filed = record_store.file_ticket(interface.client, ticket)
    if filed.is_error():
        return _store_error(filed.error)
    if filed.ok is None or filed.ok.uid != ticket.uid:
        detail = f'ticket {ticket.number} is taken'
        problem = codes.Problem(codes.TICKET_CONFLICT, 'expected', detail)
        return _refusal((problem,), filed.ok or current)
    interface.control_ref.tell(messages.TicketReceived(ticket, True))
    return 201, {'number': ticket.number}


def _read_following_ticket(
    interface: OperatorInterface, document: tickets.Document, number: int
) -> record_store.TicketResult:
    """Read the ticket that followed the one that a document expects.

    It may be the same document, filed by a call whose response was lost, with
    another ticket filed after it. A refusal would make the author file it
    again.
    """
    if document.expected is None or document.expected >= number:
        return expression.Ok(None)
    return record_store.read_ticket(interface.client, document.expected + 1)


def _refusal(
    problems: tuple[codes.Problem, ...], current: tickets.Ticket
) -> Response:
    http_status = max(each.code.http_status for each in problems)
    document = _ticket_document(current, True) if current.number else None
    return http_status, status.problems_document(problems, document)


def _store_error(error: codes.Problem) -> Response:
    code = codes.TICKET_STORE_DOWN
    if error.code in (codes.STORE_ANSWER_LOST, codes.STORE_OVERTAKEN):
        code = codes.TICKET_OUTCOME_UNKNOWN
    problem = codes.Problem(code, 'store', error.detail)
    return code.http_status, status.problems_document((problem,))
