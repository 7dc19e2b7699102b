import copy
import json
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
from typer import testing

from amaranthcrank.cli import check_config
from amaranthcrank.cli import main
from amaranthcrank.platform import decoding_test
from amaranthcrank.platform import manifest
from amaranthcrank.router import ticket_findings
from standins import mutations
from standins import platform_site

SPEC = platform_site.manifest(
    7,
    [platform_site.route_row('read', '/read/', 'desk')],
    [['desk', '/healthz', 110, None]],
)


class AgreementTest(unittest.TestCase):
    """Guards against a check that disagrees with the hosts."""

    @hypothesis.given(strategies.data())
    def test_check_agrees_with_the_decoder(self, data):
        spec = mutations.mutate(data, SPEC)
        try:
            manifest.decode(spec)
        except manifest.ManifestError:
            is_decoded = False
        else:
            is_decoded = True
        report = check_config.check(json.dumps(spec), {'north'}, None)
        self.assertEqual(report.is_accepted, is_decoded)
        check_config.describe(report)
        json.dumps(check_config.document(report))


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.new = self._write('new.json', json.dumps(SPEC))

    def _write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def _run(self, *arguments):
        return testing.CliRunner().invoke(
            main.app, ['check-config', *arguments]
        )

    def test_sound_file(self):
        result = self._run(self.new, '--strict')
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(result.output, '')

    def test_stored_object(self):
        path = self._write('object.json', json.dumps({'spec': SPEC}))
        self.assertEqual(self._run(path, '--strict').exit_code, 0)

    def test_syntax_error(self):
        path = self._write('new.json', '{\n  "version": r1\n}')
        result = self._run(path)
        self.assertEqual(result.exit_code, 1)
        self.assertIn('line 2 column 14', result.output)

    def test_rejected_file(self):
        path = self._write('new.json', json.dumps({**SPEC, 'routes': 3}))
        result = self._run(path, '--json')
        self.assertEqual(result.exit_code, 1)
        document = json.loads(result.output)
        self.assertFalse(document['accepted'])
        self.assertIsNone(document['differences'])

    def test_warnings(self):
        spec = copy.deepcopy(SPEC)
        spec['services']['rows'] *= 2
        path = self._write('new.json', json.dumps(spec))
        result = self._run(path)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn('warning: service desk: it has several', result.output)
        self.assertEqual(self._run(path, '--strict').exit_code, 1)

    def test_differences(self):
        old = copy.deepcopy(SPEC)
        old['version'] = 'r6'
        old['limits']['maxBodyBytes'] = 5
        path = self._write('old.json', json.dumps(old))
        result = self._run(self.new, '--in-force', path)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(
            result.output,
            'changed: limits: body_bytes from 5 to 1048576\n',
        )
        # The other way, the new version is older.
        result = self._run(path, '--in-force', self.new, '--json')
        self.assertEqual(result.exit_code, 1)
        document = json.loads(result.output)
        self.assertEqual(
            document['findings'][0]['severity'], ticket_findings.ERROR
        )
        self.assertEqual(document['differences'][0]['new'], '5')

    def test_regions(self):
        spec = copy.deepcopy(SPEC)
        row = platform_site.route_row(
            'read', '/read/', 'desk', allowed_regions=['west']
        )
        spec['routes']['rows'] = [row]
        path = self._write('new.json', json.dumps(spec))
        self.assertEqual(self._run(path).exit_code, 0)
        settings = self._write('host.settings', decoding_test.SETTINGS)
        result = self._run(path, '--settings', settings)
        self.assertEqual(result.exit_code, 0)
        self.assertIn('no allowed region exists', result.output)
        result = self._run(path, '--settings', settings, '--strict')
        self.assertEqual(result.exit_code, 1)

    def test_unreadable_input(self):
        missing = str(self.folder / 'missing')
        broken = self._write('broken', '{')
        for arguments in (
            (missing,),
            (self.new, '--in-force', missing),
            (self.new, '--in-force', broken),
            (self.new, '--settings', broken),
            (self.new, '--in-force', self.new, '--store', '10.0.0.1:80'),
            (self.new, '--store', 'nowhere'),
        ):
            with self.subTest(arguments=arguments):
                self.assertEqual(self._run(*arguments).exit_code, 2)


if __name__ == '__main__':
    unittest.main()
