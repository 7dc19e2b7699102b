"""Which hosts of a record are silent long enough to act on."""

from amaranthcrank.core import model
from amaranthcrank.grant import standing

# A host that restarts is back within this time, and removing it would cost
# two versions and a new ledger start.
REMOVE_AFTER_S = 5.0
# Twice the standing lease, so that one late heartbeat removes nobody.
SILENT_WITHOUT_STANDING_S = 2 * model.STANDING_LEASE_S


def dispatch_hosts(
    state: standing.StandingState, now: float
) -> tuple[str, ...]:
    """Return the hosts that may dispatch, in the order of the record."""
    return standing.heard_within(state, now, model.STANDING_LEASE_S)


def hosts_to_remove(
    state: standing.StandingState, listening_since: float, now: float
) -> tuple[str, ...]:
    """Return the hosts that the acting controller should remove.

    Without a standing the cell serves nothing, so silent hosts are removed
    at once; this lets a two-host cell go on with one host.

    Args:
      state: The state.
      listening_since: When this process started, or when its last pause
        ended: after a pause every host seems silent.
      now: The monotonic time.

    Returns:
      Silent hosts of the record. Empty while a list change is pending, and
      where too few attesters are heard to bring the change into force: a
      host that is cut off would else remove the healthy rest.
    """
    record = state.record
    if record is None or record.previous_attesters:
        return ()
    limit = REMOVE_AFTER_S
    if standing.standing_until(state, now) < now:
        limit = SILENT_WITHOUT_STANDING_S
    silent = []
    for host in record.hosts:
        heard_at = max(standing.heard_at(state, host, now), listening_since)
        # A host that the record has just gained had no time to be heard.
        if host not in state.previous_hosts:
            heard_at = max(heard_at, state.installed_at)
        if now - heard_at >= limit:
            silent.append(host)
    left = 0
    for attester in record.attesters:
        heard_at = standing.heard_at(state, attester, now)
        recent = now - heard_at < model.STANDING_LEASE_S
        left += recent or attester in state.lost
    needed = standing.blocking_count(len(record.attesters))
    return tuple(silent) if left >= needed else ()
