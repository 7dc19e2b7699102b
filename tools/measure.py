"""Runs the measurements and writes their figures to the documentation.

`python -m tools.measure` runs all scripts. `python -m tools.measure control`
runs only the named ones and keeps the figures of the others. A script prints
one line of JSON for each figure. The figures are written to
docs/measurements.json and, as tables, to docs/measurements.md; the tables of
docs/CAPACITY.md are computed from them.
"""

from collections import abc
import importlib.util
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

from tools import capacity

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES_PATH = ROOT / 'docs' / 'measurements.json'
PAGE_PATH = ROOT / 'docs' / 'measurements.md'
# Keeps all scripts together below five minutes.
TOTAL_TIMEOUT_S = 290.0
INTERRUPT_TIMEOUT_S = 15.0

TITLE_BY_THEME = {
    'admission': 'Floods at one target, fairness and ledger memory',
    'assignment': 'Imbalance and churn',
    'edges': 'Caller server, links and upstream client',
    'flood': 'Floods through real processes',
    'failover': 'Unavailable time after losses',
    'throughput': 'Requests: rate, latency, processor time and memory',
    'control': 'Control cost and tickets',
}
PAGE_HEADER = """# Measurements

Written by `make measure` (`python -m tools.measure`) from
`docs/measurements.json`; do not edit. All processes ran on one machine with
10 cores over loopback, which others used at the same time, so times include
the wait for a processor. A dash stands for a figure that was not measured.
Every script chooses its keys and bodies from the seed in the table; the
times themselves vary from run to run.
"""

Figure = dict[str, typing.Any]


def main(names: abc.Sequence[str]) -> int:
    """Run scripts, print their output and write the pages.

    Args:
      names: The themes to run; all if empty.

    Returns:
      The exit status: 1 if a script failed or timed out or the capacity page
      could not be written, 2 for an unknown theme.
    """
    unknown_themes = set(names) - set(TITLE_BY_THEME)
    if unknown_themes:
        print(
            f'unknown measurements: {sorted(unknown_themes)}', file=sys.stderr
        )
        return 2
    figures_by_theme = _read_figures()
    end_at = time.monotonic() + TOTAL_TIMEOUT_S
    failed = False
    for theme in names or TITLE_BY_THEME:
        module = f'tools.measure_{theme}'
        if importlib.util.find_spec(module) is None:
            print(f'{module} does not exist', file=sys.stderr)
            continue
        started_at = time.monotonic()
        figures, exit_status = _run_script(module, end_at - started_at)
        duration_s = time.monotonic() - started_at
        print(f'{module} took {duration_s:.0f} s', file=sys.stderr)
        if exit_status:
            print(
                f'{module} failed: exit status {exit_status}', file=sys.stderr
            )
            failed = True
            continue
        figures_by_theme[theme] = figures
        # Written after each script, so that they survive a later failure.
        _write_figures(figures_by_theme)
    try:
        capacity.write_page(figures_by_theme)
    except KeyError as error:
        print(
            f'docs/CAPACITY.md not updated, no unique figure: {error}',
            file=sys.stderr,
        )
        failed = True
    return 1 if failed else 0


def _write_figures(figures_by_theme: dict[str, list[Figure]]) -> None:
    FIGURES_PATH.write_text(json.dumps(figures_by_theme, indent=1) + '\n')
    PAGE_PATH.write_text(render_page(figures_by_theme))


def _read_figures() -> dict[str, list[Figure]]:
    if not FIGURES_PATH.exists():
        return {}
    return json.loads(FIGURES_PATH.read_text())


def _run_script(module: str, timeout_s: float) -> tuple[list[Figure], int]:
    """Run one script; returns its figures and its exit status."""
    figures: list[Figure] = []
    process = subprocess.Popen(
        [sys.executable, '-m', module],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, 'PYTHONUNBUFFERED': '1'},
    )
    try:
        output, _ = process.communicate(timeout=max(1.0, timeout_s))
    except subprocess.TimeoutExpired:
        # On an interrupt the script stops its own child processes.
        process.send_signal(signal.SIGINT)
        output = _read_remaining_output(process)
    for line in output.splitlines():
        print(line, flush=True)
        figures.append(json.loads(line))
    return figures, process.returncode


def _read_remaining_output(process: subprocess.Popen) -> str:
    """Return the output of an interrupted script; kills it if it hangs."""
    try:
        return process.communicate(timeout=INTERRUPT_TIMEOUT_S)[0]
    except subprocess.TimeoutExpired:
        process.kill()
        return process.communicate()[0]


def render_page(figures_by_theme: abc.Mapping[str, list[Figure]]) -> str:
    """Render the page of all figures as Markdown."""
    parts = [PAGE_HEADER]
    for theme, title in TITLE_BY_THEME.items():
        if theme not in figures_by_theme:
            continue
        parts.append(
            f'\n## {title}\n\nCommand: `python -m tools.measure_{theme}`\n\n'
            '| figure | value | unit | set-up | seed |\n|---|---|---|---|---|'
        )
        for figure in figures_by_theme[theme]:
            parts.extend(_figure_rows(figure))
        parts.append('')
    return '\n'.join(parts)


def _figure_rows(figure: Figure) -> abc.Iterator[str]:
    """Yield the table rows of one figure."""
    if 'value' in figure:
        labels = []
        for name, each in figure.items():
            if name not in ('figure', 'value', 'unit', 'setup', 'seed'):
                labels.append(f'{name} {each}')
        fields = (
            figure['figure'],
            _format_value(figure['value']),
            figure.get('unit', ''),
            figure.get('setup', ', '.join(labels)),
            figure.get('seed', ''),
        )
        yield _table_row(fields)
        return
    # A figure with several values has the unit in the name of each.
    values = _flatten('', figure)
    texts = [text for _, text in values if isinstance(text, str)]
    setup = '; '.join(texts[1:])
    for name, value in values:
        if isinstance(value, str):
            continue
        label = f'{figure["figure"]}: {name}'
        yield _table_row((label, _format_value(value), '', setup, ''))


def _flatten(prefix: str, value: typing.Any) -> list[tuple[str, typing.Any]]:
    if not isinstance(value, dict):
        return [(prefix, value)]
    flattened = []
    for name, each in value.items():
        flattened.extend(_flatten(f'{prefix} {name}'.strip(), each))
    return flattened


def _format_value(value: float | None) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:.4g}' if abs(value) < 1000 else f'{value:.0f}'
    return str(value)


def _table_row(fields: abc.Iterable[typing.Any]) -> str:
    texts = [str(each).replace('|', '\\|') for each in fields]
    return f'| {" | ".join(texts)} |'


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
