"""Tests of decisions.  Engines are written as text, one line each: `name runs [flags]`.

`runs` is model@version, `blank`, `loads`, or `?` for a state that could not be read.  Flags:
`busy`, `draining`, `drained`, `noticed` (being reclaimed), `ordered` (drain ordered by an
operator), `adapters`.  Actions are compared as text.
"""

import random

import attrs
import pytest

from cicadapond.controller import (
    BeginDrain,
    Buy,
    ControlMemory,
    EndDrain,
    EngineOrder,
    ObservedServer,
    ObservedState,
    Release,
    reconcile,
)
from cicadapond.data import BackendServer, Endpoint, EngineState, Market, ServerKind
from cicadapond.document import CostIntent, Intent, MachineClass, ModelIntent, PolicyIntent
from cicadapond.kernel import seconds
from cicadapond.provider import CloudHost, Price

SPOT = Market.RECLAIMABLE


def server_named(name):
    return BackendServer(name, ServerKind.ENGINE, "p", "a", Endpoint("127.0.0.1", 1), "s4")


def parse_engine(line):
    name, runs, *flags = line.split()
    model, _, version = runs.partition("@")
    state = None
    if runs != "?":
        state = EngineState(
            name,
            None if runs in ("blank", "loads") else model,
            version or None,
            ("shades",) if "adapters" in flags else (),
            loading="2" if runs == "loads" else None,
            running=int("busy" in flags),
            draining="draining" in flags,
        )
    return ObservedServer(
        server_named(name),
        state,
        int("busy" in flags),
        "drained" in flags,
        "draining" in flags,
        "noticed" in flags,
        "ordered" in flags,
    )


def host_of(name, state="live", zone="a"):
    server = server_named(name) if state != "starting" else None
    return CloudHost(f"host-{name}", "t", "p", zone, "s4", SPOT, state, server)


def intent_of(replicas=2, **models):
    models = models or {"m": "2"}
    return Intent(
        1,
        models={
            name: ModelIntent(pool="p", version=version, replicas=replicas)
            for name, version in models.items()
        },
        cost=CostIntent(zones=("a",), machine_classes={"s4": MachineClass(slots=4)}),
    )


def text_of(action):
    match action:
        case Buy(target):
            return f"buy {target.zone}"
        case Release(host_id):
            return f"release {host_id}"
        case BeginDrain(server):
            return f"drain {server}"
        case EndDrain(server):
            return f"undrain {server}"
        case EngineOrder(server, order):
            return " ".join(
                filter(None, (server.name, order.kind.value, order.model, order.version))
            )


def decide(text, intent=None, memory=None, now=0.0, hosts=None, elsewhere=()):
    """Returns the actions for the engines described; without `hosts`, the cloud cannot be read."""
    engines = tuple(map(parse_engine, filter(None, map(str.strip, text.split("\n")))))
    observed = ObservedState(
        now=seconds(now),
        zone="a",
        servers=engines,
        hosts=hosts,
        prices=None if hosts is None else (Price("a", "s4", SPOT, 1.0),),
        ready_elsewhere=dict(elsewhere),
    )
    memory = memory or ControlMemory.empty(random.Random(1))
    return [text_of(action) for action in reconcile(intent or intent_of(), observed, memory)]


@pytest.mark.parametrize(
    ("engines", "actions"),
    [
        ("e1 m@2\ne2 m@2", []),
        ("e1 blank\ne2 m@2", ["e1 run m 2"]),
        # One load at a time while the weight store's rate is unknown.
        ("e1 blank\ne2 blank", ["e1 run m 2"]),
        ("e1 loads\ne2 blank", []),
        # Engines that cannot be read or are being reclaimed get no orders.
        ("e1 ?\ne2 blank noticed", []),
        ("e1 m@2 draining\ne2 m@2", ["e1 resume"]),
        ("e1 m@2 adapters\ne2 m@2", ["e1 adapters"]),
        # An operator's drain stays in force, whatever the engine runs.
        ("e1 m@2 ordered busy\ne2 m@2", ["drain e1", "e1 drain"]),
        ("e1 m@1 ordered draining drained\ne2 m@2", []),
        # Outdated engines keep serving; without the cloud, no drain begins immediately.
        ("e1 m@1\ne2 m@1", []),
        # A drain continues until nothing is in flight; then the engine loads.
        ("e1 m@1 draining busy drained\ne2 m@2", []),
        ("e1 m@1 draining\ne2 m@2", []),
        ("e1 m@1 draining drained\ne2 m@2", ["e1 run m 2"]),
    ],
)
def test_actions_for_a_fixed_set_of_hosts(engines, actions):
    assert decide(engines) == actions


