//! The coordinator's events of the start: the list of nodes, and purges.

use super::key_path::KeyPath;
use crate::broker::{DiscoveryUpdate, Member};
use crate::interface::*;

pub(super) fn known(
    at: &KeyPath,
    zones: &[String],
    kinds: &[String],
) -> Result<(u64, Vec<DiscoveryUpdate>), String> {
    let news = at.get("updates")?.list(|update| {
        if let Some(list) = update.opt("endpoints") {
            let full = list.get("complete")?.flag()?;
            return Ok(Some(DiscoveryUpdate::NodeList {
                full,
                members: list.get("members")?.list(|m| member(m, zones, kinds))?,
            }));
        }
        let Some(purge) = update.opt("evict") else { return Ok(None) };
        let object = match purge.opt("ref") {
            Some(object) => {
                let digits = u64::from_str_radix(object.text()?, 16);
                Some(ObjectId(digits.map_err(|_| object.wrong("hexadecimal digits"))?))
            }
            None => None,
        };
        let group = match object {
            Some(_) => GroupId(0),
            None => GroupId(purge.get("shard")?.count()?.into()),
        };
        Ok(Some(DiscoveryUpdate::Purge { object, group, at: purge.get("unix_ms")?.number()? / 1000.0 }))
    })?;
    Ok((at.get("index")?.whole()?, news.into_iter().flatten().collect()))
}

pub(super) fn member(at: &KeyPath, zones: &[String], kinds: &[String]) -> Result<Member, String> {
    let place = |key: &str, of: &[String]| {
        let word = at.get(key)?;
        let text = word.text()?;
        let place = of.iter().position(|w| w == text).ok_or_else(|| word.wrong("a word of the settings"))?;
        u16::try_from(place).map_err(|_| word.wrong("a place that can be counted"))
    };
    let id = at.get("id")?;
    let digits = id.text()?.strip_prefix("s-").and_then(|d| u32::from_str_radix(d, 16).ok());
    let node = Node {
        id: NodeId(digits.ok_or_else(|| id.wrong("'s-' and hexadecimal digits"))?.into()),
        state: at.get("phase")?.one_of(&[
            ("active", NodeState::Ready),
            ("leaving", NodeState::Draining),
            ("left", NodeState::Withdrawn),
        ])?,
        cell: at.opt("cell").map_or(Ok(0), |v| v.count())?,
        weight: at.opt("size").map_or(Ok(1.0), |v| v.number())?,
        kind: place("flavor", kinds)?,
        ready_at: at.opt("up_since_ms").map_or(Ok(0.0), |v| v.number())? / 1000.0,
        zone: ZoneId(place("locality", zones)?),
    };
    Ok(Member { node, address: at.get("host_port")?.address()? })
}
