"""Sends grants and releases to targets.

A call is sent only while this host holds the controller's lease, and only to
the target that it names.

What is sent to a target that reads nothing waits there for any time. So a
grant is sent only on a connection on which the target has just responded.
"""

import asyncio
import functools
import typing
import uuid

from amaranthcrank.platform import grants
from amaranthcrank.platform import names
from amaranthcrank.router import clock
from amaranthcrank.router import connection_pool
from amaranthcrank.router import entry_reads
from amaranthcrank.router import event_log
from amaranthcrank.router import headers as fields
from amaranthcrank.router import hold_times
from amaranthcrank.router import http_client
from amaranthcrank.router import incarnation_checks
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events
from amaranthcrank.router import target_notices

CONNECT_TIMEOUT_S = 0.4
GRANT_TIMEOUT_S = 0.8
# A target that has responded within this time is taken to read its calls.
RECENT_RESPONSE_S = 0.1
# The time limit for the response that shows that a target reads its calls.
# It is longer than that for grants, so that slow targets get theirs, too.
PROBE_TIMEOUT_S = 2.0
# The status of a target's response to a call that names another target.
WRONG_TARGET = 421
# Responses to grants and releases have short bodies, if any.
MAX_RESPONSE_BYTES = 64 * 1024
# A target responds to a release only when its work on the keys has ended.
RELEASE_TIMEOUT_S = 4.0
# The duration of a grant that only shows a target a fencing token. It is one
# millisecond, the unit of durations in grants.
FENCE_S = 0.001

GRANTED = 'granted'
REJECTED = 'rejected'
REFUSED = 'refused'
UNANSWERED = 'unanswered'
RELEASED = 'released'
# Another server listens at the address now.
OTHER_SERVER = 'elsewhere'


# Awaited before a call is sent, with its connection.
_BeforeSend = typing.Callable[[http_client.Connection], typing.Awaitable[None]]


# Returns a key, or None.
_FindKey = typing.Callable[[], int | None]


def _find_no_key() -> None:
    return None


def _is_first_on_connection(response: http_client.Response) -> bool:
    return response.is_first_on_connection


class _OtherServerError(Exception):
    """Another server listens at the address."""


class _NewConnectionError(Exception):
    """The target responded to a probe, but the grant needs a new connection.

    It has closed this one, or the response may be that to an earlier call.
    """


class _LeaseEndedError(Exception):
    """This host no longer holds the controller's lease."""


