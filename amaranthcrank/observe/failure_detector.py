"""Which hosts of a record are silent long enough to act on."""

from amaranthcrank.core import model
from amaranthcrank.grant import standing

# A host that restarts is back within this time, and removing it would cost
# two versions and a new ledger start.
REMOVE_AFTER_S = 5.0


def dispatch_hosts(
    state: standing.StandingState, now: float
) -> tuple[str, ...]:
    """Return the hosts that may dispatch, in the order of the record."""
    return standing.heard_within(state, now, model.STANDING_LEASE_S)


def hosts_to_remove(
    state: standing.StandingState, started_at: float, now: float
) -> tuple[str, ...]:
    """Return the hosts that the acting controller should remove.

    Without a standing the cell serves nothing, so silent hosts are removed
    at once; this lets a two-host cell go on with one host.

    Args:
      state: The state.
      started_at: When this host started to listen.
      now: The monotonic time.

    Returns:
      Silent hosts of the record, empty while a list change is pending.
    """
    record = state.record
    if record is None or record.previous_attesters:
        return ()
    # A record just installed may name hosts that had no time to be heard.
    listening_since = max(started_at, state.installed_at)
    limit = REMOVE_AFTER_S
    if standing.standing_until(state, now) < now:
        limit = 2 * model.STANDING_LEASE_S
    if now - listening_since < limit:
        return ()
    heard = standing.heard_within(state, now, limit)
    return tuple(each for each in record.hosts if each not in heard)
