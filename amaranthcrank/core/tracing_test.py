import contextlib
import threading
import unittest

from cheroot import wsgi
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from amaranthcrank.core import settings
from amaranthcrank.core import settings_test
from amaranthcrank.core import tracing

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


class TracingTest(unittest.TestCase):
    def test_trace_id_is_propagated_without_export(self):
        with tracing.span('intake', PARENT) as inner:
            self.assertEqual(inner.split('-')[1], PARENT.split('-')[1])
            self.assertNotEqual(inner.split('-')[2], PARENT.split('-')[2])
            self.assertEqual(inner.split('-')[3], '01')

    def test_invalid_parent_starts_a_new_trace(self):
        for bad in ('', 'x', '00-' + '0' * 32 + '-b7ad6b7169203331-01'):
            with tracing.span('intake', bad) as inner:
                self.assertRegex(inner, r'^00-[0-9a-f]{32}-[0-9a-f]{16}-0\d$')
                self.assertNotIn('0' * 32, inner)

    def test_spans_are_exported(self):
        bodies = []

        def collect(environ, start_response):
            length = int(environ['CONTENT_LENGTH'])
            bodies.append(
                (environ['PATH_INFO'], environ['wsgi.input'].read(length))
            )
            start_response('200 OK', [('Content-Length', '0')])
            return [b'']

        server = wsgi.Server(('127.0.0.1', 0), collect)
        server.prepare()
        thread = threading.Thread(target=server.serve)
        thread.start()
        endpoint = f'http://127.0.0.1:{server.bind_addr[1]}'
        values, _ = settings.read_settings(
            {'otlp_endpoint': endpoint}, settings_test.VALID_ENVIRON
        )
        try:
            with contextlib.ExitStack() as stack:
                tracing.set_up_tracing(stack, values)
                with contextlib.suppress(ValueError):
                    with tracing.span('dispatch', PARENT, slot=3):
                        raise ValueError('x')
        finally:
            server.stop()
            thread.join()
        # No body arrives if the shutdown drops the last batch.
        self.assertEqual([path for path, _ in bodies], ['/v1/traces'])
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(bodies[0][1])
        sent = message.resource_spans[0].scope_spans[0].spans[0]
        self.assertEqual(sent.name, 'dispatch')
        self.assertEqual(sent.trace_id.hex(), PARENT.split('-')[1])
        self.assertEqual(sent.parent_span_id.hex(), PARENT.split('-')[2])
        self.assertEqual(sent.events[0].name, 'exception')
