"""Demonstration, measurements and capacity figures."""
