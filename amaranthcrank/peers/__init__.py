"""Links between hosts."""
