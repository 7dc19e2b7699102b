"""A stand-in for the platform's object store, run as a process.

Run `python -m standins.store --address 127.0.0.1:0`. Objects live in memory.
"""

from collections import abc
import threading
import time
import typing

import typer

from standins import http_server

DEFAULT_WATCH_MS = 30_000
MAX_WATCH_MS = 60_000
# A call that hangs in an outage is dropped after this time.
MAX_HANG_S = 60.0
# Each hanging call and each watch occupies a thread.
THREADS = 256

OUTAGE = 'outage'
SLOW = 'slow'
LOST_ANSWER = 'lost_answer'
MODES_BY_FAULT = {
    OUTAGE: ('503', 'hang'),
    SLOW: (),
    LOST_ANSWER: ('close', '500'),
}

HOST_STATES = ('live', 'leaving', 'gone')

READS = ('get', 'list', 'watch', 'get_hosts')
WRITES = ('put', 'put_host')


class StoredObject(typing.NamedTuple):
    """An object: its version, from 1, and its value."""

    version: int
    value: bytes


class Fault(typing.NamedTuple):
    """An active fault.

    Attributes:
      mode: One of the fault's modes in MODES_BY_FAULT, empty for SLOW.
      ms: The delay of SLOW.
      calls: How many more calls it applies to; None until switched off.
    """

    mode: str
    ms: float
    calls: int | None


class HostRegistration(typing.NamedTuple):
    """A registration of a host; registered_at is in monotonic seconds."""

    registered_at: float
    address: str
    failure_domain: str
    state: str


