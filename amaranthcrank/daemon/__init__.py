"""The daemon amaranthcrankd."""
