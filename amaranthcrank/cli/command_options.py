"""Options that the commands share."""

from collections import abc
import typing

import typer

from amaranthcrank.core import settings

DEFAULT_URL = 'http://127.0.0.1:8082'
# A ticket is in force everywhere within 15 s unless something is cut off.
DEFAULT_WAIT_S = 15.0
MAX_WAIT_S = 3600.0

TEXT = 'text'
JSON = 'json'
OUTPUTS = (TEXT, JSON)


class Options(typing.NamedTuple):
    """The options that all commands share.

    Attributes:
      urls: Base URLs of operator interfaces.
      key: The operator key.
      output: One of OUTPUTS.
    """

    urls: tuple[str, ...]
    key: str
    output: str


def check_output(value: str | None) -> str | None:
    """Check the form of the output.

    Raises:
      BadParameter: It is not valid.
    """
    if value is not None and value not in OUTPUTS:
        raise typer.BadParameter(f'{value!r} is not one of text, json')
    return value


def check_urls(values: list[str] | None) -> list[str] | None:
    """Check base URLs of operator interfaces.

    Raises:
      BadParameter: It is not valid.
    """
    for each in values or ():
        try:
            settings.parse_url(each)
        except ValueError:
            raise typer.BadParameter(
                f'{each!r} is not {settings.URL_TEXT}'
            ) from None
    return values


def check_key(value: str) -> str:
    """Check the operator key.

    Raises:
      BadParameter: It is not valid.
    """
    if not value.isascii() or not value.isprintable() or ' ' in value:
        raise typer.BadParameter('not printable ASCII without spaces')
    return value


AuthorOption = typing.Annotated[
    str,
    typer.Option(
        envvar='AMARANTHCRANK_AUTHOR',
        help='Who files; goes before the author in the document.',
    ),
]
WaitOption = typing.Annotated[
    float,
    typer.Option(
        min=0,
        max=MAX_WAIT_S,
        help='Seconds to wait until it is in force everywhere.',
    ),
]

# The shared options are accepted before and after the name of the command.
# These have no variable: it would go before a flag given before the name.
HostOption = typing.Annotated[
    list[str] | None,
    typer.Option(callback=check_urls, help='As before the command.'),
]
OutputOption = typing.Annotated[
    str | None,
    typer.Option(callback=check_output, help='text or json.'),
]


def merge(
    context: typer.Context, host: list[str] | None, output: str | None
) -> Options:
    """Merge options given after the command into those before it."""
    options: Options = context.obj
    if host:
        options = options._replace(urls=strip_trailing_slashes(host))
    if output is not None:
        options = options._replace(output=output)
    return options


def strip_trailing_slashes(urls: abc.Iterable[str]) -> tuple[str, ...]:
    """Return base URLs to which a path can be appended."""
    return tuple(each.rstrip('/') for each in urls)
