"""Last control stage: what the system reports."""
