"""Computes the tables of docs/CAPACITY.md from the committed measurements.

`python -m tools.capacity` computes the tables from docs/measurements.json and
prints them; with `--write` it writes them into the page. Every value is a sum
of measured slopes, each multiplied by a size of the deployment for which
design.md specifies the capacity.
"""

from collections import abc
import json
import math
import pathlib
import sys
import typing

DOCS_PATH = pathlib.Path(__file__).resolve().parent.parent / 'docs'
FIGURES_PATH = DOCS_PATH / 'measurements.json'
PAGE_PATH = DOCS_PATH / 'CAPACITY.md'
BEGIN_MARK = '<!-- begin: tools/capacity.py -->'
END_MARK = '<!-- end: tools/capacity.py -->'

# The deployment for which design.md specifies the capacity.
HOSTS = 700
KEYS = 620_000_000
REQUESTS_PER_S = 3_700_000
REGIONS = 2
DOMAINS = 4
TICKETS_PER_DAY = 360
RESTARTS_PER_DAY = 75
LOST_HOSTS_PER_DAY = 2
# Assumptions: current users have about 3 targets for each host and 3 services
# each; 16 slots per target keep its share within one sixteenth.
TARGETS_PER_HOST = 3
SLOTS_PER_TARGET = 16
SERVICES = 6
RACK_HOSTS = 12
CELL_HOSTS = 5
CELL_SIZES = (3, 4, 5, 8, 12)

LIMIT_CORES = 0.023
LIMIT_MIB = 32.0
LIMIT_BYTES_PER_S = 7_000.0
LIMIT_REGION_BYTES_PER_S = 30_000_000 / 8
LIMIT_READS = 2_000.0
LIMIT_WRITES = 300.0
LIMIT_OBJECT_BYTES = 2**20
LIMIT_TICKET_S = 15.0
LIMIT_UNAVAILABLE_S = 2.0
LIMIT_LATENCY_MS = 10.0

TARGETS = HOSTS * TARGETS_PER_HOST
SLOTS_PER_HOST = TARGETS_PER_HOST * SLOTS_PER_TARGET
SLOTS = HOSTS * SLOTS_PER_HOST
HOST_REQUESTS_PER_S = REQUESTS_PER_S / HOSTS

# Names of costs, and of what causes them, in the figures of `control`.
PROCESSOR = 'processor time'
LINKS = 'bytes sent to hosts'
FRAMES = 'frames sent to hosts'
UPSTREAMS = 'bytes to and from upstreams'
STORE = 'bytes sent to the store'
MEMORY = 'resident memory'
FIXED = 'fixed part of a host'
PEER = 'per other host of the cell'
REMOTE_HOST = 'per linked host of another cell'
REMOTE_TARGET = 'per target of another cell in the ticket'
TARGET = 'per target at its dispatching host'
SLOT = 'per slot at its dispatching host'
IMPORTS = 'resident memory, interpreter and imports of the daemon'

FiguresByTheme = abc.Mapping[str, abc.Sequence[abc.Mapping[str, typing.Any]]]


class Term(typing.NamedTuple):
    """A product of a measured slope and the size to which it applies."""

    slope: float
    size: float


class CapacityRow(typing.NamedTuple):
    """One row of the capacity table.

    Attributes:
      role: The role of the process or link.
      quantity: The quantity.
      terms: The terms of the sum that is its value.
      unit: Its unit.
      limit: The limit, None if there is none.
      note: How the quantity keeps its limit, or which change would make it.
    """

    role: str
    quantity: str
    terms: tuple[Term, ...]
    unit: str
    limit: float | None
    note: str


class CellSize(typing.NamedTuple):
    """The control costs with one number of hosts per cell.

    Attributes:
      hosts: The hosts of a cell.
      cells: The number of cells.
      tolerated_losses: How many hosts a cell can lose at the same time.
      processor: The cores that control uses on a host.
      controller: The cores that control uses on an acting controller.
      links: The bytes per second of a host on links within the cell.
      control: The bytes per second of all control traffic of a host.
      reads: The store calls per second of all cells, including watches.
      writes: The store writes of one ticket.
    """

    hosts: int
    cells: int
    tolerated_losses: int
    processor: float
    controller: float
    links: float
    control: float
    reads: float
    writes: float


