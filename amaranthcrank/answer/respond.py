"""Turns an outcome into the parts of an HTTP response."""

from amaranthcrank.core import model


def response_of(
    outcome: model.Outcome, request_id: str
) -> tuple[str, list[tuple[str, str]], bytes]:
    """Make the response for an outcome.

    Args:
      outcome: What became of the request.
      request_id: The id to echo, empty where none was accepted.

    Returns:
      The status line such as '200 OK', the headers and the body.
    """
    raise NotImplementedError
