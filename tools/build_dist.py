"""Build the one file that ships: a zip application of the program and its packages.

The packages are copied from the environment that runs this tool, which was
installed from pinned hashes, so that nothing is downloaded. The design note
``docs/design/dist.md`` weighs the ways.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
from importlib.metadata import distribution
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SITE = ROOT / "build" / "site"
TARGET = ROOT / "dist" / "yuccafold"
REQUIREMENTS = ROOT / "requirements" / "runtime.txt"
INTERPRETER = "/usr/bin/env python3"


def pinned_names() -> list[str]:
    """Return the names of the packages that the program needs."""
    text = REQUIREMENTS.read_text()
    return re.findall(r"^([A-Za-z0-9_.-]+)==", text, flags=re.MULTILINE)


def copy_package(name: str) -> None:
    """Copy the installed files of one package, its metadata included."""
    for file in distribution(name).files or ():
        source = Path(str(file.locate()))
        inside = ".." not in file.parts and file.suffix != ".pyc"
        if inside and source.is_file():
            target = SITE / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, target)


def main() -> int:
    """Build ``dist/yuccafold`` and print its size."""
    shutil.rmtree(SITE, ignore_errors=True)
    SITE.mkdir(parents=True)
    for name in pinned_names():
        copy_package(name)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "src" / "yuccafold", SITE / "yuccafold", ignore=ignored)
    TARGET.parent.mkdir(exist_ok=True)
    command = ["shiv", "--site-packages", str(SITE), "--compressed"]
    command += ["--python", INTERPRETER, "--entry-point", "yuccafold.cli:main"]
    command += ["--output-file", str(TARGET), "--reproducible"]
    subprocess.run([sys.executable, "-m", *command], check=True, cwd=ROOT)
    print(f"{TARGET.relative_to(ROOT)} {TARGET.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
