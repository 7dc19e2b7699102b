"""Decides which probe, grant or release to send to each target."""

import typing

from amaranthcrank.core import model
from amaranthcrank.record import cell_record

NEVER = float('-inf')
# A single lost response is common. Two in a row take 0.4 s of the 2 s limit on
# failover.
MISSES_UNTIL_DOWN = 2
PROBE = 'probe'
GRANT = 'grant'
NOTHING = 'nothing'


class TargetView(typing.NamedTuple):
    """The state of one target as known to a host.

    Attributes:
      target: The id of the target.
      incarnation: Its incarnation, empty before the first response.
      challenge: The last challenge it issued, empty before the first response.
      challenge_at: When the request that returned the challenge was sent.
      version: The highest record version that the target has received.
      draining: Whether the target reports that it is draining.
      in_flight: How many requests it is running.
      misses: Consecutive probes and grants without a response.
      sent_at: When the last probe or grant was sent.
      waiting: Whether its response is outstanding.
      last_sent_slots: The slots of the last grant sent, None after a refusal
        or a miss.
      retry: Whether the next step is due immediately.
      refused: Whether the last response refused a grant.
    """

    target: str
    incarnation: str
    challenge: str
    challenge_at: float
    version: int
    draining: bool
    in_flight: int
    misses: int
    sent_at: float
    waiting: bool
    last_sent_slots: tuple[tuple[str, int, int], ...] | None
    retry: bool
    refused: bool = False


class Release(typing.NamedTuple):
    """A release that a previous owner confirmed.

    Attributes:
      version: The record version of the release.
      slots: The slots released, without requests in flight.
    """

    version: int
    slots: frozenset[model.SlotId]


class DueRelease(typing.NamedTuple):
    """A release to request from a previous owner.

    Attributes:
      target: The previous owner.
      version: The version of the record.
      slots: The slots to release.
    """

    target: str
    version: int
    slots: tuple[model.SlotId, ...]


class TargetResponse(typing.NamedTuple):
    """The response of a target to a probe or grant.

    Attributes:
      incarnation: The incarnation of the target.
      challenge: The challenge to echo in the next grant.
      version: The highest record version that the target has received.
      draining: Whether the target reports that it is draining.
      in_flight: How many requests it is running.
      accepted: False if it refused a grant.
    """

    incarnation: str
    challenge: str
    version: int
    draining: bool
    in_flight: int
    accepted: bool = True


class Step(typing.NamedTuple):
    """The message to send to a target.

    Attributes:
      kind: PROBE, GRANT or NOTHING.
      incarnation: The incarnation to which a grant applies.
      challenge: The challenge to echo in a grant.
      version: The version of the record.
      slots: Service, slot and fence of each slot to grant.
    """

    kind: str
    incarnation: str = ''
    challenge: str = ''
    version: int = 0
    slots: tuple[tuple[str, int, int], ...] = ()


class ViewUpdate(typing.NamedTuple):
    """The result of recording a response or a miss.

    Attributes:
      view: The new view.
      down: Whether the target is considered down.
      restarted: Whether it responded with a new incarnation.
    """

    view: TargetView
    down: bool
    restarted: bool


def new_view(target: str) -> TargetView:
    """Return the view of a target that has not responded yet."""
    return TargetView(
        target=target,
        incarnation='',
        challenge='',
        challenge_at=NEVER,
        version=0,
        draining=False,
        in_flight=0,
        misses=0,
        sent_at=NEVER,
        waiting=False,
        last_sent_slots=None,
        retry=False,
    )


def grantable_slots(
    record: model.CellRecord,
    target: str,
    effective: int,
    released_by_target: dict[str, Release],
) -> tuple[tuple[str, int, int], ...]:
    """Return the slots that a target may be granted now.

    Args:
      record: The current record.
      target: The target.
      effective: The effective version.
      released_by_target: The release that each previous owner confirmed.

    Returns:
      Service, slot and fence of each slot, sorted.
    """
    slots = []
    for slot_id, assignment in record.assignment_by_slot.items():
        if assignment.target != target:
            continue
        if not _is_grantable(
            slot_id, assignment, effective, released_by_target
        ):
            continue
        slots.append((slot_id.service, slot_id.slot, assignment.fence))
    return tuple(sorted(slots))


def due_releases(
    record: model.CellRecord,
    target: str,
    effective: int,
    released_by_target: dict[str, Release],
    exclusive: int,
) -> tuple[DueRelease, ...]:
    """Return the releases that a target needs from previous owners.

    Args:
      record: The current record.
      target: The new owner.
      effective: The effective version.
      released_by_target: The release that each previous owner confirmed.
      exclusive: The result of quorum.exclusive_version. A slot with a
        higher fence needs no release yet.

    Returns:
      One release for each previous owner, sorted by owner. The caller must
      ask only owners that check fences; slots of other owners become
      grantable when their version is effective.
    """
    slots_by_owner: dict[str, list[model.SlotId]] = {}
    for slot_id, assignment in record.assignment_by_slot.items():
        if assignment.target != target or assignment.fence > exclusive:
            continue
        if assignment.previous_target == cell_record.UNRESOLVED:
            continue
        if _is_grantable(slot_id, assignment, effective, released_by_target):
            continue
        owner = assignment.previous_target
        slots_by_owner.setdefault(owner, []).append(slot_id)
    return tuple(
        DueRelease(owner, record.version, tuple(sorted(slots)))
        for owner, slots in sorted(slots_by_owner.items())
    )


