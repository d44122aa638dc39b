"""Stand-in of a minion: one boot in one process.

It follows the pages "Running tasks" and "Service discovery". `task_spec` of the
stand-in's consumer is a JSON text: the work of a task is `work_ms`, up to
`more_ms` more, which differs from task to task, and `less_us` less for each
task of the step before it. A task that lasts has no `work_ms`. Every call and every change of a run is
written to the record file as one JSON object a line, with the time of the
steady clock of the machine.
"""
import argparse
import asyncio
import json
import os
import time

OK, BAD, CONFLICT, OTHER_BOOT = 200, 400, 409, 421
REASONS = {OK: "OK", BAD: "Bad Request", CONFLICT: "Conflict", OTHER_BOOT: "Misdirected Request"}
MAX_LISTED_ENDS = 500
STOP_S = 0.05
# A prime, so that the work of tasks differs without an order.
SPREAD = 7919
# Time after which a call that gets no answer is carried out.
LATE_S = 10.0


class Minion:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.record_file = os.open(options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.token = 0
        self.lease = 0
        self.running = {}  # (task, attempt) -> {"checkpoint", "timer", "began"}
        self.barred = {}  # task -> highest attempt that was stopped or has ended here
        self.ended = []  # [number, task, attempt, how, checkpoint]
        self.ends = 0
        self.end_noted = asyncio.Event()
        self.lease_timer = None
        self.record("boot", id=options.id, born=self.born)

    def record(self, what, **fields):
        line = {"t": round(time.monotonic(), 4), "minion": self.options.id, "what": what, **fields}
        os.write(self.record_file, (json.dumps(line) + "\n").encode())

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def extend(self, deadline):
        limit = self.clock() + self.options.max_hold_ms
        self.lease = max(self.lease, min(int(deadline), limit))
        if self.lease_timer:
            self.lease_timer.cancel()
        wait = max(0, self.lease - self.clock()) / 1000 + 0.002
        self.lease_timer = asyncio.get_running_loop().call_later(wait, self.lapse)

    def lapse(self):
        if self.clock() >= self.lease:
            for run in list(self.running):
                self.end(run, "lapsed")

    def end(self, run, how):
        state = self.running.pop(run, None)
        if state is None:
            return
        if state["timer"]:
            state["timer"].cancel()
        self.ends += 1
        task, attempt = run
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        self.ended.append([self.ends, task, attempt, how, ""])
        self.record("end", n=self.ends, task=task, attempt=attempt, how=how)
        self.end_noted.set()

    def is_fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def start(self, body):
        run = (body["task"], body["attempt"])
        if self.is_fenced(body):
            return self.refuse(run, "fence")
        if body["deadline_ms"] <= self.clock():
            return self.refuse(run, "late")
        self.extend(body["deadline_ms"])
        if run in self.running:
            return OK, {}
        if self.barred.get(run[0], 0) >= run[1]:
            return self.refuse(run, "old")
        spec = json.loads(body["task_spec"])
        timer = None
        if "work_ms" in spec:
            index = int(run[0].rsplit(".", 1)[1])
            work_ms = spec["work_ms"] + index * SPREAD % max(1, spec.get("more_ms", 0))
            work_ms = max(1, work_ms - index * spec.get("less_us", 0) / 1000)
            timer = asyncio.get_running_loop().call_later(work_ms / 1000, self.end, run, "done")
        self.running[run] = {"timer": timer, "began": time.monotonic()}
        self.record("start", task=run[0], attempt=run[1], token=body["fencing_token"])
        return OK, {}

    def refuse(self, run, reason):
        self.record("start refused", task=run[0], attempt=run[1], reason=reason)
        return CONFLICT, {"reason": reason}

    def stop(self, body):
        run = (body["task"], body["attempt"])
        if self.is_fenced(body):
            return CONFLICT, {"reason": "fence"}
        self.record("stop", task=run[0], attempt=run[1])
        self.barred[run[0]] = max(self.barred.get(run[0], 0), run[1])
        if run in self.running:
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return OK, {}

    async def hold(self, body):
        if self.is_fenced(body):
            return CONFLICT, {"reason": "fence"}
        cursor = body["ack_cursor"]
        if self.ended and self.ended[0][0] <= cursor:
            self.record("acknowledged", cursor=cursor)
            self.ended = [each for each in self.ended if each[0] > cursor]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.end_noted.clear()
            try:
                await asyncio.wait_for(self.end_noted.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = []
        for (task, attempt), state in sorted(self.running.items()):
            at_work = 100 if state["timer"] is None else 50
            running.append([task, attempt, "", at_work, 0])
        return OK, {"running": running, "ended": self.ended[:MAX_LISTED_ENDS]}

    def is_late(self):
        """While this file exists, calls get no answer and are carried out late."""
        return os.path.exists(self.options.record + ".late." + self.options.id)

    async def carry_out_late(self, path, headers, body):
        self.record("call left unanswered", path=path)
        await asyncio.sleep(LATE_S)
        self.record("call carried out late", path=path)
        await self.answer(path, headers, body)
        await asyncio.sleep(3600)

    async def answer(self, path, headers, body):
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.options.id:
            return OTHER_BOOT, {}
        try:
            body = json.loads(body)
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                return self.stop(body)
            if path == "/hold":
                return await self.hold(body)
            if path == "/pace":
                return (CONFLICT, {"reason": "fence"}) if self.is_fenced(body) else (OK, {})
        except (ValueError, KeyError, TypeError):
            pass
        return BAD, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path = head[0].split()[1]
                if self.options.record_calls:
                    self.record("call", path=path)
                if self.is_late():
                    await self.carry_out_late(path, headers, body)
                status, fields = await self.answer(path, headers, body)
                if path == "/hold" and self.options.record_calls:
                    self.record("hold answered")
                fields["server_time_ms"] = self.clock()
                fields["born"] = self.born
                text = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def ping_once(self, sequence):
        options = self.options
        text = json.dumps(
            {
                "service": options.service,
                "address": f"{options.ip}:{options.port}",
                "zone": options.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "warmup_left_ms": 0,
                "capacity": {"cpu": options.cpu, "mem_mb": options.mem_mb, "gpu": 0},
                "labels": options.labels.split(","),
                "server_time_ms": self.clock(),
                "born": self.born,
                "seq": sequence,
            }
        ).encode()
        host, port = options.sidecar.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"PUT /instances/{options.id} HTTP/1.1\r\nHost: {options.sidecar}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode()
                + text
            )
            await writer.drain()
            return int((await reader.readline()).split()[1])
        finally:
            writer.close()

    async def ping(self):
        sequence = 0
        while True:
            sequence += 1
            try:
                status = await asyncio.wait_for(self.ping_once(sequence), 1)
            except (OSError, asyncio.TimeoutError, IndexError, ValueError):
                status = 0
            if sequence == 1 or status != OK:
                self.record("ping", status=status)
            await asyncio.sleep(self.options.heartbeat_ms / 1000 if status == OK else 0.1)

    async def run(self):
        server = await asyncio.start_server(self.serve, self.options.ip, self.options.port, reuse_address=True)
        async with server:
            await self.ping()


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "ip", "sidecar", "service", "zone", "labels", "record"):
        parser.add_argument("--" + name, required=True)
    for name in ("port", "cpu", "mem-mb", "max-hold-ms", "heartbeat-ms", "record-calls"):
        parser.add_argument("--" + name, type=int, required=True)
    options = parser.parse_args()

    async def run():
        await Minion(options).run()

    asyncio.run(run())


if __name__ == "__main__":
    main()
