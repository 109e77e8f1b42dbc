"""Stand-in of a group of model engines, and the start of the agents beside them.

The group makes passes while requests run. Its requests choose all experts alike, so there is nothing to rebalance;
an order that arrives all the same is refused with 409 and counted.
"""
import asyncio
import json
import os
import time

import common

SETS, EXPERTS = 2, 12
PASS_S = 0.03


class Group:
    def __init__(self, size):
        self.size, self.step, self.running, self.orders = size, 0, 0, 0

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            if self.running:
                self.step += 1

    def report(self, rank, born):
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
            "queued": 0, "running": self.running, "kvUsed": 1000, "kvTotal": 372000, "handles": 0, "pace": 1.0,
            "born": born, "group": {"name": "g1", "epoch": 1, "rank": rank, "state": "open"}, "size": self.size,
            "step": self.step, "map": 0, "prepared": None, "armed": None, "held": None,
        }


class RankEngine(common.Engine):
    """An engine that is a rank of a group. Its handler answers requests, see common.Engine."""

    def __init__(self, store, name, service, zone, handler, group, rank):
        super().__init__(store, name, service, zone, self.answer)
        self.inner, self.group, self.rank = handler, group, rank

    async def answer(self, _, line, headers, body, writer):
        path = line.split(" ")[1]
        own = [e for e in range(EXPERTS) if e % self.group.size == self.rank]
        if path == "/-/report":
            out, status = self.group.report(self.rank, self.born), 200
        elif path.startswith("/-/picked?"):
            out = {"epoch": 1, "born": self.born, "map": {"version": 0, "experts": [own] * SETS}, "prepared": None}
            status = 200
        elif path == "/-/picked":
            out = {"step": self.group.step, "epoch": 1, "born": self.born, "counts": [self.group.step * 8] * (SETS * EXPERTS)}
            status = 200
        elif path == "/-/order":
            self.group.orders += 1
            out, status = {}, 409
        else:
            self.group.running += 1
            try:
                return await self.inner(self, line, headers, body, writer)
            finally:
                self.group.running -= 1
        text = json.dumps(out).encode()
        writer.write(f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        return True


ENGINE_CONFIG = {
    "slots": 12, "kvCapacityTokens": 372000, "stride": 5, "models": [{"name": "m"}], "step_ms": 5.85, "per_seq_ms": 0.355,
    "sets": SETS, "experts": EXPERTS, "places": 5, "spare": 2, "expertMb": 88.0, "linkMbps": 180000.0, "expertShare": 0.85,
    "form_ms": 600.0, "report_lag_ms": 200.0,
}


class Agent:
    """An agent process, started with the command and template of the deploy file, beside one engine."""

    def __init__(self, folder, engine, store):
        self.folder, self.engine, self.store = folder, engine, store

    async def start(self, peer_port, agent_port):
        settings = {
            "vm": f"side-{self.engine.zone}-{self.engine.rank}", "address": self.engine.ip,
            "engine": f"{self.engine.ip}:{self.engine.port}", "peer_port": peer_port, "agent_port": agent_port,
            "log": f"{self.store.ip}:{self.store.port}", "move_price": 0.03, "log_level": "info",
        }
        path = os.path.join(self.folder, f"agent-{self.engine.rank}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        program = os.path.join(common.ROOT, "target/release/cowsliproad-rank")
        if not os.path.exists(program):
            raise common.CannotRun("the deploy build is missing")
        with open(os.path.join(self.folder, f"agent-{self.engine.rank}.log"), "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, cwd=common.ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "COWSLIPROAD_NODE_FILE": path},
            )

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
