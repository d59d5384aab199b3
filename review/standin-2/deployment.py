"""A small deployment on loopback addresses for the scripts of the cases.

It holds stand-ins of the platform's store, of workers and of a client, which follow the users' pages
(PROTOCOL.md), and starts the project's own processes with the command and the template of
deploy/system.toml. All stand-ins share one event loop. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Settings and bounds of the deployment "podnety-sk" (sites/podnety-sk.toml, DEPLOY.md).
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10000
STOP_S = 0.1  # a stop takes at most stop_grace_ms, 400 ms
READ_S = 0.004
TX_S = 0.005
ENDS_PER_ANSWER = 500
BOUNDS = {
    "max_hold_ms": MAX_HOLD_MS,
    "config_apply_ms": 2000,
    "gang_wait_ms": 3000,
    "far_x": 3,
    "status_s": 120,
    "grace_s": 6,
}
LIMITS = {"cpu_share": 0.25, "cores": 1, "link_mbps": 1000.0}

SERVICE = "huvo11a"
HOST = "nony24.example"
KEY = "d4a3hwrr6x73d3zji9n7"
GPU_GUARANTEED = 72


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the time since the start, to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def at(self):
        return now() - self.start

    def add(self, who, text):
        self.file.write(f"{self.at():9.3f} {who}: {text}\n")
        self.file.flush()


class HttpServer:
    """A minimal HTTP/1.1 server. The handler returns (status, object), or None to close the
    connection without an answer."""

    def __init__(self, handler, ip):
        self.handler = handler
        self.ip = ip
        self.server = None
        self.tasks = set()
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        answer = await self.handler(method, url.path, query, headers, body)
        if answer is None:
            return False
        status, value = answer
        data = json.dumps(value).encode()
        writer.write(
            f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        return True

    def stop(self):
        """Closes the listener and resets all connections, as the end of the process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The platform's metadata store: rows with versions, transactions, feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.history = []  # (ver, table, part, key, value or None)
        self.ver = 0
        self.started = now()
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle, "127.0.0.1")
        self.slowness = 1  # every answer takes this many times as long
        self.part_lock = asyncio.Lock()
        # Partitions whose calls are answered with 503, and nothing is done.
        self.busy_parts = set()

    def now_ms(self):
        return int((now() - self.started) * 1000)

    def write(self, writes, removes=()):
        """Applies writes [(table, part, key, bytes)] and removes [(table, part, key)] at once."""
        self.ver += 1
        for table, part, key, value in writes:
            self.rows[(table, part, key)] = (value, self.ver)
            self.history.append((self.ver, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.history.append((self.ver, table, part, key, None))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, table, key, value):
        self.write([(table, "", key, json.dumps(value).encode())])

    def drop(self, table, key):
        self.write([], [(table, "", key)])

    def _row(self, name):
        value, ver = self.rows.get(name, (b"", 0))
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": ver,
        }

    def _answer(self, status, value):
        value.update({"ver": self.ver, "now_ms": self.now_ms()})
        return status, value

    def _transact(self, body):
        def name_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        call = json.loads(body)
        expected = call.get("expected_rev", [])
        writes = call.get("writes", [])
        removes = call.get("remove", [])
        if len(expected) + len(writes) + len(removes) > 100 or len(body) > 1 << 20:
            return self._answer(400, {"error": "too large"})
        if any(len(base64.b64decode(w["value"])) > 65536 for w in writes):
            return self._answer(400, {"error": "a row is too large"})
        if any(name_of(w)[0] in ("op", "servers") for w in writes + removes):
            return self._answer(403, {"error": "table of the platform"})
        if any(self.rows.get(name_of(e), (b"", 0))[1] != e["ver"] for e in expected):
            return self._answer(412, {"rows": [self._row(name_of(e)) for e in expected]})
        self.write(
            [(*name_of(w), base64.b64decode(w["value"])) for w in writes],
            [name_of(r) for r in removes],
        )
        return self._answer(200, {})

    def _parts_of(self, path, query, body):
        """Returns the partitions that a call concerns. A feed concerns all those of its table."""
        if path == "/api/rows-tx":
            call = json.loads(body)
            entries = call.get("expected_rev", []) + call.get("writes", [])
            return {entry.get("part", "") for entry in entries + call.get("remove", [])}
        if path == "/api/rows-feed":
            return {part for table, part, _ in self.rows if table == query["table"]}
        return {query.get("part", "")}

    def _get(self, query):
        limit = min(int(query.get("limit") or 500), 500)
        names = sorted(
            n
            for n in self.rows
            if n[0] == query["table"]
            and n[1] == query.get("part", "")
            and n[2] >= query.get("from", "")
            and ("target" not in query or n[2] < query["target"])
        )
        rows = [self._row(n) for n in names[:limit]]
        return self._answer(200, {"rows": rows, "has_more": len(names) > limit})

    async def _feed(self, query):
        after = int(query["after"])
        until = now() + int(query.get("wait_ms") or 0) / 1000
        while True:
            found = [h for h in self.history if h[0] > after and h[1] == query["table"]]
            left = until - now()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        newest = {}
        for ver, table, part, key, value in found:
            newest.pop((part, key), None)
            newest[(part, key)] = (ver, table, value)
        rows = []
        for (part, key), (ver, table, value) in newest.items():
            row = {"table": table, "part": part, "key": key, "ver": ver}
            if value is None:
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        return self._answer(200, {"rows": rows})

    async def handle(self, method, path, query, headers, body):
        if self.busy_parts & self._parts_of(path, query, body):
            return 503, {}
        if path == "/api/rows-tx":
            # A part carries out one transaction after another.
            async with self.part_lock:
                await asyncio.sleep(TX_S * self.slowness)
                return self._transact(body)
        await asyncio.sleep(READ_S * self.slowness)
        if path == "/api/rows-get":
            return self._get(query)
        if path == "/api/rows-feed":
            return await self._feed(query)
        return 404, {}