class KeyCalls:
    """Sends grants and releases; tracks how long targets may hold keys.

    Attributes:
      hold_times: Until when targets may hold keys by the grants sent.
    """

    def __init__(
        self,
        pool: connection_pool.Pool,
        log: event_log.EventLog,
        has_restarted: entry_reads.RestartCheck,
        notices: target_notices.TargetNotices,
        registration_s: float,
        events: ownership_events.OwnershipEvents,
        host_id: str,
        is_lease_held: typing.Callable[[], bool],
    ) -> None:
        """Send calls over a pool of connections.

        Args:
          pool: The connections, shared with requests.
          log: Logs unexpected responses.
          has_restarted: Awaited before a grant is sent on a new connection,
            which may lead to a later incarnation than earlier connections.
          notices: Reads what targets say about themselves.
          registration_s: How long a target may listen before it is
            registered in the store, seconds.
          events: Records grants without a response.
          host_id: Begins the id of each call, so that the records of targets
            name the sender.
          is_lease_held: Returns whether this host may send calls.
        """
        self.hold_times = hold_times.HoldTimes()
        self._pool = pool
        self._log = log
        self._incarnations = incarnation_checks.IncarnationChecks(
            has_restarted, registration_s
        )
        self._notices = notices
        self._events = events
        self._host_id = host_id
        self._is_lease_held = is_lease_held

    def assume_prior_grants(self, grant_max_s: float) -> None:
        """Forget all grants; assume the longest ones by a former controller.

        Args:
          grant_max_s: The longest duration of a grant.
        """
        self.hold_times.assume_prior_grants(grant_max_s)
        self._incarnations.forget_lost()

    async def grant(
        self,
        holder: str,
        address: model.Address,
        key_range: model.KeyRange,
        hold_s: float,
        handover: str,
        find_probe_key: _FindKey = _find_no_key,
    ) -> str:
        """Grant or renew a range.

        Args:
          holder: The target, as `id/incarnation`.
          address: Where the target listens.
          key_range: The keys, with their fencing token.
          hold_s: The duration of the grant.
          handover: The handover of the former owner, or ''.
          find_probe_key: Returns a key that the target does not own. The
            grant is sent only once the target has answered a release of it;
            with None at once.

        Returns:
          GRANTED, REJECTED (the target has seen a higher fencing token),
          REFUSED (the connection was refused, so nothing was sent),
          OTHER_SERVER or UNANSWERED.
        """
        result, _ = await self._send_grant(
            holder,
            address,
            key_range,
            hold_s,
            handover,
            find_probe_key,
            self._incarnations.check,
        )
        return result

    async def _send_grant(
        self,
        holder: str,
        address: model.Address,
        key_range: model.KeyRange,
        hold_s: float,
        handover: str,
        find_probe_key: _FindKey,
        check_new: typing.Callable[[str], typing.Awaitable[None]],
        is_shared: bool = True,
    ) -> tuple[str, hold_times.Grant]:
        """Send a grant once the target has shown that it reads its calls.

        Args:
          holder: The target, as `id/incarnation`.
          address: Where the target listens.
          key_range: The keys, with their fencing token.
          hold_s: The duration of the grant.
          handover: The handover of the former owner, or ''.
          find_probe_key: Returns a key whose release changes nothing, or None
            to send the grant at once.
          check_new: Awaited with the holder on each new connection.
          is_shared: Whether a used connection may be used.

        Returns:
          The result, as of `grant`, and what is known of the grant's time.
        """
        grant = self.hold_times.begin(holder, hold_s)
        may_probe = True
        is_probed = False

        async def before_send(connection: http_client.Connection) -> None:
            nonlocal may_probe, is_probed
            if connection.is_new:
                await check_new(holder)
            is_probed = False
            if may_probe and not _has_just_responded(connection):
                is_probed = await self._probe(
                    connection, holder, address, find_probe_key()
                )
                if not connection.is_open:
                    may_probe = False
                    raise _NewConnectionError
            self._check_lease()
            grant.record_sent()

        def is_clear(response: http_client.Response) -> bool:
            # After a probe, only its own response could be repeated.
            return response.is_first_on_connection or is_probed

        request_id = self._new_request_id()
        post = functools.partial(
            self._post,
            holder,
            address,
            names.GRANT_PATH,
            grants.grant_body(key_range, hold_s, handover),
            GRANT_TIMEOUT_S,
            before_send,
            request_id,
            is_clear=is_clear,
            # Again, as this process may have been suspended in between.
            on_sent=grant.record_sent,
        )
        result, response = UNANSWERED, None
        for may_be_used in (is_shared, False, False):
            try:
                result, response = await post(is_shared=may_be_used)
                break
            except _NewConnectionError:
                continue
        if _is_response_to_release(response):
            result = UNANSWERED
        if result == UNANSWERED and grant.is_sent:
            self._events.grant_unanswered(
                holder, key_range, hold_s, request_id
            )
        self.hold_times.finish(holder, grant, result != UNANSWERED)
        return result, grant

    async def _probe(
        self,
        connection: http_client.Connection,
        holder: str,
        address: model.Address,
        key: int | None,
    ) -> bool:
        """Wait for a sign that the target reads what this connection carries.

        A release of a key that the target does not own changes nothing,
        however late it takes effect, unless the target gets the key meanwhile.
        It is then told by the hosts that the target rejects requests for it.

        Returns:
          Whether there was a response that only a release gets. A repeated one
          does not pass for the response to a grant.

        Raises:
          _OtherServerError: Another server listens at the address.
          UnconfirmedError: No grant may be sent on the connection.
          _NewConnectionError: The same, but one may be sent on a new one.
        """
        if key is None:
            return False
        self._check_lease()
        body = grants.release_body(key, key, 0)
        request_id = self._new_request_id()
        headers = _headers(holder, address, body, request_id)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                response = await connection.exchange(
                    b'POST',
                    names.RELEASE_PATH.encode(),
                    headers,
                    body,
                    request_id.encode(),
                )
        except (http_client.ExchangeError, TimeoutError) as error:
            self._events.grant_withheld(holder, request_id)
            raise incarnation_checks.UnconfirmedError from error
        if response.status == WRONG_TARGET and response.is_first_on_connection:
            raise _OtherServerError
        is_release = _is_response_to_release(response)
        is_first = response.is_first_on_connection
        if response.status == WRONG_TARGET:
            # It may be a repeated refusal of an earlier call.
            self._pool.drop(address)
            raise incarnation_checks.UnconfirmedError
        if _is_success(response) and not is_release and not is_first:
            # It may be a repeated response to an earlier grant.
            raise _NewConnectionError
        return is_release

    def _check_lease(self) -> None:
        """Check the lease just before a call is sent.

        It may end while the caller waits for a connection or for the store.

        Raises:
          _LeaseEndedError: The lease has ended.
        """
        if not self._is_lease_held():
            raise _LeaseEndedError

    async def _check_lease_only(self, _: http_client.Connection) -> None:
        """Check the lease; calls that take keys back reach any incarnation.

        Raises:
          _LeaseEndedError: The lease has ended.
        """
        self._check_lease()

    async def release(
        self,
        holder: str,
        address: model.Address,
        first: int,
        last: int,
        fence: int,
        timeout_s: float = RELEASE_TIMEOUT_S,
    ) -> tuple[str, str]:
        """Take a range of keys back from a target.

        Args:
          holder: The target, as `id/incarnation`.
          address: Where the target listens.
          first: The first key.
          last: The last key, inclusive.
          fence: The fencing token.
          timeout_s: How long to wait for the response.

        Returns:
          RELEASED with the handover, or REFUSED, OTHER_SERVER or UNANSWERED.
          A refusal does not show that the target has ended.
        """
        body = grants.release_body(first, last, fence)
        request_id = self._new_request_id()
        result, response = await self._post(
            holder,
            address,
            names.RELEASE_PATH,
            body,
            timeout_s,
            self._check_lease_only,
            request_id,
        )
        handover = None
        if result == GRANTED and response is not None:
            handover = response.header(names.HANDOVER)
        if handover is not None:
            return RELEASED, handover.decode('latin-1')
        if result == GRANTED:
            # A repeated response to an earlier grant.
            result = UNANSWERED
        self._events.release_unanswered(
            holder, (first, last), fence, result, request_id
        )
        return result, ''

    def _new_request_id(self) -> str:
        return f'{self._host_id}-{uuid.uuid4().hex}'

    async def fence_off(
        self,
        holder: str,
        address: model.Address,
        key_range: model.KeyRange,
    ) -> tuple[str, float]:
        """Make a target reject all grants of a range with lower tokens.

        The target is granted the range for an instant, as only grants are sure
        to count among the fencing tokens that it has seen. The instant counts
        from the arrival of the call, so one that is carried out late grants
        nothing.

        Args:
          holder: The target, as `id/incarnation`.
          address: Where the target listens.
          key_range: The keys, with a token above all that were granted before.

        Returns:
          GRANTED, REJECTED, REFUSED, OTHER_SERVER or UNANSWERED; and until
          when the call may still arrive, by `clock.now`, 0.0 if it cannot.
        """
        result, grant = await self._send_grant(
            holder,
            address,
            key_range,
            FENCE_S,
            '',
            # The target has released these keys before.
            lambda: key_range.first,
            _accept_any_incarnation,
            # On a used connection, an earlier response could be repeated.
            is_shared=False,
        )
        return result, grant.until if result == UNANSWERED else 0.0

    async def _post(
        self,
        holder: str,
        address: model.Address,
        path: str,
        body: bytes,
        timeout_s: float,
        before_send: _BeforeSend,
        request_id: str,
        is_shared: bool = True,
        is_clear: typing.Callable[[http_client.Response], bool] = (
            _is_first_on_connection
        ),
        on_sent: typing.Callable[[], None] | None = None,
    ) -> tuple[str, http_client.Response | None]:
        headers = _headers(holder, address, body, request_id)
        try:
            response = await connection_pool.request(
                self._pool,
                address,
                b'POST',
                path.encode(),
                headers,
                body,
                CONNECT_TIMEOUT_S,
                timeout_s,
                request_id=request_id.encode(),
                is_reusable=_is_safe_to_repeat,
                before_send=before_send,
                on_sent=on_sent,
                on_head=self._notices.reader(holder, address),
                max_response_bytes=MAX_RESPONSE_BYTES,
                is_shared=is_shared,
            )
        except incarnation_checks.RestartedError:
            self._log.event('grant_not_sent', holder=holder)
            return OTHER_SERVER, None
        except _OtherServerError:
            return OTHER_SERVER, None
        except incarnation_checks.UnconfirmedError:
            return UNANSWERED, None
        except _LeaseEndedError:
            self._log.event('key_call_not_sent', path=path, holder=holder)
            return UNANSWERED, None
        except http_client.ConnectError as error:
            self._incarnations.record_lost(holder)
            return (REFUSED if error.refused else UNANSWERED), None
        except (http_client.ExchangeError, TimeoutError):
            return UNANSWERED, None
        if _is_success(response):
            return GRANTED, response
        if not is_clear(response):
            # It may be a repeated refusal of an earlier call, as these
            # responses carry no id. The next attempt uses a new connection.
            self._log.event('key_call_unclear', path=path, holder=holder)
            self._pool.drop(address)
            return UNANSWERED, response
        if response.status == 409:
            return REJECTED, response
        if response.status == WRONG_TARGET:
            return OTHER_SERVER, response
        self._log.event('key_call_rejected', path=path, status=response.status)
        return UNANSWERED, response


