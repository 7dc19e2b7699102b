"""The clock by which leases and outages of the store are measured."""

import time

_clock_id = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def now() -> float:
    """Return seconds that include time in which the host was suspended.

    Leases are measured with it: a plain monotonic clock may stand still while
    the host is suspended, so that a lease would seem valid after its end.
    """
    return time.clock_gettime(_clock_id)
