import pytest

from clementinebay import errors, model


def request(**fields):
    return model.Request("call-in", "c", "r1", 60.0, **fields)


def test_a_key_that_may_have_run_is_not_sent_again():
    once = request(key="crew")
    once.claimed = True
    once.begin_attempt()
    once.record_not_run()
    once.begin_attempt()
    with pytest.raises(errors.InvariantBrokenError):
        once.begin_attempt()


def test_a_key_that_is_not_claimed_is_not_sent():
    with pytest.raises(errors.InvariantBrokenError):
        request(key="crew").begin_attempt()


def test_a_request_without_key_may_be_sent_again():
    often = request(repeatable=True)
    often.begin_attempt()
    often.begin_attempt()
