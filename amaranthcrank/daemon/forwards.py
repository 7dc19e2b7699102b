"""Requests that wait for another host, and the hosts that do not answer.

A frozen host keeps its connections, so only an answer shows that it runs.
Hosts of one cell hear of one another by heartbeats; between cells there are
none, and a host is asked only while requests wait for it.
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
# Most answers come earlier, so that few requests cause a question.
PROBE_AFTER_S = 0.3
# A host that runs answers a question between two ticks of its control actor.
PROBE_TIMEOUT_S = 0.3


class ForwardedRequest(typing.NamedTuple):
    """One request that waits for another host.

    Attributes:
      host: The host.
      repeatable: Whether the request may be sent again.
      sent_at: When it was sent, monotonic seconds.
      pending: Gets the outcome.
    """

    host: str
    repeatable: bool
    sent_at: float
    pending: 'futures.Future[model.Outcome]'


class ForwardTracker:
    """The waiting requests of one host.

    Attributes:
      links: The links to the other hosts.
      lock: Guards the rest.
      forward_by_id: The waiting requests, by the identity of their futures.
      asked_at_by_host: When each question without an answer was sent.
      silent: The hosts that did not answer a question in time.
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
    """Watch waiting requests until the stack closes."""
    tracker = ForwardTracker(links)
    stopped = threading.Event()
    stack.callback(stopped.set)

    def run() -> None:
        while not stopped.wait(CHECK_INTERVAL_S):
            check(tracker, time.monotonic())

    threading.Thread(target=run, name='forwards', daemon=True).start()
    return tracker


def track(tracker: ForwardTracker, request: ForwardedRequest) -> None:
    """Watch a request until it has its outcome."""
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
    """Set an outcome unless the request was given up before."""
    with contextlib.suppress(futures.InvalidStateError):
        pending.set_result(outcome)


def check(tracker: ForwardTracker, now: float) -> None:
    """Ask the hosts that keep requests waiting; give up on silent ones.

    Work that may not repeat goes on waiting for its answer.

    Args:
      forwards: The waiting requests.
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
            log.warning('Host {} does not answer.', host)
        tracker.unresponsive = unresponsive
    for request in waiting:
        if request.host in unresponsive and request.repeatable:
            outcome = model.refusal(codes.ANSWER_LOST, 'the host is silent')
            set_outcome(request.pending, outcome)


def _probe(tracker: ForwardTracker, host: str, now: float) -> None:
    """Send a question that a host answers at once, if none is open."""
    with tracker.lock:
        if host in tracker.probed_at_by_host:
            return
        tracker.probed_at_by_host[host] = now
    # No cell has the empty name, so the answer carries no record.
    probe = {'type': frames.RECORD, 'cell': ''}
    call = links_module.call(tracker.links, host, probe)

    def receive(done: futures.Future) -> None:
        # A broken link ends the silence as well; its calls fail by then.
        with tracker.lock:
            tracker.probed_at_by_host.pop(host, None)

    call.add_done_callback(receive)
