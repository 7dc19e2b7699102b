"""A new controller whose first write got no answer forgets the grants."""

import asyncio
import json
import signal
import time

from review.common import deployment
from review.common import keyed
from review.common import target

TARGETS = 4
ROUTERS = 2
STOP_AFTER_S = 3.0
DRAIN_AFTER_S = 0.3
AFTER_S = 8.0


async def case(record) -> bool:
    """Return whether two targets held the same keys."""
    deployed = deployment.Deployment(record)
    try:
        return await _play(deployed, record)
    finally:
        deployed.close()


def _lose_first_write(deployed, former, record) -> None:
    """Lose the answer to the next router's first write of the lease."""
    lost = []

    def loses_answer(method, kind, name, body) -> bool:
        if method != 'PUT' or kind != 'router-leases' or lost:
            return False
        holder = json.loads(body)['spec']['holder']
        if holder in ('', former):
            return False
        lost.append(holder)
        record.line(f'the store loses its answer to a write by {holder}')
        return True

    deployed.store.loses_answer = loses_answer


async def _play(deployed, record) -> bool:
    await deployed.start(ROUTERS, keyed.ROUTES, keyed.SERVICES)
    targets = []
    for index in range(TARGETS):
        each = target.Target(
            deployed, f'book-{index}', 'book', 'ab'[index % 2], keyed=True
        )
        await each.start()
        targets.append(each)
    await deployed.wait_until_ready()
    await keyed.wait_until_assigned(deployed, targets)
    end_at = time.monotonic() + STOP_AFTER_S + DRAIN_AFTER_S + AFTER_S
    calls = [
        asyncio.create_task(keyed.call(deployed, f'c{index}', end_at))
        for index in range(3)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    leader = deployed.leader()
    if leader is None:
        raise deployment.CannotRunError('there is no controller')
    if deployment.is_trouble():
        _lose_first_write(deployed, leader.name, record)
    record.line(f'{leader.name} gets SIGTERM')
    leader.signal(signal.SIGTERM)
    await asyncio.sleep(DRAIN_AFTER_S)
    targets[0].drain()
    await asyncio.gather(*calls)
    return keyed.is_broken(record, targets)


if __name__ == '__main__':
    deployment.run(case, __file__)
