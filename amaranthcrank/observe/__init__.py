"""First control stage: which hosts and upstreams are alive."""
