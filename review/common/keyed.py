"""Traffic of a keyed service, and the check of its owners."""

import asyncio
import random
import time

from review.common import caller
from review.common import deployment
from review.common import target

ROUTES = [
    [
        'book',
        deployment.HOST,
        '/book/',
        'unsafe',
        4000,
        500,
        1,
        'book',
        2,
        None,
    ],
]
SERVICES = [['book', '/healthz', 130, True, 5.0]]
ASSIGNED_TIMEOUT_S = 30.0
# The rule: over half a second.
LONGEST_SHARED_S = 0.5
PAUSE_S = 0.05


async def call(
    deployed,
    name: str,
    end_at: float,
    deadline_ms: int = 2000,
    fixed_key: int | None = None,
) -> None:
    """Send requests to all running routers in turn, on random keys or one."""
    rng = random.Random(name)
    number = 0
    connections = {}
    while time.monotonic() < end_at:
        number += 1
        running = [
            router
            for router in deployed.routers
            if router.process is not None and router.process.poll() is None
        ]
        router = running[number % len(running)]
        connection = connections.setdefault(
            router.name, caller.Caller(router.address)
        )
        key = rng.randrange(65536) if fixed_key is None else fixed_key
        request_id = f'{name}-{number}'
        deployed.record.line(f'{name} sends {request_id} for key {key}')
        answer = await connection.send(
            'POST', '/book/1', request_id, deadline_ms, b'x', key
        )
        deployed.record.line(f'{name} got {answer.status} for {request_id}')
        await asyncio.sleep(PAUSE_S)
    for connection in connections.values():
        connection.close()


async def wait_until_assigned(
    deployed: deployment.Deployment, targets: list[target.Target]
) -> None:
    """Wait until all keys have an owner.

    Raises:
      CannotRunError: That takes too long.
    """
    end_at = time.monotonic() + ASSIGNED_TIMEOUT_S
    while not all(
        any(each.is_holding(key) for each in targets)
        for key in range(0, 65536, 512)
    ):
        if time.monotonic() > end_at:
            raise deployment.CannotRunError('keys without an owner')
        await asyncio.sleep(0.1)
    deployed.record.line('all keys have an owner')


def is_broken(
    record: deployment.Record,
    targets: list[target.Target],
    since: float = 0.0,
) -> bool:
    """Return whether two targets held a key for too long, and record it.

    Args:
      record: Gets a line for each such pair.
      targets: All targets.
      since: Time shared before that does not count.
    """
    found = target.shared_holds(targets, LONGEST_SHARED_S)
    broken = False
    for one, other, began_at, ended_at in found:
        shared_s = ended_at - max(began_at, since)
        if shared_s <= LONGEST_SHARED_S:
            continue
        broken = True
        first = max(one.first, other.first)
        last = min(one.last, other.last)
        record.line(
            f'{one.target_id} (fence {one.fence}) and {other.target_id} '
            f'(fence {other.fence}) both held {first} to {last} for '
            f'{shared_s:.2f} s'
        )
    return broken
