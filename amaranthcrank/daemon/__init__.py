"""The daemon amaranthcrankd, which runs on each host."""
