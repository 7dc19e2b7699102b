"""Third stage of a request: ranks, queues, limits and budgets."""
