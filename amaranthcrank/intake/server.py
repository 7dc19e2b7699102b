"""The HTTP servers for callers and for operators."""

from collections import abc
import contextlib
import typing

from amaranthcrank.core import model

Handle = abc.Callable[[model.Request], model.Outcome]
Route = abc.Callable[[dict[str, str], bytes], tuple[int, typing.Any]]


class Bound(typing.NamedTuple):
    """A server that accepts connections.

    Attributes:
      host: The address it is bound to.
      port: The port it is bound to.
      server: The cheroot server, for stop_accepting.
    """

    host: str
    port: int
    server: typing.Any


def open_caller_server(
    stack: contextlib.ExitStack,
    address: tuple[str, int],
    threads: int,
    max_connections: int,
    handle: Handle,
    ready: abc.Callable[[], bool],
    metrics_text: abc.Callable[[], str],
    services: abc.Callable[[], abc.Container[str] | None],
) -> Bound:
    """Serve callers until the stack closes.

    Args:
      stack: Stops the server when it closes.
      address: Host and port to bind; port 0 picks a free one.
      threads: How many requests are worked on at once.
      max_connections: How many connections may be open; more are refused.
      handle: Answers a checked request; blocks its worker thread.
      ready: Whether /readyz says yes.
      metrics_text: The text of /metrics.
      services: The names of the services known at this moment, or None.

    Returns:
      The bound address and the running server.
    """
    raise NotImplementedError


def open_operator_server(
    stack: contextlib.ExitStack,
    address: tuple[str, int],
    keys: abc.Sequence[str],
    routes: dict[tuple[str, str], Route],
) -> Bound:
    """Serve operators until the stack closes.

    Args:
      stack: Stops the server when it closes.
      address: Host and port to bind; port 0 picks a free one.
      keys: The accepted bearer keys.
      routes: Functions by (method, pattern). A pattern such as
        '/tickets/{number}' matches path parts by name. A function takes
        (parts by name, body) and returns (status, value for JSON).

    Returns:
      The bound address and the running server.
    """
    raise NotImplementedError


def stop_accepting(bound: Bound, limit_s: float) -> int:
    """Stop accepting and wait for the requests in flight.

    Args:
      bound: The server to stop.
      limit_s: How long to wait at most.

    Returns:
      How many requests were still in flight when the time ran out.
    """
    raise NotImplementedError
