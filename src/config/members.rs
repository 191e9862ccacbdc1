//! The coordinator's updates in the platform's file: the list of nodes, and purges.

use super::key_path::KeyPath;
use crate::broker::{DiscoveryUpdate, Member};
use crate::interface::*;

/// Reads the updates, and the number of the last.
pub(super) fn initial_updates(
    at: &KeyPath,
    zones: &[String],
    kinds: &[String],
) -> Result<(u64, Vec<DiscoveryUpdate>), String> {
    let updates = at.get("updates")?.list(|update| {
        if let Some(list) = update.opt("endpoints") {
            let full = list.get("complete")?.flag()?;
            return Ok(Some(DiscoveryUpdate::NodeList {
                full,
                members: list.get("members")?.list(|m| member(m, zones, kinds))?,
            }));
        }
        let Some(purge) = update.opt("evict") else { return Ok(None) };
        let scope = match purge.opt("ref") {
            Some(object) => {
                let digits = u64::from_str_radix(object.text()?, 16);
                PurgeScope::Object(ObjectId(digits.map_err(|_| object.invalid("hexadecimal digits"))?))
            }
            None => PurgeScope::Group(GroupId(purge.get("shard")?.count()?.into())),
        };
        Ok(Some(DiscoveryUpdate::Purge { scope, at: purge.get("unix_ms")?.number()? / 1000.0 }))
    })?;
    Ok((at.get("index")?.whole_number()?, updates.into_iter().flatten().collect()))
}

/// Reads a member of the list.
pub(super) fn member(at: &KeyPath, zones: &[String], kinds: &[String]) -> Result<Member, String> {
    let index = |key: &str, names: &[String]| {
        let word = at.get(key)?;
        let text = word.text()?;
        let index =
            names.iter().position(|w| w == text).ok_or_else(|| word.invalid("a word of the settings"))?;
        u16::try_from(index).map_err(|_| word.invalid("a place that can be counted"))
    };
    let id = at.get("id")?;
    let digits = id.text()?.strip_prefix("s-").and_then(|d| u32::from_str_radix(d, 16).ok());
    let node = Node {
        id: NodeId(digits.ok_or_else(|| id.invalid("'s-' and hexadecimal digits"))?.into()),
        state: at.get("phase")?.one_of(&[
            ("active", NodeState::Ready),
            ("leaving", NodeState::Draining),
            ("left", NodeState::Withdrawn),
        ])?,
        cell: at.opt("cell").map_or(Ok(0), |v| v.count())?,
        weight: at.opt("size").map_or(Ok(1.0), |v| v.number())?,
        kind: index("flavor", kinds)?,
        ready_at: at.opt("up_since_ms").map_or(Ok(0.0), |v| v.number())? / 1000.0,
        zone: ZoneId(index("locality", zones)?),
    };
    Ok(Member { node, address: at.get("host_port")?.address()? })
}
