"""Measures the edges on 127.0.0.1 and prints one JSON line a figure.

Servers under test run in this process and load comes from child processes,
so that processor time of this process is that of the part measured. The only
randomness is in the bodies, which are seeded.
"""

import contextlib
import json
import multiprocessing
import os
import queue
import random
import socket
import subprocess
import sys
import threading
import time

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import upstream_client
from amaranthcrank.intake import server
from amaranthcrank.peers import frames
from amaranthcrank.peers import links

SEED = 20260415
LOAD_S = 3.0
CLIENTS = 4
CONNECTIONS_PER_CLIENT = 4
CALLS = 2000
FRAMES = 20_000
KEYS = [b'measurement key']
# The users' links between regions carry 30 Mbit/s.
RELAY_BYTES_PER_S = 30_000_000 / 8
RELAY_CHUNK_BYTES = 8192
TCP_IP_BYTES = 52
ETHERNET_BYTES = 18

GET = b'GET /v1/soaklog/key-%d HTTP/1.1\r\nHost: h\r\n\r\n'
UPSTREAM_GET = b'GET /keys/soaklog/key-%d HTTP/1.1\r\nHost: h\r\n\r\n'
UPSTREAM_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 64\r\n\r\n' + b'x' * 64
)
REQUEST = model.Request(
    request_id='1800000000000-0123456789abcdef',
    issued_at_ms=1_800_000_000_000,
    service='soaklog',
    key='furnace-17',
    rank=model.NORMAL,
    repeatable=True,
    deadline_ms=5000,
    caller='10.0.0.1',
    method='GET',
    query='',
    headers=(('accept', 'application/json'),),
    body=b'',
    traceparent='',
)
HEARTBEAT = {
    'type': frames.HEARTBEAT,
    'incarnation': b'12345678',
    'promised': 1234,
    'sequence': 86400,
    'echo': 86399,
    'attests': True,
    'effective': 1234,
    'ticket': 421,
}

_spawn = multiprocessing.get_context('spawn')


def main() -> None:
    random.seed(SEED)
    for measure in (
        _measure_memory,
        _measure_wire,
        _measure_caller_server,
        _measure_upstream_and_added_latency,
        _measure_frames,
        _measure_control_behind_bodies,
    ):
        measure()


def _print(figure: str, **values: object) -> None:
    rounded = {
        name: round(value, 2) if isinstance(value, float) else value
        for name, value in values.items()
    }
    print(json.dumps({'figure': figure, **rounded}), flush=True)


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def _spread_us(seconds: list[float]) -> dict[str, float]:
    return {
        'p50_us': _percentile(seconds, 0.5) * 1e6,
        'p99_us': _percentile(seconds, 0.99) * 1e6,
    }


def _measure_memory() -> None:
    page_bytes = os.sysconf('SC_PAGE_SIZE')
    show = 'print(open("/proc/self/statm").read().split()[1])'
    package = 'amaranthcrank'
    for name, modules in (
        ('bare interpreter', 'sys'),
        ('caller server', f'{package}.intake.server'),
        ('links', f'{package}.peers.links'),
        ('upstream client', f'{package}.dispatch.upstream_client'),
        (
            'all edges',
            f'{package}.intake.server, {package}.peers.links, '
            f'{package}.dispatch.upstream_client',
        ),
    ):
        pages = subprocess.check_output(
            [sys.executable, '-c', f'import {modules}; {show}']
        )
        size = int(pages) * page_bytes / 2**20
        _print('resident memory of imports', of=name, mib=size)


def _measure_wire() -> None:
    for name, frame in (
        ('heartbeat', {**HEARTBEAT, 'id': 0}),
        ('request of 1 KiB', _numbered_request(1024)),
    ):
        payload = len(frames.encode_frame(frame)[0])
        header = 6 if payload < 126 else 8 if payload < 65536 else 14
        _print(
            'bytes on the wire',
            of=name,
            payload=payload,
            websocket_header_and_mask=header,
            tcp_ip_with_timestamps=TCP_IP_BYTES,
            ethernet=ETHERNET_BYTES,
            total_ip=payload + header + TCP_IP_BYTES,
            acknowledgement_ip=TCP_IP_BYTES,
        )


