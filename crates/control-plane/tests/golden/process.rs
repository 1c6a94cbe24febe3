//! Tests a control process that starts from a file stored by an earlier build.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use control_plane::configuration::Command;
use control_plane::operator_client::{Bytes, OperatorClient, OperatorRequest, StatusCode};
use protocol::settings::Settings;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

use crate::commands::{amend, replace};
use crate::store::copy;

/// The pause between two attempts to connect to a starting process.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a loopback address that no other test process uses.
fn own_address() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id >> 16) as u8 % 64, (id >> 8) as u8, id as u8)
}

fn settings(folder: &Path) -> Settings {
    let (ip, folder) = (own_address(), folder.display());
    let text = format!(
        r#"{{"node": "n", "ip": "{ip}", "zone": "a", "region": "r", "zone_map": {{"a": "r"}},
            "seeds": ["{ip}:7080"], "listen": {{"ctl": "{ip}:7080"}},
            "port_range": [7070, 7079], "data_dir": "{folder}"}}"#
    );
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("valid settings")
}

async fn configuration(operator: &OperatorClient) -> serde_json::Value {
    let answer = operator
        .call(&OperatorRequest::get("/-/Config.Read"))
        .await
        .expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    serde_json::from_slice(answer.body()).expect("JSON")
}

async fn send(operator: &OperatorClient, command: &Command) -> StatusCode {
    let (path, base, body) = match command {
        Command::Replace { base, body } => ("/-/Config.Replace", base, body),
        Command::Amend { base, body } => ("/-/Config.Amend", base, body),
        other => panic!("not a change of the configuration: {other:?}"),
    };
    let request = OperatorRequest::post(path, Some(*base), Bytes::from(body.clone()));
    operator.call(&request).await.expect("an answer").status()
}

async fn check_resent_commands(operator: &OperatorClient) {
    let before = configuration(operator).await;
    assert_eq!(before["rev"], 9);
    assert_eq!(before["routes"][0]["name"], "r");
    // The first command is covered by the snapshot, and the others are in the entries after it.
    for command in [replace(0, 5), amend(5, 7), replace(7, 9)] {
        assert_eq!(
            send(operator, &command).await,
            StatusCode::OK,
            "{command:?}"
        );
        assert_eq!(
            configuration(operator).await,
            before,
            "a resent command changed the configuration"
        );
    }
    // The same content on top of the current version is a different command, and its revision is already in use.
    assert_ne!(send(operator, &replace(9, 9)).await, StatusCode::OK);
    assert_eq!(configuration(operator).await, before);
}

/// Waits until the process accepts connections, regardless of how long its disk takes to open and sync the store.
async fn wait_until_listening<T>(address: SocketAddr, process: &JoinHandle<T>) {
    while TcpStream::connect(address).await.is_err() {
        assert!(
            !process.is_finished(),
            "the process ended before it accepted connections"
        );
        sleep(CONNECT_RETRY_INTERVAL).await;
    }
}

#[test]
fn process_started_from_a_stored_file_recognizes_resent_commands() {
    let folder = copy("process");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (_reloads, reloads) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let process = spawn_local(control_plane::runtime::run(
            settings(&folder.0),
            reloads,
            async {
                let _ = stopped.await;
            },
        ));
        let address = SocketAddr::from((own_address(), 7080));
        wait_until_listening(address, &process).await;
        let operator = OperatorClient {
            addresses: vec![address],
            timeout: Duration::from_secs(20),
        };
        check_resent_commands(&operator).await;
        stop.send(()).expect("the process is running");
        process
            .await
            .expect("no panic")
            .expect("an orderly shutdown");
    });
}
