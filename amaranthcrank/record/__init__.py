"""Third control stage: what the store holds."""
