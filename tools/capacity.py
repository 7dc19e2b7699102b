"""Works out docs/CAPACITY.md's tables from the committed figures.

`python -m tools.capacity` prints the tables from docs/measurements.json;
with `--write` it puts them into the page. Every value is a sum of measured
slopes, each times a size of the target in design.md.
"""

from collections import abc
import json
import math
import pathlib
import sys
import typing

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
FIGURES = DOCS / 'measurements.json'
PAGE = DOCS / 'CAPACITY.md'
BEGIN = '<!-- begin: tools/capacity.py -->'
END = '<!-- end: tools/capacity.py -->'

# The target of design.md.
HOSTS = 700
KEYS = 620_000_000
RATE = 3_700_000
REGIONS = 2
DOMAINS = 4
TICKETS_A_DAY = 360
RESTARTS_A_DAY = 75
LOST_HOSTS_A_DAY = 2
# Assumed: today's users have about 3 targets for each host and 3 services
# each; 16 slots a target keep its share within one sixteenth.
TARGETS_PER_HOST = 3
SLOTS_PER_TARGET = 16
SERVICES = 6
RACK_HOSTS = 12
CELL_HOSTS = 5
CELL_SIZES = (3, 4, 5, 8, 12)

LIMIT_CORE = 0.023
LIMIT_MIB = 32.0
LIMIT_BYTES = 7_000.0
LIMIT_REGION_BYTES = 30_000_000 / 8
LIMIT_READS = 2_000.0
LIMIT_WRITES = 300.0
LIMIT_OBJECT_BYTES = 2**20
LIMIT_TICKET_S = 15.0
LIMIT_LOSS_S = 2.0
LIMIT_MS = 10.0

TARGETS = HOSTS * TARGETS_PER_HOST
SLOTS_PER_HOST = TARGETS_PER_HOST * SLOTS_PER_TARGET
SLOTS = HOSTS * SLOTS_PER_HOST
RATE_PER_HOST = RATE / HOSTS

PROCESSOR = 'processor time'
LINKS = 'bytes sent to hosts'
FRAMES = 'frames sent to hosts'
UPSTREAMS = 'bytes to and from upstreams'
STORE = 'bytes sent to the store'
MEMORY = 'resident memory'
FIXED = 'fixed part of a host'
PEER = 'per other host of the cell'
FAR_HOST = 'per linked host of another cell'
FAR_TARGET = 'per target of another cell in the ticket'
TARGET = 'per target at its dispatching host'
SLOT = 'per slot at its dispatching host'
IMPORTS = 'resident memory, interpreter and imports of the daemon'

Figures = abc.Mapping[str, abc.Sequence[abc.Mapping[str, typing.Any]]]


class Term(typing.NamedTuple):
    """One slope times one size."""

    slope: float
    size: float


class Row(typing.NamedTuple):
    """One line of the capacity table.

    Attributes:
      role: The role.
      what: The quantity.
      terms: What it is the sum of.
      unit: Its unit.
      limit: The limit, None where there is none.
      note: The mechanism that carries it, or what would.
    """

    role: str
    what: str
    terms: tuple[Term, ...]
    unit: str
    limit: float | None
    note: str


class Size(typing.NamedTuple):
    """A choice of hosts per cell and what it costs.

    Attributes:
      hosts: Hosts of a cell.
      cells: Cells in all.
      lost: Hosts that a cell can lose at once.
      processor: Control of one host, cores.
      controller: Control of an acting controller, cores.
      links: Bytes a second on the links within the cell.
      control: Bytes a second of all control.
      reads: Store calls a second of all cells, with waiting watches.
      writes: Writes of one ticket.
    """

    hosts: int
    cells: int
    lost: int
    processor: float
    controller: float
    links: float
    control: float
    reads: float
    writes: float


