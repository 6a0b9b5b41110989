import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from clementinebay import config, errors

LINES = st.lists(
    st.one_of(
        st.sampled_from(
            ["[domain:a]", "[team:b]", "state = out", "owner: x", "  more", "", "# c"]
        ),
        st.text(st.characters(codec="utf-8"), max_size=20),
    ),
    max_size=12,
).map("\n".join)


@given(LINES)
@example("[domain:a]\nowner = x\n  state = out")
@example("[\0]\nstate = out\n[domain:a]\n")
@example("[domain:a]\nstate = in\nSTATE = out")
def test_split_and_join_round_trip(text):
    try:
        sections = config.split(text)
    except errors.ConfigInvalidError as error:
        assert error.problems
        return
    config.check(sections)
    joined = {s: t for s, t in sections.items() if config.SECTION_NAME.fullmatch(s)}
    assert config.split(config.join(joined)) == joined


@given(st.sampled_from(["domain:a", "domain:a]\n[b", "x", ""]), LINES)
@example("domain:a", "state = in\n[domain:b]\nstate = out")
def test_cleaned_text_cannot_introduce_other_sections(section, text):
    try:
        cleaned = config.clean(section, text)
    except errors.ConfigInvalidError as error:
        assert error.problems
        return
    assert config.split(f"[{section}]\n{cleaned}") == {section: cleaned}


@pytest.mark.parametrize(
    ("text", "key", "allowed"),
    [
        ("colour = red", "colour", "one of state, owner"),
        ("state = away", "state", "one of in, out"),
    ],
)
def test_problem_describes_the_key_and_its_allowed_values(text, key, allowed):
    (problem,) = config.check({"domain:a": f"{text}\n"})
    assert (problem.section, problem.key) == ("domain:a", key)
    assert problem.allowed == allowed


def test_out_of_range_values_and_duplicates_are_refused():
    (problem,) = config.check({"service:a": "hedge_percent = nan\n"})
    assert problem.value == "nan"
    with pytest.raises(errors.ConfigInvalidError):
        config.split("[domain:a]\nstate = in\nstate = out\n")
    with pytest.raises(errors.ConfigInvalidError):
        config.split("[domain:a]\n[domain:a]\n")


def test_document_parses_only_sections_changed_since_a_known_one(monkeypatch):
    texts = {"domain:a": "state = in\n", "domain:b": "state = in\n"}
    known = config.Document(config.Head(1), texts)
    parsed = []
    inner = config.section_values
    monkeypatch.setattr(
        config, "section_values", lambda *a: parsed.append(a[0]) or inner(*a)
    )
    changed = {**texts, "domain:b": "state = out\n"}
    document = config.Document(config.Head(2), changed, known)
    assert parsed == ["domain:b"]
    assert not document.domain_out("a") and document.domain_out("b")
