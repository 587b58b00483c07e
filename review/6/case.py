"""LOST: the coordinator is killed while the route of an accepted batch submission is missing from the configuration; the operator puts the
route back, and the items that were not listed never run again."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "stage-2"))
from stage import BOUNDS, CannotRun, TROUBLE, call, engine_service, main, plain_service, rollout_route, route, status_of

# Deadline of the trainer's step (SYSTEM.md, "deadline ms" of the rollout kinds).
STEP_S = 12.0
# LOST: an item at no sampler for this long in steady state, while the samplers are under half full.
IDLE_S = 5.0
ITEMS = 64


async def case(stage):
    engines = [await stage.sampler(f"engine-{number}", "draft-model", slots=4, models=["m0"], events=12, event_ms=40) for number in range(2)]
    await stage.sampler("ledger-0", "ledger-app")
    services = [engine_service("draft-model", ["m0"], 4), plain_service("ledger-app")]
    lookups = route("lookups", "/ledger/", "idempotent", "ledger-app")
    drafts = rollout_route("drafts", "/drafts/", "draft-model")
    await stage.configure(1, [lookups, drafts], services)
    coordinator = stage.machine("coordinator", "storage-1")
    host = stage.machine("host", "edge-1")
    for machine in stage.machines:
        await machine.start()
    await host.await_ready()
    await asyncio.sleep(3)

    items = [{"id": f"item-{number}", "path": f"/drafts/1/{number}", "headers": {"X-Model": "m0", "X-Token-Usage": "271,486"}, "body": "Yg==", "tokens": 757, "group_id": f"g{number // 4}",
              "scorer_url": {"id": f"score-{number}", "hostname": "site.example", "path": "/ledger/score", "body": "Yg=="}} for number in range(ITEMS)]
    body = json.dumps({"step": 0, "model": "m0", "min_version": 0, "target_groups": 15, "items": items}).encode()
    answer = await stage.request(host, "POST", "/drafts/lot-1", [("Host", "site.example"), ("X-Attempt-Id", "lot-1"), ("Content-Type", "application/json")], body, 2.0)
    if status_of(answer) != 202:
        raise CannotRun("the batch submission was not accepted")
    submitted = time.monotonic()
    await asyncio.sleep(1.0)
    # A slip of the operator, who notices it three seconds later.
    await stage.configure(2, [lookups], services)
    await asyncio.sleep(0.8)
    steady_from = time.monotonic()
    if TROUBLE:
        await coordinator.kill()
        stage.record("coordinator: killed (SIGKILL)")
        await asyncio.sleep(0.3)
        await coordinator.start()
        stage.record("coordinator: started again by the platform")
        steady_from = time.monotonic() + BOUNDS["stable_ms"] / 1000
    await asyncio.sleep(2.2)
    await stage.configure(4, [lookups, drafts], services)
    restored = time.monotonic()
    steady_from = max(steady_from, restored + BOUNDS["config_apply_ms"] / 1000)

    results, total = [], 0
    while time.monotonic() < submitted + STEP_S and (total == 0 or len(results) < total):
        answer = await call(host.ports["frontend"], "GET", f"/api/lots/lot-1?after={len(results)}", [("Host", "site.example")])
        if status_of(answer) == 200:
            page = json.loads(answer.body)
            results, total = results + page["results"], page["total"]
        await asyncio.sleep(0.4)
    ended = time.monotonic()
    runs = [run for engine in engines for run in engine.runs]
    idle_from = max(steady_from, max(at for at, _, _ in runs))
    stage.record(f"trainer: {len(results)} of {total} results {ended - submitted:.1f} s after the 202")
    stage.record(f"engines: {len(runs)} runs, {sum(1 for at, _, _ in runs if at > restored)} of them after the route was back; none running from {idle_from - submitted:.1f} s on")
    # Without a bearing on the verdict: the coordinator works, and a new batch submission on the same route runs.
    await stage.request(host, "POST", "/drafts/lot-2", [("Host", "site.example"), ("X-Attempt-Id", "lot-2"), ("Content-Type", "application/json")], body.replace(b'"item-', b'"later-').replace(b'"score-', b'"judge-'), 2.0)
    await asyncio.sleep(5)
    later = sum(1 for engine in engines for _, request, _ in engine.runs if request.startswith("later-"))
    after_end = sum(1 for engine in engines for at, request, _ in engine.runs if request.startswith("item-") and at > ended)
    stage.record(f"engines: ran {later} items of a second batch submission within 5 s, and {after_end} of the first one")
    missing = ITEMS - len(results)
    if missing and ended - idle_from >= IDLE_S:
        return [f"LOST: {missing} items of an accepted step, finished or failed by no sampler, were at no sampler for the last {ended - idle_from:.1f} s before its time was up, with all samplers free"]
    return []


main(Path(__file__).resolve().parent, case)
