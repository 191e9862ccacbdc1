//! The tool's commands against fronts that do not matter: what is wrong is told by its key, and a second tool is kept
//! away.

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("onyxyoke-command-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn tool(folder: &Path, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxyoke-rollout"));
    command.arg("--state").arg(folder.join("state")).args(words).output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Something that answers operators: it takes clients, and says that it runs these.
fn answers(build: u64, settings: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut line = [0; 64];
            let n = stream.read(&mut line).unwrap_or(0);
            let reply = match &line[..n] {
                b"health\n" => "ok yes\n".to_owned(),
                b"version\n" => {
                    let pid = std::process::id();
                    format!("ok build={build:016x} settings={settings:016x} homes=2 pid={pid}\n")
                }
                _ => "ok\nfront_success{tier=\"media\"} 5\neof\n".to_owned(),
            };
            let _ = stream.write_all(reply.as_bytes());
        }
    });
    address
}

/// A plan over two fronts whose settings are the example's.
fn plan(folder: &Path) -> Value {
    let operator: Value = toml::from_str(include_str!("../../../deploy/operator.toml")).unwrap();
    let program = env!("CARGO_BIN_EXE_onyxyoke-rollout");
    let mut fronts = Vec::new();
    for i in 0..2 {
        let config = json!({"name": format!("n{i}"), "listen": "127.0.0.1:0",
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}, "coordinator": "127.0.0.1:1",
            "settings": operator["settings"],
            "known": {"index": 1, "updates": [{"index": 1, "endpoints":
                {"revision": 1, "complete": true, "members": []}}]}});
        let path = folder.join(format!("n{i}.json"));
        std::fs::write(&path, config.to_string()).unwrap();
        let told =
            onyxyoke::config::read(Some(("config", config.to_string().as_bytes())), None).unwrap().loaded;
        let build = onyxyoke::net::admin::program_digest(program.as_ref()).unwrap();
        let operators = answers(build, told.digest());
        fronts.push(json!({"name": format!("n{i}"), "location": "branch0", "operators": operators,
            "settings": path, "folder": folder}));
    }
    json!({"name": "command", "old": {"program": program}, "new": {"program": program, "variables": {"A": "b"}},
        "fronts": fronts, "classes": ["media"], "spans": {"watch_s": 600, "longest_stage_s": 2000}})
}

fn write(folder: &Path, plan: &Value) -> String {
    let path = folder.join("plan.json");
    std::fs::write(&path, plan.to_string()).unwrap();
    path.display().to_string()
}

#[test]
fn what_is_wrong_with_a_plan_is_told_by_its_key() {
    let folder = Folder::new("wrong");
    let right = plan(&folder.0);
    let told = |plan: &Value| said(&tool(&folder.0, &["plan", &write(&folder.0, plan)]));
    assert!(told(&right).contains("stage 1 from 600 s"), "{}", told(&right));
    let mut wrong = right.clone();
    wrong["spans"]["soak"] = json!(3);
    assert!(told(&wrong).contains("spans.soak"), "{}", told(&wrong));
    let mut wrong = right.clone();
    wrong["fronts"][1]["name"] = json!("n0");
    assert!(told(&wrong).contains("'fronts.1.name'"), "{}", told(&wrong));
    // Settings that fronts share are not mixed, and who a front is stays.
    let settings = |change: fn(&mut Value)| {
        let mut config: Value =
            serde_json::from_slice(&std::fs::read(folder.0.join("n0.json")).unwrap()).unwrap();
        change(&mut config);
        let path = folder.0.join("new.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let mut plan = right.clone();
        plan["fronts"][0]["new_settings"] = json!(path);
        plan
    };
    let shared = settings(|c| c["settings"]["fleet-size"] = json!(77));
    assert!(told(&shared).contains("'settings.fleet-size' must be the same"), "{}", told(&shared));
    let mut whole = shared.clone();
    whole["limits"]["by"] = json!("location");
    assert!(told(&whole).contains("whole locations"), "{}", told(&whole));
    let who = settings(|c| c["listen"] = json!("127.0.0.1:9"));
    assert!(told(&who).contains("'listen' is who a front is"), "{}", told(&who));
    let broken = settings(|c| c["limits"]["sockets"] = json!("many"));
    assert!(told(&broken).contains("fronts.0.new_settings"), "{}", told(&broken));
    let schema: Value = serde_json::from_slice(&tool(&folder.0, &["plan", "--schema"]).stdout).unwrap();
    assert!(schema["properties"]["gates"].is_object());
}

#[test]
fn a_front_that_runs_something_else_is_refused_before_anything_is_done() {
    let folder = Folder::new("else");
    let mut plan = plan(&folder.0);
    plan["fronts"][1]["operators"] = json!(answers(7, 7));
    let output = tool(&folder.0, &["start", &write(&folder.0, &plan)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        said(&output).contains("front 'n1' runs something else (build=0000000000000007"),
        "{}",
        said(&output)
    );
}

#[test]
fn a_second_tool_is_kept_away_and_words_reach_the_one_that_drives() {
    let folder = Folder::new("lease");
    let path = write(&folder.0, &plan(&folder.0));
    assert_eq!(tool(&folder.0, &["pause"]).status.code(), Some(2), "there is no rollout yet");
    let mut first = Command::new(env!("CARGO_BIN_EXE_onyxyoke-rollout"));
    let mut first = first.arg("--state").arg(folder.0.join("state")).args(["start", &path]).spawn().unwrap();
    let status = folder.0.join("state").join("status.json");
    while !status.exists() {
        assert!(first.try_wait().unwrap().is_none(), "it ended");
        std::thread::yield_now();
    }
    let second = tool(&folder.0, &["start", &path]);
    assert_eq!(second.status.code(), Some(2));
    let who = format!("another rollout drives these fronts: process {}", first.id());
    assert!(said(&second).contains(&who), "{}", said(&second));
    assert!(said(&tool(&folder.0, &["pause"])).contains("heeded"));
    let shown = said(&tool(&folder.0, &["status"]));
    assert!(shown.contains("2 old, 0 new"), "{shown}");
    assert!(said(&tool(&folder.0, &["abort"])).contains("heeded"));
    assert_eq!(first.wait().unwrap().code(), Some(4), "aborted");
    assert_eq!(tool(&folder.0, &["start", &path]).status.code(), Some(4), "it is over, and stays so");
    let page = folder.0.join("page.html");
    let report = tool(&folder.0, &["report", &page.display().to_string()]);
    assert!(report.status.success(), "{}", said(&report));
    assert!(std::fs::read_to_string(&page).unwrap().contains("an operator called it back"));
}
