"""Metrics for Prometheus."""

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0, 60.0]


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    __slots__ = (
        "registry",
        "requests",
        "first_token",
        "met_targets",
        "cut_answers",
        "tokens",
        "wasted_tokens",
        "waiting",
        "running",
        "customer_tokens",
        "upstream_cost",
        "leases",
        "catalogue_revision",
        "mirror_revision",
        "confirm_age",
        "store_calls",
        "link_bytes",
        "link_messages",
        "evacuated",
        "cold_upstreams",
        "cold_requests",
        "engine_slowness",
        "refused_clients",
        "client_bytes",
        "client_connections",
        "refused_links",
        "link_connections",
        "customer_share",
        "share_rejections",
        "domain_sent",
        "domain_share",
        "vm_slowness",
        "vm_weight_share",
        "slow_vms",
        "unheard_vms",
        "standstills",
        "standstill_time",
    )

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._make_counter(
            "pw_requests_total", "Requests by class, outcome and code."
        )
        self.first_token = Histogram(
            "pw_first_token_seconds",
            "Time to the first token by class.",
            registry=self.registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self.met_targets = self._make_counter(
            "pw_attained_total", "Requests by class that met their targets."
        )
        self.cut_answers = self._make_counter(
            "pw_cut_answers_total", "Begun answers that ended unfinished, by cause."
        )
        self.tokens = self._make_counter(
            "pw_tokens_total", "Tokens of whole answers, by class."
        )
        self.wasted_tokens = self._make_counter(
            "pw_wasted_tokens_total", "Tokens of requests that ended in error."
        )
        self.waiting = self._make_gauge("pw_waiting", "Waiting requests by pool.")
        self.running = self._make_gauge("pw_running", "Running requests by pool.")
        self.customer_tokens = self._make_counter(
            "pw_customer_tokens_total", "Tokens by customer."
        )
        self.upstream_cost = self._make_gauge(
            "pw_upstream_cost_per_hour", "Cost of the upstreams polled here that run."
        )
        self.leases = self._make_gauge(
            "pw_lease_held", "1 where the duty is held here."
        )
        self.catalogue_revision = self._make_gauge(
            "pw_catalogue_revision", "The catalogue revision in force."
        )
        self.mirror_revision = self._make_gauge(
            "pw_mirror_revision", "The newest revision of the store known here."
        )
        self.confirm_age = self._make_gauge(
            "pw_confirm_age_seconds", "Age of the last confirmation, below 0 if none."
        )
        self.store_calls = self._make_counter(
            "pw_store_calls_total", "Key-value calls by kind and result."
        )
        self.link_bytes = self._make_counter(
            "pw_link_bytes_total", "Bytes between daemons by direction."
        )
        self.link_messages = self._make_counter(
            "pw_link_messages_total", "Messages between daemons by direction."
        )
        self.refused_clients = self._make_counter(
            "pw_refused_clients_total", "Clients refused or dropped by reason."
        )
        self.client_bytes = self._make_gauge(
            "pw_client_bytes", "Bytes held for clients by kind."
        )
        self.client_connections = self._make_gauge(
            "pw_client_connections", "Open connections of clients."
        )
        self.refused_links = self._make_counter(
            "pw_refused_links_total", "Connections between VMs dropped by reason."
        )
        self.link_connections = self._make_gauge(
            "pw_link_connections",
            "Open connections from VMs, and new ones without an authentic frame.",
        )
        self.evacuated = self._make_gauge(
            "pw_evacuated", "1 for each failure domain that is evacuated."
        )
        self.cold_upstreams = self._make_gauge(
            "pw_cold_upstreams", "Upstreams that are known here to be cold."
        )
        self.cold_requests = self._make_counter(
            "pw_cold_requests_total", "Requests sent from here to cold upstreams."
        )
        self.engine_slowness = self._make_gauge(
            "pw_engine_slowness",
            "Learned time per token of the fastest and slowest engine, 1 is typical.",
        )
        self.customer_share = self._make_gauge(
            "pw_customer_share",
            "Share of the fleet's recent work, of the customers with the most.",
        )
        self.share_rejections = self._make_counter(
            "pw_share_rejections_total",
            "Waiting requests rejected because their customer is above its share.",
        )
        self.domain_sent = self._make_counter(
            "pw_domain_sent_total",
            "Requests and KV transfers by source and target failure domain.",
        )
        self.domain_share = self._make_gauge(
            "pw_domain_share",
            "Share of what a failure domain sends, by source and target domain.",
        )
        self.vm_slowness = self._make_gauge(
            "pw_vm_slowness", "This VM's slowness against its usual speed, 1 is usual."
        )
        self.vm_weight_share = self._make_gauge(
            "pw_vm_weight_share", "Share of its capacity that this VM has as weight."
        )
        self.slow_vms = self._make_gauge(
            "pw_slow_vms", "VMs that are known here to be slow, this one included."
        )
        self.unheard_vms = self._make_gauge(
            "pw_unheard_vms", "Registered VMs that count as live but were not heard."
        )
        self.standstills = self._make_counter(
            "pw_standstills_total", "Standstills of this process by cause."
        )
        self.standstill_time = self._make_counter(
            "pw_standstill_seconds_total", "Time of the standstills by cause."
        )

    def _make_counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _make_gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def render(self, accept: list[str]) -> tuple[bytes, dict]:
        """Return all metrics in an accepted exposition format, and the HTTP headers."""
        return render(self.registry, accept)
