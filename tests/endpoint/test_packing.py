import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.endpoint import packing
from clementinebay.endpoint.base import Report, ServiceUsage, TaskReport

NUMBERS = st.integers(0, 2**31 - 1)
TASKS = st.builds(
    TaskReport,
    job=st.text(max_size=5),
    index=NUMBERS,
    attempt=NUMBERS,
    state=st.sampled_from(["running", "done", "failed", "stopped"]),
    reason=st.sampled_from(["", "fault"]),
    checkpoint=st.sampled_from(["", "half"]),
    processors_milli=st.sampled_from([0, 700]),
    throttled=st.booleans(),
)
USAGES = st.builds(
    ServiceUsage, st.text(), NUMBERS, st.floats(0.0, 9.0), st.floats(0.0, 9.0)
)


@given(NUMBERS, st.lists(TASKS, max_size=4), st.lists(USAGES, max_size=2))
def test_report_survives_packing_and_unpacking(version, tasks, services):
    report = Report(version, tasks, services)
    found = packing.unpack(packing.pack(report))
    assert msgspec.to_builtins(
        msgspec.convert(found, Report, from_attributes=True)
    ) == (msgspec.to_builtins(report))


def test_report_of_one_finished_task_is_small():
    done = TaskReport("load@a", 123, 1, "done")
    assert len(packing.pack(Report(7, [done]))) < 24


def test_report_of_many_finished_tasks_is_compressed():
    done = [TaskReport("a-long-name@a", number, 1, "done") for number in range(50)]
    data = packing.pack(Report(7, done))
    assert len(data) < 50 * 8
    assert len(packing.unpack(data).tasks) == 50


@pytest.mark.parametrize(
    "data", [b"", b"x", b"[]", b"x\x9cno", packing.pack(Report(7))[:-1]]
)
def test_invalid_data_raises_frame_malformed_error(data):
    with pytest.raises(errors.FrameMalformedError):
        packing.unpack(data)
