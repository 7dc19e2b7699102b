"""Data, hashing and result codes that every stage shares."""
