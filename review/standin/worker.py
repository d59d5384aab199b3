"""Stand-in of workers, one life of each.

worker.py FILE: a list of JSON objects with id, address, store, service, zone, labels, capacity, heartbeat_ms,
stop_grace_ms, max_hold_ms

A worker guards its capacity, keeps leases and fences, and runs tasks. What a task needs and does stands in its
spec, as JSON: cpu, mem_mb, gpu, work_ms (0: it runs until it is stopped). Each event goes to standard
output as a line of JSON. POST /standin/grey {"on": true}: from now on every run that is started fails.
POST /standin/drain {"ms": N}: it reports that it drains, serves for N ms and a little
longer after the store has accepted the report, and exits."""

import asyncio
import base64
import json
import sys
import time

import http11

STARTUP_S = 0.3  # a lasting task is at work after this time
LINGER_S = 0.3  # a draining worker serves for this much longer than it has to
GREY_RUN_S = 0.05  # a run on a faulty worker fails after this time


class Worker:
    def __init__(self, options):
        self.options = options
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}  # task -> dict
        self.highest = {}  # task -> highest run that has ended or was stopped
        self.ended = []
        self.n_ended = 0
        self.acked = 0
        self.grey = False
        self.draining_until = None
        self.sequence = 0
        self.changed = asyncio.Event()

    def note(self, event, **fields):
        print(json.dumps(dict(t=time.monotonic(), worker=self.options["id"], event=event, **fields)), flush=True)

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.n_ended += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.n_ended, task, run["run"], how, ""])
        self.note("end", task=task, run=run["run"], how=how)
        self.changed.set()

    def fits(self, spec):
        capacity = self.options["capacity"]
        return all(sum(run["spec"][key] for run in self.running.values()) + spec[key] <= capacity[key]
                   for key in capacity)

    def extend(self, body):
        wanted = min(int(body.get("deadline_ms", 0)), self.clock_ms() + self.options["max_hold_ms"])
        self.deadline_ms = max(self.deadline_ms, wanted)

    def start(self, body):
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present["run"] == number:
            self.extend(body)
            return 200, {}
        if body.get("deadline_ms", 0) <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body)
        if present is not None or number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        if not self.fits(spec):
            self.note("rejected", task=task, run=number, reason="room")
            return 409, {"reason": "room"}
        self.running[task] = dict(run=number, spec=spec, since=time.monotonic(), fails=self.grey, stopping=None)
        self.note("start", task=task, run=number, fence=body.get("fence", 0))
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run["run"] <= number and run["stopping"] is None:
            run["stopping"] = time.monotonic() + self.options["stop_grace_ms"] / 2000
        return 200, {}

    def lists(self):
        now = time.monotonic()
        rows = []
        for task, run in self.running.items():
            work_s = run["spec"]["work_ms"] / 1000 or STARTUP_S
            rows.append([task, run["run"], "", min(int((now - run["since"]) * 100 / work_s), 100), 0])
        return dict(running=rows, ended_runs=self.ended[:500])

    async def hold(self, body):
        self.extend(body)
        self.acked = max(self.acked, int(body.get("ack_cursor", 0)))
        self.ended = [end for end in self.ended if end[0] > self.acked]
        until = time.monotonic() + min(int(body.get("wait_ms", 0)), 2000) / 1000
        fence = self.fence
        while not self.ended and self.fence == fence and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if self.fence > fence:
            return 409, {"reason": "fence"}
        return 200, self.lists()

    async def handle(self, request):
        if request.path == "/standin/grey":
            self.grey = request.json()["on"]
            self.note("grey", on=self.grey)
            return 200, {}
        if request.path == "/standin/drain":
            drain_s = request.json()["ms"] / 1000
            self.draining_until = time.monotonic() + drain_s + LINGER_S
            await self.beat()
            # The time counts from the store's acceptance of the report.
            self.draining_until = time.monotonic() + drain_s + LINGER_S
            self.note("draining")
            return 200, {}
        if request.path == "/health":
            return (503 if self.draining_until else 200), {}
        calls = {"/api/run-start": self.start, "/api/run-stop": self.stop, "/api/hold": self.hold}
        if request.method != "POST" or request.path not in calls:
            return 404, {}
        expected = request.headers.get("dragonflyfold-expected-instance", self.options["id"])
        if expected != self.options["id"]:
            return 421, {}
        body = request.json()
        if body.get("fence", 0) < self.fence:
            status, answer = 409, {"reason": "fence"}
        else:
            if body.get("fence", 0) > self.fence:
                self.fence = body["fence"]
                self.changed.set()  # a call of the former holder that waits is refused
            result = calls[request.path](body)
            status, answer = (await result) if asyncio.iscoroutine(result) else result
        return status, dict(answer, clock_ms=self.clock_ms())

    def step(self, now):
        if self.running and self.clock_ms() >= self.deadline_ms:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            age = now - run["since"]
            if run["stopping"] is not None and now >= run["stopping"]:
                self.end(task, "stopped")
            elif run["fails"] and age >= GREY_RUN_S:
                self.end(task, "failed")
            elif run["spec"]["work_ms"] and age * 1000 >= run["spec"]["work_ms"]:
                self.end(task, "done")

    async def beat(self):
        options = self.options
        self.sequence += 1
        entry = dict(service=options["service"], address=options["address"], zone=options["zone"], version="v1",
                     slots=8, state="draining" if self.draining_until else "ready", cold_left_ms=0,
                     capacity=options["capacity"], labels=options["labels"], clock_ms=self.clock_ms(),
                     sequence=self.sequence)
        if self.draining_until:
            entry["remaining_ms"] = max(int((self.draining_until - LINGER_S - time.monotonic()) * 1000), 0)
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        try:
            await http11.call(options["store"], "POST", "/platform/put",
                              dict(table="servers", key=options["id"], value=value))
        except (OSError, asyncio.TimeoutError):
            pass

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.options["heartbeat_ms"] / 1000)

    async def steps(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            self.step(now)
            if self.draining_until is not None and now >= self.draining_until:
                break
        for task in list(self.running):
            self.end(task, "stopped")
        self.note("left")
        await http11.call(self.options["store"], "POST", "/platform/remove",
                          dict(table="servers", key=self.options["id"]))
        sys.exit(0)

    async def run(self):
        host, port = self.options["address"].split(":")
        await http11.serve(host, int(port), self.handle)
        self.note("up", address=self.options["address"])
        await asyncio.gather(self.beats(), self.steps())


async def main():
    with open(sys.argv[1]) as file:
        workers = [Worker(options) for options in json.load(file)]
    await asyncio.gather(*(worker.run() for worker in workers))


asyncio.run(main())
