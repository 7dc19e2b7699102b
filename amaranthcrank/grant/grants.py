"""Which grant, renewal, probe or release is due at a target."""

import typing

from amaranthcrank.core import model

PROBE = 'probe'
GRANT = 'grant'
NOTHING = 'nothing'


class TargetView(typing.NamedTuple):
    """What a host knows of one target.

    Attributes:
      target: Its id.
      incarnation: Its incarnation, empty before the first answer.
      challenge: The last challenge it issued, empty if used or unknown.
      challenge_at: When the request that brought the challenge was sent.
      version: The highest version it has seen.
      draining: Whether it says that it is draining.
      in_flight: How many requests it runs.
      misses: Time-outs since its last answer.
      asked_at: When the last probe or grant was sent.
      restarted_at: When a new incarnation was first seen after another.
    """

    target: str
    incarnation: str
    challenge: str
    challenge_at: float
    version: int
    draining: bool
    in_flight: int
    misses: int
    asked_at: float
    restarted_at: float


class Release(typing.NamedTuple):
    """A release that a previous owner confirmed.

    Attributes:
      version: The version of the release.
      slots: The slots it has released, with nothing in flight.
    """

    version: int
    slots: frozenset[model.SlotId]


class DueRelease(typing.NamedTuple):
    """A release to ask a previous owner for.

    Attributes:
      target: The previous owner.
      version: The record's version.
      slots: The slots to release.
    """

    target: str
    version: int
    slots: tuple[model.SlotId, ...]


class Answer(typing.NamedTuple):
    """The answer of a target to a probe, grant or release."""

    incarnation: str
    challenge: str
    version: int
    draining: bool
    in_flight: int


class Step(typing.NamedTuple):
    """What to send to a target now.

    Attributes:
      kind: PROBE, GRANT or NOTHING.
      incarnation: The incarnation to name in a grant.
      challenge: The challenge to echo in a grant.
      version: The record's version.
      slots: Service, slot and fence of each slot to grant.
    """

    kind: str
    incarnation: str = ''
    challenge: str = ''
    version: int = 0
    slots: tuple[tuple[str, int, int], ...] = ()


class Noted(typing.NamedTuple):
    """The outcome of an answer or a miss.

    Attributes:
      view: The new view.
      down: Whether the target counts as down.
      restarted: Whether it answered under a new incarnation.
    """

    view: TargetView
    down: bool
    restarted: bool


def new_view(target: str) -> TargetView:
    """Make the view of a target that has not answered yet."""
    raise NotImplementedError


def grantable_slots(
    record: model.CellRecord,
    target: str,
    effective: int,
    released_by_target: dict[str, Release],
) -> tuple[tuple[str, int, int], ...]:
    """Return the slots that a target may be granted now.

    Args:
      record: The record held.
      target: The target.
      effective: The effective version.
      released_by_target: The release that each previous owner confirmed.

    Returns:
      Service, slot and fence of each, sorted.
    """
    raise NotImplementedError


def due_releases(
    record: model.CellRecord,
    target: str,
    effective: int,
    released_by_target: dict[str, Release],
    exclusive: int,
) -> tuple[DueRelease, ...]:
    """Return which previous owners to ask to release slots for a target.

    Args:
      record: The record held.
      target: The new owner.
      effective: The effective version.
      released_by_target: The release that each previous owner confirmed.
      exclusive: standing.exclusive_version; nothing is due above it.

    Returns:
      The due releases, by previous owner.
    """
    raise NotImplementedError


def next_control_step(
    view: TargetView,
    record: model.CellRecord | None,
    standing_until: float,
    effective: int,
    released_by_target: dict[str, Release],
    now: float,
) -> Step:
    """Decide what to send to a target now.

    Args:
      view: What is known of the target.
      record: The record held, None before the first.
      standing_until: The end of the host's standing.
      effective: The effective version.
      released_by_target: The release that each previous owner confirmed.
      now: The monotonic time.

    Returns:
      The step; the caller sends it at once and calls record_sent.
    """
    raise NotImplementedError


def record_sent(view: TargetView, step: Step, now: float) -> TargetView:
    """Note that a step was sent."""
    raise NotImplementedError


def record_answer(view: TargetView, answer: Answer, now: float) -> Noted:
    """Note an answer, also one that refused a grant (409)."""
    raise NotImplementedError


def record_miss(view: TargetView, now: float) -> Noted:
    """Note a time-out or a broken connection."""
    raise NotImplementedError
