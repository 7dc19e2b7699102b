"""A target that left while the store was away loses its keys too early."""

import asyncio
import time

from review.common import deployment
from review.common import keyed
from review.common import target

TARGETS = 4
WORK_S = 1.8
AWAY_AFTER_S = 4.0
AWAY_S = 2.2
LEAVES_AFTER_S = 0.1
# `drainMs` and a little longer.
DRAIN_S = 2.05
RUN_S = 17.0
# The target that holds this key leaves.
KEY = 1000
CONSUMERS = 2
SETTLING_CHECKS = 12


async def case(record) -> bool:
    """Return whether keys were granted while their holder worked on them."""
    deployed = deployment.Deployment(record)
    try:
        return await _play(deployed, record)
    finally:
        deployed.close()


async def _play(deployed, record) -> bool:
    await deployed.start(2, keyed.ROUTES, keyed.SERVICES)
    targets = []
    for index in range(TARGETS):
        each = target.Target(
            deployed,
            f'book-{index}',
            'book',
            'ab'[index % 2],
            keyed=True,
            work_s=WORK_S,
        )
        await each.start()
        targets.append(each)
    await deployed.wait_until_ready()
    await keyed.wait_until_assigned(deployed, targets)
    end_at = time.monotonic() + RUN_S
    calls = [
        asyncio.create_task(
            keyed.call(deployed, f'c{index}', end_at, deadline_ms=4000)
        )
        for index in range(2)
    ]
    # Two consumers in turn, so that the target always works on this key.
    for index in range(CONSUMERS):
        calls.append(
            asyncio.create_task(
                keyed.call(deployed, f'k{index}', end_at, 4000, KEY)
            )
        )
        await asyncio.sleep(WORK_S / CONSUMERS)
    await asyncio.sleep(AWAY_AFTER_S)
    leaving = await _settled_holder(targets)
    await _renewal(deployed)
    if deployment.is_trouble():
        record.line('the store is down: calls get 503, watches hear nothing')
        deployed.store.go_away()
    away_until = time.monotonic() + AWAY_S
    await asyncio.sleep(LEAVES_AFTER_S)
    record.line(f'{leaving.target_id} leaves: its entry is removed')
    deployed.store.remove('servers', leaving.target_id)
    await asyncio.sleep(DRAIN_S)
    at_work = leaving.finish()
    if deployment.is_trouble() and not at_work:
        raise deployment.CannotRunError('the target has no work left')
    await asyncio.sleep(away_until - time.monotonic())
    if deployment.is_trouble():
        record.line('the store is back')
        deployed.store.come_back()
    await asyncio.gather(*calls)
    return _is_broken(record, leaving, targets)


async def _settled_holder(targets) -> target.Target:
    """Return the target that holds the key and has worked on it for a while.

    Raises:
      CannotRunError: The key keeps moving.
    """
    for _ in range(SETTLING_CHECKS):
        holder = next((each for each in targets if each.is_holding(KEY)), None)
        await asyncio.sleep(WORK_S / 2)
        if holder is not None and holder.is_holding(KEY):
            return holder
    raise deployment.CannotRunError('the key keeps moving')


async def _renewal(deployed) -> None:
    """Wait until the controller has renewed its lease.

    It lasts for 3 s, so the controller is still there when the store is back.
    """
    former = deployed.store.get('router-leases', 'key-controller')
    while deployed.store.get('router-leases', 'key-controller') is former:
        await asyncio.sleep(0.01)


def _is_broken(record, leaving, others) -> bool:
    broken = False
    for hold in (hold for each in others for hold in each.holds):
        if hold.target_id == leaving.target_id:
            continue
        for run in leaving.runs:
            if not hold.first <= run.key <= hold.last:
                continue
            if not run.since < hold.since < run.until:
                continue
            if hold.until <= hold.since or hold.since >= run.held_until:
                # A release, or the keys' hold had run out.
                continue
            broken = True
            record.line(
                f'{hold.target_id} was given {hold.first} to {hold.last}, '
                f'fence {hold.fence}, {run.until - hold.since:.2f} s before '
                f'{leaving.target_id} ended {run.request_id} on key '
                f'{run.key}, whose hold had '
                f'{run.held_until - hold.since:.2f} s left'
            )
    return broken


if __name__ == '__main__':
    deployment.run(case, __file__)