def find_value(
    figures_by_theme: FiguresByTheme, theme: str, name: str, setup: str = ''
) -> float:
    """Return one measured value.

    Args:
      figures_by_theme: The figures.
      theme: The name of the script without `measure_`.
      name: The name of the figure.
      setup: The beginning of the description of its set-up.

    Raises:
      KeyError: Not exactly one figure matches, or its value was not measured.
    """
    values = []
    for each in figures_by_theme[theme]:
        if each['figure'] == name and each['setup'].startswith(setup):
            values.append(each['value'])
    if len(values) != 1 or values[0] is None:
        raise KeyError(f'{theme}: {name} ({setup}): {values}')
    return values[0]


def sum_terms(terms: abc.Iterable[Term]) -> float:
    """Add up the products of slopes and sizes."""
    return sum(each.slope * each.size for each in terms)


def compare_with_limit(value: float, limit: float | None) -> str:
    """Return whether a value is within its limit, as shown in the tables."""
    if limit is None:
        return '-'
    if value <= limit:
        return 'met'
    if math.isinf(value):
        return 'NOT MET'
    return f'NOT MET ({value / limit:.1f} times)'


def _control_slope(
    figures_by_theme: FiguresByTheme, part: str, cost: str
) -> float:
    return find_value(figures_by_theme, 'control', f'{part}: {cost}')


def host_cost(
    figures_by_theme: FiguresByTheme, cost: str, hosts: int = CELL_HOSTS
) -> tuple[Term, ...]:
    """Return the terms of a control cost of one host.

    Measurement noise can make a slope near zero negative; it counts as zero.
    """
    sizes = {
        FIXED: 1,
        PEER: hosts - 1,
        TARGET: TARGETS_PER_HOST,
        SLOT: SLOTS_PER_HOST,
        REMOTE_HOST: HOSTS - hosts,
        REMOTE_TARGET: TARGETS - TARGETS_PER_HOST * hosts,
    }
    terms = []
    for part, size in sizes.items():
        slope = max(0.0, _control_slope(figures_by_theme, part, cost))
        terms.append(Term(slope, size))
    return tuple(terms)


def _planning_term(
    figures_by_theme: FiguresByTheme, hosts: int = CELL_HOSTS
) -> Term:
    name = 'per slot of the cell at the acting controller: processor time'
    return Term(
        find_value(figures_by_theme, 'control', name), hosts * SLOTS_PER_HOST
    )


def _cell_store_calls_per_s(
    figures_by_theme: FiguresByTheme, hosts: int
) -> float:
    slope = find_value(
        figures_by_theme, 'control', 'per host of a cell: store calls'
    )
    fixed = find_value(
        figures_by_theme, 'control', 'fixed part of a cell: store calls'
    )
    return fixed + slope * hosts


def _ticket_calls_term(figures_by_theme: FiguresByTheme, kind: str) -> Term:
    """Return the store calls that a ticket causes in all cells."""
    name = f'ticket: {kind} of the store'
    many = find_value(figures_by_theme, 'control', name, '6 hosts in 6 cells')
    few = find_value(figures_by_theme, 'control', name, '4 hosts in 2 cells')
    return Term((many - few) / 4, HOSTS / CELL_HOSTS)


