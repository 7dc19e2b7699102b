"""Settings of the daemon, from flags and environment variables."""

from collections import abc
import typing

from amaranthcrank.core import codes


class Settings(typing.NamedTuple):
    """The checked settings of one daemon.

    Attributes:
      host_id: The id of this entry host.
      cell: The cell it belongs to; the failure domain unless set.
      failure_domain: The failure domain it is in.
      region: The region it is in.
      caller_address: (host, port) to listen on for callers; port may be 0.
      peer_address: (host, port) to listen on for other hosts.
      operator_address: (host, port) to listen on for operators.
      store_url: The base URL of the platform's store, no slash at the end.
      cluster_keys: Keys shared by the hosts: the current one, then the
        previous one during rotation.
      operator_keys: Keys accepted from operators, in the same order.
      log_level: One of LOG_LEVELS.
      log_format: One of LOG_FORMATS.
      otlp_endpoint: Base URL of an OTLP/HTTP collector, or empty.
      caller_threads: Worker threads that serve callers.
      max_connections: Connections accepted from callers at once.
      drain_s: How long a shutdown waits for requests in flight.
      ready_file: Where the bound addresses go as JSON, or empty.
    """

    host_id: str
    cell: str
    failure_domain: str
    region: str
    caller_address: tuple[str, int]
    peer_address: tuple[str, int]
    operator_address: tuple[str, int]
    store_url: str
    cluster_keys: tuple[str, ...]
    operator_keys: tuple[str, ...]
    log_level: str
    log_format: str
    otlp_endpoint: str
    caller_threads: int
    max_connections: int
    drain_s: float
    ready_file: str


def split_flags(
    arguments: abc.Sequence[str],
) -> tuple[dict[str, str], tuple[codes.Problem, ...]]:
    """Split command-line arguments into flags.

    Args:
      arguments: The arguments after the program name, in the forms
        `--host-id=x` and `--host-id x`.

    Returns:
      The value by setting name (`host_id`), and the problems found.
    """
    raise NotImplementedError


def read_settings(
    flags: abc.Mapping[str, str | None], environ: abc.Mapping[str, str]
) -> tuple[Settings | None, tuple[codes.Problem, ...]]:
    """Read and check all settings at once.

    Args:
      flags: The value by setting name (`host_id`); None is not given.
      environ: The environment; flags go before it.

    Returns:
      The settings, or None and every problem found.
    """
    raise NotImplementedError


def show_settings(
    flags: abc.Mapping[str, str | None], environ: abc.Mapping[str, str]
) -> tuple[str, ...]:
    """Describe each setting and where its value came from.

    Args:
      flags: As for read_settings.
      environ: As for read_settings.

    Returns:
      One line a setting, with secrets masked.
    """
    raise NotImplementedError


def usage() -> str:
    """Describe every flag, for --help."""
    raise NotImplementedError