def with_release(
    released_by_target: dict[str, Release],
    target: str,
    version: int,
    slots: tuple[model.SlotId, ...],
) -> dict[str, Release]:
    """Record that a target confirmed a release.

    Args:
      released_by_target: The releases confirmed so far.
      target: The target that confirmed.
      version: The version of the release that was requested.
      slots: The slots released, without those that have requests in flight.

    Returns:
      The new releases. A release at a higher version replaces the earlier
      one, because the target may have been granted its slots in between.
    """
    old = released_by_target.get(target, Release(0, frozenset()))
    if version < old.version:
        return released_by_target
    released = frozenset(slots)
    if version == old.version:
        released = released | old.slots
    return {**released_by_target, target: Release(version, released)}


def next_control_step(
    view: TargetView,
    record: model.CellRecord | None,
    host_lease_until: float,
    effective: int,
    released_by_target: dict[str, Release],
    now: float,
) -> Step:
    """Return the next message to a target.

    Args:
      view: The view of the target.
      record: The current record, None before the first.
      host_lease_until: The end of the host lease.
      effective: The effective version.
      released_by_target: The release that each previous owner confirmed.
      now: The monotonic time.

    Returns:
      The step. The caller sends it immediately and calls record_sent.
    """
    if record is None:
        return step_for_slots(view, 0, (), host_lease_until, now)
    slots = grantable_slots(record, view.target, effective, released_by_target)
    return step_for_slots(view, record.version, slots, host_lease_until, now)


def step_for_slots(
    view: TargetView,
    version: int,
    slots: tuple[tuple[str, int, int], ...],
    host_lease_until: float,
    now: float,
) -> Step:
    """Return the next message to a target whose grantable slots are known.

    Args:
      view: The view of the target.
      version: The version of the current record, 0 before the first.
      slots: The result of grantable_slots for the target.
      host_lease_until: The end of the host lease.
      now: The monotonic time.

    Returns:
      The step.
    """
    if view.waiting:
        return Step(NOTHING)
    due = view.retry or now - view.sent_at >= model.RENEWAL_INTERVAL_S
    may_grant = (
        version > 0
        and host_lease_until > now
        and view.challenge != ''
        and now - view.challenge_at < model.GRANT_LEASE_S
        and version >= view.version
    )
    if not may_grant:
        return Step(PROBE) if due else Step(NOTHING)
    # After a refusal or a miss the next grant waits until it is due.
    # Otherwise a target that refuses immediately would get grants without a
    # pause.
    if not due and (
        view.last_sent_slots is None or slots == view.last_sent_slots
    ):
        return Step(NOTHING)
    return Step(GRANT, view.incarnation, view.challenge, version, slots)


def record_sent(view: TargetView, step: Step, now: float) -> TargetView:
    """Record that a step was sent.

    Args:
      view: The view of the target.
      step: The step sent.
      now: The monotonic time.

    Returns:
      The new view. Nothing more is sent until a response or a miss is
      recorded.
    """
    if step.kind == NOTHING:
        return view
    last_sent_slots = (
        step.slots if step.kind == GRANT else view.last_sent_slots
    )
    return view._replace(
        sent_at=now, waiting=True, last_sent_slots=last_sent_slots, retry=False
    )


def record_response(
    view: TargetView, response: TargetResponse, now: float
) -> ViewUpdate:
    """Record a response, including the refusal of a grant (409).

    Args:
      view: The view after record_sent.
      response: The response.
      now: The monotonic time.

    Returns:
      The new view. After a refusal or with a new incarnation, the next grant
      is due immediately, because the response contains the values it needs.
    """
    restarted = view.incarnation not in ('', response.incarnation)
    retry = not response.accepted or view.incarnation != response.incarnation
    retry = retry or view.misses > 0
    # After two refusals in a row the next grant waits for the interval.
    # Otherwise two hosts that grant to the same target would cause each
    # other's refusals and retry without a pause.
    retry = retry and (not view.refused or restarted)
    view = view._replace(
        incarnation=response.incarnation,
        challenge=response.challenge,
        challenge_at=view.sent_at,
        version=response.version,
        draining=response.draining,
        in_flight=response.in_flight,
        misses=0,
        waiting=False,
        last_sent_slots=view.last_sent_slots if response.accepted else None,
        retry=retry,
        refused=not response.accepted,
    )
    return ViewUpdate(view, False, restarted)


def record_miss(view: TargetView, now: float) -> ViewUpdate:
    """Record a time-out or a broken connection.

    Args:
      view: The view after record_sent.
      now: The monotonic time.

    Returns:
      The new view. The target is down after two misses in a row. After the
      first one the next probe or grant is due immediately.
    """
    misses = view.misses + 1
    view = view._replace(
        misses=misses,
        waiting=False,
        last_sent_slots=None,
        retry=misses < MISSES_UNTIL_DOWN,
    )
    return ViewUpdate(view, misses >= MISSES_UNTIL_DOWN, False)


def _is_grantable(
    slot_id: model.SlotId,
    assignment: model.Assignment,
    effective: int,
    released_by_target: dict[str, Release],
) -> bool:
    if assignment.fence <= effective:
        return True
    # An empty previous owner means that no target of this cell held the
    # slot: the cell is new, or it takes the slot from another cell, which
    # has dropped the slot, waited and raised settled_ticket. Otherwise
    # with_assignments leaves the field empty only if all earlier versions
    # are effective, or if the owner stays and gains no key, so no other
    # target of this cell can hold a grant.
    if not assignment.previous_target:
        return True
    release = released_by_target.get(assignment.previous_target)
    return (
        release is not None
        and release.version >= assignment.fence
        and slot_id in release.slots
    )
