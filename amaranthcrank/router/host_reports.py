"""What the hosts tell one another, and what each makes of it."""

import asyncio
import typing

from amaranthcrank.router import admission
from amaranthcrank.router import change_parts
from amaranthcrank.router import controller_lease
from amaranthcrank.router import crash_reports
from amaranthcrank.router import directory
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import owner_usage
from amaranthcrank.router import peers
from amaranthcrank.router import shared_read_schedule

TICK_S = 0.03
LOAD_REPORT_S = 0.06
# Most of these reports cross failure domains, which is paid for by the byte.
OWNERS_REPORT_S = 0.12
# With more hosts than these each reports more seldom, so that what a host,
# or the controller, takes in stays the same.
DOMAIN_REPORT_HOSTS = 4
OWNERS_REPORT_HOSTS = 60
# A report that still holds is repeated before the others forget it.
REPEAT_S = owner_usage.REPORT_TTL_S / 2
KEY_REPORT_S = 0.4
# As many as fit into a datagram with long names of services.
MAX_KEY_SAMPLES = 30
# Until the others are heard of, a host takes itself for one of two.
MIN_DOMAIN_HOSTS = 2
CONTROLLER_HEARTBEAT_S = 0.5
# Other hosts ask for the lease when they hear nothing for so long.
CONTROLLER_SILENCE_S = 1.4
# A host that registered tells the others this often, as datagrams are lost.
HELLO_TIMES = 3
HELLO_INTERVAL_S = 1.0
NEVER = -1000.0


def owners_interval_s(hosts: int) -> float:
    """Return how often each of some hosts reports owners in demand."""
    return OWNERS_REPORT_S * max(1.0, hosts / OWNERS_REPORT_HOSTS)


