"""Finds errors, entries that can never match, and limits that contradict each other.

The store accepts every configuration of the right form, so that a slip takes effect in all
processes within seconds.  These checks find slips before the configuration is sent.  Remarks name
fields as the operators write them, which the caller tells.
"""

import collections
import typing

from cicadapond.serving import ClientAccount, Configuration, RequestLimits, Route, Service
from cicadapond.validation._remark import Remark, error, warning

# Returns the operators' name of a field of `cicadapond.serving`.
Spelling = typing.Callable[[str], str]


def check_configuration(cfg: Configuration, spell: Spelling = str) -> list[Remark]:
    """Returns all remarks on a configuration, in the order of its entries.

    Args:
      cfg: The configuration.
      spell: Returns the name that operators write for a field; by default that of the product.
    """
    accounts = spell("accounts")
    remarks = [*_check_limits(cfg.limits, spell), *_check_names(cfg, accounts)]
    for index, route in enumerate(cfg.routes):
        remarks += _check_route(f"routes[{index}]", route, cfg, spell)
    remarks += _check_matches(cfg.routes)
    for index, service in enumerate(cfg.services.values()):
        remarks += _check_service(f"services[{index}]", service, cfg, spell)
    for index, account in enumerate(cfg.accounts or ()):
        remarks += _check_account(f"{accounts}[{index}]", account, spell)
    remarks += _check_keys(cfg, accounts)
    return remarks


def _check_names(cfg, accounts):
    for kind, names in (
        ("routes", [route.name for route in cfg.routes]),
        (accounts, [account.name for account in cfg.accounts or ()]),
    ):
        first: dict[str, int] = {}
        for index, name in enumerate(names):
            if name in first:
                yield error(
                    f"{kind}[{index}]", f"{name!r} is the name of {kind}[{first[name]}] too"
                )
            first.setdefault(name, index)


def _check_limits(limits: RequestLimits, spell):
    for name, value in (
        ("header_bytes", limits.header_bytes),
        ("body_bytes", limits.body_bytes),
        ("header_timeout", limits.header_timeout.total_seconds()),
        ("idle_timeout", limits.idle_timeout.total_seconds()),
    ):
        if value <= 0:
            yield error(f"limits.{spell(name)}", "is not positive: no request is accepted")


# Routes


def _check_route(place, route: Route, cfg, spell):
    timeout = f"{spell('timeout')} ({_ms(route.timeout)})"
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield error(place, f"prefix {route.prefix!r} does not begin and end with a slash")
    if route.timeout.total_seconds() <= 0:
        yield error(place, f"{timeout} is not positive: every request fails")
    if route.objective > route.timeout:
        yield warning(
            place,
            f"{spell('objective')} ({_ms(route.objective)}) is above {timeout}:"
            " no answer that late is ever given",
        )
    if route.max_event_gap is not None and route.max_event_gap > route.timeout:
        yield warning(
            place,
            f"{spell('max_event_gap')} ({_ms(route.max_event_gap)}) is above {timeout}",
        )
    if route.max_attempts < 1:
        yield error(
            place,
            f"{spell('max_attempts')} is {route.max_attempts}: no request is sent to a server",
        )
    yield from _check_split(place, route, cfg)


def _check_split(place, route, cfg):
    seen = set()
    for part in route.services:
        if part.service not in cfg.services:
            yield error(place, f"there is no service {part.service!r}")
        if part.service in seen:
            yield warning(place, f"service {part.service!r} is listed twice")
        seen.add(part.service)
        if part.weight < 0:
            yield error(place, f"the weight of service {part.service!r} is negative")
        elif part.weight == 0 and len(route.services) > 1:
            yield warning(place, f"service {part.service!r} has the weight 0 and gets no requests")
    if not sum(max(0.0, part.weight) for part in route.services) > 0:
        yield error(place, "no service has a positive weight")


def _check_matches(routes: typing.Sequence[Route]):
    """Yields a remark for each route that no request can match."""
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(routes):
        key = (route.host, route.prefix)
        if key in first:
            yield error(
                f"routes[{index}]",
                f"can never match: routes[{first[key]}] has the same host and prefix",
            )
        first.setdefault(key, index)
        if not route.host:
            yield error(f"routes[{index}]", "can never match: the host is empty")
        elif ":" in route.host or "/" in route.host:
            yield error(
                f"routes[{index}]", f"can never match: {route.host!r} is not a host without a port"
            )


# Services


def _check_service(place, service: Service, cfg, spell):
    if not any(service.name == part.service for route in cfg.routes for part in route.services):
        yield warning(place, f"no route leads to service {service.name!r}")
    if service.max_connections < 1:
        yield error(place, f"{spell('max_connections')} is not positive: no server can be reached")
    engine = service.engine
    if engine is not None:
        if engine.slots < 1 or engine.tokens < 1:
            yield error(place, "an engine without slots or memory runs no request")
        if 0 < service.max_connections < engine.slots:
            yield warning(
                place,
                f"{spell('max_connections')} ({service.max_connections}) is below the engine's"
                f" slots ({engine.slots}), which can never all be used",
            )
    scaling = service.scaling
    if scaling is not None:
        if scaling.minimum > scaling.maximum:
            yield error(
                f"{place}.scaling",
                f"{spell('minimum')} ({scaling.minimum}) is above"
                f" {spell('maximum')} ({scaling.maximum})",
            )
        if scaling.maximum < 1:
            yield error(f"{place}.scaling", f"{spell('maximum')} is 0: the service has no servers")
        if scaling.reclaimable_price > 1.0:
            yield warning(f"{place}.scaling", "reclaimable servers cost more than on-demand ones")
        for zone, price in scaling.prices.items():
            if price < 0:
                yield error(f"{place}.scaling", f"the price of {zone!r} is negative")


# Client accounts


def _check_account(place, account: ClientAccount, spell):
    rate, burst = spell("rate"), spell("burst")
    if not account.keys:
        yield warning(place, "can never match: the account has no key")
    if account.rate < 0 or account.burst < 0:
        yield error(place, f"{rate} and {burst} must not be negative")
    elif account.rate > 0 and account.burst <= 0:
        yield error(
            place, f"{burst} is 0: with a limit on the rate every request is over the quota"
        )
    elif account.burst > 0 and account.rate == 0:
        yield warning(place, f"{rate} is 0, which means no limit, so that {burst} has no effect")
    if account.counts_tokens and 0 < account.burst < account.default_tokens:
        yield error(
            place,
            f"{spell('default_tokens')} ({account.default_tokens}) is above {burst}"
            f" ({account.burst:g}): a request without a token count is always over the quota",
        )


def _check_keys(cfg: Configuration, accounts: str):
    holders = collections.defaultdict(list)
    for index, account in enumerate(cfg.accounts or ()):
        for key in account.keys:
            holders[key].append(index)
    for indices in holders.values():
        for index in indices[:-1]:
            yield error(
                f"{accounts}[{index}]",
                f"a key of it can never match: {accounts}[{indices[-1]}] holds it too",
            )
    if cfg.accounts is not None and not holders:
        closed = [route.name for route in cfg.routes if not route.is_public]
        if closed:
            yield error(accounts, f"nobody has a key, but {len(closed)} routes need one")
    if cfg.accounts and cfg.routes and all(route.is_public for route in cfg.routes):
        yield warning(accounts, "every route is public: keys and quotas have no effect")


def _ms(duration):
    return f"{duration.total_seconds() * 1000:g}"
