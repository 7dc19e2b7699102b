"""Tests of router processes whose callers stay outside the limits.

Each test starts one process and bounds what it uses: memory and descriptors.
"""
