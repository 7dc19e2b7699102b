"""Second stage of a request: from a key to its slot and target."""