async def _accept_any_incarnation(_: str) -> None:
    """Check nothing: a later incarnation is fenced off as well."""


def _headers(
    holder: str, address: model.Address, body: bytes, request_id: str
) -> fields.Headers:
    return [
        (names.REQUEST_ID, request_id.encode()),
        (b'host', f'{address.ip}:{address.port}'.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        (names.EXPECTED_TARGET, model.split_holder(holder)[0].encode()),
    ]


def _has_just_responded(connection: http_client.Connection) -> bool:
    """Return whether the target read what the connection carried just now.

    Its last response has to name its request. Responses to grants do not, so a
    repeated one would pass for that to the next grant.
    """
    return clock.now() - connection.identified_at < RECENT_RESPONSE_S


def _is_response_to_release(response: http_client.Response | None) -> bool:
    return response is not None and response.header(names.HANDOVER) is not None


def _is_success(response: http_client.Response) -> bool:
    return response.status == 200


def _is_safe_to_repeat(response: http_client.Response) -> bool:
    """Return whether a repetition of a response would be harmless.

    A repeated refusal, or a repeated response to a release, would be treated
    as the response to a later call. A repeated response to a grant is
    harmless: it is not treated as one to a release.
    """
    return _is_success(response) and response.header(names.HANDOVER) is None
