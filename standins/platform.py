"""Stand-in for the platform: start and stop orders, usage reports, the VM list."""

from aiohttp import web

from standins.faults import FAULTS, drop_connection, make_app

ORDERS = web.AppKey("orders", list)
REPORTS = web.AppKey("reports", list)
VMS = web.AppKey("vms", dict)
RUNNING = web.AppKey("running", dict)


async def handle_order(request: web.Request) -> web.Response:
    """Accept an order; refuse an old fencing token for upstreams that check it."""
    body = await request.json()
    orders = request.app[ORDERS]
    for earlier in orders:
        if earlier["upstream"] != body["upstream"]:
            continue
        if body["checks_fencing"] and earlier["fence"] > body["fence"]:
            return web.json_response({"error": "old fence"}, status=409)
    orders.append(body)
    request.app[RUNNING][body["upstream"]] = body["action"] == "start"
    return web.json_response({"taken": True})


async def handle_report(request: web.Request) -> web.Response:
    """Store a usage report; `lose_replies` drops the reply."""
    request.app[REPORTS].append((await request.read()).decode())
    faults = request.app[FAULTS]
    if faults.lose_replies > 0:
        faults.lose_replies -= 1
        drop_connection(request)
    return web.json_response({"taken": True})


async def handle_taken(request: web.Request) -> web.Response:
    """Answer /taken with all orders and reports, the running upstreams and the VMs."""
    app = request.app
    body = {
        "orders": app[ORDERS],
        "reports": app[REPORTS],
        "running": app[RUNNING],
        "vms": app[VMS],
    }
    return web.json_response(body)


async def handle_vms(request: web.Request) -> web.Response:
    """Answer with the list of VMs, or replace it."""
    if request.method == "PUT":
        request.app[VMS].clear()
        request.app[VMS].update(await request.json())
    return web.json_response(request.app[VMS])


def build_app() -> web.Application:
    """Return the platform stand-in as a web application."""
    app = make_app()
    app[ORDERS] = []
    app[REPORTS] = []
    app[VMS] = {}
    app[RUNNING] = {}
    app.router.add_post("/orders", handle_order)
    app.router.add_post("/reports", handle_report)
    app.router.add_get("/taken", handle_taken)
    app.router.add_route("*", "/vms", handle_vms)
    return app
