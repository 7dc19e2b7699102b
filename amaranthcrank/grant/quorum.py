"""Heartbeats, promises, host lease, adoption and recovery of one host.

The hosts of a cell agree on the version of the cell record in force:

- A promise is a version below which a host attests no record any more.
- A host lease is the right to grant and to dispatch. A host holds it while a
  majority of the attesters attests its heartbeats.
- A version is adopted once so many attesters have promised it that no
  majority is left for an older version (a blocking set). It is effective
  once all host leases and grants of older versions have expired as well.
- A restarted host is recovered once it knows every version adopted before.

Every function is pure: it takes a QuorumState and returns a new one. A
daemon keeps one state for each cell in which it is a host or an attester.
"""

import typing

from amaranthcrank.core import model

NEVER = float('-inf')
FOREVER = float('inf')

# Hosts that may still hold a host lease at an older version lose it within
# HOST_LEASE_S. The grants they sent expire within GRANT_LEASE_S.
EFFECTIVE_WAIT_S = (
    model.HOST_LEASE_S + model.GRANT_LEASE_S + model.CLOCK_DRIFT_MARGIN_S
)
EXCLUSIVE_WAIT_S = model.HOST_LEASE_S + model.CLOCK_DRIFT_MARGIN_S

# Send times are kept to be matched with echoes. Sixteen cover the host lease,
# including the extra heartbeats that are sent when a promise rises.
SEND_TIMES_KEPT = 16

# Heartbeats of a joining host arrive before the record that lists it.
UNKNOWN_PEER_KEPT_S = 5.0


class Heartbeat(typing.NamedTuple):
    """One heartbeat frame from a host to one peer.

    Attributes:
      cell: The cell to which it applies.
      sender: The host that sent it.
      incarnation: A random id of the sender's process.
      promised: The version below which the sender attests no record.
      record_version: The version of the sender's record.
      recovered: Whether the sender knows every version that was adopted.
      sequence: Increases with each heartbeat of this incarnation.
      echo_incarnation: The incarnation of the last heartbeat received from
        the peer, empty if none.
      echo_sequence: The sequence of that heartbeat, 0 if none.
      attests: Whether the sender attests that heartbeat.
      effective: The highest version the sender knows to be effective.
      ticket: The highest ticket number that the sender knows.
    """

    cell: str
    sender: str
    incarnation: str
    promised: int
    record_version: int
    recovered: bool
    sequence: int
    echo_incarnation: str
    echo_sequence: int
    attests: bool
    effective: int
    ticket: int


class PeerView(typing.NamedTuple):
    """The state of one peer as known to a host.

    Attributes:
      incarnation: The peer's incarnation, empty before its first heartbeat.
      sequence: The sequence of its last heartbeat.
      promised: Its promised version.
      promised_at: When that promise was first received from this
        incarnation.
      alive_at: The send time of the last own heartbeat that it echoed: this
        incarnation was running with that promise at this time or later.
      attested_at: The send time of the last own heartbeat that it attests.
      record_version: The version of its record.
      last_seen_at: When its last heartbeat was received.
      ticket: Its highest ticket number.
      sent: The sequence and time of the last heartbeats sent to it.
    """

    incarnation: str
    sequence: int
    promised: int
    promised_at: float
    alive_at: float
    attested_at: float
    record_version: int
    last_seen_at: float
    ticket: int
    sent: tuple[tuple[int, float], ...]


NO_PEER = PeerView('', 0, 0, NEVER, NEVER, NEVER, 0, NEVER, 0, ())


