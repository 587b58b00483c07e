"""DRAIN: a status report of a sampler, sent while answers of the store were lost, is carried out seconds later, after its report that it is
draining. The hosts take the old report for the newest state and send to the sampler again, until it exits with their requests."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stage-2"))
from stage import BOUNDS, HEARTBEAT_S, TROUBLE, main, plain_service, route, status_of

DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_S = BOUNDS["stable_ms"] / 1000
# platform_lost: 4.5 s; what is lost is "done 1 to 6 s later".
LOSS_S = 4.5
LATE_S = 6.0
# The sampler serves on for drain_ms "and a little longer (at times many seconds)".
EXIT_AFTER_S = 3.3


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
    await asyncio.sleep(3)
    leaving = max(samplers, key=lambda sampler: len(sampler.runs))
    key = "servers/" + leaving.id
    # The reports of this sampler are played here, at known times.
    leaving.beats.cancel()

    async def report(note):
        entry = leaving.entry()
        await stage.store.put(key, entry)
        stage.record(f"{leaving.id}: reports {entry['state']}, sequence {entry['sequence']}; {note}")
        return time.monotonic()

    async def carry_out_late(entry, delay):
        await asyncio.sleep(delay)
        await stage.store.put(key, entry)
        stage.record(f"store: carries out the report of {leaving.id} with sequence {entry['sequence']} ({entry['state']}), which it had not answered {delay} s ago")

    stage.record("store: answers of writes are lost for 4.5 s" if TROUBLE else "store: undisturbed")
    for _ in range(3):
        await asyncio.sleep(HEARTBEAT_S)
        await report("acknowledged")
    await asyncio.sleep(LOSS_S - 3 * HEARTBEAT_S - 0.05)
    late = None
    if TROUBLE:
        entry = leaving.entry()
        stage.record(f"{leaving.id}: reports {entry['state']}, sequence {entry['sequence']}; no answer")
        late = asyncio.ensure_future(carry_out_late(entry, LATE_S))
    else:
        await report("acknowledged")
    begun = time.monotonic()
    await asyncio.sleep(0.05)
    while time.monotonic() < begun + STABLE_S - HEARTBEAT_S:
        await asyncio.sleep(HEARTBEAT_S)
        await report("acknowledged")
    await asyncio.sleep(max(0.0, begun + STABLE_S + 0.2 - time.monotonic()))
    leaving.state = "draining"
    acked = await report("acknowledged: the store's ack")
    exits_at = acked + EXIT_AFTER_S
    while time.monotonic() + HEARTBEAT_S < exits_at:
        await asyncio.sleep(HEARTBEAT_S)
        await report("acknowledged")
    await asyncio.sleep(max(0.0, exits_at - time.monotonic()))
    leaving.stop()
    stage.record(f"{leaving.id}: exits")
    await asyncio.sleep(1.5)
    for task in clients:
        task.cancel()
    if late:
        late.cancel()
    reached = [(at - acked, request) for at, request, _ in leaving.runs if at > acked + DRAIN_S]
    lost = [request for _, request in reached if answers.get(request) not in (200, None)]
    between = [at for at, _, _ in leaving.runs if acked + 0.5 < at <= acked + DRAIN_S]
    stage.record(f"{leaving.id}: requests after the ack: {len(between)} between 0.5 s and {DRAIN_S} s, {len(reached)} later; {len(lost)} of these were cut off by its exit")
    stage.record(f"clients: {len(answers)} requests answered; statuses: { {status: list(answers.values()).count(status) for status in set(answers.values())} }")
    if reached:
        return [f"DRAIN: {len(reached)} requests reached {leaving.id} later than {DRAIN_S} s after the store had acknowledged that it is draining, from {reached[0][0]:.3f} to {reached[-1][0]:.3f} s after it; {len(lost)} of them were lost"]
    return []


main(Path(__file__).resolve().parent, case)
