"""HTTP client for one upstream: work, grants, releases, cancellations."""

from collections import abc
import contextlib
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model


class UpstreamAnswer(typing.NamedTuple):
    """The whole answer of an upstream that ran the work.

    Attributes:
      status: The HTTP status.
      headers: The headers without hop-by-hop ones.
      body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamFailure(typing.NamedTuple):
    """Work that got no answer, or that the upstream refused.

    Attributes:
      code: UPSTREAM_REFUSED, UPSTREAM_UNREACHABLE, EXPIRED,
        OUTCOME_UNKNOWN or ANSWER_TOO_LARGE.
      may_have_run: False only where nothing was sent or the upstream said
        that it did not run the work.
      refusal: The reason in X-Not-Run, empty where there is none.
      status: The HTTP status of a refusal, 0 where there was none.
      retry_after_ms: When the upstream asks to try again, 0 if unsaid.
      broken: Whether an open connection broke, as in a crash.
      detail: A short reason for people.
    """

    code: codes.Code
    may_have_run: bool
    refusal: str
    status: int
    retry_after_ms: int
    broken: bool
    detail: str


class ControlAnswer(typing.NamedTuple):
    """The answer to a control request.

    Attributes:
      status: The HTTP status.
      value: The decoded JSON object.
    """

    status: int
    value: dict[str, typing.Any]


class Upstream:
    """The connection pools to one target."""


def open_upstream(
    stack: contextlib.ExitStack, target: model.Target
) -> Upstream:
    """Open the pools to a target; connections are made when needed."""
    raise NotImplementedError


def close_upstream(upstream: Upstream) -> None:
    """Close idle connections; busy ones close when their work ends."""
    raise NotImplementedError


def send_work(
    upstream: Upstream,
    request: model.Request,
    fence: int,
    slot: int,
    incarnation: str,
    deadline_s: float,
    traceparent: str,
) -> UpstreamAnswer | UpstreamFailure:
    """Send work once and wait for the whole answer.

    Args:
      upstream: The target's pools.
      request: The work.
      fence: The fence of the slot.
      slot: The slot number.
      incarnation: The upstream's incarnation that the grant was given to.
      deadline_s: Seconds left for all of it.
      traceparent: W3C trace context, empty where there is none.

    Returns:
      The answer, or a failure that says whether it may have run.
    """
    raise NotImplementedError


def get_grant(upstream: Upstream) -> ControlAnswer | UpstreamFailure:
    """Ask for incarnation, challenge, version, draining and in_flight."""
    raise NotImplementedError


def post_grant(
    upstream: Upstream,
    incarnation: str,
    challenge: str,
    version: int,
    slots: abc.Sequence[tuple[str, int, int]],
) -> ControlAnswer | UpstreamFailure:
    """Grant the (service, slot, fence) list, replacing the one before."""
    raise NotImplementedError


def post_release(
    upstream: Upstream, version: int, slots: abc.Sequence[tuple[str, int]]
) -> ControlAnswer | UpstreamFailure:
    """Ask the upstream to give up (service, slot) at a version."""
    raise NotImplementedError


def post_cancel(
    upstream: Upstream, request_id: str
) -> ControlAnswer | UpstreamFailure:
    """Ask the upstream to cancel a request."""
    raise NotImplementedError
