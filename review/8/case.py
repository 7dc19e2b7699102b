"""A request that crashes targets comes again while its service is busy."""

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
import target as targets  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TARGETS = 10
# The service is busy: its targets can run 100 requests a second.
WORK_S = 0.3
CALM_S = 6.0
# Shorter than the time after which reports of crashes expire by themselves.
WATCH_S = 56.0
REQUESTS_PER_S = 88.0
PATH = '/read/report'
CRASHING_PATH = '/read/that-one'
DEADLINE_MS = 1500
RETRIES = 1
# The caller of the crashing request sends it again after this time.
REPEAT_S = 2.0
# A crashed target is back after some seconds, with a new id.
BACK_S = (2.0, 3.0)
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.5
MAX_RETRIES = 3


class Crashes:
    """The crashes of targets, and the arrivals of the request at them."""

    def __init__(self, site: sites.Site) -> None:
        self.at: list[tuple[float, str]] = []
        self._site = site

    def on_crash(self, crashed: targets.Target) -> None:
        """Start the target again after some seconds."""
        self.at.append((self._site.log.now(), crashed.last_id))
        self._site.spawn(self._come_back(crashed))

    async def _come_back(self, crashed: targets.Target) -> None:
        await asyncio.sleep(random.uniform(*BACK_S))
        life = len(self.at)
        crashed.target_id = f'{crashed.target_id[:10]}-{life}'
        await crashed.start()


async def consume(site: sites.Site) -> None:
    """Send ordinary requests, as consumers do, until cancelled."""
    pending = set()
    while True:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        asking = asyncio.create_task(
            site.ask(random.choice(site.routers), 'GET', PATH, DEADLINE_MS)
        )
        pending.add(asking)
        asking.add_done_callback(pending.discard)


async def repeat(site: sites.Site) -> None:
    """Send the request again and again, with a consumer's own retries."""
    while True:
        began_at = time.monotonic()
        for _ in range(RETRIES + 1):
            node = random.choice(site.routers)
            left_ms = DEADLINE_MS - int((time.monotonic() - began_at) * 1000)
            if left_ms <= 50:
                break
            answer = await site.ask(node, 'GET', CRASHING_PATH, left_ms)
            if answer is None or answer.status < 300:
                break
        await asyncio.sleep(REPEAT_S)


async def play(log: record.Record) -> int:
    """Play the case; return the exit status."""
    site = sites.Site(log, HEARTBEAT_S)
    crashes = Crashes(site)
    try:
        await site.start_store()
        site.put_manifest(
            [
                [
                    'r-read',
                    sites.HOST,
                    '/read/',
                    'safe',
                    1500,
                    400,
                    1,
                    'desk',
                    2,
                    None,
                ]
            ],
            [['desk', '/healthz', 110, 'h1', False, None, None, None]],
        )
        zones = list(sites.ZONES)
        for number in range(TARGETS):
            target = site.new_target(
                f'i-{number + 1:08x}', 'desk', zones[number % 3]
            )
            target.crashes_on = CRASHING_PATH
            target.work_s = WORK_S
            target.on_crash = crashes.on_crash
            await target.start()
        for number, zone in enumerate(zones):
            site.add_router(f'front-{number + 1}', zone)
        try:
            await site.wait_until_ready()
        except TimeoutError:
            log.add('not_started')
            return 2
        site.spawn(consume(site))
        await asyncio.sleep(CALM_S)
        if not log.served:
            log.add('nothing_served')
            return 2
        if TROUBLE:
            site.spawn(repeat(site))
        await asyncio.sleep(WATCH_S)
    finally:
        await site.close()
    return judge(log, crashes)


def judge(log: record.Record, crashes: Crashes) -> int:
    """Check BUDGET: no more than three retries once three have crashed.

    A retry is a send of a router to a target. Each consumer attempt may be
    sent to two targets, so the attempts are counted too.
    """
    if len(crashes.at) < MAX_RETRIES:
        log.add('result', crashes=len(crashes.at), late=0)
        return 0
    third_at = crashes.at[2][0]
    late = [
        (at, request_id)
        for at, request_id in crashes.at
        if at > third_at + STABLE_WINDOW_S
    ]
    attempts = {request_id for _, request_id in late}
    log.add(
        'result',
        crashes=len(crashes.at),
        third_at=round(third_at, 2),
        late_sends=len(late),
        late_attempts=len(attempts),
        late_at=[round(at, 2) for at, _ in late],
    )
    return 1 if len(late) > MAX_RETRIES < len(attempts) else 0


if __name__ == '__main__':
    sys.exit(sites.run(play, FOLDER))
