"""What a target reports about its load, and how it counts. Pure functions.

The influence of a report halves at fixed intervals: other hosts send and the
machine's pace changes meanwhile, and no report says so.
"""

import typing

# The half-life of the weight of the reported load, and of the reported pace,
# which changes many times a second.
LOAD_HALF_LIFE_S = 0.3
PACE_HALF_LIFE_S = 0.2
# An older report does not count. Its weight would be below 1 %.
MAX_AGE_S = 2.0
# A target that reported no free slot is sent nothing until the report is this
# share of a typical service time old.
FULL_SERVICE_TIMES = 0.5
USUAL_PACE_PERCENT = 100
# Limits of the reported pace as a factor of the service time.
MIN_PACE = 0.1
MAX_PACE = 10.0


class LoadFields(typing.NamedTuple):
    """The fields of one report.

    Attributes:
      running: The requests that run at the target.
      waiting: The requests that wait there.
      slots: Its slots.
      pace_percent: How long work takes at this moment, 100 is usual; None if
        it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None


class Report(typing.NamedTuple):
    """A report at the time of its arrival.

    Attributes:
      fields: Its fields.
      at: When it arrived, in event loop time.
      elsewhere: The requests of other hosts at the target.
    """

    fields: LoadFields
    at: float
    elsewhere: int


def arrived(fields: LoadFields, in_flight: int, now: float) -> Report:
    """Return the report of a response whose head has just arrived.

    Args:
      fields: The fields of the report.
      in_flight: The requests of this host in flight to the target, with the
        one that is answered. The report may count it or not; if it does not,
        the load of the others is taken for one too low, which fills one place
        of the target's queue. The opposite would leave a slot empty.
      now: The event loop's time.
    """
    elsewhere = max(0, fields.running + fields.waiting - in_flight)
    return Report(fields, now, elsewhere)


def is_recent(report: Report | None, now: float) -> bool:
    """Return whether a report counts."""
    return report is not None and now - report.at < MAX_AGE_S


def elsewhere(
    report: Report | None, known_elsewhere: int, now: float
) -> float:
    """Return the estimated requests of other hosts at a target.

    What this host sent since the report is not part of it: it is added by the
    caller, so that the same report does not attract requests twice.

    Args:
      report: The last report of the target, or None.
      known_elsewhere: The requests of other hosts as far as hosts tell each
        other.
      now: The event loop's time.
    """
    if report is None or not is_recent(report, now):
        return known_elsewhere
    weight = _weight(report, LOAD_HALF_LIFE_S, now)
    return weight * report.elsewhere + (1 - weight) * known_elsewhere


def is_full(report: Report | None, typical_s: float, now: float) -> bool:
    """Return whether a target recently reported no free slot.

    Args:
      report: The last report of the target, or None.
      typical_s: The typical service time.
      now: The event loop's time.
    """
    if report is None or report.fields.running < report.fields.slots:
        return False
    return now - report.at < FULL_SERVICE_TIMES * typical_s


def pace(report: Report | None, usual: float, now: float) -> float:
    """Return the factor by which work at a target takes longer now.

    Args:
      report: The last report of the target, or None.
      usual: The factor without a report.
      now: The event loop's time.
    """
    if report is None or report.fields.pace_percent is None:
        return usual
    if not is_recent(report, now):
        return usual
    reported = report.fields.pace_percent / USUAL_PACE_PERCENT
    reported = min(MAX_PACE, max(MIN_PACE, reported))
    weight = _weight(report, PACE_HALF_LIFE_S, now)
    return usual + weight * (reported - usual)


def _weight(report: Report, half_life_s: float, now: float) -> float:
    return 0.5 ** (max(0.0, now - report.at) / half_life_s)
