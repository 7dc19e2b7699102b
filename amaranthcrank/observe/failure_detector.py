"""Which hosts of a record are silent long enough to act on."""

from amaranthcrank.core import model
from amaranthcrank.grant import quorum

# A host that restarts is back within this time, and removing it would cost
# two versions and a new ledger start.
REMOVE_AFTER_S = 5.0
# Twice the host lease, so that one late heartbeat removes nobody.
SILENT_WITHOUT_MAJORITY_S = 2 * model.HOST_LEASE_S


def dispatch_hosts(state: quorum.QuorumState, now: float) -> tuple[str, ...]:
    """Return the hosts that may dispatch, in the order of the record."""
    return quorum.hosts_seen_within(state, now, model.HOST_LEASE_S)


def listening_since(
    state: quorum.QuorumState, since: float, now: float
) -> float:
    """Return since when silence of a host says something about that host.

    A host that hears too few attesters to change the list is cut off
    itself, and it hears the others one after another when the cut ends.

    Args:
      state: The state.
      since: The value before. The caller sets it to now when the process
        starts and after a pause of its own.
      now: The monotonic time.

    Returns:
      The value before, or now while too few attesters are heard.
    """
    record = state.record
    if record is None:
        return now
    needed = quorum.blocking_count(len(record.attesters))
    return since if _attesters_heard(state, now) >= needed else now


def hosts_to_remove(
    state: quorum.QuorumState, since: float, now: float
) -> tuple[str, ...]:
    """Return the hosts that the acting controller should remove.

    A host is removed after REMOVE_AFTER_S. It is removed earlier where the
    attesters heard block older versions but are no majority (one of two, two
    of four): the cell then serves nothing until the list is shorter.

    Args:
      state: The state.
      since: The value of listening_since.
      now: The monotonic time.

    Returns:
      Silent hosts of the record. Empty while a list change is pending, and
      where too few attesters are heard to bring the change into force: a
      host that is cut off would else remove the healthy rest.
    """
    record = state.record
    if record is None or record.previous_attesters:
        return ()
    count = len(record.attesters)
    heard = _attesters_heard(state, now)
    if heard < quorum.blocking_count(count):
        return ()
    limit = REMOVE_AFTER_S
    if heard < quorum.majority(count):
        limit = SILENT_WITHOUT_MAJORITY_S
    silent = []
    for host in record.hosts:
        heard_at = max(quorum.last_seen_at(state, host, now), since)
        # A host that the record has just gained had no time to be heard.
        if host not in state.previous_hosts:
            heard_at = max(heard_at, state.installed_at)
        if now - heard_at >= limit:
            silent.append(host)
    return tuple(silent)


def _attesters_heard(state: quorum.QuorumState, now: float) -> int:
    heard = 0
    for attester in state.record.attesters:
        heard_at = quorum.last_seen_at(state, attester, now)
        recent = now - heard_at < model.HOST_LEASE_S
        heard += recent or attester in state.lost
    return heard
