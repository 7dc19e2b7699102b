"""Measures the caller server, links and upstream client; prints JSON lines.

The part under test runs in this process and child processes send the load, so
the processor time of this process is that of the part under test. All
connections use 127.0.0.1. Only the bodies are random, and they are seeded.
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
CLIENT_PROCESSES = 4
CONNECTIONS_PER_CLIENT = 4
SEQUENTIAL_CALLS = 2000
FRAMES = 20_000
KEYS = [b'measurement key']
# The links between the regions of the users have 30 Mbit/s.
RELAY_BYTES_PER_S = 30_000_000 / 8
RELAY_CHUNK_BYTES = 8192
TCP_IP_BYTES = 52
ETHERNET_BYTES = 18

GET = b'GET /v1/soaklog/key-%d HTTP/1.1\r\nHost: h\r\n\r\n'
UPSTREAM_GET = b'GET /keys/soaklog/key-%d HTTP/1.1\r\nHost: h\r\n\r\n'
UPSTREAM_RESPONSE = (
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
    """Print one line of JSON for each figure."""
    random.seed(SEED)
    for measure in (
        _measure_memory,
        _measure_frame_bytes,
        _measure_caller_server,
        _measure_upstream_and_added_latency,
        _measure_frames,
        _measure_control_during_bodies,
    ):
        measure()


def _print(figure: str, **values: object) -> None:
    rounded = {
        name: round(value, 2) if isinstance(value, float) else value
        for name, value in values.items()
    }
    print(json.dumps({'figure': figure, **rounded}), flush=True)


def _percentile(values: list[float], share: float) -> float:
    sorted_values = sorted(values)
    return sorted_values[
        min(int(len(sorted_values) * share), len(sorted_values) - 1)
    ]


def _percentiles_us(seconds: list[float]) -> dict[str, float]:
    return {
        'p50_us': _percentile(seconds, 0.5) * 1e6,
        'p99_us': _percentile(seconds, 0.99) * 1e6,
    }


def _measure_memory() -> None:
    page_bytes = os.sysconf('SC_PAGE_SIZE')
    print_pages = 'print(open("/proc/self/statm").read().split()[1])'
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
            [sys.executable, '-c', f'import {modules}; {print_pages}']
        )
        resident_mib = int(pages) * page_bytes / 2**20
        _print('resident memory of imports', of=name, mib=resident_mib)


def _measure_frame_bytes() -> None:
    for name, frame in (
        ('heartbeat', {**HEARTBEAT, 'id': 0}),
        ('request of 1 KiB', _make_request_frame(1024)),
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


def _make_request_frame(body_bytes: int) -> frames.Frame:
    request = REQUEST._replace(body=random.randbytes(body_bytes))
    frame = frames.request_frame(frames.Forwarded(request, 1, 421))
    return {**frame, 'id': 2**62}


def _send_request(sock: socket.socket, data: bytes) -> int:
    """Send a request, read its response and return the HTTP status.

    The response must have a Content-Length.
    """
    sock.sendall(data)
    received = b''
    while b'\r\n\r\n' not in received:
        received += _receive(sock)
    head, _, body = received.partition(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length:')[1].split(b'\r\n')[0])
    remaining = length - len(body)
    while remaining > 0:
        remaining -= len(_receive(sock))
    return int(head[9:12])


def _receive(sock: socket.socket) -> bytes:
    data = sock.recv(65536)
    if not data:
        raise ConnectionError(
            'connection closed before the end of the response'
        )
    return data


def _run_clients(address, connections, duration_s, results) -> None:
    """Run closed-loop clients and put their latencies into a queue."""
    latencies_s: list[float] = []

    def run() -> None:
        with socket.create_connection(address) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            number = 0
            end_at = time.perf_counter() + duration_s
            while (started_at := time.perf_counter()) < end_at:
                number += 1
                if _send_request(sock, GET % number) != 200:
                    raise ValueError(
                        'the HTTP status of a response was not 200'
                    )
                latencies_s.append(time.perf_counter() - started_at)

    threads = [threading.Thread(target=run) for _ in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put(latencies_s)


def _open_caller_server(stack, handle) -> server.BoundServer:
    return server.open_caller_server(
        stack,
        ('127.0.0.1', 0),
        CLIENT_PROCESSES * CONNECTIONS_PER_CLIENT,
        256,
        handle,
        lambda: True,
        lambda: '',
        lambda: {'soaklog'},
    )


def _measure_caller_server() -> None:
    outcome = model.Outcome(codes.OK, 200, (), b'x' * 64, 0, '')
    for clients, connections in (
        (1, 1),
        (CLIENT_PROCESSES, CONNECTIONS_PER_CLIENT),
    ):
        with contextlib.ExitStack() as stack:
            bound = _open_caller_server(stack, lambda request: outcome)
            results = _spawn.Queue()
            children = [
                _spawn.Process(
                    target=_run_clients,
                    args=(
                        (bound.host, bound.port),
                        connections,
                        LOAD_S,
                        results,
                    ),
                )
                for _ in range(clients)
            ]
            processor_s = time.process_time()
            for child in children:
                child.start()
            latencies_s = [each for _ in children for each in results.get()]
            processor_s = time.process_time() - processor_s
            for child in children:
                child.join()
        _print(
            'caller server, trivial handler',
            connections=clients * connections,
            requests=len(latencies_s),
            requests_per_s=len(latencies_s) / LOAD_S,
            processor_us_per_request=processor_s / len(latencies_s) * 1e6,
            **_percentiles_us(latencies_s),
        )


def _serve_upstream(port_queue) -> None:
    """Answer every request with 64 bytes; one thread per connection."""
    listener = socket.create_server(('127.0.0.1', 0))
    port_queue.put(listener.getsockname()[1])

    def run(sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = b''
        while data := sock.recv(65536):
            received += data
            while b'\r\n\r\n' in received:
                received = received.partition(b'\r\n\r\n')[2]
                sock.sendall(UPSTREAM_RESPONSE)

    while True:
        sock = listener.accept()[0]
        threading.Thread(target=run, args=(sock,), daemon=True).start()


def _call_sequentially(address, request, results) -> None:
    latencies_s = []
    with socket.create_connection(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(SEQUENTIAL_CALLS):
            started_at = time.perf_counter()
            _send_request(sock, request % number)
            latencies_s.append(time.perf_counter() - started_at)
    results.put(latencies_s)


def _run_sequential_client(address, request) -> list[float]:
    results = _spawn.Queue()
    child = _spawn.Process(
        target=_call_sequentially, args=(address, request, results)
    )
    child.start()
    latencies_s = results.get()
    child.join()
    return latencies_s


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

        def call_upstream(
            request: model.Request,
        ) -> upstream_client.UpstreamResponse:
            return upstream_client.send_work(
                upstream, request, 7, 31, 'incarnation', 5.0, ''
            )

        def handle(request: model.Request) -> model.Outcome:
            upstream_response = call_upstream(request)
            return model.Outcome(
                codes.OK,
                upstream_response.status,
                upstream_response.headers,
                upstream_response.body,
                0,
                '',
            )

        latencies_s = []
        processor_s = time.process_time()
        for _ in range(SEQUENTIAL_CALLS):
            started_at = time.perf_counter()
            call_upstream(REQUEST)
            latencies_s.append(time.perf_counter() - started_at)
        processor_s = time.process_time() - processor_s
        _print(
            'upstream call',
            calls=SEQUENTIAL_CALLS,
            processor_us_per_call=processor_s / SEQUENTIAL_CALLS * 1e6,
            **_percentiles_us(latencies_s),
        )
        bound = _open_caller_server(stack, handle)
        direct_s = _run_sequential_client(('127.0.0.1', port), UPSTREAM_GET)
        through_s = _run_sequential_client((bound.host, bound.port), GET)
    direct_us, through_us = (
        _percentiles_us(direct_s),
        _percentiles_us(through_s),
    )
    _print(
        'latency added to a direct call, one caller',
        direct=direct_us,
        through=through_us,
        added_p50_us=through_us['p50_us'] - direct_us['p50_us'],
        added_p99_us=through_us['p99_us'] - direct_us['p99_us'],
    )


def _run_peer(address, ready, results, relay_bytes_per_s) -> None:
    """Run host b, which counts frames and answers calls.

    A frame with a mark is answered with the number of frames and the processor
    time since the previous mark; the mark `stop` ends the process.
    """
    with contextlib.ExitStack() as stack:
        counts = {'frames': 0}
        stopped = threading.Event()
        mark_times = {'start': 0.0}

        def on_frame(peer: str, frame: frames.Frame) -> None:
            if 'mark' in frame:
                now = time.process_time()
                used_s = now - mark_times['start']
                mark_times['start'] = now
                reply = {'type': frames.STATUS_REPLY, **counts}
                reply['processor_s'] = used_s
                counts['frames'] = 0
                links.reply(peer_links, peer, frame['id'], reply)
                if frame['mark'] == 'stop':
                    stopped.set()
                return
            counts['frames'] += 1
            if frame['id']:
                reply = {'type': frames.STATUS_REPLY}
                links.reply(peer_links, peer, frame['id'], reply)

        peer_links = links.open_links(
            stack, 'b', ('127.0.0.1', 0), KEYS, on_frame, {'a': address}
        )
        own_address = links.bound_address(peer_links)
        if relay_bytes_per_s:
            own_address = _start_relay(own_address, relay_bytes_per_s)
        ready.put(own_address)
        stopped.wait(60)


def _start_relay(address, bytes_per_s) -> tuple[str, int]:
    """Relay connections to an address; returns the address of the relay.

    The rate is limited in the direction to the address.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)

    def copy(source, destination, rate) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(RELAY_CHUNK_BYTES):
                if rate:
                    time.sleep(len(data) / rate)
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)

    def run() -> None:
        while True:
            incoming = listener.accept()[0]
            try:
                outgoing = socket.create_connection(address)
            except OSError:
                incoming.close()
                continue
            for args in (
                (incoming, outgoing, bytes_per_s),
                (outgoing, incoming, 0),
            ):
                threading.Thread(target=copy, args=args, daemon=True).start()

    threading.Thread(target=run, daemon=True).start()
    return listener.getsockname()[:2]


