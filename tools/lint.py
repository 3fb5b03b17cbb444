#!/usr/bin/env python3
"""Runs clang-tidy on all sources of the project; its findings are errors.

Each source is checked once, with the flags of its first build target. Some
sources are built again with injected faults and would be checked twice. A
source that passed is recorded in the user's cache under a hash of all files it
was built from, and is skipped until one of them changes. LINT_CACHE sets the
cache folder.

Usage: lint.py [SOURCE...], after a build.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
CACHE = pathlib.Path(
    os.environ.get("LINT_CACHE")
    or pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache")
    / "celerylift-lint"
)
JOBS = os.cpu_count() or 1


def output_of(*command):
    return subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True).stdout


def read_dependencies():
    """Maps the path of each object to the files it was built from."""
    files, current = {}, None
    for line in output_of("ninja", "-C", str(BUILD), "-t", "deps").splitlines():
        if line.startswith("    "):
            files[current].append(BUILD / line.strip())
        elif ": #deps" in line:
            current = line.split(":", 1)[0]
            files[current] = []
    return files


class Digests:
    """Hashes of files. Each file is read once."""

    def __init__(self):
        self.known = {}

    def of(self, path):
        if path not in self.known:
            self.known[path] = hashlib.sha256(path.read_bytes()).hexdigest()
        return self.known[path]


def stamp_of(entry, dependencies, digests, settings):
    """The cache file that records that a source passed, or None if it is not built."""
    flags = entry["command"].split()
    inputs = dependencies.get(flags[flags.index("-o") + 1])
    if not inputs:
        return None
    total = hashlib.sha256(settings)
    # The hash ignores the path of the checkout and the order of the flags,
    # because CMake does not list the folders of a package in a stable order.
    total.update(" ".join(sorted(w.replace(str(ROOT), "") for w in flags)).encode())
    for digest in sorted(digests.of(path) for path in inputs):
        total.update(digest.encode())
    return CACHE / total.hexdigest()


def lint(source, database, stamp):
    if stamp and stamp.exists():
        return source, "cached", ""
    result = subprocess.run(
        ["clang-tidy", "-p", database, "--quiet", source],
        cwd=ROOT, capture_output=True, text=True,
    )
    if result.returncode != 0:
        return source, "failed", result.stdout + result.stderr
    if stamp:
        stamp.touch()
    return source, "passed", ""


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    entries = {}
    for entry in json.loads((BUILD / "compile_commands.json").read_text()):
        entries.setdefault(os.path.relpath(entry["file"], ROOT), entry)
    listed = output_of("git", "ls-files", "-co", "--exclude-standard", "*.cpp").split()
    sources = sys.argv[1:] or listed
    unbuilt = [s for s in sources if s not in entries]
    if unbuilt:
        print("lint: no target builds these sources; add them to a CMakeLists.txt:", *unbuilt)
        return 1
    settings = (ROOT / ".clang-tidy").read_bytes() + output_of("clang-tidy", "--version").encode()
    dependencies, digests = read_dependencies(), Digests()
    counts = {"passed": 0, "cached": 0, "failed": 0}
    with tempfile.TemporaryDirectory() as database, concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        database_file = pathlib.Path(database) / "compile_commands.json"
        database_file.write_text(json.dumps(list(entries.values())))
        work = [
            pool.submit(lint, s, database, stamp_of(entries[s], dependencies, digests, settings))
            for s in sources
        ]
        for done in concurrent.futures.as_completed(work):
            source, outcome, text = done.result()
            counts[outcome] += 1
            if outcome == "failed":
                print(f"lint: {source} failed\n{text}", flush=True)
    print("lint:", ", ".join(f"{n} {outcome}" for outcome, n in counts.items()))
    return 1 if counts["failed"] else 0


sys.exit(main())
