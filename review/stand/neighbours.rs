//! Two deployments on one host name their fronts and their rollouts alike.
#[path = "stand.rs"]
mod stand;
use stand::*;
use std::path::{Path, PathBuf};

/// Plays a rollout of another limit of sockets over these fronts, to its end.
fn roll_out(d: &Deployment, folder: &Path, name: &str, fronts: &[Front]) {
    let r = &d.record;
    let new_settings = |front: &Front| -> PathBuf {
        let old = std::fs::read_to_string(&front.settings).expect("settings");
        let path = front.settings.with_extension("new.json");
        std::fs::write(&path, old.replace(r#""sockets":1024"#, r#""sockets":900"#)).expect("new settings");
        path
    };
    let new_settings: Vec<PathBuf> = fronts.iter().map(new_settings).collect();
    let plan = folder.join("plan.json");
    write_plan(d, &plan, name, fronts, &new_settings);
    let mut tool = start_tool(d, folder, &plan);
    let mut end = None;
    for _ in 0..450 {
        end = tool.try_wait().ok().flatten();
        if end.is_some() {
            break;
        }
        sleep_ms(100);
    }
    let _ = tool.kill();
    let _ = tool.wait();
    r.say(&format!("the rollout in '{}': {end:?}", folder.display()));
    r.line(&std::fs::read_to_string(folder.join("tool.log")).unwrap_or_default());
}

fn main() {
    let d = Deployment::from_environment();
    let r = &d.record;
    let arrivals = Arrivals::default();
    let (nodes, other_nodes) = (start_nodes(4, 100, &arrivals, r), start_nodes(4, 100, &arrivals, r));
    // Each deployment has its own addresses, files and $TMPDIR folders; each operator works in a folder of his own.
    let (folder, other_folder) = (d.folder.join("first"), d.folder.join("second"));
    let fronts = start_two_fronts(&d, &folder, &nodes);
    let others = start_two_fronts(&d, &other_folder, &other_nodes);
    sleep_ms(1500);
    let name = format!("sockets-{}", std::process::id());
    roll_out(&d, &folder, &name, &fronts);
    let serving = processes_of(&name);
    for (pid, run) in &serving {
        r.say(&format!("serves in the first deployment: process {pid}, '{run}'"));
    }
    if serving.len() != 2 {
        d.cannot("the first deployment's rollout did not leave one process a front");
    }
    sleep_ms(1000);
    let second_began_ms = now_ms();
    let other_name = if d.trouble { name.clone() } else { format!("second-{name}") };
    r.say(&format!("the second deployment's rollout, '{other_name}', begins"));
    roll_out(&d, &other_folder, &other_name, &others);
    sleep_ms(1000);
    let mut running = processes_of(&name);
    if other_name != name {
        running.extend(processes_of(&other_name));
    }
    for (pid, run) in &running {
        r.say(&format!("runs at the end: process {pid}, '{run}'"));
    }
    let end = |fronts: Vec<Front>| -> (Vec<Process>, Vec<Vec<Asked>>) {
        fronts.into_iter().map(|front| (front.process, front.load.finish())).unzip()
    };
    let ((processes, asked), (other_processes, other_asked)) = (end(fronts), end(others));
    end_processes_of(&name, r);
    end_processes_of(&other_name, r);
    drop((processes, other_processes));
    let (asked, other_asked) = (asked.concat(), other_asked.concat());
    let (before, after): (Vec<Asked>, Vec<Asked>) =
        asked.into_iter().partition(|a| a.sent_ms < second_began_ms);
    r.say(&format!("the first deployment's clients, before the second's rollout: {}", count_ends(&before)));
    r.say(&format!("the first deployment's clients, from then on: {}", count_ends(&after)));
    r.say(&format!("the second deployment's clients: {}", count_ends(&other_asked)));
    // Nobody told the first deployment's processes to end.
    let gone = serving.iter().filter(|(pid, _)| running.iter().all(|other| other.0 != *pid));
    let line =
        |(pid, run): &(i32, String)| format!("process {pid} of the first deployment, '{run}', was ended");
    verdict(r, &gone.map(line).collect::<Vec<_>>())
}
