"""Human-readable output of ``clementinectl``: texts, tables and traces."""


def span_lines(spans):
    """Yield one line per span, indented below its parent."""
    known = {span["span_id"] for span in spans}
    children = {}
    for span in spans:
        parent = span["parent_id"] if span["parent_id"] in known else ""
        children.setdefault(parent, []).append(span)
    start = min(span["start"] for span in spans)

    def walk(parent, depth):
        for span in children.get(parent, ()):
            name = "  " * depth + span["name"]
            offset = (span["start"] - start) * 1000
            duration = span["seconds"] * 1000
            yield f"{name:24} {span['daemon']:16} +{offset:8.2f} ms {duration:8.2f} ms"
            yield from walk(span["span_id"], depth + 1)

    return walk("", 0)


def show(result):
    """Print a result: a text as it is, a dictionary line by line, a list as a table."""
    if isinstance(result, str):
        print(result)
    elif isinstance(result, dict):
        for key, value in result.items():
            print(f"{key:24} {value}")
    elif not result:
        print("nothing")
    else:
        print("\n".join(table(result)))


def table(rows):
    """Yield the lines of a table of ``rows``, dictionaries with the same keys."""
    cells = [list(rows[0])] + [[str(value) for value in row.values()] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    for row in cells:
        yield "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
