"""Sends probes, grants and releases to upstreams from a thread pool."""

from collections import abc
from concurrent import futures
import contextlib
import time
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import upstream_client
from amaranthcrank.grant import grants

# Control calls time out after 0.2 s. The pool is larger than the dozen targets
# of a cell, so that one that does not respond cannot delay the renewals of the
# others.
CONTROL_THREADS = 16
# A restarting upstream refuses connections for a moment. Without a pause, two
# refusals within a few milliseconds would mark it as down.
REFUSED_PAUSE_S = 0.1


class StepDone(typing.NamedTuple):
    """The result of a probe or grant.

    Attributes:
      target: The id of the target.
      step: The step that was sent.
      sent_at: When it was sent, monotonic seconds.
      response: The response, None after a miss.
      granted: Whether the target accepted a grant.
    """

    target: str
    step: grants.Step
    sent_at: float
    response: grants.TargetResponse | None
    granted: bool


class ReleaseDone(typing.NamedTuple):
    """A release that a previous owner confirmed.

    Attributes:
      due: The release, reduced to the slots without requests in flight.
    """

    due: grants.DueRelease


class Renewer:
    """Connection pools to the targets of the cell and the thread pool.

    Attributes:
      stack: Closes the thread pool and the connection pools.
      on_result: Called with each StepDone and ReleaseDone, on a pool thread.
      executor: The thread pool.
      upstream_by_target: The connection pools of each target.
      releasing: Targets with a release in progress.
    """

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
    """Open the connection pools to a target."""
    upstream = upstream_client.open_upstream(renewer.stack, target)
    renewer.upstream_by_target[target.target] = upstream


def remove_target(renewer: Renewer, target: str) -> None:
    """Close the connection pools to a removed target."""
    upstream = renewer.upstream_by_target.pop(target, None)
    if upstream is not None:
        upstream_client.close_upstream(upstream)


def run_step(
    renewer: Renewer, target: str, step: grants.Step, now: float
) -> None:
    """Send a probe or grant; on_result gets a StepDone."""
    upstream = renewer.upstream_by_target[target]
    renewer.executor.submit(_run_step, renewer, upstream, step, now)


def run_release(renewer: Renewer, due: grants.DueRelease) -> None:
    """Request a release; on_result gets a ReleaseDone if it is confirmed.

    A target gets one request at a time; further ones are ignored.
    """
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
    target_response = None
    granted = False
    try:
        response = _send(upstream, step)
        if _is_refused(response):
            time.sleep(REFUSED_PAUSE_S)
            response = _send(upstream, step)
        if isinstance(response, upstream_client.ControlResponse):
            target_response = _parse_response(response)
            granted = step.kind == grants.GRANT and response.status == 200
    finally:
        renewer.on_result(
            StepDone(
                upstream.target.target, step, now, target_response, granted
            )
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
    response: upstream_client.ControlResponse
    | upstream_client.UpstreamFailure,
) -> bool:
    """Return whether a connection was refused or broken, not timed out."""
    if isinstance(response, upstream_client.ControlResponse):
        return False
    return (
        response.connection_broken
        or response.code is codes.UPSTREAM_UNREACHABLE
    )


def _parse_response(
    response: upstream_client.ControlResponse,
) -> grants.TargetResponse | None:
    value = response.value
    try:
        return grants.TargetResponse(
            str(value['incarnation']),
            str(value['challenge']),
            int(value['version']),
            bool(value['draining']),
            int(value['in_flight']),
            response.status == 200,
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
        response = upstream_client.post_release(upstream, due.version, slots)
        if not isinstance(response, upstream_client.ControlResponse):
            return
        idle = _idle_slots(response)
        if response.status == 200 and idle:
            renewer.on_result(ReleaseDone(due._replace(slots=idle)))
    finally:
        renewer.releasing.discard(due.target)


def _idle_slots(
    response: upstream_client.ControlResponse,
) -> tuple[model.SlotId, ...]:
    """Return the released slots that have no requests in flight."""
    idle = []
    for service, slot, running in response.value.get('slots', ()):
        if running == 0:
            idle.append(model.SlotId(service, slot))
    return tuple(idle)
