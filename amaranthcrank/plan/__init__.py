"""Second control stage: which target owns which slot."""