class QuorumState(typing.NamedTuple):
    """The agreement state of one host in one cell.

    Attributes:
      cell: The cell.
      host: This host.
      incarnation: A random id of this process.
      sequence: The sequence of the last heartbeat created. All peers share
        one counter, so that it never decreases for a peer whose view was
        dropped.
      record: The newest known record, None before the first.
      installed_at: When it was installed.
      promised: The promised version; never decreases.
      promised_at: When it was last raised.
      recovered: Whether this incarnation knows every adopted version.
      confirmed_by: Recovered peers that echoed this incarnation.
      peer_by_host: The view of each peer.
      adoptions: Adopted versions and their adoption times, ascending.
      effective: The highest version known to be effective, from peers or
        from earlier adoptions.
      ticket: The highest ticket number received or sent.
      lost: Hosts that a ticket declares lost.
      previous_version: The version of the record before this one.
      previous_hosts: The hosts of that record.
    """

    cell: str
    host: str
    incarnation: str
    sequence: int
    record: model.CellRecord | None
    installed_at: float
    promised: int
    promised_at: float
    recovered: bool
    confirmed_by: frozenset[str]
    peer_by_host: dict[str, PeerView]
    adoptions: tuple[tuple[int, float], ...]
    effective: int
    ticket: int
    lost: frozenset[str]
    previous_version: int
    previous_hosts: tuple[str, ...]


def majority(count: int) -> int:
    """Return how many of count attesters a host lease needs."""
    return count // 2 + 1


def blocking_count(count: int) -> int:
    """Return how many attesters leave no majority at an older version."""
    return count - majority(count) + 1


def initial_state(cell: str, host: str, incarnation: str) -> QuorumState:
    """Return the state of a process that has just started.

    Args:
      cell: The cell.
      host: This host.
      incarnation: A value that no earlier process of this host used.

    Returns:
      A state without a record that attests nothing.
    """
    return QuorumState(
        cell=cell,
        host=host,
        incarnation=incarnation,
        sequence=0,
        record=None,
        installed_at=NEVER,
        promised=0,
        promised_at=NEVER,
        recovered=False,
        confirmed_by=frozenset(),
        peer_by_host={},
        adoptions=(),
        effective=0,
        ticket=0,
        lost=frozenset(),
        previous_version=0,
        previous_hosts=(),
    )


def heartbeat_for(
    state: QuorumState, peer: str, now: float, ticket: int
) -> tuple[QuorumState, Heartbeat]:
    """Create the next heartbeat for a peer.

    The caller must send it immediately, because its attestation reflects the
    state at this time.

    Args:
      state: The state.
      peer: The receiving host.
      now: The monotonic time.
      ticket: The highest ticket number that this host has applied.

    Returns:
      The new state and the heartbeat.
    """
    view = state.peer_by_host.get(peer, NO_PEER)
    sequence = state.sequence + 1
    heartbeat = Heartbeat(
        state.cell,
        state.host,
        state.incarnation,
        state.promised,
        record_version(state),
        state.recovered,
        sequence,
        view.incarnation,
        view.sequence,
        attests(state, view),
        effective_version(state, now),
        max(ticket, state.ticket),
    )
    sent = (*view.sent[1 - SEND_TIMES_KEPT :], (sequence, now))
    peer_by_host = {**state.peer_by_host, peer: view._replace(sent=sent)}
    return (
        state._replace(
            peer_by_host=peer_by_host,
            sequence=sequence,
            ticket=heartbeat.ticket,
        ),
        heartbeat,
    )


def attests(state: QuorumState, view: PeerView) -> bool:
    """Return whether the host attests the last heartbeat of a peer.

    Args:
      state: The state.
      view: The view of the peer.

    Returns:
      True if this host knows every adopted version and the peer's record is
      no older than the promise.
    """
    return state.recovered and _keeps_promise(state, view.record_version)


