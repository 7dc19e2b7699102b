"""Shared parts of the scripted cases of the review."""
