"""Heartbeats, promises, standing, adoption and recovery of one host.

Every function is pure: it takes a QuorumState and gives a new one. A
daemon keeps one state for each cell in which it is a host or an attester.
"""

import typing

from amaranthcrank.core import model

NEVER = float('-inf')
FOREVER = float('inf')

# The hosts that may still hold a standing at an older version lose it within
# the standing lease, and the grants they sent run out within the grant lease.
EFFECTIVE_WAIT_S = (
    model.HOST_LEASE_S + model.GRANT_LEASE_S + model.CLOCK_DRIFT_MARGIN_S
)
EXCLUSIVE_WAIT_S = model.HOST_LEASE_S + model.CLOCK_DRIFT_MARGIN_S

# Send times are kept for echoes. Sixteen cover the standing lease with room
# for the extra heartbeats that are sent when a promise rises.
SEND_TIMES_KEPT = 16

# A host that joins is heard before the record that names it arrives.
UNKNOWN_PEER_KEPT_S = 5.0


class Heartbeat(typing.NamedTuple):
    """One heartbeat frame from a host to one peer.

    Attributes:
      cell: The cell it is about.
      sender: The host that sent it.
      incarnation: Random at the start of the sender's process.
      promised: The sender attests no record version below this.
      record_version: The version of the record that the sender holds.
      recovered: Whether the sender knows every version that was adopted.
      sequence: Grows with each heartbeat of this incarnation.
      echo_incarnation: The incarnation of the last heartbeat heard from the
        peer, empty if none.
      echo_sequence: Its sequence, 0 if none.
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
    """What a host knows of one peer.

    Attributes:
      incarnation: The peer's incarnation, empty before its first heartbeat.
      sequence: The sequence of its last heartbeat.
      promised: Its promised version.
      promised_at: When that promise was first heard from this incarnation.
      alive_at: A time at which this incarnation was certainly running with
        that promise, or earlier: the send time of the heartbeat it echoed.
      attested_at: The send time of the last own heartbeat that it attests.
      record_version: The version of its record.
      last_seen_at: When it was last heard.
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
      incarnation: Random at process start.
      sequence: The sequence of the last heartbeat made. One counter serves
        all peers, so that it never falls for a peer that was forgotten.
      record: The newest record held, None before the first.
      installed_at: When it was installed.
      promised: The promised version; never falls.
      promised_at: When it was last raised.
      recovered: Whether this incarnation knows every adopted version.
      confirmed_by: Recovered peers that echoed this incarnation.
      peer_by_host: What is known of each peer.
      adoptions: Versions adopted and when, ascending.
      effective: The highest version a peer told to be effective.
      ticket: The highest ticket number heard or sent.
      lost: Hosts that a ticket declares lost.
      previous_version: The version of the record held before this one.
      previous_hosts: Its hosts.
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
    """Return how many of count attesters a standing needs."""
    return count // 2 + 1


def blocking_count(count: int) -> int:
    """Return how many attesters leave no majority at an older version."""
    return count - majority(count) + 1


def initial_state(cell: str, host: str, incarnation: str) -> QuorumState:
    """Make the state of a process that has just started.

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
    """Make the next heartbeat for a peer.

    It is to be sent at once: the attestation in it holds for this moment.

    Args:
      state: The state.
      peer: The host it goes to.
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
    """Tell whether the host attests the last heartbeat of a peer.

    Args:
      state: The state.
      view: The peer's view.

    Returns:
      True if this host knows every adopted version and the peer's record is
      no older than the promise.
    """
    return state.recovered and _keeps_promise(state, view.record_version)