def receive_heartbeat(
    state: QuorumState, heartbeat: Heartbeat, now: float
) -> QuorumState:
    """Process a heartbeat of a peer.

    Args:
      state: The state.
      heartbeat: The heartbeat. It is ignored if it is for another cell or
        arrives after a later one of the same incarnation.
      now: The monotonic time.

    Returns:
      The new state. If its promise is higher than before, the caller sends
      heartbeats immediately, so that adoption does not wait for the next
      interval.
    """
    if heartbeat.cell != state.cell or heartbeat.sender == state.host:
        return state
    old = state.peer_by_host.get(heartbeat.sender, NO_PEER)
    same_incarnation = old.incarnation == heartbeat.incarnation
    if same_incarnation and heartbeat.sequence <= old.sequence:
        return state
    echoed = heartbeat.echo_incarnation == state.incarnation
    sent_at = NEVER
    if echoed:
        sent_at = _sent_at(old, heartbeat.echo_sequence)
    promise_changed = not same_incarnation or heartbeat.promised > old.promised
    attested_at = old.attested_at
    if heartbeat.attests and sent_at > attested_at:
        attested_at = sent_at
    alive_at = max(old.alive_at, sent_at) if same_incarnation else sent_at
    view = PeerView(
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.promised,
        now if promise_changed else old.promised_at,
        alive_at,
        attested_at,
        heartbeat.record_version,
        now,
        heartbeat.ticket,
        old.sent,
    )
    confirmed_by = state.confirmed_by
    if echoed and heartbeat.recovered:
        confirmed_by = confirmed_by | {heartbeat.sender}
    state = state._replace(
        peer_by_host={**state.peer_by_host, heartbeat.sender: view},
        confirmed_by=confirmed_by,
        effective=max(state.effective, heartbeat.effective),
        ticket=max(state.ticket, heartbeat.ticket),
    )
    state = _raise_promise(state, heartbeat.promised, now)
    return _update_recovery_and_adoption(state, now)


def install_record(
    state: QuorumState,
    record: model.CellRecord,
    now: float,
    from_store: bool,
) -> QuorumState:
    """Process a record from a peer, from the store or from an own write.

    Args:
      state: The state.
      record: The record; it is installed only if it is newer than the
        current one.
      now: The monotonic time.
      from_store: Whether this incarnation read it from the store or wrote it
        there.

    Returns:
      The new state.
    """
    if record.cell != state.cell:
        return state
    if from_store:
        state = state._replace(recovered=True)
    if record.version > record_version(state):
        previous = state.record
        state = state._replace(
            record=record,
            installed_at=now,
            previous_version=record_version(state),
            previous_hosts=previous.hosts if previous else (),
        )
        state = _drop_unknown_peers(state, now)
    state = _raise_promise(state, record.version, now)
    return _update_recovery_and_adoption(state, now)


def with_lost_hosts(
    state: QuorumState, lost: frozenset[str], now: float
) -> QuorumState:
    """Set the hosts that a ticket declares lost.

    A lost host counts as having promised every version, because it will
    attest nothing any more.

    Args:
      state: The state.
      lost: The ticket's lost_hosts.
      now: The monotonic time.

    Returns:
      The new state.
    """
    return _update_recovery_and_adoption(state._replace(lost=lost), now)


def host_lease_until(state: QuorumState, now: float) -> float:
    """Return the end of the host lease.

    Args:
      state: The state.
      now: The monotonic time.

    Returns:
      The time until which the host may grant and dispatch; NEVER or a time
      in the past without a lease.
    """
    record = state.record
    if record is None or state.host not in record.hosts:
        return NEVER
    # A host that knows of a newer version than its record could act on a slot
    # that has moved. It stops immediately, even if others still attest it.
    if not state.recovered or not _keeps_promise(state, record.version):
        return NEVER
    times = []
    for attester in record.attesters:
        if attester == state.host:
            times.append(now)
            continue
        times.append(state.peer_by_host.get(attester, NO_PEER).attested_at)
    times.sort(reverse=True)
    needed = majority(len(times))
    if len(times) < needed:
        return NEVER
    return times[needed - 1] + model.HOST_LEASE_S


def may_dispatch(state: QuorumState, now: float, applied_ticket: int) -> bool:
    """Return whether the host may grant and dispatch now.

    Args:
      state: The state.
      now: The monotonic time.
      applied_ticket: The ticket with which this host maps keys to slots.

    Returns:
      True if the host holds its lease and the ticket is no older than the
      one on which the record is based.
    """
    if host_lease_until(state, now) <= now:
        return False
    return applied_ticket >= state.record.planned_ticket


def adopted_version(state: QuorumState) -> int:
    """Return the highest version known to be adopted, 0 if none."""
    return state.adoptions[-1][0] if state.adoptions else 0


