"""Checks of the recorder's records."""

from collections import abc
import typing

Record = abc.Mapping[str, typing.Any]


def overlapping_holds(
    holds: abc.Iterable[Record],
) -> list[tuple[Record, Record]]:
    """Find holds of one slot by two targets at the same time.

    Args:
      holds: The holds of GET /all of the recorder.

    Returns:
      Pairs of holds that overlap in time, the earlier one first.
    """
    holds_by_slot: dict[tuple[str, int], list[Record]] = {}
    for hold in sorted(holds, key=lambda each: each['from_ms']):
        slot = hold['service'], hold['slot']
        holds_by_slot.setdefault(slot, []).append(hold)
    pairs = []
    for sorted_holds in holds_by_slot.values():
        open_holds: list[Record] = []
        for hold in sorted_holds:
            open_holds = [
                each
                for each in open_holds
                if each['until_ms'] > hold['from_ms']
            ]
            pairs.extend(
                (each, hold)
                for each in open_holds
                if each['target'] != hold['target']
            )
            open_holds.append(hold)
    return pairs


def repeated_runs(ran: abc.Iterable[Record]) -> dict[str, list[Record]]:
    """Find non-repeatable requests that ran more than once.

    Args:
      ran: The runs of GET /all of the recorder.

    Returns:
      The runs of each such request, by request id.
    """
    runs_by_id: dict[str, list[Record]] = {}
    for run in ran:
        if not run['repeatable']:
            runs_by_id.setdefault(run['request_id'], []).append(run)
    return {
        request_id: runs
        for request_id, runs in runs_by_id.items()
        if len(runs) > 1
    }
