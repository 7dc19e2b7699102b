import ast
import pathlib
import sys
import unittest

PACKAGE = pathlib.Path(__file__).parents[1]
REQUIREMENTS = PACKAGE.parent / 'deploy' / 'requirements.txt'
# Packages whose distribution has another name.
DISTRIBUTION_BY_PACKAGE = {'hdrh': 'hdrhistogram'}
# The parts that the router process is made of.
FOLDERS = ('platform', 'router')


def _imported_packages(path):
    """Yield the top-level packages that a module imports."""
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            for name in node.names:
                yield name.name.partition('.')[0]
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.partition('.')[0]


class RequirementsTest(unittest.TestCase):
    def test_every_library_is_installed_on_the_hosts(self):
        # A library that only the test environment has keeps every router from
        # starting.
        text = REQUIREMENTS.read_text(encoding='utf-8').lower()
        installed = {line.partition('==')[0] for line in text.splitlines()}
        for folder in FOLDERS:
            for path in (PACKAGE / folder).glob('*.py'):
                if path.name.endswith('_test.py'):
                    continue
                for package in _imported_packages(path):
                    if package in sys.stdlib_module_names:
                        continue
                    if package == PACKAGE.name:
                        continue
                    name = DISTRIBUTION_BY_PACKAGE.get(package, package)
                    with self.subTest(module=path.name):
                        self.assertIn(name.lower(), installed)
