"""The command-line tool amaranthcrank."""
