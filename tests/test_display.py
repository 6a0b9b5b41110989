from clementinebay import display


def test_spans_are_shown_as_a_tree():
    def span(name, number, parent):
        return {
            "name": name,
            "span_id": number,
            "parent_id": parent,
            "daemon": "d",
            "start": 1.0,
            "seconds": 0.001,
        }

    spans = [span("client", "1", "0"), span("endpoint", "2", "1")]
    lines = list(display.span_lines(spans))
    assert lines[0].startswith("client")
    assert lines[1].startswith("  endpoint")
