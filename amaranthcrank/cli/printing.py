"""Output of the commands, and their exit on errors."""

from collections import abc
import json
import typing

import typer

from amaranthcrank.cli import command_options
from amaranthcrank.cli import filing
from amaranthcrank.cli import operator_client
from amaranthcrank.core import codes
from amaranthcrank.publish import status as status_documents

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4

UNEXPECTED_FORMAT = 'The answer of the host has an unexpected form.'
EXIT_STATUS_HELP = (
    'Exit status: 0 done, 1 refused by the system, 2 usage or bad input, '
    '3 no host reachable or outcome unknown, 4 filed but not in force '
    'everywhere within the wait.'
)


def fetch(
    options: command_options.Options, path: str
) -> dict[str, typing.Any]:
    """Fetch a document from a host; exit the command on failure."""
    client = operator_client.make_client(options.urls, options.key)
    response = operator_client.call(client, 'GET', path)
    if response.status != 200:
        exit_with_response(options, response)
    return response.body


def show(
    options: command_options.Options,
    body: dict[str, typing.Any],
    to_text: abc.Callable[[dict[str, typing.Any]], str],
) -> None:
    """Print a document as JSON or, with `to_text`, as text."""
    if options.output == command_options.JSON:
        typer.echo(json.dumps(body, sort_keys=True))
        return
    try:
        text = to_text(body)
    except (AttributeError, KeyError, OverflowError, TypeError):
        exit_with_error(options, EXIT_REFUSED, UNEXPECTED_FORMAT, {}, ())
    typer.echo(text)


def exit_with_problems(
    options: command_options.Options,
    status: int,
    problems: abc.Iterable[codes.Problem],
) -> typing.NoReturn:
    """Print problems and exit with a status."""
    body = status_documents.problems_document(problems)
    exit_with_error(options, status, '', body, ())


def exit_with_response(
    options: command_options.Options, response: operator_client.Response
) -> typing.NoReturn:
    """Print the reason of a failed request and exit."""
    if not response.status:
        exit_with_error(
            options,
            EXIT_UNREACHABLE,
            'No host answers.',
            {},
            response.failures,
        )
    message = ''
    if not filing.problems_in(response.body):
        message = f'The host answered with status {response.status}.'
    exit_with_error(options, EXIT_REFUSED, message, response.body, ())


def exit_with_error(
    options: command_options.Options,
    status: int,
    message: str,
    body: dict[str, typing.Any],
    failures: tuple[str, ...],
) -> typing.NoReturn:
    """Print an error on standard error and exit.

    Args:
      options: The shared options.
      status: The exit status.
      message: One sentence, or empty.
      body: The body of an error response; its problems and current ticket
        are printed.
      failures: Why hosts were skipped, one line each.
    """
    problems = filing.problems_in(body)
    current = body.get('current')
    if options.output == command_options.JSON:
        error_document = {
            'message': message,
            'problems': problems,
            'failures': failures,
        }
        if isinstance(current, dict):
            error_document['current'] = current
        typer.echo(json.dumps(error_document, sort_keys=True), err=True)
        raise typer.Exit(status)
    if message:
        typer.echo(message, err=True)
    for each in problems:
        typer.echo(
            f'{each.get("number")} {each.get("name")} '
            f'{each.get("place")}: {each.get("detail")}',
            err=True,
        )
    if isinstance(current, dict):
        touched = ' '.join(map(str, current.get('touches', ())))
        typer.echo(
            f'Current is ticket {current.get("number")} by '
            f'{current.get("author")}; it touched {touched}. '
            'Read it with `ticket show`.',
            err=True,
        )
    for line in failures:
        typer.echo(line, err=True)
    raise typer.Exit(status)
