"""Samples where a node spends its processor time.

    ENDIVEBEAM_SETTINGS=... python benchmarks/sampler.py

runs the node of the platform. At each planned stop it prints one line
``SAMPLES {...}`` with the number of samples for each function and stage. A sample is
taken for every ``PERIOD_S`` of processor time.
"""

import json
import runpy
import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

PERIOD_S = 0.002
MAX_FUNCTIONS = 60
ROOT = Path(__file__).resolve().parent.parent

# The innermost frame of one of these modules names the stage of a sample.
STAGES = {
    "_transport.py": "sockets",
    "_parsers.py": "parse",
    "_responses.py": "parse",
    "_collectors.py": "parse",
    "_pipeline.py": "caller connection",
    "_server.py": "encode response",
    "_callers.py": "caller request",
    "_allowances.py": "allowance",
    "_allowance_requester.py": "allowance",
    "_attempts.py": "attempts",
    "_router.py": "choice",
    "_links.py": "peer stream",
    "_direct.py": "peer stream",
    "_waiters.py": "peer stream",
    "_codec.py": "codec",
    "_target.py": "target admission",
    "_admission_queue.py": "target admission",
    "_pressure.py": "target admission",
    "_target_client.py": "target connection",
    "_target_http.py": "target connection",
    "_decisions.py": "decision log",
    "_logs.py": "decision log",
    "_metrics.py": "metrics",
    "_gossip.py": "background",
    "_store_sync.py": "background",
    "_store.py": "background",
}


class Samples:
    """Number of samples for each function and stage."""

    def __init__(self) -> None:
        self.functions: Counter[str] = Counter()
        self.stages: Counter[str] = Counter()

    def add(self, number: int, frame: FrameType | None) -> None:
        """Record the innermost function and the stage of the interrupted code."""
        if frame is None:
            return
        code = frame.f_code
        self.functions[f"{Path(code.co_filename).name}:{code.co_qualname}"] += 1
        current: FrameType | None = frame
        while current is not None:
            stage = STAGES.get(Path(current.f_code.co_filename).name)
            if stage is not None:
                self.stages[stage] += 1
                return
            current = current.f_back
        self.stages["event loop"] += 1

    def reset(self, number: int, frame: FrameType | None) -> None:
        """Discard the samples taken so far."""
        self.functions.clear()
        self.stages.clear()

    def print(self) -> None:
        """Print the samples as one line."""
        functions = dict(self.functions.most_common(MAX_FUNCTIONS))
        print("SAMPLES", json.dumps([functions, dict(self.stages)]), flush=True)


def main() -> None:
    """Run the node and print the samples of its run; SIGUSR1 restarts the count."""
    samples = Samples()
    signal.signal(signal.SIGPROF, samples.add)
    signal.signal(signal.SIGUSR1, samples.reset)
    signal.setitimer(signal.ITIMER_PROF, PERIOD_S, PERIOD_S)
    sys.path[0] = str(ROOT / "platform")
    try:
        runpy.run_path(str(ROOT / "platform" / "run.py"), run_name="__main__")
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        samples.print()


if __name__ == "__main__":
    main()
