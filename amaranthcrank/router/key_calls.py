"""Gives keys to targets and takes them back, and knows who may hold what.

A grant without an answer may take effect seconds later, but its lease counts
from its arrival: after the length of the last grant sent, no key is held.
"""

import typing
import uuid

from amaranthcrank.platform import grants
from amaranthcrank.platform import names
from amaranthcrank.router import clock
from amaranthcrank.router import connection_pool
from amaranthcrank.router import entry_reads
from amaranthcrank.router import event_log
from amaranthcrank.router import http_client
from amaranthcrank.router import model

CONNECT_TIMEOUT_S = 0.4
GRANT_TIMEOUT_S = 0.8
# What a target answers to a call that names another.
WRONG_TARGET = 421
# A target answers a release when the work on its keys has ended.
RELEASE_TIMEOUT_S = 4.0
# A target's clock may run two per cent slow, and a grant takes its way.
CLOCK_RATE_FACTOR = 1.03
MARGIN_S = 0.25

GRANTED = 'granted'
REJECTED = 'rejected'
REFUSED = 'refused'
UNANSWERED = 'unanswered'
RELEASED = 'released'
# Another server listens at the address now.
ELSEWHERE = 'elsewhere'


# Awaited before a call is sent, and told whether the connection is new.
_BeforeSend = typing.Callable[[bool], typing.Awaitable[None]]


class _RestartedError(Exception):
    """The target is no longer the incarnation that the grant is for."""


class _PendingGrant:
    """A grant without an answer.

    Attributes:
      until: When it ends, by `clock.now`.
    """

    def __init__(self) -> None:
        self.until = 0.0


