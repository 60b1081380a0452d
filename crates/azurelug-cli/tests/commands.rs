//! Runs the program against fakes of a control daemon and an entry daemon.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex, mpsc};

use azurelug_core::configuration::digest;
use azurelug_core::machine::{self, Machine, Outcome};
use azurelug_http::{Server, answer};
use azurelug_types::id::Version;
use azurelug_types::patch::{Answer, Change, Patch};
use serde_json::json;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, get, post};

/// 2026-12-04 05:00:00.250 UTC.
const ACCEPTED_AT_MS: u64 = 1_796_360_400_250;

const FIRST_PATCH: &str = r#"
- set_zone: { name: zone-a, zone: { state: active } }
- set_service: { name: stock, service: { operations: { book: { idempotent: false } } } }
- set_target:
    name: stock-a
    target:
      { zone: zone-a, address: "10.0.0.9:80", role: { service: stock }, limit: 8, cold_limit: 4 }
"#;

/// A fake control daemon: the state machine without a replicated log.
#[derive(Clone, Default)]
struct FakeControl(Arc<Mutex<Machine>>);

impl FakeControl {
    /// Serves on a port chosen by the kernel until the test process ends.
    fn start() -> SocketAddr {
        let fake = Self::default();
        fake.apply_patch(patch("first", 0, FIRST_PATCH), false);
        fake.apply_patch(
            patch(
                "second",
                1,
                "- set_target_state: { name: stock-a, state: draining }",
            ),
            false,
        );
        let (sender, address) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.unwrap().block_on(async {
                let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
                sender.send(server.address()).unwrap();
                server.serve(fake.router(), None).await.unwrap();
            });
        });
        address.recv().unwrap()
    }

    fn router(self) -> Router {
        let (config, history, patches) = (self.clone(), self.clone(), self);
        let status = json!({
            "daemon": "control-a", "zone": "zone-a", "version": 2, "role": "Leader",
            "entry_daemons": [{ "name": "entry-a", "zone": "zone-a", "version": 2,
                "in_flight": 3, "state": "alive", "renewed_ms_ago": 80 }],
        });
        Router::new()
            .route(
                "/v1/status",
                get(move || async move { answer::json(200, &status) }),
            )
            .route(
                "/debug/state",
                get(|| async { answer::json(200, &entry_state()) }),
            )
            .route(
                "/v1/config",
                get(move |request: Request| async move { config.config(&request) }),
            )
            .route("/v1/history", get(move || async move { history.history() }))
            .route(
                "/v1/patches",
                post(move |request: Request| async move {
                    let is_dry_run = request.uri().query() == Some("dry_run=true");
                    let body = answer::read_body(request.into_body(), answer::BODY_LIMIT).await;
                    patches.apply_patch(serde_json::from_slice(&body.unwrap()).unwrap(), is_dry_run)
                }),
            )
    }

    fn config(&self, request: &Request) -> Response {
        let machine = self.0.lock().unwrap();
        let Some(query) = request.uri().query() else {
            return answer::json(200, &**machine.store().config());
        };
        let version = query.strip_prefix("version=").unwrap().parse().unwrap();
        match machine.version(Version(version)) {
            Ok(config) => answer::json(200, &config),
            Err(oldest) => answer::json(404, &json!({ "error": format!("from {oldest}") })),
        }
    }

    fn history(&self) -> Response {
        let machine = self.0.lock().unwrap();
        answer::json(200, &machine.store().history().collect::<Vec<_>>())
    }

    fn apply_patch(&self, patch: Patch, is_dry_run: bool) -> Response {
        let mut machine = self.0.lock().unwrap();
        let decided = if is_dry_run {
            let checked = machine.store().evaluate(&patch);
            checked.map_or_else(
                |answer| answer,
                |config| Answer::Accepted {
                    version: config.version,
                },
            )
        } else {
            let digest = digest(&patch);
            let patch = Box::new(patch);
            match machine.apply(machine::Command::Patch {
                patch,
                digest,
                at_ms: ACCEPTED_AT_MS,
            }) {
                Outcome::Patch(answer) => answer,
                Outcome::Once(_) | Outcome::Deployment | Outcome::Rollout(_) => {
                    unreachable!("a patch was applied")
                }
            }
        };
        let status = match decided {
            Answer::Accepted { .. } => 200,
            Answer::Conflict { .. } => 409,
            Answer::Invalid { .. } => 422,
        };
        answer::json(status, &decided)
    }
}

fn patch(id: &str, base: u64, changes: &str) -> Patch {
    let changes: Vec<Change> = serde_saphyr::from_str(changes).unwrap();
    let (patch_id, author) = (id.to_owned(), "ana".to_owned());
    Patch {
        patch_id,
        base_version: Version(base),
        author,
        changes,
    }
}

