#!/usr/bin/env python3
"""Derives a site file for the users' bench from one of theirs, with other figures:

    tests/sites/derive.py SITE OUT [--cold-rate N]

`--cold-rate N`: a cold target of every service bears N requests a second.
Files that the site file names are linked beside OUT.
"""
import argparse
import re
from pathlib import Path

args = argparse.ArgumentParser()
args.add_argument("site", type=Path)
args.add_argument("out", type=Path)
args.add_argument("--cold-rate", type=float)
args = args.parse_args()

text = args.site.read_text()
if args.cold_rate is not None:
    text, services = re.subn(r"(cold_s = [^,]+,)", rf"\1 cold_per_s = {args.cold_rate},", text)
    assert services, f"{args.site}: no service with `cold_s`"
text = re.sub(r'^name = "([^"]+)"', rf'name = "{args.out.stem}"', text, count=1, flags=re.M)
args.out.parent.mkdir(parents=True, exist_ok=True)
args.out.write_text(text)
wire = re.search(r'^wire = "([^"]+)"', text, flags=re.M)
link = args.out.parent / wire[1]
if not link.exists():
    link.symlink_to((args.site.parent / wire[1]).resolve())
