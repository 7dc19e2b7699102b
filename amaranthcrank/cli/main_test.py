import json
import threading
import unittest
from unittest import mock

from cheroot import wsgi
from typer import testing

from amaranthcrank.cli import filing
from amaranthcrank.cli import main
from amaranthcrank.cli import operator_client
from amaranthcrank.cli import printing
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.publish import status
from amaranthcrank.record import tickets
from amaranthcrank.record import tickets_test

KEY = 'operator-key-0000001'


class FakeOperator:
    """Operator interface of one host, backed by a list of tickets."""

    def __init__(self):
        self.tickets = []
        self.host_tickets = {'b1': None, 'p1': None}
        self.lose_next_response = False
        self.paths = []
        self.server = wsgi.Server(('127.0.0.1', 0), self.serve)
        self.server.prepare()
        self.url = f'http://127.0.0.1:{self.server.bind_addr[1]}'
        self.thread = threading.Thread(target=self.server.serve)
        self.thread.start()

    def stop(self):
        self.server.stop()
        self.thread.join()

    def serve(self, environ, start_response):
        self.paths.append((environ['REQUEST_METHOD'], environ['REQUEST_URI']))
        data = environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0)
        )
        number, body = self.respond(environ, data)
        text = json.dumps(body).encode()
        if environ['REQUEST_METHOD'] == 'POST' and self.lose_next_response:
            self.lose_next_response = False
            text = b'cut'
        start_response(f'{number} x', [('Content-Length', str(len(text)))])
        return [text]

    def respond(self, environ, data):
        if environ['HTTP_AUTHORIZATION'] != f'Bearer {KEY}':
            return 401, problems(codes.OPERATOR_UNAUTHORIZED)
        path = environ['PATH_INFO']
        if environ['REQUEST_METHOD'] == 'POST':
            return self.file(data)
        if path == '/status':
            return 200, self.status()
        if path == '/queues':
            view = status.QueueView(3, 1, {'bulk': 2})
            return 200, status.queues_document({'s1': view})
        if path.startswith('/owner/'):
            return 200, status.owner_document(
                'soaklog', 'a/b', 3, 'balaju', 's1', 7, False
            )
        if path == '/tickets':
            listed = [{**each._asdict(), 'state': 0} for each in self.tickets]
            return 200, {'tickets': listed}
        name = path.removeprefix('/tickets/')
        number = len(self.tickets) if name == 'current' else int(name)
        if not 1 <= number <= len(self.tickets):
            return 404, problems(codes.TICKET_NOT_FOUND)
        return 200, self.tickets[number - 1]._asdict()

    def file(self, data):
        document, found = tickets.parse_document(data)
        state = model.EMPTY_STATE
        if self.tickets:
            state = self.tickets[-1].state
        found = found or tickets.check_document(
            document, state, len(self.tickets)
        )
        if found:
            current = self.tickets[-1]._asdict()
            return 409, status.problems_document(found, current)
        self.tickets.append(
            tickets.make_ticket(document, state, len(self.tickets), 1)
        )
        return 201, {'number': len(self.tickets)}

    def status(self):
        number = len(self.tickets)
        views = {}
        for cell, host in (('balaju', 'b1'), ('patan', 'p1')):
            ticket = self.host_tickets[host]
            ticket = number if ticket is None else ticket
            views[cell] = status.CellView(
                1, 1, 1, host, {host: status.HostView(ticket, True, 9)}, {}
            )
        return status.status_document(
            'b1', 'balaju', True, number, status.StoreView(True, 0), views, {}
        )


def problems(code):
    return status.problems_document([codes.Problem(code, 'x', 'y')])