/// The state dump of an entry daemon, with fields that the command ignores.
fn entry_state() -> serde_json::Value {
    let target = |name: &str, unused: serde_json::Value| {
        json!({ "name": name, "zone": "zone-a", "own": 2, "others": null, "limit": 8,
            "phase": "Warm", "granted": 4, "cache_complete": true, "unused": unused })
    };
    json!({ "daemon": "entry-a", "version": 2, "mode": "normal", "targets": [
        target("generate-a", json!([])),
        target("stock-a", json!([{ "reason": "target_draining" },
            { "reason": "no_slots", "own": 2, "slots": 2 }])),
    ]})
}

fn run(control: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_azurelug"));
    command.arg("--control").arg(control.to_string());
    command.args(arguments).output().unwrap()
}

/// The standard output of a command that must succeed.
fn shown(control: SocketAddr, arguments: &[&str]) -> String {
    let output = run(control, arguments);
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(&file, text).unwrap();
    file
}

/// Guards against output without the information that operators need for their decisions.
#[test]
fn the_commands_that_read_show_the_information_operators_need() {
    let control = FakeControl::start();
    let address = control.to_string();
    insta::assert_snapshot!("diff", shown(control, &["diff", "1", "2"]));
    insta::assert_snapshot!("diff_json", shown(control, &["--json", "diff", "2", "0"]));
    insta::assert_snapshot!("history", shown(control, &["history"]));
    insta::assert_snapshot!("targets", shown(control, &["targets", &address]));
    insta::assert_snapshot!(
        "targets_json",
        shown(control, &["--json", "targets", &address])
    );
    let earlier = shown(control, &["config", "--version", "1"]);
    assert!(earlier.contains("\"version\": 1,"), "{earlier}");
}

/// Guards against a dry run that changes the configuration or does not show what it would change.
#[test]
fn a_dry_run_shows_the_difference_and_changes_nothing() {
    let control = FakeControl::start();
    let file = file("- set_target_state: { name: stock-a, state: active }\n");
    let path = file.path().to_str().unwrap();
    let arguments = ["patch", path, "--author", "ana", "--dry-run"];
    insta::assert_snapshot!("dry_run", shown(control, &arguments));
    let config = shown(control, &["config"]);
    assert!(config.contains("\"version\": 2,"), "{config}");
}

/// Guards against an exit code by which a script mistakes one kind of error for another. The codes
/// are documented in docs/operators.md.
#[test]
fn each_kind_of_error_has_its_exit_code() {
    let control = FakeControl::start();
    let valid = file("- set_target_state: { name: stock-a, state: active }\n");
    let valid = valid.path().to_str().unwrap();
    let invalid = file("- set_target_state: { name: nobody, state: active }\n");
    let invalid = invalid.path().to_str().unwrap();
    // Nothing listens on the port after the listener is dropped.
    let closed_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let drain = ["zone", "--author", "ana", "drain", "zone-a"];
    let cases: [(i32, SocketAddr, &[&str]); 8] = [
        (0, control, &["config"]),
        (1, control, &["no-such-command"]),
        (1, control, &["diff", "1", "9"]),
        (
            2,
            control,
            &["patch", valid, "--author", "ana", "--base", "1"],
        ),
        (3, control, &["patch", invalid, "--author", "ana"]),
        (
            3,
            control,
            &["patch", "/nonexistent.yaml", "--author", "ana"],
        ),
        (4, closed_address, &["config"]),
        // The status of the fake always shows version 2.
        (5, control, &drain),
    ];
    for (code, address, arguments) in cases {
        let output = run(address, arguments);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {output:?}"
        );
    }
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = std::fs::read_to_string(page).unwrap();
    let help = shown(control, &["--help"]);
    let codes = help.split_once("Exit codes: ").unwrap().1;
    let codes = codes.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(
        page.contains(&codes),
        "docs/operators.md does not contain '{codes}'"
    );
}

/// Guards against a command without an example in its help, and against help that requires
/// --control.
#[test]
fn the_help_of_each_command_has_an_example() {
    let program = env!("CARGO_BIN_EXE_azurelug");
    let commands = [
        "status", "config", "diff", "history", "patch", "targets", "zone", "check", "dump",
    ];
    for command in commands {
        let output = Command::new(program)
            .args([command, "--help"])
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(
            output.status.success() && text.contains("Example: "),
            "{command}: {text}"
        );
    }
}

/// Guards against a release without the shell completion that docs/operators.md describes.
#[test]
fn the_shells_get_a_completion_script() {
    let program = env!("CARGO_BIN_EXE_azurelug");
    for shell in ["bash", "zsh", "fish"] {
        let argument = format!("--bpaf-complete-style-{shell}");
        let output = Command::new(program).arg(argument).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("azurelug"), "{shell}: {text}");
    }
}
