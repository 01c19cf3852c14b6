//! Settings files as data: each file under `tests/settings/` starts with a
//! comment `// expect: ok` or `// expect: <text the error must contain>`.

use std::path::Path;

use jujubepost::settings::Settings;

fn case(path: &Path, text: String) -> datatest_stable::Result<()> {
    let first = text.lines().next().unwrap_or_default();
    let expect = first.strip_prefix("// expect: ").ok_or("first line must be `// expect: ...`")?;
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

fn examples(path: &Path, text: String) -> datatest_stable::Result<()> {
    Settings::parse(&text).map_err(|e| format!("{}: {e:#}", path.display()))?;
    Ok(())
}

datatest_stable::harness! {
    { test = case, root = "tests/settings", pattern = r"\.jsonc$" },
    { test = examples, root = "examples", pattern = r"\.jsonc$" },
}
