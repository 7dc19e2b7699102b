"""An entry by another writer stands at the address of an owner of keys."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import record  # noqa: E402
import small_site as sites  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
OWNERS = 4
CALM_S = 6.0
WATCH_S = 14.0
REQUESTS_PER_S = 40.0


async def consume(site: sites.Site) -> None:
    """Send keyed requests, as consumers do, until cancelled."""
    pending = set()
    while True:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        asking = asyncio.create_task(
            site.ask(
                random.choice(site.routers),
                'POST',
                '/book/entry',
                2000,
                random.randrange(record.KEYS),
            )
        )
        pending.add(asking)
        asking.add_done_callback(pending.discard)


async def play(log: record.Record) -> int:
    """Play the case; return the exit status."""
    site = sites.Site(log)
    try:
        await site.start_store()
        site.put_manifest(
            [
                [
                    'r-book',
                    sites.HOST,
                    '/book/',
                    'unsafe',
                    1500,
                    400,
                    0,
                    'book',
                    2,
                    None,
                ]
            ],
            [['book', '/healthz', 110, 'h1', False, True, 2.0, 'rpc']],
        )
        zones = list(sites.ZONES)
        for number in range(OWNERS):
            target = site.new_target(
                f'i-{number + 1:08x}', 'book', zones[number % 3], True
            )
            await target.start()
        for number, zone in enumerate(zones):
            site.add_router(f'front-{number + 1}', zone)
        try:
            await site.wait_until_ready()
            await site.wait_until_owned('book')
        except TimeoutError:
            log.add('not_started')
            return 2
        site.spawn(consume(site))
        await asyncio.sleep(CALM_S)
        if not log.served:
            log.add('nothing_served')
            return 2
        if TROUBLE:
            write_odd_entry(site)
        await asyncio.sleep(WATCH_S)
    finally:
        await site.close()
    return judge(log)


def write_odd_entry(site: sites.Site) -> None:
    """Write an entry as another writer, with a service that nobody named."""
    owner = site.targets[0]
    spec = {
        'address': f'{owner.ip}:{owner.port}',
        'info': {
            'service': 'inventory',
            'version': 'v1',
            'zone': owner.zone,
            'slots': 1,
        },
        'born': time.time_ns() // 1_000_000,
    }
    status = {'state': 'ready', 'seq': 1, 'warmupLeftMs': 0}
    site.store.put('servers', 'inventory-scan', spec, status)
    site.log.add('odd_entry', address=spec['address'])


def judge(log: record.Record) -> int:
    """Check OWNER: two targets held the same keys for over half a second."""
    shared = log.shared()
    for one, other, shared_s in shared:
        log.add(
            'OWNER',
            keys=f'{max(one.first, other.first)}-{min(one.last, other.last)}',
            held_by=one.target,
            and_by=other.target,
            fences=f'{one.fence},{other.fence}',
            seconds=round(shared_s, 2),
        )
    log.add('result', broken=len(shared))
    return 1 if shared else 0


if __name__ == '__main__':
    sys.exit(sites.run(play, FOLDER))
