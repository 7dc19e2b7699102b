"""Logs and counts what decides which target holds which keys.

With the lines of all hosts, the grants of one controller can be compared with
the moves of the next: which grants had no response, and what showed that a
former owner no longer held its keys.
"""

from amaranthcrank.router import event_log
from amaranthcrank.router import metrics
from amaranthcrank.router import model

# What shows that a former owner holds a range no longer.
RELEASED = 'released'
RESTARTED = 'restarted'
REPLACED = 'replaced'
EXPIRED = 'expired'


class OwnershipEvents:
    """Writes the lines and counters of one host's grants and releases."""

    def __init__(
        self, log: event_log.EventLog, registry: metrics.Registry
    ) -> None:
        """Write to a log and a registry."""
        self._log = log
        self._registry = registry

    def grant_unanswered(
        self,
        holder: str,
        key_range: model.KeyRange,
        hold_s: float,
        request_id: str,
    ) -> None:
        """Record that a grant was sent and got no clear response.

        Args:
          holder: The target, as `id/incarnation`.
          key_range: The keys, with their fencing token.
          hold_s: The duration of the grant.
          request_id: The id that the call carried.
        """
        self._registry.add('grants_unanswered')
        self._log.event(
            'grant_unanswered',
            holder=holder,
            keys=(key_range.first, key_range.last),
            fence=key_range.fence,
            hold_s=round(hold_s, 2),
            id=request_id,
        )

    def grant_withheld(self, holder: str, request_id: str) -> None:
        """Record that a grant was not sent, as its target read nothing.

        Args:
          holder: The target, as `id/incarnation`.
          request_id: The id of the call that it did not respond to.
        """
        self._registry.add('grants_withheld')
        self._log.event('grant_withheld', holder=holder, id=request_id)

    def release_unanswered(
        self,
        holder: str,
        key_range: tuple[int, int],
        fence: int,
        result: str,
        request_id: str,
    ) -> None:
        """Record that a target did not confirm a release.

        Args:
          holder: The target, as `id/incarnation`.
          key_range: The first and the last key.
          fence: The fencing token of the call.
          result: What the call returned, as in `key_calls`.
          request_id: The id that the call carried.
        """
        self._registry.add('releases_unanswered')
        self._log.event(
            'release_unanswered',
            holder=holder,
            keys=key_range,
            fence=fence,
            result=result,
            id=request_id,
        )

    def keys_reclaimed(
        self,
        former: str,
        key_range: model.KeyRange,
        evidence: str,
        unknown_grants: bool,
        unanswered_grants: bool,
    ) -> None:
        """Record that a former owner no longer holds a range.

        Args:
          former: The former owner, as `id/incarnation`.
          key_range: The keys, with the token of this release.
          evidence: RELEASED, RESTARTED, REPLACED or EXPIRED.
          unknown_grants: Whether grants by an earlier controller may not have
            ended yet.
          unanswered_grants: Whether grants by this host had no response when
            it began to reclaim the range.
        """
        self._registry.add(f'keys_reclaimed_{evidence}')
        self._log.event(
            'keys_reclaimed',
            former=former,
            keys=(key_range.first, key_range.last),
            fence=key_range.fence,
            evidence=evidence,
            unknown_grants=unknown_grants,
            unanswered_grants=unanswered_grants,
        )

    def not_fenced_off(
        self, former: str, key_range: model.KeyRange, result: str
    ) -> None:
        """Record that a former owner may still take an earlier grant.

        Args:
          former: The former owner, as `id/incarnation`.
          key_range: The keys, with the token that it should have seen.
          result: What the call that shows it the token returned.
        """
        self._registry.add('not_fenced_off')
        self._log.event(
            'not_fenced_off',
            former=former,
            keys=(key_range.first, key_range.last),
            fence=key_range.fence,
            result=result,
        )

    def hold_unsettled(self, hold: model.UnsettledHold) -> None:
        """Record that a former owner may take keys again."""
        self._registry.add('holds_unsettled')
        self._log.event(
            'hold_unsettled',
            former=hold.holder,
            keys=(hold.first, hold.last),
            fence=hold.fence,
        )

    def holds_settled(self, holder: str, reason: str) -> None:
        """Record that a former owner no longer takes keys again.

        Args:
          holder: The former owner, as `id/incarnation`.
          reason: RELEASED, REPLACED or EXPIRED (it was not reached for as long
            as a call may wait somewhere).
        """
        self._registry.add(f'holds_settled_{reason}')
        self._log.event('holds_settled', former=holder, reason=reason)

    def settling_failed(self, holder: str, error: BaseException) -> None:
        """Record a fault of the program while holds were settled."""
        self._registry.add('settling_failed')
        self._log.event('settling_failed', former=holder, error=repr(error))

    def map_inherited(
        self,
        key_map: model.KeyMap,
        era: int,
        restores: int,
        wait_s: float,
    ) -> None:
        """Record with which map a controller begins.

        Args:
          key_map: The map.
          era: The present era of the store.
          restores: How many restores its tokens were raised for; 0 if the map
            was used as it is.
          wait_s: For how long no keys are moved, as grants by forgotten
            controllers may run, seconds.
        """
        if restores:
            self._registry.add('maps_recovered')
        self._log.event(
            'map_inherited',
            service=key_map.service,
            fence=key_map.fence,
            revision=key_map.revision,
            term=key_map.term,
            written_in_era=key_map.era,
            era=era,
            restores=restores,
            wait_s=round(wait_s, 2),
            ranges=len(key_map.ranges),
            moving=sum(part.moving for part in key_map.ranges),
            unsettled=len(key_map.unsettled),
        )

    def token_superseded(self, key_range: model.KeyRange) -> None:
        """Record that a target has seen a higher token than its range has."""
        self._registry.add('tokens_superseded')
        self._log.event(
            'token_superseded',
            holder=key_range.holder,
            keys=(key_range.first, key_range.last),
            fence=key_range.fence,
        )

    def keys_granted(self, key_range: model.KeyRange) -> None:
        """Record that the new owner of a moved range was granted it."""
        self._registry.add('moves_completed')
        self._log.event(
            'keys_granted',
            holder=key_range.holder,
            keys=(key_range.first, key_range.last),
            fence=key_range.fence,
        )
