"""One submission that can never be done asks for very many tasks: what becomes of the others?"""
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import deployment as d

MINIONS = 4
NORMAL = 20
POISON = "00000000000000ff"
POISON_STEPS = 40
POISON_COUNT = 100000
TRAFFIC_S = 3.0
FINISH_S = 14.0
BUDGET_S = 3.0
MEMORY_MB = 260
RESTART_S = 0.5


class MemoryLimit:
    """The platform: a process that uses more than `memory_mb` is killed and started again."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.kills = 0
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        restart_at = {}
        while not self.is_stopped.wait(0.02):
            for edge in self.deployment.edges:
                process = edge.processes["control"]
                if edge.name in restart_at:
                    if time.monotonic() >= restart_at[edge.name]:
                        del restart_at[edge.name]
                        edge.start("control")
                elif process.poll() is not None:
                    self.deployment.note("process ended by itself", role="control", machine=edge.name)
                    restart_at[edge.name] = time.monotonic() + RESTART_S
                elif (used := memory_mb(process)) > MEMORY_MB:
                    edge.kill("control")
                    self.kills += 1
                    self.deployment.note("killed: over its memory", role="control", machine=edge.name, used_mb=used)
                    restart_at[edge.name] = time.monotonic() + RESTART_S

    def stop(self):
        self.is_stopped.set()
        self.thread.join()


def memory_mb(process):
    try:
        with open(f"/proc/{process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) // 1024
    except OSError:
        pass
    return 0


def normal_job():
    step = {"count": 3, "cpu": 480, "mem_mb": 960, "estimate_ms": 300}
    return {
        "task_spec": json.dumps({"work_ms": 300}),
        "phases": [step, {**step, "depends_on": [0]}],
    }


def poison_job():
    step = {"count": POISON_COUNT, "cpu": 480, "mem_mb": 960, "estimate_ms": 300, "required_label": "none-has-it"}
    return {"task_spec": "{}", "phases": [step] * POISON_STEPS}


def send(deployment, job, body):
    return deployment.consumer("POST", job, body, tries_s=BUDGET_S)[0] == 200


def is_running(deployment, job):
    running = set()
    for each in deployment.minion_events():
        if each["what"] == "start":
            running.add((each["minion"], each["task"], each["attempt"]))
        if each["what"] == "end":
            running.discard((each["minion"], each["task"], each["attempt"]))
    return any(task.startswith(job) for _, task, _ in running)


def play(deployment, trouble):
    deployment.put_config([d.route()])
    deployment.wait_ready()
    time.sleep(2)
    limit = MemoryLimit(deployment)
    accepted = []
    for number in range(NORMAL):
        job = f"{number + 1:016x}"
        if send(deployment, job, normal_job()):
            accepted.append(job)
        if trouble and number == NORMAL // 2:
            deployment.note("poison", accepted=send(deployment, POISON, poison_job()))
        time.sleep(TRAFFIC_S / NORMAL)
    deployment.note("end of the traffic", accepted=len(accepted))
    time.sleep(FINISH_S)
    unanswered, idle = [], []
    for job in accepted:
        status, answer = deployment.consumer("GET", job, tries_s=BUDGET_S)
        if status != 200:
            unanswered.append(job)
        elif answer["state"] not in ("completed",):
            idle.append(job)
        if len(unanswered) + len(idle) >= 5:
            break
    # Nothing may be running for 3 s while a task's turn has come; the minions are nearly empty.
    until = time.monotonic() + 3
    while idle and time.monotonic() < until:
        idle = [job for job in idle if not is_running(deployment, job)]
        time.sleep(0.1)
    limit.stop()
    deployment.note("found", unanswered=len(unanswered), with_nothing_running=len(idle), kills=limit.kills)
    if unanswered or idle:
        return (
            f"LOST: {FINISH_S:.0f} s after the traffic {len(unanswered)} of the accepted submissions asked for got no "
            f"answer in time and {len(idle)} have nothing running; {limit.kills} kills for memory"
        )
    return ""


d.run_case(os.path.dirname(os.path.abspath(__file__)), play, MINIONS, lambda number: ["a", f"r1-{number}"])
