//! Requests to control replicas, as seen by replicas that answer as a test says.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

use masticfield_cli::ControlClient;
use masticfield_core::operator::Problem;
use masticfield_node::token::Token;

/// Answers one request on each connection, in turn with these statuses and bodies; returns the
/// bodies of the requests.
fn replica(answers: Vec<(u16, String)>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let mut requests = Vec::new();
        for (status, body) in answers {
            let (mut connection, _) = listener.accept().unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                connection.read_exact(&mut byte).unwrap();
                head.push(byte[0]);
            }
            let head = String::from_utf8(head).unwrap().to_lowercase();
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
            let mut request = vec![0; length.unwrap_or(0)];
            connection.read_exact(&mut request).unwrap();
            requests.push(String::from_utf8(request).unwrap());
            let length = body.len();
            let reply = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            connection.write_all(reply.as_bytes()).unwrap();
        }
        requests
    };
    (address, std::thread::spawn(serve))
}

/// A replica that proposed a change and lost its leadership does not know the outcome. Sending the
/// same request again finds it out.
#[tokio::test]
async fn a_request_with_an_unknown_outcome_is_sent_again() {
    let undecided = serde_json::to_string(&Problem::Undecided).unwrap();
    let (address, served) = replica(vec![(503, undecided), (200, "7".to_owned())]);
    let token = Token::new("token");
    let client = ControlClient::new(vec![address], token, Duration::from_secs(5));
    let reply: u32 = client.post("/v1/notes", "note").await.unwrap();
    assert_eq!(reply, 7);
    assert_eq!(served.join().unwrap(), ["note", "note"]);
}
