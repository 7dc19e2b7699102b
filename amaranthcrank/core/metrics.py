"""Counters, gauges and latency histograms of one process."""

import time
import typing


class Registry:
    """The metrics of one process; safe to use from several threads."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        raise NotImplementedError

    def record_request(
        self, service: str, rank: str, code: int, seconds: float
    ) -> None:
        """Count one answered request.

        Args:
          service: The service, empty where the path named none.
          rank: Its rank.
          code: The number of its result code.
          seconds: From the arrival of the request to the answer.
        """
        raise NotImplementedError

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, shown as `amaranthcrank_<name>`."""
        raise NotImplementedError

    def drop_gauge(self, name: str, **labels: str) -> None:
        """Drop a gauge, such as one of a target that is gone."""
        raise NotImplementedError

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter, shown as `amaranthcrank_<name>_total`."""
        raise NotImplementedError

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        raise NotImplementedError


def record_request(service: str, rank: str, code: int, seconds: float) -> None:
    """Count one answered request in the registry of this process."""
    raise NotImplementedError


def set_gauge(name: str, value: float, **labels: str) -> None:
    """Set a gauge in the registry of this process."""
    raise NotImplementedError


def drop_gauge(name: str, **labels: str) -> None:
    """Drop a gauge from the registry of this process."""
    raise NotImplementedError


def add(name: str, amount: float = 1, **labels: str) -> None:
    """Add to a counter in the registry of this process."""
    raise NotImplementedError


def render() -> str:
    """Return the metrics of this process in the text exposition format."""
    raise NotImplementedError