def effective_version(
    state: QuorumState, now: float, wait_s: float = EFFECTIVE_WAIT_S
) -> int:
    """Return the highest effective version.

    A version is effective when the wait after its adoption has passed, so
    that no grant of an older version is in force any more.

    Args:
      state: The state.
      now: The monotonic time.
      wait_s: The wait after adoption.

    Returns:
      The version, 0 if none.
    """
    effective = state.effective
    for version, adopted_at in state.adoptions:
        if version > effective and adopted_at + wait_s <= now:
            effective = version
    return effective


def exclusive_version(
    state: QuorumState, now: float, wait_s: float = EXCLUSIVE_WAIT_S
) -> int:
    """Return the highest version below which no host can send a grant.

    Grants that were sent earlier may still be in force. A release counts
    only if it was requested at this version or later: an upstream that
    restarts after an earlier release has lost it, and would accept a grant
    of a host at the older version.

    Args:
      state: The state.
      now: The monotonic time.
      wait_s: The wait after adoption if some host has not confirmed the
        version.

    Returns:
      A version, at least the effective one.
    """
    exclusive = effective_version(state, now)
    for version, adopted_at in state.adoptions:
        if version <= exclusive:
            continue
        if adopted_at + wait_s <= now or _all_previous_hosts_promised(
            state, version, adopted_at, exclusive
        ):
            exclusive = version
    return exclusive


def is_recovered(state: QuorumState) -> bool:
    """Return whether this incarnation knows every adopted version."""
    return state.recovered


def record_version(state: QuorumState) -> int:
    """Return the version of the current record, 0 without one."""
    return state.record.version if state.record else 0


def newest_record_peer(state: QuorumState) -> str | None:
    """Return the peer with the newest record.

    Args:
      state: The state.

    Returns:
      The peer from which to fetch the record, None if no record is newer
      than the own one.
    """
    best = None
    best_version = record_version(state)
    for host, view in state.peer_by_host.items():
        if view.record_version > best_version:
            best = host
            best_version = view.record_version
    return best


def hosts_seen_within(
    state: QuorumState, now: float, seconds: float
) -> tuple[str, ...]:
    """Return the hosts of the record with a recent heartbeat.

    Args:
      state: The state.
      now: The monotonic time.
      seconds: The maximum age of the last heartbeat.

    Returns:
      The hosts in the order of the record, including this host.
    """
    if state.record is None:
        return ()
    seen = []
    for host in state.record.hosts:
        view = state.peer_by_host.get(host, NO_PEER)
        if host == state.host or view.last_seen_at >= now - seconds:
            seen.append(host)
    return tuple(seen)


def last_seen_at(state: QuorumState, host: str, now: float) -> float:
    """Return when a host was last seen, now for this host itself."""
    if host == state.host:
        return now
    return state.peer_by_host.get(host, NO_PEER).last_seen_at


def acting_controller(state: QuorumState, now: float) -> str:
    """Return the first host of the record with a recent heartbeat.

    Args:
      state: The state.
      now: The monotonic time.

    Returns:
      A host, empty without a record or if no host was seen recently.
    """
    seen = hosts_seen_within(state, now, model.HOST_LEASE_S)
    return seen[0] if seen else ''


def peers(state: QuorumState) -> tuple[str, ...]:
    """Return the other hosts and attesters, which receive heartbeats."""
    record = state.record
    if record is None:
        return ()
    names = (*record.hosts, *record.attesters, *record.previous_attesters)
    return tuple(each for each in dict.fromkeys(names) if each != state.host)


def is_attester_change_in_force(state: QuorumState) -> bool:
    """Return whether the previous attesters can form no majority any more.

    Args:
      state: The state.

    Returns:
      True if no change of the attesters is pending, or if a blocking set of
      the previous attesters has promised the version of this record.
    """
    record = state.record
    if record is None:
        return False
    if not record.previous_attesters:
        return True
    since = _held_since(state, record.previous_attesters, record.version)
    return since is not None


def _keeps_promise(state: QuorumState, version: int) -> bool:
    """Return whether the promise allows a record of this version."""
    return version >= state.promised


def _sent_at(view: PeerView, sequence: int) -> float:
    for each, sent_at in reversed(view.sent):
        if each == sequence:
            return sent_at
    return NEVER


