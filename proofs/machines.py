"""Runs hypothesis state machines deterministically."""

import hypothesis
from hypothesis import stateful


def settings_of(examples: int, steps: int) -> hypothesis.settings:
    """Return settings under which each run draws the same examples.

    Shrinking is off, so that a run that finds a fault takes no longer than
    one that finds none.

    Args:
      examples: The number of examples.
      steps: The maximum number of steps in an example.
    """
    return hypothesis.settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def run(machine: type, examples: int, steps: int) -> None:
    """Run a state machine under `settings_of`."""
    stateful.run_state_machine_as_test(
        machine, settings=settings_of(examples, steps)
    )
