"""Prompts on engines that come, drain, fail and restart, in any order."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Customer,
    DiscoveredUpstream,
    Service,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.dispatcher import Dispatcher, Options
from plantainwood.core.dispatcherstate import USABLE_CONNECTION_SHARE
from plantainwood.core.promptrouter import make_prompt_router
from plantainwood.core.prompts import Part, Prompt
from tests.seeds import pin_seed

POOL = "service/pool"
ENGINES = ["e1", "e2", "e3", "e4"]
MAX_CONNECTIONS = 6
CLASSES = {
    "paced": ServiceClass(owner="", tier=0, between_tokens_ms=150, repeatable=True),
    "plain": ServiceClass(owner="", tier=1, between_tokens_ms=300),
    "long": ServiceClass(owner="", tier=2, between_tokens_ms=600, repeatable=True),
}
TIERS = {"paced": 0, "plain": 1, "long": 2}


def make_engine(name: str, leaving: bool) -> DiscoveredUpstream:
    """Return an engine's entry."""
    return DiscoveredUpstream(
        owner="",
        kind=UpstreamKind.ENGINE,
        address=f"10.0.0.{name[1:]}:80",
        domain="a",
        service="pool",
        slots=64,
        memory_tokens=100_000,
        max_connections=MAX_CONNECTIONS,
        leaving=leaving,
    )


class Sent:
    """What the machine knows of one request."""

    __slots__ = ("name", "class_name", "upstream", "attempt", "unknown", "started")

    def __init__(self, name: str, class_name: str) -> None:
        self.name = name
        self.class_name = class_name
        self.upstream = ""
        self.attempt = 0
        self.unknown = False
        """Whether an attempt ended without proof that it had not run."""
        self.started = False


