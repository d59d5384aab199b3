"""Many tasks end on one worker within a second while the store is slow.

Two workers run 1,200 tasks, more than 500 of them on one worker, and all end "done" within a
second. The worker's answers list 500 ends at a time, and an end is acknowledged when it is
recorded, which takes some hundred milliseconds in the slow store. Judged is TWICE: a start after a
run of the task has ended "done", if that end is taken note of then or later.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../standin-2"))
from deployment import BROKEN, HELD, NOT_RUN, now, run, trouble

N_JOBS = 3
TASKS_PER_JOB = 400
ENDS_FROM_S = 12.0  # after the first submission
ENDS_SPREAD_S = 1.0
SLOW_FROM_S = 11.0
SLOW_S = 4.0
SLOW_X = 60


async def slow_store(site):
    site.record.add("store", f"answers take {SLOW_X} times as long from here")
    site.store.slowness = SLOW_X
    await asyncio.sleep(SLOW_S)
    site.store.slowness = 1
    site.record.add("store", "answers as usual")


def starts_after_done(site):
    """Returns the starts that break the rule, as texts."""
    done = {}
    for end in site.ends:
        if end[4] == "done" and site.taken_at(end) is not None:
            done.setdefault(end[2], end)
    found = []
    for at, worker, task, number in site.starts:
        end = done.get(task)
        if end is not None and at > end[0]:
            found.append(
                f"{task}: run {end[3]} ended done on {end[1]} (end {end[5]}), "
                f"run {number} started on {worker} {at - end[0]:.3f} s later"
            )
    return found


async def script(site):
    if not await site.start(2):
        return NOT_RUN
    begin = now()

    def behave(task, number):
        if number > 1:
            return 1.0, "done"
        share = int(task.split(".")[3]) / TASKS_PER_JOB
        return max(begin + ENDS_FROM_S + share * ENDS_SPREAD_S - now(), 1.0), "done"

    site.behave = behave
    jobs = [f"{i + 1:016x}" for i in range(N_JOBS)]
    for job in jobs:
        step = {"count": TASKS_PER_JOB, "estimate_ms": int(ENDS_FROM_S * 1000)}
        if not await site.submit(job, {"spec": "count", "steps": [step]}):
            return NOT_RUN
    await asyncio.sleep(begin + SLOW_FROM_S - now())
    running = [len(worker.running) for worker in site.workers]
    site.record.add("script", f"running on the workers: {running}")
    if sum(running) < N_JOBS * TASKS_PER_JOB or max(running) <= 500:
        return NOT_RUN
    if trouble():
        await slow_store(site)
    else:
        await asyncio.sleep(SLOW_S)
    await asyncio.sleep(15)
    states = [await site.state(job) for job in jobs]
    found = starts_after_done(site)
    for text in found:
        site.record.add("TWICE", text)
    site.record.add(
        "script",
        f"states {states}, {len(site.starts)} starts, {len(found)} of tasks that were done",
    )
    return BROKEN if found else HELD


sys.exit(run(script, HERE))
