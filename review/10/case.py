"""DRAIN: for seconds after an outage of the store, hosts go on sending to a sampler whose entry was removed, until it exits with their requests."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stage-2"))
from stage import BOUNDS, TROUBLE, main, plain_service, route, status_of

OUTAGE_S = 4.5
DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_S = BOUNDS["stable_ms"] / 1000
# The sampler serves on for drain_ms "and a little longer", and exits.
LITTLE_LONGER_S = 0.2


async def case(stage):
    samplers = [await stage.sampler(f"ledger-{number}", "ledger-app", work_ms=120) for number in range(3)]
    await stage.configure(1, [route("postings", "/ledger/", "non_idempotent", "ledger-app")], [plain_service("ledger-app")])
    stage.machine("coordinator", "storage-1")
    hosts = [stage.machine("host", f"edge-{number}") for number in (1, 2, 3)]
    for machine in stage.machines:
        await machine.start()
    for host in hosts:
        await host.await_ready()
    answers = {}

    async def client(number):
        for count in range(1, 1000000):
            request = f"c{number}-{count}"
            answer = await stage.request(hosts[number % 3], "POST", "/ledger/postings", [("Host", "site.example"), ("X-Attempt-Id", request), ("X-Deadline-Ms", "800")], b"{}", 1.0, request)
            answers[request] = status_of(answer)
            await asyncio.sleep(0.05)

    clients = [asyncio.ensure_future(client(number)) for number in range(6)]
    await asyncio.sleep(4)
    if TROUBLE:
        stage.store.is_down = True
        stage.record("store: down, answers nothing")
    await asyncio.sleep(OUTAGE_S)
    if TROUBLE:
        stage.store.is_down = False
        stage.record("store: back")
    await asyncio.sleep(STABLE_S + 0.2)
    leaving = max(samplers, key=lambda sampler: len(sampler.runs))
    await leaving.unregister()
    acked = time.monotonic()
    stage.record(f"store: acknowledges the removal of the entry of {leaving.id}, which serves on for {DRAIN_S} s and a little longer")
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    leaving.stop()
    stage.record(f"{leaving.id}: exits")
    await asyncio.sleep(2)
    for task in clients:
        task.cancel()
    late = [(at - acked, request) for at, request, _ in leaving.runs if at > acked + DRAIN_S]
    lost = [request for _, request in late if answers.get(request) not in (200, None)]
    after = [at - acked for at, _, _ in leaving.runs if at > acked]
    stage.record(f"{leaving.id}: {len(after)} requests after the ack, the last {max(after, default=0):.3f} s after it; {len(late)} later than {DRAIN_S} s; {len(lost)} of these were cut off by its exit")
    stage.record(f"clients: {len(answers)} requests answered; statuses: { {status: list(answers.values()).count(status) for status in set(answers.values())} }")
    if late:
        return [f"DRAIN: {len(late)} requests reached {leaving.id} later than {DRAIN_S} s after the store had acknowledged that it is gone, the last {late[-1][0]:.3f} s after it; {len(lost)} of them were lost"]
    return []


main(Path(__file__).resolve().parent, case)
