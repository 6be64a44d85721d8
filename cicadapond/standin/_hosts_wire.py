"""JSON encoding of hosts, prices and notices, shared by the HTTP servers and their adapters."""

import datetime

import attrs

from cicadapond.data import (
    BackendServer,
    Endpoint,
    HostEntry,
    HostListing,
    HostState,
    Market,
    Notice,
    ServerKind,
)
from cicadapond.provider import BuyRequest, CloudHost, Price


def server_fields(server: BackendServer) -> dict:
    """Returns a backend server as JSON fields."""
    fields = attrs.asdict(server)
    return fields | {"kind": server.kind.value, "market": server.market.value}


def parse_server(fields: dict) -> BackendServer:
    """Returns the backend server that JSON fields describe."""
    return BackendServer(
        **fields
        | {
            "kind": ServerKind(fields["kind"]),
            "market": Market(fields["market"]),
            "endpoint": Endpoint(**fields["endpoint"]),
        }
    )


def host_fields(host: CloudHost) -> dict:
    """Returns a cloud host as JSON fields."""
    fields = attrs.asdict(host, recurse=False)
    server = None if host.server is None else server_fields(host.server)
    return fields | {"market": host.market.value, "server": server}


def parse_host(fields: dict) -> CloudHost:
    """Returns the cloud host that JSON fields describe."""
    server = None if fields["server"] is None else parse_server(fields["server"])
    return CloudHost(**fields | {"market": Market(fields["market"]), "server": server})


def request_fields(request: BuyRequest) -> dict:
    """Returns a purchase of a host as JSON fields."""
    return attrs.asdict(request) | {"market": request.market.value}


def parse_request(fields: dict) -> BuyRequest:
    """Returns the purchase of a host that JSON fields describe."""
    return BuyRequest(**fields | {"market": Market(fields["market"])})


def price_fields(price: Price) -> dict:
    """Returns a price as JSON fields."""
    return attrs.asdict(price) | {"market": price.market.value}


def parse_price(fields: dict) -> Price:
    """Returns the price that JSON fields describe."""
    return Price(**fields | {"market": Market(fields["market"])})


def notice_fields(notice: Notice) -> dict:
    """Returns a notice as JSON fields, with the time left in seconds."""
    left = None if notice.left is None else notice.left.total_seconds()
    return {"server": notice.server, "source": notice.source, "left": left}


def parse_notice(fields: dict) -> Notice:
    """Returns the notice that JSON fields describe."""
    left = fields["left"]
    left = None if left is None else datetime.timedelta(seconds=left)
    return Notice(fields["server"], fields["source"], left)


def listing_fields(listing: HostListing) -> list:
    """Returns a host list as JSON fields."""
    return [
        {"server": server_fields(entry.server), "state": entry.state.value}
        for entry in listing.hosts
    ]


def parse_listing(fields: list) -> HostListing:
    """Returns the host list that JSON fields describe."""
    return HostListing(
        tuple(
            HostEntry(parse_server(entry["server"]), HostState(entry["state"])) for entry in fields
        )
    )