@contextlib.contextmanager
def _linked_pair(relay_bytes_per_s=0):
    with contextlib.ExitStack() as stack:
        own_links = links.open_links(
            stack, 'a', ('127.0.0.1', 0), KEYS, lambda *_: None, {}
        )
        ready, results = _spawn.Queue(), _spawn.Queue()
        child = _spawn.Process(
            target=_run_peer,
            args=(
                links.bound_address(own_links),
                ready,
                results,
                relay_bytes_per_s,
            ),
        )
        child.start()
        links.set_hosts(own_links, {'b': ready.get()})
        while 'b' not in links.connected(own_links):
            time.sleep(0.001)
        yield own_links
        _mark(own_links, 'stop')
        child.join()


def _mark(own_links: links.Links, mark: str) -> frames.Frame:
    # CANCEL frames have the rank bulk, so the mark arrives after the frames
    # that it counts.
    frame = {'type': frames.CANCEL, 'mark': mark}
    return links.call(own_links, 'b', frame).result(30)


def _measure_frames() -> None:
    request = _make_request_frame(1024)
    with _linked_pair() as own_links:
        for name, frame in (
            ('heartbeat', HEARTBEAT),
            ('request of 1 KiB', request),
        ):
            _mark(own_links, 'start')
            processor_s, started_at = time.process_time(), time.perf_counter()
            sent = 0
            while sent < FRAMES:
                if links.send(own_links, 'b', frame):
                    sent += 1
                else:
                    time.sleep(0.0005)
            counts = _mark(own_links, 'end')
            while counts['frames'] < FRAMES:
                more = _mark(own_links, 'end')
                counts['frames'] += more['frames']
                counts['processor_s'] += more['processor_s']
            duration_s = time.perf_counter() - started_at
            processor_s = time.process_time() - processor_s
            _print(
                'frames on one link',
                of=name,
                frames_per_s=FRAMES / duration_s,
                sender_processor_us=processor_s / FRAMES * 1e6,
                receiver_processor_us=counts['processor_s'] / FRAMES * 1e6,
            )
        latencies_s = _measure_round_trips(own_links, 1000, 0.0)
        _print('call and answer between hosts', **_percentiles_us(latencies_s))
        # A single frame costs more than one of a stream, as each wakes up all
        # threads.
        _mark(own_links, 'start')
        processor_s = time.process_time()
        for _ in range(400):
            links.send(own_links, 'b', HEARTBEAT)
            time.sleep(0.005)
        processor_s = time.process_time() - processor_s
        receiver_s = _mark(own_links, 'end')['processor_s']
        _print(
            'heartbeat sent alone',
            sender_processor_us=processor_s / 400 * 1e6,
            receiver_processor_us=receiver_s / 400 * 1e6,
        )


