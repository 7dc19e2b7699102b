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
from amaranthcrank.router import shared_news

TICK_S = 0.03
LOAD_REPORT_S = 0.06
# Most of these reports cross failure domains, which is paid for by the byte.
OWNERS_REPORT_S = 0.12
# With more hosts than these each reports more seldom, so that what a host,
# or the controller, takes in stays the same.
NEAR_HOSTS = 4
ALL_HOSTS = 60
# A report that still holds is repeated before the others forget it.
REPEAT_S = owner_usage.REPORT_TTL_S / 2
KEY_REPORT_S = 0.4
# As many as fit into a datagram with long names of services.
MAX_KEY_SAMPLES = 30
# Until the others are heard of, a host takes itself for one of two.
MIN_DOMAIN_HOSTS = 2
CONTROLLER_BEAT_S = 0.5
# Other hosts ask for the lease when they hear nothing for so long.
CONTROLLER_SILENCE_S = 1.4
# A host that registered tells the others this often, as datagrams are lost.
HELLO_TIMES = 3
HELLO_INTERVAL_S = 1.0
NEVER = -1000.0


def owners_interval_s(hosts: int) -> float:
    """Return how often each of some hosts reports owners in demand."""
    return OWNERS_REPORT_S * max(1.0, hosts / ALL_HOSTS)


