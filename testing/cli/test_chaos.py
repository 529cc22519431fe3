from __future__ import annotations

from yuccafold.cli import main


def test_run_prints_its_counts_and_writes_a_trace(tmp_path, monkeypatch, capsys):
    monkeypatch.chdir(tmp_path)
    assert main(["chaos", "--seed=4"]) == 0
    printed = capsys.readouterr().out
    assert "runs of more than one        0" in printed
    assert "false not-run                0" in printed
    assert (tmp_path / "chaos-traces" / "4.txt").read_text()


def test_violation_fails_the_command(tmp_path, monkeypatch, capsys):
    monkeypatch.chdir(tmp_path)
    assert main(["chaos", "--disable=claim-majority"]) == 1
    assert "violation: two runs of a key" in capsys.readouterr().out
