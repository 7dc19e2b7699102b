"""Adds up what all hosts have and want at the owners of keys.

The controller keeps the board. A host reports what it has at owners in
demand and is answered with the sum over the others: two datagrams for each
host, where reports from each to each would grow with the square of the fleet.
"""

import typing

# Reports older than this say nothing of a host any more.
REPORT_TTL_S = 1.0


class Usage(typing.NamedTuple):
    """What hosts have at a target.

    Attributes:
      in_flight: Requests that were sent to it.
      waiting: Requests that wait for it.
    """

    in_flight: int
    waiting: int


NO_USAGE = Usage(0, 0)

UsageByTarget = dict[str, Usage]


def decode_usage(content: dict[str, typing.Sequence[int]]) -> UsageByTarget:
    """Read what a datagram holds of the use of targets."""
    return {target_id: Usage(*use) for target_id, use in content.items()}


class UsageAggregator:
    """The newest report of each host."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports."""
        self._clock = clock
        self._report_by_host: dict[str, tuple[float, UsageByTarget]] = {}
        self._sum_by_target: UsageByTarget = {}

    def put_report(self, host_id: str, report: UsageByTarget) -> None:
        """Take a host's report in place of its last one."""
        known = self._report_by_host.pop(host_id, None)
        if known is not None:
            self._add(known[1], -1)
        self._report_by_host[host_id] = (self._clock(), report)
        self._add(report, 1)

    def usage_by_others(self, host_id: str) -> UsageByTarget:
        """Return what the others have at the targets that a host reported."""
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
        """Forget hosts that report no more; the oldest report comes first."""
        now = self._clock()
        for host_id, (reported_at, report) in list(
            self._report_by_host.items()
        ):
            if now - reported_at <= REPORT_TTL_S:
                return
            del self._report_by_host[host_id]
            self._add(report, -1)

    def _add(self, report: UsageByTarget, sign: int) -> None:
        for target_id, use in report.items():
            total = self._sum_by_target.get(target_id, NO_USAGE)
            total = Usage(
                total.in_flight + sign * use.in_flight,
                total.waiting + sign * use.waiting,
            )
            if total == NO_USAGE:
                self._sum_by_target.pop(target_id, None)
                continue
            self._sum_by_target[target_id] = total