def figure(figures: Figures, theme: str, name: str, setup: str = '') -> float:
    """Return one measured value.

    Args:
      figures: The figures by theme.
      theme: The script, without `measure_`.
      name: The figure.
      setup: What its set-up begins with.

    Returns:
      The value; KeyError unless exactly one figure fits.
    """
    found = []
    for each in figures[theme]:
        if each['figure'] == name and each['setup'].startswith(setup):
            found.append(each['value'])
    if len(found) != 1 or found[0] is None:
        raise KeyError(f'{theme}: {name} ({setup}): {found}')
    return found[0]


def total(terms: abc.Iterable[Term]) -> float:
    """Add up slopes times sizes."""
    return sum(each.slope * each.size for each in terms)


def verdict(value: float, limit: float | None) -> str:
    """Tell whether a value keeps to its limit."""
    if limit is None:
        return '-'
    if value <= limit:
        return 'met'
    if math.isinf(value):
        return 'NOT MET'
    return f'NOT MET ({value / limit:.1f} times)'


def _control(figures: Figures, part: str, cost: str) -> float:
    return figure(figures, 'control', f'{part}: {cost}')


def cost_of_host(
    figures: Figures, cost: str, hosts: int = CELL_HOSTS
) -> tuple[Term, ...]:
    """Return what control of one host is the sum of.

    Noise around zero can make a slope that is not there negative; it counts
    as zero.
    """
    sizes = {
        FIXED: 1,
        PEER: hosts - 1,
        TARGET: TARGETS_PER_HOST,
        SLOT: SLOTS_PER_HOST,
        FAR_HOST: HOSTS - hosts,
        FAR_TARGET: TARGETS - TARGETS_PER_HOST * hosts,
    }
    terms = []
    for part, size in sizes.items():
        slope = max(0.0, _control(figures, part, cost))
        terms.append(Term(slope, size))
    return tuple(terms)


def _planning(figures: Figures, hosts: int = CELL_HOSTS) -> Term:
    name = 'per slot of the cell at the acting controller: processor time'
    return Term(figure(figures, 'control', name), hosts * SLOTS_PER_HOST)


def _calls_of_cell(figures: Figures, hosts: int) -> float:
    slope = figure(figures, 'control', 'per host of a cell: store calls')
    fixed = figure(figures, 'control', 'fixed part of a cell: store calls')
    return fixed + slope * hosts


def _ticket_calls(figures: Figures, kind: str) -> Term:
    """Return the calls of one ticket for each further cell."""
    name = f'ticket: {kind} of the store'
    many = figure(figures, 'control', name, '6 hosts in 6 cells')
    few = figure(figures, 'control', name, '4 hosts in 2 cells')
    return Term((many - few) / 4, HOSTS / CELL_HOSTS)


