"""Tests of the settings: each error is reported in one line, and all together."""

import pathlib
import random

import attrs
import pytest

from burdockgate import addresses, errors, fields, settings
from burdockgate.process import backend, logclient

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
LOAD_BY_ROLE = {"entry": settings.load_entry, "agent": settings.load_agent}
SEEDS = "seeds = 127.0.0.1:7000, [::1]:7001"
ENTRY = f"""[node]
name = e1
region = r
data_centre = d
rack = k
listen = 127.0.0.1:0
[entry]
http = 0.0.0.0:0
[platform]
{SEEDS}
"""


def _write(tmp_path, text):
    path = tmp_path / "file.ini"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def _problems(tmp_path, text, role="entry"):
    found = settings.check(_write(tmp_path, text), role)
    assert all(len(problem.splitlines()) == 1 for problem in found)
    assert all(problem.startswith(str(tmp_path)) for problem in found)
    return found


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_example_shows_every_key_with_its_default_and_unit(role):
    """The examples must match the declared keys, defaults and units."""
    path = str(EXAMPLES / f"{role}.ini")
    loaded = LOAD_BY_ROLE[role](path)
    assert settings.detect_role(path) == role
    text = pathlib.Path(path).read_text()
    for section, keys in settings.fields_by_section(type(loaded)).items():
        body = text.split(f"\n[{section}]\n")[1].split("\n[")[0]
        for field in keys:
            comment = body.partition(f"\n{field.name} =")[0].rpartition("\n# ")[2]
            unit = field.metadata[fields.KEY].value_type.unit
            shown = "empty" if field.default in ("", ()) else field.default
            default = f"Default: {shown}"
            if field.default is attrs.NOTHING:
                default = "No default"
            assert comment == (f"Unit: {unit}. " if unit else "") + f"{default}."


def test_defaults_and_lists(tmp_path):
    loaded = settings.load_entry(_write(tmp_path, ENTRY))
    assert loaded.timing == settings.TimingSettings()
    assert loaded.limits == settings.LimitSettings()
    assert loaded.http == "0.0.0.0:0"
    assert loaded.platform.seeds == ("127.0.0.1:7000", "[::1]:7001")
    assert addresses.split(loaded.platform.seeds[1]) == ("::1", 7001)


def test_all_errors_at_once(tmp_path):
    """The check must not stop at the first error of any kind."""
    text = """[node]
name = a b
region = r
region = r2
data_center = d
rack = k
listen = localhost:1
[entry]
http = 127.0.0.1:70000
[platform]
seeds =
[timing]
heartbeat_s = 0.5
lease_s = 1.2
retention_s = nan
stop_timeout_s = 1e9
[limit]
[limits]
max_tasks = many
not a setting
[timing]
"""
    parts = [
        "[node] region (line 4) = 'r2': duplicate key",
        "line 20 'not a setting': not INI",
        "[timing] (line 21): duplicate section",
        "[node] data_center = 'd': unknown key; did you mean data_centre?",
        "[limit]: unknown section; did you mean limits?",
        "[node] name = 'a b': not a name; allowed are 1 to 64",
        "[node] data_centre: missing",
        "[node] listen = 'localhost:1': the host is not an IP address",
        "[entry] http = '127.0.0.1:70000': port out of range",
        "at least one of the two",
        "[timing] lease_s = 1.2: too low; allowed is at least 3 x heartbeat_s",
        "[timing] retention_s = 'nan': not a number",
        "[timing] stop_timeout_s = '1e9': out of range; allowed are numbers from 0.1",
        "[limits] max_tasks = 'many': not a whole number",
    ]
    problems = _problems(tmp_path, text)
    for part in parts:
        assert sum(part in problem for problem in problems) == 1, (part, problems)
    assert len(problems) == len(parts)


BAD_URLS = """https://127.0.0.1:1 http://log:1 http://127.0.0.1:x http://127.0.0.1:99999
 http://[::1 http://u@127.0.0.1:1 http://127.0.0.1:1/?a http://0.0.0.0:1
 http://127.0.0.1:1/a http://127.0.0.1:1//"""
BAD_SEEDS = """127.0.0.1:0 127.0.0.1 ::1:7000 224.0.0.1:7000 127.0.0.1:1,,127.0.0.1:2
 127.0.0.1:1,_x"""
BAD_ADDRESSES = [("log_url", url) for url in BAD_URLS.split()]
BAD_ADDRESSES += [("seeds", text.replace("_", "\n ")) for text in BAD_SEEDS.split()]
NOT_INI = [b"", b"\xff\xfe", b"\0" * 99, b"name = a\n[node]\n"]
NOT_INI += [b"[a]\n" + b"x\n" * 99, b"[a\x0cb]\n"]


@pytest.mark.parametrize(("key", "text"), [*BAD_ADDRESSES, ("listen", "0.0.0.0:7000")])
def test_unusable_address_is_one_problem(tmp_path, key, text):
    old = "listen = 127.0.0.1:0" if key == "listen" else SEEDS
    (problem,) = _problems(tmp_path, ENTRY.replace(old, f"{key} = {text}"))
    assert f"] {key} = " in problem
    assert "; allowed " in problem


@pytest.mark.parametrize(
    "url", ["http://127.0.0.1:1/", "http://[::1]", *BAD_URLS.split()]
)
def test_accepted_url_is_accepted_by_the_http_clients(url):
    """The check must not accept a URL with which the daemon then fails to start."""
    try:
        parsed = fields.Url().parse(url)
    except ValueError:
        return
    backend.BackendClient(parsed, 1, 1)
    logclient.LogClient(parsed, random.Random(1))


@pytest.mark.parametrize("text", NOT_INI)
def test_file_that_is_not_ini_gives_problems_and_no_exception(tmp_path, text):
    assert 0 < len(_problems(tmp_path, text)) <= 20


@pytest.mark.parametrize("name", ["missing.ini", ".", "a\0b"])
def test_unreadable_file_is_one_problem(tmp_path, name):
    (problem,) = settings.check(f"{tmp_path}/{name}", "agent")
    assert "allowed is a readable INI file" in problem


def test_values_that_conflict_with_each_other(tmp_path):
    """A slot without a connection cannot run a task."""
    text = (EXAMPLES / "agent.ini").read_text().replace("slots = 8", "slots = 65")
    (problem,) = _problems(tmp_path, text, "agent")
    assert "connections = 64: too low; allowed is at least slots" in problem


def test_role_is_detected_only_when_unambiguous(tmp_path):
    for text in ("[node]\n", "[entry]\n[backend_server]\n"):
        with pytest.raises(errors.SettingsError, match="allowed is exactly one"):
            settings.detect_role(_write(tmp_path, text))
    assert "allowed is entry or agent" in _problems(tmp_path, ENTRY, "both")[0]
