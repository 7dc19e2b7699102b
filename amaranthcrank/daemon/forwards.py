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

WATCH_INTERVAL_S = 0.1
# Most answers come earlier, so that few requests cause a question.
ASK_AFTER_S = 0.3
# A host that runs answers a question between two ticks of its control actor.
SILENCE_S = 0.3


class Forward(typing.NamedTuple):
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


class Forwards:
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
        self.forward_by_id: dict[int, Forward] = {}
        self.asked_at_by_host: dict[str, float] = {}
        self.silent: frozenset[str] = frozenset()


def open_forwards(
    stack: contextlib.ExitStack, links: links_module.Links
) -> Forwards:
    """Watch waiting requests until the stack closes."""
    forwards = Forwards(links)
    stopped = threading.Event()
    stack.callback(stopped.set)

    def run() -> None:
        while not stopped.wait(WATCH_INTERVAL_S):
            watch(forwards, time.monotonic())

    threading.Thread(target=run, name='forwards', daemon=True).start()
    return forwards


def add(forwards: Forwards, forward: Forward) -> None:
    """Watch a request until it has its outcome."""
    number = id(forward.pending)
    with forwards.lock:
        forwards.forward_by_id[number] = forward

    def remove(done: futures.Future) -> None:
        with forwards.lock:
            forwards.forward_by_id.pop(number, None)

    forward.pending.add_done_callback(remove)


def settle(
    pending: 'futures.Future[model.Outcome]', outcome: model.Outcome
) -> None:
    """Set an outcome unless the request was given up before."""
    with contextlib.suppress(futures.InvalidStateError):
        pending.set_result(outcome)


def watch(forwards: Forwards, now: float) -> None:
    """Ask the hosts that keep requests waiting; give up on silent ones.

    Work that may not repeat goes on waiting for its answer.

    Args:
      forwards: The waiting requests.
      now: Monotonic seconds.
    """
    with forwards.lock:
        waiting = list(forwards.forward_by_id.values())
    for forward in waiting:
        if now - forward.sent_at >= ASK_AFTER_S:
            _ask(forwards, forward.host, now)
    with forwards.lock:
        silent = frozenset(
            host
            for host, asked_at in forwards.asked_at_by_host.items()
            if now - asked_at >= SILENCE_S
        )
        for host in silent - forwards.silent:
            log.warning('Host {} does not answer.', host)
        forwards.silent = silent
    for forward in waiting:
        if forward.host in silent and forward.repeatable:
            outcome = model.refusal(codes.ANSWER_LOST, 'the host is silent')
            settle(forward.pending, outcome)


def _ask(forwards: Forwards, host: str, now: float) -> None:
    """Send a question that a host answers at once, if none is open."""
    with forwards.lock:
        if host in forwards.asked_at_by_host:
            return
        forwards.asked_at_by_host[host] = now
    # No cell has the empty name, so the answer carries no record.
    question = {'type': frames.RECORD, 'cell': ''}
    call = links_module.call(forwards.links, host, question)

    def receive(done: futures.Future) -> None:
        # A broken link ends the silence as well; its calls fail by then.
        with forwards.lock:
            forwards.asked_at_by_host.pop(host, None)

    call.add_done_callback(receive)
