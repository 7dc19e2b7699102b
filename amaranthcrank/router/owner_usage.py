"""Adds up how many requests all hosts have for the owners of keys.

The controller does this. Each host reports its usage of contended owners to
it and receives the sum over the other hosts. That takes two datagrams per
host, whereas the number of reports between all hosts would grow with the
square of the number of hosts.
"""

import typing

# Reports older than this are dropped.
REPORT_TTL_S = 1.0


class Usage(typing.NamedTuple):
    """The requests that one or more hosts have for a target.

    Attributes:
      in_flight: The number of requests that were sent to the target.
      waiting: The number of requests that wait for the target.
    """

    in_flight: int
    waiting: int


NO_USAGE = Usage(0, 0)

UsageByTarget = dict[str, Usage]


def decode_usage(content: dict[str, typing.Sequence[int]]) -> UsageByTarget:
    """Decode the usage by target from the content of a datagram."""
    return {target_id: Usage(*usage) for target_id, usage in content.items()}


class UsageAggregator:
    """Keeps the newest report of each host and the sum over all hosts."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports.

        Args:
          clock: Returns seconds.
        """
        self._clock = clock
        self._report_by_host: dict[str, tuple[float, UsageByTarget]] = {}
        self._sum_by_target: UsageByTarget = {}

    def record_report(self, host_id: str, report: UsageByTarget) -> None:
        """Replace the last report of a host."""
        known = self._report_by_host.pop(host_id, None)
        if known is not None:
            self._add(known[1], -1)
        self._report_by_host[host_id] = (self._clock(), report)
        self._add(report, 1)

    def usage_by_others(self, host_id: str) -> UsageByTarget:
        """Return the usage by others of the targets that a host reported."""
        self._drop_expired()
        known = self._report_by_host.get(host_id)
        if known is None:
            return {}
        others = {}
        for target_id, own in known[1].items():
            total = self._sum_by_target[target_id]
            others[target_id] = Usage(
                total.in_flight - own.in_flight, total.waiting - own.waiting
            )
        return others

    def _drop_expired(self) -> None:
        """Drop expired reports; the oldest report comes first."""
        now = self._clock()
        for host_id, (reported_at, report) in list(
            self._report_by_host.items()
        ):
            if now - reported_at <= REPORT_TTL_S:
                return
            del self._report_by_host[host_id]
            self._add(report, -1)

    def _add(self, report: UsageByTarget, sign: int) -> None:
        for target_id, usage in report.items():
            total = self._sum_by_target.get(target_id, NO_USAGE)
            total = Usage(
                total.in_flight + sign * usage.in_flight,
                total.waiting + sign * usage.waiting,
            )
            if total == NO_USAGE:
                self._sum_by_target.pop(target_id, None)
                continue
            self._sum_by_target[target_id] = total
