"""Commands that check, file and read change tickets."""

import json
import sys
import typing
import uuid

import typer

from amaranthcrank.cli import command_options
from amaranthcrank.cli import filing
from amaranthcrank.cli import operator_client
from amaranthcrank.cli import printing
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.publish import status as status_documents
from amaranthcrank.record import tickets

CURRENT = 'current'
NO_TICKET = tickets.Ticket(0, '', '', 0, (), model.EMPTY_STATE)

app = typer.Typer(
    help='Check, file and read change tickets.',
    epilog=printing.EXIT_STATUS_HELP,
    no_args_is_help=True,
    rich_markup_mode=None,
)

FileArgument = typing.Annotated[
    str,
    typer.Argument(help='A JSON document; - reads standard input.'),
]


@app.command('check', epilog=printing.EXIT_STATUS_HELP)
def check_ticket(
    context: typer.Context,
    file: FileArgument,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Validate a document against the current state without filing it."""
    options = command_options.merge(context, host, output)
    document, current = _read_and_check(options, file)
    changes = tickets.diff(
        current.state, tickets.apply_touches(current.state, document.touches)
    )
    printing.show(
        options,
        {'current': current.number, 'changes': changes},
        lambda body: '\n'.join(
            (f'No problems. Against ticket {current.number}:', *changes)
        ),
    )


@app.command('file', epilog=printing.EXIT_STATUS_HELP)
def file_ticket(
    context: typer.Context,
    file: FileArgument,
    author: command_options.AuthorOption = '',
    wait: command_options.WaitOption = command_options.DEFAULT_WAIT_S,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """File a document and wait until it is in force everywhere."""
    options = command_options.merge(context, host, output)
    document, current = _read_and_check(options, file)
    document = _set_author_and_uid(options, document, author)
    _file_and_wait(options, document, current, wait)


@app.command('show', epilog=printing.EXIT_STATUS_HELP)
def show_ticket(
    context: typer.Context,
    number: typing.Annotated[
        str, typer.Argument(help='A ticket number, or current.')
    ] = CURRENT,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Show a ticket with the complete state that it leads to."""
    options = command_options.merge(context, host, output)
    ticket = _get_ticket(options, number)
    printing.show(
        options,
        ticket._asdict(),
        lambda body: json.dumps(body, indent=2, sort_keys=True),
    )


@app.command('list', epilog=printing.EXIT_STATUS_HELP)
def list_tickets(
    context: typer.Context,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """List the tickets, oldest first."""
    options = command_options.merge(context, host, output)

    def to_text(body: dict[str, typing.Any]) -> str:
        rows = [
            (
                each['number'],
                each['author'],
                status_documents.time_text(each['filed_at_ms']),
                ' '.join(each['touches']),
            )
            for each in body['tickets']
        ]
        return status_documents.table(
            ('NUMBER', 'AUTHOR', 'FILED_AT', 'TOUCHES'), rows
        )

    printing.show(options, printing.fetch(options, '/tickets'), to_text)


@app.command('diff', epilog=printing.EXIT_STATUS_HELP)
def diff_tickets(
    context: typer.Context,
    old: typing.Annotated[
        str,
        typer.Argument(
            help='A ticket number (0: the empty state), or current.'
        ),
    ],
    new: typing.Annotated[
        str,
        typer.Argument(help='A ticket number, current, or a JSON document.'),
    ],
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Show the changes between two tickets, or from one to a document."""
    options = command_options.merge(context, host, output)
    old_state = _get_ticket(options, old).state
    if new == CURRENT or new.isdecimal():
        new_state = _get_ticket(options, new).state
    else:
        document, current = _read_and_check(options, new)
        new_state = tickets.apply_touches(current.state, document.touches)
    changes = tickets.diff(old_state, new_state)
    printing.show(
        options,
        {'changes': changes},
        lambda body: '\n'.join(changes or ('No changes.',)),
    )


def file_target_state(
    options: command_options.Options,
    target: str,
    target_state: str,
    author: str,
    wait_s: float,
    drop_pins: bool,
) -> None:
    """File a ticket that changes the state of one target."""
    current = _get_ticket(options, CURRENT)
    touches = tickets.touches_for_target_state(
        current.state, target, target_state, drop_pins
    )
    if touches is None:
        problem = codes.Problem(codes.TICKET_UNKNOWN_TARGET, target, '')
        printing.exit_with_problems(
            options, printing.EXIT_BAD_INPUT, (problem,)
        )
    if tickets.apply_touches(current.state, touches) == current.state:
        printing.show(
            options,
            {'number': current.number, 'filed': False},
            lambda body: (
                f'{target} is {target_state} already; nothing was filed.'
            ),
        )
        return
    document = tickets.Document(author, '', current.number, touches)
    document = _set_author_and_uid(options, document, author)
    problems = tickets.check_document(document, current.state, current.number)
    if problems:
        printing.exit_with_problems(options, printing.EXIT_BAD_INPUT, problems)
    _file_and_wait(options, document, current, wait_s)


def _file_and_wait(
    options: command_options.Options,
    document: tickets.Document,
    current: tickets.Ticket,
    wait_s: float,
) -> None:
    client = operator_client.make_client(options.urls, options.key)
    filed = filing.file_document(client, document)
    if filed.unknown:
        printing.exit_with_error(
            options,
            printing.EXIT_UNREACHABLE,
            f'Ticket {current.number + 1} may or may not have been filed; '
            f'look for uid {document.uid} in `ticket list`.',
            filed.response.body,
            filed.response.failures,
        )
    if not filed.number:
        printing.exit_with_response(options, filed.response)
    changes = tickets.diff(
        current.state, tickets.apply_touches(current.state, document.touches)
    )
    if options.output == command_options.TEXT:
        for line in (f'Filed ticket {filed.number}.', *changes):
            typer.echo(line)
    status = filing.wait_until_in_force(client, filed.number, wait_s)
    printing.show(
        options,
        {
            'number': filed.number,
            'filed': True,
            'changes': changes,
            'in_force': status.everywhere,
            'lagging': status.lagging,
            'detail': status.detail,
        },
        lambda body: _in_force_text(status, wait_s),
    )
    if not status.everywhere:
        raise typer.Exit(printing.EXIT_NOT_IN_FORCE)


def _in_force_text(status: filing.InForceStatus, wait_s: float) -> str:
    if status.everywhere:
        return 'It is in force everywhere.'
    lines = [f'It is not in force everywhere after {wait_s:g} s.']
    if status.lagging:
        lines.append(f'Lagging: {", ".join(status.lagging)}.')
    if status.detail:
        lines.append(status.detail)
    return '\n'.join(lines)


def _read_and_check(
    options: command_options.Options, file: str
) -> tuple[tickets.Document, tickets.Ticket]:
    """Read a document and validate it against the current ticket."""
    data = _read_file(file)
    document, problems = tickets.parse_document(data, ('touches',))
    if document is None:
        printing.exit_with_problems(options, printing.EXIT_BAD_INPUT, problems)
    current = _get_ticket(options, CURRENT)
    if document.expected is None:
        document = document._replace(expected=current.number)
    problems = tickets.check_document(document, current.state, current.number)
    if problems:
        status = printing.EXIT_BAD_INPUT
        if all(each.code is codes.TICKET_CONFLICT for each in problems):
            status = printing.EXIT_REFUSED
        printing.exit_with_problems(options, status, problems)
    return document, current


def _set_author_and_uid(
    options: command_options.Options, document: tickets.Document, author: str
) -> tickets.Document:
    """Set the author, and a uid where the document has none."""
    completed = document._replace(
        author=author or document.author,
        uid=document.uid or uuid.uuid4().hex,
    )
    data = json.dumps(completed._asdict()).encode('ascii')
    _, problems = tickets.parse_document(data)
    if problems:
        printing.exit_with_problems(options, printing.EXIT_BAD_INPUT, problems)
    return completed


def _read_file(file: str) -> bytes:
    try:
        if file == '-':
            return sys.stdin.buffer.read(tickets.MAX_TICKET_BYTES + 1)
        with open(file, 'rb') as source:
            return source.read(tickets.MAX_TICKET_BYTES + 1)
    except OSError as error:
        raise typer.BadParameter(f'{file}: {error.strerror}') from None


def _get_ticket(
    options: command_options.Options, number: str
) -> tickets.Ticket:
    if number != CURRENT and not number.isdecimal():
        raise typer.BadParameter(f'{number!r} is not a number or current')
    if number != CURRENT and int(number) == 0:
        return NO_TICKET
    client = operator_client.make_client(options.urls, options.key)
    response = operator_client.call(client, 'GET', f'/tickets/{number}')
    numbers = [
        each.get('number') for each in filing.problems_in(response.body)
    ]
    if number == CURRENT and numbers == [codes.TICKET_NOT_FOUND.number]:
        return NO_TICKET
    if response.status != 200:
        printing.exit_with_response(options, response)
    body = response.body
    try:
        return tickets.decode(json.dumps(body).encode('ascii'))
    except ValueError as error:
        printing.exit_with_error(
            options, printing.EXIT_REFUSED, str(error), {}, ()
        )
