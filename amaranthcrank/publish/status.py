"""Documents of `status`, `owner` and `queues`, and their text output.

The operator interface of a host serves the documents, and the command-line
client prints them. Both use this module so that the formats match.
"""

from collections import abc
import datetime
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model

Document = dict[str, typing.Any]

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)


class HostView(typing.NamedTuple):
    """Known state of one host.

    Attributes:
      ticket: The newest ticket that the host is known to follow.
      ready: Whether it serves callers.
      silent_ms: Time since the last message from the host.
    """

    ticket: int
    ready: bool
    silent_ms: int


class TargetView(typing.NamedTuple):
    """Known state of one target.

    Attributes:
      state: The state, such as `active`, `draining` or `down`.
      slots: The number of slots it owns.
      fenced: Whether it checks fences.
    """

    state: str
    slots: int
    fenced: bool


class CellView(typing.NamedTuple):
    """Known state of one cell.

    Attributes:
      version: The version of the cell record.
      effective: The newest version that is adopted and whose wait has ended.
      settled_ticket: As in the cell record.
      controller: The acting controller host, empty if none is known.
      host_by_id: The hosts of the cell.
      target_by_id: The targets of the cell.
    """

    version: int
    effective: int
    settled_ticket: int
    controller: str
    host_by_id: dict[str, HostView]
    target_by_id: dict[str, TargetView]


class StoreView(typing.NamedTuple):
    """Reachability of the store.

    Attributes:
      reachable: Whether the last call was answered in time.
      since_ms: Time of the last change of `reachable`, Unix time.
    """

    reachable: bool
    since_ms: int


class QueueView(typing.NamedTuple):
    """Queue of one target.

    Attributes:
      limit: The current limit on requests in flight.
      in_flight: The number of requests in flight.
      waiting_by_rank: The number of waiting requests of each rank.
    """

    limit: int
    in_flight: int
    waiting_by_rank: dict[str, int]


def status_document(
    host: str,
    cell: str,
    ready: bool,
    ticket: int,
    store: StoreView,
    view_by_cell: abc.Mapping[str, CellView],
    state: abc.Mapping[str, typing.Any],
) -> Document:
    """Create the document of `GET /status`.

    The ticket does not count as in force while a cell of the state has no
    view, or a view without hosts. Lost cells and lost hosts are ignored.

    Args:
      host: The host that serves the document.
      cell: The cell of the host.
      ready: Whether the host serves callers.
      ticket: The newest ticket known to the host.
      store: The reachability of the store.
      view_by_cell: The known state of each cell.
      state: The state of the ticket.

    Returns:
      The document; `lagging` lists hosts with an older ticket, `unheard`
      cells of the state without a known host.
    """
    lost_cells = set(state.get('lost_cells', ()))
    lost_hosts = set(state.get('lost_hosts', ()))
    lagging = []
    known_cells = set()
    for name, view in view_by_cell.items():
        if name in lost_cells:
            continue
        for host_id, host_view in view.host_by_id.items():
            if host_id in lost_hosts:
                continue
            known_cells.add(name)
            if host_view.ticket < ticket:
                lagging.append(host_id)
    unheard = set(state.get('cells', {})) - known_cells - lost_cells
    return {
        'host': host,
        'cell': cell,
        'ready': ready,
        'ticket': ticket,
        'in_force': ready and not lagging and not unheard,
        'lagging': sorted(lagging),
        'unheard': sorted(unheard),
        'store': store._asdict(),
        'cells': {
            name: _cell_document(view)
            for name, view in sorted(view_by_cell.items())
        },
    }


def owner_document(
    service: str,
    key: str,
    slot: int,
    cell: str,
    target: str,
    fence: int,
    pinned: bool,
) -> Document:
    """Create the document of `GET /owner/<service>/<key>`."""
    return {
        'service': service,
        'key': key,
        'slot': slot,
        'cell': cell,
        'target': target,
        'fence': fence,
        'pinned': pinned,
    }


def queues_document(
    view_by_target: abc.Mapping[str, QueueView],
) -> Document:
    """Create the document of `GET /queues`."""
    return {
        target: {
            'limit': view.limit,
            'in_flight': view.in_flight,
            'waiting': {
                rank: view.waiting_by_rank.get(rank, 0) for rank in model.RANKS
            },
        }
        for target, view in sorted(view_by_target.items())
    }


