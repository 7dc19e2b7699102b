import asyncio
import unittest

import cbor2

from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import owner_usage
from amaranthcrank.router import peers


class DomainLoadTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.load = peers.DomainLoad(lambda: self.now)

    def test_reports_add_up(self):
        self.load.record_report('h-2', {'i-1': 2})
        self.load.record_report('h-3', {'i-1': 1, 'i-2': 1})
        self.load.refresh()
        self.assertEqual(self.load.in_flight_by_target, {'i-1': 3, 'i-2': 1})
        self.assertEqual(self.load.hosts, 3)

    def test_newer_report_replaces_the_older(self):
        self.load.record_report('h-2', {'i-1': 2})
        self.load.record_report('h-2', {})
        self.load.refresh()
        self.assertEqual(self.load.in_flight_by_target, {})

    def test_report_of_a_lost_host_expires(self):
        # Requests that a host had in flight when it ended must not occupy
        # slots.
        self.load.record_report('h-2', {'i-1': 3})
        self.now += owner_usage.REPORT_TTL_S + 0.1
        self.load.refresh()
        self.assertEqual(self.load.in_flight_by_target, {})
        self.assertEqual(self.load.hosts, 1)


class MessengerTest(unittest.IsolatedAsyncioTestCase):
    async def _peer(self, host_id, domain):
        peer = peers.Messenger(host_id, domain)
        address = peer.open(model.Address('127.0.0.1', 0))
        self.addCleanup(peer.close)
        return peer, address

    async def test_datagrams_reach_their_recipients(self):
        first, _ = await self._peer('h-1', 'a')
        received = []
        for host_id, domain in (('h-2', 'a'), ('h-3', 'b')):
            peer, address = await self._peer(host_id, domain)
            first.by_id[host_id] = peers.Peer(host_id, address, domain)
            peer.handler_by_kind[message_kinds.LOAD] = (
                lambda sender, content, host_id=host_id: received.append(
                    (host_id, sender, content)
                )
            )
        first.send_in_domain(message_kinds.LOAD, {'i-1': 1})
        first.send('h-3', message_kinds.LOAD, {})
        await asyncio.sleep(0.05)
        self.assertEqual(
            sorted(received),
            [('h-2', 'h-1', {'i-1': 1}), ('h-3', 'h-1', {})],
        )

    async def test_datagrams_that_arrive_faster_than_turns(self):
        """Guards against a busy host that reads its datagrams seconds late.

        Its turns of the event loop are long, and some hundred datagrams
        arrive in each second.
        """
        first, _ = await self._peer('h-1', 'a')
        peer, address = await self._peer('h-2', 'a')
        received = []
        peer.handler_by_kind[message_kinds.LOAD] = lambda sender, content: (
            received.append(content)
        )
        first.by_id['h-2'] = peers.Peer('h-2', address, 'a')
        for number in range(100):
            first.send('h-2', message_kinds.LOAD, {'i-1': number})
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(len(received), 100)

    async def test_socket_that_is_closed_by_a_handler(self):
        peer, address = await self._peer('h-1', 'a')
        peer.handler_by_kind[message_kinds.LOAD] = lambda sender, content: (
            peer.close()
        )
        peer.by_id['h-1'] = peers.Peer('h-1', address, 'a')
        for _ in range(3):
            peer.send('h-1', message_kinds.LOAD, {})
        await asyncio.sleep(0.01)
        self.assertEqual(peer.socket_errors, 0)

    async def test_malformed_datagrams_are_ignored(self):
        peer, _ = await self._peer('h-1', 'a')
        for data in (b'', b'\xff\xff', cbor2.dumps(7), cbor2.dumps([1])):
            peer.receive(data)
