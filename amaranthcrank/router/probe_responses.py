"""Responds to readiness probes and to scrapes of the metrics."""

from amaranthcrank.platform import names
from amaranthcrank.router import common_parts
from amaranthcrank.router import controller_lease
from amaranthcrank.router import http_server
from amaranthcrank.router import request_path


def respond(
    request: http_server.Request,
    is_ready: bool,
    common: common_parts.CommonParts,
    path: request_path.RequestPath,
    lease: controller_lease.Lease,
) -> http_server.Response:
    """Return the response to a probe or a scrape.

    Args:
      request: The probe or scrape.
      is_ready: Whether the load balancer should send callers to this host.
      common: The shared parts; their metrics are returned.
      path: The request path, which is measured.
      lease: The controller's lease.
    """
    if request.path.startswith(b'/metrics'):
        _set_gauges(common, path, lease)
        body = common.metrics.render().encode()
        headers = [(b'content-type', b'text/plain; version=0.0.4')]
        return http_server.Response(200, headers, body)
    if request.path != names.READINESS_PATH:
        return http_server.Response(404, [], b'')
    return http_server.Response(200 if is_ready else 503, [], b'')


def _set_gauges(
    common: common_parts.CommonParts,
    path: request_path.RequestPath,
    lease: controller_lease.Lease,
) -> None:
    gauges = {
        'waiting_requests': path.admission.total_waiting(),
        'busy_requests': path.server.active_requests,
        'caller_connections': len(path.server.connections),
        'backlogged_connections': path.server.backlogged_connections,
        'refused_connections': path.server.refused_connections,
        'abandoned_requests': path.server.abandoned_requests,
        'deferred_reads': path.server.turns.deferred,
        'targets': len(path.targets.by_id),
        'ready_slots': path.targets.ready_slots(),
        'evacuated_domains': len(path.targets.evacuated_since_by_domain),
        'cold_targets': path.cold_quota.cold_targets,
        'store_calls': common.store.calls,
        'opened_connections': common.pool.opened_connections,
        'evicted_responses': common.pool.buffer_budget.evicted,
        'is_controller': int(lease.is_held),
        'oversized_datagrams': common.peers.oversized,
        'malformed_datagrams': common.peers.malformed,
        'datagram_errors': common.peers.socket_errors,
        'malformed_loads': path.notices.malformed_loads,
    }
    for name, value in gauges.items():
        common.metrics.set_gauge(name, value)
