"""Failure detection for the hosts of a cell record, by missing heartbeats."""

from amaranthcrank.core import model
from amaranthcrank.grant import quorum

# A restarting host is back within this time; removing it would cost two record
# versions and a new start of its ledger.
REMOVE_AFTER_S = 5.0
# Twice the host lease, so that a single late heartbeat removes no host.
SILENT_WITHOUT_MAJORITY_S = 2 * model.HOST_LEASE_S


def dispatch_hosts(state: quorum.QuorumState, now: float) -> tuple[str, ...]:
    """Return the hosts that may dispatch, in the order of the record."""
    return quorum.hosts_seen_within(state, now, model.HOST_LEASE_S)


def listening_since(
    state: quorum.QuorumState, since: float, now: float
) -> float:
    """Return the time from which missing heartbeats indicate a failure.

    A host that receives heartbeats of too few attesters to change the host
    list is isolated itself. When the isolation ends, heartbeats of the other
    hosts arrive one after another, so earlier silence must not count.

    Args:
      state: The state.
      since: The previous value. The caller sets it to now when the process
        starts and after a pause of its own.
      now: The monotonic time.

    Returns:
      The previous value, or now while too few attesters are seen.
    """
    record = state.record
    if record is None:
        return now
    needed = quorum.blocking_count(len(record.attesters))
    return since if _count_seen_attesters(state, now) >= needed else now


def hosts_to_remove(
    state: quorum.QuorumState, since: float, now: float
) -> tuple[str, ...]:
    """Return the hosts that the acting controller should remove.

    A host is removed after REMOVE_AFTER_S without a heartbeat. It is removed
    after SILENT_WITHOUT_MAJORITY_S if the attesters that are seen can block
    older versions but are no majority (one of two, two of four), because the
    cell then serves nothing until the list is shorter.

    Args:
      state: The state.
      since: The value of listening_since.
      now: The monotonic time.

    Returns:
      The silent hosts of the record. Empty while a change of the list is
      pending, and if too few attesters are seen to bring the change into
      force: an isolated host would otherwise remove all healthy hosts.
    """
    record = state.record
    if record is None or record.previous_attesters:
        return ()
    count = len(record.attesters)
    seen = _count_seen_attesters(state, now)
    if seen < quorum.blocking_count(count):
        return ()
    limit = REMOVE_AFTER_S
    if seen < quorum.majority(count):
        limit = SILENT_WITHOUT_MAJORITY_S
    silent = []
    for host in record.hosts:
        last_seen_at = max(quorum.last_seen_at(state, host, now), since)
        # A host that was just added to the record had no time to send a
        # heartbeat.
        if host not in state.previous_hosts:
            last_seen_at = max(last_seen_at, state.installed_at)
        if now - last_seen_at >= limit:
            silent.append(host)
    return tuple(silent)


def _count_seen_attesters(state: quorum.QuorumState, now: float) -> int:
    seen = 0
    for attester in state.record.attesters:
        last_seen_at = quorum.last_seen_at(state, attester, now)
        is_recent = now - last_seen_at < model.HOST_LEASE_S
        seen += is_recent or attester in state.lost
    return seen
