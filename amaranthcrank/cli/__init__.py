"""Command-line client `amaranthcrank` for operators."""
