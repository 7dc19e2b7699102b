"""First stage of a request: from HTTP to a checked request."""
