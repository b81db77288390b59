"""Test offline validation of declarations and settings, and the plans of a publish."""

import subprocess
import sys

import pytest

from bronzetiller.configuration.declarations import load_declarations
from bronzetiller.configuration.plan import Action, PublishedItem, make_plan
from tests.operators import DIGEST, declare, declare_studio, run_command, write_tree


def find_problems(tree):
    return [str(item).removeprefix(f"{tree}/") for item in load_declarations([tree]).unwrap_err()]


def make_published_item(declaration, revision=0, **fields):
    """Return a declaration as a node reports it once it is published."""
    item = PublishedItem(
        kind=declaration["kind"],
        name=declaration["name"],
        revision=revision,
        schema=declaration["schema"],
        author="anna",
        deleted=False,
        in_force=True,
        in_force_revision=revision,
        note="",
        body=declaration["spec"],
    )
    return type(item)(**({name: getattr(item, name) for name in item.__slots__[:10]} | fields))


def plan(tree, published, prune=False):
    steps = make_plan(load_declarations([tree]).unwrap(), published, prune=prune)
    return {(step.kind, step.name): step for step in steps}


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("schema: 3\nkind: route\nname: a\nspec: {}", ":1: schema: must be in (1, 2)"),
        ("schema: 1\nkind: rout\nname: a\nspec: {}", ":2: kind: must be one of workspace"),
        ("schema: 1\nkind: route\nname: A b\nspec: {}", ":3: name: must match regex"),
        ("schema: 1\nkind: route\nname: a\nspec:\n  servic: x", ":5: spec.servic: is not a known"),
        ("schema: 1\nkind: route\nname: a\nspec: {}", ":4: spec.service: is missing"),
        ("schema: 1\nkind: workspace\nname: a\nspec:\n  enabled: 1", ":5: spec.enabled: must be"),
        (
            "schema: 1\nkind: workspace\nname: a\nspec:\n  weight: 0",
            ":5: spec.weight: must be >= 1",
        ),
        ("schema: 1\nkind: workspace\nname: a\nname: b\nspec: {}", ":4: name: is a duplicate key"),
        ("schema: 1\nkind: [", ":2: is not valid YAML"),
        ("- 1", ":1: must be a mapping"),
        (
            "schema: 1\nkind: route\nname: a\nspec:\n  service: x\n  workspaces: []",
            ":6: spec.workspaces: needs schema 2",
        ),
        (
            "schema: 1\nkind: top-up\nname: a\nspec: {workspace: b, tokens: 1}",
            ":4: spec.workspace: workspace b is not declared",
        ),
        (
            "schema: 1\nkind: workspace\nname: a\nspec:\n  key_digests:\n  - bt-" + "k" * 43,
            ":6: spec.key_digests[0]: contains an API key",
        ),
    ],
)
def test_a_problem_names_file_line_and_field(tmp_path, text, problem):
    (tmp_path / "a.yaml").write_text(text)
    found = find_problems(tmp_path)
    assert any(item.startswith(f"a.yaml{problem}") for item in found), found


def test_all_problems_are_reported_in_one_run(tmp_path):
    write_tree(tmp_path, declare_studio(), declare("route", "a"), declare("route", "b", service=1))
    write_tree(tmp_path / "inner", declare_studio(), name="b.yml")
    rival = declare("workspace", "rival", key_digests=["e" * 64, DIGEST])
    write_tree(tmp_path / "other", rival, name="c.yaml")
    problems = find_problems(tmp_path)
    assert len(problems) == 4, problems
    assert any("is already declared in" in problem for problem in problems)
    assert any("spec.key_digests[1]: is also a key of studio" in problem for problem in problems)


def test_a_plan_contains_only_changes(tmp_path):
    unchanged = declare("route", "kept", service="names")
    changed = declare("route", "changed", service="names", answer_tokens_max=9)
    write_tree(tmp_path, declare_studio(), unchanged, changed)
    before = changed | {"spec": {"service": "names"}}
    gone = make_published_item(declare("route", "gone", service="names"), revision=7)
    published = [make_published_item(unchanged), make_published_item(before, revision=3), gone]
    steps = plan(tmp_path, published)
    actions = {name: step.action for (_, name), step in steps.items()}
    assert actions == {
        "studio": Action.CREATE,
        "kept": Action.KEEP,
        "changed": Action.CHANGE,
        "gone": Action.UNDECLARED,
    }
    step = steps["route", "changed"]
    assert step.replaces == 3
    assert [(change.field, change.old, change.new) for change in step.changes] == [
        ("answer_tokens_max", 1024, 9)
    ]
    pruned = plan(tmp_path, published, prune=True)["route", "gone"]
    assert (pruned.action, pruned.replaces, pruned.body) == (Action.DELETE, 7, None)


def test_a_plan_refuses_changes_that_would_lose_data(tmp_path):
    top_up = declare("top-up", "studio-1", workspace="studio", tokens=5)
    route = declare("route", "namer", service="names")
    write_tree(tmp_path, declare_studio(), top_up, route)
    published = [make_published_item(top_up | {"spec": {"workspace": "studio", "tokens": 6}})]
    published.append(make_published_item(route, schema=9))
    steps = plan(tmp_path, published)
    assert "cannot be changed" in steps["top-up", "studio-1"].reason
    assert "schema 9" in steps["route", "namer"].reason
    undeclared = [make_published_item(declare("top-up", "old", workspace="studio", tokens=5))]
    assert plan(tmp_path, undeclared, prune=True)["top-up", "old"].action is Action.UNDECLARED


def test_offline_commands_import_no_node_dependencies():
    code = "import sys, bronzetiller.cli.main, bronzetiller.cli.checking, bronzetiller.cli.client"
    code += "; print([name for name in ('circuits', 'websockets', 'h11') if name in sys.modules])"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"


def test_a_key_is_shown_once_and_its_digest_may_be_declared():
    code, output = run_command("key", "new")
    words = dict(line.split() for line in output.splitlines())
    assert code == 0 and words["key"].startswith("bt-") and len(words["digest"]) == len(DIGEST)
