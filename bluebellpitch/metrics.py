"""Prometheus metrics of one entry VM, in their own registry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from bluebellpitch.constants import MAX_MEMBER_LABELS
from bluebellpitch.decisions.buffer_budget import BufferBudget

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.67, 1, 2.5, 5, 10, 30, 60)
TOKEN_INTERVAL_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.044, 0.06, 0.1, 0.25, 1)


class Metrics:
    """All metrics. Label values are bounded: classes, verdicts, reasons, and the first members."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self._members: set[str] = set()
        self.requests = self._counter("requests", "Requests that ended", "class_name", "verdict")
        self.refusals = self._counter("refusals", "Requests refused", "class_name", "reason")
        self.in_target = self._counter("in_target", "Answers within their target", "class_name")
        self.tokens = self._counter("tokens", "Tokens passed to callers", "class_name")
        self.good_tokens = self._counter(
            "good_tokens", "Tokens of complete answers within their target", "class_name"
        )
        self.wasted_tokens = self._counter(
            "wasted_tokens", "Tokens made that no caller got", "class_name"
        )
        self.member_requests = self._counter("member_requests", "Requests by member", "member")
        self.first_token = self._histogram(
            "first_token_seconds", "Time to first token", LATENCY_BUCKETS_S
        )
        self.between_tokens = self._histogram(
            "between_tokens_seconds", "Mean time between tokens", TOKEN_INTERVAL_BUCKETS_S
        )
        self.grant_wait = self._histogram(
            "grant_wait_seconds", "Wait for a slot", LATENCY_BUCKETS_S
        )
        self.attempts = self._counter("attempts", "Attempts at endpoints", "outcome")
        self.region_bytes = self._counter("region_bytes", "Body bytes to other regions")
        self.peer_bytes = self._counter("peer_bytes", "Bytes sent to other VMs")
        self.peer_received = self._counter("peer_received", "Messages from other VMs")
        self.peer_dropped = self._counter("peer_dropped", "Messages dropped before sending")
        self.store_appends = self._counter("store_appends", "Appends", "topic", "verdict")
        self.table_offset = self._gauge("table_offset", "Offset of the control fold")
        self.store_silence = self._gauge("store_silence_seconds", "Since the store last answered")
        self.unresolved = self._gauge("unresolved_claims", "Claims that may have run")
        self.in_flight = self._gauge("in_flight", "Requests that are being served")
        self.buffered_bytes = self._gauge("buffered_bytes", "Bytes of messages held")
        self.buffers_exceeded = self._gauge("buffers_exceeded", "Messages cut for want of memory")
        self.unread_bytes = self._gauge("unread_bytes", "Bytes held for callers that do not read")
        self.callers_ended = self._gauge("callers_ended", "Callers ended, unread, for memory")
        self.configuration_version = self._gauge("configuration_version", "Version in force")
        self.freshness_age = self._gauge(
            "freshness_age_seconds", "Since the configuration was known to be the newest"
        )
        self.peers_heard = self._gauge("peers_heard", "Entry VMs of the zone that are heard")
        self.repeats_left = self._gauge("repeats_left", "Repeats this VM may send now", "pool")
        self.retries_lent = self._counter("retries_lent", "Retries lent to other VMs", "pool")
        self.retries_borrowed = self._counter(
            "retries_borrowed", "Retries borrowed from other VMs", "pool"
        )
        self.store_calls = self._counter("store_calls", "Calls of the store", "topic", "verdict")
        self.endpoint_crashes = self._counter("endpoint_crashes", "Endpoints that crashed on runs")
        self.deadly_parts = self._gauge("deadly_parts", "Sets of parts that crash endpoints")
        self.usage_windows = self._counter("usage_windows", "Windows of usage reports", "outcome")
        self.usage_late_counts = self._counter(
            "usage_late_counts", "Requests counted after their window was settled"
        )
        group = ("pool", "zone", "capacity_type")
        self.endpoints_ordered = self._gauge("endpoints_ordered", "Endpoints ordered", *group)
        self.endpoints_booting = self._gauge("endpoints_booting", "Ordered, not there yet", *group)
        self.endpoints_present = self._gauge("endpoints_present", "Endpoints that serve", *group)
        self.endpoints_unavailable = self._counter(
            "endpoints_unavailable", "Endpoints that could not be obtained", "pool", "reason"
        )
        self.duty_held = self._gauge("duty_held", "Whether this VM holds the duty", "duty")
        self.duty_token = self._gauge("duty_token", "Fencing token of this VM, 0: none", "duty")
        self.duty_changes = self._counter(
            "duty_changes", "Duties acquired, lost or given back here", "duty", "reason"
        )
        self.duty_appends = self._counter(
            "duty_appends", "Appends under a lease or to acquire it", "duty", "verdict"
        )
        self.spillover_sent = self._counter(
            "spillover_sent", "Work sent to another zone", "zone", "reason"
        )
        self.spillover_received = self._counter(
            "spillover_received", "Work received from another zone", "zone"
        )
        self.engine_slowdown = self._gauge(
            "engine_slowdown", "Time to read a prompt, 1: as usual in the pool", "pool", "endpoint"
        )
        group = ("pool", "zone", "rank")
        self.queued = self._gauge("queued", "Requests that wait for an engine", *group)
        self.queue_refusals = self._counter(
            "queue_refusals", "Requests that got no engine", *group, "reason"
        )
        group = ("pool", "zone", "member")
        self.member_usual_share = self._gauge(
            "member_usual_share", "Usual part of all that is asked for", *group
        )
        self.member_granted_share = self._gauge(
            "member_granted_share", "Part of what was granted lately", *group
        )
        self.member_over_share = self._gauge(
            "member_over_share", "1: goes behind others of its rank", *group
        )
        self.member_queued = self._gauge("member_queued", "Requests that wait", *group)
        self.member_refused = self._gauge(
            "member_refused", "Requests refused lately, older ones count less", *group
        )
        self.limit_in_use = self._gauge("limit_in_use", "Running requests", "pool", "member")

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"bluebellpitch_{name}", help_text, labels, registry=self.registry)

    def show_buffers(self, buffers: BufferBudget) -> None:
        """Shows what is held of messages from now on."""
        self.buffered_bytes.set_function(lambda: buffers.used_bytes)
        self.buffers_exceeded.set_function(lambda: buffers.exceeded)
        self.unread_bytes.set_function(lambda: buffers.unread_bytes)
        self.callers_ended.set_function(lambda: buffers.callers_ended)

    def _gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(f"bluebellpitch_{name}", help_text, labels, registry=self.registry)

    def _histogram(self, name: str, help_text: str, buckets) -> Histogram:
        return Histogram(
            f"bluebellpitch_{name}",
            help_text,
            ["class_name"],
            buckets=buckets,
            registry=self.registry,
        )

    def member_label(self, member: str) -> str:
        """Returns the label for a member or route: its name for the first ones, then ``other``."""
        if member not in self._members and len(self._members) >= MAX_MEMBER_LABELS:
            return "other"
        self._members.add(member)
        return member

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
