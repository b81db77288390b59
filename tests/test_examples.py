"""Test that the commands accept the example files and that the files are complete."""

from pathlib import Path

from attrs import NOTHING, asdict, fields

from bronzetiller.configuration.records import BODY_CLASSES
from bronzetiller.documents import read_document
from bronzetiller.errors import Reason
from bronzetiller.gateway.settings import GatewaySettings, load_gateway_settings
from bronzetiller.settings import Settings, load_settings
from tests.operators import run_command

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"


def test_the_examples_are_valid():
    code, output = run_command("check", EXAMPLES / "settings.yaml", EXAMPLES / "operator.yaml")
    assert code == 0, output
    for customer in ("namehouse", "teifi"):
        code, output = run_command("check", EXAMPLES / "declarations" / customer)
        assert code == 0, output


def test_the_example_settings_name_every_field():
    path = EXAMPLES / "settings.yaml"

    def name_fields(value, prefix=()):
        if not isinstance(value, dict):
            return {prefix}
        return {item for name in value for item in name_fields(value[name], (*prefix, name))}

    settings = load_settings(path).unwrap()
    known = asdict(settings, filter=lambda _, value: True)
    for part in ("callers", "peers"):
        known["listen"][part] = None
    for part in ("log", "vm_list"):
        known["platform"][part] = None
    assert name_fields(read_document(path).unwrap().value) == name_fields(known)
    optional = [item for item in fields(Settings) if item.name not in ("operators", "log_level")]
    shown = {item.name: getattr(settings, item.name) for item in optional}
    defaults = {item.name: item.type() for item in optional if item.default is not NOTHING}
    assert {name: shown[name] for name in defaults} == defaults


def test_the_interfaces_page_names_every_refusal_and_every_field_of_a_record():
    page = (ROOT / "docs" / "INTERFACES.md").read_text()
    names = [reason.value for reason in Reason]
    names += [item.name for body in BODY_CLASSES.values() for item in fields(body)]
    assert [name for name in names if f"`{name}`" not in page] == []


def test_the_gateway_example_names_every_setting():
    result = load_gateway_settings(EXAMPLES / "gateway.yaml")
    assert result.is_ok(), result
    named = read_document(EXAMPLES / "gateway.yaml").unwrap().value
    assert set(named) == {item.name for item in fields(GatewaySettings)}


def test_malformed_gateway_settings_are_reported_by_line(tmp_path):
    path = tmp_path / "gateway.yaml"
    path.write_text((EXAMPLES / "gateway.yaml").read_text().replace("ratio: 0.2", "ratio: much"))
    (problem,) = load_gateway_settings(path).unwrap_err()
    assert "retries.ratio" in str(problem) and problem.line > 1


def test_the_deployment_installs_the_tested_versions():
    tested = (ROOT / "requirements.txt").read_text().splitlines()
    deployed = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    assert deployed and set(deployed) <= set(tested)