def cell_sizes(figures_by_theme: FiguresByTheme) -> tuple[CellSize, ...]:
    """Compute the control costs for each size of cells."""
    sizes = []
    writes = _ticket_calls_term(figures_by_theme, 'writes').slope
    for hosts in CELL_SIZES:
        cells = math.ceil(HOSTS / hosts)
        processor = sum_terms(host_cost(figures_by_theme, PROCESSOR, hosts))
        planning = _planning_term(figures_by_theme, hosts)
        links = _control_slope(figures_by_theme, PEER, LINKS) * (hosts - 1)
        control = 0.0
        for cost in (LINKS, UPSTREAMS, STORE):
            control += sum_terms(host_cost(figures_by_theme, cost, hosts))
        sizes.append(
            CellSize(
                hosts,
                cells,
                hosts - (hosts // 2 + 1),
                processor,
                processor + sum_terms((planning,)),
                links,
                control,
                cells * (_cell_store_calls_per_s(figures_by_theme, hosts) + 1),
                1 + writes * cells,
            )
        )
    return tuple(sizes)


def capacity_rows(figures_by_theme: FiguresByTheme) -> tuple[CapacityRow, ...]:
    """Compute the rows of the capacity table."""
    return (
        *_host_rows(figures_by_theme),
        *_request_rows(figures_by_theme),
        *_attester_rows(figures_by_theme),
        *_controller_rows(figures_by_theme),
        *_store_rows(figures_by_theme),
        *_upstream_rows(figures_by_theme),
        *_region_rows(figures_by_theme),
    )


def _host_rows(figures_by_theme: FiguresByTheme) -> tuple[CapacityRow, ...]:
    role = 'entry host, control'
    baseline = find_value(figures_by_theme, 'control', IMPORTS)
    memory = list(host_cost(figures_by_theme, MEMORY))
    memory[0] = Term(memory[0].slope - baseline, 1)
    control = []
    for cost in (LINKS, UPSTREAMS, STORE):
        control.extend(host_cost(figures_by_theme, cost))
    return (
        CapacityRow(
            role,
            'processor',
            host_cost(figures_by_theme, PROCESSOR),
            'cores',
            LIMIT_CORES,
            'renewals, heartbeats and ticks take about a third each; fewer '
            'renewals and ticks only on a change would cut it',
        ),
        CapacityRow(
            role,
            'bytes of all control',
            tuple(control),
            'B/s',
            LIMIT_BYTES_PER_S,
            'renewals every 200 ms carry HTTP headers and the whole list of '
            'slots, idle links to 695 hosts send keep-alives; renewals by '
            'digest, links to two hosts of each other cell and compact '
            'heartbeats over UDP would carry it',
        ),
        CapacityRow(
            role,
            'bytes of heartbeats',
            (
                Term(
                    _control_slope(figures_by_theme, PEER, LINKS),
                    CELL_HOSTS - 1,
                ),
            ),
            'B/s',
            LIMIT_BYTES_PER_S,
            'a heartbeat to each host of the cell every 100 ms',
        ),
        CapacityRow(
            role,
            'heartbeats sent',
            (
                Term(
                    _control_slope(figures_by_theme, PEER, FRAMES),
                    CELL_HOSTS - 1,
                ),
            ),
            '1/s',
            None,
            'one frame to each host of the cell every 100 ms',
        ),
        CapacityRow(
            role,
            'process baseline (interpreter and imports)',
            (Term(baseline, 1),),
            'MiB',
            LIMIT_MIB,
            'a smaller run time; no code of ours lowers it',
        ),
        CapacityRow(
            role,
            'control state above the baseline',
            tuple(memory),
            'MiB',
            LIMIT_MIB,
            'links to all 695 hosts of other cells are most of it; links to '
            'two hosts of each other cell would carry it',
        ),
        CapacityRow(
            role,
            'threads and sockets of links',
            (Term(2, HOSTS - 1),),
            'sockets',
            None,
            'two connections to each other host (design, not measured)',
        ),
    )


def _request_rows(figures_by_theme: FiguresByTheme) -> tuple[CapacityRow, ...]:
    role = 'entry host, requests'
    path_name = 'one forward to the other cell'
    processor_terms = []
    for host in ('entry host', 'dispatching host'):
        seconds = find_value(
            figures_by_theme,
            'throughput',
            f'highest rate: processor time of {host} per request',
            path_name,
        )
        processor_terms.append(Term(seconds / 1000, HOST_REQUESTS_PER_S))
    p99 = find_value(
        figures_by_theme, 'throughput', 'routed call, p99', path_name
    )
    rows = [
        CapacityRow(
            role,
            'share of the request rate',
            (Term(1 / HOSTS, REQUESTS_PER_S),),
            '1/s',
            None,
            'one daemon process a host today',
        ),
        CapacityRow(
            role,
            'processor',
            tuple(processor_terms),
            'cores',
            None,
            'entry and dispatch of its share, one forward each',
        ),
        CapacityRow(
            role,
            'p99 of one caller, loopback',
            (Term(p99, 1),),
            'ms',
            LIMIT_LATENCY_MS,
            'without network and service time; another region adds 16 ms '
            'there and back, so calls across regions cannot meet it',
        ),
    ]
    for name, quantity in (
        ('highest rate', 'processes at their highest rate'),
        (
            'highest rate with p99 within 10 ms',
            'processes with p99 within 10 ms',
        ),
    ):
        rate = find_value(figures_by_theme, 'throughput', name, path_name)
        # Two processes handle each request: entry and dispatching host.
        slope = 2 / rate if rate else math.inf
        rows.append(
            CapacityRow(
                role,
                quantity,
                (Term(slope, HOST_REQUESTS_PER_S),),
                'processes',
                1.0,
                'the interpreter binds a process to about one core; several '
                'processes of a host are several entry hosts to the system, '
                'which multiplies hosts, links and host lists',
            )
        )
    return tuple(rows)


def _attester_rows(
    figures_by_theme: FiguresByTheme,
) -> tuple[CapacityRow, ...]:
    role = 'attester of a two-host cell elsewhere'
    return (
        CapacityRow(
            role,
            'heartbeats, each way',
            (Term(_control_slope(figures_by_theme, PEER, FRAMES), 2),),
            '1/s',
            None,
            'only where a cell has two hosts; cells of 5 attest themselves, '
            'which the rows of the entry host contain',
        ),
        CapacityRow(
            role,
            'bytes',
            (Term(_control_slope(figures_by_theme, PEER, LINKS), 2),),
            'B/s',
            LIMIT_BYTES_PER_S,
            'heartbeats to the two hosts',
        ),
        CapacityRow(
            role,
            'processor',
            (Term(_control_slope(figures_by_theme, PEER, PROCESSOR), 2),),
            'cores',
            LIMIT_CORES,
            'on top of its own cell',
        ),
    )


def _controller_rows(
    figures_by_theme: FiguresByTheme,
) -> tuple[CapacityRow, ...]:
    role = 'acting controller'
    record = find_value(
        figures_by_theme, 'control', 'per slot: size of the cell record'
    )
    processor = (
        *host_cost(figures_by_theme, PROCESSOR),
        _planning_term(figures_by_theme),
    )
    return (
        CapacityRow(
            role,
            'processor',
            processor,
            'cores',
            LIMIT_CORES,
            'duties looked through on each tick, plans only on a change; the '
            'part on top of the host is small beside its renewals',
        ),
        CapacityRow(
            role,
            'cell record',
            (Term(record, CELL_HOSTS * SLOTS_PER_HOST),),
            'B',
            LIMIT_OBJECT_BYTES,
            'one object, written whole by conditional update',
        ),
        CapacityRow(
            role,
            'store calls of its cell',
            (Term(_cell_store_calls_per_s(figures_by_theme, CELL_HOSTS), 1),),
            '1/s',
            None,
            'one watch, the host list every 2 s, every 10 s by each host',
        ),
    )


def _store_rows(figures_by_theme: FiguresByTheme) -> tuple[CapacityRow, ...]:
    role = 'store'
    cells = HOSTS / CELL_HOSTS
    per_target = find_value(
        figures_by_theme, 'control', 'per target: size of the ticket'
    )
    per_cell = find_value(
        figures_by_theme, 'control', 'per cell: size of the ticket'
    )
    host_entry_bytes = find_value(
        figures_by_theme, 'control', 'per host: size of the host list'
    )
    calls = _cell_store_calls_per_s(figures_by_theme, CELL_HOSTS)
    reads = _ticket_calls_term(figures_by_theme, 'reads')
    writes = _ticket_calls_term(figures_by_theme, 'writes')
    return (
        CapacityRow(
            role,
            'calls while idle, waiting watches counted',
            (Term(calls, cells), Term(1, cells)),
            '1/s',
            LIMIT_READS,
            'reads of the host list and one watch a cell',
        ),
        CapacityRow(
            role,
            'reads of one ticket, all within seconds',
            (reads,),
            'reads',
            LIMIT_READS,
            'each cell reads it, and its record before each write',
        ),
        CapacityRow(
            role,
            'writes of one ticket, all within about 1.3 s',
            (writes,),
            'writes',
            LIMIT_WRITES,
            'each cell writes planned_ticket, then settled_ticket; several '
            'hundred a second, taken as 300',
        ),
        CapacityRow(
            role,
            'reads of a ticket that moves slots into one cell, each round',
            (Term(1, cells - 1),),
            'reads',
            LIMIT_READS,
            'the cell that takes slots reads every other record until all '
            'are settled (design, not measured)',
        ),
        CapacityRow(
            role,
            'reads of a ticket that moves slots into every cell, each round',
            (Term(cells - 1, cells),),
            'reads',
            LIMIT_READS,
            'one object that names the settled cells, or one list with the '
            'settled ticket of each, would carry it (not measured)',
        ),
        CapacityRow(
            role,
            'size of a ticket',
            (
                Term(per_target, TARGETS),
                Term(per_cell, cells),
                # The range of each further service, taken as half of the size
                # per cell, which is that of a section and of one range.
                Term(per_cell / 2, cells * (SERVICES - 1)),
            ),
            'B',
            LIMIT_OBJECT_BYTES,
            'one object with the complete state',
        ),
        CapacityRow(
            role,
            'bytes of host lists read',
            (Term(calls * host_entry_bytes, HOSTS * cells),),
            'B/s',
            None,
            'all calls counted as reads of the list; a list of the own cell '
            'or reading only a changed one would carry it',
        ),
    )


def _upstream_rows(
    figures_by_theme: FiguresByTheme,
) -> tuple[CapacityRow, ...]:
    role = 'upstream, control side'
    base_cores = find_value(
        figures_by_theme,
        'control',
        'upstream: processor time',
        'idle cell of 3 hosts, 64 slots, 16 targets',
    )
    slot_cores = find_value(
        figures_by_theme, 'control', 'per slot at an upstream: processor time'
    )
    return (
        CapacityRow(
            role,
            'grants',
            (Term(1 / 0.2, 1),),
            '1/s',
            None,
            'one renewal every 200 ms from its dispatching host (design)',
        ),
        CapacityRow(
            role,
            'bytes both ways',
            (
                Term(_control_slope(figures_by_theme, TARGET, UPSTREAMS), 1),
                Term(
                    _control_slope(figures_by_theme, SLOT, UPSTREAMS),
                    SLOTS_PER_TARGET,
                ),
            ),
            'B/s',
            LIMIT_BYTES_PER_S,
            'headers and the list of slots at each renewal',
        ),
        CapacityRow(
            role,
            'processor of the stand-in',
            (
                Term(base_cores, 1),
                Term(max(0.0, slot_cores), SLOTS_PER_TARGET),
            ),
            'cores',
            LIMIT_CORES,
            'a process of our own, not the platform’s server',
        ),
    )


def _region_rows(figures_by_theme: FiguresByTheme) -> tuple[CapacityRow, ...]:
    role = 'between regions, each way'
    request_bytes = find_value(
        figures_by_theme,
        'throughput',
        'highest rate: bytes on the link per request',
        'one forward to the other cell',
    )
    response_bytes = find_value(
        figures_by_theme,
        'throughput',
        'highest rate: bytes on the link per answer',
        'one forward to the other cell',
    )
    crossing_per_s = REQUESTS_PER_S * (REGIONS - 1) / REGIONS
    host_entry_bytes = find_value(
        figures_by_theme, 'control', 'per host: size of the host list'
    )
    calls = _cell_store_calls_per_s(figures_by_theme, CELL_HOSTS)
    cells = HOSTS / CELL_HOSTS
    link_bytes_per_s = max(
        0.0, _control_slope(figures_by_theme, REMOTE_HOST, LINKS)
    )
    return (
        CapacityRow(
            role,
            'requests and answers, callers that enter anywhere',
            (
                Term(request_bytes, crossing_per_s / 2),
                Term(response_bytes, crossing_per_s / 2),
            ),
            'B/s',
            LIMIT_REGION_BYTES_PER_S,
            'the budget refuses what is over it; only a balancer that knows '
            'the region of a key would carry it',
        ),
        CapacityRow(
            role,
            'requests a second that the link carries',
            (
                Term(
                    1 / (request_bytes + response_bytes),
                    LIMIT_REGION_BYTES_PER_S,
                ),
            ),
            '1/s',
            None,
            'empty bodies; all of the link for requests',
        ),
        CapacityRow(
            role,
            'host lists read by the region without the store',
            (Term(calls * host_entry_bytes, HOSTS * cells / REGIONS),),
            'B/s',
            LIMIT_REGION_BYTES_PER_S,
            'leaves no room for requests; see the store',
        ),
        CapacityRow(
            role,
            'idle links between hosts',
            (Term(link_bytes_per_s, (HOSTS / REGIONS) ** 2),),
            'B/s',
            LIMIT_REGION_BYTES_PER_S,
            'keep-alive; links to two hosts of each cell would cut it',
        ),
    )


class DailyEvent(typing.NamedTuple):
    """One row of the table of daily events.

    Attributes:
      event: The event.
      count: How often it occurs per day.
      slot_moves: How many slots change their owner each time.
      writes: The store writes each time.
      seconds: The time until all keys are served again.
      limit: The limit of that time, None if there is none.
      note: The assumptions, or how the event proceeds.
    """

    event: str
    count: float
    slot_moves: float
    writes: float
    seconds: float
    limit: float | None
    note: str


def daily_events(figures_by_theme: FiguresByTheme) -> tuple[DailyEvent, ...]:
    """Compute the rows of the table of daily events."""
    writes = sum_terms((_ticket_calls_term(figures_by_theme, 'writes'),)) + 1
    ticket_s = find_value(
        figures_by_theme,
        'control',
        'ticket, from filing until in force on every host, max',
        '10 hosts',
    )
    move_s = find_value(
        figures_by_theme,
        'control',
        'ticket that moves 16 slots to another cell, until all are owned',
        '10 hosts',
    )
    host_s = find_value(
        figures_by_theme,
        'failover',
        'unavailable after entry host SIGKILL, store up, max',
    )
    upstream_s = find_value(
        figures_by_theme,
        'failover',
        'unavailable after upstream SIGSTOP, store up, max',
    )
    controller_and_upstream_s = find_value(
        figures_by_theme,
        'failover',
        'unavailable after acting controller and upstream SIGKILL together, '
        'store up, max',
    )
    rack_targets = RACK_HOSTS * TARGETS_PER_HOST
    cells_per_domain = HOSTS / CELL_HOSTS / DOMAINS
    slots_per_domain = SLOTS / DOMAINS
    return (
        DailyEvent(
            'ticket, no slot moves',
            TICKETS_PER_DAY,
            0,
            writes,
            ticket_s,
            LIMIT_TICKET_S,
            'measured with 10 hosts; not with 700',
        ),
        DailyEvent(
            'hottest 27 keys pinned elsewhere',
            24,
            27,
            writes + 27,
            move_s,
            60.0,
            'one ticket with the pins, hourly assumed; time of a ticket '
            'that moves slots',
        ),
        DailyEvent(
            'host restarted',
            RESTARTS_PER_DAY,
            0,
            0,
            host_s,
            LIMIT_UNAVAILABLE_S,
            'back within 5 s, so the record keeps it; time of a killed host',
        ),
        DailyEvent(
            'host lost',
            LOST_HOSTS_PER_DAY,
            0,
            2,
            host_s,
            LIMIT_UNAVAILABLE_S,
            'one version drops it, one ends the change of the list',
        ),
        DailyEvent(
            'rack lost, hosts of different cells',
            1 / 45,
            rack_targets * SLOTS_PER_TARGET,
            rack_targets + 2 * RACK_HOSTS,
            max(upstream_s, controller_and_upstream_s),
            LIMIT_UNAVAILABLE_S,
            f'{RACK_HOSTS} hosts and {rack_targets} targets assumed; longest '
            'of a frozen upstream and of controller and upstream together; a '
            'cell with 3 of 5 hosts in the rack stops instead',
        ),
        DailyEvent(
            'failure domain lost',
            1 / 61,
            slots_per_domain,
            sum_terms((_ticket_calls_term(figures_by_theme, 'writes'),))
            * (DOMAINS - 1)
            / DOMAINS,
            move_s,
            LIMIT_TICKET_S,
            f'{cells_per_domain:.0f} cells need a ticket with lost_cells and '
            'other ranges; time from filing, without the operator',
        ),
    )


def render_tables(figures_by_theme: FiguresByTheme) -> str:
    """Render the tables of the page as Markdown."""
    lines = [
        '### Cell size\n',
        '| hosts | cells | tolerated losses | host, cores | controller, '
        'cores | heartbeats, B/s | all control, B/s | store calls/s | writes '
        'per ticket |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    for size in cell_sizes(figures_by_theme):
        lines.append(_table_row(_format_value(each) for each in size))
    lines += [
        '\n### Roles\n',
        '| role | quantity | slope × size | value | limit | | carried by |',
        '|---|---|---|---|---|---|---|',
    ]
    for row in capacity_rows(figures_by_theme):
        value = sum_terms(row.terms)
        formula = ' + '.join(
            f'{_format_value(each.slope)} × {_format_value(each.size)}'
            for each in row.terms
        )
        limit = '-' if row.limit is None else _format_value(row.limit)
        lines.append(
            _table_row(
                (
                    row.role,
                    row.quantity,
                    formula,
                    f'{_format_value(value)} {row.unit}',
                    limit,
                    compare_with_limit(value, row.limit),
                    row.note,
                )
            )
        )
    lines += [
        '\n### A day\n',
        '| event | a day | moves each | writes each | seconds | limit, s | | '
        'moves a day | writes a day | how |',
        '|---|---|---|---|---|---|---|---|---|---|',
    ]
    for daily_event in daily_events(figures_by_theme):
        limit = (
            '-'
            if daily_event.limit is None
            else _format_value(daily_event.limit)
        )
        lines.append(
            _table_row(
                (
                    daily_event.event,
                    _format_value(daily_event.count),
                    _format_value(daily_event.slot_moves),
                    _format_value(daily_event.writes),
                    _format_value(daily_event.seconds),
                    limit,
                    compare_with_limit(daily_event.seconds, daily_event.limit),
                    _format_value(daily_event.count * daily_event.slot_moves),
                    _format_value(daily_event.count * daily_event.writes),
                    daily_event.note,
                )
            )
        )
    return '\n'.join(lines) + '\n'


def _format_value(value: float) -> str:
    if math.isinf(value):
        return 'no number'
    if value == int(value) and abs(value) < 10**7:
        return str(int(value))
    return f'{value:.3g}' if abs(value) < 1000 else f'{value:.0f}'


def _table_row(fields: abc.Iterable[str]) -> str:
    return f'| {" | ".join(fields)} |'


def extract_tables(page: str) -> str:
    """Return the generated part of the page."""
    return page.partition(BEGIN_MARK + '\n')[2].partition(END_MARK)[0]


def write_page(figures_by_theme: FiguresByTheme) -> None:
    """Replace the generated part of the page."""
    page = PAGE_PATH.read_text()
    new = render_tables(figures_by_theme) + END_MARK
    PAGE_PATH.write_text(page.replace(extract_tables(page) + END_MARK, new, 1))


def main(options: abc.Sequence[str]) -> None:
    """Print the tables, or write them into the page with `--write`."""
    figures_by_theme = json.loads(FIGURES_PATH.read_text())
    if '--write' in options:
        write_page(figures_by_theme)
        return
    print(render_tables(figures_by_theme), end='')


if __name__ == '__main__':
    main(sys.argv[1:])
