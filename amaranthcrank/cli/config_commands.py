"""The command that checks a configuration before it is published."""

import json
import pathlib
import typing

import typer

from amaranthcrank.cli import check_config
from amaranthcrank.cli import printing
from amaranthcrank.cli import site_commands
from amaranthcrank.platform import manifest
from amaranthcrank.platform import settings_file
from amaranthcrank.router import model

EXIT_FOUND = 1

_File = typing.Annotated[
    pathlib.Path,
    typer.Argument(help='The configuration, as JSON.'),
]
_InForce = typing.Annotated[
    pathlib.Path | None,
    typer.Option(help='A file with the version in force.'),
]
_Store = typing.Annotated[
    str,
    typer.Option(
        '--store',
        help="The platform's store, IP:PORT, from which the version in force "
        'is read.',
    ),
]
_Settings = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        help='The settings file of a host, for the regions that exist.'
    ),
]
_Strict = typing.Annotated[
    bool, typer.Option('--strict', help='Fail on warnings too.')
]
_Json = typing.Annotated[
    bool, typer.Option('--json', help='Print a JSON document.')
]


def check(
    file: _File,
    in_force: _InForce = None,
    store_address: _Store = '',
    settings: _Settings = None,
    strict: _Strict = False,
    as_json: _Json = False,
) -> None:
    """Check a configuration before it is published.

    Exit status: 0 hosts accept it, 1 errors were found (or warnings, with
    --strict), 2 a file cannot be read, 3 the store cannot be read.
    """
    if in_force is not None and store_address:
        site_commands.exit_with_error(
            printing.EXIT_BAD_INPUT,
            '--in-force and --store exclude each other',
        )
    report = check_config.check(
        _read(file), _regions(settings), _ticket(in_force, store_address)
    )
    if as_json:
        typer.echo(json.dumps(check_config.document(report)))
    else:
        for line in check_config.describe(report):
            typer.echo(line)
    if not report.is_accepted or (strict and report.findings):
        raise typer.Exit(EXIT_FOUND)


def _ticket(
    in_force: pathlib.Path | None, store_address: str
) -> model.Ticket | None:
    if store_address:
        return site_commands.read_ticket(store_address)
    if in_force is None:
        return None
    try:
        return check_config.decode(_read(in_force))
    except manifest.ManifestError as error:
        site_commands.exit_with_error(
            printing.EXIT_BAD_INPUT, f'{in_force}: {error}'
        )


def _regions(settings: pathlib.Path | None) -> frozenset[str] | None:
    if settings is None:
        return None
    try:
        host = settings_file.read(settings)
    except (OSError, settings_file.SettingsError) as error:
        site_commands.exit_with_error(
            printing.EXIT_BAD_INPUT, f'{settings}: {error}'
        )
    return frozenset(host.region_by_domain.values())


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        site_commands.exit_with_error(
            printing.EXIT_BAD_INPUT, f'cannot read {path}: {error}'
        )
