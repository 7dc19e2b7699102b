"""Stateful fuzzing of the decision modules against simple oracles."""
