"""Settings get keys that the pages do not explain, empty, before restarts."""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import record  # noqa: E402
import small_site as sites  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
TARGETS = 6
CALM_S = 4.0
GAP_S = 1.0
WATCH_S = 15.0
# The platform starts a process that has ended again after this time.
RESTART_S = 1.0
POLL_S = 0.05
GRACE_S = 6.0
REQUESTS_PER_S = 40.0
DEADLINE_MS = 2000
EMPTY_KEYS = """\
terms.bounds.evacMs=
terms.bounds.coldOvershoot=
terms.bounds.coldSlack=
"""
# "processes end by themselves three times in the day"
MAX_ENDS = 3


class Platform:
    """Starts processes that have ended again, as the platform does.

    Attributes:
      own_ends: How often each router ended without a signal.
      served: How many requests were served in the last part.
      sent: How many were sent in it.
    """

    def __init__(self, site: sites.Site) -> None:
        self.own_ends = dict.fromkeys(
            (router.name for router in site.routers), 0
        )
        self.served = 0
        self.sent = 0
        self._site = site
        self._stopped: set[str] = set()

    async def supervise(self, router: sites.Router) -> None:
        """Start a router again whenever it has ended, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            process = router.process
            if process is None or process.poll() is None:
                continue
            self._site.log.add(
                'ended', router=router.name, status=process.returncode
            )
            if router.name in self._stopped:
                self._stopped.discard(router.name)
            else:
                self.own_ends[router.name] += 1
            await asyncio.sleep(RESTART_S)
            self._site.log.add('started', router=router.name)
            router.start()

    async def restart_all(self) -> None:
        """Stop one router after the other; each is started again."""
        for router in self._site.routers:
            self._stopped.add(router.name)
            assert router.process is not None
            self._site.log.add('sigterm', router=router.name)
            router.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(GRACE_S + RESTART_S + GAP_S)

    async def consume(self) -> None:
        """Send requests to routers that are ready, until cancelled."""
        pending = set()
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            asking = asyncio.create_task(self._ask())
            pending.add(asking)
            asking.add_done_callback(pending.discard)

    async def _ask(self) -> None:
        self.sent += 1
        router = random.choice(self._site.routers)
        answer = await self._site.ask(
            router, 'GET', '/read/lookup', DEADLINE_MS
        )
        self.served += answer is not None and answer.status == 200


async def play(log: record.Record) -> int:
    """Play the case; return the exit status."""
    site = sites.Site(log)
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
            await site.new_target(
                f'i-{number + 1:08x}', 'desk', zones[number % 3]
            ).start()
        for number, zone in enumerate(zones):
            site.add_router(f'front-{number + 1}', zone)
        try:
            await site.wait_until_ready()
        except TimeoutError:
            log.add('not_started')
            return 2
        platform = Platform(site)
        for router in site.routers:
            site.spawn(platform.supervise(router))
        site.spawn(platform.consume())
        await asyncio.sleep(CALM_S)
        if not platform.served:
            log.add('nothing_served')
            return 2
        if TROUBLE:
            add_keys(site)
        await asyncio.sleep(GAP_S)
        await platform.restart_all()
        platform.sent = platform.served = 0
        await asyncio.sleep(WATCH_S)
        return judge(log, platform)
    finally:
        await site.close()


def add_keys(site: sites.Site) -> None:
    """Change the settings of all machines, with SIGHUP on all but one."""
    for index, router in enumerate(site.routers):
        router.settings += EMPTY_KEYS
        router.write_settings()
        assert router.process is not None
        if index:
            router.process.send_signal(signal.SIGHUP)
    site.log.add('settings_changed')


def judge(log: record.Record, platform: Platform) -> int:
    """Check Fault: a program does not start, and no request is served."""
    ended = [
        name for name, ends in platform.own_ends.items() if ends >= MAX_ENDS
    ]
    log.add(
        'result',
        own_ends=platform.own_ends,
        sent=platform.sent,
        served=platform.served,
    )
    return 1 if len(ended) >= 2 and not platform.served else 0


if __name__ == '__main__':
    sys.exit(sites.run(play, FOLDER))
