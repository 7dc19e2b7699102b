"""Tests of the order of requests on a connection of a caller."""

import unittest
from unittest import mock

from amaranthcrank.router import http_messages
from amaranthcrank.router import response_queue


def _exchange(method=b'GET'):
    exchange = response_queue.Exchange(mock.Mock(), mock.Mock())
    exchange.request = http_messages.Request(method, b'/', [], b'', 0.0)
    return exchange


def _response(size=0, close=False):
    return http_messages.Response(200, [(b'a', b'b')], b'x' * size, close)


class ResponseQueueTest(unittest.TestCase):
    def setUp(self):
        self.checked = []
        self.queue = response_queue.ResponseQueue(self._is_idempotent)

    def _is_idempotent(self, request):
        self.checked.append(request)
        return request.method == b'GET'

    def _add(self, count, method=b'GET'):
        exchanges = [_exchange(method) for _ in range(count)]
        for exchange in exchanges:
            self.queue.add(exchange)
        return exchanges

    def test_idempotent_requests(self):
        """Guards against requests that wait for others without a reason."""
        for _ in range(response_queue.MAX_EXCHANGES):
            exchange = _exchange()
            self.assertTrue(self.queue.may_start(exchange))
            self.queue.add(exchange)
        self.assertFalse(self.queue.may_grow())

    def test_other_requests_run_alone(self):
        """Guards against work that starts before what it depends on ends."""
        (first,) = self._add(1)
        post = _exchange(b'POST')
        self.assertTrue(self.queue.may_grow())
        self.assertFalse(self.queue.may_start(post))
        self.queue.complete(first, _response())
        self.queue.take_completed()
        self.assertTrue(self.queue.may_start(post))
        self.queue.add(post)
        self.assertFalse(self.queue.may_grow())
        self.assertFalse(self.queue.may_start(_exchange()))

    def test_single_requests_are_not_checked(self):
        """Guards against a look-up of the route for nothing."""
        exchange = _exchange()
        self.assertTrue(self.queue.may_start(exchange))
        self.queue.add(exchange)
        self.queue.complete(exchange, _response())
        self.queue.take_completed()
        self.assertEqual(self.checked, [])

    def test_order(self):
        """Guards against responses in the order of their completion."""
        exchanges = self._add(3)
        for exchange in reversed(exchanges):
            self.assertIsNone(self.queue.take_completed())
            self.queue.complete(exchange, _response())
        taken = [self.queue.take_completed() for _ in exchanges]
        self.assertEqual(taken, exchanges)
        self.assertIsNone(self.queue.take_completed())

    def test_completed_bytes(self):
        """Guards against a count that stays when a response is sent."""
        first, second, third = self._add(3)
        self.queue.complete(second, _response(100))
        self.queue.complete(third, _response(1000))
        self.assertEqual(self.queue.completed_bytes, 1104)
        self.queue.complete(first, _response(10))
        self.assertEqual(self.queue.completed_bytes, 1104)
        self.queue.take_completed()
        self.queue.take_completed()
        self.assertEqual(self.queue.completed_bytes, 1002)
        self.queue.take_completed()
        self.assertEqual(self.queue.completed_bytes, 0)

    def test_response_that_closes(self):
        """Guards against requests that run and are never answered."""
        exchanges = self._add(2)
        self.queue.complete(exchanges[1], _response(close=True))
        self.assertFalse(self.queue.may_grow())
        self.assertFalse(self.queue.may_start(_exchange()))

    def test_handler_that_ends_after_its_caller_left(self):
        """Guards against an error in a handler that was cancelled too late."""
        (exchange,) = self._add(1)
        exchange.task = mock.Mock()
        self.queue.cancel_all()
        exchange.task.cancel.assert_called_once_with()
        self.queue.complete(exchange, _response(100))
        self.assertIsNone(self.queue.take_completed())
        self.assertEqual(self.queue.completed_bytes, 0)


if __name__ == '__main__':
    unittest.main()
