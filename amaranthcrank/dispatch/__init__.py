"""Fourth stage of a request: at-most-once, retries and sending."""
