"""Randomized soak test of real router processes under injected faults.

Its checks use only what callers and targets observe.
"""
