//! The tool's commands against stand-in fronts: errors in a plan name the key, and a second driver is
//! refused.

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

fn run_tool(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxyoke-rollout"));
    command.arg("--state").arg(folder.join("state")).args(arguments).output().unwrap()
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A stand-in operators' socket: reports that the process accepts clients and has these digests.
fn serve_operators(build: u64, settings: u64) -> SocketAddr {
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

/// A plan over two fronts with the settings of the example file.
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
        let loaded =
            onyxyoke::config::read(Some(("config", config.to_string().as_bytes())), None).unwrap().loaded;
        let build = onyxyoke::net::admin::program_digest(program.as_ref()).unwrap();
        let operators = serve_operators(build, loaded.digest());
        fronts.push(json!({"name": format!("n{i}"), "location": "branch0", "operators": operators,
            "settings": path, "folder": folder}));
    }
    json!({"name": "command", "old": {"program": program}, "new": {"program": program, "variables": {"A": "b"}},
        "fronts": fronts, "classes": ["media"], "spans": {"watch_s": 600, "longest_stage_s": 2000}})
}

fn write_plan(folder: &Path, plan: &Value) -> String {
    let path = folder.join("plan.json");
    std::fs::write(&path, plan.to_string()).unwrap();
    path.display().to_string()
}

#[test]
fn plan_errors_name_the_key() {
    let folder = Folder::new("wrong");
    let right = plan(&folder.0);
    let plan_output =
        |plan: &Value| output_text(&run_tool(&folder.0, &["plan", &write_plan(&folder.0, plan)]));
    assert!(plan_output(&right).contains("stage 1 from 600 s"), "{}", plan_output(&right));
    let mut wrong = right.clone();
    wrong["spans"]["soak"] = json!(3);
    assert!(plan_output(&wrong).contains("spans.soak"), "{}", plan_output(&wrong));
    let mut wrong = right.clone();
    wrong["fronts"][1]["name"] = json!("n0");
    assert!(plan_output(&wrong).contains("'fronts.1.name'"), "{}", plan_output(&wrong));
    // Settings that fronts share cannot be mixed, and a front's identity cannot change.
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
    assert!(
        plan_output(&shared).contains("'settings.fleet-size' must be the same"),
        "{}",
        plan_output(&shared)
    );
    let mut whole = shared.clone();
    whole["limits"]["by"] = json!("location");
    assert!(plan_output(&whole).contains("whole locations"), "{}", plan_output(&whole));
    let identity = settings(|c| c["listen"] = json!("127.0.0.1:9"));
    assert!(plan_output(&identity).contains("'listen' is who a front is"), "{}", plan_output(&identity));
    let broken = settings(|c| c["limits"]["sockets"] = json!("many"));
    assert!(plan_output(&broken).contains("fronts.0.new_settings"), "{}", plan_output(&broken));
    let schema: Value = serde_json::from_slice(&run_tool(&folder.0, &["plan", "--schema"]).stdout).unwrap();
    assert!(schema["properties"]["gates"].is_object());
}

#[test]
fn front_with_unknown_release_is_refused_at_the_start() {
    let folder = Folder::new("else");
    let mut plan = plan(&folder.0);
    plan["fronts"][1]["operators"] = json!(serve_operators(7, 7));
    let output = run_tool(&folder.0, &["start", &write_plan(&folder.0, &plan)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("front 'n1' runs something else (build=0000000000000007"),
        "{}",
        output_text(&output)
    );
}

#[test]
fn second_driver_is_refused_and_commands_reach_the_first() {
    let folder = Folder::new("lease");
    let path = write_plan(&folder.0, &plan(&folder.0));
    assert_eq!(run_tool(&folder.0, &["pause"]).status.code(), Some(2), "there is no rollout yet");
    let mut first = Command::new(env!("CARGO_BIN_EXE_onyxyoke-rollout"));
    let mut first = first.arg("--state").arg(folder.0.join("state")).args(["start", &path]).spawn().unwrap();
    let status = folder.0.join("state").join("status.json");
    while !status.exists() {
        assert!(first.try_wait().unwrap().is_none(), "it ended");
        std::thread::yield_now();
    }
    let second = run_tool(&folder.0, &["start", &path]);
    assert_eq!(second.status.code(), Some(2));
    let holder = format!("another rollout drives these fronts: process {}", first.id());
    assert!(output_text(&second).contains(&holder), "{}", output_text(&second));
    assert!(output_text(&run_tool(&folder.0, &["pause"])).contains("heeded"));
    let shown = output_text(&run_tool(&folder.0, &["status"]));
    assert!(shown.contains("2 old, 0 new"), "{shown}");
    assert!(output_text(&run_tool(&folder.0, &["abort"])).contains("heeded"));
    assert_eq!(first.wait().unwrap().code(), Some(4), "aborted");
    assert_eq!(run_tool(&folder.0, &["start", &path]).status.code(), Some(4), "it is over, and stays so");
    let page = folder.0.join("page.html");
    let report = run_tool(&folder.0, &["report", &page.display().to_string()]);
    assert!(report.status.success(), "{}", output_text(&report));
    assert!(std::fs::read_to_string(&page).unwrap().contains("an operator called it back"));
}