class StoreState:
    """The state of the store.

    Attributes:
      lock: Guards the other attributes; notified on each change of an object,
        a fault or the number of watches.
      stored_by_name: For each kind, its objects by name.
      revision_by_kind: The revision of each kind; each write adds one.
      registrations_by_host: The registrations of each host, oldest first.
      fault_by_name: The active faults.
      count_by_operation: The number of calls so far.
      watching: The number of waiting watches.
      closed: Whether the process is ending; waiting calls return.
    """

    def __init__(
        self,
        host_list_lag_ms: float = 0.0,
        latency_ms: float = 0.0,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.lock = threading.Condition()
        self.host_list_lag_ms = host_list_lag_ms
        self.latency_ms = latency_ms
        self.clock = clock
        self.stored_by_name: dict[str, dict[str, StoredObject]] = {}
        self.revision_by_kind: dict[str, int] = {}
        self.registrations_by_host: dict[str, list[HostRegistration]] = {}
        self.fault_by_name: dict[str, Fault] = {}
        self.count_by_operation = dict.fromkeys((*READS, *WRITES), 0)
        self.watching = 0
        self.closed = False

    def close(self) -> None:
        """Wake every waiting call."""
        with self.lock:
            self.closed = True
            self.lock.notify_all()


def handle(state: StoreState, call: http_server.Call) -> http_server.Response:
    """Handle one call."""
    if call.path == ('counters',) and call.method == 'GET':
        return _counters(state)
    if call.path == ('faults',):
        return _faults(state, call)
    operation = _operation(call)
    if operation is None:
        return http_server.error_response(404, 'no such path or method')
    with state.lock:
        state.count_by_operation[operation] += 1
    _apply_delay(state)
    refusal = _apply_outage(state)
    if refusal is not None:
        return refusal
    response = _HANDLER_BY_OPERATION[operation](state, call)
    if operation in WRITES and response.status < 300:
        return _apply_lost_response(state, response)
    return response


def _operation(call: http_server.Call) -> str | None:
    depth = len(call.path) if all(call.path) else 0
    if call.path[0] == 'objects' and depth == 3:
        return {'GET': 'get', 'HEAD': 'get', 'PUT': 'put'}.get(call.method)
    if call.path[0] == 'objects' and depth == 2 and call.method == 'GET':
        return 'watch' if 'watch' in call.query else 'list'
    if call.path == ('hosts',) and call.method == 'GET':
        return 'get_hosts'
    if call.path[0] == 'hosts' and depth == 2 and call.method == 'PUT':
        return 'put_host'
    return None


def _counters(state: StoreState) -> http_server.Response:
    with state.lock:
        counts = dict(state.count_by_operation)
        watching = state.watching
    return http_server.json_response(
        200,
        {
            'calls': sum(counts.values()),
            'reads': sum(counts[each] for each in READS),
            'writes': sum(counts[each] for each in WRITES),
            'by_operation': counts,
            'watching': watching,
        },
    )


# Faults.


def _faults(state: StoreState, call: http_server.Call) -> http_server.Response:
    if call.method == 'POST':
        content = http_server.json_object(call)
        if content is None:
            return http_server.error_response(400, 'not a JSON object')
        changes = {}
        for name, setting in content.items():
            fault, error = _parse_fault(name, setting)
            if error:
                return http_server.error_response(400, error)
            changes[name] = fault
        with state.lock:
            for name, fault in changes.items():
                if fault is None:
                    state.fault_by_name.pop(name, None)
                else:
                    state.fault_by_name[name] = fault
            state.lock.notify_all()
    elif call.method != 'GET':
        return http_server.error_response(405, 'only GET and POST')
    with state.lock:
        shown = {
            name: fault._asdict()
            for name, fault in state.fault_by_name.items()
        }
    return http_server.json_response(200, shown)


def _parse_fault(name: str, setting: typing.Any) -> tuple[Fault | None, str]:
    if name not in MODES_BY_FAULT:
        return None, f'{name}: must be one of {", ".join(MODES_BY_FAULT)}'
    if setting is None:
        return None, ''
    if not isinstance(setting, dict):
        return None, f'{name}: must be an object or null'
    modes = MODES_BY_FAULT[name]
    mode = setting.get('mode', modes[0] if modes else '')
    if modes and mode not in modes:
        return None, f'{name}.mode: must be one of {", ".join(modes)}'
    ms = setting.get('ms', 0)
    if not isinstance(ms, (int, float)) or ms < 0:
        return None, f'{name}.ms: must be a number from 0'
    calls = setting.get('calls')
    if calls is not None and (not isinstance(calls, int) or calls < 1):
        return None, f'{name}.calls: must be a whole number from 1'
    return Fault(mode, ms, calls), ''


def _consume_fault(state: StoreState, name: str) -> Fault | None:
    with state.lock:
        fault = state.fault_by_name.get(name)
        if fault is None or fault.calls is None:
            return fault
        if fault.calls == 1:
            del state.fault_by_name[name]
        else:
            state.fault_by_name[name] = fault._replace(calls=fault.calls - 1)
        return fault


def _apply_delay(state: StoreState) -> None:
    fault = _consume_fault(state, SLOW)
    delay_ms = state.latency_ms + (fault.ms if fault else 0)
    if delay_ms:
        with state.lock:
            state.lock.wait_for(lambda: state.closed, delay_ms / 1000)


def _apply_outage(state: StoreState) -> http_server.Response | None:
    fault = _consume_fault(state, OUTAGE)
    if fault is None:
        return None
    if fault.mode == '503':
        return http_server.error_response(503, 'the store is unavailable')
    # A hanging call has no effect. It ends when the fault is switched off; if
    # the fault is limited to a number of calls, only MAX_HANG_S ends it.
    with state.lock:
        state.lock.wait_for(
            lambda: (
                state.closed
                or (fault.calls is None and OUTAGE not in state.fault_by_name)
            ),
            MAX_HANG_S,
        )
    raise http_server.DropConnection


def _apply_lost_response(
    state: StoreState, response: http_server.Response
) -> http_server.Response:
    fault = _consume_fault(state, LOST_ANSWER)
    if fault is None:
        return response
    if fault.mode == '500':
        return http_server.error_response(500, 'internal error')
    raise http_server.DropConnection


# Objects.


def _get(state: StoreState, call: http_server.Call) -> http_server.Response:
    _, kind, name = call.path
    with state.lock:
        stored = state.stored_by_name.get(kind, {}).get(name)
    if stored is None:
        return http_server.error_response(404, 'no such object')
    return http_server.Response(
        200,
        (
            ('Content-Type', 'application/octet-stream'),
            ('ETag', f'"{stored.version}"'),
        ),
        stored.value,
    )


def _put(state: StoreState, call: http_server.Call) -> http_server.Response:
    _, kind, name = call.path
    if len(call.body) > http_server.MAX_BODY_BYTES:
        return http_server.error_response(413, 'the value is over 1 MiB')
    match = call.headers.get('if-match', '')
    none_match = call.headers.get('if-none-match', '')
    if bool(match) == bool(none_match):
        return http_server.error_response(
            428, 'either If-Match or If-None-Match: * is required'
        )
    if none_match and none_match != '*':
        return http_server.error_response(400, 'If-None-Match must be *')
    with state.lock:
        stored_by_name = state.stored_by_name.setdefault(kind, {})
        stored = stored_by_name.get(name)
        version = stored.version if stored else 0
        accepted = match == f'"{version}"' if match else stored is None
        if not accepted or (match and stored is None):
            return http_server.error_response(
                412,
                f'the version is {version}',
                (('ETag', f'"{version}"'),) if stored else (),
            )
        stored_by_name[name] = StoredObject(version + 1, call.body)
        state.revision_by_kind[kind] = state.revision_by_kind.get(kind, 0) + 1
        state.lock.notify_all()
    return http_server.json_response(
        200 if stored else 201,
        {'version': version + 1},
        (('ETag', f'"{version + 1}"'),),
    )


def _list(state: StoreState, call: http_server.Call) -> http_server.Response:
    kind = call.path[1]
    with state.lock:
        revision = state.revision_by_kind.get(kind, 0)
        objects = [
            {'name': name, 'version': stored.version}
            for name, stored in sorted(
                state.stored_by_name.get(kind, {}).items()
            )
        ]
    return http_server.json_response(
        200, {'revision': revision, 'objects': objects}
    )


def _watch(state: StoreState, call: http_server.Call) -> http_server.Response:
    kind = call.path[1]
    try:
        revision = int(call.query['watch'])
        wait_ms = int(call.query.get('wait_ms', DEFAULT_WATCH_MS))
    except ValueError:
        return http_server.error_response(
            400, 'watch and wait_ms must be whole numbers'
        )
    if not 0 <= wait_ms <= MAX_WATCH_MS:
        return http_server.error_response(
            400, f'wait_ms must be 0 to {MAX_WATCH_MS}'
        )
    with state.lock:
        state.watching += 1
        state.lock.notify_all()
        state.lock.wait_for(
            lambda: (
                state.closed
                or OUTAGE in state.fault_by_name
                or state.revision_by_kind.get(kind, 0) != revision
            ),
            wait_ms / 1000,
        )
        state.watching -= 1
        # An outage also ends the watches that wait when it begins.
        if state.closed or OUTAGE in state.fault_by_name:
            raise http_server.DropConnection
    return _list(state, call)


# Hosts.


def _get_hosts(
    state: StoreState, call: http_server.Call
) -> http_server.Response:
    hosts = []
    with state.lock:
        as_of = state.clock() - state.host_list_lag_ms / 1000
        for host, changes in sorted(state.registrations_by_host.items()):
            seen = [each for each in changes if each.registered_at <= as_of]
            if not seen or seen[-1].state == 'gone':
                continue
            hosts.append(
                {
                    'id': host,
                    'address': seen[-1].address,
                    'failure_domain': seen[-1].failure_domain,
                    'state': seen[-1].state,
                }
            )
    return http_server.json_response(200, {'hosts': hosts})


def _put_host(
    state: StoreState, call: http_server.Call
) -> http_server.Response:
    content = http_server.json_object(call) or {}
    fields = [
        content.get(name) for name in ('address', 'failure_domain', 'state')
    ]
    if not all(isinstance(each, str) and each for each in fields):
        return http_server.error_response(
            400, 'address, failure_domain and state are required'
        )
    if fields[2] not in HOST_STATES:
        return http_server.error_response(
            400, f'state: must be one of {", ".join(HOST_STATES)}'
        )
    with state.lock:
        changes = state.registrations_by_host.setdefault(call.path[1], [])
        changes.append(HostRegistration(state.clock(), *fields))
    return http_server.json_response(200, {'id': call.path[1]})


_HANDLER_BY_OPERATION = {
    'get': _get,
    'put': _put,
    'list': _list,
    'watch': _watch,
    'get_hosts': _get_hosts,
    'put_host': _put_host,
}


def make_handler(state: StoreState) -> http_server.Handler:
    """Return a handler that uses a state."""
    return lambda call: handle(state, call)


def main(
    address: str = typer.Option('127.0.0.1:0', help='host:port to listen on'),
    host_list_lag_ms: float = typer.Option(
        0.0, min=0, help='Age of the host list that is served.'
    ),
    latency_ms: float = typer.Option(
        2.0, min=0, help='Delay of every answer except on control paths.'
    ),
) -> None:
    """Run the store until SIGTERM."""
    state = StoreState(host_list_lag_ms, latency_ms)
    http_server.run_process(make_handler(state), state.close, address, THREADS)


if __name__ == '__main__':
    typer.run(main)