def receive_heartbeat(
    state: QuorumState, heartbeat: Heartbeat, now: float
) -> QuorumState:
    """Take in a heartbeat of a peer.

    Args:
      state: The state.
      heartbeat: The heartbeat; one for another cell or one that was
        overtaken by a later one changes nothing.
      now: The monotonic time.

    Returns:
      The new state. If its promise is higher than before, the caller sends
      heartbeats at once, so that adoption does not wait for the next round.
    """
    if heartbeat.cell != state.cell or heartbeat.sender == state.host:
        return state
    old = state.peer_by_host.get(heartbeat.sender, NO_PEER)
    same = old.incarnation == heartbeat.incarnation
    if same and heartbeat.sequence <= old.sequence:
        return state
    echoed = heartbeat.echo_incarnation == state.incarnation
    sent_at = NEVER
    if echoed:
        sent_at = _sent_at(old, heartbeat.echo_sequence)
    risen = not same or heartbeat.promised > old.promised
    attested_at = old.attested_at
    if heartbeat.attests and sent_at > attested_at:
        attested_at = sent_at
    alive_at = max(old.alive_at, sent_at) if same else sent_at
    view = PeerView(
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.promised,
        now if risen else old.promised_at,
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
    """Take in a record from a peer, the store or an own write.

    Args:
      state: The state.
      record: The record; an older one than the one held is not installed.
      now: The monotonic time.
      from_store: Whether the store gave it, in this incarnation, in answer
        to a read or as the outcome of an own write.

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
    """Take in the hosts that a ticket declares lost.

    A lost host counts as one that promised everything, because it will
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
    """Return the time up to which the host may grant and send work.

    Args:
      state: The state.
      now: The monotonic time.

    Returns:
      A time; NEVER or a time in the past when there is no standing.
    """
    record = state.record
    if record is None or state.host not in record.hosts:
        return NEVER
    # A host that knows its record to be old could act on a slot that has
    # moved, so it stops at once, also where others still attest it.
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
    """Tell whether the host may grant and send work now.

    Args:
      state: The state.
      now: The monotonic time.
      applied_ticket: The ticket by which this host maps keys to slots.

    Returns:
      True with a standing and no older ticket than the record follows.
    """
    if host_lease_until(state, now) <= now:
        return False
    return applied_ticket >= state.record.planned_ticket


def adopted_version(state: QuorumState) -> int:
    """Return the highest version this host saw adopted, 0 if none."""
    return state.adoptions[-1][0] if state.adoptions else 0


def effective_version(
    state: QuorumState, now: float, wait_s: float = EFFECTIVE_WAIT_S
) -> int:
    """Return the highest version that is adopted and waited for.

    Args:
      state: The state.
      now: The monotonic time.
      wait_s: The wait after adoption.

    Returns:
      A version at which no grant of an older version is in force any more.
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
    only if it was asked for at this version or later: an upstream that
    restarts after an earlier release has forgotten it, and would accept a
    grant of a host at the older version.

    Args:
      state: The state.
      now: The monotonic time.
      wait_s: The wait after adoption when not every host was heard.

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
    """Tell whether this incarnation knows every version once adopted."""
    return state.recovered


def record_version(state: QuorumState) -> int:
    """Return the version of the record held, 0 without one."""
    return state.record.version if state.record else 0


def newest_record_peer(state: QuorumState) -> str | None:
    """Return the peer to ask for its record.

    Args:
      state: The state.

    Returns:
      The peer with the newest record, None if none is newer than the own.
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
    """Return the hosts of the record heard from, with this host.

    Args:
      state: The state.
      now: The monotonic time.
      seconds: How long ago a host may have been heard.

    Returns:
      Hosts in the order of the record.
    """
    if state.record is None:
        return ()
    heard = []
    for host in state.record.hosts:
        view = state.peer_by_host.get(host, NO_PEER)
        if host == state.host or view.last_seen_at >= now - seconds:
            heard.append(host)
    return tuple(heard)


def last_seen_at(state: QuorumState, host: str, now: float) -> float:
    """Return when a host was last heard, now for this host itself."""
    if host == state.host:
        return now
    return state.peer_by_host.get(host, NO_PEER).last_seen_at


def acting_controller(state: QuorumState, now: float) -> str:
    """Return the first host of the record that is heard from.

    Args:
      state: The state.
      now: The monotonic time.

    Returns:
      A host, empty without a record or when none is heard.
    """
    heard = hosts_seen_within(state, now, model.HOST_LEASE_S)
    return heard[0] if heard else ''


def peers(state: QuorumState) -> tuple[str, ...]:
    """Return the hosts and attesters that heartbeats go to, without self."""
    record = state.record
    if record is None:
        return ()
    names = (*record.hosts, *record.attesters, *record.previous_attesters)
    return tuple(each for each in dict.fromkeys(names) if each != state.host)


def list_change_in_force(state: QuorumState) -> bool:
    """Tell whether no majority of the previous list can form any more.

    Args:
      state: The state.

    Returns:
      True if no change of the attesters is pending, or a blocking set of the
      previous list has promised this record's version.
    """
    record = state.record
    if record is None:
        return False
    if not record.previous_attesters:
        return True
    since = _held_since(state, record.previous_attesters, record.version)
    return since is not None


def _keeps_promise(state: QuorumState, version: int) -> bool:
    """Tell whether a standing at this version is still allowed."""
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
    """Note recovery and adoption where what was heard allows it."""
    if not state.recovered and _is_recovery_confirmed(state):
        state = state._replace(recovered=True)
    record = state.record
    if record is None or adopted_version(state) >= record.version:
        return state
    since = adoption_time(state, record.version)
    if since is None:
        return state
    kept = state.adoptions
    done = effective_version(state, now)
    kept = tuple(each for each in kept if each[0] > done)
    return state._replace(
        adoptions=(*kept, (record.version, since)),
        effective=done,
    )


def adoption_time(state: QuorumState, version: int) -> float | None:
    """Return when a version was adopted, None if that is not known.

    Args:
      state: The state.
      version: At most the version of the record held.

    Returns:
      The first moment after the record was installed at which a blocking set
      of the attesters, and of the previous ones while a change is pending,
      had promised it.
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
    """Return the first moment at which a blocking set held a promise.

    The promises must be held at one moment. Counting each as it is heard is
    not enough with five attesters: one may promise, restart, recover from
    three others that have not promised yet, and only then a third promises.
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
    """Tell whether enough recovered peers were heard in this incarnation.

    A blocking set and any q others have a host in common, so the promise is
    then no lower than any version adopted before this process started. The
    record must have caught up with the promise, because the list of
    attesters that counts is the one of the newest version.
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
    """Tell whether every host of the version before has promised this one.

    The version before must be exclusive already, so that only its own hosts
    can send grants. Each must have been running after the adoption: one that
    restarted earlier could have gained a standing at the older version.
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
    """Drop peers that left the record, unless they were heard just now."""
    known = set(peers(state))
    kept = {}
    for host, view in state.peer_by_host.items():
        if host in known or view.last_seen_at > now - UNKNOWN_PEER_KEPT_S:
            kept[host] = view
    return state._replace(peer_by_host=kept)
