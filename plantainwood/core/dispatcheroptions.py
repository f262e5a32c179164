"""Policies of the dispatcher."""

import random
from typing import Callable

import msgspec

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.fairness import FairQueue, TokenCounters, WaitingQueue
from plantainwood.core.quarantine import MAX_CRASHES
from plantainwood.core.retries import RetryBudget
from plantainwood.core.router import FewChoicesRouter, Router


class Options(msgspec.Struct):
    """Policies of the dispatcher; experiments compare the defaults with baselines."""

    make_queue: Callable[[TokenCounters], WaitingQueue] = FairQueue
    make_router: Callable[[random.Random, PrefixHints], Router] = FewChoicesRouter
    make_budget: Callable[[], RetryBudget] = RetryBudget
    strict_tiers: bool = True
    guard_starvation: bool = True
    preempt: bool = True
    eject_stragglers: bool = True
    move_unstarted: bool = True
    isolate_suspects: bool = True
    """Whether a crash suspect runs only on an upstream that it has reserved."""
    probe_suspects: bool = False
    """Whether what crashed upstreams is on probation before it is blocked."""
    max_crashes: int = MAX_CRASHES
    customer_shares: bool = False
    """Whether customers get fair shares by their recent work in the whole fleet."""
    max_waiting: int = 256
    subset_size: int = 16
    limit_floor: float = 1.0
    """The share of a customer's limits that a node uses without a lease."""