class KeyCalls:
    """The calls to targets, and until when each may hold keys.

    Attributes:
      held_until_by_holder: The latest end of any grant, by
        `id/incarnation`, by `clock.now`.
    """

    def __init__(
        self,
        pool: connection_pool.Pool,
        log: event_log.EventLog,
        has_restarted: entry_reads.HolderCheck,
    ) -> None:
        """Call over a pool of connections.

        Args:
          pool: The connections, shared with requests.
          log: Takes what is not as expected.
          has_restarted: Asked before a grant goes out on a new connection,
            which may lead to another incarnation than the ones before.
        """
        self.held_until_by_holder: dict[str, float] = {}
        self._pending_by_holder: dict[str, list[_PendingGrant]] = {}
        self._prior_held_until = 0.0
        self._pool = pool
        self._log = log
        self._has_restarted = has_restarted

    def assume_prior_grants(self, grant_max_s: float) -> None:
        """Assume the longest grants of whoever had the lease before."""
        self.held_until_by_holder.clear()
        self._prior_held_until = (
            clock.now() + grant_max_s * CLOCK_RATE_FACTOR + MARGIN_S
        )
        self._pending_by_holder.clear()

    def held_until(self, holder: str) -> float:
        """Return until when a holder may hold keys that it was granted."""
        return max(
            self._prior_held_until,
            self.held_until_by_holder.get(holder, 0.0),
        )

    def hold_end(self, holder: str) -> typing.Callable[[], float]:
        """Return until when a holder may hold what it was granted until now.

        The end moves while a grant is still on its way to be sent; grants
        that are begun later do not count.
        """
        known_until = self.held_until(holder)
        pending = tuple(self._pending_by_holder.get(holder, ()))

        def end() -> float:
            return max([known_until, *(grant.until for grant in pending)])

        return end

    def has_no_pending_grant(self, holder: str) -> bool:
        """Tell whether no grant to a holder may still take effect."""
        now = clock.now()
        pending = self._pending_by_holder.get(holder, ())
        return all(grant.until <= now for grant in pending)

    async def grant(
        self,
        holder: str,
        address: model.Address,
        key_range: model.KeyRange,
        hold_s: float,
        handover: str,
    ) -> str:
        """Grant or renew a range.

        Args:
          holder: The target, as `id/incarnation`.
          address: Where it listens.
          key_range: The keys, with their fencing token.
          hold_s: The length of the grant.
          handover: What the former owner gave, or ''.

        Returns:
          GRANTED, REJECTED (a higher fence was seen), REFUSED (nothing
          listens there), ELSEWHERE or UNANSWERED.
        """
        body = grants.grant_body(key_range, hold_s, handover)
        grant = _PendingGrant()
        self._extend_hold(holder, grant, hold_s)

        async def before_send(is_new: bool) -> None:
            if is_new and await self._has_restarted(holder):
                raise _RestartedError
            # Its lease counts from its arrival, and to connect takes a while.
            self._extend_hold(holder, grant, hold_s)

        pending = self._pending_by_holder.setdefault(holder, [])
        pending.append(grant)
        result, _ = await self._post(
            holder,
            address,
            names.GRANT_PATH,
            body,
            GRANT_TIMEOUT_S,
            before_send,
        )
        if result in (GRANTED, REJECTED, REFUSED, ELSEWHERE):
            # It has taken effect or never will.
            pending.remove(grant)
        now = clock.now()
        pending[:] = [each for each in pending if each.until > now]
        return result

    def _extend_hold(
        self, holder: str, grant: _PendingGrant, hold_s: float
    ) -> None:
        grant.until = clock.now() + hold_s * CLOCK_RATE_FACTOR + MARGIN_S
        known_until = self.held_until_by_holder.get(holder, 0.0)
        self.held_until_by_holder[holder] = max(grant.until, known_until)

    async def release(
        self,
        holder: str,
        address: model.Address,
        first: int,
        last: int,
        fence: int,
    ) -> tuple[str, str]:
        """Take a range back.

        Returns:
          RELEASED with the handover, or REFUSED, ELSEWHERE or UNANSWERED.
        """
        body = grants.release_body(first, last, fence)
        result, answer = await self._post(
            holder,
            address,
            names.RELEASE_PATH,
            body,
            RELEASE_TIMEOUT_S,
            _skip_restart_check,
        )
        if result != GRANTED or answer is None:
            return result, ''
        handover = answer.header(names.HANDOVER)
        if handover is None:
            # An answer to a grant, written once more.
            return UNANSWERED, ''
        return RELEASED, handover.decode('latin-1')

    async def _post(
        self,
        holder: str,
        address: model.Address,
        path: str,
        body: bytes,
        timeout_s: float,
        before_send: _BeforeSend,
    ) -> tuple[str, http_client.Answer | None]:
        request_id = uuid.uuid4().hex.encode()
        headers = [
            (names.REQUEST_ID, request_id),
            (b'host', f'{address.ip}:{address.port}'.encode()),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
            (names.EXPECTED_TARGET, model.split_holder(holder)[0].encode()),
        ]
        try:
            answer = await connection_pool.request(
                self._pool,
                address,
                b'POST',
                path.encode(),
                headers,
                body,
                CONNECT_TIMEOUT_S,
                timeout_s,
                request_id=request_id,
                is_kept=_is_safe_to_repeat,
                before_send=before_send,
            )
        except _RestartedError:
            self._log.event('grant_not_sent', holder=holder)
            return ELSEWHERE, None
        except http_client.ConnectError as error:
            return (REFUSED if error.refused else UNANSWERED), None
        except (http_client.ExchangeError, TimeoutError):
            return UNANSWERED, None
        if _is_success(answer):
            return GRANTED, answer
        if not answer.is_first:
            # It may be an earlier refusal: these answers bear no id. The
            # next try has a new connection.
            self._log.event('key_call_unclear', path=path, holder=holder)
            self._pool.drop(address)
            return UNANSWERED, answer
        if answer.status == 409:
            return REJECTED, answer
        if answer.status == WRONG_TARGET:
            return ELSEWHERE, answer
        self._log.event('key_call_rejected', path=path, status=answer.status)
        return UNANSWERED, answer


async def _skip_restart_check(_: bool) -> None:
    """Keys are taken back from any incarnation."""


def _is_success(answer: http_client.Answer) -> bool:
    return answer.status == 200


def _is_safe_to_repeat(answer: http_client.Answer) -> bool:
    """Tell whether no harm is done if an answer is written once more.

    A refusal or an answer to a release would be taken for that to a later
    call; an answer to a grant would not be taken for one to a release.
    """
    return _is_success(answer) and answer.header(names.HANDOVER) is None