class Worker:
    """One life of a worker. What its tasks do is told by site.behave(task, run)."""

    def __init__(self, site, name, rack="r1-1", capacity=None):
        self.site = site
        self.name = name
        self.rack = rack
        self.capacity = capacity or {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
        self.started = now()
        self.fence = 0
        self.deadline = None  # on the worker's clock, ms
        self.running = {}  # task -> run's state
        self.ended = []  # [N, task, run, how, saved]
        self.n_ended = 0
        self.refused_up_to = {}  # task -> highest run stopped or ended here
        self.lapses = []  # times at which the lease expired
        self.changed = asyncio.Event()
        self.sequence = 0
        self.alive = True
        self.http = HttpServer(self.handle, "127.0.0.1")
        self.loops = []

    def clock_ms(self):
        return int((now() - self.started) * 1000) + 1

    async def start(self, port=0):
        port = await self.http.start(port)
        self.address = f"127.0.0.1:{port}"
        self.loops = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._run()),
        ]
        self.site.record.add(self.name, f"worker starts at {self.address}")

    def crash(self):
        """Ends with everything that runs here. The store drops its entry after three heartbeat
        intervals of silence."""
        self.alive = False
        self.http.stop()
        for loop in self.loops:
            loop.cancel()
        self.site.record.add(self.name, f"worker crashes; running: {sorted(self.running)}")
        for task, run in self.running.items():
            self.site.note_end(self, task, run["run"], "crashed")
        asyncio.create_task(self._lapse_entry())

    async def _lapse_entry(self):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.site.store.drop("servers", self.name)

    async def _beat(self):
        while True:
            self.sequence += 1
            self.site.store.put(
                "servers",
                self.name,
                {
                    "service": SERVICE,
                    "address": self.address,
                    "zone": "zvolen-hala",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "capacity": self.capacity,
                    "labels": ["a", self.rack],
                    "clock_ms": self.clock_ms(),
                    "sequence": self.sequence,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    def _end(self, task, how):
        run = self.running.pop(task)
        self.n_ended += 1
        self.ended.append([self.n_ended, task, run["run"], how, ""])
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), run["run"])
        self.site.note_end(self, task, run["run"], how, self.n_ended)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _run(self):
        while True:
            await asyncio.sleep(0.01)
            if self.deadline is not None and self.clock_ms() >= self.deadline:
                self.deadline = None
                self.lapses.append(now())
                self.site.record.add(self.name, "lease expires")
                for task in list(self.running):
                    self._end(task, "lapsed")
                continue
            for task, run in list(self.running.items()):
                if run["stop_at"] is not None and now() >= run["stop_at"]:
                    self._end(task, "stopped")
                elif now() >= run["begun"] + run["lasts_s"]:
                    self._end(task, run["how"])

    def _extend(self, call):
        if call.get("deadline_ms"):
            wanted = min(call["deadline_ms"], self.clock_ms() + MAX_HOLD_MS)
            self.deadline = max(self.deadline or 0, wanted)

    def _has_room(self, task):
        need = dict(self.site.need(task))
        for other in self.running:
            for key, amount in self.site.need(other).items():
                need[key] = need.get(key, 0) + amount
        return all(amount <= self.capacity[key] for key, amount in need.items())

    def _reject(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _start_run(self, call):
        task, number = call["task"], call["run"]
        if call["deadline_ms"] <= self.clock_ms():
            return self._reject("late")
        self._extend(call)
        there = self.running.get(task)
        if there is not None and there["run"] == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.refused_up_to.get(task, 0) or there is not None:
            return self._reject("old")
        if not self._has_room(task):
            return self._reject("room")
        lasts_s, how = self.site.behave(task, number)
        self.running[task] = {
            "run": number,
            "begun": now(),
            "lasts_s": lasts_s,
            "how": how,
            "stop_at": None,
        }
        self.site.note_start(self, task, number)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop_run(self, call):
        task, number = call["task"], call["run"]
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), number)
        there = self.running.get(task)
        if there is not None and there["run"] <= number and there["stop_at"] is None:
            there["stop_at"] = now() + STOP_S
        return 200, {"clock_ms": self.clock_ms()}

    def _percent(self, run):
        if run["lasts_s"] > 1e6:
            return 100
        return int(100 * min((now() - run["begun"]) / run["lasts_s"], 1))

    async def _hold(self, call):
        self._extend(call)
        cursor = call.get("ack_cursor", 0)
        for end in self.ended:
            if end[0] <= cursor:
                self.site.note_taken(self, end)
        self.ended = [end for end in self.ended if end[0] > cursor]
        until = now() + min(call.get("wait_ms", 0), 2000) / 1000
        while not self.ended and now() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        running = [
            [task, run["run"], "", self._percent(run), 0]
            for task, run in self.running.items()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "running": running,
            "ended_runs": self.ended[:ENDS_PER_ANSWER],
        }

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("dragonflyfold-expected-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        call = json.loads(body)
        if call.get("fence", 0) < self.fence:
            return self._reject("fence")
        self.fence = call.get("fence", 0)
        if path == "/api/run-start":
            return self._start_run(call)
        if path == "/api/run-stop":
            return self._stop_run(call)
        if path == "/api/hold":
            return await self._hold(call)
        return 404, {}


class Machine:
    """One process of the system, with the command and the template of the deploy file."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"front-zvolen-hala-{number}"
        self.ip = f"127.47.{os.getpid() % 250}.{number}"
        self.directory = os.path.join(site.directory, self.name)
        self.process = None

    def _fields(self):
        return {
            "node": self.name,
            "zone": "zvolen-hala",
            "region": "stredne-sk",
            "ip": self.ip,
            "port_range": [7000, 7015],
            "listen": {"front": f"{self.ip}:8521", "ready": f"{self.ip}:8523"},
            "bounds": BOUNDS,
            "limits": LIMITS,
            "platform": {"address": f"127.0.0.1:{self.site.store.http.port}"},
        }

    def _render(self, template):
        def value(match):
            path, _, form = match.group(1).partition("|")
            found = self._fields()
            for part in path.split("."):
                found = found[int(part)] if part.isdigit() else found[part]
            return json.dumps(found) if form == "json" else str(found)

        return re.sub(r"\{\{([^}]*)\}\}", value, template)

    def start(self):
        role = self.site.deploy["roles"]["entry"]
        os.makedirs(self.directory, exist_ok=True)
        settings = os.path.join(self.directory, "settings.json")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            text = self._render(template.read())
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = role["run"].split()
        words = [settings if word.startswith("/etc/dragonflyfold/") else word for word in words]
        log = open(os.path.join(self.directory, "log"), "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        self.site.record.add(self.name, f"process starts, pid {self.process.pid}")

    def kill(self, number=signal.SIGKILL):
        self.site.record.add(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        with open(os.path.join(self.directory, "log"), encoding="utf-8", errors="replace") as log:
            return log.read()


class Site:
    """The deployment, and what its clients and workers saw."""

    def __init__(self, folder, n_machines=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as deploy:
            self.deploy = tomllib.load(deploy)
        self.store = Store(self.record)
        self.machines = [Machine(self, i + 1) for i in range(n_machines)]
        self.workers = []
        self.jobs = {}  # ID -> steps
        self.starts = []  # (time, worker, task, run)
        self.ends = []  # (time, worker, task, run, how, N)
        self.taken = {}  # (worker, N) -> time
        self.behave = lambda task, run: (1.0, "done")
        self.n_workers = 0

    # What workers report.

    def need(self, task):
        job, _, step, _ = task.split(".")
        fields = self.jobs[job]["steps"][int(step)]
        return {key: fields.get(key, 0) for key in ("cpu", "mem_mb", "gpu")}

    def note_start(self, worker, task, run):
        self.starts.append((now(), worker.name, task, run))
        self.record.add(worker.name, f"starts {task} run {run}")

    def note_end(self, worker, task, run, how, number=None):
        self.ends.append((now(), worker.name, task, run, how, number))
        self.record.add(worker.name, f"ends {task} run {run} {how} number {number}")

    def note_taken(self, worker, end):
        self.taken[(worker.name, end[0])] = now()
        self.record.add(worker.name, f"end {end[0]} taken note of")

    def taken_at(self, end):
        """Returns when an end of self.ends was taken note of: when ack_cursor reached it, unless
        the worker's lease expired between the two. None: not at all."""
        at, name, _, _, _, number = end
        taken = self.taken.get((name, number))
        lapses = next(w.lapses for w in self.workers if w.name == name)
        if taken is None or any(at <= lapse <= taken for lapse in lapses):
            return None
        return taken

    # Steps of a script.

    def configure(self, version=1, max_attempts=4, priority=1):
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": "r-ce7ejsm",
                        "host": HOST,
                        "path_prefix": "/lohu930/",
                        "kind": "non_idempotent",
                        "timeout_ms": 3000,
                        "target_latency_ms": 1000,
                        "priority": priority,
                        "service": SERVICE,
                        "max_attempts": max_attempts,
                        "stretch": 3.0,
                        "public": False,
                    }
                ],
                "services": [
                    {
                        "name": SERVICE,
                        "health_path": "/health",
                        "max_conns": 64,
                        "protocol": "h1",
                        "tls": False,
                        "rejects_overload": True,
                        "spare": False,
                    }
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [
                    {
                        "name": "kaje80",
                        "api_keys": [KEY],
                        "priority": 1,
                        "guaranteed": {"gpu": GPU_GUARANTEED},
                    }
                ],
            },
        )

    async def add_worker(self, port=0, **how):
        self.n_workers += 1
        worker = Worker(self, f"i-{self.n_workers:08x}", **how)
        await worker.start(port)
        self.workers.append(worker)
        return worker

    def worker_of(self, task):
        """Returns the live worker on which a task runs, or None."""
        for worker in self.workers:
            if worker.alive and task in worker.running:
                return worker
        return None

    async def start(self, n_workers, **worker):
        await self.store.http.start()
        self.configure()
        for _ in range(n_workers):
            await self.add_worker(**worker)
        for machine in self.machines:
            machine.start()
        until = now() + 15
        while now() < until:
            if all([await self.is_ready(machine) for machine in self.machines]):
                await asyncio.sleep(2)
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, machine):
        answer = await self.request(machine.ip, 8523, "GET", "/api/ready", None, 1)
        return answer is not None and answer[0] == 200

    async def request(self, ip, port, method, path, body, timeout_s):
        """Returns (status, body), or None without a whole answer in time."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
            f"Dragonflyfold-Credential: {KEY}\r\n"
            f"Dragonflyfold-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head.encode() + data)
            answer = await reader.readuntil(b"\r\n\r\n")
            match = re.search(rb"content-length: *(\d+)", answer, re.I)
            length = int(match.group(1)) if match else 0
            return int(answer.split(b" ")[1]), await reader.readexactly(length)

        try:
            return await asyncio.wait_for(exchange(), timeout_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def call(self, machine, method, job, body=None, quiet=False):
        answer = await self.request(machine.ip, 8521, method, f"/lohu930/{job}", body, 3)
        if not quiet:
            self.record.add("client", f"{method} {job} at {machine.name}: {answer}")
        return answer

    async def submit(self, job, body, tries=5):
        """Hands a job in, at one machine after the other as a client's retries do."""
        self.jobs[job] = body
        for i in range(tries):
            machine = self.machines[i % len(self.machines)]
            answer = await self.call(machine, "POST", job, body)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, machine=None, quiet=False):
        """Returns the state that a machine shows for a job, or its status."""
        machine = machine or self.machines[0]
        answer = await self.call(machine, "GET", job, quiet=quiet)
        if answer is None:
            return None
        return json.loads(answer[1])["state"] if answer[0] == 200 else answer[0]

    def holder(self):
        """Returns the machine whose process wrote to the store last under a condition."""
        row = self.store.rows.get(("dff-cell", "cell", "holder"))
        if row is None:
            return None
        instance = json.loads(row[0])["instance"]
        for machine in self.machines:
            if instance.startswith(machine.name + "."):
                return machine
        return None

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


HELD, BROKEN, NOT_RUN = 0, 1, 2
SCRIPT_MAX_S = 112


def trouble():
    """Returns whether the script is to bring about the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(script, folder, **options):
    """Runs an async script(site), which returns HELD, BROKEN or NOT_RUN. Ends all processes that
    it started, and returns the exit code."""

    async def main():
        site = Site(folder, **options)
        script_task = asyncio.create_task(script(site))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, script_task.cancel)
        code = NOT_RUN
        try:
            code = await asyncio.wait_for(script_task, SCRIPT_MAX_S)
        except (Exception, asyncio.CancelledError) as error:
            site.record.add("script", f"could not run: {error!r}")
        finally:
            site.close()
        site.record.add("script", f"exit code {code}")
        return code

    return asyncio.run(main())
