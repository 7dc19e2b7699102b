"""Tests of the data of a caller that waits to be parsed."""

import unittest

from amaranthcrank.router import receive_buffer


class ReceiveBufferTest(unittest.TestCase):
    def test_arrival_times(self):
        """Guards against the time of another segment for a request."""
        buffer = receive_buffer.ReceiveBuffer()
        buffer.append(b'abc', 1.0)
        buffer.append(b'def', 2.0)
        self.assertEqual(buffer.take(), b'abc')
        self.assertEqual(buffer.taken_at, 1.0)
        buffer.put_back(b'c')
        self.assertEqual(buffer.size, 4)
        self.assertEqual(buffer.take(), b'c')
        self.assertEqual(buffer.taken_at, 1.0)
        self.assertEqual(buffer.take(), b'def')
        self.assertEqual(buffer.taken_at, 2.0)
        self.assertEqual(buffer.size, 0)

    def test_long_data_is_put_back_in_pieces(self):
        """Guards against a copy of all received data per request."""
        buffer = receive_buffer.ReceiveBuffer()
        data = bytes(range(256)) * 1000
        buffer.append(data, 1.0)
        buffer.put_back(buffer.take())
        pieces = []
        while buffer.size:
            pieces.append(buffer.take())
        self.assertEqual(b''.join(pieces), data)
        longest = max(len(each) for each in pieces)
        self.assertLessEqual(longest, receive_buffer.PIECE_BYTES)

    def test_many_tiny_segments(self):
        """Guards against the memory that many tiny segments take."""
        buffer = receive_buffer.ReceiveBuffer()
        for _ in range(receive_buffer.MAX_PIECES + 1):
            buffer.append(b'x', 1.0)
        self.assertTrue(buffer.is_full)


if __name__ == '__main__':
    unittest.main()
