"""Attempts per request against the depth of a chain: ``--seed 1 --runs 20``.

The leaf always fails. "layers retry" is the computed number of executions of the leaf
if every layer retries 3 times; the other columns are measured in simulated chains with
the real call path. Prints the maximum over the runs of the executions of the leaf, of
the attempts beyond the first ones, and of the calls that a draining node declined
without running them.
"""

import argparse

from loguru import logger

from .chain_model import Faults, run_chain

DEPTHS = (1, 2, 4, 8, 16, 23)
LAYER_RETRIES = 3
CREDITS = 2

CASES = {
    "failing leaf": Faults(fails=1.0),
    "targets repeat 3x": Faults(fails=1.0, target_retries=LAYER_RETRIES),
    "and streams lost": Faults(
        fails=1.0, target_retries=LAYER_RETRIES, lost_streams=0.1
    ),
    "and nodes drain": Faults(fails=1.0, target_retries=LAYER_RETRIES, drains=0.3),
}


def main() -> None:
    """Print the table of retry amplification per depth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    options = parser.parse_args()
    logger.disable("endivebeam_node")
    print(
        f"credits {CREDITS}: leaf executions / extra attempts / declined, largest run"
    )
    print(f"{'depth':>5} {'layers retry':>14} " + " ".join(f"{n:>18}" for n in CASES))
    for depth in DEPTHS:
        cells = []
        for faults in CASES.values():
            results = [
                run_chain(depth=depth, faults=faults, credits=CREDITS, seed=seed)
                for seed in range(options.seed, options.seed + options.runs)
            ]
            leaf = max(r.tally.executions[depth] for r in results)
            retries = max(r.tally.retries for r in results)
            declined = max(sum(r.tally.declined.values()) for r in results)
            cells.append(f"{leaf:>12} / {retries} /{declined:>3}")
        naive = float((1 + LAYER_RETRIES) ** depth)
        print(f"{depth:5} {naive:14.3g} " + " ".join(cells), flush=True)


if __name__ == "__main__":
    main()
