"""Stand-in of the platform's store: rows with versions, transactions, a feed, and entries of workers.

store.py ADDRESS HEARTBEAT_MS

The operator and the workers write through /platform/put and /platform/remove, which are not part of the
published interface. A worker's entry is removed after three heartbeat intervals of silence."""

import asyncio
import sys
import time
from bisect import bisect_right

import http11

TX_S = 0.005
ANSWER_ROWS = 500
ROW_BYTES = 65536


class Store:
    def __init__(self, heartbeat_ms):
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.log = []  # (ver, table, part, key, value or None)
        self.ver = 0
        self.changed = asyncio.Event()
        self.heard = {}
        self.silence_s = 3 * heartbeat_ms / 1000

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def apply(self, writes, removals):
        self.ver += 1
        for at, value in writes:
            self.rows[at] = (value, self.ver)
            self.log.append((self.ver, *at, value))
        for at in removals:
            if self.rows.pop(at, None) is not None:
                self.log.append((self.ver, *at, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def stamp(self, **answer):
        return dict(answer, ver=self.ver, now_ms=self.now_ms())

    async def transact(self, request):
        body = request.json()
        names = lambda rows: [(row["table"], row.get("part", ""), row["key"]) for row in rows]
        expected, writes, removals = (body.get(key) or [] for key in ("expected_rev", "writes", "remove"))
        if len(expected) + len(writes) + len(removals) > 100 or len(request.body) > 1 << 20:
            return 400, {"reason": "too large"}
        if any(len(row["value"]) * 3 // 4 > ROW_BYTES + 2 for row in writes):
            return 400, {"reason": "row too large"}
        if any(row["table"] in ("op", "servers") for row in writes + removals):
            return 403, {}
        await asyncio.sleep(TX_S)
        present = [(at, self.rows.get(at, (None, 0))) for at in names(expected)]
        if any(row["ver"] != found[1] for row, (_, found) in zip(expected, present)):
            rows = [dict(table=at[0], part=at[1], key=at[2], value=value, ver=ver)
                    for at, (value, ver) in present if ver > 0]
            return 412, self.stamp(rows=rows)
        self.apply(list(zip(names(writes), [row["value"] for row in writes])), names(removals))
        return 200, self.stamp()

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", ANSWER_ROWS)), ANSWER_ROWS)
        keys = sorted(key for at_table, at_part, key in self.rows
                      if at_table == table and at_part == part and key >= low
                      and (high is None or key < high))
        rows = [dict(table=table, part=part, key=key, value=self.rows[table, part, key][0],
                     ver=self.rows[table, part, key][1]) for key in keys[:limit]]
        return 200, self.stamp(rows=rows, has_more=len(keys) > limit)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            first = bisect_right(self.log, after, key=lambda entry: entry[0])
            changes = [entry for entry in self.log[first:] if entry[1] == table]
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        ver = self.ver
        if len(changes) > ANSWER_ROWS:
            ver = changes[ANSWER_ROWS - 1][0]
            changes = [entry for entry in changes if entry[0] <= ver]
        rows = [dict(table=table, part=part, key=key, ver=at, **({"removed": True} if value is None
                                                                 else {"value": value}))
                for at, _, part, key, value in changes]
        return 200, dict(rows=rows, ver=ver, now_ms=self.now_ms())

    async def handle(self, request):
        if request.path == "/api/rows-tx":
            return await self.transact(request)
        await asyncio.sleep(0.001)
        if request.path == "/api/rows-get":
            return self.get(request.query)
        if request.path == "/api/rows-feed":
            return await self.feed(request.query)
        body = request.json()
        at = (body.get("table"), "", body.get("key"))
        if request.path == "/platform/put":
            if at[0] == "servers":
                self.heard[at] = time.monotonic()
            self.apply([(at, body["value"])], [])
            return 200, self.stamp()
        if request.path == "/platform/remove":
            self.heard.pop(at, None)
            self.apply([], [at])
            return 200, self.stamp()
        return 404, {}

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            silent = [at for at, heard in self.heard.items() if now - heard > self.silence_s]
            for at in silent:
                del self.heard[at]
            if silent:
                self.apply([], silent)


async def main():
    host, port = sys.argv[1].split(":")
    store = Store(int(sys.argv[2]))
    server = await http11.serve(host, int(port), store.handle)
    async with server:
        await asyncio.gather(server.serve_forever(), store.expire())


asyncio.run(main())
