"""Actors that dispatch each message to a handler by its type."""

from collections import abc
import typing

import pykka

from amaranthcrank.core import logs

log = logs.logger('actor')

# Actors normally reply within a millisecond; a time-out means a fault.
ASK_TIMEOUT_S = 1.0

Handler = abc.Callable[[typing.Any, typing.Any], typing.Any]


class StateActor(pykka.ThreadingActor):
    """An actor that owns a state and has one handler per message type."""

    use_daemon_thread = True

    def __init__(
        self,
        name: str,
        state: typing.Any,
        handler_by_type: abc.Mapping[type, Handler],
    ) -> None:
        super().__init__()
        self.name = name
        self.state = state
        self.handler_by_type = handler_by_type

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Call the handler for the type of the message.

        An unhandled exception would stop the actor and lose its state, so it
        is logged and returned, and the actor goes on. `ask` raises it.
        """
        try:
            return self.handler_by_type[type(message)](self.state, message)
        except Exception as error:
            log.exception('Actor {} failed to handle {}.', self.name, message)
            return error


def start(
    name: str,
    state: typing.Any,
    handler_by_type: abc.Mapping[type, Handler],
) -> pykka.ActorRef:
    """Start an actor.

    Args:
      name: The name in log lines.
      state: The state that the actor owns; only its handlers may change it.
      handler_by_type: The handler, called with (state, message), for each
        message type.

    Returns:
      The reference to send messages to.
    """
    return StateActor.start(name, state, handler_by_type)


def ask(
    ref: pykka.ActorRef, message: typing.Any, timeout_s: float = ASK_TIMEOUT_S
) -> typing.Any:
    """Send a message and wait for the reply.

    Args:
      ref: The actor.
      message: The message.
      timeout_s: The longest time to wait.

    Returns:
      The result of the handler.

    Raises:
      Exception: The exception of the handler; the actor keeps running.
    """
    reply = ref.ask(message, timeout=timeout_s)
    if isinstance(reply, Exception):
        raise reply
    return reply
