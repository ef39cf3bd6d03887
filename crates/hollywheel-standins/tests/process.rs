//! Tests of the stand-ins as processes.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn each_command_says_where_it_listens_and_ends_on_a_signal() {
    for command in ["engine", "pool", "service", "platform"] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_hollywheel-standin"))
            .args([command, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("the output is piped");
        BufReader::new(output).read_line(&mut line).unwrap();
        assert!(
            line.starts_with("listening 127.0.0.1:"),
            "{command}: {line:?}"
        );
        let killed = Command::new("kill").arg(child.id().to_string()).status();
        assert!(killed.unwrap().success());
        assert!(child.wait().unwrap().success(), "{command}");
    }
}
