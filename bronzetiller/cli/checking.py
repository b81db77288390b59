"""Check files offline."""

from pathlib import Path

from result import Err, Ok

from bronzetiller.cli.exits import ExitCode, fail
from bronzetiller.configuration.declarations import is_declaration, load_declarations
from bronzetiller.documents import read_documents


def check_paths(paths: list[Path]) -> None:
    """Print what was checked, or every fault found; settings and declarations may be mixed."""
    settings = [path for path in paths if _is_settings(path)]
    trees = [path for path in paths if path not in settings]
    problems: list[str] = []
    for path in settings:
        problems += _check_settings(path)
    count = 0
    if trees:
        match load_declarations(trees):
            case Ok(declarations):
                count = len(declarations)
            case Err(found):
                problems += map(str, found)
    if problems:
        fail("\n".join(problems), ExitCode.BAD_INPUT)
    print(f"fine: {len(settings)} settings files, {count} declarations")


def _is_settings(path: Path) -> bool:
    if path.is_dir():
        return False
    documents = read_documents(path).unwrap_or([])
    return len(documents) == 1 and not is_declaration(documents[0])


def _check_settings(path: Path) -> list[str]:
    from bronzetiller.settings import load_settings

    result = load_settings(path)
    return [str(problem) for problem in result.err_value] if isinstance(result, Err) else []
