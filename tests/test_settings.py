import pytest

from clementinebay import errors, settings

GOOD = """\
[daemon]
name = a-entry-0
failure_domain = a
[front]
port = 7000
[peer]
port = 7001
[platform]
url = http://127.0.0.1:2379
live_list_url = http://127.0.0.1:2379/vms
"""


def test_missing_optional_keys_have_defaults():
    values = settings.parse(GOOD)
    assert values.daemon_name == "a-entry-0"
    assert values.front_port == 7000
    assert values.router_queue_limit == 512


def test_all_problems_are_reported_together():
    text = GOOD.replace("7000", "70000") + "[log]\nlevel = loud\nfile = x\n[extra]\n"
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(text, "c.ini")
    found = {(p.section, p.key, p.value) for p in caught.value.problems}
    assert found == {
        ("front", "port", "70000"),
        ("log", "level", "loud"),
        ("log", "file", "x"),
        ("extra", "*", None),
    }
    assert all("allowed is" in str(p) for p in caught.value.problems)


def test_missing_required_keys_are_reported():
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse("[daemon]\nname = x\n")
    missing = {(p.section, p.key) for p in caught.value.problems}
    assert ("daemon", "failure_domain") in missing
    assert ("platform", "url") in missing


@pytest.mark.parametrize("text", ["[daemon", "name = x", "[a]\nb = 1\nb = 2\n"])
def test_text_that_is_not_ini_is_refused(text):
    with pytest.raises(errors.SettingsError):
        settings.parse(text)


def test_not_a_number_is_refused():
    with pytest.raises(errors.SettingsError):
        settings.parse(GOOD + "[router]\ndefault_deadline_seconds = nan\n")


def test_description_is_a_valid_file_except_for_required_keys():
    text = "\n".join(settings.describe())
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(text)
    required = [o for o in settings.OPTIONS if o.default is settings.REQUIRED]
    assert len(caught.value.problems) == len(required)
    assert all(f"{o.key} =" in text for o in settings.OPTIONS)


def test_seeds_must_be_addresses():
    assert settings.parse(GOOD.replace("[platform]", "seeds = a:1, b:2\n[platform]"))
    with pytest.raises(errors.SettingsError):
        settings.parse(GOOD.replace("[platform]", "seeds = here\n[platform]"))
