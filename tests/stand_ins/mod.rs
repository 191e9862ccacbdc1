//! The program as a process, between the stand-ins.
#![allow(dead_code)]

pub use onyxyoke_stand_ins::scripted::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::mpsc::Receiver;

/// Starts the program with this file alone; where it listens, and what else it logs.
pub fn start(variable: &str, file: &Path) -> (Child, SocketAddr, Receiver<String>) {
    onyxyoke_stand_ins::scripted::start(env!("CARGO_BIN_EXE_onyxyoke"), variable, file)
}

/// The program, started with the operator's example file on ports of the test's.
pub struct Front {
    pub child: Child,
    pub address: SocketAddr,
    pub keys: PathBuf,
    pub log: Receiver<String>,
    folder: PathBuf,
}

impl Front {
    pub fn start(
        name: &str,
        keys: &[&Signer],
        discovery: SocketAddr,
        change: impl Fn(String) -> String,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("onyxyoke-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (key_file, operator) = (folder.join("keys.json"), folder.join("operator.toml"));
        write_keys(&key_file, keys, &[]);
        let text = include_str!("../../deploy/operator.toml")
            .replace("127.0.0.1:8080", "127.0.0.1:0")
            .replace("127.0.0.1:8500", &discovery.to_string())
            .replace("deploy/keys.example.json", key_file.to_str().unwrap())
            .replace("reread_s = 5", "reread_s = 0.02")
            .replace("refresh_s = 0.5", "refresh_s = 0.05");
        std::fs::write(&operator, change(text)).unwrap();
        let (child, address, log) = start("ONYXYOKE_OPERATOR", &operator);
        Front { child, address, keys: key_file, log, folder }
    }

    /// One request on a connection of its own.
    pub fn request(&self, text: &str) -> (u16, String, Vec<u8>) {
        let mut stream = self.send(text);
        status(read_message(&mut stream))
    }

    /// Sends a request and leaves its answer.
    pub fn send(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    }

    pub fn get(&self, target: &str) -> (u16, String, Vec<u8>) {
        self.request(&get(target))
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