def _raise_promise(
    state: QuorumState, version: int, now: float
) -> QuorumState:
    if version <= state.promised:
        return state
    return state._replace(promised=version, promised_at=now)


def _update_recovery_and_adoption(
    state: QuorumState, now: float
) -> QuorumState:
    """Update recovery and adoption after a change of the state."""
    if not state.recovered and _is_recovery_confirmed(state):
        state = state._replace(recovered=True)
    record = state.record
    if record is None or adopted_version(state) >= record.version:
        return state
    since = adoption_time(state, record.version)
    if since is None:
        return state
    adoptions = state.adoptions
    effective = effective_version(state, now)
    adoptions = tuple(each for each in adoptions if each[0] > effective)
    return state._replace(
        adoptions=(*adoptions, (record.version, since)),
        effective=effective,
    )


def adoption_time(state: QuorumState, version: int) -> float | None:
    """Return when a version was adopted, None if it is not known to be.

    Args:
      state: The state.
      version: At most the version of the current record.

    Returns:
      The first time after the record was installed at which a blocking set
      of the attesters, and of the previous ones while a change is pending,
      had promised the version.
    """
    record = state.record
    since = state.installed_at
    for attesters in (record.attesters, record.previous_attesters):
        if not attesters:
            continue
        held = _held_since(state, attesters, version)
        if held is None:
            return None
        since = max(since, held)
    return since


def _held_since(
    state: QuorumState, attesters: tuple[str, ...], version: int
) -> float | None:
    """Return the first time at which a blocking set held a promise.

    All of the set must hold the promise at the same time. Counting each
    promise when it is received is not enough with five attesters: one may
    promise, restart and recover from three others that have not promised
    yet, and only then does a third one promise.
    """
    spans = []
    for attester in attesters:
        if attester in state.lost:
            spans.append((state.installed_at, FOREVER))
            continue
        if attester == state.host:
            if state.promised >= version:
                spans.append((state.promised_at, FOREVER))
            continue
        view = state.peer_by_host.get(attester, NO_PEER)
        if view.promised >= version and view.promised_at <= view.alive_at:
            spans.append((view.promised_at, view.alive_at))
    needed = blocking_count(len(attesters))
    for moment in sorted(begin for begin, _ in spans):
        held = [1 for begin, end in spans if begin <= moment <= end]
        if len(held) >= needed:
            return moment
    return None


def _is_recovery_confirmed(state: QuorumState) -> bool:
    """Return whether enough recovered peers echoed this incarnation.

    A blocking set and any majority of the attesters have a host in common.
    With a majority of other hosts the promise is therefore no lower than any
    version adopted before this process started. The record must have reached
    the promised version, because the attesters of the newest version count.
    """
    record = state.record
    if record is None or record.version < state.promised:
        return False
    others = [
        each
        for each in record.attesters
        if each != state.host and each in state.confirmed_by
    ]
    return len(others) >= majority(len(record.attesters))


def _all_previous_hosts_promised(
    state: QuorumState, version: int, adopted_at: float, below: int
) -> bool:
    """Return whether every host of the previous version promised this one.

    The previous version must be exclusive already, so that only its own
    hosts can send grants. Each must have been running after the adoption,
    because one that restarted before it could have acquired a host lease at
    the older version.
    """
    if (
        state.previous_version != version - 1
        or record_version(state) != version
        or below < version - 1
    ):
        return False
    for host in state.previous_hosts:
        if host == state.host or host in state.lost:
            continue
        view = state.peer_by_host.get(host, NO_PEER)
        if view.promised < version or view.alive_at < max(
            adopted_at, view.promised_at
        ):
            return False
    return True


def _drop_unknown_peers(state: QuorumState, now: float) -> QuorumState:
    """Drop views of peers outside the record that were not seen recently."""
    known = set(peers(state))
    kept = {}
    for host, view in state.peer_by_host.items():
        if host in known or view.last_seen_at > now - UNKNOWN_PEER_KEPT_S:
            kept[host] = view
    return state._replace(peer_by_host=kept)
