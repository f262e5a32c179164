"""A process that starts after the key-value service came back from an older copy."""

import asyncio

from standins.ports import find_ports
from tests.nodedutysite import PORTS_PER_FLEET, NodeDutySite

AFTER_TAKEOVER_S = 1.0


async def restart_after_return(site: NodeDutySite) -> list[str]:
    """Return the senders of orders, in turn, around the store's return.

    The store has lost the record of a holder that can't read it meanwhile; the other
    VM starts anew.
    """
    try:
        await site.start_duties()
        holder = site.find_holder()
        [other] = [vm for vm in site.vms if vm is not holder]
        await other.kill()
        holder.store_path.cut()
        site.bring_store_back()
        await other.start()
        await site.wait_until(lambda: site.find_last().vm == other.name)
        holder.heal()
        await asyncio.sleep(AFTER_TAKEOVER_S)
    finally:
        await site.stop()
    senders = [call.vm for call in site.calls if call.subject == site.subject]
    return [
        sender
        for before, sender in zip([""] + senders, senders, strict=False)
        if sender != before
    ]


# Guards against ONE: a process that had read no record yet took a duty at once, while
# a holder whose record the store had lost was within its term.
def test_a_process_that_starts_after_the_store_went_back_waits_for_the_holder():
    site = NodeDutySite(find_ports(PORTS_PER_FLEET))
    assert len(asyncio.run(restart_after_return(site))) == 2
