"""Status reports that no backend server sends: of another writer.

Each form spoils a copy of a server's own report, under its id or under an id
that no server has. None of them names a server to use, and none is to change
what the server's own reports say.
"""
OTHER_ID = "i-50fa2c15"


def unreadable(own_id, report):
    return OTHER_ID, b"\xff\xfe{"


def list_of_reports(own_id, report):
    return OTHER_ID, [report]


def no_capacity(own_id, report):
    del report["capacity"]
    return OTHER_ID, report


def text_as_seq(own_id, report):
    return OTHER_ID, dict(report, seq="7")


def unknown_state(own_id, report):
    return own_id, dict(report, state="asleep", seq=report["seq"] + 5)


def number_as_state(own_id, report):
    return own_id, dict(report, state=3)


def unknown_service(own_id, report):
    return own_id, dict(report, service="nobody", seq=report["seq"] + 3)


def unknown_service_born_later(own_id, report):
    return own_id, dict(report, service="nobody", born=report["born"] + 99)


def unknown_service_born_before(own_id, report):
    return own_id, dict(report, service="nobody", born=report["born"] - 99)


def unknown_service_without_born(own_id, report):
    del report["born"]
    return own_id, dict(report, service="nobody")


def unknown_service_and_id(own_id, report):
    return OTHER_ID, dict(report, service="nobody", born=report["born"] + 99)


def unknown_service_and_id_without_born(own_id, report):
    del report["born"]
    return OTHER_ID, dict(report, service="nobody")


FORMS = [unreadable, list_of_reports, no_capacity, text_as_seq, unknown_state,
         number_as_state, unknown_service, unknown_service_born_later,
         unknown_service_born_before, unknown_service_without_born,
         unknown_service_and_id, unknown_service_and_id_without_born]


def choose_forms(rng):
    """One form alone, or four."""
    return rng.sample(FORMS, rng.choice([1, 4, 4]))


def spoil(form, server):
    """Returns the id and the body of a foreign report beside a server's."""
    seq = server.seq
    report = server.report()
    server.seq = seq    # Its own count goes on as if nothing was sent.
    return form(server.id, report)
