"""Stateful fuzzing of the decision modules against simple oracles."""

from hypothesis.internal.conjecture import providers
from hypothesis.internal import constants_ast


def _no_constants() -> constants_ast.Constants:
    return _NO_CONSTANTS


_NO_CONSTANTS = constants_ast.Constants()
# The library mixes constants of all loaded modules into its examples, so that
# a derandomized test would depend on the tests that ran before it.
providers._get_local_constants = _no_constants
