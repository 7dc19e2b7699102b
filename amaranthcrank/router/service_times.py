"""Typical service times of services and routes at targets."""

# Estimate without samples.
INITIAL_ESTIMATE_S = 0.1
# Weight of the newest sample in the moving averages.
SAMPLE_WEIGHT = 0.05
# The first samples have a higher weight, so that the averages converge fast.
INITIAL_WEIGHT = 0.4
INITIAL_SAMPLES = 10


class ServiceTimes:
    """Exponential moving averages by service and by route, in seconds."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_s_by_name: dict[str, float] = {}
        self._samples_by_name: dict[str, int] = {}

    def record(self, service: str, route: str, elapsed_s: float) -> None:
        """Record the service time of an answered request."""
        for name in ('service ' + service, 'route ' + route):
            count = self._samples_by_name.get(name, 0)
            self._samples_by_name[name] = count + 1
            weight = (
                INITIAL_WEIGHT if count < INITIAL_SAMPLES else SAMPLE_WEIGHT
            )
            mean_s = self._mean_s_by_name.get(name, elapsed_s)
            mean_s += weight * (elapsed_s - mean_s)
            self._mean_s_by_name[name] = mean_s

    def of_service(self, service: str) -> float:
        """Return the typical service time of a service over its routes."""
        return self._mean_s_by_name.get(
            'service ' + service, INITIAL_ESTIMATE_S
        )

    def of_route(self, route: str) -> float:
        """Return the typical service time of a route."""
        return self._mean_s_by_name.get('route ' + route, INITIAL_ESTIMATE_S)
