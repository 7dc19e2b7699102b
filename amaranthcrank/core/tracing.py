"""Spans for each hop, with W3C trace context in and out.

The parent of a span is always the traceparent that came with the request:
a request passes between threads and actors, so a context kept for each
thread would name the wrong parent.
"""

from collections import abc
import contextlib

from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from amaranthcrank.core import settings

# The exporter retries within this time. One batch takes the whole queue, so
# that a collector that does not answer holds up a shutdown by at most two
# time-outs: the batch on its way and the last one. With the default batches
# of a quarter of the queue it took 10 s.
EXPORT_TIMEOUT_S = 2.0
QUEUE_SPANS = 2048

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def _non_recording_provider() -> sdk_trace.TracerProvider:
    """Make a provider whose spans have ids and record nothing.

    A span costs 4 us this way and 8 us when it records; a caller's
    decision to sample is kept for the hosts and upstreams that follow.
    """
    return sdk_trace.TracerProvider(
        sampler=sampling.ParentBased(sampling.ALWAYS_OFF),
        shutdown_on_exit=False,
    )


class _State:
    """The tracer of this process."""

    tracer: trace.Tracer = _non_recording_provider().get_tracer(
        'amaranthcrank'
    )


def set_up_tracing(
    stack: contextlib.ExitStack, values: settings.Settings
) -> None:
    """Set up tracing for this process.

    Spans go to otlp_endpoint by OTLP over HTTP when it is set. Otherwise
    they are made, so that trace ids pass on, and not exported.

    Args:
      stack: Flushes and closes the exporter when it closes.
      values: Gives otlp_endpoint, host_id, cell and region.
    """
    if not values.otlp_endpoint:
        return
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource.create(
            {
                'service.name': 'amaranthcrankd',
                'service.instance.id': values.host_id,
                'cloud.region': values.region,
                'amaranthcrank.cell': values.cell,
            }
        ),
        shutdown_on_exit=False,
    )
    exporter = trace_exporter.OTLPSpanExporter(
        endpoint=values.otlp_endpoint + '/v1/traces',
        timeout=EXPORT_TIMEOUT_S,
    )
    provider.add_span_processor(
        export.BatchSpanProcessor(
            exporter,
            max_queue_size=QUEUE_SPANS,
            max_export_batch_size=QUEUE_SPANS,
        )
    )
    previous = _State.tracer
    _State.tracer = provider.get_tracer('amaranthcrank')
    stack.callback(provider.shutdown)
    stack.callback(setattr, _State, 'tracer', previous)


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
    parent = None
    if traceparent:
        parent = _PROPAGATOR.extract({'traceparent': traceparent})
    made = _State.tracer.start_span(name, parent, attributes=attributes)
    try:
        yield _traceparent_of(made)
    except Exception as error:
        made.record_exception(error)
        made.set_status(trace.StatusCode.ERROR)
        raise
    finally:
        made.end()


def _traceparent_of(made: trace.Span) -> str:
    context = made.get_span_context()
    trace_id = trace.format_trace_id(context.trace_id)
    span_id = trace.format_span_id(context.span_id)
    return f'00-{trace_id}-{span_id}-{context.trace_flags:02x}'
