"""Runs state machines the same way each time."""

import hypothesis
from hypothesis import stateful


def settings_of(examples: int, steps: int) -> hypothesis.settings:
    """Return settings under which a run gives the same verdict each time.

    Examples are generated only and not shrunk, so that a fault is found in
    the time of a run without it.

    Args:
      examples: How many examples.
      steps: The most steps of each.

    Returns:
      The settings.
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
    """Run a machine the same way with and without a fault."""
    stateful.run_state_machine_as_test(
        machine, settings=settings_of(examples, steps)
    )
