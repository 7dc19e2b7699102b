"""Tests of peers.send_queue."""

import unittest

from amaranthcrank.core import model
from amaranthcrank.peers import send_queue


def _put(queue, frame, data):
    return send_queue.put(queue, frame, send_queue.Item(data, 0, None))


class SendQueueTest(unittest.TestCase):
    def test_control_goes_first_and_bodies_by_rank(self):
        """Guards against heartbeats or urgent frames behind bulk bodies."""
        queue = send_queue.SendQueue()
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
            self.assertTrue(_put(queue, frame, data))
        taken = []
        while not send_queue.is_empty(queue):
            taken.append(send_queue.take(queue).data)
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
        self.assertIsNone(send_queue.take(queue))
        self.assertEqual((0, 0), (queue.body_frames, queue.body_bytes))

    def test_bounds(self):
        queue = send_queue.SendQueue()
        body = b'x' * 2**20
        for _ in range(16):
            self.assertTrue(_put(queue, {'type': 'request'}, body))
        self.assertFalse(_put(queue, {'type': 'request'}, b'x'))
        reply = send_queue.Item(body, 0, None, is_reply=True)
        for _ in range(16):
            self.assertTrue(send_queue.put(queue, {'type': 'answer'}, reply))
        self.assertFalse(send_queue.put(queue, {'type': 'answer'}, reply))
        for _ in range(send_queue.MAX_CONTROL_FRAMES):
            self.assertTrue(_put(queue, {'type': 'heartbeat'}, b'x'))
        self.assertFalse(_put(queue, {'type': 'heartbeat'}, b'x'))
        send_queue.take(queue)
        self.assertTrue(_put(queue, {'type': 'heartbeat'}, b'x'))
