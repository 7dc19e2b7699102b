"""Fourth control stage: standing, adoption and grants."""