def test_a_version_change_buys_a_host_and_drains_only_once_it_is_ready():
    hosts = [host_of("e1"), host_of("e2")]
    assert decide("e1 m@1\ne2 m@1", hosts=hosts) == ["buy a"]
    hosts.append(host_of("e3", "starting"))
    assert decide("e1 m@1\ne2 m@1", hosts=hosts) == []
    hosts[2] = host_of("e3")
    assert decide("e1 m@1\ne2 m@1\ne3 blank", hosts=hosts) == ["e3 run m 2"]
    assert decide("e1 m@1\ne2 m@1\ne3 loads", hosts=hosts) == []
    ready = decide("e1 m@1 busy\ne2 m@1\ne3 m@2", hosts=hosts)
    assert ready == ["drain e2", "e2 drain"]
    assert decide("e1 m@1\ne2 m@1 draining drained\ne3 m@2", hosts=hosts) == ["e2 run m 2"]
    assert decide("e1 m@1\ne2 loads draining\ne3 m@2", hosts=hosts) == []
    assert decide("e1 m@1\ne2 m@2 draining\ne3 m@2", hosts=hosts) == ["e2 resume"]


def test_the_additional_host_is_released_once_all_run_the_new_version():
    hosts = [host_of("e1"), host_of("e2"), host_of("e3")]
    assert decide("e1 m@2\ne2 m@2\ne3 m@2", hosts=hosts) == ["drain e1", "e1 drain"]
    busy = "e1 m@2 draining busy drained\ne2 m@2\ne3 m@2"
    assert decide(busy, hosts=hosts) == []
    idle = "e1 m@2 draining drained\ne2 m@2\ne3 m@2"
    assert decide(idle, hosts=hosts) == ["e1 stop", "release host-e1"]


def test_without_an_additional_host_one_engine_at_a_time_changes_after_a_wait():
    memory = ControlMemory.empty(random.Random(1))
    hosts = [host_of("e1"), host_of("e2")]
    memory.refusals.record_refusal(("a", "s4", SPOT), seconds(0))
    old = "e1 m@1\ne2 m@1"
    assert decide(old, memory=memory, hosts=hosts, now=1) == []
    memory.refusals.record_refusal(("a", "s4", SPOT), seconds(200))
    assert decide(old, memory=memory, hosts=hosts, now=200) == ["drain e1", "e1 drain"]
    assert decide("e1 m@1 draining\ne2 m@1", memory=memory, hosts=hosts, now=201) == []


def test_the_last_engine_of_a_model_is_never_drained_for_a_change():
    memory = ControlMemory.empty(random.Random(1))
    assert decide("e1 m@1", memory=memory) == []
    assert decide("e1 m@1", memory=memory, now=500) == []
    assert decide("e1 m@1", memory=memory, now=500, elsewhere={("m", "1"): 1}.items()) == [
        "drain e1",
        "e1 drain",
    ]


def test_two_models_share_a_pools_engines_and_keep_what_they_run():
    intent = intent_of(m="2", n="7")
    assert decide("e1 n@7\ne2 m@2", intent) == []
    assert decide("e1 blank\ne2 m@2", intent) == ["e1 run n 7"]


def test_a_reclaimed_host_is_replaced_and_a_surplus_starting_host_is_released():
    hosts = [host_of("e1"), host_of("e2", "leaving")]
    assert decide("e1 m@2\ne2 m@2 noticed", hosts=hosts) == ["buy a"]
    hosts = [host_of("e1"), host_of("e2"), host_of("e3", "starting")]
    assert decide("e1 m@2\ne2 m@2", hosts=hosts) == ["release host-e3"]


def test_an_unknown_capacity_policy_is_replaced_by_the_default():
    intent = attrs.evolve(intent_of(), policies=PolicyIntent(capacity="of-next-year"))
    assert decide("e1 m@2", intent, hosts=[host_of("e1")]) == ["buy a"]


def test_without_the_cloud_nothing_is_bought_or_released():
    assert decide("e1 m@2\ne2 m@2\ne3 m@2", intent_of(replicas=9)) == []
    assert decide("e1 m@2\ne2 m@2\ne3 m@2", intent_of(replicas=1)) == []


def test_a_blank_engine_causes_no_purchase():
    hosts = [host_of("e1"), host_of("e2")]
    assert decide("e1 blank\ne2 m@2", hosts=hosts) == ["e1 run m 2"]
