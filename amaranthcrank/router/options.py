"""Command-line options of the router process.

The platform writes the settings file; these options are the operator's own.
"""

import argparse
import typing

MAX_HEDGE_RATIO = 0.2


class Options(typing.NamedTuple):
    """The options of the process.

    Attributes:
      hedge_ratio: The largest share of a service's requests that may be
        hedged; 0 turns hedging off.
    """

    hedge_ratio: float = 0.0


def parse(arguments: typing.Sequence[str]) -> Options:
    """Parse the command line; exits with status 2 on bad usage.

    Args:
      arguments: The words after the name of the program.
    """
    parser = argparse.ArgumentParser(prog='amaranthcrank.router.main')
    parser.add_argument(
        '--hedge-ratio',
        type=_ratio(MAX_HEDGE_RATIO),
        default=Options().hedge_ratio,
        help='largest share of requests that may be hedged (0: off)',
    )
    return Options(**vars(parser.parse_args(arguments)))


def _ratio(maximum: float) -> typing.Callable[[str], float]:
    """Return a parser of a share from 0 to a maximum."""

    def parse_ratio(text: str) -> float:
        value = float(text)
        if not 0 <= value <= maximum:
            raise argparse.ArgumentTypeError(f'not from 0 to {maximum}')
        return value

    return parse_ratio
