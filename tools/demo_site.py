"""Demonstrates the router on a small site of the platform, in one process.

Two routers, a store and five targets listen on loopback. Callers send
lookups and keyed changes; then an owner of keys starts to drain and a target
of the other service is removed while the requests go on.
"""

import asyncio
import collections
import contextlib
import sys

from amaranthcrank.router import main as router_main
from standins import platform_site

REQUESTS = 150
REQUEST_INTERVAL_S = 0.01
SERVICES = [['desk', '/healthz', 100, None], ['book', '/healthz', 100, True]]
ROUTES = [
    platform_site.route_row('read', '/read/', 'desk'),
    platform_site.route_row('post', '/post/', 'book', 'unsafe', 0),
]


async def _run() -> int:
    async with contextlib.AsyncExitStack() as stack:
        site = platform_site.Site(stack)
        await site.start_store()
        site.put_manifest(platform_site.manifest(1, ROUTES, SERVICES))
        for number in (1, 2):
            await site.add_target(f'desk-{number}', 'desk')
        for number in (1, 2, 3):
            await site.add_target(f'book-{number}', 'book', keyed=True)
        routers = [await site.add_router(f'host-{index}') for index in (1, 2)]
        await _wait_for_owners(routers[0])
        first_counts = await _send_requests(site, routers, 'a')
        print(f'calm: {dict(first_counts)}')
        _remove_targets(site)
        second_counts = await _send_requests(site, routers, 'b')
        print(f'a target lost, an owner leaving: {dict(second_counts)}')
        repeated_ids = _find_repeated_ids(site)
        print(f'ran twice: {len(repeated_ids)}')
        served = second_counts[200] / sum(second_counts.values())
        return int(
            bool(repeated_ids) or first_counts[200] != REQUESTS or served < 0.9
        )


async def _wait_for_owners(router: router_main.Router) -> None:
    async with asyncio.timeout(10):
        while not _has_owners(router):
            await asyncio.sleep(0.05)


def _has_owners(router: router_main.Router) -> bool:
    key_map = router.keys.map_by_service.get('book')
    if key_map is None or not key_map.ranges:
        return False
    return not any(key_range.moving for key_range in key_map.ranges)


async def _send_requests(
    site: platform_site.Site, routers: list[router_main.Router], name: str
) -> collections.Counter[int]:
    """Send requests to all routers; returns the count of each HTTP status."""
    tasks = []
    for number in range(REQUESTS):
        router = routers[number % len(routers)]
        request_id = f'{name}{number}'
        if number % 3:
            call = site.call(router, '/read/1', request_id)
        else:
            key = number * 437 % 65536
            call = site.call(router, '/post/1', request_id, 'POST', key)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    responses = await asyncio.gather(*tasks)
    return collections.Counter(response.status for response in responses)


def _remove_targets(site: platform_site.Site) -> None:
    """Shut down a target of `desk` and set an owner of `book` to draining."""
    site.target_by_id['desk-1'].server.close()
    site.store.remove('servers', 'desk-1')
    address = site.address_by_id['book-1']
    entry = site.target_by_id['book-1'].entry('book', address, 'a')
    entry['status']['state'] = 'draining'
    site.store.put('servers', 'book-1', entry)


def _find_repeated_ids(site: platform_site.Site) -> list[str]:
    counts = collections.Counter(
        request_id
        for target_id, target in site.target_by_id.items()
        if target_id.startswith('book')
        for request_id in target.ran
    )
    return [request_id for request_id, count in counts.items() if count > 1]


if __name__ == '__main__':
    sys.exit(asyncio.run(_run()))