class HostReports:
    """Sends this host's reports and applies those of the others."""

    def __init__(
        self,
        talk: peers.Peers,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        waiting: admission.Admission,
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
          waiting: Is told when there may be room.
          crashes: Takes reports of requests that crash targets.
          lease: Tells whether this host is the controller.
          controller: Takes load by key while this host is.
          own: This host, as the others should know it.
          clock: Returns the event loop's time.
          random: Returns floats from 0 to below 1.
        """
        self.board = peers.LoadBoard(clock)
        self.news = shared_news.SharedNews(
            clock,
            random,
            keys.revision,
            self.is_controller_near,
            talk.count_all,
        )
        self._own = own
        self._in_demand: frozenset[str] = frozenset()
        self._talk = talk
        self._targets = targets
        self._keys = keys
        self._admission = waiting
        self._crashes = crashes
        self._lease = lease
        self._controller = controller
        self._clock = clock
        self._controller_id = ''
        self._controller_heard_at = NEVER
        self._is_stale = False
        self._parts = change_parts.PartCollector()
        self._key_samples: list[tuple[str, int, float]] = []
        self._reported: dict[str, int] = {}
        self._reported_at = 0.0
        self._owners = owner_usage.UsageAggregator(clock)
        self._owners_reported_at = 0.0
        self._total_by_owner: owner_usage.UsageByTarget = {}
        self._total_at = NEVER
        talk.handler_by_kind.update(
            {
                peers.LOAD: self._take_load,
                peers.OWNERS: self._take_owners,
                peers.OWNERS_TOTAL: self._take_owners_total,
                peers.KEYS: self._take_keys,
                peers.DISOWNED: self._take_disowned,
                peers.CRASHED: self._take_crash,
                peers.ANSWERED: self._take_cleared,
                peers.CONTROLLER: self._hear_controller,
                peers.RESIGNED: self._hear_resignation,
                peers.SETTLED: self._take_settled,
                peers.MOVED: self._take_moved,
                peers.HELLO: self._take_hello,
            }
        )

    # The controller.

    def is_controller_heard(self) -> bool:
        """Tell whether another host leads, as far as was heard just now."""
        silent_s = self._clock() - self._controller_heard_at
        return silent_s < CONTROLLER_SILENCE_S

    def is_controller_near(self) -> bool:
        """Tell whether this host leads or hears who does."""
        return self._lease.is_held or self.is_controller_heard()

    async def beat(self) -> None:
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
            self._talk.send_to_all(peers.CONTROLLER, content)
            await asyncio.sleep(CONTROLLER_BEAT_S)

    def tell_resignation(self) -> None:
        """Tell the others that this host does not lead any more."""
        self._talk.send_to_all(peers.RESIGNED, None)

    def _hear_controller(self, host_id: str, content: typing.Any) -> None:
        self._controller_id = host_id
        self._controller_heard_at = self._clock()
        if isinstance(content, list) and len(content) == 3:
            lease_revision, revisions, in_demand = content
            self._in_demand = frozenset(in_demand)
            self._lease.record_heartbeat(lease_revision)
            self.news.note_revisions(revisions)

    def _hear_resignation(self, host_id: str, content: typing.Any) -> None:
        if host_id == self._controller_id:
            self._controller_heard_at = NEVER
            self._lease.record_resignation()

    # Hosts that join.

    async def join(self) -> None:
        """Tell the others of this host, once it is registered, for ever.

        Whoever registers later reads of this host in the store; those who
        registered before it learn of it here. A host that hears no
        controller may be unknown to it.
        """
        self.news.ask()
        for _ in range(HELLO_TIMES):
            await asyncio.sleep(HELLO_INTERVAL_S)
            self._talk.send_to_all(peers.HELLO, self._hello())
        while True:
            await asyncio.sleep(HELLO_INTERVAL_S)
            if not self.is_controller_near():
                holder_id = self._lease.holder_id
                self._talk.send(holder_id, peers.HELLO, self._hello())

    def _hello(self) -> list[typing.Any]:
        return [*self._own.address, self._own.failure_domain]

    def _take_hello(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list) or len(content) != 3:
            return
        ip, port, failure_domain = content
        self._talk.by_id[host_id] = peers.Peer(
            host_id, model.Address(ip, port), failure_domain
        )

    # Keys in demand, and targets that disown them.

    def note_key(self, service: str, key: int, work_s: float) -> None:
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
                self._talk.send(self._controller_id, peers.KEYS, samples)

    def _take_keys(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list):
            return
        for service, key, work_s in content:
            self._controller.load.add(service, key, work_s)

    def note_disowned(self, target_id: str) -> None:
        """Tell the controller of a target that does not hold its keys."""
        if self._lease.is_held:
            self._controller.renew_soon(target_id)
            return
        if self._controller_id:
            self._talk.send(self._controller_id, peers.DISOWNED, target_id)

    def _take_disowned(self, host_id: str, content: typing.Any) -> None:
        if isinstance(content, str) and self._lease.is_held:
            self._controller.renew_soon(content)

    # Moves of keys.

    def tell_moved(self, former: model.KeyMap, new: model.KeyMap) -> None:
        """Tell all hosts how a key map differs from the one before.

        A difference too long for a datagram is read from the store, like one
        whose datagram is lost.
        """
        known = set(former.ranges)
        changed = [
            key_range._replace(former_holders='')
            for key_range in new.ranges
            if key_range not in known
        ]
        change = (new.service, former.revision, new.revision)

        def content(
            index: int, count: int, part: change_parts.Part
        ) -> list[typing.Any]:
            return [*change, index, count, [list(one) for one in part]]

        def fits(part: change_parts.Part) -> bool:
            return self._talk.fits(peers.MOVED, content(0, 1, part))

        parts = change_parts.split(changed, fits)
        for index, part in enumerate(parts):
            self._talk.send_to_all(
                peers.MOVED, content(index, len(parts), part)
            )

    def _take_moved(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list) or len(content) != 6:
            return
        service, former_revision, revision, index, count, values = content
        part = [model.KeyRange(*value) for value in values]
        changed = self._parts.add((service, revision), index, count, part)
        if changed is None:
            return
        if self._keys.apply_diff(service, former_revision, revision, changed):
            self._admission.assign_waiting(service)

    def tell_settled(self, service: str, key_range: model.KeyRange) -> None:
        """Tell all hosts that a range has its new owner."""
        content = [
            service,
            key_range.first,
            key_range.last,
            key_range.fence,
        ]
        self._talk.send_to_all(peers.SETTLED, content)
        self._take_settled('', content)

    def _take_settled(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list) or len(content) != 4:
            return
        self._keys.mark_move_completed(*content)
        self._admission.assign_waiting(content[0])

    # Requests that crash targets.

    def tell_crash(self, request: bytes, target_id: str) -> None:
        """Tell all hosts under which request a target ended."""
        self._talk.send_to_all(peers.CRASHED, [request, target_id])

    def tell_cleared(self, request: bytes) -> None:
        """Tell all hosts that such a request was answered."""
        self._talk.send_to_all(peers.ANSWERED, request)

    def _take_crash(self, host_id: str, content: typing.Any) -> None:
        if isinstance(content, list) and len(content) == 2:
            self._crashes.record_crash(content[0], content[1])

    def _take_cleared(self, host_id: str, content: typing.Any) -> None:
        if isinstance(content, bytes):
            self._crashes.clear(content)

    # Load.

    async def report_load(self) -> None:
        """Report load and serve who waits, for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._is_stale:
                self.apply_board()
            if self._admission.total_waiting():
                self._admission.assign_all_waiting()
            now = self._clock()
            if now - self._reported_at >= self._near_interval_s():
                self._report_near(now)
            if now - self._owners_reported_at >= owners_interval_s(
                self._talk.count_all()
            ):
                self._report_owners(now)

    def _near_interval_s(self) -> float:
        return LOAD_REPORT_S * max(1.0, self.board.hosts / NEAR_HOSTS)

    def apply_board(self) -> None:
        """Bring the others' load to the targets."""
        self._is_stale = False
        self.board.refresh()
        age_s = self._clock() - self._total_at
        if age_s > owner_usage.REPORT_TTL_S:
            self._total_by_owner = {}
        for target_id, target in self._targets.by_id.items():
            near = self.board.in_flight_by_target.get(target_id, 0)
            use = self._total_by_owner.get(target_id)
            # The total counts the hosts nearby as well.
            target.in_flight_elsewhere = near if use is None else use.in_flight
            target.waiting_elsewhere = 0 if use is None else use.waiting
        self._admission.domain_hosts = max(MIN_DOMAIN_HOSTS, self.board.hosts)

    def _take_load(self, host_id: str, content: typing.Any) -> None:
        self.board.take(host_id, content)
        self._is_stale = True

    def _take_owners(self, host_id: str, content: typing.Any) -> None:
        """Answer a report of owners in demand with what the others have."""
        if not isinstance(content, dict):
            return
        self._owners.put_report(host_id, owner_usage.decode_usage(content))
        total = self._owners.usage_by_others(host_id)
        if host_id == self._own.host_id:
            self._take_owners_total(host_id, total)
            return
        self._talk.send(host_id, peers.OWNERS_TOTAL, total)

    def _take_owners_total(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, dict):
            return
        self._total_by_owner = owner_usage.decode_usage(content)
        self._total_at = self._clock()
        self._is_stale = True

    def _report_near(self, now: float) -> None:
        """Tell the hosts of this failure domain what is in flight."""
        load = {
            target_id: target.in_flight
            for target_id, target in self._targets.by_id.items()
            if target.in_flight
        }
        unchanged = load == self._reported
        if unchanged and now - self._reported_at < REPEAT_S:
            return
        self._reported = load
        self._reported_at = now
        self._talk.send_nearby(peers.LOAD, load)

    def _report_owners(self, now: float) -> None:
        """Tell the controller of owners in demand; it answers with totals.

        A host with nothing at such owners reports that once.
        """
        self._owners_reported_at = now
        load = self._owners_in_demand()
        if not load and not self._total_by_owner:
            return
        if self._lease.is_held:
            self._take_owners(self._own.host_id, load)
            return
        self._talk.send(self._controller_id, peers.OWNERS, load)
        if not load:
            self._total_by_owner = {}

    def _owners_in_demand(self) -> owner_usage.UsageByTarget:
        waiting = self._admission.waiting_by_owner()
        in_demand = self._in_demand
        if self._lease.is_held:
            in_demand = self._controller.contended_services
        load = {}
        for target_id, target in self._targets.by_id.items():
            if not self._controller.is_keyed(target.entry.service):
                continue
            queued = waiting.get(target_id, 0)
            in_flight = target.in_flight
            contested = target.waiting_elsewhere > 0
            contested = contested or target.entry.service in in_demand
            if queued or in_flight > 1 or (in_flight and contested):
                load[target_id] = owner_usage.Usage(in_flight, queued)
        return load
