"""Mutants of the mutation check, each with the proof or test that must fail."""

import msgspec


class Mutant(msgspec.Struct, frozen=True):
    """A text replacement in one file and the test that must fail with it.

    `point` is the number of the broken guarantee in docs/PROOFS.md; 0 stands for the
    containment of crashing requests.
    """

    point: int
    name: str
    file: str
    before: str
    after: str
    test: str


CORE = "plantainwood/core/"
PROOFS = "tests/proofs/"

MUTANTS = [
    Mutant(
        1,
        "refuse an arriving request although less urgent ones wait",
        CORE + "admission.py",
        "    victim = pool.find_least_urgent(request.tier)\n"
        "    if victim is None and full:",
        "    victim = None\n    if victim is None and full:",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        1,
        "preempt requests regardless of their tier",
        CORE + "pools.py",
        "        if request.tier <= above or not request.preemptible:\n"
        "            continue\n"
        "        if request.on_min_share",
        "        if not request.preemptible:\n"
        "            continue\n        if request.on_min_share",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        2,
        "never serve a tier on its minimum share",
        CORE + "pools.py",
        "        if self.credit_tokens <= 0.0:\n            return False",
        "        return False",
        PROOFS + "test_starvation.py",
    ),
    Mutant(
        2,
        "do not charge customers for tokens",
        CORE + "fairness.py",
        "self.get_value(customer) + tokens / weight",
        "self.get_value(customer)",
        PROOFS + "test_starvation.py",
    ),
    Mutant(
        3,
        "trust a customer name in a request header",
        "plantainwood/pipeline/authenticate.py",
        "        exchange.identity = check_key(catalogue, authorization)\n",
        "        exchange.identity = check_key(catalogue, authorization)\n"
        '        claimed = exchange.request.headers.get("X-Customer")\n'
        "        exchange.identity.customer = claimed or exchange.identity.customer\n",
        "tests/test_identity.py",
    ),
    Mutant(
        4,
        "forward the caller's headers to upstreams",
        "plantainwood/pipeline/relay.py",
        '    headers = {"X-Request-Id": exchange.request_id}\n    traceparent',
        "    headers = dict(exchange.request.headers)\n    traceparent",
        "tests/test_identity.py",
    ),
    Mutant(
        5,
        "keep streams running after their key is withdrawn",
        "plantainwood/node.py",
        "        self.end_unauthorized_requests()\n",
        "",
        "tests/test_faults.py::test_a_withdrawn_key_ends_a_running_stream",
    ),
    Mutant(
        5,
        "serve without hearing a quorum of nodes",
        CORE + "confirmation.py",
        "return heard * 100 > known * QUORUM_PERCENT",
        "return True",
        PROOFS + "test_withdrawal.py",
    ),
    Mutant(
        6,
        "start the lease term at the reply instead of the request",
        CORE + "leases.py",
        "            self._held_until_ms = asked_ms + self._times.term_ms\n"
        "        else:",
        "            asked_ms = self._clock.now_ms()\n"
        "            self._held_until_ms = asked_ms + self._times.term_ms\n"
        "        else:",
        PROOFS + "test_leases.py",
    ),
    Mutant(
        6,
        "take over a lease without waiting for its takeover time",
        CORE + "leases.py",
        "        if now_ms - self._seen_at_ms < self._times.takeover_ms:\n"
        "            return\n",
        "",
        PROOFS + "test_leases.py",
    ),
    Mutant(
        6,
        "send unfenced orders without waiting after the acquisition",
        CORE + "orders.py",
        "    return now_ms - lease.acquired_at_ms >= UNFENCED_WAIT_MS",
        "    return True",
        PROOFS + "test_leases.py",
    ),
    Mutant(
        7,
        "recompute a window's totals at each attempt",
        CORE + "billing.py",
        "        if (yield CompareAndSwap("
        "key, msgspec.json.encode(frozen), 0, LIFETIME_MS)):\n"
        "            return frozen",
        "        return frozen",
        PROOFS + "test_billing.py",
    ),
    Mutant(
        7,
        "ignore the amounts that were billed before",
        CORE + "billing.py",
        "previous.billed if previous is not None else {}, oldest",
        "{}, oldest",
        PROOFS + "test_billing.py",
    ),
    Mutant(
        8,
        "accept tokens of abandoned attempts",
        CORE + "relay.py",
        "        if attempt != self.attempt or self.finished:\n"
        "            return Step.DROP\n        if index < len",
        "        if index < len",
        PROOFS + "test_relay.py",
    ),
    Mutant(
        8,
        "finish an answer that lacks tokens",
        CORE + "relay.py",
        "        if count != len(self.tokens):\n            return Step.RESUME\n",
        "",
        PROOFS + "test_relay.py",
    ),
    Mutant(
        9,
        "report 'not run' after an attempt",
        CORE + "dispatcherstate.py",
        "    return Outcome.UNKNOWN if request.attempts_made else Outcome.NOT_RUN",
        "    return Outcome.NOT_RUN",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        10,
        "execute a call that another claim holds",
        CORE + "claims.py",
        "            if claim.state is not ClaimState.RELEASED:\n"
        "                return _resolve_existing(claim, request)\n",
        "",
        PROOFS + "test_claims.py",
    ),
    Mutant(
        10,
        "retry a call that is not repeatable",
        CORE + "outcomes.py",
        "    if not request.repeatable and not event.proved_not_run:",
        "    if False:",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        11,
        "send requests to a leaving upstream",
        CORE + "router.py",
        "    if load.leaving or load.is_at",
        "    if load.is_at",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        12,
        "shut down without waiting for running requests",
        "plantainwood/daemon.py",
        "        while self._is_busy() and node.clock.now_ms() < deadline_ms:\n"
        "            await asyncio.sleep(DRAIN_POLL_MS / 1_000)\n",
        "",
        "tests/test_faults.py::test_a_graceful_shutdown_cuts_no_request",
    ),
    Mutant(
        13,
        "accept an older catalogue revision",
        CORE + "catalogue.py",
        "    if document.revision <= current.revision:\n        return None\n",
        "",
        PROOFS + "test_catalogue.py",
    ),
    Mutant(
        13,
        "apply a catalogue delta without its base revision",
        CORE + "catalogue.py",
        "    if document.base > current.revision:\n        return None\n",
        "",
        PROOFS + "test_catalogue.py",
    ),
    Mutant(
        13,
        "overwrite another operator's concurrent edit",
        CORE + "editing.py",
        "    if conflicts:\n",
        "    if False:\n",
        PROOFS + "test_catalogue.py",
    ),
    Mutant(
        0,
        "run two crash suspects on one upstream",
        CORE + "scheduling.py",
        "        if state.is_suspect(request, now_ms):\n"
        "            _request_reservation(pool, request, load, decisions)\n"
        "            continue\n",
        "",
        PROOFS + "test_containment.py",
    ),
    Mutant(
        0,
        "grant a reservation that is already held",
        CORE + "reservations.py",
        "            if current.holder and current.until_wall_ms > wall_ms:\n"
        "                return False\n",
        "",
        PROOFS + "test_reservations.py",
    ),
    Mutant(
        13,
        "the mirror accepts an older value",
        CORE + "mirror.py",
        "        if item.revision <= known:\n            return False\n",
        "",
        "tests/test_mirror.py",
    ),
    Mutant(
        13,
        "the mirror accepts changes across a revision gap",
        CORE + "mirror.py",
        "        if base > self.revision:\n            return None\n",
        "",
        "tests/test_mirror.py",
    ),
    Mutant(
        13,
        "an older configuration replaces a newer one",
        "platform/bridge/view.py",
        "config.version <= self._config.version",
        "False",
        "tests/test_edge.py",
    ),
    Mutant(
        7,
        "send counts that are not known to be frozen",
        CORE + "reports.py",
        "    return kept.value if isinstance(kept, StoredValue) else None\n",
        "    return kept.value if isinstance(kept, StoredValue) else counts\n",
        "tests/test_windows.py",
    ),
    Mutant(
        8,
        "a response to an earlier request is accepted",
        "plantainwood/connections.py",
        "given is not None and given != self._request_id",
        "False",
        "tests/test_connections.py",
    ),
    Mutant(
        8,
        "a connection with another request's response is reused",
        "plantainwood/connections.py",
        "if not is_complete or self._body_until_close or self._foreign_responses:",
        "if not is_complete or self._body_until_close:",
        "tests/test_connections.py",
    ),
    Mutant(
        8,
        "a partial event is relayed before the connection breaks",
        CORE + "eventstream.py",
        "        return buffer[:end]\n",
        "        self._partial = b''\n        return buffer\n",
        "tests/test_edge.py",
    ),
    Mutant(
        10,
        "a lost response is reported as a request that did not run",
        "plantainwood/connections.py",
        "raise AttemptError(\n"
        "                    self._lost_reason, crashed=True, proved_not_run=False\n"
        "                )\n"
        "            await self._wait()\n        return self._heads[0]",
        "raise AttemptError(\n"
        "                    self._lost_reason, crashed=True, proved_not_run=True\n"
        "                )\n"
        "            await self._wait()\n        return self._heads[0]",
        "tests/test_edge.py",
    ),
    Mutant(
        11,
        "a draining server gets new requests",
        "platform/bridge/servers.py",
        "        leaving=server.state == DRAINING,\n",
        "        leaving=False,\n",
        "tests/test_edge.py",
    ),
    Mutant(
        3,
        "reserved headers are accepted from callers",
        "platform/bridge/codec.py",
        "set(HOP_BY_HOP_HEADERS) | RESERVED_HEADERS | ",
        "set(HOP_BY_HOP_HEADERS) | ",
        "tests/test_caller_server.py",
    ),
    Mutant(
        4,
        "store updates after a revision gap are applied",
        CORE + "mirror.py",
        "        if base > self.revision:\n            return None\n",
        "",
        PROOFS + "test_mirrors.py",
    ),
    Mutant(
        4,
        "an older item replaces a newer one",
        CORE + "mirror.py",
        "        if item.revision <= known:\n            return False\n",
        "",
        PROOFS + "test_mirrors.py",
    ),
    Mutant(
        4,
        "a snapshot drops items written after its read began",
        CORE + "mirror.py",
        "if key not in found and current.revision <= revision:",
        "if key not in found:",
        PROOFS + "test_mirrors.py",
    ),
    Mutant(
        1,
        "attempts exceed the node's share of the connection limit",
        CORE + "router.py",
        " or load.is_at_connection_limit():",
        ":",
        PROOFS + "test_prompts.py",
    ),
    Mutant(
        1,
        "prompts of ended attempts stay in the prefill backlog",
        CORE + "promptrouter.py",
        "        self._estimates.pop(request.id, None)\n"
        "        self.engine_states.record_prefilled(load.name, request.id)\n",
        "        self._estimates.pop(request.id, None)\n",
        PROOFS + "test_prompts.py",
    ),
    Mutant(
        7,
        "engines are ordered beyond a domain's maximum",
        CORE + "sizing.py",
        "        if lowest >= scaling.max:\n            break\n",
        "        if lowest >= 3 * scaling.max:\n            break\n",
        PROOFS + "test_sizes.py",
    ),
    Mutant(
        7,
        "engines of a reclaimed domain are not ordered again",
        CORE + "sizing.py",
        "        return now_ms - ordered_ms >= scaling.boot_ms + BOOT_MARGIN_MS\n",
        "        return False\n",
        PROOFS + "test_sizes.py",
    ),
    Mutant(
        0,
        "never mark the parts of prompts",
        CORE + "partquarantine.py",
        "        mark.requests.add(request)",
        "        mark.requests.add(request)\n        marks.clear()",
        "tests/test_crashing_part.py",
    ),
    Mutant(
        0,
        "an answer that begins clears no part",
        CORE + "partquarantine.py",
        "            if self._marks.pop(part, None) is not None:",
        "            if part in self._marks:",
        "tests/test_crashing_part.py",
    ),
    Mutant(
        0,
        "block a part without what explains the same crashes",
        CORE + "partquarantine.py",
        "            if all(peer in parts for peer in self._list_peers(part)):",
        "            if self._list_peers(part) is not None:",
        "tests/test_crashing_part.py",
    ),
    Mutant(
        0,
        "an outage of many engines counts as many crashes",
        CORE + "partquarantine.py",
        "        if count and time_ms - last_ms < SAME_CAUSE_MS:",
        "        if count and time_ms < last_ms:",
        "tests/test_crashing_part.py",
    ),
    Mutant(
        0,
        "each node uses the whole rate that an upstream names",
        CORE + "upstreamlimits.py",
        "        own_per_s = per_s / count if self._node in senders else 0.0",
        "        own_per_s = per_s",
        "tests/test_upstream_limit.py",
    ),
    Mutant(
        0,
        "an older report replaces a newer answer of an upstream",
        CORE + "upstreamlimits.py",
        "        if known is not None and said_ms <= known.said_ms:",
        "        if known is not None and said_ms < 0:",
        "tests/test_upstream_limit.py",
    ),
    Mutant(
        6,
        "acquire a duty at once though the store may have lost its holder",
        CORE + "leases.py",
        "        self._earliest_acquire_ms = now_ms + self._times.takeover_ms",
        "        self._earliest_acquire_ms = now_ms",
        "tests/test_era_duties.py",
    ),
    Mutant(
        7,
        "freeze a window anew that the store lost",
        CORE + "reports.py",
        "    counts = known.find(key)\n",
        "    counts = None\n",
        "tests/test_era_duties.py",
    ),
    Mutant(
        0,
        "let any VM relay heartbeats, whatever its link",
        CORE + "relays.py",
        "members, weights)[:RELAYS_PER_DOMAIN]",
        "members, {})[:RELAYS_PER_DOMAIN]",
        "tests/test_relay_traffic.py",
    ),
    Mutant(
        0,
        "relay without regard to the link",
        CORE + "relays.py",
        "        pause_ms = round(sent_bytes / bytes_per_ms)",
        "        pause_ms = 0",
        "tests/test_relay_traffic.py",
    ),
    Mutant(
        0,
        "spend retries on attempts that reached nothing",
        CORE + "outcomes.py",
        "    if event.reached and not state.budget",
        "    if not state.budget",
        "tests/test_unreached_requests.py",
    ),
    Mutant(
        0,
        "count no crash for requests without a body",
        "platform/bridge/requests.py",
        "        fingerprint=_make_fingerprint(customer, target, body),",
        '        fingerprint=body and _make_fingerprint(customer, target, body) or "",',
        "tests/test_crashing_requests.py",
    ),
    Mutant(
        0,
        "mark a request once for each of its copies that one crash hit",
        CORE + "quarantine.py",
        "for text in dict.fromkeys(fingerprints) if text",
        "for text in fingerprints if text",
        "tests/test_crashing_requests.py",
    ),
    Mutant(
        8,
        "continue a stream at any software version",
        CORE + "router.py",
        "    return not request.version or load",
        "    return True or load",
        "tests/test_stream_versions.py",
    ),
    Mutant(
        8,
        "guess which version began a stream",
        CORE + "streamversions.py",
        "        if len(recent) > 1:",
        "        if len(recent) > 9:",
        "tests/test_begun_streams.py",
    ),
    Mutant(
        11,
        "send to an upstream that has asked for a pause",
        CORE + "router.py",
        "max(load.paused_until_ms, load.unwilling_until_ms)",
        "load.paused_until_ms",
        "tests/test_retry_after.py",
    ),
    Mutant(
        11,
        "ignore answers that say an upstream leaves",
        "plantainwood/upstreamreports.py",
        "        if not self._codec.is_leaving(response):",
        "        if True:",
        "tests/test_leaving_answers.py",
    ),
    Mutant(
        11,
        "never send a call to another VM",
        CORE + "scheduling.py",
        "    if state.path_lost and not request.from_vm:",
        "    if False:",
        "tests/test_serving_vms.py",
    ),
    Mutant(
        11,
        "pass on calls that come from another VM",
        CORE + "admission.py",
        "    if event.from_vm and state.path_lost:",
        "    if False:",
        "tests/test_serving_vms.py",
    ),
    Mutant(
        11,
        "count a start at both VMs",
        "plantainwood/forwarding.py",
        "if not self._via_vm:\n                    self.forwarder.start",
        "if True:\n                    self.forwarder.start",
        "tests/test_serving_vms.py",
    ),
    Mutant(
        11,
        "take what a lost path cuts off for crashes",
        "plantainwood/pathprobe.py",
        "        return has_path and not connection.timed_out",
        "        return not connection.timed_out",
        "tests/test_serving_vms.py",
    ),
    Mutant(
        11,
        "forget a pause with the registration",
        CORE + "dispatcherstate.py",
        "                load.unwilling_until_ms = self.pauses_until_ms.get(name, 0)",
        "                load.unwilling_until_ms = 0",
        "tests/test_kept_reports.py",
    ),
    Mutant(
        11,
        "send brittle upstreams more than a part of their slots",
        CORE + "loads.py",
        "self.room is not None and self.count_own_in_flight() >= self.room",
        "self.room is not None and self.count_own_in_flight() >= 9 * self.room",
        "tests/test_brittle_upstreams.py",
    ),
]
