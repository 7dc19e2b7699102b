"""A valid request; tests replace the fields that matter to them."""

from amaranthcrank.core import model

LOOKUP = model.Request(
    request_id='1-aaaaaaaa',
    issued_at_ms=1,
    service='soaklog',
    key='key',
    rank=model.NORMAL,
    repeatable=True,
    deadline_ms=5_000,
    caller='caller',
    method='GET',
    query='',
    headers=(),
    body=b'',
    traceparent='',
)
