#!/usr/bin/env python3
"""Writes a random day with several faults at once, for `fleetbench run SITE FILE`.

Random days of the bench itself have few faults at a time; orders of events such as a cut that is followed by a busy
workspace, or kills while the store turns VMs away, come up here. Standard input is the output of `fleetbench kinds SITE`;
only kinds that it lists are drawn. Equal seeds and kinds give equal days."""
import argparse
import random
import re
import sys

DAY_S = 30.0
LAST_START_S = 24.0

# Parameters of a kind: a name and its range, or a list of choices. Kinds under PLANNED are planned work.
SHARE, LONG = ("share", (0.1, 0.6)), ("for_s", (2.0, 9.0))
PLANNED = {
    "config_change": [("how", ["route", "weights", "timeout", "tenant", "quota", "quota down", "idle"])],
    "config_storm": [LONG, ("gap_s", (0.3, 0.8))],
    "big_config": [("count", [200, 700, 1400])],
    "revoke": [("count", [1, 2, 3]), ("gap_s", (0.6, 1.4)), ("how", ["", "last"])],
    "evacuate": [LONG, ("zone", ["@z0"]), ("how", ["", "warm"])],
    "scale_in": [("share", (0.05, 0.2)), ("how", ["", "stay"])],
    "scale_out": [("share", (0.1, 0.4)), ("gap_s", (0.5, 2.0))],
    "release": [("share", (0.2, 0.6)), ("gap_s", (0.5, 1.5))],
    "roll_term": [("share", (0.2, 1.0)), ("gap_s", (0.8, 2.0)), ("how", ["", "busy"])],
    "hup": [SHARE, ("gap_s", (0.2, 2.0))],
}
FAULTS = {
    "burst": [("x", (1.4, 2.5)), LONG],
    "shift": [("share", (0.3, 0.8)), LONG],
    "hot_tenant": [("x", (3.0, 10.0)), LONG, ("count", [1, 2, 3])],
    "retry_abuse": [("share", (0.1, 0.4)), ("x", (1.5, 3.0)), LONG],
    "give_up": [("share", (0.1, 0.4)), LONG],
    "srv_crash": [("share", (0.05, 0.2)), LONG, ("how", ["", "dark", "gone"])],
    "srv_slow": [("share", (0.1, 0.4)), ("x", (3.0, 12.0)), LONG],
    "srv_grey": [("share", (0.1, 0.3)), ("x", (0.2, 0.6)), LONG, ("how", ["errors", "shed", "reset", "slow"])],
    "replace_with_reuse": [("share", (0.1, 0.35)), ("how", ["", "drain", "dark"])],
    "cold_return": [("zone", ["@z0"]), ("for_s", (2.0, 5.0)), ("how", ["", "dark"])],
    "idle_race": [("share", (0.3, 0.6)), ("x", (150.0, 400.0)), LONG],
    "answer_lost": [("share", (0.3, 0.6)), ("x", (0.02, 0.3)), LONG, ("how", ["", "reset"])],
    "garble": [("share", (0.2, 0.6)), ("x", (0.01, 0.05)), LONG, ("how", ["", "extra", "unframed", "early"])],
    "node_kill": [("share", (0.1, 0.3)), ("for_s", (1.0, 4.0)), ("how", ["", "power", "leader"])],
    "node_slow": [("share", (0.1, 0.3)), ("x", (2.0, 6.0)), LONG],
    "node_freeze": [("share", (0.1, 0.3)), ("for_s", (0.5, 4.0))],
    "herd_kill": [("share", (0.3, 1.0)), ("for_s", (0.5, 2.5)), ("how", ["", "power"])],
    "after_ack_kill": [("for_s", (1.0, 3.0)), ("how", ["", "kill", "timed"])],
    "zone_loss": [("zone", ["@z0"]), ("for_s", (2.0, 6.0))],
    "zone_cut": [("zone", ["@z0"]), ("for_s", (2.0, 7.0))],
    "core_cut": [("count", [1, 2, 3]), LONG, ("how", ["", "one_way", "near"])],
    "node_cut": [("share", (0.1, 0.4)), LONG, ("how", ["", "reset", "all"])],
    "lossy": [("zone", ["@z0"]), ("x", (0.01, 0.04)), LONG],
    "reset_conns": [SHARE, ("x", (0.3, 0.8))],
    "platform_down": [("for_s", (2.0, 9.0)), ("how", ["silent", "busy", "reset", "nodes busy", "nodes many", "nodes"]),
                      ("share", [0.35])],
    "platform_slow": [("x", (30.0, 90.0)), LONG],
    "platform_lost": [("x", (0.2, 0.5)), LONG, ("how", ["", "late"])],
    "platform_compact": [LONG, ("x", (1.0, 6.0))],
    "clock_step": [SHARE, ("x", (500.0, 3000.0)), LONG, ("how", ["back", "ahead"])],
}
CLOSINGS = ["kill_all", "power_off_all"]
# Faults that leave VMs with different views, followed by a workspace far above its rate.
VIEW_FAULTS = ["node_cut", "core_cut", "zone_cut", "node_kill", "herd_kill", "platform_down", "platform_lost",
               "node_freeze"]
BUSY_AFTER_S = (0.5, 4.0)


def entry(rng, kind, parameters, at):
    fields = [("at", round(at, 2)), ("kind", kind)]
    for name, choices in parameters:
        value = round(rng.uniform(*choices), 2) if isinstance(choices, tuple) else rng.choice(choices)
        if value != "":
            fields.append((name, value))
    text = ", ".join(f'{name} = "{it}"' if isinstance(it, str) else f"{name} = {it}" for name, it in fields)
    return "  { " + text + " },"


def random_day(seed, kinds):
    rng = random.Random(seed)
    planned = sorted(set(PLANNED) & kinds)
    faults = sorted(set(FAULTS) & kinds)
    plan = [entry(rng, kind, PLANNED[kind], rng.uniform(1, LAST_START_S))
            for kind in rng.choices(planned, k=rng.randint(0, 5))]
    rows = []
    start = rng.uniform(2, LAST_START_S / 2)
    for kind in rng.choices(faults, k=rng.randint(2, 7)):
        # Half of the faults come close together.
        at = min(LAST_START_S, start + rng.uniform(0, 3)) if rng.random() < 0.5 else rng.uniform(1, LAST_START_S)
        rows.append(entry(rng, kind, FAULTS[kind], at))
        if kind in VIEW_FAULTS and "hot_tenant" in kinds and rng.random() < 0.5:
            rows.append(entry(rng, "hot_tenant", FAULTS["hot_tenant"], min(LAST_START_S, at + rng.uniform(*BUSY_AFTER_S))))
    lines = [f'name = "random-{seed}"', "plan = [", *plan, "]", "faults = [", *rows, "]"]
    if rng.random() < 0.5:
        lines.append(f'closing = {{ kind = "{rng.choice(CLOSINGS)}", down_s = {rng.uniform(0.5, 1.5):.2f} }}')
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    args = parser.parse_args()
    kinds = set(re.findall(r"^([a-z_]+):", sys.stdin.read(), re.MULTILINE))
    if not kinds & set(FAULTS):
        print("random_day: standard input names no kind of fault", file=sys.stderr)
        sys.exit(2)
    sys.stdout.write(random_day(args.seed, kinds))


main()
