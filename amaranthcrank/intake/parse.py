"""Turns the fields of a caller's HTTP request into a checked request."""

from collections import abc

from amaranthcrank.core import codes
from amaranthcrank.core import model


def parse_request(
    method: str,
    raw_path: str,
    query: str,
    header_by_name: abc.Mapping[str, str],
    body: bytes,
    remote: str,
    now_ms: int,
    new_id: str,
    services: abc.Container[str] | None,
) -> tuple[model.Request | None, tuple[codes.Problem, ...]]:
    """Check a caller's request.

    Args:
      method: The HTTP method.
      raw_path: The path as sent, still percent-encoded.
      query: The query string without the question mark.
      header_by_name: The headers by lower-case name.
      body: The whole body.
      remote: The address of the caller, used where it gives no caller id.
      now_ms: The Unix time of arrival.
      new_id: A fresh request id for work that may repeat and has none.
      services: The names of known services; None accepts any name.

    Returns:
      The request and no errors, or None and every error found.
    """
    raise NotImplementedError
