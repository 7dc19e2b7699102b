import asyncio
import contextlib
import json
import tempfile
import unittest

from typer import testing

from amaranthcrank.cli import main
from amaranthcrank.cli import site_commands
from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from standins import platform_site
from standins import platform_store

ROUTE = platform_site.route_row('read', '/', 'book', allowed_regions=['south'])


def _entry(target_id, domain):
    address = model.Address('10.0.0.1', 80)
    return model.TargetEntry(
        target_id, 'book', address, domain, 3, model.READY, 0.0, 1
    )


def _key_map():
    ranges = (
        model.KeyRange(0, 99, 'i-1', 1, 1, False, ''),
        model.KeyRange(100, 149, 'i-2', 1, 2, True, 'i-1/1 i-3/1'),
        model.KeyRange(150, 65535, 'i-2', 1, 2, False, ''),
    )
    return model.KeyMap('book', 2, ranges, 5, {})


class EvacuationLinesTest(unittest.TestCase):
    def test_keys_that_are_left(self):
        """Guards against a domain that is shut down while it holds keys."""
        keys = key_table.KeyTable()
        keys.put(_key_map())
        snapshot = site_commands.Snapshot(
            None,
            (_entry('i-1', 'a'), _entry('i-2', 'b'), _entry('i-3', 'a')),
            keys,
            (),
            '',
            ('c', 'a'),
        )
        self.assertEqual(
            site_commands.evacuation_lines(snapshot),
            [
                'evacuated a: 2 targets own 150 keys',
                'evacuated c: 0 targets own 0 keys',
            ],
        )


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.store = platform_store.PlatformStore()
        self.address = model.Address(
            platform_site.IP, platform_site.free_port()
        )
        await self.store.listen(self.address)
        stack.callback(self.store.server.close)
        spec = platform_site.manifest(3, [ROUTE], [['book', '/', 100, True]])
        self.store.put(names.TICKET_KIND, names.TICKET_NAME, {'spec': spec})
        self.store.put(
            names.SHARED_KIND,
            names.KEY_MAP_PREFIX + 'book',
            {'spec': entries.encode_key_map(_key_map())},
        )
        self.store.put(names.EVACUATIONS_KIND, 'a', {'spec': {}})

    async def _run(self, command):
        return await self._invoke('site', command)

    async def _invoke(self, *arguments):
        address = f'{self.address.ip}:{self.address.port}'
        arguments = [*arguments, '--store', address]
        result = await asyncio.to_thread(
            testing.CliRunner().invoke, main.app, arguments
        )
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output

    async def test_status(self):
        self.assertIn('evacuated a: 0 targets', await self._run('status'))

    async def test_check_against_the_version_in_force(self):
        """Guards against a check that compares with another version."""
        spec = platform_site.manifest(4, [ROUTE], [['book', '/', 90, True]])
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            json.dump(spec, file)
            file.flush()
            output = await self._invoke('check-config', file.name)
        self.assertIn('max_connections from 100 to 90', output)

    async def test_store_without_the_kind(self):
        """Guards against a status that shows nothing on an older store."""
        self.store.failing_kinds.add(names.EVACUATIONS_KIND)
        output = await self._run('status')
        self.assertIn('ticket 3', output)
        self.assertNotIn('evacuated a', output)

    async def test_ticket(self):
        self.assertIn('to book:1 in south', await self._run('ticket'))


if __name__ == '__main__':
    unittest.main()
