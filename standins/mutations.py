"""Builds malformed objects from valid ones, for hypothesis."""

import copy
import typing

from hypothesis import strategies

_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from([10**400, -(10**30), 2**63, -1]),
    strategies.floats(),
    strategies.text(max_size=20),
    strategies.sampled_from(['\ud800', '10.0.0.1:99999', 'ready', '1e999']),
)
_VALUES = strategies.recursive(
    _SCALARS,
    lambda children: strategies.one_of(
        strategies.lists(children, max_size=3),
        strategies.dictionaries(
            strategies.text(max_size=5), children, max_size=3
        ),
    ),
    max_leaves=8,
)


def mutate(data: typing.Any, value: typing.Any) -> typing.Any:
    """Return a valid object with one to three values replaced or removed.

    Args:
      data: The draws of hypothesis.
      value: The valid object, of dictionaries and lists. A value that is
        neither is replaced as a whole.
    """
    mutant = {'': copy.deepcopy(value)}
    for _ in range(data.draw(strategies.integers(1, 3))):
        path = data.draw(strategies.sampled_from(_paths(mutant)))
        container: typing.Any = mutant
        for key in path[:-1]:
            container = container[key]
        if len(path) == 1 or data.draw(strategies.booleans()):
            container[path[-1]] = data.draw(_VALUES)
            continue
        del container[path[-1]]
    return mutant['']


def _paths(
    value: typing.Any, prefix: tuple[typing.Any, ...] = ()
) -> list[tuple[typing.Any, ...]]:
    """Return the path of each value inside dictionaries and lists."""
    found = [prefix] if prefix else []
    pairs: list[tuple[typing.Any, typing.Any]] = []
    if isinstance(value, dict):
        pairs = list(value.items())
    if isinstance(value, list):
        pairs = list(enumerate(value))
    for key, child in pairs:
        found += _paths(child, (*prefix, key))
    return found
