"""Tracks until when targets may hold keys by the grants sent.

A grant that gets no response may take effect seconds later. Its duration
counts from its arrival, and targets with slow clocks hold it longer. A grant
with a response arrived before that; one without mostly arrived at the latest
when TCP gave it up. The time after which no key is held counts from there.

A target that is stopped, or a relay, may acknowledge a grant and keep it for
longer. So it is remembered for much longer that a grant had no response.
"""

import typing

from amaranthcrank.router import clock

# A target's clock may run two per cent slow.
CLOCK_RATE_FACTOR = 1.03
# How long a call may be in transit: TCP repeats it for USER_TIMEOUT_MS, also
# after its connection was closed here.
TRANSIT_S = 1.0
# A repeated response may be taken for that to a call that is still in transit.
MARGIN_S = 0.25
# For how long a grant without a response may wait somewhere and take effect
# afterwards.
LATE_GRANT_S = 60.0


class Grant:
    """A grant that was begun.

    Attributes:
      until: When it expires at the latest, by `clock.now`.
      is_sent: Whether it was sent.
    """

    def __init__(self, hold_s: float) -> None:
        """Start before the grant is sent, with its duration."""
        self.until = 0.0
        self.is_sent = False
        self._late_until = 0.0
        self._hold_s = hold_s
        self._expect(TRANSIT_S)

    def record_sent(self) -> None:
        """Record that it is sent now, as connecting takes time."""
        self.is_sent = True
        self._late_until = clock.now() + LATE_GRANT_S
        self._expect(TRANSIT_S)

    def record_response(self) -> None:
        """Record that it has arrived, so that it expires sooner."""
        self._expect(MARGIN_S)

    def may_take_effect(self, now: float) -> bool:
        """Return whether it may take effect at a moment or later."""
        return now < max(self.until, self._late_until)

    def _expect(self, arrival_s: float) -> None:
        self.until = clock.now() + arrival_s + self._hold_s * CLOCK_RATE_FACTOR


class HoldTimes:
    """Until when targets, as `id/incarnation`, may hold keys."""

    def __init__(self) -> None:
        """Start without grants."""
        # The latest expiry of the grants with a response, by `clock.now`.
        self._answered_until_by_holder: dict[str, float] = {}
        self._pending_by_holder: dict[str, list[Grant]] = {}
        self._prior_held_until = 0.0
        self._prior_late_until = 0.0

    def assume_prior_grants(self, grant_max_s: float) -> None:
        """Forget all grants; assume the longest ones by a former controller.

        Args:
          grant_max_s: The longest duration of a grant.
        """
        self._answered_until_by_holder.clear()
        self._pending_by_holder.clear()
        self._prior_held_until = Grant(grant_max_s).until
        self._prior_late_until = clock.now() + LATE_GRANT_S

    def begin(self, holder: str, hold_s: float) -> Grant:
        """Return a grant that is to be sent, with its duration in seconds."""
        grant = Grant(hold_s)
        self._pending_by_holder.setdefault(holder, []).append(grant)
        return grant

    def finish(self, holder: str, grant: Grant, has_response: bool) -> None:
        """Record whether a grant has got a response."""
        if has_response and grant.is_sent:
            grant.record_response()
            known_until = self._answered_until_by_holder.get(holder, 0.0)
            self._answered_until_by_holder[holder] = max(
                known_until, grant.until
            )
        if not grant.is_sent:
            grant.until = 0.0
        now = clock.now()
        self._pending_by_holder[holder] = [
            each
            for each in self._pending(holder)
            if each.may_take_effect(now)
            and not (each is grant and has_response)
        ]

    def _pending(self, holder: str) -> tuple[Grant, ...]:
        return tuple(self._pending_by_holder.get(holder, ()))

    @property
    def has_unknown_grants(self) -> bool:
        """Whether grants by an earlier controller may not have ended."""
        return clock.now() < self._prior_held_until

    def held_until(self, holder: str) -> float:
        """Return until when a holder may hold keys by the grants sent."""
        return self.hold_end(holder)()

    def may_hold(self, holder: str) -> bool:
        """Return whether a holder may hold keys by the grants sent so far."""
        return clock.now() < self.held_until(holder)

    def hold_end(self, holder: str) -> typing.Callable[[], float]:
        """Return a function that returns when the grants begun so far expire.

        The time moves while one of these grants still waits to be sent, for
        example for a connection, or for a response. Grants that begin later do
        not count.
        """
        known_until = max(
            self._prior_held_until,
            self._answered_until_by_holder.get(holder, 0.0),
        )
        pending = self._pending(holder)

        def end() -> float:
            return max([known_until, *(grant.until for grant in pending)])

        return end

    def may_take_effect_late(self, holder: str) -> bool:
        """Return whether a grant to a holder may still take effect.

        A new controller does not know which grants of its predecessor had no
        response.
        """
        now = clock.now()
        if now < self._prior_late_until:
            return True
        return any(
            grant.may_take_effect(now) for grant in self._pending(holder)
        )

    def has_no_pending_grant(self, holder: str) -> bool:
        """Return whether each grant begun here has a response or is over."""
        now = clock.now()
        return all(grant.until <= now for grant in self._pending(holder))
