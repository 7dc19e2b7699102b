"""Small stand-ins for the store, upstreams and callers."""
