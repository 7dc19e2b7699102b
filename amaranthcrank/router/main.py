"""The router process: starts its parts and shuts them down in order."""

import asyncio
import contextlib
import os
import random
import secrets
import signal
import sys
import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.platform import store
from amaranthcrank.router import admission
from amaranthcrank.router import connection_pool
from amaranthcrank.router import controller_lease
from amaranthcrank.router import crash_reports
from amaranthcrank.router import departure_queries
from amaranthcrank.router import directory
from amaranthcrank.router import entry_reads
from amaranthcrank.router import event_log
from amaranthcrank.router import forwarder
from amaranthcrank.router import host_reports
from amaranthcrank.router import http_server
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_table
from amaranthcrank.router import metrics
from amaranthcrank.router import model
from amaranthcrank.router import options
from amaranthcrank.router import outage_grace
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from amaranthcrank.router import retry_rules
from amaranthcrank.router import route_table
from amaranthcrank.router import sender
from amaranthcrank.router import server_limits
from amaranthcrank.router import service_times
from amaranthcrank.router import shared_feed
from amaranthcrank.router import shutdown_limits
from amaranthcrank.router import store_sync
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_feed
from amaranthcrank.router import target_notices
from amaranthcrank.router import ticket_feed

MAINTENANCE_INTERVAL_S = 0.25
SETTINGS_CHECK_INTERVAL_S = 2.0
# After SIGTERM the load balancer sends new connections until two of its health
# checks, one second apart, have failed.
LISTEN_AFTER_SIGTERM_S = 2.4
# The process ends by itself this long before SIGKILL is due.
EXIT_MARGIN_S = 0.15
DRAIN_CHECK_INTERVAL_S = 0.05
# A host that no longer holds the lease waits this long, so that other hosts
# can take it first.
LEASE_PAUSE_S = 0.5

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
        clock = asyncio.get_running_loop().time
        self.settings = settings
        self.options = process_options
        self.settings_path = path
        self.stopping = asyncio.Event()
        self.log = event_log.EventLog(settings.host_id, log_descriptor)
        self.metrics = metrics.Registry()
        self.pool = connection_pool.Pool(clock)
        self.store = store.Client(settings.store, self.pool)
        self.peers = peers.Messenger(settings.host_id, settings.failure_domain)
        self._build_request_path(clock)
        self._build_control(clock)
        self._set_callbacks()

    def _build_request_path(self, clock: typing.Callable[[], float]) -> None:
        settings = self.settings
        bounds = settings.bounds
        self.targets = directory.Directory(
            clock, bounds.drain_s, self.log.event
        )
        self.keys = key_table.KeyTable()
        self.times = service_times.ServiceTimes()
        self.crashes = crash_reports.CrashReports(clock)
        self.budget = retry_rules.RetryBudget(
            bounds.retry_ratio, bounds.retry_floor, bounds.retry_window_s
        )
        self.admission = admission.Admission(
            self.targets,
            self.keys,
            target_choice.Locality(
                settings.failure_domain,
                settings.region,
                settings.region_by_domain,
            ),
            self.times,
            clock,
            random.random,
        )
        self.notices = target_notices.TargetNotices(
            self.targets, self.pool, self.peers
        )
        self.sender = sender.Sender(
            self.pool, self.times, self.crashes, self.notices
        )
        self.forwarder = forwarder.Forwarder(
            self.admission,
            self.sender,
            self.budget,
            self.times,
            self.crashes,
            self.log,
            self.metrics,
        )
        self.server = http_server.Server(
            self.forwarder.handle, self.forwarder.is_idempotent
        )
        self.probe_server = http_server.Server(self.handle_probe)

    def _build_control(self, clock: typing.Callable[[], float]) -> None:
        settings = self.settings
        own = peers.Peer(
            settings.host_id,
            model.Address(settings.ip, settings.peer_port),
            settings.failure_domain,
        )
        self.lease = controller_lease.Lease(
            self.store,
            settings.host_id,
            secrets.token_hex(4),
            settings.ip,
            self.log,
        )
        self.controller = key_controller.Controller(
            self.store,
            self.lease,
            key_calls.KeyCalls(
                self.pool,
                self.log,
                entry_reads.restart_check(
                    entry_reads.entry_reader(
                        self.store, self.log, entry_reads.PRE_GRANT_TIMEOUT_S
                    )
                ),
                self.notices,
                settings.heartbeat_s,
            ),
            self.targets,
            self.keys,
            self.log,
            settings.bounds.grant_max_s,
        )
        self.reports = host_reports.HostReports(
            self.peers,
            self.targets,
            self.keys,
            self.admission,
            self.crashes,
            self.lease,
            self.controller,
            own,
            clock,
            random.random,
        )
        self.ticket_feed = ticket_feed.TicketFeed(
            self.store,
            self.peers,
            self.pool,
            self.log,
            self._apply_ticket,
            self._new_election(clock),
        )
        self.ticket_server = http_server.Server(self.ticket_feed.handle)
        for server in (self.server, self.probe_server, self.ticket_server):
            server.on_handler_error = self._on_handler_error
        shares = server_limits.apply(
            server_limits.Servers(
                self.server, self.probe_server, self.ticket_server
            ),
            settings,
            self.options,
        )
        self.pool.may_keep = server_limits.idle_check(self.server, shares)
        self.retry_gate = store_sync.gate_on(self.ticket_feed.reachability)
        self.grace = outage_grace.OutageGrace(
            self.store.availability,
            self.targets,
            departure_queries.DepartureQueries(self.peers, self.targets),
            settings.heartbeat_s,
            settings.bounds.settle_s,
            self.log.event,
        )
        self.target_feed = target_feed.TargetFeed(
            self.store,
            self.targets,
            self.peers,
            self.log,
            self.retry_gate,
            self._new_election(clock),
            self.grace,
        )
        self.shared_feed = shared_feed.SharedFeed(
            self.store,
            self.keys,
            self.peers.by_id,
            own,
            self.log,
            self.retry_gate,
            self.admission.assign_waiting,
            self.reports.read_schedule,
        )

    def _new_election(
        self, clock: typing.Callable[[], float]
    ) -> reader_election.ReaderElection:
        return reader_election.ReaderElection(
            self.settings.host_id,
            self.peers.count_in_domain,
            clock,
            random.random,
        )

    def _set_callbacks(self) -> None:
        self.forwarder.on_keyed_request = self.reports.record_keyed_request
        self.sender.on_misdirected = self.reports.send_misdirected
        self.sender.on_crash = self.reports.broadcast_crash
        self.sender.on_crash_cleared = self.reports.broadcast_crash_cleared
        self.sender.on_crash_withdrawn = self.reports.broadcast_crash_withdrawn
        self.controller.on_move_completed = (
            self.reports.broadcast_move_completed
        )
        self.controller.on_map_written = self.reports.broadcast_key_map_change

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
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self.peers,
            local_addr=(settings.ip, settings.peer_port),
        )

    def _jobs(self) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        return [
            self.ticket_feed.follow(),
            self.target_feed.follow(),
            self.shared_feed.follow(),
            self._register(),
            self.reports.report_load(),
            self.reports.report_key_load(),
            self.server.enforce_timeouts(),
            self.probe_server.enforce_timeouts(),
            self.ticket_server.enforce_timeouts(),
            self._run_controller(),
            self._run_maintenance(),
            self._watch_settings(),
        ]

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
        return self.targets.loaded

    async def handle_probe(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Respond to readiness probes and to scrapes of the metrics."""
        if request.path.startswith(b'/metrics'):
            self._set_gauges()
            body = self.metrics.render().encode()
            headers = [(b'content-type', b'text/plain; version=0.0.4')]
            return http_server.Response(200, headers, body)
        if request.path != names.READINESS_PATH:
            return http_server.Response(404, [], b'')
        return http_server.Response(200 if self.is_ready else 503, [], b'')

    def reload(self) -> None:
        """Reload the settings file; an invalid one changes nothing."""
        try:
            with open(self.settings_path, encoding='utf-8') as file:
                settings = settings_file.parse(file.read())
        except (OSError, settings_file.SettingsError) as error:
            self.log.event('settings_rejected', error=str(error))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.store.set_address(settings.store)
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
        self.admission.begin_shutdown(
            shutdown_limits.ShutdownLimits(
                loop.time() + LISTEN_AFTER_SIGTERM_S, end_at
            )
        )
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
        if self.lease.is_held:
            await self.lease.resign()
            self.reports.broadcast_resignation()

    def _apply_ticket(self, ticket: model.Ticket) -> None:
        self.forwarder.table = route_table.RouteTable(ticket)
        self.server.limits = ticket.limits
        self.controller.keyed_services = tuple(
            service.name
            for service in ticket.service_by_name.values()
            if service.keyed
        )

    async def _register(self) -> None:
        """Register this host and announce it to the others."""
        await self.shared_feed.register()
        await self.reports.announce()

    async def _run_controller(self) -> None:
        """Assign and move keys whenever this host holds the lease."""
        await asyncio.sleep(LEASE_PAUSE_S * random.random())
        while not self.stopping.is_set():
            await self.lease.acquire(
                self.reports.is_controller_alive,
                self.retry_gate,
                self.peers.count_all,
            )
            await self._act_as_controller()
            self.log.event('controller_ended')
            await asyncio.sleep(LEASE_PAUSE_S)

    async def _act_as_controller(self) -> None:
        """Run the parts of the controller until it ends or one of them fails.

        Without one of its parts it would hold the lease and move no keys, or
        tell nobody, so another host should take over.
        """
        loop = asyncio.get_running_loop()
        main_task = loop.create_task(self.controller.run())
        running = {
            main_task,
            loop.create_task(self.lease.renew()),
            loop.create_task(self.reports.send_heartbeats()),
        }
        try:
            while not main_task.done():
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        except Exception as error:
            self.log.event('controller_failed', error=repr(error))
            await self._resign()
        finally:
            for task in running:
                task.cancel()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.targets.drop_expired()
            self.pool.close_expired()
            self.reports.apply_load()
            self.budget.hosts = self.peers.count_all()
            self.log.flush()

    def _set_gauges(self) -> None:
        gauges = {
            'waiting_requests': self.admission.total_waiting(),
            'busy_requests': self.server.active_requests,
            'caller_connections': len(self.server.connections),
            'refused_connections': self.server.refused_connections,
            'deferred_reads': self.server.turns.deferred,
            'backlogged_connections': self.server.backlogged_connections,
            'targets': len(self.targets.by_id),
            'store_calls': self.store.calls,
            'opened_connections': self.pool.opened_connections,
            'evicted_responses': self.pool.buffer_budget.evicted,
            'is_controller': int(self.lease.is_held),
            'oversized_datagrams': self.peers.oversized,
            'malformed_datagrams': self.peers.malformed,
        }
        for name, value in gauges.items():
            self.metrics.set_gauge(name, value)


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
        with open(path, encoding='utf-8') as file:
            settings = settings_file.parse(file.read())
    except (OSError, settings_file.SettingsError) as error:
        print(f'cannot use the settings file {path!r}: {error}', flush=True)
        return EXIT_BAD_SETTINGS
    asyncio.run(_main(settings, path, process_options))
    return 0


if __name__ == '__main__':
    sys.exit(main())
