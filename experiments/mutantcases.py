"""Breaks of mechanisms, each with the proof or test that must catch it."""

import msgspec


class Mutant(msgspec.Struct, frozen=True):
    """A replacement of text in one file, and the test that must catch it."""

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
        "shed the arriving request though less urgent work waits",
        CORE + "admission.py",
        "    victim = pool.find_least_urgent(request.tier)\n"
        "    if victim is None and full:",
        "    victim = None\n    if victim is None and full:",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        1,
        "preempt any tier",
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
        "no reserved share",
        CORE + "pools.py",
        "        if self.credit_tokens <= 0.0:\n            return False",
        "        return False",
        PROOFS + "test_starvation.py",
    ),
    Mutant(
        2,
        "no charge as tokens are made or dispatched",
        CORE + "fairness.py",
        "self.get_value(customer) + tokens / weight",
        "self.get_value(customer)",
        PROOFS + "test_starvation.py",
    ),
    Mutant(
        3,
        "take the customer from a header",
        "plantainwood/pipeline/authenticate.py",
        "        exchange.identity = check_key(catalogue, authorization)\n",
        "        exchange.identity = check_key(catalogue, authorization)\n"
        '        claimed = exchange.request.headers.get("X-Customer")\n'
        "        exchange.identity.customer = claimed or exchange.identity.customer\n",
        "tests/test_identity.py",
    ),
    Mutant(
        4,
        "send the caller's headers to upstreams",
        "plantainwood/pipeline/relay.py",
        '    headers = {"X-Request-Id": exchange.request_id}\n    traceparent',
        "    headers = dict(exchange.request.headers)\n    traceparent",
        "tests/test_identity.py",
    ),
    Mutant(
        5,
        "streams outlive their key",
        "plantainwood/node.py",
        "        self.end_unauthorized_requests()\n",
        "",
        "tests/test_faults.py::test_a_withdrawn_key_ends_a_running_stream",
    ),
    Mutant(
        5,
        "serve whatever is heard",
        CORE + "confirmation.py",
        "return heard * 100 > known * QUORUM_PERCENT",
        "return True",
        PROOFS + "test_withdrawal.py",
    ),
    Mutant(
        6,
        "count the term from the reply",
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
        "take over as soon as the record is seen",
        CORE + "leases.py",
        "        if now_ms - self._seen_at_ms < self._times.takeover_ms:\n"
        "            return\n",
        "",
        PROOFS + "test_leases.py",
    ),
    Mutant(
        6,
        "no wait before unfenced orders",
        CORE + "orders.py",
        "    return now_ms - lease.acquired_at_ms >= UNFENCED_WAIT_MS",
        "    return True",
        PROOFS + "test_leases.py",
    ),
    Mutant(
        7,
        "compute figures anew at each try",
        CORE + "billing.py",
        "        if (yield CompareAndSwap("
        "key, msgspec.json.encode(frozen), 0, LIFETIME_MS)):\n"
        "            return frozen",
        "        return frozen",
        PROOFS + "test_billing.py",
    ),
    Mutant(
        7,
        "forget what was billed before",
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
        "end an answer that lacks tokens",
        CORE + "relay.py",
        "        if count != len(self.tokens):\n            return Step.RESUME\n",
        "",
        PROOFS + "test_relay.py",
    ),
    Mutant(
        9,
        "claim 'not run' after an attempt",
        CORE + "dispatcherstate.py",
        "    return Outcome.UNKNOWN if request.attempts_made else Outcome.NOT_RUN",
        "    return Outcome.NOT_RUN",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        10,
        "run a claim that another holds",
        CORE + "claims.py",
        "            if claim.state is not ClaimState.RELEASED:\n"
        "                return _resolve_existing(claim, request)\n",
        "",
        PROOFS + "test_claims.py",
    ),
    Mutant(
        10,
        "repeat a call that may not be repeated",
        CORE + "outcomes.py",
        "    if not request.repeatable and not event.proved_not_run:",
        "    if False:",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        11,
        "older news brings a leaving upstream back",
        CORE + "router.py",
        "    if load.leaving or now_ms",
        "    if now_ms",
        PROOFS + "test_requests.py",
    ),
    Mutant(
        12,
        "stop without waiting for running requests",
        "plantainwood/daemon.py",
        "        while self._is_busy() and node.clock.now_ms() < bound_ms:\n"
        "            await asyncio.sleep(DRAIN_POLL_MS / 1_000)\n",
        "",
        "tests/test_faults.py::test_a_graceful_shutdown_cuts_no_request",
    ),
    Mutant(
        13,
        "take an older revision",
        CORE + "catalogue.py",
        "    if document.revision <= current.revision:\n        return None\n",
        "",
        PROOFS + "test_catalogue.py",
    ),
    Mutant(
        13,
        "apply a delta to any base",
        CORE + "catalogue.py",
        "    if document.base > current.revision:\n        return None\n",
        "",
        PROOFS + "test_catalogue.py",
    ),
    Mutant(
        13,
        "overwrite another operator's edit",
        CORE + "editing.py",
        "    if conflicts:\n",
        "    if False:\n",
        PROOFS + "test_catalogue.py",
    ),
    Mutant(
        0,
        "two suspects on one upstream",
        CORE + "scheduling.py",
        "        if state.is_suspect(request, now_ms):\n"
        "            _request_reservation(pool, request, load, decisions)\n"
        "            continue\n",
        "",
        PROOFS + "test_containment.py",
    ),
    Mutant(
        0,
        "grant a reservation that is held",
        CORE + "reservations.py",
        "            if current.holder and current.until_wall_ms > wall_ms:\n"
        "                return False\n",
        "",
        PROOFS + "test_reservations.py",
    ),
    Mutant(
        13,
        "the mirror takes an older value",
        CORE + "mirror.py",
        "        if item.revision <= known:\n            return False\n",
        "",
        "tests/test_mirror.py",
    ),
    Mutant(
        13,
        "the mirror takes changes across a gap",
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
        "send counts whose freeze may still come",
        CORE + "reports.py",
        "    return kept.value if isinstance(kept, StoredValue) else None\n",
        "    return kept.value if isinstance(kept, StoredValue) else counts\n",
        "tests/test_windows.py",
    ),
    Mutant(
        8,
        "an answer to an earlier request is taken",
        "plantainwood/connections.py",
        "given is not None and given != self._request_id",
        "False",
        "tests/test_connections.py",
    ),
    Mutant(
        8,
        "a connection with a foreign answer is used again",
        "plantainwood/connections.py",
        "if not is_complete or self._body_until_close or self._foreign_responses:",
        "if not is_complete or self._body_until_close:",
        "tests/test_connections.py",
    ),
    Mutant(
        8,
        "part of an event is passed on before a break",
        CORE + "eventstream.py",
        "        return buffer[:end]\n",
        "        self._partial = b''\n        return buffer\n",
        "tests/test_edge.py",
    ),
    Mutant(
        10,
        "a lost answer is taken for a request that did not run",
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
        "a draining runner is sent new work",
        "platform/bridge/servers.py",
        "        leaving=server.state == DRAINING,\n",
        "        leaving=False,\n",
        "tests/test_edge.py",
    ),
    Mutant(
        3,
        "headers that the system sets are taken from callers",
        "platform/bridge/codec.py",
        "set(HOP_BY_HOP_HEADERS) | RESERVED_HEADERS | ",
        "set(HOP_BY_HOP_HEADERS) | ",
        "tests/test_door.py",
    ),
    Mutant(
        4,
        "news with a gap before them are taken",
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
        "a whole reading drops what was written after it began",
        CORE + "mirror.py",
        "if key not in found and current.revision <= revision:",
        "if key not in found:",
        PROOFS + "test_mirrors.py",
    ),
    Mutant(
        1,
        "more attempts run than a node's share of the connections",
        CORE + "router.py",
        " or load.is_at_connection_limit():",
        ":",
        PROOFS + "test_prompts.py",
    ),
    Mutant(
        1,
        "unread prompts of ended attempts are counted on",
        CORE + "promptrouter.py",
        "        self._estimates.pop(request.id, None)\n"
        "        self.engines.record_prefilled(load.name, request.id)\n",
        "        self._estimates.pop(request.id, None)\n",
        PROOFS + "test_prompts.py",
    ),
    Mutant(
        7,
        "more engines are ordered than a domain may have",
        CORE + "sizing.py",
        "        if lowest >= scaling.max:\n            break\n",
        "        if lowest >= 3 * scaling.max:\n            break\n",
        PROOFS + "test_sizes.py",
    ),
    Mutant(
        7,
        "a reclaimed domain is not ordered anew",
        CORE + "sizing.py",
        "        return now_ms - ordered_ms >= scaling.boot_ms + BOOT_MARGIN_MS\n",
        "        return False\n",
        PROOFS + "test_sizes.py",
    ),
]
