"""Builds the daemon under ``target/deps``, also beside processes that run or start.

The libraries and the daemon's own packages lie in folders named after their content. A
folder gets its name once it is complete and never changes afterwards. The file
``goldcrestvane_daemon/__init__.py`` names the folders in use, so that replacing it
switches from one build to the next, and a process that has read it keeps its modules.
"""

import compileall
import fcntl
import hashlib
import py_compile
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PACKAGES = (
    ROOT / "packages/common/src/goldcrestvane_common",
    ROOT / "packages/daemon/src/goldcrestvane_daemon",
)
STAGING_PREFIX = "staging-"
KEPT_BUILDS = 2
"""Folders of each kind that are kept: the one in use, and that of the build before,
whose processes may still import."""

ENTRY = '''"""The entry and sidecar processes, in the folders of one build."""

import os
import sys

_target = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
_others = [path for path in sys.path if os.path.abspath(path) != _target]
sys.path[:] = [os.path.join(_target, name) for name in {folders!r}] + _others
__path__ = [os.path.join(_target, {folders[0]!r}, "goldcrestvane_daemon")]
'''


def main() -> None:
    """Runs one build at a time."""
    TARGET.mkdir(parents=True, exist_ok=True)
    with (TARGET / ".lock").open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        build()


def build() -> None:
    """Builds what has changed, switches to it and removes old builds."""
    code = _name("code", [path for root in PACKAGES for path in root.rglob("*.py")])
    libraries = _name("libraries", [REQUIREMENTS])
    _provide(libraries, _install_libraries)
    _provide(code, _copy_packages)
    _switch([code, libraries])
    _remove_old_builds({code, libraries})


def _name(kind: str, files: list[Path]) -> str:
    """Returns a folder's name, which depends on the files and the interpreter."""
    digest = hashlib.sha256(sys.version.encode())
    for path in sorted(files):
        digest.update(f"\0{path.relative_to(ROOT)}\0".encode() + path.read_bytes())
    return f"{kind}-{digest.hexdigest()[:16]}"


def _provide(name: str, fill: Callable[[Path], None]) -> None:
    """Fills a folder unless it is there."""
    if (TARGET / name).exists():
        (TARGET / name).touch()
        return
    staging = Path(tempfile.mkdtemp(prefix=STAGING_PREFIX, dir=TARGET))
    staging.chmod(0o755)
    fill(staging)
    if not compileall.compile_dir(staging, quiet=1):
        sys.exit(f"{staging}: a module cannot be compiled; see the message above.")
    staging.rename(TARGET / name)


def _install_libraries(folder: Path) -> None:
    pip = [sys.executable, "-m", "pip", "install", "-q", "--no-deps"]
    subprocess.run([*pip, "--target", folder, "-r", REQUIREMENTS], check=True)


def _copy_packages(folder: Path) -> None:
    ignored = shutil.ignore_patterns("__pycache__")
    for package in PACKAGES:
        shutil.copytree(package, folder / package.name, ignore=ignored)


def _switch(folders: list[str]) -> None:
    """Replaces the file that names the folders in use."""
    entry = TARGET / "goldcrestvane_daemon" / "__init__.py"
    text = ENTRY.format(folders=folders)
    if entry.exists() and entry.read_text() == text:
        return
    entry.parent.mkdir(exist_ok=True)
    replacement = entry.with_suffix(".new")
    replacement.write_text(text)
    replacement.replace(entry)
    # Two builds within a second differ neither in the time nor in the size of the file.
    checked = py_compile.PycInvalidationMode.CHECKED_HASH
    py_compile.compile(str(entry), doraise=True, invalidation_mode=checked)


def _remove_old_builds(used: set[str]) -> None:
    for pattern, kept in (
        ("code-*", KEPT_BUILDS),
        ("libraries-*", KEPT_BUILDS),
        (f"{STAGING_PREFIX}*", 0),
    ):
        newest_first = sorted(
            TARGET.glob(pattern), key=lambda path: path.stat().st_mtime, reverse=True
        )
        for folder in newest_first[kept:]:
            if folder.name not in used:
                shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
