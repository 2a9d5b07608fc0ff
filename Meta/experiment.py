#!/usr/bin/env python3
"""Runs variants of the daemon on the same days and seeds of the bench and compares them pairwise.

A variant is a list of policies in the syntax of the daemon's flag --policies. Each variant runs in
its own copy of the repository. Results are saved in the output folder, and a restarted experiment
runs only what is missing there. Exit status: 0 if no variant broke a rule, 1 if one did or the name
of a variant is invalid, 2 for other bad arguments, 3 if the bench gave no result for a day.
"""

import argparse
import concurrent.futures
import csv
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A price row in the bench's output: its value and its name.
PRICE = re.compile(r"^\s+-\s*(-?[\d.]+)\s+[\d.,-]+ (.+)$")
WORTH_COMPONENTS = {"whole day": "whole_day", "worst windows": "worst_windows", "worst class": "worst_class", "worst zone": "worst_hall"}


def parse_arguments():
    parser = argparse.ArgumentParser(prog="Meta/stagepost.sh experiment", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench", help="path of the users' bench")
    parser.add_argument("--site", action="append", required=True, help="site file; repeatable")
    parser.add_argument("--day", action="append", required=True, help="name or file of a day; repeatable")
    parser.add_argument("--seed", action="append", type=int, help="random seed, by default the day's own; repeatable")
    parser.add_argument("--variant", action="append", required=True, metavar="NAME[:POLICIES]", help="variant to run; repeatable, the first one is the baseline of the comparison")
    parser.add_argument("--out", default="Run/experiment", help="output folder")
    parser.add_argument("--jobs", type=int, default=3, help="number of days to run in parallel")
    parser.add_argument("--why", default="experiment", help="reason to record in the journal")
    return parser.parse_args()


def parse_variants(texts):
    result = {}
    for text in texts:
        name, _, policies = text.partition(":")
        if not re.fullmatch(r"[a-z0-9-]+", name) or name in result:
            sys.exit(f"variant '{text}': expected a unique name of lowercase letters, digits and hyphens")
        result[name] = policies
    return result


def check_policies(variants):
    """Exits with status 2 if the daemon rejects the policies of a variant."""
    program = ROOT / "Build/platform/stagepostd-platform"
    base = ["--name", "e", "--hall", "h", "--listen", "127.0.0.1:0", "--ready-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--store", "127.0.0.1:1"]
    for name, policies in variants.items():
        # The invalid log level makes the daemon exit after it has parsed the policies.
        checked = subprocess.run([program, *base, "--policies", policies, "--log-level", "none"], capture_output=True, text=True)
        if "policy '" in checked.stderr:
            print(f"variant '{name}': {checked.stderr.strip()}", file=sys.stderr)
            sys.exit(2)


def create_copy(out, name, policies):
    """Copies the repository with its uncommitted changes and adds the policies to the deploy file."""
    copy = out / "copies" / name
    if copy.exists():
        return copy
    copy.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(["git", "clone", "-q", "--no-hardlinks", ROOT, copy], check=True)
    local_changes = subprocess.run(["git", "diff", "HEAD", "--", ".", ":!journal"], cwd=ROOT, capture_output=True, check=True).stdout
    if local_changes:
        subprocess.run(["git", "apply", "-"], cwd=copy, input=local_changes, check=True)
    untracked = subprocess.run(["git", "ls-files", "-o", "--exclude-standard", "--", ".", ":!journal"], cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()
    for path in untracked:
        (copy / path).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / path, copy / path)
    deploy = copy / "deploy/system.toml"
    if policies:
        deploy.write_text(re.sub(r'^(run = ".*)"$', rf'\1 --policies {policies}"', deploy.read_text(), flags=re.M))
    subprocess.run(["git", "-c", "user.name=experiment", "-c", "user.email=experiment@localhost", "commit", "-qam", f"variant {name}"], cwd=copy, check=False)
    return copy


def parse_result(text):
    day = re.search(r"^day .*\n(\S.*?)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)", text, re.M)
    if not day:
        return None
    result = {"worth": float(day[2]), "served": float(day[3]), "refused": float(day[4]), "failed": float(day[5])}
    for label, name in WORTH_COMPONENTS.items():
        part = re.search(rf"{label} ([\d.]+)", text.split("worth ", 2)[-1])
        result[name] = float(part[1]) if part else 0.0
    result["prices"] = {found[2]: float(found[1]) for line in text.splitlines() if (found := PRICE.match(line)) and float(found[1])}
    result["classes"] = {found[1]: float(found[2]) for found in re.finditer(r"^(\S+)\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+([\d.]+)\s+[\d.]+\s+[\d.]+$", text, re.M)}
    broken = re.search(r"rules broken: (.*)", text)
    result["broken"] = broken[1] if broken else ""
    return result


class Experiment:
    def __init__(self, options, variants):
        self.options, self.variants = options, variants
        self.out = pathlib.Path(options.out).resolve()
        self.runs = [(site, day, seed) for site in options.site for day in options.day for seed in options.seed or [None]]
        self.results = {}

    def key(self, variant, run):
        site, day, seed = run
        return f"{variant}_{pathlib.Path(site).stem}_{pathlib.Path(day).stem}_{seed if seed is not None else 'own'}"

    def run_day(self, variant, copy, run):
        site, day, seed = run
        output = self.out / (self.key(variant, run) + ".txt")
        if not (output.exists() and parse_result(output.read_text())):
            day = str(pathlib.Path(day).resolve()) if pathlib.Path(day).exists() else day
            command = [self.options.bench, "run", str(pathlib.Path(site).resolve()), day, "--jobs", "1", "--why", f"{self.options.why} (trial), variant {variant}"]
            command += ["--seed", str(seed)] if seed is not None else []
            output.write_text(subprocess.run(command, cwd=copy, capture_output=True, text=True).stdout)
        return parse_result(output.read_text())

    def run(self):
        self.out.mkdir(parents=True, exist_ok=True)
        copies = {name: create_copy(self.out, name, policies) for name, policies in self.variants.items()}
        for copy in copies.values():
            subprocess.run([self.options.bench, "build"], cwd=copy, capture_output=True)
        jobs = [(variant, run) for run in self.runs for variant in self.variants]
        with concurrent.futures.ThreadPoolExecutor(self.options.jobs) as pool:
            futures = {pool.submit(self.run_day, variant, copies[variant], run): (variant, run) for variant, run in jobs}
            for number, future in enumerate(concurrent.futures.as_completed(futures), 1):
                variant, run = futures[future]
                self.results[variant, run] = future.result()
                result = future.result()
                print(f"{number}/{len(jobs)} {self.key(variant, run)}: " + (f"worth {result['worth']:.3f} {result['broken']}" if result else "no result"), flush=True)
        self.merge_journals(copies)

    def merge_journals(self, copies):
        """Copies the journal entries of the runs into the repository's journal."""
        for copy in copies.values():
            shutil.copytree(copy / "journal", ROOT / "journal", dirs_exist_ok=True)

    def rows(self):
        base = next(iter(self.variants))
        for site in self.options.site:
            for variant in self.variants:
                pairs = [(self.results[base, run], self.results[variant, run]) for run in self.runs if run[0] == site]
                yield self.row(site, variant, [pair for pair in pairs if all(pair)], len(pairs))

    def row(self, site, variant, pairs, count):
        row = {"site": pathlib.Path(site).stem, "variant": variant, "plays": f"{len(pairs)}/{count}"}
        for name in ("worth", "served", "refused", "failed", *WORTH_COMPONENTS.values()):
            differences = [new[name] - old[name] for old, new in pairs]
            row[name] = round(statistics.fmean([new[name] for _, new in pairs]), 4) if pairs else None
            row[name + "_difference"] = round(statistics.fmean(differences), 4) if pairs else None
            if name == "worth":
                row["worth_spread"] = round(statistics.pstdev(differences), 4) if pairs else None
        prices = {price for old, new in pairs for price in (*old["prices"], *new["prices"])}
        changes = {price: statistics.fmean([new["prices"].get(price, 0) - old["prices"].get(price, 0) for old, new in pairs]) for price in prices}
        row["prices_changed"] = "; ".join(f"{price} {change:+.4f}" for price, change in sorted(changes.items(), key=lambda item: -abs(item[1])) if abs(change) >= 0.001)
        row["broken"] = "; ".join(sorted({new["broken"] for _, new in pairs if new["broken"]}))
        return row

    def write(self):
        rows = list(self.rows())
        with open(self.out / "table.csv", "w", newline="") as file:
            writer = csv.DictWriter(file, rows[0].keys())
            writer.writeheader()
            writer.writerows(rows)
        (self.out / "results.json").write_text(json.dumps({self.key(*key): value for key, value in self.results.items()}, indent=1))
        columns = ("site", "variant", "plays", "worth", "worth_difference", "worth_spread", "served", "refused", "failed", "worst_windows", "worst_class", "worst_hall")
        lines = ["  ".join(f"{column:>16}" for column in columns)]
        lines += ["  ".join(f"{str(row[column])[-16:]:>16}" for column in columns) + (f"  BROKEN: {row['broken']}" if row["broken"] else "") for row in rows]
        lines += [f"{row['site']} {row['variant']}: {row['prices_changed']}" for row in rows if row["prices_changed"]]
        (self.out / "table.txt").write_text("\n".join(lines) + "\n")
        print("\n".join(lines))
        self.plot(rows)
        return rows

    def plot(self, rows):
        """Writes plot.svg: a bar per site and variant for the mean difference of worth, with its spread."""
        bars = [row for row in rows if row["worth_difference"] is not None]
        largest = max([abs(row["worth_difference"]) + row["worth_spread"] for row in bars] + [0.01])
        height, left, half = 22, 420, 260
        parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{left + 2 * half + 100}" height="{height * (len(bars) + 2)}" font-family="sans-serif" font-size="13">',
                 '<rect width="100%" height="100%" fill="white"/>', f'<text x="10" y="16">difference of worth from {bars[0]["variant"] if bars else ""}, mean and spread</text>']
        for number, row in enumerate(bars, 1):
            y, middle = height * (number + 0.2), left + half
            length = row["worth_difference"] / largest * half
            spread = row["worth_spread"] / largest * half
            colour = "#b03030" if row["broken"] else "#3070b0"
            parts.append(f'<text x="10" y="{y + 13:.1f}">{row["site"]} / {row["variant"]} ({row["plays"]})</text>')
            parts.append(f'<rect x="{min(middle, middle + length):.1f}" y="{y:.1f}" width="{abs(length):.1f}" height="{height - 8}" fill="{colour}"/>')
            parts.append(f'<line x1="{middle + length - spread:.1f}" x2="{middle + length + spread:.1f}" y1="{y + 7:.1f}" y2="{y + 7:.1f}" stroke="black"/>')
            parts.append(f'<text x="{left + 2 * half + 10}" y="{y + 13:.1f}">{row["worth_difference"]:+.3f}</text>')
        parts.append(f'<line x1="{left + half}" x2="{left + half}" y1="{height}" y2="{height * (len(bars) + 1.5)}" stroke="gray"/></svg>')
        (self.out / "plot.svg").write_text("\n".join(parts))


def main():
    options = parse_arguments()
    variants = parse_variants(options.variant)
    check_policies(variants)
    experiment = Experiment(options, variants)
    experiment.run()
    rows = experiment.write()
    if any(result is None for result in experiment.results.values()):
        sys.exit(3)
    sys.exit(1 if any(row["broken"] for row in rows) else 0)


if __name__ == "__main__":
    main()
