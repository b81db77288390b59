"""Send tests of one xdist_group to one worker.

pytest-xdist 3.8 appends the group to the id of a test by an attribute that pytest 9.2 no longer
reads, so that --dist loadgroup has no effect.
"""

import pytest


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    if not getattr(config.option, "loadgroup", False):  # set in workers only
        return
    for item in items:
        names = {mark.args[0] for mark in item.iter_markers("xdist_group")}
        suffix = "@" + "_".join(sorted(names))
        if names and not item.nodeid.endswith(suffix):
            item._id = type(item._id).parse(item.nodeid + suffix)
