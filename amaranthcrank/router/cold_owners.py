"""The capacity of cold targets as owners of keys. Pure functions."""

import typing

from amaranthcrank.router import key_plan


def limit_cold(
    owners: typing.Sequence[key_plan.Owner],
    load_s_by_id: typing.Mapping[str, float],
    window_s: float,
) -> list[key_plan.Owner]:
    """Return the owners with the capacities of the cold ones limited.

    Args:
      owners: The targets that can own keys.
      load_s_by_id: The work per second that each cold target may get.
      window_s: The window of the load, seconds.
    """
    limited = []
    for owner in owners:
        load_s = load_s_by_id.get(owner.target_id)
        if load_s is not None:
            capacity_s = min(owner.capacity_s, load_s * window_s)
            owner = owner._replace(capacity_s=capacity_s, is_cold=True)
        limited.append(owner)
    return limited
