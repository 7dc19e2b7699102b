"""Stand-ins for the store, upstreams and callers, used by tests and tools."""
