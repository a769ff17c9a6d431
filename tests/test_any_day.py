"""Property test: the delivery rules hold for arbitrary legal events."""

from dispatcher_harness import CLASSES, DispatcherHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from crowpier.interface import Entry, ListKind, Outcome, State, Tenant

ENTRIES = [Entry(f"e{n}", n % 3, kind=n % 3, zone=n // 3 % 2, rate_per_s=n % 2 * 5.0) for n in range(7)]
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, len(CLASSES) - 1), st.integers(0, 3), st.integers(0, 2)),
    st.tuples(
        st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome)), st.sampled_from([0, 300, 5000])
    ),
    st.tuples(st.just("pass"), st.floats(0, 4000)),
    st.tuples(
        st.just("list"), st.integers(0, 6), st.sampled_from(list(State)), st.sampled_from(list(ListKind))
    ),
    st.tuples(st.just("withdraw"), st.integers(0, 50)),
)
SETTINGS = st.fixed_dictionaries(
    {
        "slots": st.sampled_from([1, 4, 9]),
        "max_held": st.sampled_from([1, 5, 40]),
        "dispatchers": st.integers(1, 3),
        "second_copies": st.booleans(),
        "may_cancel": st.booleans(),
        "may_probe": st.booleans(),
        "subscribes": st.booleans(),
        "advertised_rates": st.booleans(),
        "worth_halves": st.booleans(),
        "max_attempts": st.sampled_from([1, 3, 12]),
        "zone_fees": st.sampled_from([(), (0.01, 0.04)]),
        "tenants": st.sampled_from([(), (Tenant("one", 1.0, 2.0),)]),
        "over_share_worth": st.just(0.2),
    }
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(SETTINGS, st.lists(STEP, max_size=60))
def test_the_rules_hold_on_any_day(values, steps):
    harness = DispatcherHarness(*ENTRIES, **values)
    for number, step in enumerate(steps):
        play(harness, number, step)
    harness.pass_ms(30_000)
    assert set(harness.taken) == set(harness.answers)


def play(harness, number, step):
    match step:
        case ("arrive", cls, destination, key):
            harness.arrive(number, cls, destination, key)
        case ("end", pick, outcome, wait) if harness.out:
            message, attempt = sorted(harness.out)[pick % len(harness.out)]
            harness.end(message, outcome, attempt, wait if outcome is Outcome.FULL else 0.0)
        case ("pass", span):
            harness.pass_ms(span)
        case ("list", pick, state, kind):
            base = ENTRIES[pick]
            entry = Entry(base.endpoint, base.destination, base.kind, base.zone, state, base.rate_per_s)
            if kind is ListKind.FAILED:
                not_ready_since = dict(harness.not_ready_since)
                harness.list(kind=kind)
                harness.not_ready_since = not_ready_since
            else:
                harness.list(entry, kind=kind)
        case ("withdraw", pick):
            live = [m for m in harness.taken if m not in harness.answers]
            if live:
                harness.withdraw(live[pick % len(live)])
