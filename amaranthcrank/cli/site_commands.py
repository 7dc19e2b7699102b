"""Commands that read the platform's store and the hosts' logs."""

import asyncio
import sys
import typing

import typer

from amaranthcrank.cli import explain as explaining
from amaranthcrank.cli import printing
from amaranthcrank.platform import entries
from amaranthcrank.platform import manifest
from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import key_table
from amaranthcrank.router import model

EXIT_NOT_FOUND = 1
TIMEOUT_S = 2.0

app = typer.Typer(
    help='Read the platform on which the router runs.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

_Store = typing.Annotated[
    str,
    typer.Option(
        '--store',
        envvar='AMARANTHCRANK_STORE',
        help="The platform's store, IP:PORT.",
    ),
]
_T = typing.TypeVar('_T')


class Site(typing.NamedTuple):
    """What the store holds.

    Attributes:
      ticket: The ticket in force, or None.
      targets: All targets that can be read.
      keys: The owners of keys.
      hosts: The names of the hosts.
      controller: Who moves keys, '' if no one does.
    """

    ticket: model.Ticket | None
    targets: tuple[model.TargetEntry, ...]
    keys: key_table.KeyTable
    hosts: tuple[str, ...]
    controller: str


@app.command()
def status(store_address: _Store) -> None:
    """Show the ticket, the hosts, the controller and the targets."""
    site = _read(store_address)
    number = site.ticket.number if site.ticket else 'none'
    typer.echo(f'ticket {number}, controller {site.controller or "none"}')
    typer.echo(f'hosts {" ".join(site.hosts)}')
    for target in sorted(site.targets, key=lambda one: one.service):
        address = f'{target.address.ip}:{target.address.port}'
        typer.echo(
            f'{target.service} {target.target_id} {address} '
            f'{target.failure_domain} {target.state} slots {target.slots}'
        )


@app.command()
def owner(service: str, key: int, store_address: _Store) -> None:
    """Show which target owns a key."""
    site = _read(store_address)
    found = site.keys.find(service, key)
    if found is None:
        _fail(EXIT_NOT_FOUND, f'no owner of key {key} of {service!r}')
    state = 'moving to' if found.moving else 'owned by'
    typer.echo(
        f'key {key} of {service} {state} {found.target_id}, fence '
        f'{found.fence}, keys {found.first} to {found.last}'
    )


@app.command()
def ticket(store_address: _Store) -> None:
    """Show the routes of the ticket in force."""
    site = _read(store_address)
    if site.ticket is None:
        _fail(EXIT_NOT_FOUND, 'the store holds no ticket')
    typer.echo(f'ticket {site.ticket.number}')
    for route in site.ticket.routes:
        kind = 'repeatable' if route.repeatable else 'once'
        parts = ' '.join(
            f'{part.service}:{part.weight:g}'
            for part in route.weighted_services
        )
        typer.echo(
            f'{route.name} {route.host}{route.prefix} {kind} rank '
            f'{route.rank} timeout {route.timeout_s:g} s to {parts}'
        )


def explain(
    request_id: typing.Annotated[str, typer.Argument(help='Its id.')],
    files: typing.Annotated[
        list[typer.FileText] | None,
        typer.Argument(help='Logs of hosts; standard input if none.'),
    ] = None,
) -> None:
    """Show a request's way and the beliefs in force, from the logs."""
    texts: list[str] = []
    for file in files or [sys.stdin]:
        texts += file
    found = explaining.explain(texts, request_id)
    if not found.own:
        _fail(EXIT_NOT_FOUND, f'no line of request {request_id!r}')
    for text in explaining.describe(found):
        typer.echo(text)


def _read(address: str) -> Site:
    try:
        return asyncio.run(_read_site(settings_file.parse_address(address)))
    except ValueError as error:
        _fail(printing.EXIT_BAD_INPUT, str(error))
    except (store.StoreError, manifest.ManifestError) as error:
        _fail(printing.EXIT_UNREACHABLE, f'cannot read the store: {error}')


async def _read_site(address: model.Address) -> Site:
    pool = connection_pool.Pool(asyncio.get_running_loop().time)
    client = store.Client(address, pool)
    try:
        found = await client.get(
            names.TICKET_KIND, names.TICKET_NAME, TIMEOUT_S
        )
        targets = await client.list_all(names.TARGETS_KIND, TIMEOUT_S)
        shared = await client.list_all(names.SHARED_KIND, TIMEOUT_S)
        leases = await client.list_all(names.LEASES_KIND, TIMEOUT_S)
    finally:
        pool.close()
    holders = [
        str((item.get('spec') or {}).get('holder', ''))
        for item in leases.item_by_name.values()
    ]
    return Site(
        manifest.decode(found['spec']) if found else None,
        _decode(targets, entries.decode_target),
        _key_table(shared),
        tuple(
            name.removeprefix(names.HOST_PREFIX)
            for name in sorted(shared.item_by_name)
            if name.startswith(names.HOST_PREFIX)
        ),
        ''.join(holders),
    )


def _decode(
    listing: store.Listing, decode: typing.Callable[[str, typing.Any], _T]
) -> tuple[_T, ...]:
    found = []
    for name, item in listing.item_by_name.items():
        try:
            found.append(decode(name, item))
        except entries.EntryError as error:
            typer.echo(f'cannot read {name}: {error}', err=True)
    return tuple(found)


def _key_table(listing: store.Listing) -> key_table.KeyTable:
    table = key_table.KeyTable()
    for key_map in entries.decode_key_maps(listing.item_by_name):
        table.put(key_map)
    return table


def _fail(status_code: int, message: str) -> typing.NoReturn:
    typer.echo(f'amaranthcrank: {message}', err=True)
    raise typer.Exit(status_code)
