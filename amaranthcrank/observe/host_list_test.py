"""Tests of the host list parser."""

import json
import unittest

from amaranthcrank.core import codes
from amaranthcrank.observe import host_list


def entry(host, state='live', **changes):
    return {
        'id': host,
        'address': f'{host}:80',
        'failure_domain': 'north',
        'state': state,
        **changes,
    }


def parse(*entries):
    return host_list.parse_host_list(json.dumps({'hosts': entries}).encode())


class HostListTest(unittest.TestCase):
    def test_live_and_leaving_in_order(self):
        """Guards against leaving hosts that count as live."""
        hosts, errors = parse(entry('b'), entry('c', 'leaving'), entry('a'))
        self.assertEqual((), errors)
        self.assertEqual(['a', 'b'], [each.host for each in hosts.live])
        self.assertEqual(
            (host_list.Host('c', 'c:80', 'north'),), hosts.leaving
        )

    def test_invalid_entries_are_skipped(self):
        """Guards against one invalid entry that hides all hosts."""
        hosts, errors = parse(
            entry('a'),
            entry('b', 'lost'),
            entry('a', 'leaving'),
            entry('c', address=5),
            'd',
            entry(''),
        )
        self.assertEqual(['a'], [each.host for each in hosts.live])
        self.assertEqual((), hosts.leaving)
        self.assertEqual(
            [f'hosts[{number}]' for number in range(1, 6)],
            [each.place for each in errors],
        )
        self.assertEqual({codes.BAD_HOST_LIST}, {each.code for each in errors})

    def test_not_a_list(self):
        """Guards against an exception on a malformed document."""
        for body in (b'', b'\xff', b'[]', b'{}', b'{"hosts": {}}'):
            hosts, errors = host_list.parse_host_list(body)
            self.assertEqual(host_list.EMPTY, hosts)
            self.assertEqual(1, len(errors), body)
