//! Tests of which responses end a call and which cause a retry.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;

/// Starts a server that returns these responses in turn, repeats the last one, and records the requests.
async fn fake_server(answers: Vec<String>) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let seen: Rc<RefCell<Vec<String>>> = Rc::default();
    let recorded = seen.clone();
    tokio::task::spawn_local(async move {
        let mut n = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4096];
            let read = stream.read(&mut buffer).await.unwrap_or(0);
            recorded
                .borrow_mut()
                .push(String::from_utf8_lossy(&buffer[..read]).into_owned());
            let answer = &answers[n.min(answers.len() - 1)];
            n += 1;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (at, seen)
}

fn response(status: &str, head: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: 2\r\n\r\n{{}}")
}

#[tokio::test]
async fn request_is_resent_unchanged_until_definite() {
    let test = async {
        let (leader, leader_requests) =
            fake_server(vec![response("503 x", ""), response("200 OK", "")]).await;
        let location = format!("Location: http://{leader}/-/Config.Replace\r\n");
        let (follower, follower_requests) = fake_server(vec![response("307 x", &location)]).await;
        let request =
            OperatorRequest::post("/-/Config.Replace", Some(4), Bytes::from("{\"rev\":5}"));
        let answer = OperatorClient {
            addresses: vec![follower],
            timeout: Duration::from_secs(60),
        }
        .call(&request)
        .await
        .expect("definite");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(
            follower_requests.borrow().len(),
            2,
            "the call was resent after the 503"
        );
        let leader_requests = leader_requests.borrow();
        assert!(
            leader_requests
                .iter()
                .all(|l| l.contains("base-version: 4") && l.contains("\"rev\":5"))
        );
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn rejection_is_definite_and_timeout_is_indeterminate() {
    let test = async {
        let (at, requests) = fake_server(vec![response("412 x", "")]).await;
        let operator = OperatorClient {
            addresses: vec![at],
            timeout: Duration::from_secs(60),
        };
        let answer = operator
            .call(&OperatorRequest::get("/-/Config.Read"))
            .await
            .expect("definite");
        assert_eq!(answer.status(), StatusCode::PRECONDITION_FAILED);
        assert_eq!(requests.borrow().len(), 1);
        // Nothing listens on this port, so the outcome is unknown.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let gone = listener.local_addr().expect("an address");
        drop(listener);
        let operator = OperatorClient {
            addresses: vec![gone],
            timeout: Duration::from_millis(300),
        };
        let error = operator
            .call(&OperatorRequest::get("/-/Status"))
            .await
            .expect_err("nothing listens there");
        assert!(
            error
                .to_string()
                .contains("may or may not have been applied"),
            "{error}"
        );
        let operator = OperatorClient {
            addresses: Vec::new(),
            timeout: Duration::ZERO,
        };
        assert!(matches!(
            operator.call(&OperatorRequest::get("/-/Status")).await,
            Err(OperatorError::NoAddress)
        ));
    };
    LocalSet::new().run_until(test).await;
}
