//! The operator's tables: memory, signed links, discovery in xDS form, teams.

use super::classes::Classes;
use super::key_path::KeyPath;
use super::{Signed, Xds};
use crate::broker::Team;
use crate::memory::{LimitOverrides, PURPOSES, Plan, Purpose};

/// Share of each account that one of several teams may hold.
const TEAM_SHARE: f64 = 0.5;

/// Reads the table of memory by purpose: sizes in megabytes (`cap_mb`) or shares of the total (`cap`).
pub(super) fn memory(top: &KeyPath, total: usize, teams: usize) -> Result<Plan, String> {
    let mut wishes = [LimitOverrides::default(); PURPOSES];
    let mut share = if teams > 1 { TEAM_SHARE } else { 1.0 };
    let Some(table) = top.opt("memory") else {
        return Plan::new(total, &wishes, share).map_err(|e| format!("{}: {e}", top.what));
    };
    for (key, at) in table.entries()? {
        if key == "team_share" {
            share = at.above_zero()?;
            continue;
        }
        let Some(purpose) = Purpose::ALL.into_iter().find(|p| p.name() == key) else {
            let names = Purpose::ALL.map(Purpose::name).join(", ");
            return Err(at.wrong(&format!("known: there are team_share, {names}")));
        };
        let wish = &mut wishes[purpose as usize];
        for (key, at) in at.entries()? {
            let (name, size) = match key.strip_suffix("_mb") {
                Some(name) => (name, at.number()? * 1e6),
                None => (
                    key,
                    at.number()
                        .and_then(|s| if s <= 1.0 { Ok(s) } else { Err(at.wrong("a share of 1 at most")) })?
                        * total as f64,
                ),
            };
            let place = match name {
                "guarantee" => &mut wish.guarantee,
                "cap" => &mut wish.cap,
                "reserve" => &mut wish.reserve,
                _ => {
                    return Err(
                        at.wrong("known: there are guarantee, cap and reserve, each with or without _mb")
                    );
                }
            };
            if size < 0.0 || place.replace(size as usize).is_some() {
                return Err(at.wrong("a size of 0 or more that stands once"));
            }
        }
    }
    Plan::new(total, &wishes, share).map_err(|e| format!("{}: {e}", table.what))
}

pub(super) fn signed(at: &KeyPath) -> Result<Signed, String> {
    at.only(&["listen", "base", "keys", "audience", "reread_s", "overlap_s", "leeway_s"])?;
    let or = |key: &str, default: f64| at.opt(key).map_or(Ok(default), |v| v.number());
    let base = at.get("base")?;
    let text = base.text()?;
    if !(text.starts_with("http://") || text.starts_with("https://")) || text.ends_with('/') {
        return Err(base.wrong("a scheme and an authority without a path"));
    }
    let leeway = or("leeway_s", 0.0)?;
    let key_overlap = or("overlap_s", 300.0)?;
    if leeway < 0.0 || key_overlap < 0.0 {
        return Err(at.wrong("a table whose times are 0 or more"));
    }
    Ok(Signed {
        listen: at.get("listen")?.address()?,
        base: text.to_owned(),
        audience: at.opt("audience").map(|v| v.text().map(str::to_owned)).transpose()?,
        leeway,
        keys: at.get("keys")?.text()?.into(),
        keys_refresh: at.opt("reread_s").map_or(Ok(5.0), |v| v.above_zero())?,
        key_overlap,
    })
}

pub(super) fn xds(at: &KeyPath) -> Result<Xds, String> {
    at.only(&["server", "refresh_s"])?;
    let refresh = at.opt("refresh_s").map_or(Ok(0.5), |v| v.above_zero())?;
    Ok(Xds { server: at.get("server")?.address()?, refresh })
}

pub(super) fn team(at: &KeyPath, classes: &Classes) -> Result<Team, String> {
    let class = |v: &KeyPath| {
        let found = classes.get(v.text()?.as_bytes());
        found.ok_or_else(|| v.wrong("a class of the settings"))
    };
    let known = ["name", "issuer", "classes", "prefixes", "requests_per_s", "in_flight", "bytes_per_s"];
    at.only(&known)?;
    let allowed = at.get("classes")?.list(class)?;
    let prefixes = at.get("prefixes")?.list(|p| {
        p.only(&["path", "class"])?;
        let path = p.get("path")?;
        let text = path.text()?;
        if !text.starts_with('/') {
            return Err(path.wrong("a path from the root"));
        }
        let of = p.get("class")?;
        let class = class(&of)?;
        if !allowed.contains(&class) {
            return Err(of.wrong("one of the team's classes"));
        }
        Ok((text.to_owned(), class))
    })?;
    Ok(Team {
        name: at.get("name")?.text()?.to_owned(),
        issuer: at.get("issuer")?.text()?.to_owned(),
        classes: allowed,
        prefixes,
        requests_per_s: at.get("requests_per_s")?.above_zero()?,
        in_flight: at.get("in_flight")?.above_zero()? as usize,
        bytes_per_s: at.get("bytes_per_s")?.above_zero()?,
    })
}
