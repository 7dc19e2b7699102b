"""Start-up and shutdown of the daemon amaranthcrankd."""

from collections import abc
import contextlib
import inspect
import itertools
import json
import os
import signal
import sys
import threading
import time
import typing
import uuid

import pykka
import typer
import urllib3

from amaranthcrank.admission import gate
from amaranthcrank.admission import intake_limit
from amaranthcrank.core import codes
from amaranthcrank.core import logs
from amaranthcrank.core import metrics
from amaranthcrank.core import settings as settings_module
from amaranthcrank.core import tracing
from amaranthcrank.daemon import control
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import forwards as forwards_module
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import operators as operators_module
from amaranthcrank.daemon import requests
from amaranthcrank.daemon import tasks as tasks_module
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import retries
from amaranthcrank.dispatch import work as work_module
from amaranthcrank.grant import renewals
from amaranthcrank.intake import server
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.publish import view as view_module

log = logs.logger('daemon')

# Time for the peers to learn that the host is leaving, which takes one
# heartbeat interval, and for the load balancer, which reads /readyz about
# twice a second.
LEAVE_NOTICE_S = 0.5
DRAIN_POLL_S = 0.02
USAGE_EXIT = 2


class Daemon(typing.NamedTuple):
    """The parts of a running daemon that shutdown needs.

    Attributes:
      control_ref: The control actor.
      caller_server: The server for callers.
      operator_server: The server for operators.
      links: The links to the peers.
      dispatcher_by_target: The dispatcher of each target.
    """

    control_ref: pykka.ActorRef
    caller_server: server.BoundServer
    operator_server: server.BoundServer
    links: links_module.Links
    dispatcher_by_target: dict[str, pykka.ActorRef]


def run() -> None:
    """Run the command amaranthcrankd."""
    app = typer.Typer(add_completion=False)
    app.command()(_with_flags(_main))
    try:
        code = app(prog_name='amaranthcrankd', standalone_mode=False)
    except typer.TyperException as error:
        code = _print_usage_error(
            codes.SETTING_BAD_FLAG, error.format_message()
        )
    sys.exit(code or 0)


def _with_flags(function: abc.Callable[..., int]) -> abc.Callable[..., int]:
    """Make a command with one option for each setting."""

    def command(**flags: typing.Any) -> int:
        return function(**flags)

    parameters = []
    for row in settings_module.SETTINGS:
        option = typer.Option(row.flag, help=f'{row.purpose}: {row.accepted}')
        parameters.append(_parameter(row.name, str | None, option, None))
    show = typer.Option(
        '--show-settings', help='Show each setting and its source, then exit.'
    )
    parameters.append(_parameter('show', bool, show, False))
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {
        each.name: each.annotation for each in parameters
    }
    command.__doc__ = 'Route requests to the one upstream that owns a key.'
    return command


def _parameter(
    name: str, kind: typing.Any, option: typing.Any, default: typing.Any
) -> inspect.Parameter:
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        default=default,
        annotation=typing.Annotated[kind, option],
    )


def _main(show: bool, **flags: str | None) -> int:
    if show:
        for line in settings_module.show_settings(flags, os.environ):
            print(line)
    settings, problems = settings_module.read_settings(flags, os.environ)
    for problem in problems:
        _print_usage_error(problem.code, f'{problem.place}: {problem.detail}')
    if settings is None:
        return USAGE_EXIT
    if not show:
        serve(settings)
    return 0


def _print_usage_error(code: codes.Code, detail: str) -> int:
    line = f'{code.number} {code.name}: {code.text} {detail}'
    print(line, file=sys.stderr)
    return USAGE_EXIT


def serve(settings: settings_module.Settings) -> None:
    """Run the daemon until a signal ends it.

    Args:
      settings: The checked settings.
    """
    stopping = threading.Event()

    def on_signal(number: int, frame: typing.Any) -> None:
        if stopping.is_set():
            # A second signal ends the process without waiting.
            os._exit(1)
        stopping.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    with contextlib.ExitStack() as stack:
        logs.set_up_logging(stack, settings)
        tracing.set_up_tracing(stack, settings)
        stack.callback(pykka.ActorRegistry.stop_all, timeout=1.0)
        daemon = _start(stack, settings, stopping)
        _write_ready_file(settings, daemon)
        log.info('Host {} is listening.', settings.host_id)
        stopping.wait()
        _drain(daemon, settings)