def problems_document(
    problems: abc.Iterable[codes.Problem],
    current: abc.Mapping[str, typing.Any] | None = None,
) -> Document:
    """Create the document of an error.

    Args:
      problems: The problems found.
      current: The fields of the current ticket, if a filing was refused.
    """
    document: Document = {
        'problems': [
            {
                'number': each.code.number,
                'name': each.code.name,
                'place': each.place,
                'detail': each.detail,
            }
            for each in problems
        ]
    }
    if current is not None:
        document['current'] = dict(current)
    return document


def status_text(document: Document) -> str:
    """Format the document of `GET /status` as tables."""
    ready = 'ready' if document['ready'] else 'not ready'
    in_force_text = 'in force everywhere'
    if not document['in_force']:
        lagging = ', '.join(document['lagging']) or 'no host known'
        in_force_text = f'not in force everywhere (lagging: {lagging})'
        if document['unheard']:
            in_force_text += (
                f' (no status from {", ".join(document["unheard"])})'
            )
    store = 'reachable' if document['store']['reachable'] else 'unreachable'
    hosts = []
    targets = []
    cells = []
    for name, cell in document['cells'].items():
        cells.append(
            (
                name,
                cell['version'],
                cell['effective'],
                cell['settled_ticket'],
                cell['controller'] or '-',
            )
        )
        for host, each in cell['hosts'].items():
            yes_no = 'yes' if each['ready'] else 'no'
            hosts.append(
                (name, host, each['ticket'], yes_no, each['silent_ms'])
            )
        for target, each in cell['targets'].items():
            yes_no = 'yes' if each['fenced'] else 'no'
            targets.append(
                (name, target, each['state'], each['slots'], yes_no)
            )
    return '\n\n'.join(
        (
            f'Host {document["host"]} of cell {document["cell"]}: {ready}\n'
            f'Ticket {document["ticket"]}: {in_force_text}\n'
            f'Store: {store} since {time_text(document["store"]["since_ms"])}',
            table(
                ('CELL', 'VERSION', 'EFFECTIVE', 'SETTLED', 'CONTROLLER'),
                cells,
            ),
            table(('CELL', 'HOST', 'TICKET', 'READY', 'SILENT_MS'), hosts),
            table(('CELL', 'TARGET', 'STATE', 'SLOTS', 'FENCED'), targets),
        )
    )


def owner_text(document: Document) -> str:
    """Format the document of `GET /owner/<service>/<key>` as lines."""
    return '\n'.join(
        f'{name}: {_printable(value)}' for name, value in document.items()
    )


def queues_text(document: Document) -> str:
    """Format the document of `GET /queues` as a table."""
    rows = []
    for target, queue in document.items():
        waiting = tuple(queue['waiting'].get(rank, 0) for rank in model.RANKS)
        rows.append((target, queue['limit'], queue['in_flight'], *waiting))
    ranks = tuple(rank.upper() for rank in model.RANKS)
    return table(('TARGET', 'LIMIT', 'IN_FLIGHT', *ranks), rows)


def table(
    header: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[typing.Any]]
) -> str:
    """Format rows as a table with aligned columns."""
    lines = [header, *([_printable(each) for each in row] for row in rows)]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(header))
    ]
    return '\n'.join(
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def time_text(unix_ms: int) -> str:
    """Format Unix time in milliseconds as ISO 8601 in UTC."""
    time = _EPOCH + datetime.timedelta(milliseconds=unix_ms)
    return time.strftime('%Y-%m-%dT%H:%M:%SZ')


def _cell_document(view: CellView) -> Document:
    return {
        'version': view.version,
        'effective': view.effective,
        'settled_ticket': view.settled_ticket,
        'controller': view.controller,
        'hosts': {
            host: each._asdict()
            for host, each in sorted(view.host_by_id.items())
        },
        'targets': {
            target: each._asdict()
            for target, each in sorted(view.target_by_id.items())
        },
    }


def _printable(value: typing.Any) -> str:
    """Format a value on one line, with control characters escaped."""
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    text = str(value)
    if text.isprintable():
        return text
    return text.encode('unicode_escape').decode('ascii')
