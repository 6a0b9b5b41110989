import pytest

from clementinebay import errors, tickets


def test_ticket_can_be_redeemed_by_one_request_only():
    office = tickets.TicketIssuer("a-0", 10)
    key = office.issue(60.0, 0.0)
    assert tickets.issuer(key) == "a-0"
    office.redeem(key, "r1", 1.0)
    office.redeem(key, "r1", 2.0)
    with pytest.raises(errors.DuplicateKeyError):
        office.redeem(key, "r2", 3.0)


def test_ticket_can_be_released_only_by_the_request_that_redeemed_it():
    office = tickets.TicketIssuer("a-0", 10)
    key = office.issue(60.0, 0.0)
    office.redeem(key, "r1", 1.0)
    office.release(key, "r2")
    with pytest.raises(errors.DuplicateKeyError):
        office.redeem(key, "r2", 1.0)
    office.release(key, "r1")
    office.redeem(key, "r2", 2.0)


def test_expired_tickets_and_those_of_earlier_incarnations_are_refused():
    office = tickets.TicketIssuer("a-0", 10)
    key = office.issue(60.0, 0.0)
    with pytest.raises(errors.KeyNotClaimedError):
        tickets.TicketIssuer("a-0", 10).redeem(key, "r1", 1.0)
    with pytest.raises(errors.KeyNotClaimedError):
        office.redeem(key, "r1", 61.0)


def test_number_of_open_tickets_is_limited():
    office = tickets.TicketIssuer("a-0", 1)
    office.issue(60.0, 0.0)
    with pytest.raises(errors.OverloadedError):
        office.issue(60.0, 1.0)
    office.issue(120.0, 61.0)
