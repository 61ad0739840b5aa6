//! Runs the command line as a process and checks its output and exit codes.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use std::process::{Command, Stdio};

use buckthornlink_fakes::{FakeStore, Fleet, Preset};
use rustix::process::{Pid, Signal};
use support::run;

/// A temporary text file that is deleted when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("buckthornlink-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Placeholder of the number that the first edit of a session gets.
const FIRST_VERSION: &str = "<1>";
/// Minimum digits of the number of an edit, which is a time in microseconds.
const MIN_NUMBER_DIGITS: usize = 16;

/// The numbers of the edits of one session. Outputs show placeholders in their place, `<1>` for the
/// first edit and so on; numbers that do not rise from edit to edit fail the test.
#[derive(Default)]
struct EditNumbers(Vec<u64>);

impl EditNumbers {
    /// Returns an argument with the number that a placeholder stands for.
    fn insert(&self, arg: &str) -> String {
        let mut arg = arg.to_owned();
        for (index, number) in self.0.iter().enumerate() {
            arg = arg.replace(&format!("<{}>", index + 1), &number.to_string());
        }
        arg
    }

    /// Returns an output with placeholders.
    fn replace(&mut self, text: &str) -> String {
        let mut replaced = String::new();
        for part in text.split_inclusive(|c: char| !c.is_ascii_digit()) {
            let digits = part.trim_end_matches(|c: char| !c.is_ascii_digit());
            if digits.len() < MIN_NUMBER_DIGITS {
                replaced.push_str(part);
                continue;
            }
            let position = self.record(digits.parse().unwrap());
            replaced.push_str(&part.replace(digits, &format!("<{position}>")));
        }
        replaced
    }

    fn record(&mut self, number: u64) -> usize {
        if let Some(index) = self.0.iter().position(|&n| n == number) {
            return index + 1;
        }
        let last = self.0.last().copied().unwrap_or_default();
        assert!(number > last, "{number} follows {last}");
        self.0.push(number);
        self.0.len()
    }
}

fn exit_code(args: &[&str]) -> Option<i32> {
    run(args).status.code()
}

fn stdout(args: &[&str]) -> String {
    String::from_utf8(run(args).stdout).unwrap()
}

fn stderr(args: &[&str]) -> String {
    String::from_utf8(run(args).stderr).unwrap()
}

#[test]
fn refusals_and_usage_errors_have_different_exit_codes() {
    let good = TempFile::new("good.json", &Preset::Carpatia.config_text());
    let bad = TempFile::new("bad.json", "{\"zones\": [],\n \"servces\": []}");
    assert_eq!(exit_code(&["check", good.path()]), Some(0));
    assert_eq!(exit_code(&["check", bad.path()]), Some(1));
    assert_eq!(exit_code(&["check", "/does/not/exist"]), Some(1));
    assert_eq!(exit_code(&["chekc"]), Some(2));
    assert!(stderr(&["check", bad.path()]).contains("line 2, column"));
}

#[test]
fn help_names_the_exit_codes() {
    insta::assert_snapshot!(stdout(&["--help"]));
}

#[test]
fn schemas_are_printed() {
    assert!(stdout(&["check", "--print-schema"]).contains("\"dependencies\""));
    assert!(stdout(&["balancer", "--print-schema"]).contains("\"link_port\""));
}

#[test]
fn settings_error_names_field_and_line() {
    let file = TempFile::new("settings.json", "{\n  \"zone\": \"a\",\n  \"lnk\": 1\n}");
    let text = stderr(&["balancer", file.path()]);
    assert!(
        text.contains("unknown field `lnk`") && text.contains("line 3 column"),
        "{text}"
    );
}

