"""Start and stop orders: stored before they are sent, and fenced."""

from enum import Enum

import msgspec

from plantainwood.core.clock import Clock
from plantainwood.core.decoding import decode_record
from plantainwood.core.effects import (
    CompareAndSwap,
    Procedure,
    Read,
    SendOrder,
    StoredValue,
)
from plantainwood.core.errors import StoreError
from plantainwood.core.leases import Lease

ORDER_PREFIX = "orders/"
UNFENCED_WAIT_MS = 600_000


class Action(Enum):
    """The orders that an upstream can be given."""

    START = "start"
    STOP = "stop"


class Intent(msgspec.Struct, frozen=True):
    """The stored intent behind the last order for an upstream."""

    action: Action
    fence: int
    done: bool


class Order(msgspec.Struct, frozen=True):
    """An order that the planner requests."""

    action: Action
    upstream: str
    domain: str
    checks_fencing: bool


def may_send_unfenced(lease: Lease, gone_nodes: set[str], now_ms: int) -> bool:
    """Return whether an order may go to a receiver that ignores fencing tokens.

    A holder suspended just before its write can't be stopped by its own clock, so
    the successor waits until the previous holder released the duty, is in
    `gone_nodes` (its VM no longer exists), or has been silent for UNFENCED_WAIT_MS.
    """
    if lease.previous_holder is None or lease.previous_holder in gone_nodes:
        return True
    return now_ms - lease.acquired_at_ms >= UNFENCED_WAIT_MS


def issue_order(
    order: Order, lease: Lease, clock: Clock, gone_nodes: set[str]
) -> Procedure:
    """Store the intent, then send the order; return True if it was accepted.

    The lease is checked last, with nothing between that check and the sending.
    """
    if not lease.is_held():
        return False
    if not order.checks_fencing:
        if not may_send_unfenced(lease, gone_nodes, clock.now_ms()):
            return False
    key = ORDER_PREFIX + order.upstream
    try:
        found = yield Read(key)
        expected = 0
        if isinstance(found, StoredValue):
            existing = decode_record(found.value, Intent)
            if existing.fence > lease.fence:
                return False
            expected = found.revision
        intent = Intent(order.action, lease.fence, done=False)
        revision = yield CompareAndSwap(key, msgspec.json.encode(intent), expected)
        if not revision or not lease.is_held():
            return False
        accepted = yield SendOrder(
            action=order.action.value,
            upstream=order.upstream,
            domain=order.domain,
            fence=lease.fence,
            deadline_ms=lease.get_deadline_ms(),
            arrive_by_ms=lease.get_arrival_limit_ms(),
        )
        if not accepted:
            return False
        completed = Intent(order.action, lease.fence, done=True)
        yield CompareAndSwap(key, msgspec.json.encode(completed), revision)
    except StoreError:
        return False
    return True
