"""Validate settings files and declarations offline."""

from pathlib import Path

from result import Err, Ok

from bronzetiller.cli.exits import ExitCode, fail
from bronzetiller.configuration.declarations import is_declaration, load_declarations
from bronzetiller.documents import Problem, read_documents


def check_paths(paths: list[Path]) -> None:
    """Validate settings files and declarations in any mix; print a summary or all problems."""
    settings_files = [path for path in paths if _is_settings(path)]
    trees = [path for path in paths if path not in settings_files]
    problems = [problem for path in settings_files for problem in _check_settings(path)]
    count = 0
    if trees:
        match load_declarations(trees):
            case Ok(declarations):
                count = len(declarations)
            case Err(found):
                problems += found
    if problems:
        fail("\n".join(map(str, problems)), ExitCode.BAD_INPUT)
    print(f"valid: {len(settings_files)} settings files, {count} declarations")


def _is_settings(path: Path) -> bool:
    if path.is_dir():
        return False
    documents = read_documents(path).unwrap_or([])
    return len(documents) == 1 and not is_declaration(documents[0])


def _check_settings(path: Path) -> list[Problem]:
    from bronzetiller.cli.operator_file import load_operator_file
    from bronzetiller.settings import load_settings

    document = read_documents(path).unwrap_or([])[0]
    is_operator_file = isinstance(document.value, dict) and "nodes" in document.value
    result = load_operator_file(path) if is_operator_file else load_settings(path)
    return result.err_value if isinstance(result, Err) else []
