import os
import unittest

from amaranthcrank.core import codes

PAGE = os.path.join(
    os.path.dirname(__file__), '..', '..', 'docs', 'result_codes.md'
)


def row_of(code):
    status = code.http_status or '-'
    return (
        f'| {code.number} | `{code.name}` | {status} | {code.outcome} '
        f'| {code.text} |'
    )


class CodesTest(unittest.TestCase):
    def test_numbers_and_names_are_used_once(self):
        self.assertEqual(len(codes.CODE_BY_NUMBER), len(codes.CODES))
        names = {each.name for each in codes.CODES}
        self.assertEqual(len(names), len(codes.CODES))
        for each in codes.CODES:
            self.assertIs(getattr(codes, each.name), each)

    def test_page_has_exactly_the_rows_of_the_table(self):
        # Guards against a result code that the documentation lacks or
        # describes differently.
        with open(PAGE, encoding='utf-8') as source:
            rows = [
                line.rstrip('\n')
                for line in source
                if line.startswith('| ') and line[2].isdigit()
            ]
        self.assertEqual(rows, [row_of(each) for each in codes.CODES])
