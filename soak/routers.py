"""Router processes: settings files, start, signals and exit."""

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
# Start-up of the interpreter and its imports on a busy machine.
STARTUP_S = 1.5


class Router:
    """One router and the successive processes that run it.

    Attributes:
      name: Its host id.
      serve: The address for callers.
      is_up: Whether a process should be running.
      is_suspended: Whether the process is stopped by SIGSTOP.
      unexpected_exits: Exit statuses of processes that ended by themselves;
        -1 for one that did not end in time after SIGTERM.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        domain: str,
        store: model.Address,
        folder: pathlib.Path,
        max_descriptors: int = platform_settings.MAX_DESCRIPTORS,
        memory_mb: int = platform_settings.MEMORY_MB,
        settings_name: str = '',
    ) -> None:
        """Write the settings file; nothing is started yet.

        Processes under one host id at several addresses need settings files
        of their own, as a running process reads its file again.

        Args:
          name: The host id.
          ip: Its address.
          domain: Its failure domain.
          store: The address of the store.
          folder: Where the log and the settings file are.
          max_descriptors: The limit of open files.
          memory_mb: The limit of memory.
          settings_name: The settings file's name; the host id if empty.
        """
        self.name = name
        self.serve = platform_settings.serve_address(ip)
        self.is_up = False
        self.is_suspended = False
        self.unexpected_exits: list[int] = []
        self._log_path = folder / f'{name}.log'
        self._settings_path = folder / f'{settings_name or name}.conf'
        self._popen: subprocess.Popen[bytes] | None = None
        self._started_at = 0.0
        self._config = platform_settings.RouterConfig(
            name, ip, domain, store, max_descriptors, memory_mb
        )
        self.write_settings('')

    def write_settings(self, comment: str) -> None:
        """Write the settings file, with a comment to change its content."""
        text = platform_settings.render(self._config, comment)
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

    def restart_if_exited(self) -> None:
        """Record an unexpected exit and start the process again."""
        if self._popen is None or not self.is_up:
            return
        status = self._popen.poll()
        if status is not None:
            self.unexpected_exits.append(status)
            self.start()

    @property
    def pid(self) -> int:
        """The id of the process that was started last."""
        assert self._popen is not None
        return self._popen.pid

    def reload(self) -> None:
        """Send SIGHUP, unless the process may still be starting.

        Until its handler is installed, SIGHUP would end the process.
        """
        if time.monotonic() - self._started_at > STARTUP_S:
            self.send_signal(signal.SIGHUP)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.is_suspended = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the suspended process continue."""
        self.send_signal(signal.SIGCONT)
        self.is_suspended = False

    def kill(self) -> None:
        """Kill the process."""
        self.is_up = False
        self.send_signal(signal.SIGKILL)
        self._wait_for_exit()

    def terminate(self) -> None:
        """Send SIGTERM; has_ended() reports its exit."""
        self.is_up = False
        self.send_signal(signal.SIGTERM)

    def has_ended(self) -> bool:
        """Return whether no process is running."""
        return self._popen is None or self._popen.poll() is not None

    def _wait_for_exit(self) -> None:
        if self._popen is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._popen.wait(EXIT_WAIT_S)

    def close(self) -> None:
        """Kill the process, also if it is suspended."""
        self.resume()
        self.kill()