@pin_seed("PromptMachine")
class PromptMachine(RuleBasedStateMachine):
    """One node's core with the prompt router."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000
        self.count = 0
        self.requests: dict[str, Sent] = {}
        self.states = dict.fromkeys(ENGINES, "ready")
        options = Options(
            make_router=make_prompt_router,
            isolate_suspects=False,
            preempt=False,
            move_unstarted=False,
        )
        self.core = Dispatcher("vm-1", 7, options)
        self.core.set_connection_share(0.5)
        self.router = self.core.state.router
        self.router.set_gap_targets(POOL, {150, 300, 600})
        self.router.set_first_token_target(POOL, 250)
        self.apply()

    def apply(self) -> None:
        """Put the engines' states in force."""
        upstreams = {}
        for name, state in self.states.items():
            if state != "gone":
                upstreams[name] = make_engine(name, state == "draining")
        customer = Customer(
            owner="",
            classes=list(CLASSES),
            requests_per_s=1e9,
            tokens_per_s=1e9,
            concurrent=10**6,
        )
        self.core.apply_catalogue(
            assemble_catalogue(
                1, CLASSES, {"c": customer}, {"pool": Service(owner="")}, upstreams
            )
        )

    def feed(self, event: ev.Event) -> None:
        """Let the core decide; check each decision."""
        for decision in self.core.decide(event, self.now):
            sent = self.requests.get(decision.request_id)
            if isinstance(decision, ev.Refuse):
                del self.requests[decision.request_id]
            elif isinstance(decision, ev.Cancel) and sent is not None:
                sent.upstream = ""
                sent.unknown = True
            elif isinstance(decision, ev.Dispatch):
                assert sent is not None
                self.check_dispatch(sent, decision)

    def check_dispatch(self, sent: Sent, decision: ev.Dispatch) -> None:
        """A running request runs once; only engines that stay get work."""
        assert not sent.upstream
        assert self.states[decision.upstream] == "ready"
        assert CLASSES[sent.class_name].repeatable or not sent.unknown
        assert decision.source != decision.upstream
        assert self.states.get(decision.source, "ready") != "gone"
        sent.upstream = decision.upstream
        sent.attempt = decision.attempt
        sent.started = False

    def pick(self, which: int) -> Sent | None:
        """Return a running request."""
        running = [sent for sent in self.requests.values() if sent.upstream]
        return running[which % len(running)] if running else None

    @rule(
        class_name=st.sampled_from(list(CLASSES)),
        session=st.sampled_from(["s1", "s2", "s3"]),
        tokens=st.sampled_from([50, 2_000, 9_000]),
        count=st.integers(1, 4),
    )
    def arrive(self, class_name: str, session: str, tokens: int, count: int) -> None:
        """Requests of a session come in."""
        for _ in range(count):
            self.count += 1
            name = f"r{self.count}"
            parts = (Part("head", 2_000), Part(session, 3_000), Part(name, tokens))
            self.requests[name] = Sent(name, class_name)
            self.feed(
                ev.Arrival(
                    name,
                    "c",
                    class_name,
                    POOL,
                    repeatable=CLASSES[class_name].repeatable,
                    prompt=Prompt(parts, 5_000 + tokens, 40),
                    tier=TIERS[class_name],
                    max_attempts=3,
                )
            )

    @rule(which=st.integers(0, 30))
    def start(self, which: int) -> None:
        """An engine gives a first token."""
        sent = self.pick(which)
        if sent is not None and not sent.started:
            sent.started = True
            self.feed(ev.AttemptStarted(sent.name, sent.attempt))

    @rule(which=st.integers(0, 30))
    def finish(self, which: int) -> None:
        """An attempt gives its whole answer."""
        sent = self.pick(which)
        if sent is not None:
            del self.requests[sent.name]
            self.feed(ev.AttemptDone(sent.name, sent.attempt))

    @rule(which=st.integers(0, 30), not_run=st.booleans())
    def fail(self, which: int, not_run: bool) -> None:
        """An attempt fails, proved not to have run or not."""
        sent = self.pick(which)
        if sent is None:
            return
        sent.upstream = ""
        sent.unknown = sent.unknown or not not_run
        self.feed(ev.AttemptFailed(sent.name, sent.attempt, False, not_run, 0))

    @rule(which=st.integers(0, 30))
    def leave(self, which: int) -> None:
        """A caller goes away."""
        names = list(self.requests)
        if names:
            name = names[which % len(names)]
            del self.requests[name]
            self.feed(ev.CallerLeft(name))

    @rule(
        name=st.sampled_from(ENGINES),
        state=st.sampled_from(["ready", "draining", "gone"]),
    )
    def change(self, name: str, state: str) -> None:
        """An engine comes, drains or is gone."""
        self.states[name] = state
        self.apply()
        self.feed(ev.Tick())

    @rule(by=st.sampled_from([25, 400, 3_000]))
    def advance(self, by: int) -> None:
        """Time passes; other nodes' work is told and forgotten."""
        self.now += by
        self.feed(ev.Tick())

    @rule(name=st.sampled_from(ENGINES), tokens=st.sampled_from([500, 20_000]))
    def hear(self, name: str, tokens: int) -> None:
        """Another node tells what it sent."""
        parts = [Part("head", 2_000), Part("s2", 3_000)]
        self.router.engines.record_remote(
            "vm-2", {name: tokens}, {name: parts}, self.now
        )

    @invariant()
    def stays_below_the_share(self) -> None:
        """No engine runs more of this node's attempts than its share."""
        counts = dict.fromkeys(ENGINES, 0)
        for sent in self.requests.values():
            if sent.upstream:
                counts[sent.upstream] += 1
        assert max(counts.values()) <= int(
            USABLE_CONNECTION_SHARE * 0.5 * MAX_CONNECTIONS
        )

    @invariant()
    def counts_unread_prompts_of_running_attempts_only(self) -> None:
        """What ended or gave a token is no backlog."""
        unread = set()
        for sent in self.requests.values():
            if sent.upstream and not sent.started:
                unread.add(sent.upstream)
        assert set(self.router.engines.count_own_backlogs()) <= unread


TestPrompts = PromptMachine.TestCase
