"""Spans for each hop, with W3C trace context in and out."""

from collections import abc
import contextlib

from amaranthcrank.core import settings


def open_tracing(
    stack: contextlib.ExitStack, values: settings.Settings
) -> None:
    """Set up tracing for this process.

    Spans go to otlp_endpoint by OTLP over HTTP when it is set. Otherwise
    they are made, so that trace ids pass on, and not exported.

    Args:
      stack: Flushes and closes the exporter when it closes.
      values: Gives otlp_endpoint, host_id, cell and region.
    """
    raise NotImplementedError


@contextlib.contextmanager
def span(
    name: str, traceparent: str = '', **attributes: str | int | float | bool
) -> abc.Iterator[str]:
    """Make a span around a block.

    Args:
      name: The name of the hop, such as `intake`.
      traceparent: The W3C parent; an empty or bad one starts a new trace.
      **attributes: Attributes of the span.

    Yields:
      The traceparent of the new span, to send with the next hop.
    """
    raise NotImplementedError
    yield ''
