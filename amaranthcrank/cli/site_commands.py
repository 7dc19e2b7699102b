"""Commands that read the platform's store and the logs of hosts."""

import asyncio
import collections
import contextlib
import sys
import typing

import typer

from amaranthcrank.cli import explain as explanation
from amaranthcrank.cli import printing
from amaranthcrank.platform import entries
from amaranthcrank.platform import manifest
from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import controller_lease
from amaranthcrank.router import key_table
from amaranthcrank.router import model

EXIT_NOT_FOUND = 1
TIMEOUT_S = 2.0

app = typer.Typer(
    help='Read the platform on which the router runs.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

_StoreOption = typing.Annotated[
    str,
    typer.Option(
        '--store',
        envvar='AMARANTHCRANK_STORE',
        help="The platform's store, IP:PORT.",
    ),
]
_T = typing.TypeVar('_T')


class Snapshot(typing.NamedTuple):
    """The routing state in the store.

    Attributes:
      ticket: The ticket in force, or None.
      targets: All targets whose entries can be decoded.
      keys: The owners of keys.
      hosts: The ids of the hosts.
      controller: The host that assigns keys to targets, '' if none does.
      evacuated: The evacuated failure domains.
    """

    ticket: model.Ticket | None
    targets: tuple[model.TargetEntry, ...]
    keys: key_table.KeyTable
    hosts: tuple[str, ...]
    controller: str
    evacuated: tuple[str, ...]


@app.command()
def status(store_address: _StoreOption) -> None:
    """Show the ticket, hosts, controller, evacuations and targets."""
    snapshot = _read_snapshot(store_address)
    number = snapshot.ticket.number if snapshot.ticket else 'none'
    typer.echo(f'ticket {number}, controller {snapshot.controller or "none"}')
    typer.echo(f'hosts {" ".join(snapshot.hosts)}')
    for line in evacuation_lines(snapshot):
        typer.echo(line)
    for target in sorted(snapshot.targets, key=lambda each: each.service):
        address = f'{target.address.ip}:{target.address.port}'
        typer.echo(
            f'{target.service} {target.target_id} {address} '
            f'{target.failure_domain} {target.state} slots {target.slots}'
        )


def evacuation_lines(snapshot: Snapshot) -> list[str]:
    """Return a line for each evacuated domain, with the keys left in it."""
    domain_by_id = {
        target.target_id: target.failure_domain for target in snapshot.targets
    }
    keys_by_domain: collections.Counter[str] = collections.Counter()
    for key_map in snapshot.keys.map_by_service.values():
        for key_range in key_map.ranges:
            holders = [key_range.holder, *key_range.former_holders.split()]
            # While a range moves, its former holders may still hold its keys.
            for domain in {
                domain_by_id.get(model.split_holder(holder)[0])
                for holder in holders
            }:
                if domain is not None:
                    count = key_range.last - key_range.first + 1
                    keys_by_domain[domain] += count
    lines = []
    for domain in sorted(snapshot.evacuated):
        targets = list(domain_by_id.values()).count(domain)
        lines.append(
            f'evacuated {domain}: {targets} targets own '
            f'{keys_by_domain[domain]} keys'
        )
    return lines


@app.command()
def owner(service: str, key: int, store_address: _StoreOption) -> None:
    """Show the target that owns a key."""
    snapshot = _read_snapshot(store_address)
    key_range = snapshot.keys.find(service, key)
    if key_range is None:
        exit_with_error(
            EXIT_NOT_FOUND, f'no target owns key {key} of {service!r}'
        )
    state = 'moving to' if key_range.moving else 'owned by'
    typer.echo(
        f'key {key} of {service} {state} {key_range.target_id}, fence '
        f'{key_range.fence}, keys {key_range.first} to {key_range.last}'
    )


@app.command()
def ticket(store_address: _StoreOption) -> None:
    """Show the routes of the ticket in force."""
    snapshot = _read_snapshot(store_address)
    if snapshot.ticket is None:
        exit_with_error(EXIT_NOT_FOUND, 'there is no ticket in the store')
    typer.echo(f'ticket {snapshot.ticket.number}')
    for route in snapshot.ticket.routes:
        kind = 'repeatable' if route.repeatable else 'once'
        parts = ' '.join(
            f'{part.service}:{part.weight:g}'
            for part in route.weighted_services
        )
        typer.echo(
            f'{route.name} {route.host}{route.prefix} {kind} rank '
            f'{route.rank} timeout {route.timeout_s:g} s to {parts}'
            f'{_regions_text(route)}'
        )


def _regions_text(route: model.Route) -> str:
    if route.allowed_regions is None:
        return ''
    return f' in {" ".join(sorted(route.allowed_regions))}'


def explain(
    request_id: typing.Annotated[
        str, typer.Argument(help='Id of the request.')
    ],
    files: typing.Annotated[
        list[typer.FileText] | None,
        typer.Argument(help='Log files of hosts; standard input if none.'),
    ] = None,
) -> None:
    """Show how a request was handled, with related state changes."""
    texts: list[str] = []
    for file in files or [sys.stdin]:
        texts += file
    found = explanation.explain(texts, request_id)
    if not found.request_lines:
        exit_with_error(
            EXIT_NOT_FOUND, f'no log line has request id {request_id!r}'
        )
    for text in explanation.describe(found):
        typer.echo(text)


def read_ticket(address: str) -> model.Ticket | None:
    """Return the ticket in force, or None; exit if it cannot be read."""
    return _run(address, _fetch_ticket)


def _read_snapshot(address: str) -> Snapshot:
    return _run(address, _fetch_snapshot)


def _run(
    address: str,
    fetch: typing.Callable[[store.Client], typing.Awaitable[_T]],
) -> _T:
    """Return what a function fetches from the store; exit on failure."""
    try:
        return asyncio.run(
            _with_client(settings_file.parse_address(address), fetch)
        )
    except ValueError as error:
        exit_with_error(printing.EXIT_BAD_INPUT, str(error))
    except (
        store.StoreError,
        store.RevisionExpiredError,
        store.ConflictError,
        manifest.ManifestError,
    ) as error:
        exit_with_error(
            printing.EXIT_UNREACHABLE, f'cannot read the store: {error}'
        )


async def _with_client(
    address: model.Address,
    fetch: typing.Callable[[store.Client], typing.Awaitable[_T]],
) -> _T:
    pool = connection_pool.Pool(asyncio.get_running_loop().time)
    with contextlib.closing(pool):
        return await fetch(store.Client(address, pool))


async def _fetch_ticket(client: store.Client) -> model.Ticket | None:
    item = await client.get(names.TICKET_KIND, names.TICKET_NAME, TIMEOUT_S)
    return _decode_ticket(item)


async def _fetch_snapshot(client: store.Client) -> Snapshot:
    ticket_in_force = await _fetch_ticket(client)
    targets = await client.list_all(names.TARGETS_KIND, TIMEOUT_S)
    shared = await client.list_all(names.SHARED_KIND, TIMEOUT_S)
    leases = await client.list_all(names.LEASES_KIND, TIMEOUT_S)
    evacuations = await _list_evacuations(client)
    holders = [
        controller_lease.holder_in(item)
        for item in leases.item_by_name.values()
    ]
    return Snapshot(
        ticket_in_force,
        _decode_listing(targets, entries.decode_target),
        _key_table(shared),
        tuple(
            name.removeprefix(names.HOST_PREFIX)
            for name in sorted(shared.item_by_name)
            if name.startswith(names.HOST_PREFIX)
        ),
        ''.join(holders),
        evacuations,
    )


async def _list_evacuations(client: store.Client) -> tuple[str, ...]:
    """Return the evacuated domains; a store need not have this kind."""
    try:
        listing = await client.list_all(names.EVACUATIONS_KIND, TIMEOUT_S)
    except store.StoreError as error:
        typer.echo(f'cannot read the evacuations: {error}', err=True)
        return ()
    return tuple(listing.item_by_name)


def _decode_ticket(item: typing.Any) -> model.Ticket | None:
    if not item:
        return None
    return manifest.decode(item.get('spec'))


def _decode_listing(
    listing: store.Listing, decode: typing.Callable[[str, typing.Any], _T]
) -> tuple[_T, ...]:
    decoded = []
    for name, item in listing.item_by_name.items():
        try:
            decoded.append(decode(name, item))
        except entries.EntryError as error:
            typer.echo(f'cannot decode entry {name}: {error}', err=True)
    return tuple(decoded)


def _key_table(listing: store.Listing) -> key_table.KeyTable:
    table = key_table.KeyTable()
    key_maps, errors = entries.decode_key_maps(listing.item_by_name)
    for error in errors:
        typer.echo(f'cannot decode entry {error}', err=True)
    for key_map in key_maps:
        table.put(key_map)
    return table


def exit_with_error(status_code: int, message: str) -> typing.NoReturn:
    """Print an error on standard error and exit."""
    typer.echo(f'amaranthcrank: {message}', err=True)
    raise typer.Exit(status_code)
