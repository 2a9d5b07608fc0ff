#!/usr/bin/env python3
"""Runs clang-tidy on source files, in parallel.

usage: Meta/lint.py COMPILE_COMMANDS_DIR FILE...

A file that was clean is not analysed again while everything that the result depends on stays the same: the file
with all its headers, the compiler's flags, the configuration and the version of clang-tidy. The records of clean
files are kept in $STAGEPOST_LINT_CACHE, or ~/.cache/stagepost-lint.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CLANG_TIDY = "clang-tidy-16"
CACHE = pathlib.Path(os.environ.get("STAGEPOST_LINT_CACHE", pathlib.Path.home() / ".cache" / "stagepost-lint"))


def compile_flags(directory):
    """Returns the directory and the flags with which each file is compiled."""
    flags = {}
    for entry in json.loads((directory / "compile_commands.json").read_text()):
        words = shlex.split(entry["command"])
        start = next(index for index, word in enumerate(words) if word.endswith("c++") or word.endswith("g++"))
        output = words.index("-o")
        flags[os.path.realpath(entry["file"])] = entry["directory"], words[start:output] + words[output + 2:]
    return flags


def cache_key(path, compilation, tool):
    """Returns a hash of all that the result for the file depends on; none if that is not known."""
    if not compilation:
        return None
    directory, command = compilation
    # The output has all headers, with comments and macros, since NOLINT comments and macros affect the result.
    compiler = [word for word in command if word not in ("-c", "-MD")]
    preprocessed = subprocess.run([*compiler, "-E", "-P", "-C", "-dD"], cwd=directory, capture_output=True, check=False)
    if preprocessed.returncode:
        return None
    root = os.getcwd()
    flags = [word.replace(root, "") for word in command]
    inputs = (tool, path, json.dumps(flags), pathlib.Path(".clang-tidy").read_bytes(), preprocessed.stdout)
    digest = hashlib.sha256()
    for each in inputs:
        digest.update(each if isinstance(each, bytes) else each.encode())
        digest.update(b"\0")
    return digest.hexdigest()


def lint(path, directory, compilation, tool):
    """Returns whether the file is clean, and the findings."""
    key = cache_key(path, compilation, tool)
    if key and (CACHE / key).exists():
        return True, ""
    command = [CLANG_TIDY, "-p", str(directory), "--quiet", "--extra-arg=-Wno-unknown-warning-option", path]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    is_clean = result.returncode == 0 and not result.stdout.strip()
    if is_clean and key:
        (CACHE / key).touch()
    errors = "\n".join(line for line in result.stderr.splitlines() if "warnings generated" not in line)
    return result.returncode == 0, result.stdout + errors


def main():
    directory = pathlib.Path(sys.argv[1])
    CACHE.mkdir(parents=True, exist_ok=True)
    flags = compile_flags(directory)
    tool = subprocess.run([CLANG_TIDY, "--version"], capture_output=True, text=True, check=True).stdout
    all_clean = True
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as workers:
        jobs = [workers.submit(lint, path, directory, flags.get(os.path.realpath(path)), tool) for path in sys.argv[2:]]
        for job in concurrent.futures.as_completed(jobs):
            is_clean, findings = job.result()
            all_clean &= is_clean
            if findings.strip():
                print(findings, flush=True)
    return 0 if all_clean else 1


if __name__ == "__main__":
    sys.exit(main())
