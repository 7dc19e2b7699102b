"""The command `amaranthcrank`: files tickets and shows the state of hosts.

Exit statuses: 0 done; 1 refused by the system; 2 usage error or bad input;
3 no host reachable, or the outcome of a filing unknown; 4 filed, but not in
force everywhere within the wait.
"""

import typing
import urllib.parse

import typer

from amaranthcrank.cli import command_options
from amaranthcrank.cli import config_commands
from amaranthcrank.cli import printing
from amaranthcrank.cli import site_commands
from amaranthcrank.cli import ticket_commands
from amaranthcrank.core import codes
from amaranthcrank.publish import status as status_documents
from amaranthcrank.record import tickets

app = typer.Typer(
    name='amaranthcrank',
    help='File change tickets and read what the entry hosts report.',
    epilog=printing.EXIT_STATUS_HELP,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.add_typer(ticket_commands.app, name='ticket')
app.add_typer(site_commands.app, name='site')
app.command('explain')(site_commands.explain)
app.command('check-config')(config_commands.check)


@app.callback()
def main(
    context: typer.Context,
    host: typing.Annotated[
        list[str],
        typer.Option(
            envvar='AMARANTHCRANK_OPERATOR_URL',
            callback=command_options.check_urls,
            help='Operator interface of an entry host; may be repeated: '
            'the next is tried when one cannot be reached.',
        ),
    ] = [command_options.DEFAULT_URL],  # noqa: B006
    output: typing.Annotated[
        str,
        typer.Option(
            callback=command_options.check_output, help='text or json.'
        ),
    ] = command_options.TEXT,
    operator_key: typing.Annotated[
        str,
        typer.Option(
            envvar='AMARANTHCRANK_OPERATOR_KEY',
            callback=command_options.check_key,
            help='The operator key; prefer the environment variable.',
            show_default=False,
        ),
    ] = '',
) -> None:
    """File change tickets and read what the entry hosts report."""
    context.obj = command_options.Options(
        command_options.strip_trailing_slashes(host), operator_key, output
    )


@app.command('status', epilog=printing.EXIT_STATUS_HELP)
def show_status(
    context: typer.Context,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Show hosts, cells and targets, and whether the ticket is in force."""
    options = command_options.merge(context, host, output)
    body = printing.fetch(options, '/status')
    printing.show(options, body, status_documents.status_text)


@app.command(epilog=printing.EXIT_STATUS_HELP)
def owner(
    context: typer.Context,
    service: str,
    key: str,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Show the target that owns a key."""
    options = command_options.merge(context, host, output)
    key_path = '/'.join(
        urllib.parse.quote(each, safe='') for each in (service, key)
    )
    body = printing.fetch(options, f'/owner/{key_path}')
    printing.show(options, body, status_documents.owner_text)


@app.command(epilog=printing.EXIT_STATUS_HELP)
def queues(
    context: typer.Context,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Show concurrency limits and queue lengths of the targets."""
    options = command_options.merge(context, host, output)
    body = printing.fetch(options, '/queues')
    printing.show(options, body, status_documents.queues_text)


@app.command('codes', epilog=printing.EXIT_STATUS_HELP)
def show_codes(
    context: typer.Context,
    number: typing.Annotated[int | None, typer.Argument()] = None,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """Explain one result code, or list all of them."""
    options = command_options.merge(context, host, output)
    selected = codes.CODES
    if number is not None:
        if number not in codes.CODE_BY_NUMBER:
            raise typer.BadParameter(f'{number} is not a result code')
        selected = (codes.CODE_BY_NUMBER[number],)
    rows = [
        (each.number, each.name, each.http_status, each.outcome, each.text)
        for each in selected
    ]
    header = ('NUMBER', 'NAME', 'HTTP', 'OUTCOME', 'TEXT')
    printing.show(
        options,
        {'codes': [each._asdict() for each in selected]},
        lambda body: status_documents.table(header, rows),
    )


@app.command(epilog=printing.EXIT_STATUS_HELP)
def drain(
    context: typer.Context,
    target: str,
    author: command_options.AuthorOption = '',
    wait: command_options.WaitOption = command_options.DEFAULT_WAIT_S,
    drop_pins: typing.Annotated[
        bool,
        typer.Option(
            '--drop-pins',
            help='Remove pins to the target; undrain does not restore them.',
        ),
    ] = False,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """File a ticket that stops new work for a target."""
    options = command_options.merge(context, host, output)
    ticket_commands.file_target_state(
        options, target, tickets.DRAINING, author, wait, drop_pins
    )


@app.command(epilog=printing.EXIT_STATUS_HELP)
def undrain(
    context: typer.Context,
    target: str,
    author: command_options.AuthorOption = '',
    wait: command_options.WaitOption = command_options.DEFAULT_WAIT_S,
    host: command_options.HostOption = None,
    output: command_options.OutputOption = None,
) -> None:
    """File a ticket that makes a target active again."""
    options = command_options.merge(context, host, output)
    ticket_commands.file_target_state(
        options, target, tickets.ACTIVE, author, wait, False
    )


def run() -> None:
    """Run the command; the entry point of the package."""
    app()


if __name__ == '__main__':
    run()