def _measure_round_trips(own_links, count, pause_s) -> list[float]:
    latencies_s = []
    for _ in range(count):
        started_at = time.perf_counter()
        links.call(own_links, 'b', {'type': frames.STATUS}).result(30)
        latencies_s.append(time.perf_counter() - started_at)
        if pause_s:
            time.sleep(pause_s)
    return latencies_s


def _measure_control_during_bodies() -> None:
    for name, rate in (('loopback', 0), ('30 Mbit/s', RELAY_BYTES_PER_S)):
        with _linked_pair(rate) as own_links:
            stop = threading.Event()
            sent: queue.SimpleQueue = queue.SimpleQueue()

            def send_bodies(own_links=own_links, stop=stop, sent=sent) -> None:
                frame = _make_request_frame(2**20)
                link = own_links.link_by_host['b']
                while not stop.is_set():
                    # With two queued bodies the link is never idle.
                    waiting = link.queue.body_frames
                    if waiting < 2 and links.send(own_links, 'b', frame):
                        sent.put(1)
                    else:
                        time.sleep(0.0005)

            idle_s = _measure_round_trips(own_links, 50, 0.002)
            thread = threading.Thread(target=send_bodies)
            thread.start()
            started_at = time.perf_counter()
            busy_s = _measure_round_trips(
                own_links, 20 if rate else 300, 0.002
            )
            duration_s = time.perf_counter() - started_at
            stop.set()
            thread.join()
            _print(
                'control call behind 1 MiB bodies',
                over=name,
                idle=_percentiles_us(idle_s),
                busy=_percentiles_us(busy_s),
                mib_per_s=sent.qsize() / duration_s,
            )


if __name__ == '__main__':
    main()
