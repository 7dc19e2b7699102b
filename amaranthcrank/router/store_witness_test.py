"""Tests of what hosts tell each other of the store's answers."""

import asyncio
import unittest

from amaranthcrank.router import clock
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import store_history
from amaranthcrank.router import store_witness
from standins import neighbours


class StoreWitnessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.talk_by_id = {}
        self.history_by_id = {}
        self.witness_by_id = {}
        for number in range(3):
            host_id = f'h-{number}'
            peer = peers.Peer(
                host_id, model.Address('10.0.0.1', number), neighbours.DOMAIN
            )
            talk = neighbours.Talk(peer, self.talk_by_id)
            history = store_history.StoreHistory()
            self.history_by_id[host_id] = history
            self.witness_by_id[host_id] = store_witness.StoreWitness(
                talk, history
            )

    async def _ask(self):
        self.witness_by_id['h-0'].ask()
        await asyncio.sleep(0.05)

    async def test_answers_of_others_are_learnt(self):
        since = clock.now() - 0.3
        self.history_by_id['h-2'].note_answer()
        await asyncio.sleep(0.2)
        await self._ask()
        silence_s = self.history_by_id['h-0'].longest_silence_s(since)
        self.assertLess(silence_s, 0.4)

    async def test_hearsay_is_not_passed_on(self):
        self.history_by_id['h-1'].add_ages([100])
        await self._ask()
        since = clock.now() - 5.0
        silence_s = self.history_by_id['h-0'].longest_silence_s(since)
        self.assertGreaterEqual(silence_s, 5.0)

    async def test_all_answers_fit_into_a_datagram(self):
        now = clock.now()
        history = store_history.StoreHistory(lambda: now)
        while now < clock.now() + store_history.REMEMBER_S:
            now += 0.02
            history.note_answer()
        talk = self.talk_by_id['h-0']
        self.assertTrue(talk.fits(peers.STORE_SEEN, history.ages_ms()))

    async def test_what_is_no_list_of_ages_is_passed_over(self):
        self.talk_by_id['h-0'].handler_by_kind[peers.STORE_SEEN]('h-1', 'x')
        self.talk_by_id['h-0'].handler_by_kind[peers.STORE_SEEN]('h-1', ['x'])


if __name__ == '__main__':
    unittest.main()
