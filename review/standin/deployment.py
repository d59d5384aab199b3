"""A small site on loopback addresses: the store, workers, processes of the product, and a client.

Everything that is sent, answered and run goes into record.txt of the case, one line of JSON each."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

import http11

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PYTHON = "/usr/bin/python3"
HEARTBEAT_MS = 1500
SERVICE = "studio"
HOST = "site.example"
# Bounds of podnety-sk-grown, as far as the processes and the workers need them.
BOUNDS = dict(max_hold_ms=10000, config_apply_ms=3000, gang_wait_ms=4000, far_x=3, status_s=120, grace_s=6)
STOP_GRACE_MS = 400
NODE_RESTART_S = 0.5


class CannotRun(Exception):
    """The case could not run: no verdict."""


def free_port(host, given=set()):
    """Returns a port that is free and was not returned before. Below the range from which the kernel takes the
    ports of outgoing connections: one of these could take it before the process listens there."""
    while True:
        port = random.randrange(12000, 30000)
        if port in given:
            continue
        given.add(port)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port


def fill(template, fields):
    """Fills in the placeholders of the settings template that the product uses."""

    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Site:
    def __init__(self, folder, n_nodes, queues, tenant="tenant"):
        self.folder = folder
        self.queues = queues
        self.tenant = tenant
        self.n_nodes = n_nodes
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.begun = time.monotonic()
        self.processes = []
        self.nodes = {}
        self.workers = {}  # place -> dict of the life that is up
        self.lives = 0
        self.events = []  # what the workers ran
        self.readers = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")

    def now(self):
        return time.monotonic() - self.begun

    def note(self, kind, **fields):
        self.record.write(json.dumps(dict(t=round(self.now(), 3), kind=kind, **fields)) + "\n")
        self.record.flush()

    async def launch(self, *words, output):
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=output, stderr=asyncio.subprocess.DEVNULL, limit=1 << 22)
        self.processes.append(process)
        return process

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    async def open(self):
        program = os.path.join(ROOT, "target", "dragonflyfold")
        if not os.access(program, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        self.store = "127.0.0.1:%d" % free_port("127.0.0.1")
        await self.launch(PYTHON, os.path.join(HERE, "store.py"), self.store, str(HEARTBEAT_MS),
                          output=asyncio.subprocess.DEVNULL)
        await self.until(self.store_answers, 10, "the store does not answer")
        await self.configure()
        for number in range(self.n_nodes):
            await self.start_node(number)
        await self.until(self.nodes_ready, 15, "the processes are not ready")

    async def store_answers(self):
        try:
            return (await http11.call(self.store, "GET", "/api/rows-get?table=op&part="))[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def configure(self):
        routes = [dict(name=name, host=HOST, path_prefix="/%s/" % name, kind="non_idempotent", timeout_ms=3000,
                       target_latency_ms=1000, priority=queue["priority"], service=SERVICE,
                       max_attempts=queue["max_attempts"], stretch=3.0, public=False)
                  for name, queue in self.queues.items()]
        config = dict(version=1, routes=routes, limits={},
                      services=[dict(name=SERVICE, health_path="/health", max_conns=64, protocol="h1", tls=False,
                                     rejects_overload=True, spare=False)],
                      tenants=[dict(name=self.tenant, api_keys=["key-of-tenant"], priority=1,
                                    guaranteed=dict(gpu=0))])
        value = base64.b64encode(json.dumps(config).encode()).decode()
        await http11.call(self.store, "POST", "/platform/put", dict(table="op", key="config", value=value))

    async def start_node(self, number):
        if number not in self.nodes:
            ports = [free_port("127.0.0.1") for _ in range(4)]
            at = lambda index: "127.0.0.1:%d" % ports[index]
            fields = dict(node="front-a-%d" % number, zone="zone-a", region="region", ip="127.0.0.1",
                          port_range=[ports[2], ports[2]], listen=dict(front=at(0), ready=at(1)),
                          platform=dict(address=self.store), bounds=BOUNDS,
                          limits=dict(cpu_share=0.25, cores=1, link_mbps=1000.0))
            with open(os.path.join(ROOT, "deploy", "settings.json.in")) as template:
                settings = fill(template.read(), fields).replace(":9464", ":%d" % ports[3])
            path = os.path.join(self.temporary.name, "settings-%d.json" % number)
            with open(path, "w") as file:
                file.write(settings)
            self.nodes[number] = dict(front=at(0), ready=at(1), metrics=at(3), settings=path)
        node = self.nodes[number]
        log = open(os.path.join(self.temporary.name, "node-%d.log" % number), "a")
        node["process"] = await self.launch(os.path.join(ROOT, "target", "dragonflyfold"), "fleet", "--settings",
                                            node["settings"], output=log)
        log.close()
        self.note("node started", node=number, front=node["front"])

    async def nodes_ready(self):
        if self.ended_nodes():
            raise CannotRun("processes ended at their start: %s" % self.ended_nodes())
        for node in self.nodes.values():
            try:
                if (await http11.call(node["ready"], "GET", "/api/ready"))[0] != 200:
                    return False
            except (OSError, asyncio.TimeoutError, ValueError):
                return False
        return True

    async def start_worker(self, place, address=None, labels=None, capacity=None):
        """Starts a new life at a place: a new id, at the address of the former life if it is given."""
        await self.start_workers([place], address, labels, capacity)

    async def start_workers(self, places, address=None, labels=None, capacity=None):
        """Starts workers that share one process."""
        lives = []
        for place in places:
            self.lives += 1
            host = "127.0.%d.%d" % (1 + place // 200, 1 + place % 200)
            lives.append(dict(id="i-%06x" % (0x7f3a90 + self.lives), store=self.store, service=SERVICE,
                              zone="zone-a", address=address or "%s:%d" % (host, free_port(host)),
                              labels=labels or ["a", "r1-%d" % (place // 8 + 1)], capacity=capacity,
                              heartbeat_ms=HEARTBEAT_MS, stop_grace_ms=STOP_GRACE_MS,
                              max_hold_ms=BOUNDS["max_hold_ms"]))
        path = os.path.join(self.temporary.name, "workers-%d.json" % self.lives)
        with open(path, "w") as file:
            json.dump(lives, file)
        process = await self.launch(PYTHON, os.path.join(HERE, "worker.py"), path, output=asyncio.subprocess.PIPE)
        for place, life in zip(places, lives):
            self.workers[place] = dict(life, process=process)
        self.readers.append(asyncio.create_task(self.read_events(process)))

    async def read_events(self, process):
        async for line in process.stdout:
            event = json.loads(line)
            event["t"] = round(event["t"] - self.begun, 3)
            self.events.append(event)
            self.note("worker", **{key: value for key, value in event.items() if key not in ("t", "kind")},
                      at=event["t"])

    async def crash_worker(self, place):
        """SIGKILL: the worker sends nothing, and everything that runs on it ends."""
        worker = self.workers.pop(place)
        worker["process"].send_signal(signal.SIGKILL)
        at = round(self.now(), 3)
        await worker["process"].wait()
        self.events.append(dict(t=at, worker=worker["id"], event="crash"))
        self.note("crash", worker=worker["id"], place=place)
        return worker

    async def metric(self, number, name):
        """Returns a gauge of a process, or None."""
        try:
            _, text = await http11.call(self.nodes[number]["metrics"], "GET", "/metrics", parse=False)
        except (OSError, asyncio.TimeoutError):
            return None
        found = re.search(rb"^%s (\d+)" % name.encode(), text, re.MULTILINE)
        return int(found.group(1)) if found else None

    async def holder(self):
        """Returns the number of the process whose metrics say that it decides, or None."""
        for number, node in self.nodes.items():
            if node["process"].returncode is None and await self.metric(number, "dff_holder_is_holding") == 1:
                return number
        return None

    def ended_nodes(self):
        """Returns the processes of the product that have ended by themselves, with their exit codes."""
        return {number: node["process"].returncode for number, node in self.nodes.items()
                if node["process"].returncode is not None}

    async def all_listed(self, places):
        status, answer = await http11.call(self.store, "GET", "/api/rows-get?table=servers&part=")
        return status == 200 and len(answer["rows"]) >= places

    async def ask(self, method, queue, job, body=None, node=0, timeout=3.0):
        """Returns (status, answer), or (None, reason) without an answer."""
        path = "/%s/%s" % (queue, job)
        headers = {"Host": HOST, "Dragonflyfold-Credential": "key-of-tenant",
                   "Dragonflyfold-Deadline-Ms": str(int(timeout * 1000))}
        sent = self.now()
        try:
            status, answer = await http11.call(self.nodes[node]["front"], method, path, body, headers, timeout)
        except (OSError, asyncio.TimeoutError, ValueError) as error:
            status, answer = None, type(error).__name__
        self.note("client", method=method, path=path, node=node, sent=round(sent, 3), status=status, answer=answer)
        return status, answer

    async def submit(self, queue, job, steps, spec):
        """Submits until a 2xx response, at another process after each attempt without one."""
        for attempt in range(10):
            status, _ = await self.ask("POST", queue, job, dict(spec=json.dumps(spec), steps=steps),
                                       node=attempt % self.n_nodes)
            if status is not None and 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("a job was not accepted")

    def running(self):
        """Returns the open runs: (task, run) -> (worker, time of the start)."""
        found = {}
        for event in self.events:
            if event["event"] == "start":
                found[event["task"], event["run"]] = (event["worker"], event["t"])
            elif event["event"] == "end":
                found.pop((event["task"], event["run"]), None)
            elif event["event"] in ("crash", "left"):
                found = {key: at for key, at in found.items() if at[0] != event["worker"]}
        return found

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        await asyncio.gather(*self.readers, return_exceptions=True)
        self.note("ended")
        self.record.close()
        self.temporary.cleanup()


def main(folder, scenario):
    """scenario(site, trouble) returns the broken rule as a text, or None. Exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        site = scenario.site(folder)
        try:
            await site.open()
            broken = await asyncio.wait_for(scenario.play(site, trouble), 95)
        finally:
            await site.close()
        return broken

    try:
        broken = asyncio.run(play())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print("could not run: %s" % (error or type(error).__name__))
        sys.exit(2)
    print(("broken: %s" % broken) if broken else "held")
    sys.exit(1 if broken else 0)
