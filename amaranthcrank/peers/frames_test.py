"""Tests of peers.frames."""

import datetime
import re
import unittest

import cbor2

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.peers import frames

REQUEST = model.Request(
    request_id='1-abcdefgh',
    issued_at_ms=1,
    service='soaklog',
    key='\u0915/b',
    rank=model.BULK,
    repeatable=False,
    deadline_ms=700,
    caller='c',
    method='POST',
    query='x=1',
    headers=(('a', 'b'), ('a', 'c')),
    body=b'\x00\xff' * 2**19,
    traceparent='',
)
OUTCOME = model.Outcome(
    codes.OK, 207, (('Set-Cookie', 'a'),), b'\xff' * 2**20, 5, 'd'
)


def _encode_and_decode(frame):
    data, problems = frames.encode_frame({**frame, 'id': 7})
    assert not problems, problems
    decoded, problems = frames.decode_frame(data)
    assert not problems, problems
    return decoded


class FramesTest(unittest.TestCase):
    def test_request_and_answer_round_trip(self):
        forwarded = frames.Forwarded(REQUEST, 2, 99)
        frame = _encode_and_decode(frames.request_frame(forwarded))
        self.assertEqual((forwarded, ()), frames.parse_request_frame(frame))
        frame = _encode_and_decode(frames.answer_frame(OUTCOME))
        self.assertEqual((OUTCOME, ()), frames.parse_answer_frame(frame))

    def test_malformed_frames_have_a_code(self):
        for code, data in (
            (codes.BAD_FRAME, b''),
            (codes.BAD_FRAME, b'\xff'),
            (codes.BAD_FRAME, 'text'),
            (codes.BAD_FRAME, b'\x81' * 5000),
            (codes.BAD_FRAME, b'\xbf\xff'),
            (codes.BAD_FRAME, cbor2.dumps([1])),
            (codes.BAD_FRAME, cbor2.dumps({'id': 1})),
            (codes.BAD_FRAME, cbor2.dumps({'type': 'status'})),
            (codes.BAD_FRAME, cbor2.dumps({'type': 'status', 'id': -1})),
            (codes.BAD_FRAME, cbor2.dumps({'type': 'status', 'id': True})),
            (codes.BAD_FRAME, cbor2.dumps({'type': ['status'], 'id': 1})),
            (codes.UNKNOWN_FRAME_TYPE, cbor2.dumps({'type': 'x', 'id': 1})),
            (codes.FRAME_TOO_LARGE, b'x' * (frames.MAX_FRAME_BYTES + 1)),
        ):
            frame, problems = frames.decode_frame(data)
            self.assertIsNone(frame)
            self.assertEqual(code, problems[0].code, data[:40])

    def test_tagged_values_are_refused(self):
        """Guards against tags that are costly to decode."""
        moment = datetime.datetime.now(datetime.timezone.utc)
        for value in (moment, re.compile('(a*)*'), 2**70, {1}):
            data = cbor2.dumps({'type': 'status', 'id': 1, 'x': value})
            self.assertIsNone(frames.decode_frame(data)[0], value)

    def test_frames_that_cannot_be_sent(self):
        for code, frame in (
            (codes.BAD_FRAME, {'type': 'status', 'id': 1, 'x': object()}),
            (codes.BAD_FRAME, {'type': 'status'}),
            (
                codes.FRAME_TOO_LARGE,
                {'type': 'status', 'id': 1, 'x': b'x' * 2**21},
            ),
        ):
            data, problems = frames.encode_frame(frame)
            self.assertIsNone(data)
            self.assertEqual(code, problems[0].code)

    def test_every_field_of_a_request_and_an_answer_is_checked(self):
        forwarded = frames.request_frame(frames.Forwarded(REQUEST, 0, 0))
        answer = frames.answer_frame(OUTCOME)
        fields = forwarded['request']
        for given, read, place in (
            (
                fields,
                frames.parse_request_frame,
                lambda wrong: {'request': wrong},
            ),
            (answer, frames.parse_answer_frame, lambda wrong: wrong),
        ):
            for name in given:
                if name == 'type':
                    continue
                for wrong in ({**given, name: None}, {**given, name: [1]}):
                    frame = {**forwarded, **place(wrong)}
                    found, problems = read(frame)
                    self.assertIsNone(found, name)
                    self.assertIn(name, problems[0].place)