def _start(
    stack: contextlib.ExitStack,
    settings: settings_module.Settings,
    stopping: threading.Event,
) -> Daemon:
    incarnation = uuid.uuid4().hex[:12]
    view_holder = view_module.ViewHolder()
    ledger_ref = ledger_actor.start(settings.host_id)
    handler_by_type: dict[str, typing.Any] = {}

    def on_frame(host: str, frame: frames.Frame) -> None:
        handler = handler_by_type.get(frame['type'])
        if handler is not None:
            handler(host, frame)

    address_by_peer = dict(settings.peers)
    address_by_peer.pop(settings.host_id, None)
    links = links_module.open_links(
        stack,
        settings.host_id,
        settings.peer_address,
        tuple(each.encode() for each in settings.cluster_keys),
        on_frame,
        address_by_peer,
    )
    attempts = itertools.count(1)
    context = work_module.Context(
        settings.host_id,
        incarnation,
        view_holder,
        links,
        ledger_ref,
        lambda: next(attempts),
    )
    state, ref = _start_control(stack, settings, context)
    node = requests.Node(
        settings.cell,
        context,
        view_holder,
        state.gate_ref,
        state.dispatcher_by_target,
        retries.open_budget(),
        itertools.count(1),
        forwards_module.start_tracker(stack, links),
        intake_limit.open_limit(settings.caller_threads),
    )
    interface = operators_module.OperatorInterface(
        node, ref, state.tasks.client
    )
    _add_handlers(handler_by_type, node, interface, ref)
    caller_server = server.open_caller_server(
        stack,
        settings.caller_address,
        settings.caller_threads,
        settings.max_connections,
        lambda request: requests.handle(node, request),
        lambda: view_holder.view.ready,
        metrics.render,
        lambda: view_holder.view.table_by_service or None,
    )
    operator_server = server.open_operator_server(
        stack,
        settings.operator_address,
        settings.operator_keys,
        operators_module.build_routes(interface),
    )
    tasks_module.start(state.tasks)
    _start_timer(stopping, ref)
    return Daemon(
        ref, caller_server, operator_server, links, state.dispatcher_by_target
    )


def _start_control(
    stack: contextlib.ExitStack,
    settings: settings_module.Settings,
    context: work_module.Context,
) -> tuple[control_state.ControlState, pykka.ActorRef]:
    url = urllib3.util.parse_url(settings.store_url)
    refs: list[pykka.ActorRef] = []

    def tell(message: typing.Any) -> None:
        # Other threads may still finish a call while the actors stop.
        with contextlib.suppress(pykka.ActorDeadError):
            refs[0].tell(message)

    tasks = tasks_module.Tasks(stack, url.netloc, context.links, tell)
    state = control_state.ControlState(
        settings,
        context.incarnation,
        context.links,
        context.view_holder,
        context.ledger_ref,
        context,
        tasks,
        renewals.Renewer(stack, tell),
        gate.start(),
    )
    refs.append(control.start(state))
    return state, refs[0]


def _add_handlers(
    handler_by_type: dict[str, typing.Any],
    node: requests.Node,
    interface: operators_module.OperatorInterface,
    control_ref: pykka.ActorRef,
) -> None:
    """Register the handler of each type of frame."""

    def to_control(host: str, frame: frames.Frame) -> None:
        control_ref.tell(messages.FrameReceived(host, frame))

    for kind in control.HANDLER_BY_FRAME_TYPE:
        handler_by_type[kind] = to_control
    handler_by_type[frames.REQUEST] = lambda host, frame: (
        requests.on_request_frame(node, host, frame)
    )
    handler_by_type[frames.INTENT] = lambda host, frame: (
        work_module.on_intent_frame(node.context, host, frame)
    )
    handler_by_type[frames.STATUS] = lambda host, frame: (
        operators_module.on_status_frame(interface, host, frame)
    )


def _start_timer(stopping: threading.Event, ref: pykka.ActorRef) -> None:
    """Send ticks, also during shutdown, which needs heartbeats."""

    def tick() -> None:
        pause = threading.Event()
        while True:
            try:
                ref.tell(messages.Tick())
            except pykka.ActorDeadError:
                return
            pause.wait(control.TICK_S)

    threading.Thread(target=tick, name='timer', daemon=True).start()


def _write_ready_file(
    settings: settings_module.Settings, daemon: Daemon
) -> None:
    """Write the listening addresses for the parent process."""
    if not settings.ready_file:
        return
    peer_host, peer_port = links_module.bound_address(daemon.links)
    addresses = {
        'callers': f'{daemon.caller_server.host}:{daemon.caller_server.port}',
        'operators': f'{daemon.operator_server.host}:'
        f'{daemon.operator_server.port}',
        'peers': f'{peer_host}:{peer_port}',
    }
    temporary = settings.ready_file + '.new'
    with open(temporary, 'w') as file:
        json.dump(addresses, file)
    os.replace(temporary, settings.ready_file)


def _drain(daemon: Daemon, settings: settings_module.Settings) -> None:
    """Hand dispatching over to the peers and finish requests in flight."""
    log.info('Shutting down; waiting for requests in flight.')
    daemon.control_ref.tell(messages.Leave())
    time.sleep(LEAVE_NOTICE_S)
    end_at = time.monotonic() + settings.drain_s
    left = server.stop_accepting(daemon.caller_server, settings.drain_s)
    # Peers may have forwarded requests that still run on upstreams.
    while _in_flight(daemon) and time.monotonic() < end_at:
        time.sleep(DRAIN_POLL_S)
    left += _in_flight(daemon)
    if left:
        log.warning('{} request(s) aborted at the drain limit.', left)


def _in_flight(daemon: Daemon) -> int:
    """Count the requests that this host runs on upstreams."""
    count = 0
    for ref in list(daemon.dispatcher_by_target.values()):
        count += ref.ask(dispatcher.GetLoad()).in_flight
    return count


if __name__ == '__main__':
    run()
