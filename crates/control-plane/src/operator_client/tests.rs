//! Which answers end a call, and which have it sent again.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;

/// A server that gives these responses in turn, the last again and again, and records the requests.
async fn fake_server(answers: Vec<String>) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let seen: Rc<RefCell<Vec<String>>> = Rc::default();
    let kept = seen.clone();
    tokio::task::spawn_local(async move {
        let mut n = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut asked = vec![0; 4096];
            let read = stream.read(&mut asked).await.unwrap_or(0);
            kept.borrow_mut()
                .push(String::from_utf8_lossy(&asked[..read]).into_owned());
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
        let (leader, led) = fake_server(vec![response("503 x", ""), response("200 OK", "")]).await;
        let points = format!("Location: http://{leader}/-/Config.Replace\r\n");
        let (follower, followed) = fake_server(vec![response("307 x", &points)]).await;
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
        assert_eq!(followed.borrow().len(), 2, "the 503 was no answer");
        let led = led.borrow();
        assert!(
            led.iter()
                .all(|l| l.contains("base-version: 4") && l.contains("\"rev\":5"))
        );
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn rejection_is_definite_and_timeout_is_indeterminate() {
    let test = async {
        let (at, asked) = fake_server(vec![response("412 x", "")]).await;
        let operator = OperatorClient {
            addresses: vec![at],
            timeout: Duration::from_secs(60),
        };
        let answer = operator
            .call(&OperatorRequest::get("/-/Config.Read"))
            .await
            .expect("definite");
        assert_eq!(answer.status(), StatusCode::PRECONDITION_FAILED);
        assert_eq!(asked.borrow().len(), 1);
        // Nobody listens there: nothing is known.
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
            .expect_err("nobody is there");
        assert!(error.to_string().contains("taken or not"), "{error}");
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
