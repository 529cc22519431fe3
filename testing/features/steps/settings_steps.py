from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given
from behave import then
from behave import when

from yuccafold.cli import main

FAULTY = """\
revision: 1
surprise: true
defaults:
  max_attempts: 99
"""


@given("a settings file with an unknown key and a value out of range")
def write_faulty_settings(context):
    context.file = Path(tempfile.mkdtemp()) / "tree.yaml"
    context.file.write_text(FAULTY)


@when("the operator checks it")
def check_settings(context):
    output = io.StringIO()
    with contextlib.redirect_stderr(output):
        context.exit_code = main(["settings", "check", str(context.file)])
    context.output = output.getvalue()


@then("both faults are printed with their lines")
def both_faults_printed(context):
    assert "line 2: surprise: unknown key" in context.output, context.output
    assert "line 4: defaults.max_attempts" in context.output, context.output


@then("the exit code is {code:d}")
def exit_code_is(context, code):
    assert context.exit_code == code
