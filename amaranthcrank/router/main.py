"""The router process: starts its parts and shuts them down in order."""

import asyncio
import contextlib
import os
import signal
import sys
import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.router import cold_quota_updates
from amaranthcrank.router import common_parts
from amaranthcrank.router import control_parts
from amaranthcrank.router import controller_tasks
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import options
from amaranthcrank.router import probe_responses
from amaranthcrank.router import request_path
from amaranthcrank.router import server_limits
from amaranthcrank.router import shutdown_limits
from amaranthcrank.router import ticket_application

MAINTENANCE_INTERVAL_S = 0.25
SETTINGS_CHECK_INTERVAL_S = 2.0
# After SIGTERM the load balancer sends new connections until two of its health
# checks, one second apart, have failed.
LISTEN_AFTER_SIGTERM_S = 2.4
# The process ends by itself this long before SIGKILL is due.
EXIT_MARGIN_S = 0.15
DRAIN_CHECK_INTERVAL_S = 0.05
# The time for responses that say that the process ends.
LAST_RESPONSES_S = 0.25

EXIT_BAD_SETTINGS = 2
STANDARD_OUTPUT = 1


class Router:
    """The parts of one entry host's router."""

    def __init__(
        self,
        settings: model.HostSettings,
        path: str,
        log_descriptor: int = STANDARD_OUTPUT,
        process_options: options.Options = options.Options(),
    ) -> None:
        """Create the parts without opening sockets."""
        self.settings = settings
        self.settings_path = path
        self.stopping = asyncio.Event()
        self._common = common_parts.build(
            settings, process_options, log_descriptor
        )
        self._path = request_path.build(self._common)
        self._control = control_parts.build(
            self._common, self._path, self._apply_ticket
        )
        self._expose_parts()
        self.probe_server = http_server.Server(self.handle_probe)
        self.ticket_server = http_server.Server(self.ticket_feed.handle)
        self._limit_servers()

    def _expose_parts(self) -> None:
        self.options = self._common.options
        self.log = self._common.log
        self.metrics = self._common.metrics
        self.pool = self._common.pool
        self.store = self._common.store
        self.peers = self._common.peers
        self.targets = self._path.targets
        self.keys = self._path.keys
        self.times = self._path.times
        self.crashes = self._path.crashes
        self.budget = self._path.budget
        self.admission = self._path.admission
        self.cold_quota = self._path.cold_quota
        self.notices = self._path.notices
        self.sender = self._path.sender
        self.forwarder = self._path.forwarder
        self.server = self._path.server
        self.lease = self._control.lease
        self.controller = self._control.controller
        self.reports = self._control.reports
        self.ticket_feed = self._control.ticket_feed
        self.retry_gate = self._control.retry_gate
        self.grace = self._control.grace
        self.target_feed = self._control.target_feed
        self.evacuation_feed = self._control.evacuation_feed
        self.shared_feed = self._control.shared_feed

    def _limit_servers(self) -> None:
        servers = server_limits.Servers(
            self.server, self.probe_server, self.ticket_server
        )
        for server in servers:
            server.on_handler_error = self._on_handler_error
        shares = server_limits.apply(servers, self.settings, self.options)
        self.pool.may_keep = server_limits.idle_check(self.server, shares)

    async def run(self, stack: contextlib.AsyncExitStack) -> None:
        """Serve until SIGTERM, then finish the requests in progress.

        Args:
          stack: Closes the opened resources on exit.

        Raises:
          OSError: A listening address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self.log.event('started', settings=self.settings_path)
        stack.callback(self.log.flush)
        stack.callback(self.pool.close)
        stack.callback(self.peers.close)
        stack.callback(self.probe_server.close)
        stack.callback(self.ticket_server.close)
        stack.callback(self.server.close)
        await self._listen()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        tasks = [loop.create_task(job) for job in self._jobs()]
        for task in tasks:
            task.add_done_callback(self._on_job_end)
            stack.callback(task.cancel)
        await self.stopping.wait()
        await self._drain()

    async def _listen(self) -> None:
        settings = self.settings
        await self.probe_server.listen(settings.readiness_address)
        await self.probe_server.listen(
            model.Address(settings.ip, settings.metrics_port)
        )
        await self.server.listen(settings.listen_address)
        await self.ticket_server.listen(
            model.Address(settings.ip, settings.peer_port)
        )
        self.peers.open(model.Address(settings.ip, settings.peer_port))

    def _jobs(self) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        jobs = [
            self.ticket_feed.follow(),
            self.target_feed.follow(),
            self.shared_feed.follow(),
            self._register(),
            self.reports.report_load(),
            self.reports.report_key_load(),
            self.server.enforce_timeouts(),
            self.probe_server.enforce_timeouts(),
            self.ticket_server.enforce_timeouts(),
            controller_tasks.run(
                self._common,
                self._control,
                self.stopping,
                self._act_as_controller,
            ),
            self._run_maintenance(),
            self._watch_settings(),
        ]
        if self.evacuation_feed is not None:
            jobs.append(self.evacuation_feed.follow())
        return jobs

    def _on_job_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # Without the failed job the others would continue with state that is
        # no longer updated, so the process ends.
        self.log.event('part_failed', error=repr(task.exception()))
        loop = asyncio.get_running_loop()
        loop.call_exception_handler(
            {'message': 'part failed', 'exception': task.exception()}
        )
        self.stopping.set()

    def _on_handler_error(self, error: Exception) -> None:
        self.log.event('handler_failed', error=repr(error))

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        if self.stopping.is_set() or self.forwarder.table is None:
            return False
        return self.targets.loaded and not self.targets.awaits_evacuations

    async def handle_probe(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Respond to readiness probes and to scrapes of the metrics."""
        return probe_responses.respond(
            request, self.is_ready, self._common, self._path, self.lease
        )

    def reload(self) -> None:
        """Reload the settings file; an invalid one changes nothing."""
        try:
            settings = settings_file.read(self.settings_path)
        except (OSError, settings_file.SettingsError) as error:
            self.log.event('settings_rejected', error=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.store.set_address(settings.store)
        if self.forwarder.table is not None:
            cold_quota_updates.apply_limits(
                self._path, self.forwarder.table.ticket, settings.bounds
            )
        self.log.event('settings_reloaded')

    async def _watch_settings(self) -> None:
        """Reload the settings file regularly, even without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload()

    async def _drain(self) -> None:
        """Wait for the load balancer, then finish the open requests.

        They are finished when their callers have taken the responses.
        """
        loop = asyncio.get_running_loop()
        end_at = loop.time() + self.settings.bounds.grace_s - EXIT_MARGIN_S
        self.log.event('stopping', busy=self.server.active_requests)
        self.server.draining = True
        last_responses_at = end_at - LAST_RESPONSES_S
        self.admission.begin_shutdown(
            shutdown_limits.ShutdownLimits(
                loop.time() + LISTEN_AFTER_SIGTERM_S, last_responses_at
            )
        )
        self.forwarder.shutdown.begin(last_responses_at)
        resigning = loop.create_task(self._resign())
        await asyncio.sleep(LISTEN_AFTER_SIGTERM_S)
        self.server.stop_listening()
        while self.server.is_busy and loop.time() < end_at:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        self.server.close_idle()
        await resigning
        self.log.event('stopped', busy=self.server.active_requests)

    async def _resign(self) -> None:
        await controller_tasks.resign(self._control)

    def _apply_ticket(self, ticket: model.Ticket) -> None:
        ticket_application.apply(
            ticket, self.settings, self._path, self.controller
        )

    async def _register(self) -> None:
        """Register this host and announce it to the others."""
        await self.shared_feed.register()
        await self.reports.announce()

    async def _act_as_controller(self) -> None:
        await controller_tasks.act_as_controller(
            self._common, self._control, self._resign
        )

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.targets.drop_expired()
            if self.evacuation_feed is not None and self.targets.loaded:
                self.evacuation_feed.limit_wait()
            self.pool.close_expired()
            self.reports.apply_load()
            cold_quota_updates.refresh(
                self._path, self.peers, self.shared_feed.has_joined
            )
            self.budget.hosts = self.peers.count_all()
            self.log.flush()


async def _main(
    settings: model.HostSettings, path: str, process_options: options.Options
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        router = Router(settings, path, STANDARD_OUTPUT, process_options)
        await router.run(stack)


def main() -> int:
    """Run the router until SIGTERM; return the exit status."""
    # Without a handler SIGHUP would end the process. A reload that is ignored
    # here is not lost, because the settings are read below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    process_options = options.parse(sys.argv[1:])
    path = os.environ.get(names.SETTINGS_VARIABLE, '')
    try:
        settings = settings_file.read(path)
    except (OSError, settings_file.SettingsError) as error:
        print(f'cannot use the settings file {path!r}: {error}', flush=True)
        return EXIT_BAD_SETTINGS
    asyncio.run(_main(settings, path, process_options))
    return 0


if __name__ == '__main__':
    sys.exit(main())
