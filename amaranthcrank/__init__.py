"""A router for servers that own keys exclusively."""
