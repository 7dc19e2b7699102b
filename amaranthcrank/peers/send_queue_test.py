"""Tests of peers.send_queue."""

import unittest

from amaranthcrank.core import model
from amaranthcrank.peers import send_queue


def _put(waiting, frame, data):
    return send_queue.put(waiting, frame, send_queue.Item(data, 0, None))


class SendQueueTest(unittest.TestCase):
    def test_control_goes_first_and_bodies_by_rank(self):
        """Guards against a heartbeat or urgent work behind bulk bodies."""
        waiting = send_queue.SendQueue()
        large = b'l' * (send_queue.MAX_CONTROL_FRAME_BYTES + 1)
        for frame, data in (
            ({'type': 'request', 'request': {'rank': model.BULK}}, b'bulk'),
            ({'type': 'cancel'}, b'cancel'),
            ({'type': 'answer'}, b'answer'),
            ({'type': 'record'}, large),
            ({'type': 'request', 'request': {'rank': model.URGENT}}, b'urg'),
            ({'type': 'cancel', 'rank': model.URGENT}, b'urg cancel'),
            ({'type': 'heartbeat'}, b'beat'),
            ({'type': 'intent'}, b'intent'),
        ):
            self.assertTrue(_put(waiting, frame, data))
        taken = []
        while not send_queue.is_empty(waiting):
            taken.append(send_queue.take(waiting).data)
        self.assertEqual(
            [
                b'beat',
                b'intent',
                b'urg',
                b'urg cancel',
                b'answer',
                large,
                b'bulk',
                b'cancel',
            ],
            taken,
        )
        self.assertIsNone(send_queue.take(waiting))
        self.assertEqual((0, 0), (waiting.body_frames, waiting.body_bytes))

    def test_bounds(self):
        waiting = send_queue.SendQueue()
        body = b'x' * 2**20
        for _ in range(16):
            self.assertTrue(_put(waiting, {'type': 'request'}, body))
        self.assertFalse(_put(waiting, {'type': 'request'}, b'x'))
        owed = send_queue.Item(body, 0, None, is_reply=True)
        for _ in range(16):
            self.assertTrue(send_queue.put(waiting, {'type': 'answer'}, owed))
        self.assertFalse(send_queue.put(waiting, {'type': 'answer'}, owed))
        for _ in range(send_queue.MAX_CONTROL_FRAMES):
            self.assertTrue(_put(waiting, {'type': 'heartbeat'}, b'x'))
        self.assertFalse(_put(waiting, {'type': 'heartbeat'}, b'x'))
        send_queue.take(waiting)
        self.assertTrue(_put(waiting, {'type': 'heartbeat'}, b'x'))
