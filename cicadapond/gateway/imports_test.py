"""What a gateway process imports: each module costs it time at every start, and memory."""

import subprocess
import sys

# Libraries of the other programs.
UNUSED = ("hypothesis", "lark", "matplotlib", "numpy", "pycurl", "pytest")


def test_the_gateway_imports_no_library_that_only_other_programs_use():
    # lark came with the kernel and cost each gateway process 25 ms of its start and several MB.
    listing = "import sys, cicadapond.gateway.main; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", listing], capture_output=True, text=True)
    assert loaded.returncode == 0, loaded.stderr
    assert not set(UNUSED) & set(loaded.stdout.split())
