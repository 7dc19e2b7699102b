"""Runs the measuring scripts and writes their figures into the docs.

`python -m tools.measure` runs all of them; with names, such as
`python -m tools.measure control`, only these, and the figures of the others
are kept. A script prints one JSON line for each figure. The figures go to
docs/measurements.json and, as tables, to docs/measurements.md; the tables of
docs/CAPACITY.md follow from them.
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
FIGURES = ROOT / 'docs' / 'measurements.json'
PAGE = ROOT / 'docs' / 'measurements.md'
# All scripts together stay under five minutes.
LIMIT_S = 290.0
EXIT_S = 15.0

TITLE_BY_THEME = {
    'admission': 'Floods at one target, fairness and ledger memory',
    'assignment': 'Imbalance and churn',
    'edges': 'Caller server, links and upstream client',
    'flood': 'Floods through real processes',
    'failover': 'Unavailable time after losses',
    'throughput': 'Requests: rate, latency, processor time and memory',
    'control': 'Control cost and tickets',
}
HEAD = """# Measurements

Written by `make measure` (`python -m tools.measure`) from
`docs/measurements.json`; do not edit. All processes ran on one machine with
10 cores over loopback, which others used at the same time, so times include
the wait for a processor. A dash stands for a figure that was not measured.
Every script chooses its keys and bodies from the seed in the table; the
times themselves vary from run to run.
"""

Figure = dict[str, typing.Any]


def main(names: abc.Sequence[str]) -> int:
    """Run scripts, pass their lines on and write the page.

    Args:
      names: The themes to run; all if empty.

    Returns:
      The exit status, 1 where a script failed or was cut short.
    """
    unknown = set(names) - set(TITLE_BY_THEME)
    if unknown:
        print(f'unknown: {sorted(unknown)}', file=sys.stderr)
        return 2
    figures_by_theme = _read_figures()
    end_at = time.monotonic() + LIMIT_S
    failed = False
    for theme in names or TITLE_BY_THEME:
        module = f'tools.measure_{theme}'
        if importlib.util.find_spec(module) is None:
            print(f'{module} does not exist', file=sys.stderr)
            continue
        begun = time.monotonic()
        figures, status = _run(module, end_at - begun)
        taken_s = time.monotonic() - begun
        print(f'{module} took {taken_s:.0f} s', file=sys.stderr)
        if status:
            print(f'{module} ended with {status}', file=sys.stderr)
            failed = True
            continue
        figures_by_theme[theme] = figures
        # Kept at once, so that a later script cannot lose them.
        _write_figures(figures_by_theme)
    try:
        capacity.write_page(figures_by_theme)
    except KeyError as error:
        print(f'docs/CAPACITY.md is left as it was: {error}', file=sys.stderr)
        failed = True
    return 1 if failed else 0


def _write_figures(figures_by_theme: dict[str, list[Figure]]) -> None:
    FIGURES.write_text(json.dumps(figures_by_theme, indent=1) + '\n')
    PAGE.write_text(page_of(figures_by_theme))


def _read_figures() -> dict[str, list[Figure]]:
    if not FIGURES.exists():
        return {}
    return json.loads(FIGURES.read_text())


def _run(module: str, limit_s: float) -> tuple[list[Figure], int]:
    """Run one script; its figures and its exit status."""
    figures: list[Figure] = []
    process = subprocess.Popen(
        [sys.executable, '-m', module],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, 'PYTHONUNBUFFERED': '1'},
    )
    try:
        lines, _ = process.communicate(timeout=max(1.0, limit_s))
    except subprocess.TimeoutExpired:
        # An interrupt lets the script end its own processes.
        process.send_signal(signal.SIGINT)
        lines = _last_lines(process)
    for line in lines.splitlines():
        print(line, flush=True)
        figures.append(json.loads(line))
    return figures, process.returncode


def _last_lines(process: subprocess.Popen) -> str:
    """Return the output of an interrupted script, which may hang."""
    try:
        return process.communicate(timeout=EXIT_S)[0]
    except subprocess.TimeoutExpired:
        process.kill()
        return process.communicate()[0]


def page_of(figures_by_theme: abc.Mapping[str, list[Figure]]) -> str:
    """Make the page of all figures."""
    parts = [HEAD]
    for theme, title in TITLE_BY_THEME.items():
        if theme not in figures_by_theme:
            continue
        parts.append(
            f'\n## {title}\n\nCommand: `python -m tools.measure_{theme}`\n\n'
            '| figure | value | unit | set-up | seed |\n|---|---|---|---|---|'
        )
        for figure in figures_by_theme[theme]:
            parts.extend(_rows(figure))
        parts.append('')
    return '\n'.join(parts)


def _rows(figure: Figure) -> abc.Iterator[str]:
    """Yield the rows of one line of output."""
    if 'value' in figure:
        labels = []
        for name, each in figure.items():
            if name not in ('figure', 'value', 'unit', 'setup', 'seed'):
                labels.append(f'{name} {each}')
        fields = (
            figure['figure'],
            _shown(figure['value']),
            figure.get('unit', ''),
            figure.get('setup', ', '.join(labels)),
            figure.get('seed', ''),
        )
        yield _row(fields)
        return
    # Scripts that print several values in a line name the unit in each.
    values = _leaves('', figure)
    texts = [text for _, text in values if isinstance(text, str)]
    setup = '; '.join(texts[1:])
    for name, value in values:
        if isinstance(value, str):
            continue
        label = f'{figure["figure"]}: {name}'
        yield _row((label, _shown(value), '', setup, ''))


def _leaves(prefix: str, value: typing.Any) -> list[tuple[str, typing.Any]]:
    if not isinstance(value, dict):
        return [(prefix, value)]
    found = []
    for name, each in value.items():
        found.extend(_leaves(f'{prefix} {name}'.strip(), each))
    return found


def _shown(value: float | None) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:.4g}' if abs(value) < 1000 else f'{value:.0f}'
    return str(value)


def _row(fields: abc.Iterable[typing.Any]) -> str:
    cells = [str(each).replace('|', '\\|') for each in fields]
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
