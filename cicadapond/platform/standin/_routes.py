"""The services of a route in the operator's configuration."""

import typing

_SPLIT = "traffic_split"


def send_to(route: dict, service: str) -> None:
    """Lets one service serve a route."""
    route.pop(_SPLIT, None)
    route["service"] = service


def split(route: dict, weights: typing.Mapping[str, float]) -> None:
    """Splits a route between services by their weights."""
    route.pop("service", None)
    route[_SPLIT] = [{"service": name, "weight": weight} for name, weight in weights.items()]


def services_of(route: dict) -> list[str]:
    """Returns the services of a route."""
    if _SPLIT in route:
        return [each["service"] for each in route[_SPLIT]]
    return [route["service"]]
