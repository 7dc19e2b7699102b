"""Command-line options of the router process.

The platform writes the settings file; these options are the operator's own.
"""

import argparse
import typing

from amaranthcrank.router import body_rate
from amaranthcrank.router import parse_turns

MAX_HEDGE_RATIO = 0.2
MAX_CALLERS = 1_000_000
MAX_BYTES_PER_S = 1_000_000.0
MIN_PERIOD_S = 1.0
MAX_PERIOD_S = 86_400.0
MAX_EVENTS_PER_TURN = 1_000_000


class Options(typing.NamedTuple):
    """The options of the process.

    Attributes:
      hedge_ratio: The largest share of a service's requests that may be
        hedged; 0 turns hedging off.
      max_callers: The most connections of callers at once; 0 for the limit
        that is derived from the descriptors of the process, which this option
        can only lower.
      min_body_bytes_per_s: The slowest average rate of a request's body; 0
        for no limit.
      body_period_s: The time over which that rate is averaged, in seconds.
      parse_events_per_turn: How many parts of requests are parsed in a turn
        of the event loop.
    """

    hedge_ratio: float = 0.0
    max_callers: int = 0
    min_body_bytes_per_s: float = body_rate.DEFAULT_MIN_BYTES_PER_S
    body_period_s: float = body_rate.DEFAULT_PERIOD_S
    parse_events_per_turn: int = parse_turns.DEFAULT_EVENTS_PER_TURN


def parse(arguments: typing.Sequence[str]) -> Options:
    """Parse the command line; exits with status 2 on bad usage.

    Args:
      arguments: The words after the name of the program.
    """
    parser = argparse.ArgumentParser(prog='amaranthcrank.router.main')
    parser.add_argument(
        '--hedge-ratio',
        type=_number(float, 0.0, MAX_HEDGE_RATIO),
        default=Options().hedge_ratio,
        help='largest share of requests that may be hedged (0: off)',
    )
    _add_caller_limits(parser)
    return Options(**vars(parser.parse_args(arguments)))


def _add_caller_limits(parser: argparse.ArgumentParser) -> None:
    defaults = Options()
    parser.add_argument(
        '--max-callers',
        type=_number(int, 0, MAX_CALLERS),
        default=defaults.max_callers,
        metavar='CONNECTIONS',
        help='most connections of callers (0: from the descriptors)',
    )
    parser.add_argument(
        '--min-body-bytes-per-s',
        type=_number(float, 0.0, MAX_BYTES_PER_S),
        default=defaults.min_body_bytes_per_s,
        metavar='BYTES_PER_S',
        help='slowest average rate of a body (0: no limit)',
    )
    parser.add_argument(
        '--body-period-s',
        type=_number(float, MIN_PERIOD_S, MAX_PERIOD_S),
        default=defaults.body_period_s,
        metavar='SECONDS',
        help='time over which the rate of a body is averaged',
    )
    parser.add_argument(
        '--parse-events-per-turn',
        type=_number(int, 1, MAX_EVENTS_PER_TURN),
        default=defaults.parse_events_per_turn,
        metavar='EVENTS',
        help='parts of requests parsed in a turn of the event loop',
    )


def _number(
    convert: typing.Callable[[str], float], minimum: float, maximum: float
) -> typing.Callable[[str], float]:
    """Return a parser of a number in a range."""

    def parse_number(text: str) -> float:
        value = convert(text)
        if not minimum <= value <= maximum:
            raise argparse.ArgumentTypeError(
                f'not from {minimum} to {maximum}'
            )
        return value

    return parse_number
