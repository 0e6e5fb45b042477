"""A seeded schedule of faults and planned changes over a running deployment."""

import dataclasses
import threading
import time


@dataclasses.dataclass(frozen=True)
class Window:
    """A span in which one process was disturbed."""

    name: str
    kind: str
    start: float
    end: float


class FaultSchedule:
    """Brings about one fault after the other until it is stopped."""

    def __init__(self, deployment, random, plain_ids, engine_ids, log):
        self.deployment = deployment
        self.random = random
        self.plain_ids = plain_ids
        self.engine_ids = engine_ids
        self.entries = [n.instance for n in deployment.layout.nodes if n.kind == "entry"]
        self.controls = [n.instance for n in deployment.layout.nodes if n.kind == "control"]
        self.windows = []
        self.left = []
        self.log = log
        self._busy = set()
        self._lock = threading.Lock()
        self._threads = []

    def run(self, until, mean_gap_s):
        actions = [
            (self._kill, self.entries, 3), (self._pause, self.entries, 3),
            (self._graceful, self.entries, 3), (self._kill, self.controls, 2),
            (self._pause, self.controls, 2), (self._cut_off, self.deployment.layout.sites, 3),
            (self._kill, self.engine_ids, 3), (self._crash_streams, self.engine_ids, 3),
            (self._blackhole, self.engine_ids, 2), (self._hang, self.engine_ids, 1),
            (self._lose_answers, self.plain_ids, 3), (self._pause, self.plain_ids, 2),
            (self._drain, self.engine_ids, 3), (self._leave, self.engine_ids, 1)]
        weights = [weight for _, _, weight in actions]
        while time.time() < until:
            action, targets, _ = self.random.choices(actions, weights)[0]
            self._begin(action, self.random.choice(list(targets)),
                        self.random.uniform(0.5, 5.0))
            time.sleep(self.random.expovariate(1 / mean_gap_s))
        for thread in self._threads:
            thread.join()

    def disturbed(self, name, start, end, kinds, slack_s=0.5):
        """True when a window of these kinds of `name` overlaps the span."""
        return any(w.name == name and w.kind in kinds
                   and w.start - slack_s <= end and start <= w.end + slack_s
                   for w in self.windows)

    def _begin(self, action, target, length):
        with self._lock:
            if target in self._busy:
                return
            self._busy.add(target)
        thread = threading.Thread(target=self._act, args=(action, target, length))
        self._threads.append(thread)
        thread.start()

    def _act(self, action, target, length):
        start = time.time()
        name = action.__name__.strip("_")
        self.log(f"{name} {target} {length:.1f} s")
        try:
            # The window is open while the fault lasts, so that checks made meanwhile see it.
            self.windows.append(Window(target, name, start, start + 3600))
            action(target, length)
        finally:
            self.windows = [w for w in self.windows
                            if not (w.name == target and w.start == start)]
            self.windows.append(Window(target, name, start, time.time()))
            with self._lock:
                self._busy.discard(target)

    def _kill(self, target, length):
        process = self.deployment.processes[target]
        process.kill()
        time.sleep(length / 2)
        process.start()
        self.deployment.wait_ready(target)

    def _pause(self, target, length):
        process = self.deployment.processes[target]
        process.pause()
        time.sleep(length)
        process.resume()

    def _graceful(self, target, length):
        process = self.deployment.processes[target]
        code = process.terminate(timeout=60)
        if code != 0:
            self.log(f"graceful stop of {target} ended with {code}")
        time.sleep(length / 4)
        process.start()
        self.deployment.wait_ready(target)

    def _cut_off(self, site, length):
        self.deployment.cut_off(site)
        time.sleep(length)
        self.deployment.cut_off(site, on=False)

    def _crash_streams(self, target, _):
        self.deployment.fault(target, "crash_mid_stream", count=3)

    def _blackhole(self, target, _):
        self.deployment.fault(target, "blackhole")

    def _hang(self, target, _):
        self.deployment.fault(target, "hang", count=2)

    def _lose_answers(self, target, _):
        self.deployment.fault(target, "lose_answer", count=3)

    def _drain(self, target, length):
        self._operate("drain", target)
        time.sleep(length)
        self._operate("undrain", target)

    def _operate(self, command, target):
        done = self.deployment.ctl(command, target)
        self.log(f"gentianctl {command} {target} ended with {done.returncode}")

    def _leave(self, target, length):
        with self._lock:
            if self.left:
                return
            self.left.append(target)
        self.deployment.fault(target, "leave")
        time.sleep(length)
