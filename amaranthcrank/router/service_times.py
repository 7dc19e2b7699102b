"""How long the requests of each route usually take at targets."""

INITIAL_ESTIMATE_S = 0.1
# Weight of the newest sample.
SAMPLE_WEIGHT = 0.05
# The first samples count for more, so that the guess is soon forgotten.
INITIAL_WEIGHT = 0.4
INITIAL_SAMPLES = 10


class ServiceTimes:
    """Moving averages by service and by route."""

    def __init__(self) -> None:
        """Start with a guess."""
        self._mean_s_by_name: dict[str, float] = {}
        self._samples_by_name: dict[str, int] = {}

    def record(self, service: str, route: str, elapsed_s: float) -> None:
        """Learn from a request that was answered."""
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
        """Return the usual time of a service, over its routes, seconds."""
        return self._mean_s_by_name.get(
            'service ' + service, INITIAL_ESTIMATE_S
        )

    def of_route(self, route: str) -> float:
        """Return the usual time of a route, seconds."""
        return self._mean_s_by_name.get('route ' + route, INITIAL_ESTIMATE_S)
