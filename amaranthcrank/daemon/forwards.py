"""Tracks forwarded requests and detects hosts that do not reply.

A frozen host keeps its connections open, so only a reply shows that it runs.
Hosts of one cell exchange heartbeats; hosts of different cells do not, so a
host is probed while requests wait for it.
"""

from concurrent import futures
import contextlib
import threading
import time
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module

log = logs.logger('daemon')

CHECK_INTERVAL_S = 0.1
# Most replies arrive earlier, so that few requests cause a probe.
PROBE_AFTER_S = 0.3
# A running host replies to a probe between two ticks of its control actor.
PROBE_TIMEOUT_S = 0.3


class ForwardedRequest(typing.NamedTuple):
    """One forwarded request that waits for its outcome.

    Attributes:
      host: The host that it was forwarded to.
      repeatable: Whether the request may be sent again.
      sent_at: When it was sent, monotonic seconds.
      pending: Receives the outcome.
    """

    host: str
    repeatable: bool
    sent_at: float
    pending: 'futures.Future[model.Outcome]'


class ForwardTracker:
    """The forwarded requests of this host that wait for their outcome.

    Attributes:
      links: The links to the other hosts.
      lock: Guards the attributes below.
      request_by_id: The requests, by the identity of their futures.
      probed_at_by_host: When each probe without a reply was sent.
      unresponsive: The hosts that did not reply to a probe in time.
    """

    def __init__(self, links: links_module.Links) -> None:
        self.links = links
        self.lock = threading.Lock()
        self.request_by_id: dict[int, ForwardedRequest] = {}
        self.probed_at_by_host: dict[str, float] = {}
        self.unresponsive: frozenset[str] = frozenset()


def start_tracker(
    stack: contextlib.ExitStack, links: links_module.Links
) -> ForwardTracker:
    """Start a tracker and check it until the stack closes."""
    tracker = ForwardTracker(links)
    stopped = threading.Event()
    stack.callback(stopped.set)

    def run() -> None:
        while not stopped.wait(CHECK_INTERVAL_S):
            check(tracker, time.monotonic())

    threading.Thread(target=run, name='forwards', daemon=True).start()
    return tracker


def track(tracker: ForwardTracker, request: ForwardedRequest) -> None:
    """Track a request until it has its outcome."""
    number = id(request.pending)
    with tracker.lock:
        tracker.request_by_id[number] = request

    def remove(done: futures.Future) -> None:
        with tracker.lock:
            tracker.request_by_id.pop(number, None)

    request.pending.add_done_callback(remove)


def set_outcome(
    pending: 'futures.Future[model.Outcome]', outcome: model.Outcome
) -> None:
    """Set an outcome unless the request has one already."""
    with contextlib.suppress(futures.InvalidStateError):
        pending.set_result(outcome)


def check(tracker: ForwardTracker, now: float) -> None:
    """Probe the hosts of overdue requests; end those at unresponsive hosts.

    A request that is not repeatable keeps waiting for its outcome.

    Args:
      tracker: The tracker.
      now: Monotonic seconds.
    """
    with tracker.lock:
        waiting = list(tracker.request_by_id.values())
    for request in waiting:
        if now - request.sent_at >= PROBE_AFTER_S:
            _probe(tracker, request.host, now)
    with tracker.lock:
        unresponsive = frozenset(
            host
            for host, probed_at in tracker.probed_at_by_host.items()
            if now - probed_at >= PROBE_TIMEOUT_S
        )
        for host in unresponsive - tracker.unresponsive:
            log.warning('Host {} does not reply to probes.', host)
        tracker.unresponsive = unresponsive
    for request in waiting:
        if request.host in unresponsive and request.repeatable:
            outcome = model.refusal(codes.ANSWER_LOST, 'the host is silent')
            set_outcome(request.pending, outcome)


def _probe(tracker: ForwardTracker, host: str, now: float) -> None:
    """Probe a host, unless a probe is pending."""
    with tracker.lock:
        if host in tracker.probed_at_by_host:
            return
        tracker.probed_at_by_host[host] = now
    # Hosts reply to a record request at once. No cell has the empty name, so
    # the reply carries no record.
    probe = {'type': frames.RECORD, 'cell': ''}
    call = links_module.call(tracker.links, host, probe)

    def on_reply(done: futures.Future) -> None:
        # Also called when the link breaks, which fails the call: then too the
        # host no longer counts as unresponsive.
        with tracker.lock:
            tracker.probed_at_by_host.pop(host, None)

    call.add_done_callback(on_reply)