class MainTest(unittest.TestCase):
    def setUp(self):
        self.fake = FakeOperator()
        self.addCleanup(self.fake.stop)

    def run_command(self, *arguments, key=KEY, hosts=None, text=None):
        runner = testing.CliRunner()
        environ = {
            'AMARANTHCRANK_OPERATOR_KEY': key,
            'AMARANTHCRANK_OPERATOR_URL': hosts or self.fake.url,
            'AMARANTHCRANK_AUTHOR': 'asha',
        }
        return runner.invoke(main.app, arguments, input=text, env=environ)

    def file_first(self, *options):
        text = json.dumps({'touches': tickets_test.make_touches()})
        return self.run_command(
            *options, 'ticket', 'file', '-', '--wait', '0.3', text=text
        )

    def test_file_and_read(self):
        result = self.file_first()
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn('Filed ticket 1.', result.output)
        self.assertIn('It is in force everywhere.', result.output)
        self.assertEqual(self.fake.tickets[0].author, 'asha')
        listed = self.run_command('ticket', 'list').output
        self.assertIn(
            '1       asha    1970-01-01T00:00:00Z  cells/balaju', listed
        )
        shown = self.run_command('ticket', 'show').output
        self.assertEqual(
            json.loads(shown)['state'], self.fake.tickets[0].state
        )
        changes = self.run_command('ticket', 'diff', '0', '1').output
        self.assertIn('+ services/soaklog: ', changes)

    def test_lagging_host_is_reported(self):
        self.fake.host_tickets['p1'] = 0
        result = self.file_first('--output', 'json')
        self.assertEqual(result.exit_code, printing.EXIT_NOT_IN_FORCE)
        body = json.loads(result.stdout)
        self.assertEqual(body['lagging'], ['p1'])
        self.assertFalse(body['in_force'])

    def test_lost_answer_files_once(self):
        # Guards against filing a second ticket when the response to the
        # first attempt is lost.
        self.fake.lose_next_response = True
        result = self.file_first()
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn('Filed ticket 1.', result.output)
        self.assertEqual(len(self.fake.tickets), 1)

    def test_race_of_two_operators(self):
        self.file_first()
        self.file_first()
        text = json.dumps({'expected': 1, 'touches': {'lost_hosts': ['b2']}})
        result = self.run_command('ticket', 'file', '-', text=text)
        self.assertEqual(result.exit_code, printing.EXIT_REFUSED)
        self.assertIn('500 TICKET_CONFLICT expected', result.stderr)
        # Another operator files a ticket between the check and the filing.
        found = tickets.Document('a', 'u', 1, {'lost_hosts': ['b2']})
        client = operator_client.make_client((self.fake.url,), KEY)
        filed = filing.file_document(client, found)
        self.assertEqual((filed.number, filed.unknown), (0, False))
        self.assertEqual(filed.response.body['current']['number'], 2)

    def test_bad_documents(self):
        touches = tickets_test.replace_at(
            tickets_test.make_touches(), 'services/soaklog/slots', 0
        )
        text = json.dumps({'touches': touches})
        for command in ('check', 'file'):
            result = self.run_command('ticket', command, '-', text=text)
            self.assertEqual(result.exit_code, printing.EXIT_BAD_INPUT)
            self.assertIn(
                '507 TICKET_OUT_OF_BOUNDS services/soaklog/slots: 0',
                result.stderr,
            )
        result = self.run_command(
            '--output', 'json', 'ticket', 'check', '-', text='[]'
        )
        self.assertEqual(result.exit_code, printing.EXIT_BAD_INPUT)
        numbers = [
            each['number'] for each in json.loads(result.stderr)['problems']
        ]
        self.assertEqual(numbers, [501])
        self.assertEqual(self.fake.tickets, [])

    def test_drain_and_undrain(self):
        self.file_first()
        result = self.run_command('drain', 's2')
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn('"active" -> "draining"', result.output)
        target = tickets.targets_of(self.fake.tickets[-1].state)['s2']
        self.assertTrue(target.draining)
        self.assertIn('nothing', self.run_command('drain', 's2').output)
        self.assertEqual(self.run_command('undrain', 's2').exit_code, 0)
        self.assertEqual(len(self.fake.tickets), 3)
        # The last active target of a cell, a pinned target, an unknown one.
        for target, number in (('s1', 516), ('s3', 515), ('s9', 528)):
            result = self.run_command('drain', target)
            self.assertEqual(result.exit_code, printing.EXIT_BAD_INPUT)
            self.assertIn(str(number), result.stderr)
        result = self.run_command('drain', '--drop-pins', 's3')
        self.assertEqual(result.exit_code, 0, result.output)

    def test_next_host_when_one_is_unreachable(self):
        hosts = f'http://127.0.0.1:9 {self.fake.url}'
        result = self.run_command('queues', hosts=hosts)
        self.assertEqual(result.exit_code, 0)
        self.assertIn('s1      3      1', result.output)
        result = self.run_command(
            'queues',
            '--host',
            self.fake.url,
            '--output',
            'json',
            hosts='http://127.0.0.1:9',
        )
        self.assertEqual(json.loads(result.output)['s1']['limit'], 3)
        result = self.run_command('queues', hosts='http://127.0.0.1:9')
        self.assertEqual(result.exit_code, printing.EXIT_UNREACHABLE)
        self.assertIn('No host answers.', result.stderr)

    def test_unknown_outcome(self):
        self.file_first()
        document = tickets.Document('a', 'u', 1, {'lost_hosts': ['b2']})
        response = operator_client.Response(0, {}, ('x',), True)
        with mock.patch.object(
            filing.operator_client,
            'call',
            autospec=True,
            return_value=response,
        ):
            filed = filing.file_document(None, document)
        self.assertEqual((filed.number, filed.unknown), (0, True))

    def test_key_is_refused(self):
        result = self.run_command('status', key='wrong')
        self.assertEqual(result.exit_code, printing.EXIT_REFUSED)
        self.assertIn('540 OPERATOR_UNAUTHORIZED', result.stderr)

    def test_status_and_owner(self):
        self.file_first()
        self.assertIn(
            'Ticket 1: in force everywhere', self.run_command('status').output
        )
        result = self.run_command('owner', 'soaklog', 'a/b')
        self.assertIn('target: s1', result.output)
        self.assertIn(('GET', '/owner/soaklog/a%2Fb'), self.fake.paths)

    def test_responses_of_unexpected_form(self):
        # The response of a host of another version must not cause a
        # traceback.
        with mock.patch.object(
            self.fake, 'respond', autospec=True, return_value=(200, {'a': 1})
        ):
            for command in (
                ('status',),
                ('queues',),
                ('ticket', 'list'),
                ('ticket', 'show'),
                ('drain', 's1'),
            ):
                result = self.run_command(*command)
                self.assertEqual(result.exit_code, printing.EXIT_REFUSED)
                self.assertIsInstance(result.exception, SystemExit)

    def test_usage_and_codes(self):
        for arguments in (
            ('bogus',),
            ('--output', 'xml', 'status'),
            ('--host', 'b1', 'status'),
            ('codes', '999'),
            ('ticket', 'show', 'x'),
            ('ticket', 'check', '/nowhere/at/all'),
            ('ticket', 'file', '-', '--wait', '-1'),
        ):
            result = self.run_command(*arguments)
            self.assertEqual(
                result.exit_code, printing.EXIT_BAD_INPUT, arguments
            )
        result = self.run_command('codes', '500')
        self.assertIn('TICKET_CONFLICT', result.output)

    def test_missing_author(self):
        text = json.dumps({'touches': tickets_test.make_touches()})
        result = self.run_command(
            'ticket', 'file', '-', '--author', '', text=text
        )
        self.assertEqual(result.exit_code, printing.EXIT_BAD_INPUT)
        self.assertIn('506 TICKET_BAD_NAME author', result.stderr)

    def test_in_force_status_of_an_older_ticket(self):
        # A host that lags behind a newer ticket may still follow this one.
        self.file_first()
        self.file_first()
        self.fake.host_tickets['p1'] = 1
        document = self.fake.status()
        self.assertTrue(filing.in_force_status(document, 1).everywhere)
        self.assertEqual(filing.in_force_status(document, 2).lagging, ('p1',))
        document['unheard'] = ['thimi']
        self.assertFalse(filing.in_force_status(document, 1).everywhere)
        self.assertFalse(filing.in_force_status(document, 3).everywhere)
