"""Real router processes, with their settings files and signals."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

from amaranthcrank.platform import names
from amaranthcrank.router import model
from standins import platform_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXIT_WAIT_S = 10.0
# The interpreter and the imports take this long on a busy machine.
LOADING_S = 1.5


class Router:
    """One router, over all processes that are started for it.

    Attributes:
      name: Its host id.
      serve: Where callers connect.
      is_up: Whether a process should be running.
      own_exits: The statuses of processes that ended unasked.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        domain: str,
        store: model.Address,
        folder: pathlib.Path,
    ) -> None:
        """Write the settings; nothing is started yet."""
        self.name = name
        self.serve = platform_settings.serve_address(ip)
        self.is_up = False
        self.is_frozen = False
        self.own_exits: list[int] = []
        self._log_path = folder / f'{name}.log'
        self._settings_path = folder / f'{name}.conf'
        self._popen: subprocess.Popen[bytes] | None = None
        self._started_at = 0.0
        self._place = platform_settings.RouterConfig(name, ip, domain, store)
        self.write_settings('')

    def write_settings(self, note: str) -> None:
        """Write the settings file anew, with a comment that changes it."""
        text = platform_settings.render(self._place, note)
        self._settings_path.write_text(text, encoding='utf-8')

    def start(self) -> None:
        """Start a process."""
        with open(self._log_path, 'ab') as log:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', 'amaranthcrank.router.main'],
                cwd=ROOT,
                env={
                    **os.environ,
                    names.SETTINGS_VARIABLE: str(self._settings_path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_up = True
        self._started_at = time.monotonic()

    def check(self) -> None:
        """Note a process that ended though nothing was asked of it."""
        if self._popen is None or not self.is_up:
            return
        status = self._popen.poll()
        if status is not None:
            self.own_exits.append(status)
            self.start()

    def reload(self) -> None:
        """Send SIGHUP, unless the process may still be loading its code.

        Nothing can handle a signal before the interpreter has started.
        """
        if time.monotonic() - self._started_at > LOADING_S:
            self.send(signal.SIGHUP)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def freeze(self) -> None:
        """Stop the process where it stands."""
        self.is_frozen = True
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let the process go on."""
        self.send(signal.SIGCONT)
        self.is_frozen = False

    def kill(self) -> None:
        """Kill the process."""
        self.is_up = False
        self.send(signal.SIGKILL)
        self._reap()

    def terminate(self) -> None:
        """Ask the process to end; `has_ended` tells when it did."""
        self.is_up = False
        self.send(signal.SIGTERM)

    def has_ended(self) -> bool:
        """Tell whether no process runs."""
        return self._popen is None or self._popen.poll() is not None

    def _reap(self) -> None:
        if self._popen is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._popen.wait(EXIT_WAIT_S)

    def close(self) -> None:
        """End the process for good."""
        self.thaw()
        self.kill()
