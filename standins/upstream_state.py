"""The settings and the state of one upstream."""

from collections import abc
import random
import threading
import time
import typing
import uuid

import urllib3

from standins import http_server

RECORD_TIMEOUT_S = 10.0

SLOW = 'slow'
REFUSE = 'refuse'

SlotKey = tuple[str, int]


class Settings(typing.NamedTuple):
    """The settings of one upstream.

    Attributes:
      target: The id of the upstream.
      service: The service that it runs.
      slots: How many requests run concurrently.
      service_ms: How long a request takes.
      unfenced: Whether requests run without a check of their fence.
      crash_header: A request with this header ends the process; empty for
        none.
      cold_ms: How long the cold start takes.
      cold_mode: The behaviour while cold, SLOW or REFUSE.
      cold_extra_ms: How much longer a request takes while cold if SLOW.
      shed_ratio: The share of requests that is shed at random.
      seed: The seed for shed_ratio.
      record_url: The URL of the recorder of runs and grants, empty for none.
    """

    target: str
    service: str
    slots: int = 3
    service_ms: float = 5.0
    unfenced: bool = False
    crash_header: str = ''
    cold_ms: float = 0.0
    cold_mode: str = SLOW
    cold_extra_ms: float = 100.0
    shed_ratio: float = 0.0
    seed: int = 0
    record_url: str = ''


class Grant(typing.NamedTuple):
    """The slots that the upstream may serve.

    Attributes:
      version: The record version of the grant.
      fence_by_slot: The fence of each slot.
      expires_at: The end of the lease, monotonic seconds.
    """

    version: int
    fence_by_slot: dict[SlotKey, int]
    expires_at: float


class Hold(typing.NamedTuple):
    """A period in which a slot was granted.

    Attributes:
      service: The service.
      slot: The slot.
      fence: Its fence.
      from_s: The start, monotonic seconds.
      until_s: The end; for the current grant, the end of the lease.
    """

    service: str
    slot: int
    fence: int
    from_s: float
    until_s: float


class Job(typing.NamedTuple):
    """A running request."""

    request_id: str
    slot: SlotKey | None
    cancelled: threading.Event


class UpstreamState:
    """The state of one upstream.

    Attributes:
      settings: Its settings.
      clock: Returns monotonic seconds.
      record_offset_s: The machine's monotonic clock minus clock. Records of
        several processes are compared, so they use the monotonic clock of
        the machine: the wall clock may step between their starts.
      incarnation: A random id of this start of the process.
      lock: Guards the other attributes; notified on a new job, a stalled call,
        a freeze and the end of the process.
      issued_at_by_challenge: The challenges that a grant may still echo.
      highest_version: The highest record version received so far.
      grant: The last grant, which may have expired.
      hold_by_slot: The open hold of each slot of the grant.
      past_holds: The closed holds.
      last_report_number: The number of the last report to the recorder.
      jobs: The running requests.
      ids_by_key: The ids of the requests that ran for each service and key,
        in order.
      ran: A record of each run.
      ran_ids: The ids of all requests that ran.
      cancels_before_arrival: Cancelled ids whose request has not arrived; a
        dict, to drop the oldest first.
      draining: Whether new work is refused.
      frozen_until: No call is handled before this time, monotonic seconds.
      stalled_calls: How many calls wait for the end of a freeze.
      cold_until: The end of the cold start, monotonic seconds.
      shed_next: How many of the next requests are shed.
      closed: Whether the process is ending; waiting calls return.
    """

    def __init__(
        self,
        settings: Settings,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.record_offset_s = time.monotonic() - clock()
        self.incarnation = uuid.uuid4().hex
        self.lock = threading.Condition()
        self.issued_at_by_challenge: dict[str, float] = {}
        self.highest_version = 0
        self.grant = Grant(0, {}, 0.0)
        self.hold_by_slot: dict[SlotKey, Hold] = {}
        self.past_holds: list[Hold] = []
        self.last_report_number = 0
        self.jobs: list[Job] = []
        self.ids_by_key: dict[tuple[str, str], list[str]] = {}
        self.ran: list[dict[str, typing.Any]] = []
        self.ran_ids: set[str] = set()
        self.cancels_before_arrival: dict[str, None] = {}
        self.draining = False
        self.frozen_until = 0.0
        self.stalled_calls = 0
        self.cold_until = clock() + settings.cold_ms / 1000
        self.shed_next = 0
        self.closed = False
        self.random = random.Random(settings.seed)
        self.record_pool = urllib3.PoolManager(
            maxsize=16, retries=False, timeout=RECORD_TIMEOUT_S
        )

    def close(self) -> None:
        """Wake every waiting call."""
        with self.lock:
            self.closed = True
            for job in self.jobs:
                job.cancelled.set()
            self.lock.notify_all()
        self.record_pool.clear()


def wait_while_frozen(state: UpstreamState) -> float:
    """Wait until the freeze ends, if there is one.

    Returns:
      The time when handling begins, as a frozen process would read the
      request only after the freeze.
    """
    with state.lock:
        state.stalled_calls += 1
        state.lock.notify_all()
        while not state.closed:
            remaining_s = state.frozen_until - state.clock()
            if remaining_s <= 0:
                break
            state.lock.wait(remaining_s)
        state.stalled_calls -= 1
        return state.clock()


def record_ms(state: UpstreamState, at_s: float) -> float:
    """Convert a time of `clock` to the milliseconds used in records."""
    return (at_s + state.record_offset_s) * 1000


def not_run_response(
    status: int, reason: str, text: str
) -> http_server.Response:
    """Make the response that refuses work as not run."""
    return http_server.error_response(status, text, (('X-Not-Run', reason),))
