import pytest

from clementinebay import errors, model


def request(**fields):
    return model.Request("call-in", "c", "r1", 60.0, **fields)


def test_request_with_a_key_is_not_sent_again_if_it_may_have_run():
    once = request(key="crew")
    once.claimed = True
    once.begin_attempt()
    once.record_not_run()
    once.begin_attempt()
    with pytest.raises(errors.InvariantBrokenError):
        once.begin_attempt()


def test_request_is_not_sent_before_its_key_is_claimed():
    with pytest.raises(errors.InvariantBrokenError):
        request(key="crew").begin_attempt()


def test_request_without_a_key_may_be_sent_again():
    keyless = request(repeatable=True)
    keyless.begin_attempt()
    keyless.begin_attempt()
