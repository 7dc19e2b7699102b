"""Sends probes, grants and releases to upstreams on threads of its own."""

from collections import abc
from concurrent import futures
import contextlib
import time
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import upstream_client
from amaranthcrank.grant import grants

# Control calls time out after 0.2 s; a cell looks after a dozen targets, and
# a frozen one must not hold up the renewals of the others.
CONTROL_THREADS = 16
# An upstream that restarts refuses connections for a moment. Without a pause
# two refusals within a few milliseconds would count as its loss.
REFUSED_PAUSE_S = 0.1


class StepDone(typing.NamedTuple):
    """A probe or grant has ended.

    Attributes:
      target: The target.
      step: What was sent.
      sent_at: When, monotonic seconds.
      answer: What it answered, None for a miss.
      granted: Whether a grant was accepted.
    """

    target: str
    step: grants.Step
    sent_at: float
    answer: grants.Answer | None
    granted: bool


class ReleaseDone(typing.NamedTuple):
    """A previous owner confirmed a release."""

    due: grants.DueRelease


class Renewer:
    """Pools to the targets of the cell and the threads that use them."""

    def __init__(
        self,
        stack: contextlib.ExitStack,
        on_result: abc.Callable[[typing.Any], None],
    ) -> None:
        self.stack = stack
        self.on_result = on_result
        self.executor = futures.ThreadPoolExecutor(CONTROL_THREADS, 'renewal')
        stack.callback(self.executor.shutdown, False, cancel_futures=True)
        self.upstream_by_target: dict[str, upstream_client.Upstream] = {}
        self.releasing: set[str] = set()


def add_target(renewer: Renewer, target: model.Target) -> None:
    """Open the pools to a target."""
    upstream = upstream_client.open_upstream(renewer.stack, target)
    renewer.upstream_by_target[target.target] = upstream


def remove_target(renewer: Renewer, target: str) -> None:
    """Close the pools to a target that is gone."""
    upstream = renewer.upstream_by_target.pop(target, None)
    if upstream is not None:
        upstream_client.close_upstream(upstream)


def run_step(
    renewer: Renewer, target: str, step: grants.Step, now: float
) -> None:
    """Send a probe or grant; the answer comes back as StepDone."""
    upstream = renewer.upstream_by_target[target]
    renewer.executor.submit(_run_step, renewer, upstream, step, now)


def run_release(renewer: Renewer, due: grants.DueRelease) -> None:
    """Ask a previous owner to release; told as ReleaseDone if it did."""
    upstream = renewer.upstream_by_target.get(due.target)
    if upstream is None or due.target in renewer.releasing:
        return
    renewer.releasing.add(due.target)
    renewer.executor.submit(_run_release, renewer, upstream, due)


def _run_step(
    renewer: Renewer,
    upstream: upstream_client.Upstream,
    step: grants.Step,
    now: float,
) -> None:
    answer = None
    granted = False
    try:
        reply = _send(upstream, step)
        if _is_refused(reply):
            time.sleep(REFUSED_PAUSE_S)
            reply = _send(upstream, step)
        if isinstance(reply, upstream_client.ControlResponse):
            answer = _parse_answer(reply)
            granted = step.kind == grants.GRANT and reply.status == 200
    finally:
        renewer.on_result(
            StepDone(upstream.target.target, step, now, answer, granted)
        )


def _send(
    upstream: upstream_client.Upstream, step: grants.Step
) -> upstream_client.ControlResponse | upstream_client.UpstreamFailure:
    if step.kind == grants.PROBE:
        return upstream_client.get_grant(upstream)
    return upstream_client.post_grant(
        upstream, step.incarnation, step.challenge, step.version, step.slots
    )


def _is_refused(
    reply: upstream_client.ControlResponse | upstream_client.UpstreamFailure,
) -> bool:
    """Tell whether a connection was refused or broken, not timed out."""
    if isinstance(reply, upstream_client.ControlResponse):
        return False
    return reply.connection_broken or reply.code is codes.UPSTREAM_UNREACHABLE


def _parse_answer(
    reply: upstream_client.ControlResponse,
) -> grants.Answer | None:
    value = reply.value
    try:
        return grants.Answer(
            str(value['incarnation']),
            str(value['challenge']),
            int(value['version']),
            bool(value['draining']),
            int(value['in_flight']),
            reply.status == 200,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _run_release(
    renewer: Renewer,
    upstream: upstream_client.Upstream,
    due: grants.DueRelease,
) -> None:
    try:
        slots = [tuple(each) for each in due.slots]
        reply = upstream_client.post_release(upstream, due.version, slots)
        if not isinstance(reply, upstream_client.ControlResponse):
            return
        idle = _idle_slots(reply)
        if reply.status == 200 and idle:
            renewer.on_result(ReleaseDone(due._replace(slots=idle)))
    finally:
        renewer.releasing.discard(due.target)


def _idle_slots(
    reply: upstream_client.ControlResponse,
) -> tuple[model.SlotId, ...]:
    """Return the released slots for which nothing runs any more."""
    idle = []
    for service, slot, running in reply.value.get('slots', ()):
        if running == 0:
            idle.append(model.SlotId(service, slot))
    return tuple(idle)
