"""Options shared by all commands, and their validation."""

from collections import abc
import typing

import typer

from amaranthcrank.core import settings

DEFAULT_URL = 'http://127.0.0.1:8082'
# A ticket takes effect on all hosts within 15 s unless a host or cell is
# unreachable.
DEFAULT_WAIT_S = 15.0
MAX_WAIT_S = 3600.0

TEXT = 'text'
JSON = 'json'
OUTPUTS = (TEXT, JSON)


class Options(typing.NamedTuple):
    """Values of the options that all commands share.

    Attributes:
      urls: Base URLs of operator interfaces, without a trailing slash.
      key: The operator key.
      output: One of OUTPUTS.
    """

    urls: tuple[str, ...]
    key: str
    output: str


def check_output(value: str | None) -> str | None:
    """Validate the output format.

    Raises:
      BadParameter: The format is not one of OUTPUTS.
    """
    if value is not None and value not in OUTPUTS:
        raise typer.BadParameter(f'{value!r} is not one of text, json')
    return value


def check_urls(values: list[str] | None) -> list[str] | None:
    """Validate base URLs of operator interfaces.

    Raises:
      BadParameter: One of the URLs is not valid.
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
    """Validate the operator key.

    Raises:
      BadParameter: The key contains characters that are not allowed.
    """
    if not value.isascii() or not value.isprintable() or ' ' in value:
        raise typer.BadParameter('not printable ASCII without spaces')
    return value


AuthorOption = typing.Annotated[
    str,
    typer.Option(
        envvar='AMARANTHCRANK_AUTHOR',
        help='Author of the ticket; overrides the author in the document.',
    ),
]
WaitOption = typing.Annotated[
    float,
    typer.Option(
        min=0,
        max=MAX_WAIT_S,
        help='Seconds to wait until the ticket is in force everywhere.',
    ),
]

# The shared options are accepted before and after the name of the command.
# Those after the name have no environment variable, because the variable
# would override a flag given before the name.
HostOption = typing.Annotated[
    list[str] | None,
    typer.Option(
        callback=check_urls, help='Same as the option before the command.'
    ),
]
OutputOption = typing.Annotated[
    str | None,
    typer.Option(callback=check_output, help='text or json.'),
]


def merge(
    context: typer.Context, host: list[str] | None, output: str | None
) -> Options:
    """Override options given before the command with those after it."""
    options: Options = context.obj
    if host:
        options = options._replace(urls=strip_trailing_slashes(host))
    if output is not None:
        options = options._replace(output=output)
    return options


def strip_trailing_slashes(urls: abc.Iterable[str]) -> tuple[str, ...]:
    """Remove trailing slashes so that a path can be appended."""
    return tuple(each.rstrip('/') for each in urls)
