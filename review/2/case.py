"""The sidecar of a minion is killed while many short tasks end there: are tasks run again?"""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import deployment as d

JOB = "5c0e7a21d94b36f8"
MINIONS = 9
LABEL = "b"
COUNT = 3200
WORK_MS = 2500
# Later tasks of the step are shorter, so the first ones end last.
LESS_US = 350
SIDECAR_DOWN_S = 1.0


def starts_of(events):
    return [each for each in events if each["what"] == "start" and each["task"].startswith(JOB)]


def started_again_after_done(events):
    """Returns the starts of tasks that were done, with the end taken note of then or later."""
    acknowledged = {}
    for each in events:
        if each["what"] == "acknowledged":
            acknowledged[each["minion"]] = max(acknowledged.get(each["minion"], 0), each["cursor"])
    done = {}
    for each in events:
        if each["what"] == "end" and each["how"] == "done" and each["n"] <= acknowledged.get(each["minion"], 0):
            done.setdefault(each["task"], each)
    return [
        (done[each["task"]], each)
        for each in starts_of(events)
        if each["task"] in done and each["t"] > done[each["task"]]["t"]
    ]


def wait_for_first_end(deployment):
    until = time.monotonic() + 10
    while time.monotonic() < until:
        if any(each["what"] == "end" for each in deployment.minion_events()):
            return
        time.sleep(0.01)
    raise d.NotRun("no task ended")


def play(deployment, trouble):
    deployment.put_config([d.route()])
    deployment.wait_ready()
    time.sleep(2)
    job = {
        "task_spec": json.dumps({"work_ms": WORK_MS, "less_us": LESS_US}),
        "phases": [
            {"count": COUNT, "cpu": 10, "mem_mb": 10, "estimate_ms": WORK_MS, "required_label": LABEL}
        ],
    }
    if deployment.consumer("POST", JOB, job)[0] != 200:
        raise d.NotRun("the submission was not accepted")
    wait_for_first_end(deployment)
    deployment.note("tasks started", count=len(starts_of(deployment.minion_events())))
    if trouble:
        machine = deployment.minions[0].machine
        machine.kill("sidecar")
        deployment.note("process killed", role="sidecar", machine=machine.name)
        time.sleep(SIDECAR_DOWN_S)
        machine.start("sidecar")
        deployment.note("process started again", role="sidecar", machine=machine.name)
    until = time.monotonic() + 60
    state = ""
    while time.monotonic() < until and state not in ("completed", "failed", "cancelled"):
        status, answer = deployment.consumer("GET", JOB, tries_s=10)
        state = answer["state"] if status == 200 and answer else ""
        time.sleep(1)
    deployment.note("state at the end", state=state)
    # The ends that were listed last are acknowledged with the next call.
    time.sleep(3)
    again = started_again_after_done(deployment.minion_events())
    for end, start in again[:5]:
        deployment.note(
            "run again",
            task=start["task"],
            done_attempt=end["attempt"],
            done_on=end["minion"],
            done_n=end["n"],
            started_attempt=start["attempt"],
            started_on=start["minion"],
            s_after_done=round(start["t"] - end["t"], 3),
        )
    return f"TWICE: {len(again)} of {COUNT} tasks were started again after they had ended done" if again else ""


def labels_of(number):
    return [LABEL if number == 0 else "a", f"r1-{number // 3}"]


d.run_case(os.path.dirname(os.path.abspath(__file__)), play, MINIONS, labels_of)
