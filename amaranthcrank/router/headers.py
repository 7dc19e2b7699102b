"""Headers of HTTP requests and responses, names in lower case."""

Headers = list[tuple[bytes, bytes]]


def find(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or None.

    Args:
      headers: The headers to search.
      name: The name in lower case.
    """
    for header_name, value in headers:
        if header_name == name:
            return value
    return None