def sizes_of(figures: Figures) -> tuple[Size, ...]:
    """Work out each size of a cell."""
    sizes = []
    writes = _ticket_calls(figures, 'writes').slope
    for hosts in CELL_SIZES:
        cells = math.ceil(HOSTS / hosts)
        processor = total(cost_of_host(figures, PROCESSOR, hosts))
        planning = _planning(figures, hosts)
        links = _control(figures, PEER, LINKS) * (hosts - 1)
        control = 0.0
        for cost in (LINKS, UPSTREAMS, STORE):
            control += total(cost_of_host(figures, cost, hosts))
        sizes.append(
            Size(
                hosts,
                cells,
                hosts - (hosts // 2 + 1),
                processor,
                processor + total((planning,)),
                links,
                control,
                cells * (_calls_of_cell(figures, hosts) + 1),
                1 + writes * cells,
            )
        )
    return tuple(sizes)


def rows_of(figures: Figures) -> tuple[Row, ...]:
    """Work out every row of the capacity table."""
    return (
        *_host_rows(figures),
        *_request_rows(figures),
        *_attester_rows(figures),
        *_controller_rows(figures),
        *_store_rows(figures),
        *_upstream_rows(figures),
        *_region_rows(figures),
    )


def _host_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'entry host, control'
    baseline = figure(figures, 'control', IMPORTS)
    memory = list(cost_of_host(figures, MEMORY))
    memory[0] = Term(memory[0].slope - baseline, 1)
    control = []
    for cost in (LINKS, UPSTREAMS, STORE):
        control.extend(cost_of_host(figures, cost))
    return (
        Row(
            role,
            'processor',
            cost_of_host(figures, PROCESSOR),
            'cores',
            LIMIT_CORE,
            'renewals, heartbeats and ticks take about a third each; fewer '
            'renewals and ticks only on a change would cut it',
        ),
        Row(
            role,
            'bytes of all control',
            tuple(control),
            'B/s',
            LIMIT_BYTES,
            'renewals every 200 ms carry HTTP headers and the whole list of '
            'slots, idle links to 695 hosts send keep-alives; renewals by '
            'digest, links to two hosts of each other cell and compact '
            'heartbeats over UDP would carry it',
        ),
        Row(
            role,
            'bytes of heartbeats',
            (Term(_control(figures, PEER, LINKS), CELL_HOSTS - 1),),
            'B/s',
            LIMIT_BYTES,
            'a heartbeat to each host of the cell every 100 ms',
        ),
        Row(
            role,
            'heartbeats sent',
            (Term(_control(figures, PEER, FRAMES), CELL_HOSTS - 1),),
            '1/s',
            None,
            'one frame to each host of the cell every 100 ms',
        ),
        Row(
            role,
            'process baseline (interpreter and imports)',
            (Term(baseline, 1),),
            'MiB',
            LIMIT_MIB,
            'a smaller run time; no code of ours lowers it',
        ),
        Row(
            role,
            'control state above the baseline',
            tuple(memory),
            'MiB',
            LIMIT_MIB,
            'links to all 695 hosts of other cells are most of it; links to '
            'two hosts of each other cell would carry it',
        ),
        Row(
            role,
            'threads and sockets of links',
            (Term(2, HOSTS - 1),),
            'sockets',
            None,
            'two connections to each other host (design, not measured)',
        ),
    )


def _request_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'entry host, requests'
    way = 'one forward to the other cell'
    used = []
    for host in ('entry host', 'dispatching host'):
        seconds = figure(
            figures,
            'throughput',
            f'highest rate: processor time of {host} per request',
            way,
        )
        used.append(Term(seconds / 1000, RATE_PER_HOST))
    p99 = figure(figures, 'throughput', 'routed call, p99', way)
    rows = [
        Row(
            role,
            'share of the request rate',
            (Term(1 / HOSTS, RATE),),
            '1/s',
            None,
            'one daemon process a host today',
        ),
        Row(
            role,
            'processor',
            tuple(used),
            'cores',
            None,
            'entry and dispatch of its share, one forward each',
        ),
        Row(
            role,
            'p99 of one caller, loopback',
            (Term(p99, 1),),
            'ms',
            LIMIT_MS,
            'without network and service time; another region adds 16 ms '
            'there and back, so calls across regions cannot meet it',
        ),
    ]
    for name, what in (
        ('highest rate', 'processes at their highest rate'),
        (
            'highest rate with p99 within 10 ms',
            'processes with p99 within 10 ms',
        ),
    ):
        rate = figure(figures, 'throughput', name, way)
        # Two processes carry a rate: the entry and the dispatching one.
        slope = 2 / rate if rate else math.inf
        rows.append(
            Row(
                role,
                what,
                (Term(slope, RATE_PER_HOST),),
                'processes',
                1.0,
                'the interpreter binds a process to about one core; several '
                'processes of a host are several entry hosts to the system, '
                'which multiplies hosts, links and host lists',
            )
        )
    return tuple(rows)


def _attester_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'attester of a two-host cell elsewhere'
    return (
        Row(
            role,
            'heartbeats, each way',
            (Term(_control(figures, PEER, FRAMES), 2),),
            '1/s',
            None,
            'only where a cell has two hosts; cells of 5 attest themselves, '
            'which the rows of the entry host contain',
        ),
        Row(
            role,
            'bytes',
            (Term(_control(figures, PEER, LINKS), 2),),
            'B/s',
            LIMIT_BYTES,
            'heartbeats to the two hosts',
        ),
        Row(
            role,
            'processor',
            (Term(_control(figures, PEER, PROCESSOR), 2),),
            'cores',
            LIMIT_CORE,
            'on top of its own cell',
        ),
    )


def _controller_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'acting controller'
    record = figure(figures, 'control', 'per slot: size of the cell record')
    processor = (*cost_of_host(figures, PROCESSOR), _planning(figures))
    return (
        Row(
            role,
            'processor',
            processor,
            'cores',
            LIMIT_CORE,
            'duties looked through on each tick, plans only on a change; the '
            'part on top of the host is small beside its renewals',
        ),
        Row(
            role,
            'cell record',
            (Term(record, CELL_HOSTS * SLOTS_PER_HOST),),
            'B',
            LIMIT_OBJECT_BYTES,
            'one object, written whole by conditional update',
        ),
        Row(
            role,
            'store calls of its cell',
            (Term(_calls_of_cell(figures, CELL_HOSTS), 1),),
            '1/s',
            None,
            'one watch, the host list every 2 s, every 10 s by each host',
        ),
    )


def _store_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'store'
    cells = HOSTS / CELL_HOSTS
    per_target = figure(figures, 'control', 'per target: size of the ticket')
    per_cell = figure(figures, 'control', 'per cell: size of the ticket')
    listed = figure(figures, 'control', 'per host: size of the host list')
    calls = _calls_of_cell(figures, CELL_HOSTS)
    reads = _ticket_calls(figures, 'reads')
    writes = _ticket_calls(figures, 'writes')
    return (
        Row(
            role,
            'calls while idle, waiting watches counted',
            (Term(calls, cells), Term(1, cells)),
            '1/s',
            LIMIT_READS,
            'reads of the host list and one watch a cell',
        ),
        Row(
            role,
            'reads of one ticket, all within seconds',
            (reads,),
            'reads',
            LIMIT_READS,
            'each cell reads it, and its record before each write',
        ),
        Row(
            role,
            'writes of one ticket, all within about 1.3 s',
            (writes,),
            'writes',
            LIMIT_WRITES,
            'each cell writes planned_ticket, then settled_ticket; several '
            'hundred a second, taken as 300',
        ),
        Row(
            role,
            'reads of a ticket that moves slots into one cell, each round',
            (Term(1, cells - 1),),
            'reads',
            LIMIT_READS,
            'the cell that takes slots reads every other record until all '
            'are settled (design, not measured)',
        ),
        Row(
            role,
            'reads of a ticket that moves slots into every cell, each round',
            (Term(cells - 1, cells),),
            'reads',
            LIMIT_READS,
            'one object that names the settled cells, or one list with the '
            'settled ticket of each, would carry it (not measured)',
        ),
        Row(
            role,
            'size of a ticket',
            (
                Term(per_target, TARGETS),
                Term(per_cell, cells),
                # The range of each further service; part of the cell's.
                Term(per_cell / 2, cells * (SERVICES - 1)),
            ),
            'B',
            LIMIT_OBJECT_BYTES,
            'one object with the complete state',
        ),
        Row(
            role,
            'bytes of host lists read',
            (Term(calls * listed, HOSTS * cells),),
            'B/s',
            None,
            'all calls counted as reads of the list; a list of the own cell '
            'or reading only a changed one would carry it',
        ),
    )


def _upstream_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'upstream, control side'
    base = figure(
        figures,
        'control',
        'upstream: processor time',
        'idle cell of 3 hosts, 64 slots, 16 targets',
    )
    slot = figure(
        figures, 'control', 'per slot at an upstream: processor time'
    )
    return (
        Row(
            role,
            'grants',
            (Term(1 / 0.2, 1),),
            '1/s',
            None,
            'one renewal every 200 ms from its dispatching host (design)',
        ),
        Row(
            role,
            'bytes both ways',
            (
                Term(_control(figures, TARGET, UPSTREAMS), 1),
                Term(_control(figures, SLOT, UPSTREAMS), SLOTS_PER_TARGET),
            ),
            'B/s',
            LIMIT_BYTES,
            'headers and the list of slots at each renewal',
        ),
        Row(
            role,
            'processor of the stand-in',
            (Term(base, 1), Term(max(0.0, slot), SLOTS_PER_TARGET)),
            'cores',
            LIMIT_CORE,
            'a process of our own, not the platform’s server',
        ),
    )


def _region_rows(figures: Figures) -> tuple[Row, ...]:
    role = 'between regions, each way'
    size = figure(
        figures,
        'throughput',
        'highest rate: bytes on the link per request',
        'one forward to the other cell',
    )
    answer = figure(
        figures,
        'throughput',
        'highest rate: bytes on the link per answer',
        'one forward to the other cell',
    )
    crossing = RATE * (REGIONS - 1) / REGIONS
    listed = figure(figures, 'control', 'per host: size of the host list')
    calls = _calls_of_cell(figures, CELL_HOSTS)
    cells = HOSTS / CELL_HOSTS
    far = max(0.0, _control(figures, FAR_HOST, LINKS))
    return (
        Row(
            role,
            'requests and answers, callers that enter anywhere',
            (Term(size, crossing / 2), Term(answer, crossing / 2)),
            'B/s',
            LIMIT_REGION_BYTES,
            'the budget refuses what is over it; only a balancer that knows '
            'the region of a key would carry it',
        ),
        Row(
            role,
            'requests a second that the link carries',
            (Term(1 / (size + answer), LIMIT_REGION_BYTES),),
            '1/s',
            None,
            'empty bodies; all of the link for requests',
        ),
        Row(
            role,
            'host lists read by the region without the store',
            (Term(calls * listed, HOSTS * cells / REGIONS),),
            'B/s',
            LIMIT_REGION_BYTES,
            'leaves no room for requests; see the store',
        ),
        Row(
            role,
            'idle links between hosts',
            (Term(far, (HOSTS / REGIONS) ** 2),),
            'B/s',
            LIMIT_REGION_BYTES,
            'keep-alive; links to two hosts of each cell would cut it',
        ),
    )


class Day(typing.NamedTuple):
    """One line of the table of a day.

    Attributes:
      event: What happens.
      count: How often a day.
      moves: Slots that change their owner each time.
      writes: Writes of the store each time.
      seconds: Seconds until all is served again each time.
      limit: The limit of the seconds.
      note: How it goes.
    """

    event: str
    count: float
    moves: float
    writes: float
    seconds: float
    limit: float | None
    note: str


def days_of(figures: Figures) -> tuple[Day, ...]:
    """Work out what a day brings."""
    writes = total((_ticket_calls(figures, 'writes'),)) + 1
    ticket = figure(
        figures,
        'control',
        'ticket, from filing until in force on every host, max',
        '10 hosts',
    )
    move = figure(
        figures,
        'control',
        'ticket that moves 16 slots to another cell, until all are owned',
        '10 hosts',
    )
    host = figure(
        figures,
        'failover',
        'unavailable after entry host SIGKILL, store up, max',
    )
    target = figure(
        figures,
        'failover',
        'unavailable after upstream SIGSTOP, store up, max',
    )
    both = figure(
        figures,
        'failover',
        'unavailable after acting controller and upstream SIGKILL together, '
        'store up, max',
    )
    racked = RACK_HOSTS * TARGETS_PER_HOST
    domain_cells = HOSTS / CELL_HOSTS / DOMAINS
    domain_slots = SLOTS / DOMAINS
    return (
        Day(
            'ticket, no slot moves',
            TICKETS_A_DAY,
            0,
            writes,
            ticket,
            LIMIT_TICKET_S,
            'measured with 10 hosts; not with 700',
        ),
        Day(
            'hottest 27 keys pinned elsewhere',
            24,
            27,
            writes + 27,
            move,
            60.0,
            'one ticket with the pins, hourly assumed; time of a ticket '
            'that moves slots',
        ),
        Day(
            'host restarted',
            RESTARTS_A_DAY,
            0,
            0,
            host,
            LIMIT_LOSS_S,
            'back within 5 s, so the record keeps it; time of a killed host',
        ),
        Day(
            'host lost',
            LOST_HOSTS_A_DAY,
            0,
            2,
            host,
            LIMIT_LOSS_S,
            'one version drops it, one ends the change of the list',
        ),
        Day(
            'rack lost, hosts of different cells',
            1 / 45,
            racked * SLOTS_PER_TARGET,
            racked + 2 * RACK_HOSTS,
            max(target, both),
            LIMIT_LOSS_S,
            f'{RACK_HOSTS} hosts and {racked} targets assumed; longest of a '
            'frozen upstream and of controller and upstream together; a '
            'cell with 3 of 5 hosts in the rack stops instead',
        ),
        Day(
            'failure domain lost',
            1 / 61,
            domain_slots,
            total((_ticket_calls(figures, 'writes'),))
            * (DOMAINS - 1)
            / DOMAINS,
            move,
            LIMIT_TICKET_S,
            f'{domain_cells:.0f} cells need a ticket with lost_cells and '
            'other ranges; time from filing, without the operator',
        ),
    )


def tables_of(figures: Figures) -> str:
    """Make the tables of the page."""
    parts = [
        '### Cell size\n',
        '| hosts | cells | tolerated losses | host, cores | controller, '
        'cores | heartbeats, B/s | all control, B/s | store calls/s | writes '
        'per ticket |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    for size in sizes_of(figures):
        parts.append(_line(_shown(each) for each in size))
    parts += [
        '\n### Roles\n',
        '| role | quantity | slope × size | value | limit | | carried by |',
        '|---|---|---|---|---|---|---|',
    ]
    for row in rows_of(figures):
        value = total(row.terms)
        shown = ' + '.join(
            f'{_shown(each.slope)} × {_shown(each.size)}' for each in row.terms
        )
        limit = '-' if row.limit is None else _shown(row.limit)
        parts.append(
            _line(
                (
                    row.role,
                    row.what,
                    shown,
                    f'{_shown(value)} {row.unit}',
                    limit,
                    verdict(value, row.limit),
                    row.note,
                )
            )
        )
    parts += [
        '\n### A day\n',
        '| event | a day | moves each | writes each | seconds | limit, s | | '
        'moves a day | writes a day | how |',
        '|---|---|---|---|---|---|---|---|---|---|',
    ]
    for day in days_of(figures):
        limit = '-' if day.limit is None else _shown(day.limit)
        parts.append(
            _line(
                (
                    day.event,
                    _shown(day.count),
                    _shown(day.moves),
                    _shown(day.writes),
                    _shown(day.seconds),
                    limit,
                    verdict(day.seconds, day.limit),
                    _shown(day.count * day.moves),
                    _shown(day.count * day.writes),
                    day.note,
                )
            )
        )
    return '\n'.join(parts) + '\n'


def _shown(value: float) -> str:
    if math.isinf(value):
        return 'no number'
    if value == int(value) and abs(value) < 10**7:
        return str(int(value))
    return f'{value:.3g}' if abs(value) < 1000 else f'{value:.0f}'


def _line(fields: abc.Iterable[str]) -> str:
    return f'| {" | ".join(fields)} |'


def tables_in(page: str) -> str:
    """Return the part of the page that this script writes."""
    return page.partition(BEGIN + '\n')[2].partition(END)[0]


def write_page(figures: Figures) -> None:
    """Put the tables into the page."""
    page = PAGE.read_text()
    new = tables_of(figures) + END
    PAGE.write_text(page.replace(tables_in(page) + END, new, 1))


def main(options: abc.Sequence[str]) -> None:
    """Print the tables, or put them into the page."""
    figures = json.loads(FIGURES.read_text())
    if '--write' in options:
        write_page(figures)
        return
    print(tables_of(figures), end='')


if __name__ == '__main__':
    main(sys.argv[1:])