#[test]
fn operator_session() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let store = runtime.block_on(FakeStore::spawn(addr)).unwrap();
    let url = store.url();
    let file = TempFile::new("text.json", &Preset::Carpatia.config_text());
    let steps = [
        vec!["apply", file.path(), "--dry-run"],
        vec!["apply", file.path()],
        vec!["show", "--version"],
        vec!["apply", file.path(), "--base", FIRST_VERSION],
        vec!["apply", file.path(), "--base", FIRST_VERSION],
        vec!["zone", "out", "brasov-2"],
        vec!["zone", "out", "atlantis"],
        vec!["zone", "in", "brasov-2"],
        vec!["show", "--edit", "no-such-edit"],
        vec!["status", "--output", "json"],
    ];
    let mut numbers = EditNumbers::default();
    let lines = steps.iter().map(|args| {
        let args: Vec<String> = args.iter().map(|arg| numbers.insert(arg)).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let output = run(&[args.as_slice(), &["--store", &url]].concat());
        let code = output.status.code();
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        format!("{code:?} {}", numbers.replace(text.trim_end()))
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

#[test]
fn unreachable_store_is_a_refusal_not_an_unknown_outcome() {
    let file = TempFile::new("unreachable.json", &Preset::Carpatia.config_text());
    let args = [
        "apply",
        file.path(),
        "--store",
        "http://127.0.0.1:9",
        "--patience",
        "0",
    ];
    assert_eq!(exit_code(&args), Some(1));
}

#[test]
fn status_shows_what_is_in_force() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let fleet = runtime.block_on(Fleet::spawn(Preset::Carpatia, 1)).unwrap();
    let url = fleet.store().url();
    let file = TempFile::new("fleet.json", &fleet.config_text());
    let run_on_store = |args: &[&str]| stdout(&[args, &["--store", &url]].concat());
    let applied = run_on_store(&["apply", file.path(), "--wait"]);
    let version = run_on_store(&["show", "--version"]);
    let version: u64 = version.trim().parse().unwrap();
    let expected = format!("accepted as version {version}, in force after");
    assert!(applied.starts_with(&expected), "{applied}");
    assert!(run_on_store(&["zone", "out", "brasov-2"]).starts_with("accepted"));
    let status = run_on_store(&["status", "--output", "json"]);
    let balancers: serde_json::Value = serde_json::from_str(&status).unwrap();
    let balancers = balancers.as_array().unwrap();
    assert_eq!(balancers.len(), 3);
    assert!(
        balancers.iter().all(|b| b["status"]["version"] == version),
        "{status}"
    );
    assert!(run_on_store(&["status"]).contains("brasov"));
}

#[test]
fn balancer_shuts_down_cleanly_on_sigterm() {
    let settings = serde_json::json!({
        "zone": "a",
        "ip": "127.0.0.1",
        "link_port": 0,
        "http": "127.0.0.1:0",
        "entry": "127.0.0.1:9",
        "store": { "url": "http://127.0.0.1:9" },
        "keys": [{ "id": 1, "secret": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=" }],
        "log": { "format": "json" },
    });
    let file = TempFile::new("balancer.json", &settings.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornlink"));
    let mut child = command
        .args(["balancer", file.path()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let started = lines.next().unwrap().unwrap();
    assert!(started.contains("balancer started"), "{started}");
    let pid = Pid::from_child(&child);
    rustix::process::kill_process(pid, Signal::TERM).unwrap();
    assert!(child.wait().unwrap().success());
    assert!(lines.any(|line| line.unwrap().contains("balancer stopped")));
}

#[test]
fn datagram_balancer_reloads_settings_on_sighup() {
    let ports = free_ports();
    let settings = |contact: &str| datagram_settings(ports, contact);
    let file = TempFile::new("datagrams.json", &settings("127.0.0.1:1"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornlink"));
    let mut child = command
        .args(["balancer", "--datagrams", file.path()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut wait_for = |text: &str| lines.any(|line| line.unwrap().contains(text));
    assert!(wait_for("process started"));
    std::fs::write(file.path(), settings("127.0.0.1:2")).unwrap();
    let pid = Pid::from_child(&child);
    rustix::process::kill_process(pid, Signal::HUP).unwrap();
    assert!(wait_for("settings reloaded"));
    std::fs::write(file.path(), "{").unwrap();
    rustix::process::kill_process(pid, Signal::HUP).unwrap();
    assert!(wait_for("settings are refused"));
    rustix::process::kill_process(pid, Signal::TERM).unwrap();
    assert!(wait_for("process stopped"));
    assert!(child.wait().unwrap().success());
}

#[test]
fn sighup_before_settings_are_read_does_not_end_the_process() {
    let file = TempFile::new("late.json", "");
    std::fs::remove_file(file.path()).unwrap();
    let made = Command::new("mkfifo").arg(file.path()).status().unwrap();
    assert!(made.success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornlink"));
    let mut child = command
        .args(["balancer", "--datagrams", file.path()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    // Opening the pipe for writing blocks until the process opens it to read its settings.
    let mut pipe = std::fs::File::options()
        .write(true)
        .open(file.path())
        .unwrap();
    let pid = Pid::from_child(&child);
    rustix::process::kill_process(pid, Signal::HUP).unwrap();
    let text = datagram_settings(free_ports(), "127.0.0.1:1");
    let _ = pipe.write_all(text.as_bytes());
    drop(pipe);
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let has_started = lines.any(|line| line.unwrap().contains("process started"));
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(has_started);
}

/// Settings of a balancer of the datagram path whose store is unreachable.
fn datagram_settings(ports: [u16; 5], contact: &str) -> String {
    let at = |port: u16| format!("127.0.0.1:{port}");
    serde_json::json!({
        "ip": "127.0.0.1",
        "zone": "a",
        "store": format!("http://{}", at(9)),
        "data": at(ports[0]),
        "link_port": ports[1],
        "relay_port": ports[2],
        "readiness": at(ports[3]),
        "control": at(ports[4]),
        "contacts": [contact],
        "log": { "format": "json" },
    })
    .to_string()
}

/// Ports that are currently free for TCP.
fn free_ports() -> [u16; 5] {
    let listeners = [(); 5].map(|()| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|l| l.local_addr().unwrap().port())
}