def _numbered_request(body_bytes: int) -> frames.Frame:
    request = REQUEST._replace(body=random.randbytes(body_bytes))
    frame = frames.request_frame(frames.Forwarded(request, 1, 421))
    return {**frame, 'id': 2**62}


def _exchange(sock: socket.socket, data: bytes) -> int:
    """Send a request and read its answer with a Content-Length."""
    sock.sendall(data)
    received = b''
    while b'\r\n\r\n' not in received:
        received += _some(sock)
    head, _, body = received.partition(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length:')[1].split(b'\r\n')[0])
    left = length - len(body)
    while left > 0:
        left -= len(_some(sock))
    return int(head[9:12])


def _some(sock: socket.socket) -> bytes:
    data = sock.recv(65536)
    if not data:
        raise ConnectionError('connection closed')
    return data


def _load(address, connections, duration_s, results) -> None:
    """Run closed-loop clients and report their latencies."""
    taken: list[float] = []

    def run() -> None:
        with socket.create_connection(address) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            number = 0
            end = time.perf_counter() + duration_s
            while (start := time.perf_counter()) < end:
                number += 1
                if _exchange(sock, GET % number) != 200:
                    raise ValueError('unexpected status')
                taken.append(time.perf_counter() - start)

    threads = [threading.Thread(target=run) for _ in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put(taken)


def _open_caller_server(stack, handle) -> server.Bound:
    return server.open_caller_server(
        stack,
        ('127.0.0.1', 0),
        CLIENTS * CONNECTIONS_PER_CLIENT,
        256,
        handle,
        lambda: True,
        lambda: '',
        lambda: {'soaklog'},
    )


def _measure_caller_server() -> None:
    answer = model.Outcome(codes.OK, 200, (), b'x' * 64, 0, '')
    for clients, connections in ((1, 1), (CLIENTS, CONNECTIONS_PER_CLIENT)):
        with contextlib.ExitStack() as stack:
            bound = _open_caller_server(stack, lambda request: answer)
            results = _spawn.Queue()
            children = [
                _spawn.Process(
                    target=_load,
                    args=(
                        (bound.host, bound.port),
                        connections,
                        LOAD_S,
                        results,
                    ),
                )
                for _ in range(clients)
            ]
            used = time.process_time()
            for child in children:
                child.start()
            taken = [each for _ in children for each in results.get()]
            used = time.process_time() - used
            for child in children:
                child.join()
        _print(
            'caller server, trivial handler',
            connections=clients * connections,
            requests=len(taken),
            requests_per_s=len(taken) / LOAD_S,
            processor_us_per_request=used / len(taken) * 1e6,
            **_spread_us(taken),
        )


def _serve_upstream(port_queue) -> None:
    """Answer every request with 64 bytes, one thread a connection."""
    listener = socket.create_server(('127.0.0.1', 0))
    port_queue.put(listener.getsockname()[1])

    def run(sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = b''
        while data := sock.recv(65536):
            received += data
            while b'\r\n\r\n' in received:
                received = received.partition(b'\r\n\r\n')[2]
                sock.sendall(UPSTREAM_ANSWER)

    while True:
        sock = listener.accept()[0]
        threading.Thread(target=run, args=(sock,), daemon=True).start()


def _sequential(address, request, results) -> None:
    taken = []
    with socket.create_connection(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(CALLS):
            start = time.perf_counter()
            _exchange(sock, request % number)
            taken.append(time.perf_counter() - start)
    results.put(taken)


def _run_sequential(address, request) -> list[float]:
    results = _spawn.Queue()
    child = _spawn.Process(
        target=_sequential, args=(address, request, results)
    )
    child.start()
    taken = results.get()
    child.join()
    return taken


def _measure_upstream_and_added_latency() -> None:
    ports = _spawn.Queue()
    child = _spawn.Process(target=_serve_upstream, args=(ports,), daemon=True)
    child.start()
    port = ports.get()
    target = model.Target(
        't', 'soaklog', 'c', f'127.0.0.1:{port}', 3, 110, True, False
    )
    with contextlib.ExitStack() as stack:
        stack.callback(child.terminate)
        upstream = upstream_client.open_upstream(stack, target)

        def work(request: model.Request) -> upstream_client.UpstreamResponse:
            return upstream_client.send_work(
                upstream, request, 7, 31, 'incarnation', 5.0, ''
            )

        def handle(request: model.Request) -> model.Outcome:
            got = work(request)
            return model.Outcome(
                codes.OK, got.status, got.headers, got.body, 0, ''
            )

        taken = []
        used = time.process_time()
        for _ in range(CALLS):
            start = time.perf_counter()
            work(REQUEST)
            taken.append(time.perf_counter() - start)
        used = time.process_time() - used
        _print(
            'upstream call',
            calls=CALLS,
            processor_us_per_call=used / CALLS * 1e6,
            **_spread_us(taken),
        )
        bound = _open_caller_server(stack, handle)
        direct = _run_sequential(('127.0.0.1', port), UPSTREAM_GET)
        through = _run_sequential((bound.host, bound.port), GET)
    direct_us, through_us = _spread_us(direct), _spread_us(through)
    _print(
        'latency added to a direct call, one caller',
        direct=direct_us,
        through=through_us,
        added_p50_us=through_us['p50_us'] - direct_us['p50_us'],
        added_p99_us=through_us['p99_us'] - direct_us['p99_us'],
    )


def _run_peer(address, ready, results, relay_bytes_per_s) -> None:
    """Be host b: count frames, answer calls, report processor time."""
    with contextlib.ExitStack() as stack:
        counts = {'frames': 0}
        done = threading.Event()
        used = {'start': 0.0}

        def on_frame(peer: str, frame: frames.Frame) -> None:
            if 'mark' in frame:
                now = time.process_time()
                spent = now - used['start']
                used['start'] = now
                answer = {'type': frames.STATUS_REPLY, **counts}
                answer['processor_s'] = spent
                counts['frames'] = 0
                links.reply(peer_links, peer, frame['id'], answer)
                if frame['mark'] == 'stop':
                    done.set()
                return
            counts['frames'] += 1
            if frame['id']:
                answer = {'type': frames.STATUS_REPLY}
                links.reply(peer_links, peer, frame['id'], answer)

        peer_links = links.open_links(
            stack, 'b', ('127.0.0.1', 0), KEYS, on_frame, {'a': address}
        )
        own = links.bound_address(peer_links)
        if relay_bytes_per_s:
            own = _start_relay(own, relay_bytes_per_s)
        ready.put(own)
        done.wait(60)


def _start_relay(address, bytes_per_s) -> tuple[str, int]:
    """Relay to an address with a limited rate in its direction."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)

    def copy(source, sink, rate) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(RELAY_CHUNK_BYTES):
                if rate:
                    time.sleep(len(data) / rate)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)

    def run() -> None:
        while True:
            near = listener.accept()[0]
            try:
                far = socket.create_connection(address)
            except OSError:
                near.close()
                continue
            for args in ((near, far, bytes_per_s), (far, near, 0)):
                threading.Thread(target=copy, args=args, daemon=True).start()

    threading.Thread(target=run, daemon=True).start()
    return listener.getsockname()[:2]


@contextlib.contextmanager
def _linked_pair(relay_bytes_per_s=0):
    with contextlib.ExitStack() as stack:
        own = links.open_links(
            stack, 'a', ('127.0.0.1', 0), KEYS, lambda *_: None, {}
        )
        ready, results = _spawn.Queue(), _spawn.Queue()
        child = _spawn.Process(
            target=_run_peer,
            args=(
                links.bound_address(own),
                ready,
                results,
                relay_bytes_per_s,
            ),
        )
        child.start()
        links.set_hosts(own, {'b': ready.get()})
        while 'b' not in links.connected(own):
            time.sleep(0.001)
        yield own
        _mark(own, 'stop')
        child.join()


def _mark(own: links.Links, mark: str) -> frames.Frame:
    # A bulk type, so that it arrives behind the frames it counts.
    frame = {'type': frames.CANCEL, 'mark': mark}
    return links.call(own, 'b', frame).result(30)


def _measure_frames() -> None:
    request = _numbered_request(1024)
    with _linked_pair() as own:
        for name, frame in (
            ('heartbeat', HEARTBEAT),
            ('request of 1 KiB', request),
        ):
            _mark(own, 'start')
            used, start = time.process_time(), time.perf_counter()
            sent = 0
            while sent < FRAMES:
                if links.send(own, 'b', frame):
                    sent += 1
                else:
                    time.sleep(0.0005)
            counted = _mark(own, 'end')
            while counted['frames'] < FRAMES:
                more = _mark(own, 'end')
                counted['frames'] += more['frames']
                counted['processor_s'] += more['processor_s']
            taken = time.perf_counter() - start
            used = time.process_time() - used
            _print(
                'frames on one link',
                of=name,
                frames_per_s=FRAMES / taken,
                sender_processor_us=used / FRAMES * 1e6,
                receiver_processor_us=counted['processor_s'] / FRAMES * 1e6,
            )
        taken_s = _round_trips(own, 1000, 0.0)
        _print('call and answer between hosts', **_spread_us(taken_s))
        # Spaced frames cost more than a stream: each wakes every thread.
        _mark(own, 'start')
        used = time.process_time()
        for _ in range(400):
            links.send(own, 'b', HEARTBEAT)
            time.sleep(0.005)
        used = time.process_time() - used
        received = _mark(own, 'end')['processor_s']
        _print(
            'heartbeat sent alone',
            sender_processor_us=used / 400 * 1e6,
            receiver_processor_us=received / 400 * 1e6,
        )


def _round_trips(own, count, pause_s) -> list[float]:
    taken = []
    for _ in range(count):
        start = time.perf_counter()
        links.call(own, 'b', {'type': frames.STATUS}).result(30)
        taken.append(time.perf_counter() - start)
        if pause_s:
            time.sleep(pause_s)
    return taken


def _measure_control_behind_bodies() -> None:
    for name, rate in (('loopback', 0), ('30 Mbit/s', RELAY_BYTES_PER_S)):
        with _linked_pair(rate) as own:
            stop = threading.Event()
            sent: queue.SimpleQueue = queue.SimpleQueue()

            def flood(own=own, stop=stop, sent=sent) -> None:
                frame = _numbered_request(2**20)
                link = own.link_by_host['b']
                while not stop.is_set():
                    # Two bodies queued keep the link busy all the time.
                    waiting = link.waiting.body_frames
                    if waiting < 2 and links.send(own, 'b', frame):
                        sent.put(1)
                    else:
                        time.sleep(0.0005)

            idle = _round_trips(own, 50, 0.002)
            thread = threading.Thread(target=flood)
            thread.start()
            start = time.perf_counter()
            busy = _round_trips(own, 20 if rate else 300, 0.002)
            taken = time.perf_counter() - start
            stop.set()
            thread.join()
            _print(
                'control call behind 1 MiB bodies',
                over=name,
                idle=_spread_us(idle),
                busy=_spread_us(busy),
                mib_per_s=sent.qsize() / taken,
            )


if __name__ == '__main__':
    main()
