"""Actors whose behaviour is a table of functions by message type."""

from collections import abc
import typing

import pykka

from amaranthcrank.core import logs

log = logs.logger('actor')

# Actors answer within a millisecond; a longer wait is a fault.
ASK_TIMEOUT_S = 1.0

Handler = abc.Callable[[typing.Any, typing.Any], typing.Any]


class StateActor(pykka.ThreadingActor):
    """An actor that owns one state and applies a function per message."""

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
        """Apply the function for the type of the message.

        An exception would end the actor and with it all that it owns, so it
        is logged and the next message is handled; ask raises it.
        """
        try:
            return self.handler_by_type[type(message)](self.state, message)
        except Exception as error:
            log.exception('{} failed on {}.', self.name, message)
            return error


def start(
    name: str,
    state: typing.Any,
    handler_by_type: abc.Mapping[type, Handler],
) -> pykka.ActorRef:
    """Start an actor.

    Args:
      name: For the logs.
      state: What the actor owns; only its own functions may change it.
      handler_by_type: The function (state, message) for each message type.

    Returns:
      The reference to send messages to.
    """
    return StateActor.start(name, state, handler_by_type)


def ask(
    ref: pykka.ActorRef, message: typing.Any, timeout_s: float = ASK_TIMEOUT_S
) -> typing.Any:
    """Send a message and wait for its answer.

    Args:
      ref: The actor.
      message: The message.
      timeout_s: How long to wait.

    Returns:
      What the function for the message returned.

    Raises:
      Exception: What that function raised; the actor goes on.
    """
    answer = ref.ask(message, timeout=timeout_s)
    if isinstance(answer, Exception):
        raise answer
    return answer
