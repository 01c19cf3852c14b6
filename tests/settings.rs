//! Valid settings must load, and errors must name the invalid field. Each file
//! in `tests/settings/` starts with `// expect: ok` or `// expect: <part of the error>`.

use std::path::Path;

use jujubepost::settings::Settings;

fn file_meets_expectation(path: &Path, text: String) -> datatest_stable::Result<()> {
    let first_line = text.lines().next().unwrap_or_default();
    let expect =
        first_line.strip_prefix("// expect: ").ok_or("first line must be `// expect: ...`")?;
    let got = Settings::parse(&text);
    match (expect, got) {
        ("ok", Ok(_)) => Ok(()),
        ("ok", Err(e)) => Err(format!("{}: expected ok, got {e:#}", path.display()).into()),
        (want, Ok(_)) => Err(format!("{}: expected error `{want}`, got ok", path.display()).into()),
        (want, Err(e)) => {
            let msg = format!("{e:#}");
            if msg.contains(want) {
                Ok(())
            } else {
                Err(format!("{}: expected `{want}` in `{msg}`", path.display()).into())
            }
        }
    }
}

fn example_is_valid(path: &Path, text: String) -> datatest_stable::Result<()> {
    Settings::parse(&text).map_err(|e| format!("{}: {e:#}", path.display()))?;
    Ok(())
}

datatest_stable::harness! {
    { test = file_meets_expectation, root = "tests/settings", pattern = r"\.jsonc$" },
    { test = example_is_valid, root = "examples", pattern = r"\.jsonc$" },
}
