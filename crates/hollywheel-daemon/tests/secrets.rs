//! Tests of secrets from a file descriptor, and of their replacement on running hosts.

mod support;

use std::io::Write;
use std::os::fd::AsRawFd;
use std::process::{Command, Stdio};
use std::time::Duration;

use hollywheel_daemon::settings::{RawSettings, TlsSettings, check_settings};
use serde_json::{Value, json};
use support::keys::{Authority, start_named, start_with_keys, states, versions};
use support::{PUBLISHER, Started, TestHost, VIEWER, objects, wait_for};

/// Formats keys as the text that `--tls-fd` reads.
fn bundle(keys: &TlsSettings) -> String {
    format!(
        "{}{}{}",
        keys.certificate,
        keys.key.reveal(),
        keys.authority
    )
}

fn raw_settings() -> RawSettings {
    let mut raw = RawSettings::default();
    for (flag, value) in [
        ("host", "two"),
        ("domain", "medeu"),
        ("region", "almaty"),
        ("platform", "127.0.0.1:9"),
    ] {
        raw.set(flag, value.to_owned());
    }
    raw
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_from_a_descriptor_join_a_host_to_others() {
    let authority = Authority::new();
    let keys = authority.keys_of("two");
    let (reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(bundle(&keys).as_bytes()).unwrap();
    drop(writer);
    let mut raw = raw_settings();
    raw.set("tls-fd", reader.as_raw_fd().to_string());
    let read = check_settings(&raw).unwrap().secrets.tls.unwrap();
    assert_eq!(read.certificate.trim(), keys.certificate.trim());
    assert_eq!(read.key.reveal().trim(), keys.key.reveal().trim());
    assert_eq!(read.authority.trim(), keys.authority.trim());
    let base = TestHost::start().await;
    let first = start_named(&base, &authority, "one", &[]);
    let second = start_with_keys(&base, read, "two", &[first.peers.unwrap()]);
    wait_for("both hosts alive on both", async || {
        let expected = ["one:alive", "two:alive"];
        states(&first).await == expected && states(&second).await == expected
    })
    .await;
    assert!(second.stop().await);
    assert!(first.stop().await);
    assert!(base.stop().await);
}

/// Runs the program with a text on descriptor 0, its standard input.
fn check_with_input(text: &str) -> (i32, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollywheeld"))
        .env_clear()
        .args(["--check", "--host", "two", "--domain", "medeu", "--region"])
        .args(["almaty", "--platform", "127.0.0.1:9", "--tls-fd", "0"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    input.write_all(text.as_bytes()).unwrap();
    drop(input);
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code().unwrap(), text)
}

#[test]
fn the_program_reads_keys_from_a_descriptor_and_names_what_is_wrong() {
    let keys = Authority::new().keys_of("two");
    assert_eq!(check_with_input(&bundle(&keys)).0, 0);
    let without_authority = format!("{}{}", keys.certificate, keys.key.reveal());
    let without_key = format!("{}{}", keys.certificate, keys.authority);
    for text in ["", "no PEM", &without_authority, &without_key] {
        let (code, message) = check_with_input(text);
        assert_eq!(code, 2, "{message}");
        assert!(message.contains("--tls-fd"), "{message}");
        assert!(!message.contains("BEGIN"), "{message}");
    }
}

async fn replace(host: &Started, token: &str, order: &Value) -> u16 {
    let body = order.to_string();
    let answer = host
        .admin("POST", "/admin/secrets", Some(token), &body)
        .await;
    answer.status.as_u16()
}

fn tls_order(keys: &TlsSettings, authorities: &[&Authority]) -> Value {
    let authorities: String = authorities.iter().map(|a| a.pem()).collect();
    json!({ "tls": {
        "certificate": keys.certificate,
        "key": keys.key.reveal(),
        "authority": authorities,
    }})
}

const BOTH: [&str; 2] = ["one:alive", "two:alive"];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_keep_talking_while_their_keys_are_replaced() {
    let base = TestHost::start().await;
    let (old, new) = (Authority::new(), Authority::new());
    let (one_old, two_old) = (old.keys_of("one"), old.keys_of("two"));
    let (one_new, two_new) = (new.keys_of("one"), new.keys_of("two"));
    let first = start_with_keys(&base, one_old.clone(), "one", &[]);
    let seeds = [first.peers.unwrap()];
    let second = start_with_keys(&base, two_old.clone(), "two", &seeds);
    wait_for("both hosts alive on both", async || {
        states(&first).await == BOTH && states(&second).await == BOTH
    })
    .await;
    let steps = [
        (
            "both authorities accepted",
            [&one_old, &two_old],
            vec![&old, &new],
        ),
        ("new certificates", [&one_new, &two_new], vec![&old, &new]),
        ("old authority dropped", [&one_new, &two_new], vec![&new]),
    ];
    for (version, (step, keys, authorities)) in (1..).zip(&steps) {
        for (host, keys) in [&first, &second].into_iter().zip(keys) {
            let order = tls_order(keys, authorities);
            assert_eq!(replace(host, PUBLISHER, &order).await, 200, "{step}");
            assert_eq!(states(&first).await, BOTH, "{step}");
            assert_eq!(states(&second).await, BOTH, "{step}");
        }
        let text = objects(
            base.engine.address(),
            base.encoder.address(),
            base.service.address(),
        );
        let hash = hollywheel_config::hash_key(&format!("key-{version}"));
        let workspace = format!("name = \"w-{version}\"\nkey_hashes = [\"{hash}\"]\n");
        let text = format!("{text}[[workspace]]\n{workspace}");
        let published = first.publish(version, &text).await;
        assert_eq!(published.status, 200, "{step}: {}", published.text());
        // A host learns the version of another one only over the transport.
        wait_for(step, async || {
            let expected = [version + 1; 2];
            versions(&first).await == expected && versions(&second).await == expected
        })
        .await;
        assert_eq!(states(&first).await, BOTH, "{step}");
        assert_eq!(states(&second).await, BOTH, "{step}");
    }
    let known = start_named(&base, &new, "three", &seeds);
    wait_for("a host of the new authority", async || {
        states(&second).await.contains(&"three:alive".to_owned())
    })
    .await;
    let stranger = start_named(&base, &old, "four", &seeds);
    wait_for("the configuration in force", async || {
        stranger.get("/readyz").await.status == 200
    })
    .await;
    // Two rounds of joining have ended by then.
    let until = tokio::time::Instant::now() + Duration::from_secs(5);
    while tokio::time::Instant::now() < until {
        assert_eq!(states(&stranger).await, ["four:alive"]);
        assert_eq!(
            states(&first).await,
            ["one:alive", "three:alive", "two:alive"]
        );
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    for host in [stranger, known, second, first] {
        assert!(host.stop().await);
    }
    assert!(base.stop().await);
}

fn operators(viewer: &str, publisher: &str) -> String {
    let hash = hollywheel_config::hash_key;
    format!("viewer:{},publisher:{}", hash(viewer), hash(publisher))
}

async fn status_with(host: &Started, token: &str) -> u16 {
    let answer = host.admin("GET", "/admin/status", Some(token), "").await;
    answer.status.as_u16()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_of_operators_are_replaced_at_once() {
    let host = TestHost::start().await;
    let order = json!({ "operators": operators("viewer-2", "publisher-2") });
    assert_eq!(replace(&host, VIEWER, &order).await, 403);
    assert_eq!(replace(&host, "viewer-2", &order).await, 401);
    assert_eq!(replace(&host, PUBLISHER, &order).await, 200);
    for (token, status) in [
        (VIEWER, 401),
        (PUBLISHER, 401),
        ("viewer-2", 200),
        ("publisher-2", 200),
    ] {
        assert_eq!(status_with(&host, token).await, status, "{token}");
    }
    assert_eq!(replace(&host, PUBLISHER, &order).await, 401);
    assert_eq!(replace(&host, "viewer-2", &order).await, 403);
    assert!(host.host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_replaced_if_one_part_cannot_be_used() {
    let base = TestHost::start().await;
    let authority = Authority::new();
    let host = start_named(&base, &authority, "one", &[]);
    let good = operators("viewer-2", "publisher-2");
    let keys = authority.keys_of("one");
    let another = authority.keys_of("two");
    let mut wrong_name = tls_order(&another, &[&authority]);
    wrong_name["operators"] = good.clone().into();
    let mut wrong_key = tls_order(&keys, &[&authority]);
    wrong_key["tls"]["key"] = another.key.reveal().into();
    wrong_key["operators"] = good.clone().into();
    let mut bad_token = tls_order(&keys, &[&authority]);
    bad_token["operators"] = good.into();
    bad_token["platform_token"] = "a\nb".into();
    let mut bad_operators = tls_order(&keys, &[&authority]);
    bad_operators["operators"] = "admin:12".into();
    for order in [wrong_name, wrong_key, bad_token, bad_operators] {
        assert_eq!(replace(&host, PUBLISHER, &order).await, 422, "{order}");
        assert_eq!(status_with(&host, VIEWER).await, 200);
        assert_eq!(status_with(&host, "viewer-2").await, 401);
    }
    assert!(host.stop().await);
    assert!(base.stop().await);
}
