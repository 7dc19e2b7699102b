"""Last stage of a request: from an outcome to an HTTP response."""