class HostReports:
    """Sends this host's reports and applies those of the others."""

    def __init__(
        self,
        messenger: peers.Messenger,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        request_queue: admission.Admission,
        crashes: crash_reports.CrashReports,
        lease: controller_lease.Lease,
        controller: key_controller.Controller,
        own: peers.Peer,
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Apply reports to the given parts.

        Args:
          talk: Sends to and hears from the other hosts.
          targets: Takes their load.
          keys: Takes changes of key maps.
          request_queue: Is told when there may be room.
          crashes: Takes reports of requests that crash targets.
          lease: Tells whether this host is the controller.
          controller: Takes load by key while this host is.
          own: This host, as the others should know it.
          clock: Returns the event loop's time.
          random: Returns floats from 0 to below 1.
        """
        self.domain_load = peers.DomainLoad(clock)
        self.read_schedule = shared_read_schedule.SharedReadSchedule(
            clock,
            random,
            keys.revision,
            self.is_controller_known,
            messenger.count_all,
        )
        self._own = own
        self._in_demand: frozenset[str] = frozenset()
        self._messenger = messenger
        self._targets = targets
        self._keys = keys
        self._admission = request_queue
        self._crashes = crashes
        self._lease = lease
        self._controller = controller
        self._clock = clock
        self._controller_id = ''
        self._controller_heartbeat_at = NEVER
        self._is_load_stale = False
        self._parts = change_parts.PartAssembler()
        self._key_samples: list[tuple[str, int, float]] = []
        self._reported_load: dict[str, int] = {}
        self._reported_at = 0.0
        self._owners = owner_usage.UsageAggregator(clock)
        self._owners_reported_at = 0.0
        self._total_by_owner: owner_usage.UsageByTarget = {}
        self._total_at = NEVER
        messenger.handler_by_kind.update(
            {
                peers.LOAD: self._on_load,
                peers.OWNERS: self._on_owners,
                peers.OWNERS_TOTAL: self._on_owners_total,
                peers.KEYS: self._on_keys,
                peers.DISOWNED: self._on_disowned,
                peers.CRASHED: self._on_crash,
                peers.ANSWERED: self._on_cleared,
                peers.CONTROLLER: self._on_controller,
                peers.RESIGNED: self._on_resigned,
                peers.SETTLED: self._on_settled,
                peers.MOVED: self._on_moved,
                peers.HELLO: self._on_hello,
            }
        )

    # The controller.

    def is_controller_alive(self) -> bool:
        """Tell whether another host leads, as far as was heard just now."""
        silent_s = self._clock() - self._controller_heartbeat_at
        return silent_s < CONTROLLER_SILENCE_S

    def is_controller_known(self) -> bool:
        """Tell whether this host leads or hears who does."""
        return self._lease.is_held or self.is_controller_alive()

    async def send_heartbeats(self) -> None:
        """Tell the others that this host leads, while it does.

        The heartbeat names the revision of the lease, those of the key maps,
        so that who missed a change knows it, and the services in demand.
        """
        while self._lease.is_held:
            revisions = {
                service: key_map.revision
                for service, key_map in self._keys.by_service.items()
            }
            in_demand = sorted(self._controller.contended_services)
            content = [self._lease.revision, revisions, in_demand]
            self._messenger.send_to_all(peers.CONTROLLER, content)
            await asyncio.sleep(CONTROLLER_HEARTBEAT_S)

    def broadcast_resignation(self) -> None:
        """Tell the others that this host does not lead any more."""
        self._messenger.send_to_all(peers.RESIGNED, None)

    def _on_controller(self, host_id: str, content: typing.Any) -> None:
        self._controller_id = host_id
        self._controller_heartbeat_at = self._clock()
        if isinstance(content, list) and len(content) == 3:
            lease_revision, revisions, in_demand = content
            self._in_demand = frozenset(in_demand)
            self._lease.record_heartbeat(lease_revision)
            self.read_schedule.record_revisions(revisions)

    def _on_resigned(self, host_id: str, content: typing.Any) -> None:
        if host_id == self._controller_id:
            self._controller_heartbeat_at = NEVER
            self._lease.record_resignation()

    # Hosts that join.

    async def announce(self) -> None:
        """Tell the others of this host, once it is registered, for ever.

        Whoever registers later reads of this host in the store; those who
        registered before it learn of it here. A host that hears no
        controller may be unknown to it.
        """
        self.read_schedule.request()
        for _ in range(HELLO_TIMES):
            await asyncio.sleep(HELLO_INTERVAL_S)
            self._messenger.send_to_all(peers.HELLO, self._hello())
        while True:
            await asyncio.sleep(HELLO_INTERVAL_S)
            if not self.is_controller_known():
                holder_id = self._lease.holder_id
                self._messenger.send(holder_id, peers.HELLO, self._hello())

    def _hello(self) -> list[typing.Any]:
        return [*self._own.address, self._own.failure_domain]

    def _on_hello(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list) or len(content) != 3:
            return
        ip, port, failure_domain = content
        self._messenger.by_id[host_id] = peers.Peer(
            host_id, model.Address(ip, port), failure_domain
        )

    # Keys in demand, and targets that disown them.

    def record_key(self, service: str, key: int, work_s: float) -> None:
        """Count a request for a key and the work that it is likely to be."""
        if self._lease.is_held:
            self._controller.load.add(service, key, work_s)
            return
        self._key_samples.append((service, key, round(work_s, 3)))

    async def report_keys(self) -> None:
        """Report keys in demand to the controller, for ever."""
        while True:
            await asyncio.sleep(KEY_REPORT_S)
            samples = self._key_samples[:MAX_KEY_SAMPLES]
            self._key_samples = []
            if samples and self._controller_id:
                self._messenger.send(self._controller_id, peers.KEYS, samples)

    def _on_keys(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list):
            return
        for service, key, work_s in content:
            self._controller.load.add(service, key, work_s)

    def send_disowned(self, target_id: str) -> None:
        """Tell the controller of a target that does not hold its keys."""
        if self._lease.is_held:
            self._controller.renew_soon(target_id)
            return
        if self._controller_id:
            self._messenger.send(
                self._controller_id, peers.DISOWNED, target_id
            )

    def _on_disowned(self, host_id: str, content: typing.Any) -> None:
        if isinstance(content, str) and self._lease.is_held:
            self._controller.renew_soon(content)

    # Moves of keys.

    def broadcast_moved(self, old: model.KeyMap, new: model.KeyMap) -> None:
        """Tell all hosts how a key map differs from the one before.

        A difference too long for a datagram is read from the store, like one
        whose datagram is lost.
        """
        known = set(old.ranges)
        changed = [
            key_range._replace(former_holders='')
            for key_range in new.ranges
            if key_range not in known
        ]
        change = (new.service, old.revision, new.revision)

        def content(
            index: int, count: int, part: change_parts.Part
        ) -> list[typing.Any]:
            return [*change, index, count, [list(one) for one in part]]

        def fits(part: change_parts.Part) -> bool:
            return self._messenger.fits(peers.MOVED, content(0, 1, part))

        parts = change_parts.split(changed, fits)
        for index, part in enumerate(parts):
            self._messenger.send_to_all(
                peers.MOVED, content(index, len(parts), part)
            )

    def _on_moved(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list) or len(content) != 6:
            return
        service, former_revision, revision, index, count, values = content
        part = [model.KeyRange(*value) for value in values]
        changed = self._parts.add((service, revision), index, count, part)
        if changed is None:
            return
        if self._keys.apply_diff(service, former_revision, revision, changed):
            self._admission.assign_waiting(service)

    def broadcast_settled(
        self, service: str, key_range: model.KeyRange
    ) -> None:
        """Tell all hosts that a range has its new owner."""
        content = [
            service,
            key_range.first,
            key_range.last,
            key_range.fence,
        ]
        self._messenger.send_to_all(peers.SETTLED, content)
        self._on_settled('', content)

    def _on_settled(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list) or len(content) != 4:
            return
        self._keys.mark_move_completed(*content)
        self._admission.assign_waiting(content[0])

    # Requests that crash targets.

    def broadcast_crash(self, request: bytes, target_id: str) -> None:
        """Tell all hosts under which request a target ended."""
        self._messenger.send_to_all(peers.CRASHED, [request, target_id])

    def broadcast_cleared(self, request: bytes) -> None:
        """Tell all hosts that such a request was answered."""
        self._messenger.send_to_all(peers.ANSWERED, request)

    def _on_crash(self, host_id: str, content: typing.Any) -> None:
        if isinstance(content, list) and len(content) == 2:
            self._crashes.record_crash(content[0], content[1])

    def _on_cleared(self, host_id: str, content: typing.Any) -> None:
        if isinstance(content, bytes):
            self._crashes.clear(content)

    # Load.

    async def report_load(self) -> None:
        """Report load and serve who waits, for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._is_load_stale:
                self.apply_load()
            if self._admission.total_waiting():
                self._admission.assign_all_waiting()
            now = self._clock()
            if now - self._reported_at >= self._domain_interval_s():
                self._report_in_domain(now)
            if now - self._owners_reported_at >= owners_interval_s(
                self._messenger.count_all()
            ):
                self._report_owners(now)

    def _domain_interval_s(self) -> float:
        return LOAD_REPORT_S * max(
            1.0, self.domain_load.hosts / DOMAIN_REPORT_HOSTS
        )

    def apply_load(self) -> None:
        """Bring the others' load to the targets."""
        self._is_load_stale = False
        self.domain_load.refresh()
        age_s = self._clock() - self._total_at
        if age_s > owner_usage.REPORT_TTL_S:
            self._total_by_owner = {}
        for target_id, target in self._targets.by_id.items():
            in_domain = self.domain_load.in_flight_by_target.get(target_id, 0)
            use = self._total_by_owner.get(target_id)
            # The total counts the hosts nearby as well.
            target.in_flight_elsewhere = (
                in_domain if use is None else use.in_flight
            )
            target.waiting_elsewhere = 0 if use is None else use.waiting
        self._admission.domain_hosts = max(
            MIN_DOMAIN_HOSTS, self.domain_load.hosts
        )

    def _on_load(self, host_id: str, content: typing.Any) -> None:
        self.domain_load.record_report(host_id, content)
        self._is_load_stale = True

    def _on_owners(self, host_id: str, content: typing.Any) -> None:
        """Answer a report of owners in demand with what the others have."""
        if not isinstance(content, dict):
            return
        self._owners.put_report(host_id, owner_usage.decode_usage(content))
        total = self._owners.usage_by_others(host_id)
        if host_id == self._own.host_id:
            self._on_owners_total(host_id, total)
            return
        self._messenger.send(host_id, peers.OWNERS_TOTAL, total)

    def _on_owners_total(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, dict):
            return
        self._total_by_owner = owner_usage.decode_usage(content)
        self._total_at = self._clock()
        self._is_load_stale = True

    def _report_in_domain(self, now: float) -> None:
        """Tell the hosts of this failure domain what is in flight."""
        load = {
            target_id: target.in_flight
            for target_id, target in self._targets.by_id.items()
            if target.in_flight
        }
        unchanged = load == self._reported_load
        if unchanged and now - self._reported_at < REPEAT_S:
            return
        self._reported_load = load
        self._reported_at = now
        self._messenger.send_in_domain(peers.LOAD, load)

    def _report_owners(self, now: float) -> None:
        """Tell the controller of owners in demand; it answers with totals.

        A host with nothing at such owners reports that once.
        """
        self._owners_reported_at = now
        load = self._owners_in_demand()
        if not load and not self._total_by_owner:
            return
        if self._lease.is_held:
            self._on_owners(self._own.host_id, load)
            return
        self._messenger.send(self._controller_id, peers.OWNERS, load)
        if not load:
            self._total_by_owner = {}

    def _owners_in_demand(self) -> owner_usage.UsageByTarget:
        waiting_by_owner = self._admission.waiting_by_owner()
        in_demand = self._in_demand
        if self._lease.is_held:
            in_demand = self._controller.contended_services
        load = {}
        for target_id, target in self._targets.by_id.items():
            if not self._controller.is_keyed(target.entry.service):
                continue
            queued = waiting_by_owner.get(target_id, 0)
            in_flight = target.in_flight
            contested = target.waiting_elsewhere > 0
            contested = contested or target.entry.service in in_demand
            if queued or in_flight > 1 or (in_flight and contested):
                load[target_id] = owner_usage.Usage(in_flight, queued)
        return load
