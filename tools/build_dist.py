"""Build the distributed file: a zip application of the program and its packages.

The packages are copied from the environment that runs this tool, which was
installed from pinned hashes, so that nothing is downloaded. The design note
``docs/design/dist.md`` compares the alternatives.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
from importlib.metadata import distribution
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SITE_FOLDER = ROOT / "build" / "site"
OUTPUT_FILE = ROOT / "dist" / "yuccafold"
REQUIREMENTS = ROOT / "requirements" / "runtime.txt"
INTERPRETER = "/usr/bin/env python3"


def pinned_names() -> list[str]:
    """Return the names of the pinned packages."""
    text = REQUIREMENTS.read_text()
    return re.findall(r"^([A-Za-z0-9_.-]+)==", text, flags=re.MULTILINE)


def copy_package(name: str) -> None:
    """Copy the installed files of one package, including its metadata."""
    for file in distribution(name).files or ():
        source = Path(str(file.locate()))
        is_packaged = ".." not in file.parts and file.suffix != ".pyc"
        if is_packaged and source.is_file():
            destination = SITE_FOLDER / file
            destination.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, destination)


def main() -> int:
    """Build ``dist/yuccafold`` and print its size."""
    shutil.rmtree(SITE_FOLDER, ignore_errors=True)
    SITE_FOLDER.mkdir(parents=True)
    for name in pinned_names():
        copy_package(name)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(
        ROOT / "src" / "yuccafold", SITE_FOLDER / "yuccafold", ignore=ignored
    )
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    command = ["shiv", "--site-packages", str(SITE_FOLDER), "--compressed"]
    command += ["--python", INTERPRETER, "--entry-point", "yuccafold.cli:main"]
    command += ["--output-file", str(OUTPUT_FILE), "--reproducible"]
    subprocess.run([sys.executable, "-m", *command], check=True, cwd=ROOT)
    print(f"{OUTPUT_FILE.relative_to(ROOT)} {OUTPUT_FILE.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
