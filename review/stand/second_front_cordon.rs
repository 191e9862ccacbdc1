//! A cache node is out by hand while a rollout turns the second front on.
#[path = "stand.rs"]
mod stand;
use stand::*;
use std::path::{Path, PathBuf};

/// The settings of the second front: a listener for signed links, a key, and a team.
fn second_front(keys: &Path) -> String {
    format!(
        r#""signed":{{"listen":"{}","base":"https://media.example.org","keys":{keys:?}}},
"teams":[{{"name":"talks","issuer":"talks.example.org","classes":["media"],"prefixes":[{{"path":"/talks","class":"media"}}],
"requests_per_s":1000,"in_flight":500,"bytes_per_s":100000000}}],"#,
        free_address()
    )
}

fn main() {
    let d = Deployment::from_environment();
    let r = &d.record;
    let arrivals = Arrivals::default();
    let nodes = start_nodes(4, 100, &arrivals, r);
    let fronts = start_two_fronts(&d, &d.folder, &nodes);
    let keys = d.folder.join("keys.json");
    let key = format!(
        r#"{{"kid":"k1","kty":"oct","alg":"HS256","iss":"talks.example.org","k":"{}"}}"#,
        "A".repeat(43)
    );
    std::fs::write(&keys, format!(r#"{{"keys":[{key}]}}"#)).expect("a key file");
    sleep_ms(1500);
    let node = format!("s-{:08x}", nodes[0].id);
    for front in &fronts {
        let reply = operator(front.process.operators, &format!("cordon {node}")).unwrap_or_default();
        r.say(&format!("{}: cordon {node}: {reply}", front.process.name));
        if !reply.starts_with("ok") {
            d.cannot("the node was not called out");
        }
    }
    let yes_ms = now_ms();
    // The change: the second front is turned on, or (without the trouble) another limit of sockets.
    let new_settings = |front: &Front| -> PathBuf {
        let old = std::fs::read_to_string(&front.settings).expect("settings");
        let new = match d.trouble {
            true => old.replacen('{', &format!("{{{}", second_front(&keys)), 1),
            false => old.replace(r#""sockets":1024"#, r#""sockets":900"#),
        };
        let path = front.settings.with_extension("new.json");
        std::fs::write(&path, new).expect("new settings");
        path
    };
    let new_settings: Vec<PathBuf> = fronts.iter().map(new_settings).collect();
    let (name, plan) = (format!("review-{}", std::process::id()), d.folder.join("plan.json"));
    write_plan(&d, &plan, &name, &fronts, &new_settings);
    let mut tool = start_tool(&d, &d.folder, &plan);
    let mut end = None;
    for _ in 0..800 {
        end = end.or_else(|| tool.try_wait().ok().flatten());
        if end.is_some() {
            break;
        }
        sleep_ms(100);
    }
    r.say(&format!("the rollout: {end:?}"));
    r.line(&std::fs::read_to_string(d.folder.join("tool.log")).unwrap_or_default());
    sleep_ms(2000);
    let (processes, asked): (Vec<_>, Vec<_>) =
        fronts.into_iter().map(|front| (front.process, front.load.finish())).unzip();
    let (_, _) = (tool.kill(), tool.wait());
    end_processes_of(&name, r);
    drop(processes);
    r.say(&count_ends(&asked.concat()));
    if end.and_then(|status| status.code()) != Some(0) {
        d.cannot("the rollout did not end with 0");
    }
    // 500 ms of grace by the settings, and 50 ms on sockets.
    let at_node = |a: &&Arrival| format!("s-{:08x}", a.node) == node || a.fields.get("src") == Some(&node);
    let arrivals = arrivals.lock().unwrap();
    let after: Vec<f64> =
        arrivals.iter().filter(at_node).map(|a| a.at_ms - yes_ms).filter(|after| *after > 550.0).collect();
    let broken = after.last().map(|last| {
        format!(
            "{} requests went to {node}, {:.0} to {last:.0} ms after the last 'ok'",
            after.len(),
            after[0]
        )
    });
    verdict(r, &broken.into_iter().collect::<Vec<_>>())
}
