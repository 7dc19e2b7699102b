"""Keys of a target that refuses connections get a second owner."""

import asyncio
import time

from amaranthcrank.router import model
from review.common import deployment
from review.common import keyed
from review.common import target
from soak import relay

TARGETS = 4
CUT_AFTER_S = 3.0
CUT_S = 2.5
AFTER_S = 7.0


async def case(record) -> bool:
    """Return whether two targets held the same keys."""
    deployed = deployment.Deployment(record)
    try:
        return await _play(deployed, record)
    finally:
        deployed.close()


async def _play(deployed, record) -> bool:
    await deployed.start(2, keyed.ROUTES, keyed.SERVICES)
    targets = []
    relays = []
    for index in range(TARGETS):
        each = target.Target(
            deployed, f'book-{index}', 'book', 'ab'[index % 2], keyed=True
        )
        each.public_address = model.Address(
            '127.0.0.1', deployment.free_port()
        )
        link = relay.Relay(each.public_address, each.address)
        await link.listen()
        await each.start()
        targets.append(each)
        relays.append(link)
    await deployed.wait_until_ready()
    await keyed.wait_until_assigned(deployed, targets)
    end_at = time.monotonic() + CUT_AFTER_S + CUT_S + AFTER_S
    calls = [
        asyncio.create_task(keyed.call(deployed, f'c{index}', end_at))
        for index in range(3)
    ]
    await asyncio.sleep(CUT_AFTER_S)
    if deployment.is_trouble():
        record.line(f'{targets[0].target_id} is cut off: refused')
        relays[0].refuse()
    await asyncio.sleep(CUT_S)
    if deployment.is_trouble():
        await relays[0].listen()
        record.line(f'{targets[0].target_id} can be reached again')
    healed_at = time.monotonic()
    await asyncio.gather(*calls)
    for link in relays:
        link.close()
    # Only the time in which both can be reached counts.
    return keyed.is_broken(record, targets, healed_at)


if __name__ == '__main__':
    deployment.run(case, __file__)
